"""Limits on the memory and the time that request bodies may take. No I/O, no clock.

A request's body is kept until its response, so that an attempt that never ran can be retried. A request's
time limit counts from its last byte (protocol page, Figures), so pausing reads from a client does not shorten
it. If memory is short, bodies wait for each other instead of being rejected.
"""

from __future__ import annotations

from collections.abc import Hashable

from cleatyoke.limits.memory_budget import MAX_UPLOAD_BYTES, UNRESERVED_BYTES

BODY_GRACE = 2.5  # seconds that any body may take: clients may stall for 2 s
MIN_BODY_RATE = 32 * 1024  # bytes/s required beyond that: half the rate of the slowest client


def body_timeout(size: int, grace: float = BODY_GRACE) -> float:
    """Return the seconds after the head within which more than ``size`` bytes of the body must arrive."""
    return grace + size / MIN_BODY_RATE


class BodyMemory:
    """Memory budget of ``total`` bytes that request bodies share.

    Each body reserves incrementally what it holds beyond ``UNRESERVED_BYTES``. Without the total, concurrent
    large uploads would exhaust the process's memory. With a total alone, partly read bodies could deadlock:
    each holds memory and waits for more until all time out. Therefore ``max_body`` bytes are set aside for
    the longest waiting body, which can always complete; then the next one takes its place.
    """

    def __init__(self, total: int, max_body: int = MAX_UPLOAD_BYTES) -> None:
        self.total = total
        self.max_body = min(max_body, total)
        self.reserved: dict[Hashable, int] = {}
        self.waiting: dict[Hashable, None] = {}  # in waiting order; the first one has priority

    def reserve(self, body: Hashable, size: int) -> bool:
        """Reserve memory for ``size`` bytes of the body in total; False if the caller has to retry later.

        A body beyond ``max_body`` is never granted memory; the caller's timeout ends it.
        """
        extra = max(0, size - UNRESERVED_BYTES)
        if extra <= self.reserved.get(body, 0):
            return True
        if extra > self.max_body:
            return False  # never granted, so it must not hold up the others
        first = next(iter(self.waiting), None)
        if self._reserved_by_others(body, first) + extra <= self._limit(is_first=first == body):
            self.reserved[body] = extra
            return True
        self.waiting.setdefault(body)
        if first is None:  # no body was waiting: this one becomes the first
            return self.reserve(body, size)
        return False

    def _limit(self, *, is_first: bool) -> int:
        return self.total if is_first else self.total - self.max_body

    def _reserved_by_others(self, body: Hashable, first: Hashable | None) -> int:
        """Return what other bodies hold, without the first waiting one: its share is set aside."""
        others = sum(size for owner, size in self.reserved.items() if owner != body)
        if first is None or first == body:
            return others
        return others - self.reserved.get(first, 0)

    def release(self, body: Hashable) -> None:
        """Free the memory of a body whose request is answered or whose client has disconnected."""
        self.reserved.pop(body, None)
        self.waiting.pop(body, None)
