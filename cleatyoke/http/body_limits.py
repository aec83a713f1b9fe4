"""How much of the bodies that are on their way a front may hold, and how long one may take. No I/O, no clock.

A request's body is held whole until its answer, as only then can an attempt that never ran be made again. Its
time counts from its last byte (protocol page, Figures), so a client that is not read for a while loses none:
where memory is short, bodies wait for each other instead of being turned away.
"""

from __future__ import annotations

from collections.abc import Hashable

UNRESERVED_BYTES = 64 * 1024  # bytes that every body may have without asking: connections bound their sum
MAX_UPLOAD_BYTES = 32 * 1024 * 1024 + UNRESERVED_BYTES  # bytes of the longest body
GRACE = 2.5  # seconds that any body may take: a client may stall for two
SLOWEST = 32 * 1024  # bytes a second that a longer one has to come with: half of the slowest client's


def body_timeout(size: int, grace: float = GRACE) -> float:
    """Seconds from its head in which a body has to have brought more than ``size`` bytes."""
    return grace + size / SLOWEST


class BodyMemory:
    """The memory that bodies share, ``total`` bytes. Each body takes what it holds beyond ``WHOLE`` step by
    step. One of them, the first that was ever told to wait, may always go on to ``most``: what that needs is
    kept free of the others, so they cannot block each other half read.
    """

    def __init__(self, total: int, most: int = MAX_UPLOAD_BYTES) -> None:
        self.total, self.max_body = total, min(most, total)
        self.reserved: dict[Hashable, int] = {}
        self.waiting: dict[Hashable, None] = {}  # the longest first; the first of them goes before all others

    def others(self, body: Hashable) -> int:
        return sum(size for one, size in self.reserved.items() if one != body)

    def reserve(self, body: Hashable, size: int) -> bool:
        """Whether the body may hold ``size`` bytes in all, and so does; else it waits and asks again."""
        extra = max(0, size - UNRESERVED_BYTES)
        if extra <= self.reserved.get(body, 0):
            return True
        if extra > self.max_body:
            return False  # it never will; others are not to wait for it
        first = next(iter(self.waiting), None)
        favoured = sum(self.reserved.get(one, 0) for one in [first] if one is not None and one != body)
        limit = self.total if first == body else self.total - self.max_body
        if self.others(body) - favoured + extra > limit:
            self.waiting.setdefault(body)
            if first is None:
                return self.reserve(body, size)  # nobody waited: it is the one that goes before all others
            return False
        self.reserved[body] = extra
        return True

    def release(self, body: Hashable) -> None:
        """The body is answered, or its client has gone."""
        self.reserved.pop(body, None)
        self.waiting.pop(body, None)
