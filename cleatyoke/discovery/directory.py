"""Who the nodes are: stable numbers for the policy, addresses and states for the fronts' box clients."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from itertools import count

from cleatyoke.admin.maintenance import OperatorHolds
from cleatyoke.config.addresses import Address
from cleatyoke.scheduling.events import Endpoint, EndpointState

MOST_GONE = 1024  # boxes that went and whose numbers are kept, as they may return or a call may name them


@dataclass(slots=True, frozen=True)
class Instance:
    """A box as discovery lists it."""

    name: str
    address: Address
    zone: str
    cell: int | None
    state: EndpointState
    started: float  # Unix time; 0 for long ago


@dataclass(slots=True, frozen=True)
class EndpointList:
    """A list, or the changes to one."""

    version: int
    whole: bool
    instances: list[Instance]


class Directory:
    """The latest word on each box. ``watchers`` hear of every box that changed or went."""

    def __init__(self, zones: dict[str, int]) -> None:
        self.zones = zones
        self.numbers: dict[str, int] = {}  # a box that comes back has its old number
        self.counted = count(1)  # a number is never given twice
        self.gone: dict[str, None] = {}  # boxes that are not listed, the first to go first
        self.boxes: dict[int, Instance] = {}
        self.leaving: set[int] = set()  # of these, those that discovery lists as not live
        self.version: int | None = None
        self.watchers: list[Callable[[int], None]] = []
        self.holds = OperatorHolds()  # boxes disabled by hand, by id

    def serves(self, node: int) -> bool:
        box = self.boxes.get(node)
        return box is not None and box.state is EndpointState.LIVE and not self.holds.is_held(box.name)

    def knows(self, name: str) -> bool:
        """Whether any list named the box; safe from another thread."""
        return name in self.numbers

    def latest(self, name: str) -> Instance | None:
        """The latest word on a box, if it is listed."""
        node = self.numbers.get(name)
        return None if node is None else self.boxes.get(node)

    def entry(self, node: int, box: Instance) -> Endpoint:
        """A box as the policy sees it: one held by hand drains, one released was started anew."""
        state = EndpointState.DRAINING if self.holds.is_held(box.name) else box.state
        zone = self.zones.setdefault(box.zone, len(self.zones))
        return Endpoint(node, box.cell, zone, state, self.holds.effective_start(box.name, box.started))

    def changed(self, names: list[str]) -> list[Endpoint]:
        """Holds were taken or given back: the entries that change for the policy, and the watchers told."""
        entries = []
        for name in names:
            node = self.numbers.get(name)
            if node is not None and (box := self.boxes.get(node)):
                entries.append(self.entry(node, box))
                for watcher in self.watchers:
                    watcher(node)
        return entries

    def down(self) -> int:
        """Listed boxes that nothing is sent to: held by hand, or draining."""
        held = (self.numbers.get(name) for name in list(self.holds.held))
        return len(self.leaving | {node for node in held if node in self.boxes})

    def apply(self, listing: EndpointList) -> list[Endpoint]:
        """Take in a list and return its entries for the policy. Changes cost by how many they are."""
        before: dict[int, Instance] = {}
        if listing.whole:
            for box in self.absent({box.name for box in listing.instances}):
                before[self.numbers[box.name]] = box
                self.put(replace(box, state=EndpointState.REMOVED))
        entries = []
        for box in listing.instances:
            if (node := self.numbers.get(box.name)) is not None and (known := self.boxes.get(node)):
                before.setdefault(node, known)
            entries.append(self.entry(self.put(box), box))
        self.version = listing.version
        self.forget()
        for node, box in before.items():
            if self.boxes.get(node) != box:
                for watcher in self.watchers:
                    watcher(node)
        return entries

    def absent(self, names: Collection[str]) -> list[Instance]:
        """The listed boxes that are not among these."""
        return [box for box in self.boxes.values() if box.name not in names]

    def put(self, box: Instance) -> int:
        """Keep the latest word on one box; returns its number."""
        if box.name not in self.numbers:
            self.numbers[box.name] = next(self.counted)
        node = self.numbers[box.name]
        self.leaving.discard(node)
        if box.state is EndpointState.REMOVED:
            self.boxes.pop(node, None)
            self.gone.setdefault(box.name)
            return node
        self.boxes[node] = box
        self.gone.pop(box.name, None)
        if box.state is not EndpointState.LIVE:
            self.leaving.add(node)
        return node

    def forget(self) -> None:
        """Guards the memory of a long life in which boxes are replaced under new names all the time."""
        while len(self.gone) > MOST_GONE:
            name = next(iter(self.gone))
            del self.gone[name], self.numbers[name]
