"""Who the nodes are: stable numbers for the policy, addresses and states for the fronts' box clients."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cleatyoke import api
from cleatyoke.config import Address


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
        self.numbers: dict[str, int] = {}  # never forgotten: a box that comes back has its old number
        self.boxes: dict[int, Instance] = {}
        self.version: int | None = None
        self.watchers: list[Callable[[int], None]] = []

    def serves(self, node: int) -> bool:
        box = self.boxes.get(node)
        return box is not None and box.state is api.NodeState.LIVE

    def apply(self, listing: Listing) -> list[api.NodeEntry]:
        """Take in a list and return its entries for the policy."""
        before = dict(self.boxes)
        if listing.whole:
            self.boxes.clear()
        entries = []
        for box in listing.instances:
            node = self.numbers.setdefault(box.name, len(self.numbers) + 1)
            if box.state is api.NodeState.GONE:
                self.boxes.pop(node, None)
            else:
                self.boxes[node] = box
            zone = self.zones.setdefault(box.zone, len(self.zones))
            entries.append(api.NodeEntry(node, box.cell, zone, box.state, box.started))
        self.version = listing.version
        for node, box in before.items():
            if self.boxes.get(node) != box:
                for watcher in self.watchers:
                    watcher(node)
        return entries
