"""Quota leases for nodes that are warming up: how much of such a node's capacity this front may use.

No I/O and no clock. The home quota is an equal share of the units that the settings allow for a node that has
just started, which the scheduler applies without leases. The resource is one process run of a node. Fronts
that know different start times of a node lend each other nothing and keep to their home quotas, which is the
safe side.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cleatyoke.coordination.demand import DemandMeters
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.membership.wire import HOME_QUOTA_PARTS
from cleatyoke.scheduling.events import (
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    SchedulerEvent,
    SlowStartLeaseChanged,
    UpdateKind,
)
from cleatyoke.scheduling.settings import SchedulerSettings

MIN_HOME_RATE = 1e-9  # units a second; avoids a division by 0 if the settings allow no units


@dataclass(slots=True, frozen=True)
class WarmingNode:
    """A live node whose slow start is not over."""

    resource: str  # its name on the wire
    shard: int | None
    warmed_up_at: float  # Unix time


def warming_node_resource(name: str, started: float) -> str:
    """Return the resource name, as used on the wire, of a node's process run.

    ``started``: Unix time; rounded to milliseconds, the precision of discovery.
    """
    # The prefix "cold:" is part of the wire format: fronts of older releases use the same name.
    return "cold:" + hashlib.blake2s(f"{name}|{round(started * 1000)}".encode(), digest_size=12).hexdigest()


class SlowStartLeases:
    """Measures the demand for each warming node, and reports this front's quota under its leases.

    ``settings`` returns the settings in force. ``node_name`` returns the id of a node that is the same at all
    fronts, or None for a node that is not listed.
    """

    def __init__(
        self,
        leases: QuotaLeases,
        settings: Callable[[], SchedulerSettings],
        node_name: Callable[[int], str | None],
    ) -> None:
        self.leases = leases
        self.settings = settings
        self.node_name = node_name
        self.warming_nodes: dict[int, WarmingNode] = {}  # by node id
        self.meters: DemandMeters[str] = DemandMeters()
        self.reported_parts: dict[int, int] = {}  # by node id; HOME_QUOTA_PARTS if absent

    def observe(self, now: float, unix_time: float, events: Iterable[SchedulerEvent]) -> None:
        """Apply the endpoint updates and count the requests among these events.

        ``now``: the leases' monotonic clock. ``unix_time``: the clock of the nodes' start times.
        """
        self.warming_nodes = {
            node_id: node for node_id, node in self.warming_nodes.items() if unix_time < node.warmed_up_at
        }
        for event in events:
            if isinstance(event, EndpointUpdate):
                self._update_endpoints(unix_time, event)
            elif isinstance(event, RequestArrived):
                self._count_request(now, event)

    def demand(self, now: float) -> dict[str, float]:
        """Return, by resource, the demand for each warming node; 0 lists a node only to lend from it."""
        measured = self.meters.demand(now)
        return {node.resource: measured.get(node.resource, 0.0) for node in self.warming_nodes.values()}

    def quota_changes(self, now: float) -> list[SchedulerEvent]:
        """Return the quota changes that the scheduler must process before it decides anything now."""
        changes: list[SchedulerEvent] = []
        for node_id in self.warming_nodes.keys() | self.reported_parts.keys():
            node = self.warming_nodes.get(node_id)
            parts = self.leases.usable_parts(node.resource, now) if node else HOME_QUOTA_PARTS
            if parts == self.reported_parts.get(node_id, HOME_QUOTA_PARTS):
                continue
            self.reported_parts[node_id] = parts
            if parts == HOME_QUOTA_PARTS:
                del self.reported_parts[node_id]
            changes.append(SlowStartLeaseChanged(node_id, parts / HOME_QUOTA_PARTS))
        return changes

    def _home_rate(self) -> float:
        """Return the units a second of one front's home quota in a node that has just started.

        Without a window (``overload_after`` is 0) the settings define no rate for a node.
        """
        settings = self.settings()
        window = settings.safety.overload_after
        node_rate = settings.slow_start_units / window if window else 0.0
        return max(MIN_HOME_RATE, node_rate / max(1, settings.front_count))

    def _count_request(self, now: float, request: RequestArrived) -> None:
        for node in self.warming_nodes.values():
            if node.shard == request.shard:
                self.meters.record(now, node.resource, request.units, self._home_rate())

    def _update_endpoints(self, unix_time: float, update: EndpointUpdate) -> None:
        if update.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            self.warming_nodes = {}
        duration = self.settings().safety.slow_start_duration
        for endpoint in update.endpoints:
            self.warming_nodes.pop(endpoint.node_id, None)
            name = self.node_name(endpoint.node_id)
            warmed_up_at = endpoint.started_at + duration
            is_warming = endpoint.started_at > 0 and unix_time < warmed_up_at
            if name and endpoint.state is EndpointState.LIVE and is_warming:
                self.warming_nodes[endpoint.node_id] = WarmingNode(
                    warming_node_resource(name, endpoint.started_at), endpoint.shard, warmed_up_at
                )
