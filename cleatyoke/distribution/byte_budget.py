"""Token bucket that limits the bytes of a subscriber's polls and replies. Time is passed in."""

from __future__ import annotations

import math


class ByteBudget:
    """Limits the bytes of all exchanges to a rate, with a burst.

    Without it, a subscriber that copies a long lane would use up the control network, of which each front
    may use a fixed fraction (``docs/CAPACITY.md``). The size of a reply is known only after it has arrived,
    so the level may become negative; the next poll is then delayed and requests less.

    ``level``: bytes that may be used at once. The rate (bytes per second) and the burst (bytes) are arguments
    of ``refill``, as settings may change.
    """

    def __init__(self, burst: float) -> None:
        self.level = burst
        self._refilled_at = -math.inf

    def start(self, now: float) -> None:
        """Set the time from which the budget is refilled."""
        self._refilled_at = now

    def refill(self, now: float, rate: float, burst: float) -> None:
        """Add the bytes for the time since the last refill, up to the burst."""
        self.level = min(burst, self.level + rate * (now - self._refilled_at))
        self._refilled_at = now

    def spend(self, size: int) -> None:
        """Deduct bytes that were sent or received."""
        self.level -= size
