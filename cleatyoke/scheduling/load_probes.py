"""Load probes: which node a front asks for its load, and when. A state machine that does no I/O.

Reports are used only to estimate the fraction of the nodes' capacity in use by all fronts together, which
determines how much more a warming node may be sent (``slow_start``). A front therefore probes only while a
listed node is warming up. It probes one warm node after the other in its own random order, slowly enough
that all fronts together probe each node at most once per ``PROBE_PERIOD``, because each probe costs the node
work (protocol page, Fronts to chunk servers).
"""

from __future__ import annotations

import math
import random

from cleatyoke.scheduling.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from cleatyoke.scheduling.random_rounds import RandomRounds

PROBE_PERIOD = 1.0  # minimum seconds between two probes of a node, by all fronts together
MIN_PROBE_GAP = 0.15  # minimum seconds between two probes by a front
REPORT_LIFETIME = 6.0  # seconds for which a report is valid
MIN_REPORTS = 3  # reports needed for a mean, or one of each warm node if there are fewer nodes
UNKNOWN_UTILIZATION = 1.0  # full, as a node of unknown load must not be taken for idle


class LoadProber:
    """Schedules one front's probes. Times are seconds on the caller's clock.

    ``front_count``: fronts that share the nodes. ``slow_start_duration``: seconds from the start of a node
    until it is warm.
    """

    def __init__(self, front_count: int, slow_start_duration: float, seed: int) -> None:
        self._front_count = max(1, front_count)
        self._slow_start_duration = slow_start_duration
        self._rng = random.Random(seed)
        self.warm_at: dict[int, float] = {}  # by node that is warming up, when it will be warm
        self.warm: RandomRounds[int] = RandomRounds(self._rng)
        self._reports: dict[int, tuple[float, float]] = {}  # by node: time of the report, utilization
        self._probed_at = -math.inf

    def on_endpoints(self, event: EndpointUpdate) -> None:
        """Process an update of the endpoint list."""
        if event.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            listed = {endpoint.node_id for endpoint in event.endpoints}
            for node_id in [node_id for node_id in (*self.warm, *self.warm_at) if node_id not in listed]:
                self._forget(node_id)
        for endpoint in event.endpoints:
            self._on_endpoint(endpoint)

    def _on_endpoint(self, endpoint: Endpoint) -> None:
        if endpoint.state is not EndpointState.LIVE:
            self._forget(endpoint.node_id)
        elif endpoint.started_at > 0:
            self.warm.discard(endpoint.node_id)
            self.warm_at[endpoint.node_id] = endpoint.started_at + self._slow_start_duration
        else:
            self.warm_at.pop(endpoint.node_id, None)
            self.warm.add(endpoint.node_id)

    def _forget(self, node_id: int) -> None:
        self.warm.discard(node_id)
        self.warm_at.pop(node_id, None)
        self._reports.pop(node_id, None)

    def _end_slow_starts(self, now: float) -> None:
        for node_id in [node_id for node_id, warm_at in self.warm_at.items() if warm_at <= now]:
            del self.warm_at[node_id]
            self.warm.add(node_id)

    def gap(self) -> float:
        """Return the seconds between two probes by this front."""
        return max(MIN_PROBE_GAP, PROBE_PERIOD * self._front_count / max(1, len(self.warm)))

    def next_at(self, now: float) -> float:
        """Return when the next probe is due; infinite while no node is warming up, or none is warm."""
        self._end_slow_starts(now)
        if not self.warm_at or not self.warm:
            return math.inf
        return max(now, self._probed_at + self.gap())

    def step(self, now: float) -> int | None:
        """Return the node to probe now, or ``None`` if no probe is due."""
        if self.next_at(now) > now:
            return None
        if self._probed_at + REPORT_LIFETIME < now:
            # All fronts learn of a start at the same time, so each begins at a random point of its interval.
            self._probed_at = now - self._rng.random() * self.gap()
            if self.next_at(now) > now:
                return None
        self._probed_at = now
        return self.warm.take()

    def on_report(self, node_id: int, now: float, utilization: float | None) -> None:
        """Record the answer to a probe; ``utilization`` is ``None`` if there was no readable answer.

        A node that does not answer may be overloaded, so it counts as fully used.
        """
        counted_utilization = UNKNOWN_UTILIZATION if utilization is None else min(1.0, max(0.0, utilization))
        self._reports[node_id] = now, counted_utilization

    def utilization(self, now: float) -> float:
        """Return the mean fraction of the nodes' capacity in use; 1 while there are too few valid reports."""
        current = [used for at, used in self._reports.values() if at + REPORT_LIFETIME >= now]
        if len(current) < min(MIN_REPORTS, max(1, len(self.warm))):
            return UNKNOWN_UTILIZATION
        return sum(current) / len(current)
