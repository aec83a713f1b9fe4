"""How much of the request bodies on their way a front may hold, and how long one may take. No I/O, no clock.

A request's body is kept until its answer: only then can an attempt that never ran be retried. Its time counts
from its last byte (protocol page, Figures), so a client that is not read for a while loses none of it. Where
memory is short, bodies wait for each other and are not rejected.
"""

from __future__ import annotations

from collections.abc import Hashable

UNRESERVED_BYTES = 64 * 1024  # that every body may have without a reservation: connections bound their sum
MAX_UPLOAD_BYTES = 32 * 1024 * 1024 + UNRESERVED_BYTES  # of the longest body
BODY_GRACE = 2.5  # seconds that any body may take: a client may stall for two
MIN_BODY_RATE = 32 * 1024  # bytes a second of a longer one: half of the slowest client's


def body_timeout(size: int, grace: float = BODY_GRACE) -> float:
    """Return the seconds from its head in which a body has to bring more than ``size`` bytes."""
    return grace + size / MIN_BODY_RATE


class BodyMemory:
    """The memory, ``total`` bytes, that request bodies share.

    Each body reserves step by step what it holds beyond ``UNRESERVED_BYTES``.

    Prevents two failures. Without the total, large uploads together exhaust the process's memory and it is
    killed. With a total alone, half-read bodies could block each other: each holds memory and waits for more,
    until all time out. Therefore the first body that had to wait may always go on to ``max_body`` bytes, and
    what it needs is kept free of the others; it ends, and the next one is first.
    """

    def __init__(self, total: int, max_body: int = MAX_UPLOAD_BYTES) -> None:
        self.total = total
        self.max_body = min(max_body, total)
        self.reserved: dict[Hashable, int] = {}
        self.waiting: dict[Hashable, None] = {}  # the longest first; the first goes before all others

    def reserve(self, body: Hashable, size: int) -> bool:
        """Reserve memory for ``size`` bytes of the body in all; False where it has to wait and ask again.

        A body beyond ``max_body`` is never granted, and the caller's time limit ends it.
        """
        extra = max(0, size - UNRESERVED_BYTES)
        if extra <= self.reserved.get(body, 0):
            return True
        if extra > self.max_body:
            return False  # it never will be; others are not to wait for it
        first = next(iter(self.waiting), None)
        if self._reserved_by_rivals(body, first) + extra <= self._limit(is_first=first == body):
            self.reserved[body] = extra
            return True
        self.waiting.setdefault(body)
        if first is None:  # no body waited: this one becomes the first
            return self.reserve(body, size)
        return False

    def _limit(self, *, is_first: bool) -> int:
        return self.total if is_first else self.total - self.max_body

    def _reserved_by_rivals(self, body: Hashable, first: Hashable | None) -> int:
        """Return what other bodies hold; the first waiting one has its part in what is kept free for it."""
        others = sum(size for owner, size in self.reserved.items() if owner != body)
        if first is None or first == body:
            return others
        return others - self.reserved.get(first, 0)

    def release(self, body: Hashable) -> None:
        """Free the memory of a body that is answered, or whose client has gone."""
        self.reserved.pop(body, None)
        self.waiting.pop(body, None)
