"""Which relay a subscriber polls: failover to another one, and the return to the own region. No clock."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from cleatyoke.distribution.errors import NoRelayError


class RelaySelector:
    """The relays in the order of preference, and the one that is polled.

    ``tiers``: relays by nearness, of which the first tier is the own region's. Relays within a tier are
    alike, and each subscriber has them in an order of its own, so that the subscribers of a region spread.
    """

    def __init__(self, tiers: Sequence[Sequence[str]], rng: random.Random) -> None:
        self.order = [relay for tier in tiers for relay in rng.sample(list(tier), len(tier))]
        if not self.order:
            msg = "want one relay at the least"
            raise NoRelayError(msg)
        self.own_region_count = len(tiers[0])  # of the order, the relays of the own region
        self.place = 0  # of the polled relay in the order
        self._avoided_until: dict[int, float] = {}  # by place
        self._away_since: float | None = None  # when the own region was last left, or last tried again

    @property
    def current(self) -> str:
        """The relay that is polled."""
        return self.order[self.place]

    @property
    def has_alternatives(self) -> bool:
        """Whether there is another relay to fail over to."""
        return len(self.order) > 1

    @property
    def is_in_own_region(self) -> bool:
        """Whether the polled relay is of the subscriber's own region."""
        return self.place < self.own_region_count

    def fail_over(self, now: float, avoid_duration: float) -> None:
        """Choose another relay, and avoid the present one for so many seconds."""
        self._avoided_until[self.place] = now + avoid_duration
        self.place = self._next_place(now, len(self.order))
        if self.is_in_own_region:
            self._away_since = None
        elif self._away_since is None:
            self._away_since = now

    def return_to_own_region(self, now: float, interval: float) -> bool:
        """Choose a relay of the own region, ``interval`` seconds after it was left; whether one was chosen.

        Symptom without it: after a region's relays were down for a moment, its subscribers load another
        region's for good.
        """
        if self.is_in_own_region or self._away_since is None or now < self._away_since + interval:
            return False
        self.place = self._next_place(now, self.own_region_count)
        self._away_since = now
        return True

    def _next_place(self, now: float, count: int) -> int:
        """Return the next of the first ``count`` places that is not avoided, those of the own region first.

        If all are avoided, the one whose avoidance ends first.
        """
        places = sorted(
            range(count), key=lambda place: (place >= self.own_region_count, self._distance(place))
        )
        usable = [place for place in places if self._avoided_until.get(place, -math.inf) <= now]
        return usable[0] if usable else min(places, key=lambda place: self._avoided_until[place])

    def _distance(self, place: int) -> int:
        return (place - self.place - 1) % len(self.order)
