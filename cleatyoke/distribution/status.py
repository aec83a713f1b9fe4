"""State of the distributed configuration at a front: its version, age and source. Does no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from cleatyoke.distribution.records import NO_VERSION, Lane, Version
from cleatyoke.distribution.subscriber import Subscriber

MAX_AGE = 13.0  # seconds; an older configuration is reported as possibly outdated


@dataclass(slots=True, frozen=True)
class RejectedVersion:
    """A change that is not valid, and the reason."""

    version: Version
    reason: str


@dataclass(slots=True)
class SubscriptionStatus:
    """The state of a front's subscription for operators.

    ``in_force``: version of the settings that the scheduler uses. ``rejected``: by key, the latest version if
    it is not valid. ``reported_stale``: whether the configuration was last reported as outdated.
    """

    subscriber: Subscriber
    in_force: Version = NO_VERSION
    rejected: dict[str, RejectedVersion] = field(default_factory=dict)
    reported_stale: bool = False

    def settings_applied(self, version: Version, keys: Iterable[str]) -> None:
        """Record that settings with the latest values of these keys are in force."""
        self.in_force = version
        for key in keys:
            self.rejected.pop(key, None)

    def settings_rejected(self, key: str, version: Version, reason: str) -> None:
        """Record a change that is not valid."""
        self.rejected[key] = RejectedVersion(version, reason)

    def check_staleness(self, now: float) -> bool | None:
        """Return whether the configuration is outdated, or None if unchanged since the last call."""
        is_stale = self.subscriber.age(now) > MAX_AGE
        if is_stale == self.reported_stale:
            return None
        self.reported_stale = is_stale
        return is_stale

    def lines(self, now: float) -> list[str]:
        """Return the lines ``NAME=VALUE`` of ``show-config`` (``docs/distribution.md``)."""
        subscriber = self.subscriber
        age = subscriber.age(now)
        known = {lane: subscriber.lanes[lane].position.number for lane in Lane}
        return [
            f"config.in_force={self.in_force.epoch}.{self.in_force.number}",
            f"config.refused={len(self.rejected)}",
            *(
                f"config.refused.{key}={one.version.number} {one.reason}"
                for key, one in list(self.rejected.items())  # a copy: called from another thread too
            ),
            f"config.known={subscriber.epoch}.{known[Lane.SETTINGS]}",
            f"config.nodes_known={subscriber.epoch}.{known[Lane.NODES]}",
            f"config.whole={'yes' if subscriber.is_complete else 'no'}",
            f"config.age_s={'unknown' if math.isinf(age) else f'{age:.1f}'}",
            f"config.source={subscriber.source_name or 'none'}",
            f"config.relay={subscriber.relays.current}",
            f"config.polls={subscriber.poll_count}",
            f"config.bytes={subscriber.bytes_exchanged}",
            *(
                f"config.not_taken.{reason.replace(' ', '_')}={count}"
                for reason, count in sorted(subscriber.rejected.items())
            ),
        ]

    def gauges(self, now: float) -> dict[str, float]:
        """Return the values of metrics by name. An unknown age is infinite."""
        return {
            "config_epoch": float(self.in_force.epoch),
            "config_number": float(self.in_force.number),
            "config_age_seconds": self.subscriber.age(now),
            "config_refused": float(len(self.rejected)),
        }
