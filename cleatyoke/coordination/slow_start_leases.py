"""Cold boxes by rights: which are cold, what is asked for at them here, and which part of what one bears this
front may send.

No input, output or clock. All fronts are at home in an even part of the units that the settings state for a
cold box, as the policy has it without this. The resource is a box in one of its lives, by its id and start:
fronts that know of different starts lend one another nothing, and each keeps to its own part (the safe side).
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cleatyoke.coordination.demand import DemandMeters
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.membership.wire import HOME_PARTS
from cleatyoke.scheduling.events import (
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    SchedulerEvent,
    SlowStartLeaseChanged,
    UpdateKind,
)
from cleatyoke.scheduling.settings import SchedulerSettings


@dataclass(slots=True, frozen=True)
class WarmingNode:
    resource: str
    cell: int | None
    warm_at: float  # Unix time


def resource(name: str, started: float) -> str:
    """``started``: Unix time, to the millisecond that discovery tells."""
    return "cold:" + hashlib.blake2s(f"{name}|{round(started * 1000)}".encode(), digest_size=12).hexdigest()


class SlowStartLeases:
    """``name``: the id of a node, or None where it is not listed."""

    def __init__(
        self,
        rights: QuotaLeases,
        settings: Callable[[], SchedulerSettings],
        name: Callable[[int], str | None],
    ) -> None:
        self.rights, self.settings, self.name = rights, settings, name
        self.boxes: dict[int, WarmingNode] = {}  # node: while it is cold and listed as serving
        self.meters: DemandMeters[str] = DemandMeters()
        self.told: dict[int, int] = {}  # node: parts that the policy was told of

    def heard(self, now: float, unix: float, events: Iterable[SchedulerEvent]) -> None:
        """Lists and requests that came. ``now``: of the rights' clock; ``unix``: of the lists' one."""
        self.boxes = {node: box for node, box in self.boxes.items() if unix < box.warm_at}
        for event in events:
            if isinstance(event, EndpointUpdate):
                self.listed(unix, event)
            elif isinstance(event, RequestArrived):
                for box in self.boxes.values():
                    if box.cell == event.shard:
                        self.meters.asked(now, box.resource, event.units, self.home())

    def home(self) -> float:
        """Units a second of a box that has just started, for one front."""
        settings = self.settings()
        return max(
            1e-9, settings.slow_start_units / settings.safety.overload_after / max(1, settings.front_count)
        )

    def listed(self, unix: float, news: EndpointUpdate) -> None:
        if news.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            self.boxes = {}
        ramp = self.settings().safety.slow_start_duration
        for entry in news.endpoints:
            self.boxes.pop(entry.node_id, None)
            name, warm_at = self.name(entry.node_id), entry.started_at + ramp
            if name and entry.state is EndpointState.LIVE and entry.started_at > 0 and unix < warm_at:
                self.boxes[entry.node_id] = WarmingNode(
                    resource(name, entry.started_at), entry.shard, warm_at
                )

    def needs(self, now: float) -> dict[str, float]:
        """What this front could use of each cold box. Nothing is asked for at some: those it can lend."""
        asked = self.meters.needs(now)
        return {box.resource: asked.get(box.resource, 0.0) for box in self.boxes.values()}

    def changes(self, now: float) -> list[SchedulerEvent]:
        """What the policy has to be told before it decides anything at this moment."""
        out: list[SchedulerEvent] = []
        for node in self.boxes.keys() | self.told.keys():
            box = self.boxes.get(node)
            parts = self.rights.usable(box.resource, now) if box else HOME_PARTS
            if parts != self.told.get(node, HOME_PARTS):
                self.told[node] = parts
                if parts == HOME_PARTS:
                    del self.told[node]
                out.append(SlowStartLeaseChanged(node, parts / HOME_PARTS))
        return out
