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

from cleatyoke.coordination.demand import Meters
from cleatyoke.coordination.quota_leases import Rights
from cleatyoke.membership.wire import HOME
from cleatyoke.scheduling import api


@dataclass(slots=True, frozen=True)
class ColdBox:
    resource: str
    cell: int
    warm_at: float  # Unix time


def resource(name: str, started: float) -> str:
    """``started``: Unix time, to the millisecond that discovery tells."""
    return "cold:" + hashlib.blake2s(f"{name}|{round(started * 1000)}".encode(), digest_size=12).hexdigest()


class ColdShares:
    """``name``: the id of a node, or None where it is not listed."""

    def __init__(
        self, rights: Rights, settings: Callable[[], api.Settings], name: Callable[[int], str | None]
    ) -> None:
        self.rights, self.settings, self.name = rights, settings, name
        self.boxes: dict[int, ColdBox] = {}  # node: while it is cold and listed as serving
        self.meters: Meters[str] = Meters()
        self.told: dict[int, int] = {}  # node: parts that the policy was told of

    def heard(self, now: float, unix: float, events: Iterable[api.Event]) -> None:
        """Lists and requests that came. ``now``: of the rights' clock; ``unix``: of the lists' one."""
        self.boxes = {node: box for node, box in self.boxes.items() if unix < box.warm_at}
        for event in events:
            if isinstance(event, api.NodeList):
                self.listed(unix, event)
            elif isinstance(event, api.Arrival):
                for box in self.boxes.values():
                    if box.cell == event.cell:
                        self.meters.asked(now, box.resource, event.units, self.home())

    def home(self) -> float:
        """Units a second of a box that has just started, for one front."""
        settings = self.settings()
        return max(1e-9, settings.cold_units / settings.safety.tip_after / max(1, settings.hosts))

    def listed(self, unix: float, news: api.NodeList) -> None:
        if news.kind in (api.ListKind.FULL, api.ListKind.OLD_COPY):
            self.boxes = {}
        ramp = self.settings().safety.ramp
        for entry in news.entries:
            self.boxes.pop(entry.node, None)
            name, warm_at = self.name(entry.node), entry.up_since + ramp
            if name and entry.state is api.NodeState.LIVE and entry.up_since > 0 and unix < warm_at:
                self.boxes[entry.node] = ColdBox(resource(name, entry.up_since), entry.cell, warm_at)

    def needs(self, now: float) -> dict[str, float]:
        """What this front could use of each cold box. Nothing is asked for at some: those it can lend."""
        asked = self.meters.needs(now)
        return {box.resource: asked.get(box.resource, 0.0) for box in self.boxes.values()}

    def changes(self, now: float) -> list[api.Event]:
        """What the policy has to be told before it decides anything at this moment."""
        out: list[api.Event] = []
        for node in self.boxes.keys() | self.told.keys():
            box = self.boxes.get(node)
            parts = self.rights.usable(box.resource, now) if box else HOME
            if parts != self.told.get(node, HOME):
                self.told[node] = parts
                if parts == HOME:
                    del self.told[node]
                out.append(api.LentNode(node, parts / HOME))
        return out
