"""Who the nodes are: stable numbers for the policy, addresses and states for the fronts' box clients."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from cleatyoke import api
from cleatyoke.config import Address
from cleatyoke.maintenance import Holds

MOST_GONE = 1024  # boxes that went and whose numbers are kept, as they may return or a call may name them


@dataclass(slots=True, frozen=True)
class Instance:
    """A box as discovery lists it."""

    name: str
    address: Address
    zone: str
    cell: int
    state: api.NodeState
    started: float  # Unix time; 0 for long ago


@dataclass(slots=True, frozen=True)
class Listing:
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
        self.version: int | None = None
        self.watchers: list[Callable[[int], None]] = []
        self.holds = Holds()  # boxes disabled by hand, by id

    def serves(self, node: int) -> bool:
        box = self.boxes.get(node)
        return box is not None and box.state is api.NodeState.LIVE and not self.holds.holds(box.name)

    def knows(self, name: str) -> bool:
        """Whether any list named the box; safe from another thread."""
        return name in self.numbers

    def entry(self, node: int, box: Instance) -> api.NodeEntry:
        """A box as the policy sees it: one held by hand drains, one released was started anew."""
        state = api.NodeState.DRAINING if self.holds.holds(box.name) else box.state
        zone = self.zones.setdefault(box.zone, len(self.zones))
        return api.NodeEntry(node, box.cell, zone, state, self.holds.started(box.name, box.started))

    def changed(self, names: list[str]) -> list[api.NodeEntry]:
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
        return sum(1 for node in list(self.boxes) if not self.serves(node))

    def apply(self, listing: Listing) -> list[api.NodeEntry]:
        """Take in a list and return its entries for the policy."""
        before = dict(self.boxes)
        if listing.whole:
            self.boxes.clear()
        entries = []
        for box in listing.instances:
            if box.name not in self.numbers:
                self.numbers[box.name] = next(self.counted)
            node = self.numbers[box.name]
            if box.state is api.NodeState.GONE:
                self.boxes.pop(node, None)
            else:
                self.boxes[node] = box
            entries.append(self.entry(node, box))
        self.version = listing.version
        self.forget()
        for node, box in before.items():
            if self.boxes.get(node) != box:
                for watcher in self.watchers:
                    watcher(node)
        return entries

    def forget(self) -> None:
        """Guards the memory of a long life in which boxes are replaced under new names all the time."""
        unlisted = [name for name, node in self.numbers.items() if node not in self.boxes]
        self.gone = {name: None for name in self.gone if self.numbers[name] not in self.boxes}
        self.gone.update(dict.fromkeys(unlisted))
        for name in list(self.gone)[: max(0, len(self.gone) - MOST_GONE)]:
            del self.gone[name], self.numbers[name]
