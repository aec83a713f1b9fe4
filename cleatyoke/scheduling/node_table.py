"""The nodes as one host's policy keeps them: who holds which cell, who is in use, and rates by cell.

Records and their upkeep, with no decision about a request; ``rules.py`` owns the one table. A change costs by
the nodes that it names, and a control round by the nodes in use, never by all that are listed.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from cleatyoke.scheduling.random_rounds import RandomRounds
from cleatyoke.scheduling.records import Node

IsCold = Callable[[Node], bool]


class FadingMeans:
    """Mean rates by cell that all fade by the same part, at a cost that does not grow with the cells. A cell
    that is kept does not fade until it is resumed.
    """

    LEAST_SCALE = 1e-100  # below it the figures are written anew, far from where floats end

    def __init__(self) -> None:
        self.scaled: dict[int, float] = {}  # cell: its rate in parts of ``scale``; not there: 0
        self.scale = 1.0
        self.sum = 0.0  # of what is scaled
        self.kept: dict[int, float] = {}  # cell: its rate
        self.known: set[int] = set()  # cells that were counted at least once

    def fade(self, part: float) -> None:
        """All but the kept ones become so much of what they are, between 0 and 1."""
        self.scale *= part
        if self.scale < self.LEAST_SCALE:
            written = {cell: rate * self.scale for cell, rate in self.scaled.items()}
            self.scaled = written if self.scale else {}
            self.scale, self.sum = 1.0, sum(self.scaled.values())

    def add(self, cell: int, rate: float) -> None:
        self.known.add(cell)
        if cell in self.kept:
            self.kept[cell] += rate
        elif rate:
            self.scaled[cell] = self.scaled.get(cell, 0.0) + rate / self.scale
            self.sum += rate / self.scale

    def keep(self, cell: int) -> None:
        """It stands still, if it is known."""
        if cell in self.known and cell not in self.kept:
            scaled = self.scaled.pop(cell, 0.0)
            self.sum -= scaled
            self.kept[cell] = scaled * self.scale

    def resume(self, cell: int) -> None:
        """It fades again, or becomes known."""
        self.add(cell, self.kept.pop(cell, 0.0))

    def get(self, cell: int) -> float:
        """0 where the cell is not known."""
        return self.kept[cell] if cell in self.kept else self.scaled.get(cell, 0.0) * self.scale

    def get_or_mean(self, cell: int) -> float:
        return self.get(cell) if cell in self.known else self.mean()

    def mean(self) -> float:
        """Of all known cells; 0 where there are none."""
        total = max(0.0, self.sum) * self.scale + sum(self.kept.values())
        return total / max(1, len(self.known))


class NodeTable:
    """All nodes, the holder of each cell, and which nodes have something to count in the next round."""

    MOST_TRIED = 256  # holders that a new object is offered to at one time, drawn where there are more

    def __init__(self, classes: int, seed: int) -> None:
        self.rounds = RandomRounds(random.Random(seed))  # cells that have a holder
        self.nodes: dict[int, Node] = {}
        self.unlisted: dict[int, Node] = {}  # of these, those that are not live
        self.cells: dict[int, list[Node]] = {}  # cell: all its nodes, in the order in which they were listed
        self.holder: dict[int, Node] = {}  # cell: the live node that holds it
        self.depth = 0.0  # of all holders together
        self.active: dict[int, Node] = {}  # nodes with something to count in the next round
        self.divided: dict[int, Node] = {}  # nodes whose ``split`` is their own
        self.even_split = [1] * classes  # the ``split`` of all others
        self.usual = FadingMeans()  # by cell: units a second that warm nodes had served this host
        self.due_rate = FadingMeans()  # by cell: units a second that are due in full
        self.due_units: dict[int, float] = {}  # by cell: such units since the last round
        self.changed: dict[int, None] = {}  # cells whose holder has to be chosen anew

    # Lists

    def add(self, node: Node) -> None:
        self.nodes[node.id] = node
        self.cells.setdefault(node.cell, []).append(node)
        self.divided[node.id] = node  # until the next round

    def set_live(self, node: Node, live: bool) -> None:
        node.live = live
        self.changed[node.cell] = None
        if live:
            self.unlisted.pop(node.id, None)
        else:
            self.unlisted[node.id] = node

    def unlist_all_but(self, listed: set[int]) -> None:
        for node in self.nodes.values():
            if node.live and node.id not in listed:
                self.set_live(node, False)

    def choose_holders(self, is_cold: IsCold) -> list[Node]:
        """Choose the holder of each changed cell: of its live nodes the one that started last, and of those
        that started together the one that was listed last. Returns who held them before.
        """
        replaced = []
        cells, self.changed = self.changed, {}
        for cell in cells:
            before = self.holder.pop(cell, None)
            live = [node for node in self.cells[cell] if node.live]
            after = max(reversed(live), key=lambda node: node.up_since) if live else None
            self.depth -= before.depth if before else 0.0
            if not after:
                self.rounds.discard(cell)
            else:
                self.rounds.add(cell)
                self.holder[cell] = after
                self.depth += after.depth
                if is_cold(after):
                    self.active[after.id] = after
            self.resume_or_keep(cell, after, is_cold)
            replaced += [before] if before else []
        return replaced

    def holders_to_try(self, cell: int) -> Iterable[Node]:
        """The holder of the cell. For a new object all holders, or where there are very many some that are
        drawn, others each time: of a few hundred the best is hardly worse than of all (the power of choices),
        and a look at all would cost by them.
        """
        if cell != -1:
            return [self.holder[cell]] if cell in self.holder else []
        if len(self.holder) <= self.MOST_TRIED:
            return self.holder.values()
        return [self.holder[self.rounds.take()] for _ in range(self.MOST_TRIED)]

    def resume_or_keep(self, cell: int, holder: Node | None, is_cold: IsCold) -> None:
        """Rates stand still where nobody holds the cell, the usual one also while its holder is cold."""
        if holder:
            self.due_rate.resume(cell)
        else:
            self.due_rate.keep(cell)
        if holder and not is_cold(holder):
            self.usual.resume(cell)
        else:
            self.usual.keep(cell)

    def forget_idle(self, since: float) -> list[Node]:
        """Nodes that are not live and have not answered since then are forgotten."""
        idle = [node for node in self.unlisted.values() if node.answered <= since]
        for node in idle:
            del self.nodes[node.id], self.unlisted[node.id]
            self.divided.pop(node.id, None)
            self.cells[node.cell].remove(node)
            if not self.cells[node.cell]:
                del self.cells[node.cell]
        return idle

    # Control rounds

    def deepen(self, node: Node, depth: float) -> None:
        """Give the node so many slots."""
        if self.holder.get(node.cell) is node:
            self.depth += depth - node.depth
        node.depth = depth

    def in_use(self) -> list[Node]:
        """The holders with something to count, each with a ``split`` of its own; idle nodes share one."""
        for node in self.divided.values():
            node.split = self.even_split
        self.divided = {node.id: node for node in self.active.values() if self.holder.get(node.cell) is node}
        for node in self.divided.values():
            node.split = list(self.even_split)
        return list(self.divided.values())

    def add_classes(self, count: int) -> None:
        self.even_split = self.even_split + [1] * count
        for node in self.nodes.values() if count else ():
            node.add_classes(count)
            self.divided[node.id] = self.active[node.id] = node

    def count_rates(self, passed: float, span: float, due_span: float, is_cold: IsCold) -> None:
        """Fade both rates by the time that passed, and add what came meanwhile. ``span`` and ``due_span``:
        seconds of their means. Cold nodes stay in use until they are warm.
        """
        self.usual.fade(1 - passed / span)
        self.due_rate.fade(1 - passed / due_span)
        for cell, units in self.due_units.items():
            if cell in self.holder:
                self.due_rate.add(cell, units / due_span)
        self.due_units, counted, self.active = {}, self.active, {}
        for node in counted.values():
            if self.holder.get(node.cell) is not node:
                continue
            if is_cold(node):
                self.active[node.id] = node
            else:
                self.usual.resume(node.cell)
                self.usual.add(node.cell, node.done_units / span)
            node.done_units = 0.0
