"""The nodes as one front's scheduler keeps them: who holds which shard, who is in use, and rates by shard.

Records and their upkeep, with no decision about a request; the scheduler owns the one table. A change costs
by the nodes that it names, and a control round by the nodes in use, never by all that are listed.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from cleatyoke.scheduling.random_rounds import RandomRounds
from cleatyoke.scheduling.records import Node

Shard = int | None  # None: of nodes that hold no shard, and of new objects
IsWarming = Callable[[Node], bool]


class DecayingRates:
    """Mean rates by shard that all decay by the same factor, at a cost that does not grow with the shards.

    A shard that is frozen does not decay until it is resumed.
    """

    MIN_SCALE = 1e-100  # below it the rates are scaled anew, far from where floats end

    def __init__(self) -> None:
        self._scaled: dict[Shard, float] = {}  # rate in parts of ``_scale``; not there: 0
        self._scale = 1.0
        self._scaled_sum = 0.0
        self._frozen: dict[Shard, float] = {}
        self.known: set[Shard] = set()  # shards that were counted at least once

    def decay(self, factor: float) -> None:
        """Multiply all rates but the frozen ones by ``factor``, between 0 and 1."""
        self._scale *= factor
        if self._scale < self.MIN_SCALE:
            rates = {shard: rate * self._scale for shard, rate in self._scaled.items()}
            self._scaled = rates if self._scale else {}
            self._scale = 1.0
            self._scaled_sum = sum(self._scaled.values())

    def add(self, shard: Shard, rate: float) -> None:
        """Add to the rate of a shard, which is known from here on."""
        self.known.add(shard)
        if shard in self._frozen:
            self._frozen[shard] += rate
        elif rate:
            self._scaled[shard] = self._scaled.get(shard, 0.0) + rate / self._scale
            self._scaled_sum += rate / self._scale

    def freeze(self, shard: Shard) -> None:
        """Let the rate of a known shard stand still."""
        if shard in self.known and shard not in self._frozen:
            scaled = self._scaled.pop(shard, 0.0)
            self._scaled_sum -= scaled
            self._frozen[shard] = scaled * self._scale

    def resume(self, shard: Shard) -> None:
        """Let the rate decay again; an unknown shard becomes known."""
        self.add(shard, self._frozen.pop(shard, 0.0))

    def get(self, shard: Shard) -> float:
        """Rate of a shard, 0 where it is not known."""
        if shard in self._frozen:
            return self._frozen[shard]
        return self._scaled.get(shard, 0.0) * self._scale

    def get_or_mean(self, shard: Shard) -> float:
        """Rate of a shard, the mean of all known ones where it is not known."""
        return self.get(shard) if shard in self.known else self.mean()

    def mean(self) -> float:
        """Mean over all known shards, 0 where there are none."""
        total = max(0.0, self._scaled_sum) * self._scale + sum(self._frozen.values())
        return total / max(1, len(self.known))


class NodeTable:
    """All nodes, the holder of each shard, and which nodes have something to count in the next round.

    ``nodes``: by id. ``holders``: by shard, the live node that is sent its requests.
    ``total_concurrency_limit``: of all holders. ``touched_nodes``: nodes with something to count in the next
    control round. ``even_slots``: slots by class of all nodes that are not in use. ``usual_rate``: by shard,
    units a second that warm nodes served for this front. ``reserved_rate``: by shard, units a second that
    came within reserves; ``reserved_units``: such units since the last control round.
    """

    MAX_OFFERED = 256  # holders that a new object is offered to at one time, drawn where there are more

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
        self._not_live: dict[int, Node] = {}  # nodes that are not live
        self._nodes_by_shard: dict[Shard, list[Node]] = {}  # in the order in which they were listed
        self._with_own_slots: dict[int, Node] = {}
        self._changed_shards: dict[Shard, None] = {}  # whose holder has to be chosen anew

    # Endpoint list

    def add(self, node: Node) -> None:
        """Add a node that was listed for the first time."""
        self.nodes[node.id] = node
        self._nodes_by_shard.setdefault(node.shard, []).append(node)
        self._with_own_slots[node.id] = node  # until the next control round

    def set_live(self, node: Node, *, live: bool) -> None:
        """Note whether a node may be sent requests; ``choose_holders`` then acts on it."""
        node.is_live = live
        self._changed_shards[node.shard] = None
        if live:
            self._not_live.pop(node.id, None)
        else:
            self._not_live[node.id] = node

    def mark_not_live_except(self, listed: set[int]) -> None:
        """Mark all other nodes as not live: a complete list does not name them."""
        for node in self.nodes.values():
            if node.is_live and node.id not in listed:
                self.set_live(node, live=False)

    def choose_holders(self, is_warming: IsWarming) -> list[Node]:
        """Choose the holder of each changed shard, and return those that held them before.

        The holder is the live node that started last, of those that started together the one listed last.
        """
        replaced = []
        changed = self._changed_shards
        self._changed_shards = {}
        for shard in changed:
            before = self.holders.pop(shard, None)
            live = [node for node in self._nodes_by_shard[shard] if node.is_live]
            after = max(reversed(live), key=lambda node: node.started_at) if live else None
            self.total_concurrency_limit -= before.concurrency_limit if before else 0.0
            if not after:
                self._rounds.discard(shard)
            else:
                self._rounds.add(shard)
                self.holders[shard] = after
                self.total_concurrency_limit += after.concurrency_limit
                if is_warming(after):
                    self.touched_nodes[after.id] = after
            self._resume_or_freeze_rates(shard, after, is_warming)
            replaced += [before] if before else []
        return replaced

    def holders_to_offer(self, shard: Shard) -> Iterable[Node]:
        """Return the nodes that a request may go to: the holder of its shard, or holders for a new object.

        Where there are very many, some are drawn for a new object, others each time: of a few hundred the
        best is hardly worse than of all (the power of choices), and a look at all would cost by their number.
        """
        if shard is not None:
            return [self.holders[shard]] if shard in self.holders else []
        if len(self.holders) <= self.MAX_OFFERED:
            return self.holders.values()
        return [self.holders[self._rounds.take()] for _ in range(self.MAX_OFFERED)]

    def _resume_or_freeze_rates(self, shard: Shard, holder: Node | None, is_warming: IsWarming) -> None:
        """Rates stand still where nobody holds the shard, the usual one also while its holder warms up."""
        if holder:
            self.reserved_rate.resume(shard)
        else:
            self.reserved_rate.freeze(shard)
        if holder and not is_warming(holder):
            self.usual_rate.resume(shard)
        else:
            self.usual_rate.freeze(shard)

    def forget_idle(self, since: float) -> list[Node]:
        """Forget and return the nodes that are not live and have not answered since then."""
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
        """Give the node so many slots."""
        if self.holders.get(node.shard) is node:
            self.total_concurrency_limit += limit - node.concurrency_limit
        node.concurrency_limit = limit

    def nodes_in_use(self) -> list[Node]:
        """Return the holders with something to count, each with its own slots; idle nodes share a list."""
        for node in self._with_own_slots.values():
            node.class_slots = self.even_slots
        self._with_own_slots = {
            node.id: node for node in self.touched_nodes.values() if self.holders.get(node.shard) is node
        }
        for node in self._with_own_slots.values():
            node.class_slots = list(self.even_slots)
        return list(self._with_own_slots.values())

    def add_classes(self, count: int) -> None:
        """Make room for so many new request classes."""
        self.even_slots = self.even_slots + [1] * count
        for node in self.nodes.values() if count else ():
            node.add_classes(count)
            self._with_own_slots[node.id] = self.touched_nodes[node.id] = node

    def update_rates(self, passed: float, span: float, reserved_span: float, is_warming: IsWarming) -> None:
        """Decay both rates by the time that passed, and add what came meanwhile.

        ``span`` and ``reserved_span``: seconds of their means. Nodes that warm up stay in use until they are
        warm.
        """
        self.usual_rate.decay(1 - passed / span)
        self.reserved_rate.decay(1 - passed / reserved_span)
        for shard, units in self.reserved_units.items():
            if shard in self.holders:
                self.reserved_rate.add(shard, units / reserved_span)
        self.reserved_units = {}
        counted = self.touched_nodes
        self.touched_nodes = {}
        for node in counted.values():
            if self.holders.get(node.shard) is not node:
                continue
            if is_warming(node):
                self.touched_nodes[node.id] = node
            else:
                self.usual_rate.resume(node.shard)
                self.usual_rate.add(node.shard, node.served_units / span)
            node.served_units = 0.0
