"""Answer time estimates: service time by class and queue delay by node, from this front's own answers."""

from __future__ import annotations

from cleatyoke.scheduling.records import Node, Request
from cleatyoke.scheduling.regression import mean_of_short_values
from cleatyoke.scheduling.state import SchedulerState

MIN_SERVICE_TIME = 1e-15  # seconds a unit; smaller ones count as unknown, as costs are divided by them


class ServiceEstimates:
    """Split answer times into service time and queueing delay.

    Service time grows with a request's units and depends on its class; the rest of an answer's time is
    queueing at the node. Without the split, large requests, or a slow node without a queue, look like a long
    queue, and the node is sent less than it can serve. The shortest answers are assumed not to have queued.
    Limitation: if every request at a node queues, the standing queue is taken for service time.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        # Seconds of service a unit by class, over all nodes; None if not known yet.
        self.service_times: list[float | None] = [None] * len(state.settings.classes)

    def add_classes(self, count: int) -> None:
        """Add entries for ``count`` new request classes."""
        self.service_times += [None] * count

    def answer_time(self, request: Request, node: Node) -> float:
        """Return the expected seconds until the node answers the request if it is sent now."""
        return node.queue_delay + self.service_time(request, node)

    def service_time(self, request: Request, node: Node) -> float:
        """Return the request's service time at the node in seconds; 0 if the node has not answered yet."""
        return (node.service_time_per_unit or 0.0) * request.units * self.relative_cost(request.class_index)

    def meets_objective(self, request: Request, node: Node) -> bool:
        """Return whether the answer is expected within the objective if the request is sent now."""
        return self._state.now + self.answer_time(request, node) <= request.objective_at

    def relative_cost(self, class_index: int) -> float:
        """Return the service time of a unit of this class over the lightest class's; 1 if not known."""
        service_time = self.service_times[class_index]
        if not service_time:
            return 1.0
        return service_time / min(known for known in self.service_times if known)

    def learn(self, node: Node, elapsed: float, request: Request, gain: float) -> None:
        """Update the estimates with an answer after ``elapsed`` seconds.

        ``gain``: weight of the answer in the mean queue delay.
        """
        index = request.class_index
        per_unit = elapsed / request.units
        learned = mean_of_short_values(self.service_times[index] or per_unit, per_unit)
        self.service_times[index] = learned if learned > MIN_SERVICE_TIME else None
        work = request.units * self.relative_cost(index)
        # All service times may still be unknown if an answer came within the clock's resolution.
        fastest = min((known for known in self.service_times if known), default=elapsed / work)
        known = node.service_time_per_unit or fastest
        node.service_time_per_unit = mean_of_short_values(known, elapsed / work)
        queued = max(0.0, elapsed - node.service_time_per_unit * work)
        # Requests of the largest size may be larger than stated, so they do not increase the queue delay.
        if request.units < self._state.settings.max_request_units or queued < node.queue_delay:
            node.queue_delay += gain * (queued - node.queue_delay)
