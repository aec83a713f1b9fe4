"""Whom a host probes, and when: a state machine that is told of nodes and reports, and returns whom to ask.

A report is of use for one thing here: how much of the nodes' power all hosts together use, by which a cold
node may be sent more (``rules.bears_at``). So a host probes only while a listed node is cold, one warm node
after the other in an order of its own, so slowly that all hosts together ask each node once in ``PERIOD``
seconds at the most (protocol page, Fronts to chunk servers: each probe costs the node work).
"""

from __future__ import annotations

import math
import random

from cleatyoke import api

PERIOD = 1.0  # seconds between two probes of a node, of all hosts together
LEAST = 0.15  # seconds between two probes of a host
FRESH = 6.0  # seconds for which a report counts
ENOUGH = 3  # reports by which a mean counts, or one of each node where there are fewer


class Prober:
    """One host's probes. Times are seconds on the caller's clock."""

    def __init__(self, hosts: int, ramp: float, seed: int) -> None:
        """``ramp``: seconds within which a node that has started is warm."""
        self.hosts, self.ramp, self.rng = max(1, hosts), ramp, random.Random(seed)
        self.since: dict[int, float] = {}  # live nodes: when they started
        self.order: list[int] = []  # of nodes still to ask in this round, the next one last
        self.reports: dict[int, tuple[float, float]] = {}  # node: when it was asked, part of its power in use
        self.at = -math.inf  # of the latest probe

    def listed(self, news: api.NodeList) -> None:
        if news.kind in (api.ListKind.FULL, api.ListKind.OLD_COPY):
            self.since.clear()
        for entry in news.entries:
            if entry.state is api.NodeState.LIVE:
                self.since[entry.node] = entry.up_since
            else:
                self.since.pop(entry.node, None)
        self.reports = {node: told for node, told in self.reports.items() if node in self.since}

    def cold_until(self) -> float:
        """When the last of the cold nodes is warm; nothing is asked from then on."""
        starts = [since + self.ramp for since in self.since.values() if since > 0]
        return max(starts, default=-math.inf)

    def warm(self, now: float) -> list[int]:
        return [node for node, since in self.since.items() if since <= 0 or since + self.ramp <= now]

    def gap(self, now: float) -> float:
        return max(LEAST, PERIOD * self.hosts / max(1, len(self.warm(now))))

    def next_at(self, now: float) -> float:
        """When ``step`` has something to do; infinite while no node is cold, or none is warm."""
        if now >= self.cold_until() or not self.warm(now):
            return math.inf
        return max(now, self.at + self.gap(now))

    def step(self, now: float) -> int | None:
        """The node to probe now, if it is time to."""
        if self.next_at(now) > now:
            return None
        if self.at + FRESH < now:
            self.at = now - self.rng.random() * self.gap(now)  # hosts that hear of a start as one
            if self.next_at(now) > now:
                return None
        warm = set(self.warm(now))
        self.order = [node for node in self.order if node in warm]
        if not self.order:
            self.order = sorted(warm)
            self.rng.shuffle(self.order)
        self.at = now
        return self.order.pop()

    def told(self, node: int, now: float, busy: float | None) -> None:
        """What a probe brought. None: no answer, or none that can be read. A node that does not answer may be
        as busy as can be, and it would be wrong to take it for idle."""
        self.reports[node] = now, 1.0 if busy is None else min(1.0, max(0.0, busy))

    def busy(self, now: float) -> float:
        """Mean part of the nodes' power in use; all of it while too little is known."""
        fresh = [part for at, part in self.reports.values() if at + FRESH >= now]
        if len(fresh) < min(ENOUGH, max(1, len(self.warm(now)))):
            return 1.0
        return sum(fresh) / len(fresh)
