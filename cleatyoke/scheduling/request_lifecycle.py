"""The lifecycle of a request: arrival, one final answer, and removal."""

from __future__ import annotations

from cleatyoke.scheduling.actions import CancelAttempt, FailRequest, Reject
from cleatyoke.scheduling.events import RequestArrived
from cleatyoke.scheduling.records import Request
from cleatyoke.scheduling.regression import clamp
from cleatyoke.scheduling.rules import Rules
from cleatyoke.scheduling.state import SchedulerState


class RecentFailures:
    """Recognizes a client's retry of a request that was not served.

    A retry counts as its first request: it keeps that request's latency objective, and the reserve that was
    drawn for it. Symptom without it: clients that retry aggressively draw a volume's reserve again with each
    retry, and displace others. Drawback: a new request for an item just after a failed one counts as a retry.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self.by_identity: dict[tuple[int, int, int | None], tuple[float, float]] = {}  # arrival, failure

    def record(self, request: Request) -> None:
        """Record a request that is closed now without having been served."""
        if request.arrival.item is None:
            return
        self.by_identity.pop(request.identity, None)
        if len(self.by_identity) >= self._state.settings.max_volumes:
            del self.by_identity[next(iter(self.by_identity))]  # the oldest
        self.by_identity[request.identity] = request.arrived_at, self._state.now

    def inherit_arrival(self, request: Request) -> bool:
        """Give a retry the arrival time of its first request; return whether the request is a retry."""
        failure = self.by_identity.pop(request.identity, None)
        if failure is None:
            return False
        arrived_at, failed_at = failure
        if self._state.now - failed_at > request.request_class.latency_objective:
            return False
        request.arrived_at = arrived_at
        return True

    def forget(self, oldest: float) -> None:
        """Drop failures up to ``oldest``."""
        self.by_identity = {
            identity: failure for identity, failure in self.by_identity.items() if failure[1] > oldest
        }


class RequestLifecycle:
    """Opens and closes requests. Each gets exactly one final answer, unless its client disconnects."""

    def __init__(self, rules: Rules) -> None:
        self._state = rules.state
        self._rules = rules
        self.recent_failures = RecentFailures(rules.state)

    def open(self, event: RequestArrived) -> None:
        """Queue a request that has arrived."""
        state, rules = self._state, self._rules
        rules.retry_budget.on_accepted()
        front_count = int(clamp(event.front_count, 1, state.front_count))
        state.max_front_count = max(state.max_front_count, event.front_count)
        volume = rules.reserves.fill(event, front_count, rules.rate_limits)
        request_class = state.settings.classes[event.class_index]
        request = Request(event, request_class, front_count, volume, state.now)
        state.requests[request.id] = request
        volume.open_requests += 1
        if not self.recent_failures.inherit_arrival(request):
            rules.reserves.draw(request)
        full_value_until = request.arrived_at + request_class.latency_objective
        request.objective_at = min(full_value_until, request.deadline)
        rules.ordering.add(request)
        state.enqueue(request)
        state.to_review.append(request)

    def close(self, request: Request, answer: Reject | FailRequest | None, *, served: bool = False) -> None:
        """Close a request with its final answer (``None`` if it needs none), and cancel its attempts."""
        if request.is_closed:
            return
        state = self._state
        self._rules.concurrency.count_closed(request)
        request.is_closed = True
        if request in state.queues.get(request.shard, ()):
            state.dequeue(request)
        if answer is not None:
            state.actions.append(answer)
        if not served:
            self.recent_failures.record(request)
        if state.settings.can_cancel:
            state.actions.extend(CancelAttempt(request.id, attempt) for attempt in request.in_flight)
        self.forget_if_done(request)

    def forget_if_done(self, request: Request) -> None:
        """Remove a request that is closed and has nothing in flight."""
        if request.is_closed and not request.in_flight and request.id in self._state.requests:
            del self._state.requests[request.id]
            request.volume.open_requests -= 1
            self._rules.ordering.remove(request)
