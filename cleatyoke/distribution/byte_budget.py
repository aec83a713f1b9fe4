"""A token bucket that limits the bytes of a subscriber's polls and replies. No clock: time is passed in."""

from __future__ import annotations

import math


class ByteBudget:
    """Limit the bytes of all exchanges to a rate, with a burst.

    Symptom without it: a subscriber that copies a long lane fills the control network, of which each front
    has a fixed fraction (``docs/CAPACITY.md``). The size of a reply is known only once it has arrived, so the
    level may fall below zero; the next poll then waits, and asks for less.

    ``level``: bytes that may be used at once. The rate (bytes a second) and the burst (bytes) are passed in,
    as settings may change.
    """

    def __init__(self, burst: float) -> None:
        self.level = burst
        self._refilled_at = -math.inf

    def start(self, now: float) -> None:
        """Begin to count time; until then nothing is refilled."""
        self._refilled_at = now

    def refill(self, now: float, rate: float, burst: float) -> None:
        """Add the bytes of the time since the last refill."""
        self.level = min(burst, self.level + rate * (now - self._refilled_at))
        self._refilled_at = now

    def spend(self, size: int) -> None:
        """Take out bytes that were sent or received."""
        self.level -= size
