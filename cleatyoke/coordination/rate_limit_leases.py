"""Quota leases for the rate limits of volumes: what is measured, and what the scheduler is told.

No I/O and no clock. The home quota of a volume is a front's even part of the limit, which the scheduler
applies without leases. Times are seconds of the leases' monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cleatyoke.coordination.demand import DemandMeters
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.membership.wire import HOME_PARTS
from cleatyoke.scheduling.events import QuotaLeaseChanged, RequestArrived, SchedulerEvent
from cleatyoke.scheduling.settings import VolumePlan


def rate_limit_resource(volume: int) -> str:
    """The name on the wire of a volume's rate limit."""
    return f"limit:{volume:x}"


class RateLimitLeases:
    """Measure the demand for each limited volume, and report the quota that leases leave to this front.

    ``plans`` returns the plans of the settings in force, by plan index.
    """

    def __init__(self, leases: QuotaLeases, plans: Callable[[], list[VolumePlan]]) -> None:
        self.leases = leases
        self.plans = plans
        self.meters: DemandMeters[int] = DemandMeters()
        self.reported_parts: dict[int, int] = {}  # by volume, where not HOME_PARTS

    def observe(self, now: float, events: Iterable[SchedulerEvent]) -> None:
        """Count the requests among these events."""
        for event in events:
            if isinstance(event, RequestArrived) and (limit := self.plans()[event.plan_index].rate_limit):
                home_rate = limit / max(1, event.front_count)
                self.meters.record(now, event.volume_id, event.units, home_rate)

    def demand(self, now: float) -> dict[str, float]:
        """By resource: what this front could use of the volumes that it has requests for."""
        return {rate_limit_resource(volume): parts for volume, parts in self.meters.demand(now).items()}

    def quota_changes(self, now: float) -> list[SchedulerEvent]:
        """What the scheduler must be told before it decides anything at this moment."""
        out: list[SchedulerEvent] = []
        for volume in self.meters.by_key.keys() | self.reported_parts.keys():
            parts = self.leases.usable_parts(rate_limit_resource(volume), now)
            if parts == self.reported_parts.get(volume, HOME_PARTS):
                continue
            self.reported_parts[volume] = parts
            if parts == HOME_PARTS:
                del self.reported_parts[volume]
            out.append(QuotaLeaseChanged(volume, parts / HOME_PARTS))
        return out
