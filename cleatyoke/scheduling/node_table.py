"""One scheduler's table of nodes: the holder of each shard, the nodes in use, and rates by shard.

It keeps records and makes no decision about a request; each scheduler owns one table. The cost of an update
grows with the nodes that it names, and that of a control round with the nodes in use, never with all listed
nodes.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from cleatyoke.scheduling.random_rounds import RandomRounds
from cleatyoke.scheduling.records import Node

Shard = int | None  # None: nodes without a shard, and new objects
IsWarming = Callable[[Node], bool]


class DecayingRates:
    """Mean rates by shard that all decay by the same factor, at a cost independent of the number of shards.

    The rate of a frozen shard does not decay until the shard is resumed.
    """

    MIN_SCALE = 1e-100  # below it the rates are rescaled, well before floats underflow

    def __init__(self) -> None:
        self._scaled: dict[Shard, float] = {}  # rate divided by ``_scale``; missing: rate 0
        self._scale = 1.0
        self._scaled_sum = 0.0
        self._frozen: dict[Shard, float] = {}
        self.known: set[Shard] = set()  # shards with at least one recorded rate

    def decay(self, factor: float) -> None:
        """Multiply all rates except frozen ones by ``factor``, between 0 and 1."""
        self._scale *= factor
        if self._scale < self.MIN_SCALE:
            rates = {shard: rate * self._scale for shard, rate in self._scaled.items()}
            self._scaled = rates if self._scale else {}
            self._scale = 1.0
            self._scaled_sum = sum(self._scaled.values())

    def add(self, shard: Shard, rate: float) -> None:
        """Add to the rate of a shard, which becomes known."""
        self.known.add(shard)
        if shard in self._frozen:
            self._frozen[shard] += rate
        elif rate:
            self._scaled[shard] = self._scaled.get(shard, 0.0) + rate / self._scale
            self._scaled_sum += rate / self._scale

    def freeze(self, shard: Shard) -> None:
        """Stop the decay of a known shard's rate."""
        if shard in self.known and shard not in self._frozen:
            scaled = self._scaled.pop(shard, 0.0)
            self._scaled_sum -= scaled
            self._frozen[shard] = scaled * self._scale

    def resume(self, shard: Shard) -> None:
        """Let a shard's rate decay again; an unknown shard becomes known."""
        self.add(shard, self._frozen.pop(shard, 0.0))

    def get(self, shard: Shard) -> float:
        """Return the rate of a shard, 0 if it is unknown."""
        if shard in self._frozen:
            return self._frozen[shard]
        return self._scaled.get(shard, 0.0) * self._scale

    def get_or_mean(self, shard: Shard) -> float:
        """Return the rate of a shard, or the mean over all known shards if it is unknown."""
        return self.get(shard) if shard in self.known else self.mean()

    def mean(self) -> float:
        """Return the mean over all known shards, 0 if there are none."""
        total = max(0.0, self._scaled_sum) * self._scale + sum(self._frozen.values())
        return total / max(1, len(self.known))


class NodeTable:
    """All nodes, the holder of each shard, and the nodes that the next control round has to process.

    ``nodes``: by id. ``holders``: by shard, the live node that is sent its requests.
    ``total_concurrency_limit``: sum over all holders. ``touched_nodes``: nodes that the next control round
    has to process: they were used, are warming up, or got new classes. ``even_slots``: slots by class, shared
    by all nodes that are not in use. ``usual_rate``: by shard, units per second that warm nodes served for
    this front. ``reserved_rate``: by shard, units per second that arrived within reserved rates;
    ``reserved_units``: such units since the last control round.
    """

    MAX_OFFERED = 256  # holders that a new object is offered to; a random sample if there are more

    def __init__(self, classes: int, seed: int) -> None:
        self.nodes: dict[int, Node] = {}
        self.holders: dict[Shard, Node] = {}
        self.total_concurrency_limit = 0.0
        self.touched_nodes: dict[int, Node] = {}
        self.even_slots = [1] * classes
        self.usual_rate = DecayingRates()
        self.reserved_rate = DecayingRates()
        self.reserved_units: dict[Shard, float] = {}
        self._rounds: RandomRounds[Shard] = RandomRounds(random.Random(seed))  # shards that have a holder
        self._not_live: dict[int, Node] = {}  # by id
        self._nodes_by_shard: dict[Shard, list[Node]] = {}  # in listing order
        self._with_own_slots: dict[int, Node] = {}
        self._changed_shards: dict[Shard, None] = {}  # shards whose holder has to be chosen again

    # Endpoint list

    def add(self, node: Node) -> None:
        """Add a newly listed node."""
        self.nodes[node.id] = node
        self._nodes_by_shard.setdefault(node.shard, []).append(node)
        self._with_own_slots[node.id] = node  # until the next control round

    def set_live(self, node: Node, *, live: bool) -> None:
        """Set whether a node may be sent requests; takes effect with ``choose_holders``."""
        node.is_live = live
        self._changed_shards[node.shard] = None
        if live:
            self._not_live.pop(node.id, None)
        else:
            self._not_live[node.id] = node

    def mark_not_live_except(self, listed: set[int]) -> None:
        """Mark all nodes as not live that are missing from a complete list."""
        for node in self.nodes.values():
            if node.is_live and node.id not in listed:
                self.set_live(node, live=False)

    def choose_holders(self, is_warming: IsWarming) -> list[Node]:
        """Choose the holder of each changed shard, and return the previous holders.

        The holder is the live node with the latest start; among equal starts, the one listed last.
        """
        replaced = []
        changed = self._changed_shards
        self._changed_shards = {}
        for shard in changed:
            previous = self.holders.pop(shard, None)
            live = [node for node in self._nodes_by_shard[shard] if node.is_live]
            holder = max(reversed(live), key=lambda node: node.started_at) if live else None
            self.total_concurrency_limit -= previous.concurrency_limit if previous else 0.0
            if not holder:
                self._rounds.discard(shard)
            else:
                self._rounds.add(shard)
                self.holders[shard] = holder
                self.total_concurrency_limit += holder.concurrency_limit
                if is_warming(holder):
                    self.touched_nodes[holder.id] = holder
            self._resume_or_freeze_rates(shard, holder, is_warming)
            replaced += [previous] if previous else []
        return replaced

    def holders_to_offer(self, shard: Shard) -> Iterable[Node]:
        """Return the candidate nodes of a request: the holder of its shard, or holders for a new object.

        With more than ``MAX_OFFERED`` holders, a new object gets a random sample, a different one each time:
        the best of a few hundred is hardly worse than the best of all (the power of random choices), and the
        cost of examining all would grow with their number.
        """
        if shard is not None:
            return [self.holders[shard]] if shard in self.holders else []
        if len(self.holders) <= self.MAX_OFFERED:
            return self.holders.values()
        return [self.holders[self._rounds.take()] for _ in range(self.MAX_OFFERED)]

    def _resume_or_freeze_rates(self, shard: Shard, holder: Node | None, is_warming: IsWarming) -> None:
        """Freeze the rates of a shard without a holder; also the usual rate while the holder warms up."""
        if holder:
            self.reserved_rate.resume(shard)
        else:
            self.reserved_rate.freeze(shard)
        if holder and not is_warming(holder):
            self.usual_rate.resume(shard)
        else:
            self.usual_rate.freeze(shard)

    def forget_idle(self, since: float) -> list[Node]:
        """Remove and return the nodes that are not live and have not answered after ``since``."""
        idle = [node for node in self._not_live.values() if node.last_answer_at <= since]
        for node in idle:
            del self.nodes[node.id], self._not_live[node.id]
            self._with_own_slots.pop(node.id, None)
            self._nodes_by_shard[node.shard].remove(node)
            if not self._nodes_by_shard[node.shard]:
                del self._nodes_by_shard[node.shard]
        return idle

    # Control rounds

    def set_concurrency_limit(self, node: Node, limit: float) -> None:
        """Set the node's number of slots."""
        if self.holders.get(node.shard) is node:
            self.total_concurrency_limit += limit - node.concurrency_limit
        node.concurrency_limit = limit

    def nodes_in_use(self) -> list[Node]:
        """Return the touched holders, each with its own list of slots; all other nodes share one list."""
        for node in self._with_own_slots.values():
            node.class_slots = self.even_slots
        self._with_own_slots = {
            node.id: node for node in self.touched_nodes.values() if self.holders.get(node.shard) is node
        }
        for node in self._with_own_slots.values():
            node.class_slots = list(self.even_slots)
        return list(self._with_own_slots.values())

    def add_classes(self, count: int) -> None:
        """Append ``count`` request classes."""
        self.even_slots = self.even_slots + [1] * count
        for node in self.nodes.values() if count else ():
            node.add_classes(count)
            self._with_own_slots[node.id] = self.touched_nodes[node.id] = node

    def update_rates(self, elapsed: float, span: float, reserved_span: float, is_warming: IsWarming) -> None:
        """Decay both rates by the elapsed time, and add the units of that time.

        ``span`` and ``reserved_span``: seconds over which the usual and the reserved rates are averaged.
        Nodes that are warming up stay in ``touched_nodes`` until they are warm.
        """
        self.usual_rate.decay(1 - elapsed / span)
        self.reserved_rate.decay(1 - elapsed / reserved_span)
        for shard, units in self.reserved_units.items():
            if shard in self.holders:
                self.reserved_rate.add(shard, units / reserved_span)
        self.reserved_units = {}
        touched = self.touched_nodes
        self.touched_nodes = {}
        for node in touched.values():
            if self.holders.get(node.shard) is not node:
                continue
            if is_warming(node):
                self.touched_nodes[node.id] = node
            else:
                self.usual_rate.resume(node.shard)
                self.usual_rate.add(node.shard, node.served_units / span)
            node.served_units = 0.0
