"""Quota leases for the rate limits of volumes: demand measurement, and quota changes for the scheduler.

No I/O and no clock. The home quota in a volume is the front's equal share of the rate limit, which the
scheduler applies without leases. Times are seconds of the leases' monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cleatyoke.coordination.demand import DemandMeters
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.membership.wire import HOME_QUOTA_PARTS
from cleatyoke.scheduling.events import QuotaLeaseChanged, RequestArrived, SchedulerEvent
from cleatyoke.scheduling.settings import VolumePlan


def rate_limit_resource(volume: int) -> str:
    """Return the resource name, as used on the wire, of a volume's rate limit."""
    return f"limit:{volume:x}"


class RateLimitLeases:
    """Measures the demand for each rate-limited volume, and reports this front's quota under its leases.

    ``plans`` returns the plans of the settings in force, by plan index.
    """

    def __init__(self, leases: QuotaLeases, plans: Callable[[], list[VolumePlan]]) -> None:
        self.leases = leases
        self.plans = plans
        self.meters: DemandMeters[int] = DemandMeters()
        self.reported_parts: dict[int, int] = {}  # by volume; HOME_QUOTA_PARTS if absent

    def observe(self, now: float, events: Iterable[SchedulerEvent]) -> None:
        """Count the units of the requests among these events."""
        for event in events:
            if isinstance(event, RequestArrived) and (limit := self.plans()[event.plan_index].rate_limit):
                home_rate = limit / max(1, event.front_count)
                self.meters.record(now, event.volume_id, event.units, home_rate)

    def demand(self, now: float) -> dict[str, float]:
        """Return, by resource, the demand for the volumes that this front has requests for."""
        return {rate_limit_resource(volume): parts for volume, parts in self.meters.demand(now).items()}

    def quota_changes(self, now: float) -> list[SchedulerEvent]:
        """Return the quota changes that the scheduler must process before it decides anything now."""
        changes: list[SchedulerEvent] = []
        for volume in self.meters.by_key.keys() | self.reported_parts.keys():
            parts = self.leases.usable_parts(rate_limit_resource(volume), now)
            if parts == self.reported_parts.get(volume, HOME_QUOTA_PARTS):
                continue
            self.reported_parts[volume] = parts
            if parts == HOME_QUOTA_PARTS:
                del self.reported_parts[volume]
            changes.append(QuotaLeaseChanged(volume, parts / HOME_QUOTA_PARTS))
        return changes
