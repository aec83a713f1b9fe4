"""How the processes of one front divide its limits on memory and sockets. No I/O, no clock.

The sum of what the processes may take is within the limit: each takes an equal part at most, and no more than
the others leave. What a process holds already is not taken back, so it may exceed its part for a while after
another one has come; its record says so, and the other one gets the rest.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from cleatyoke.limits.limit_record import LimitRecord
from cleatyoke.limits.memory_budget import MAX_UPLOAD_BYTES, MEBIBYTE, STATE_BYTES, MemoryBudget
from cleatyoke.limits.socket_budget import RESERVED_SOCKETS, SocketBudget
from cleatyoke.limits.start_room import LEAST_SERVICE_BYTES

WAITING_PROCESS_BYTES = 5 * MEBIBYTE  # of a process that has imported nothing yet
MIN_SOCKETS = 2 * RESERVED_SOCKETS  # with fewer, a process could serve nothing


@dataclass(slots=True, frozen=True)
class FrontLimits:
    """The limits of a front, which all of its processes share."""

    memory: int  # bytes, 0 if there is no limit
    sockets: int
    with_file_service: bool
    may_be_upgraded: bool  # the listening socket is inherited, so another process may start at any time


@dataclass(slots=True, frozen=True)
class ProcessSize:
    """What a process takes before it serves, in bytes."""

    anonymous: int  # its own data
    shared: int  # its part of the pages of programs and libraries, which all processes have in common

    @property
    def total(self) -> int:
        """The proportional set size."""
        return self.anonymous + self.shared

    def fits(self, limits: FrontLimits, processes: int) -> bool:
        """Whether so many processes, with their least shares, stay within the limit on memory."""
        each = self.anonymous + STATE_BYTES + LEAST_SERVICE_BYTES
        return not limits.memory or processes * each + self.shared <= limits.memory


@dataclass(slots=True, frozen=True)
class LimitShare:
    """What one process may take."""

    memory: int  # bytes, 0 if there is no limit
    sockets: int
    processes: int  # among which the limits are divided

    @classmethod
    def of(cls, limits: FrontLimits, others: Sequence[LimitRecord], process: ProcessSize) -> LimitShare:
        """Return the share of a process of this size beside these others.

        Where the limit does not suffice for one more process of this size, one that waits to start has no
        share: it can start only when another one has ended.
        """
        waiting = sum(other.waiting for other in others)
        processes = 1 + len(others)
        if waiting and not process.fits(limits, processes):
            processes -= waiting
        else:
            waiting = 0
        sockets = min(limits.sockets // processes, limits.sockets - sum(other.sockets for other in others))
        left = limits.memory - waiting * WAITING_PROCESS_BYTES
        memory = min(left // processes, left - sum(other.memory for other in others))
        return cls(max(0, memory), max(MIN_SOCKETS, sockets), processes)


@dataclass(slots=True, frozen=True)
class LimitUse:
    """What a process holds, by the fields of ``MemoryBudget``, and its connections to backends."""

    clients: int = 0
    open_requests: int = 0
    open_short_bodies: int = 0
    open_long_bodies: int = 0
    file_sessions: int = 0
    volumes: int = 0
    heads: int = 0
    short_bodies: int = 0
    long_bodies: int = 0
    answers: int = 0
    files: int = 0
    backends: int = 0


@dataclass(slots=True, frozen=True)
class ProcessBudget:
    """A share, divided among the uses within the process."""

    memory: MemoryBudget
    sockets: SocketBudget
    max_backends: int  # connections: an open request uses one at most

    @classmethod
    def divide(cls, limits: FrontLimits, share: LimitShare, process: ProcessSize) -> ProcessBudget:
        """Divide a share of a process."""
        sockets = SocketBudget.divide(share.sockets, limits.with_file_service)

        def divide(memory: int) -> MemoryBudget:
            memory_mb = memory / MEBIBYTE if limits.memory else 0.0
            return MemoryBudget.divide(memory_mb, sockets.clients, sockets.file_sessions, process.total)

        memory = divide(share.memory)
        if limits.memory and limits.may_be_upgraded and share.processes == 1:
            # Less would cost usual service more than a process that waits for a moment beside a full one.
            reduced = divide(share.memory - WAITING_PROCESS_BYTES)
            memory = reduced if reduced.max_upload == MAX_UPLOAD_BYTES else memory
        return cls(memory, sockets, min(sockets.backends, memory.open_requests))

    def memory_bytes(self, use: LimitUse) -> int:
        """Return what the process may take, where it holds more than its share that as well."""
        held = {
            name: max(getattr(self.memory, name), getattr(use, name))
            for name in LimitUse.__dataclass_fields__
            if name != "backends"
        }
        return replace(self.memory, **held).total_bytes()

    def socket_count(self, use: LimitUse) -> int:
        """Return how many sockets the process may hold, likewise."""
        clients = max(min(self.sockets.clients, self.memory.clients), use.clients)
        return RESERVED_SOCKETS + clients + max(self.max_backends, use.backends)
