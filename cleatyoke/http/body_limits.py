"""Limits on the memory and the time that request bodies may take. No I/O, no clock.

A request's body is kept until its response, so that an attempt that never ran can be retried. If memory is
short, bodies wait for each other, for a limited time (``cleatyoke.http.body_reader``): a request's own time
limit counts from its last byte, which may have been written long before the front reads it.
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

    Each body reserves what it holds beyond ``UNRESERVED_BYTES``: incrementally, or at once if its length is
    declared. The first ``UNRESERVED_BYTES`` of all bodies have ``short_total`` bytes of their own, unlimited
    if None; once these are used up, bodies reserve all they hold. Without the total, concurrent
    large uploads would exhaust the process's memory. With a total alone, partly read bodies could deadlock:
    each holds memory and waits for more until all time out. Therefore ``max_body`` bytes are set aside for
    the longest waiting body, which can always complete; then the next one takes its place.

    A body whose length is declared cannot deadlock, so these need nothing set aside. They must leave as much
    free as they take, at most ``headroom`` bytes, so that long bodies do not keep shorter ones waiting.

    The limits may be reduced (``resize``) while bodies hold more; these then keep what they hold. So that
    bodies that arrive slowly do not keep memory which they are not using yet, ``limit_to_received`` takes
    back what is reserved beyond the received bytes, and bodies reserve the rest as it arrives (``hold``).
    """

    def __init__(
        self,
        total: int,
        max_body: int = MAX_UPLOAD_BYTES,
        short_total: int | None = None,
        headroom: int = 0,
    ) -> None:
        self.total = total
        self.max_body = min(max_body, total)
        self.longest_body = self.max_body  # a longer one is not accepted at any time
        self.headroom = headroom
        self._short_total = short_total
        self._short_parts: dict[Hashable, int] = {}
        self._short_used = 0
        self._waiting_whole: dict[Hashable, int] = {}  # sizes of declared bodies, in waiting order
        self.reserved: dict[Hashable, int] = {}
        self.waiting: dict[Hashable, None] = {}  # in waiting order; the first one has priority
        self._received: dict[Hashable, int] = {}  # of declared bodies

    def resize(self, total: int, max_body: int, short_total: int, headroom: int) -> None:
        """Replace the limits; ``longest_body`` stays as it is."""
        self.total = total
        self.max_body = min(max_body, total)
        self._short_total = short_total
        self.headroom = headroom

    def reserve(self, body: Hashable, size: int) -> bool:
        """Reserve memory for ``size`` bytes of the body in total; False if the caller has to retry later.

        A body beyond ``max_body`` is never granted memory; the caller's timeout ends it.
        """
        short_part = self._short_part(body, size)
        extra = size - short_part
        if extra <= self.reserved.get(body, 0):
            self._reserve_short_part(body, short_part)
            return True
        if extra > self.max_body:
            return False  # never granted, so it must not hold up the others
        first = next(iter(self.waiting), None)
        if self._reserved_by_others(body, first) + extra <= self._limit(is_first=first == body):
            self._grant(body, short_part, extra)
            return True
        self.waiting.setdefault(body)
        if first is None:  # no body was waiting: this one becomes the first
            return self.reserve(body, size)
        return False

    def reserve_whole(self, body: Hashable, size: int) -> bool:
        """Reserve memory for a body that has not been read yet; False if the caller has to retry later."""
        short_part = self._short_part(body, size)
        extra = size - short_part
        set_aside = self.max_body if self.waiting else 0
        others = sum(self.reserved.values())
        is_too_much = others + extra + min(extra, self.headroom) > self.total - set_aside
        if extra and (is_too_much or self._is_behind(body, size)):
            self._waiting_whole.setdefault(body, size)
            return False
        self._waiting_whole.pop(body, None)
        self._grant(body, short_part, extra)
        return True

    def hold(self, body: Hashable, received: int, *, is_complete: bool) -> bool:
        """Note the received bytes of a declared body; False if it has to wait for memory to go on."""
        self._received[body] = received
        extra = received - self._short_parts.get(body, 0)
        reserved = self.reserved.get(body, 0)
        if extra <= reserved:
            return True
        if not is_complete and sum(self.reserved.values()) - reserved + extra > self.total:
            return False
        self.reserved[body] = extra
        return True

    def limit_to_received(self) -> None:
        """Take back what declared bodies have reserved beyond their received bytes."""
        for body, size in self.reserved.items():
            if body in self._received:
                received = self._received[body] - self._short_parts.get(body, 0)
                self.reserved[body] = min(size, max(0, received))

    def used_short_bytes(self) -> int:
        """Return the bytes of the first ``UNRESERVED_BYTES`` of all bodies that are reserved."""
        return self._short_used

    def used_long_bytes(self) -> int:
        """Return the bytes beyond these that are reserved."""
        return sum(self.reserved.values())

    def _is_behind(self, body: Hashable, size: int) -> bool:
        """Whether a body that is no longer has waited for longer."""
        for other, other_size in self._waiting_whole.items():
            if other == body:
                return False
            if other_size <= size:
                return True
        return False

    def held_bytes(self) -> int:
        """Return the bytes that are reserved."""
        return self._short_used + self.used_long_bytes()

    def _short_part(self, body: Hashable, size: int) -> int:
        """Return how much of the body does not count towards ``total``."""
        part = min(size, UNRESERVED_BYTES)
        if self._short_total is None:
            return part
        own = self._short_parts.get(body, 0)
        return max(own, min(part, own + self._short_total - self._short_used))

    def _reserve_short_part(self, body: Hashable, size: int) -> None:
        self._short_used += size - self._short_parts.get(body, 0)
        self._short_parts[body] = size

    def _grant(self, body: Hashable, short_part: int, extra: int) -> None:
        self.reserved[body] = extra
        self._reserve_short_part(body, short_part)

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
        self._short_used -= self._short_parts.pop(body, 0)
        self._waiting_whole.pop(body, None)
        self._received.pop(body, None)
        self.reserved.pop(body, None)
        self.waiting.pop(body, None)
