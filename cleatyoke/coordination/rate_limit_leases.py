"""Limits of volumes by rights: what is asked for here, what may be used, and when the policy hears of it.

No input, output or clock. A volume's resource is its number; its home part is a front's even part of the
limit, as the policy has it without this.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cleatyoke.coordination.demand import DemandMeters
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.membership.wire import HOME_PARTS
from cleatyoke.scheduling.events import QuotaLeaseChanged, RequestArrived, SchedulerEvent
from cleatyoke.scheduling.settings import VolumePlan


def resource(volume: int) -> str:
    return f"limit:{volume:x}"


class RateLimitLeases:
    """``plans``: of the settings that count now. Times are of one clock, the rights' own."""

    def __init__(self, rights: QuotaLeases, plans: Callable[[], list[VolumePlan]]) -> None:
        self.rights, self.plans = rights, plans
        self.meters: DemandMeters[int] = DemandMeters()
        self.told: dict[int, int] = {}  # volume: parts that the policy was told of

    def heard(self, now: float, events: Iterable[SchedulerEvent]) -> None:
        """Requests that came."""
        for event in events:
            if isinstance(event, RequestArrived) and (limit := self.plans()[event.plan_index].rate_limit):
                self.meters.asked(now, event.volume_id, event.units, limit / max(1, event.front_count))

    def needs(self, now: float) -> dict[str, float]:
        """What this front could use of each volume that it is asked for."""
        return {resource(volume): need for volume, need in self.meters.needs(now).items()}

    def changes(self, now: float) -> list[SchedulerEvent]:
        """What the policy has to be told before it decides anything at this moment."""
        out: list[SchedulerEvent] = []
        for volume in self.meters.by_key.keys() | self.told.keys():
            parts = self.rights.usable(resource(volume), now)
            if parts != self.told.get(volume, HOME_PARTS):
                self.told[volume] = parts
                if parts == HOME_PARTS:
                    del self.told[volume]
                out.append(QuotaLeaseChanged(volume, parts / HOME_PARTS))
        return out
