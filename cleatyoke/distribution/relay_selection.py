"""Selection of the relay that a subscriber polls: failover and return to the own region. Uses no clock."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from cleatyoke.distribution.errors import NoRelayError


class RelaySelector:
    """The relays in order of preference, and the one that is polled.

    ``tiers``: relays by proximity; the first tier is the subscriber's own region. Relays within a tier are
    equivalent, and each subscriber shuffles them, so that the subscribers of a region are spread over them.
    """

    def __init__(self, tiers: Sequence[Sequence[str]], rng: random.Random) -> None:
        self.order = [relay for tier in tiers for relay in rng.sample(list(tier), len(tier))]
        if not self.order:
            msg = "at least one relay is required"
            raise NoRelayError(msg)
        self.own_region_count = len(tiers[0])  # number of own-region relays, which come first in ``order``
        self.index = 0  # of the polled relay in ``order``
        self._avoided_until: dict[int, float] = {}  # by index
        self._own_region_left_at: float | None = None  # or when it was last tried again

    @property
    def current(self) -> str:
        """The relay that is polled."""
        return self.order[self.index]

    @property
    def has_alternatives(self) -> bool:
        """Whether there is a relay to fail over to."""
        return len(self.order) > 1

    @property
    def is_in_own_region(self) -> bool:
        """Whether the polled relay is in the subscriber's own region."""
        return self.index < self.own_region_count

    def fail_over(self, now: float, avoid_duration: float) -> None:
        """Select another relay, and avoid the current one for ``avoid_duration`` seconds."""
        self._avoided_until[self.index] = now + avoid_duration
        self.index = self._next_index(now, len(self.order))
        if self.is_in_own_region:
            self._own_region_left_at = None
        elif self._own_region_left_at is None:
            self._own_region_left_at = now

    def return_to_own_region(self, now: float, interval: float) -> bool:
        """Select an own-region relay ``interval`` seconds after the region was left; return whether it did.

        Without it, subscribers whose relays were briefly down would load another region's relays permanently.
        """
        if (
            self.is_in_own_region
            or self._own_region_left_at is None
            or now < self._own_region_left_at + interval
        ):
            return False
        self.index = self._next_index(now, self.own_region_count)
        self._own_region_left_at = now
        return True

    def _next_index(self, now: float, count: int) -> int:
        """Return the next of the first ``count`` indexes that is not avoided, own region first.

        If all are avoided, return the one whose avoidance ends first.
        """
        indexes = sorted(
            range(count), key=lambda index: (index >= self.own_region_count, self._distance(index))
        )
        usable = [index for index in indexes if self._avoided_until.get(index, -math.inf) <= now]
        return usable[0] if usable else min(indexes, key=lambda index: self._avoided_until[index])

    def _distance(self, index: int) -> int:
        return (index - self.index - 1) % len(self.order)
