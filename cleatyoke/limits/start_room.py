"""Whether the processes of a front leave room for one more. No I/O, no clock, and no further imports."""

from __future__ import annotations

from collections.abc import Sequence

from cleatyoke.limits.limit_record import LimitRecord

LEAST_SERVICE_BYTES = 5 * 512 * 1024  # the least shares of a memory budget, without which nothing is served


def start_bytes(others: Sequence[LimitRecord]) -> int:
    """Return the memory that a process needs to start: as much as one of the others, and its shares.

    The pages of libraries, which they have in common, are counted by the others already.
    """
    return max((other.process for other in others), default=0) + LEAST_SERVICE_BYTES


def memory_limit(others: Sequence[LimitRecord]) -> int:
    """Return the limit that these processes were told, 0 if none."""
    return min((other.memory_limit for other in others if other.memory_limit), default=0)


def has_room(own: LimitRecord, others: Sequence[LimitRecord]) -> bool:
    """Whether the process may start now: of several that wait, the one that was started first."""
    if any(other.waiting and _order(other) < _order(own) for other in others):
        return False
    limit = memory_limit(others)
    return not limit or sum(other.memory for other in others) + start_bytes(others) <= limit


def _order(record: LimitRecord) -> tuple[int, int]:
    return record.started, record.pid
