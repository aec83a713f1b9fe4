"""The directory of nodes: stable ids for the scheduler; addresses and states for the connection pools."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from itertools import count

from cleatyoke.config.addresses import Address
from cleatyoke.discovery.operator_holds import OperatorHolds
from cleatyoke.scheduling.events import Endpoint, EndpointState

MAX_REMOVED_NODES = 1024  # removed nodes whose ids are retained, as a node may return or be named by a call


@dataclass(slots=True, frozen=True)
class Instance:
    """A node as discovery lists it.

    ``shard``: the shard that the node holds, or None. ``started_at``: Unix time of the node's start, in
    seconds, 0 for long ago.
    """

    name: str
    address: Address
    zone: str
    shard: int | None
    state: EndpointState
    started_at: float


@dataclass(slots=True, frozen=True)
class EndpointList:
    """A complete list of nodes, or changes to a list.

    ``version``: the discovery service's generation, which later changes are based on.
    """

    version: int
    is_complete: bool
    instances: list[Instance]


class Directory:
    """The latest known state of each node.

    ``listeners`` are called with the id of each node that changed or was removed. ``version`` is that of the
    latest applied list, None before the first one, 0 after a list from the relays. ``holds``: the nodes that
    operators have disabled.
    """

    def __init__(self, zones: dict[str, int]) -> None:
        self.zones = zones  # index by name; shared with the configuration; extended by listed zones
        self.node_ids: dict[str, int] = {}  # by name; a node that returns keeps its id
        self.instances: dict[int, Instance] = {}  # the listed nodes, by id
        self.version: int | None = None
        self.listeners: list[Callable[[int], None]] = []
        self.holds = OperatorHolds()
        self._unused_ids = count(1)  # an id is never reused for another node
        self._removed: dict[str, None] = {}  # names of nodes that are no longer listed, in order of removal
        self._not_live: set[int] = set()  # ids of listed nodes whose state is not live

    def is_serving(self, node: int) -> bool:
        """Whether requests may be sent to the node: it is listed as live and not disabled by an operator."""
        instance = self.instances.get(node)
        if instance is None or instance.state is not EndpointState.LIVE:
            return False
        return not self.holds.is_held(instance.name)

    def has_seen(self, name: str) -> bool:
        """Whether any list has contained the node; safe to call from another thread."""
        return name in self.node_ids

    def find(self, name: str) -> Instance | None:
        """Return the latest state of a node, or None if it is not listed."""
        node = self.node_ids.get(name)
        return None if node is None else self.instances.get(node)

    def refresh(self, names: list[str]) -> list[Endpoint]:
        """Notify listeners of nodes whose hold has changed; return their entries for the scheduler."""
        entries = []
        for name in names:
            node = self.node_ids.get(name)
            if node is not None and (instance := self.instances.get(node)):
                entries.append(self._to_endpoint(node, instance))
                self._notify(node)
        return entries

    def count_unavailable(self) -> int:
        """Count the listed nodes that get no new requests: draining, or disabled by an operator."""
        held = (self.node_ids.get(name) for name in list(self.holds.held))
        return len(self._not_live | {node for node in held if node in self.instances})

    def apply(self, update: EndpointList) -> list[Endpoint]:
        """Apply a list and return its entries for the scheduler.

        The cost of an incremental list depends on the number of its entries, not on that of all nodes.
        """
        previous: dict[int, Instance] = {}
        if update.is_complete:
            for instance in self.listed_except({instance.name for instance in update.instances}):
                previous[self.node_ids[instance.name]] = instance
                self.store(replace(instance, state=EndpointState.REMOVED))
        entries = []
        for instance in update.instances:
            known_node = self.node_ids.get(instance.name)
            if known_node is not None and (known := self.instances.get(known_node)):
                previous.setdefault(known_node, known)
            entries.append(self._to_endpoint(self.store(instance), instance))
        self.version = update.version
        self._forget_oldest_removed()
        for node, instance in previous.items():
            if self.instances.get(node) != instance:
                self._notify(node)
        return entries

    def listed_except(self, names: Collection[str]) -> list[Instance]:
        """Return the listed nodes that are not among ``names``."""
        return [instance for instance in self.instances.values() if instance.name not in names]

    def _to_endpoint(self, node: int, instance: Instance) -> Endpoint:
        """Convert a node for the scheduler; a disabled one drains, a released one counts as restarted."""
        state = EndpointState.DRAINING if self.holds.is_held(instance.name) else instance.state
        zone = self.zones.setdefault(instance.zone, len(self.zones))
        started_at = self.holds.effective_start(instance.name, instance.started_at)
        return Endpoint(node, instance.shard, zone, state, started_at)

    def store(self, instance: Instance) -> int:
        """Store the latest state of a node and return its id."""
        name = instance.name
        if name not in self.node_ids:
            self.node_ids[name] = next(self._unused_ids)
        node = self.node_ids[name]
        self._not_live.discard(node)
        if instance.state is EndpointState.REMOVED:
            self.instances.pop(node, None)
            self._removed.setdefault(name)
            return node
        self.instances[node] = instance
        self._removed.pop(name, None)
        if instance.state is not EndpointState.LIVE:
            self._not_live.add(node)
        return node

    def _notify(self, node: int) -> None:
        for listener in self.listeners:
            listener(node)

    def _forget_oldest_removed(self) -> None:
        """Bound the memory of a long-running process whose nodes are replaced by ones with new names."""
        while len(self._removed) > MAX_REMOVED_NODES:
            name = next(iter(self._removed))
            del self._removed[name], self.node_ids[name]
