"""Whom a host probes, and when: a state machine that is told of nodes and reports, and returns whom to ask.

A report is of use for one thing here: how much of the nodes' power all hosts together use, by which a cold
node may be sent more (``rules.bears_at``). So a host probes only while a listed node is cold, one warm node
after the other in an order of its own, so slowly that all hosts together ask each node once in ``PERIOD``
seconds at the most (protocol page, Fronts to chunk servers: each probe costs the node work).
"""

from __future__ import annotations

import math
import random

from cleatyoke.scheduling.events import EndpointState, EndpointUpdate, UpdateKind
from cleatyoke.scheduling.random_rounds import RandomRounds

PERIOD = 1.0  # seconds between two probes of a node, of all hosts together
LEAST = 0.15  # seconds between two probes of a host
FRESH = 6.0  # seconds for which a report counts
ENOUGH = 3  # reports by which a mean counts, or one of each node where there are fewer


class LoadProber:
    """One host's probes. Times are seconds on the caller's clock."""

    def __init__(self, hosts: int, ramp: float, seed: int) -> None:
        """``ramp``: seconds within which a node that has started is warm."""
        self.hosts, self.ramp, self.rng = max(1, hosts), ramp, random.Random(seed)
        self.ramp_ends: dict[int, float] = {}  # cold nodes: when they are warm
        self.warm = RandomRounds(self.rng)
        self.reports: dict[int, tuple[float, float]] = {}  # node: when it was asked, part of its power in use
        self.at = -math.inf  # of the latest probe

    def listed(self, news: EndpointUpdate) -> None:
        if news.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            listed = {entry.node_id for entry in news.endpoints}
            for node in [node for node in (*self.warm, *self.ramp_ends) if node not in listed]:
                self.forget(node)
        for entry in news.endpoints:
            if entry.state is not EndpointState.LIVE:
                self.forget(entry.node_id)
            elif entry.started_at > 0:
                self.warm.discard(entry.node_id)
                self.ramp_ends[entry.node_id] = entry.started_at + self.ramp
            else:
                self.ramp_ends.pop(entry.node_id, None)
                self.warm.add(entry.node_id)

    def forget(self, node: int) -> None:
        self.warm.discard(node)
        self.ramp_ends.pop(node, None)
        self.reports.pop(node, None)

    def look(self, now: float) -> None:
        """Nodes whose time has come are warm from here on."""
        for node in [node for node, end in self.ramp_ends.items() if end <= now]:
            del self.ramp_ends[node]
            self.warm.add(node)

    def gap(self) -> float:
        return max(LEAST, PERIOD * self.hosts / max(1, len(self.warm)))

    def next_at(self, now: float) -> float:
        """When ``step`` has something to do; infinite while no node is cold, or none is warm."""
        self.look(now)
        if not self.ramp_ends or not self.warm:
            return math.inf
        return max(now, self.at + self.gap())

    def step(self, now: float) -> int | None:
        """The node to probe now, if it is time to."""
        if self.next_at(now) > now:
            return None
        if self.at + FRESH < now:
            self.at = now - self.rng.random() * self.gap()  # hosts that hear of a start as one
            if self.next_at(now) > now:
                return None
        self.at = now
        return self.warm.take()

    def told(self, node: int, now: float, busy: float | None) -> None:
        """What a probe brought. None: no answer, or none that can be read. A node that does not answer may be
        as busy as can be, and it would be wrong to take it for idle.
        """
        self.reports[node] = now, 1.0 if busy is None else min(1.0, max(0.0, busy))

    def busy(self, now: float) -> float:
        """Mean part of the nodes' power in use; all of it while too little is known."""
        fresh = [part for at, part in self.reports.values() if at + FRESH >= now]
        if len(fresh) < min(ENOUGH, max(1, len(self.warm))):
            return 1.0
        return sum(fresh) / len(fresh)
