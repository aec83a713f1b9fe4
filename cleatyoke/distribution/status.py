"""What of the distributed configuration is in force at a front, how old that is and who told it; no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from cleatyoke.distribution.records import NOTHING, Lane, Version
from cleatyoke.distribution.subscriber import Subscriber

OLD = 13.0  # seconds after which it is said that what is in force may be old


@dataclass(slots=True, frozen=True)
class RejectedVersion:
    """A change that is not valid."""

    version: Version
    why: str


@dataclass(slots=True)
class SubscriptionStatus:
    """``in_force``: the version of the settings that the policy decides by; ``refused``: by key, a version
    that is not valid, and why.
    """

    subscriber: Subscriber
    in_force: Version = NOTHING
    refused: dict[str, RejectedVersion] = field(default_factory=dict)
    told_old: bool = False

    def took(self, version: Version, keys: Iterable[str]) -> None:
        """Of these keys the latest values are in force."""
        self.in_force = version
        for key in keys:
            self.refused.pop(key, None)

    def turned_down(self, key: str, version: Version, why: str) -> None:
        self.refused[key] = RejectedVersion(version, why)

    def became_old(self, now: float) -> bool | None:
        """Whether what is in force has become old, or fresh again, since the last look; None: neither."""
        old = self.subscriber.age(now) > OLD
        if old == self.told_old:
            return None
        self.told_old = old
        return old

    def lines(self, now: float) -> list[str]:
        """``NAME=VALUE``, as ``show-config`` tells it."""
        subscriber, age = self.subscriber, self.subscriber.age(now)
        whole = all(known.position.after is None for known in subscriber.lanes.values())
        known = {lane: subscriber.lanes[lane].position.number for lane in Lane}
        return [
            f"config.in_force={self.in_force.epoch}.{self.in_force.number}",
            f"config.refused={len(self.refused)}",
            *(
                f"config.refused.{key}={one.version.number} {one.why}"
                for key, one in list(self.refused.items())
            ),
            f"config.known={subscriber.epoch}.{known[Lane.SETTINGS]}",
            f"config.nodes_known={subscriber.epoch}.{known[Lane.NODES]}",
            f"config.whole={'yes' if whole else 'no'}",
            f"config.age_s={'unknown' if math.isinf(age) else f'{age:.1f}'}",
            f"config.source={subscriber.source or 'none'}",
            f"config.relay={subscriber.order[subscriber.place]}",
            f"config.polls={subscriber.polls}",
            f"config.bytes={subscriber.bytes}",
            *(f"config.not_taken.{why.replace(' ', '_')}={count}" for why, count in refusals(subscriber)),
        ]

    def gauges(self, now: float) -> dict[str, float]:
        """For metrics: numbers alone. An age that nobody knows is infinite."""
        return {
            "config_epoch": float(self.in_force.epoch),
            "config_number": float(self.in_force.number),
            "config_age_seconds": self.subscriber.age(now),
            "config_refused": float(len(self.refused)),
        }


def refusals(subscriber: Subscriber) -> list[tuple[str, int]]:
    return sorted(subscriber.refused.items())
