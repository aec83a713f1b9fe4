"""How long an answer takes: service time by class and queue delay by node, from this front's own answers."""

from __future__ import annotations

from cleatyoke.scheduling.records import Node, Request
from cleatyoke.scheduling.regression import mean_of_short_values
from cleatyoke.scheduling.state import SchedulerState

MIN_SERVICE_TIME = 1e-15  # seconds a unit: below it a class counts as not known, as costs are divided by it


class ServiceEstimates:
    """Tell service from queueing in the time that answers take.

    Service grows with a request's units and depends on its class; what is left of an answer's time is the
    node's queue. Symptom without it: a large request, or a slow node without a queue, is taken for a long
    queue, so the node is given less than it can serve. It holds where some answers of each node are short,
    as the shortest ones had no queue; where none is, a standing queue is taken for service.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        # By class, seconds of service a unit at any node; None: not known yet.
        self.service_times: list[float | None] = [None] * len(state.settings.classes)

    def add_classes(self, count: int) -> None:
        """Make room for so many new request classes."""
        self.service_times += [None] * count

    def answer_time(self, request: Request, node: Node) -> float:
        """Seconds until the node answers the request if it is sent now."""
        return node.queue_delay + self.service_time(request, node)

    def service_time(self, request: Request, node: Node) -> float:
        """Seconds of service that the request takes there; 0 where the node has not answered yet."""
        return (node.service_time_per_unit or 0.0) * request.units * self.relative_cost(request.class_index)

    def meets_objective(self, request: Request, node: Node) -> bool:
        """Whether the answer is expected while it has its full value, if the request is sent now."""
        return self._state.now + self.answer_time(request, node) <= request.objective_at

    def relative_cost(self, class_index: int) -> float:
        """Work of a unit of this class as a multiple of the lightest class's; 1 where it is not known."""
        service_time = self.service_times[class_index]
        if not service_time:
            return 1.0
        return service_time / min(known for known in self.service_times if known)

    def learn(self, node: Node, elapsed: float, request: Request, gain: float) -> None:
        """Take in an answer after ``elapsed`` seconds. ``gain``: its weight in the mean queue delay."""
        index = request.class_index
        per_unit = elapsed / request.units
        learned = mean_of_short_values(self.service_times[index] or per_unit, per_unit)
        self.service_times[index] = learned if learned > MIN_SERVICE_TIME else None
        work = request.units * self.relative_cost(index)
        # An answer within the clock's resolution leaves all service times unknown.
        fastest = min((known for known in self.service_times if known), default=elapsed / work)
        known = node.service_time_per_unit or fastest
        node.service_time_per_unit = mean_of_short_values(known, elapsed / work)
        queued = max(0.0, elapsed - node.service_time_per_unit * work)
        # Requests of the largest size may be larger than stated, so they tell of no longer queue.
        if request.units < self._state.settings.max_request_units or queued < node.queue_delay:
            node.queue_delay += gain * (queued - node.queue_delay)
