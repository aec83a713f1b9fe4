"""Adaptive limits by node: concurrency limit (AIMD), surplus rate, and backoff after failures."""

from __future__ import annotations

from cleatyoke.scheduling.events import AttemptFinished, AttemptOutcome
from cleatyoke.scheduling.records import Node, Request
from cleatyoke.scheduling.regression import GAIN, clamp
from cleatyoke.scheduling.retries import NEVER_EXECUTED
from cleatyoke.scheduling.service_estimates import ServiceEstimates
from cleatyoke.scheduling.state import QUEUE_DELAY_FRACTION, SchedulerState
from cleatyoke.scheduling.verdict import ALLOWED, Rule, Verdict

MAX_CONCURRENCY = 8.0  # attempts in flight at a node: initially over all fronts, at most for each front
MAX_SURPLUS_MULTIPLE = 64.0  # maximum surplus rate of a node over its initial one: enough for any volume


class OutlierDetector:
    """Limit the attempts in flight at each node according to its answers.

    The concurrency limit grows by less than one per answer while the node's queue is short, shrinks while it
    is long, and is halved by a failure. Without it, a slow or unresponsive node holds as many requests as a
    healthy one, and they are late. If an attempt sent later was already answered, only an answer was lost,
    and that does not count as a failure of the node.
    """

    def __init__(self, state: SchedulerState, estimates: ServiceEstimates) -> None:
        self._state = state
        self._estimates = estimates

    def initial_concurrency_limit(self) -> float:
        """Return the concurrency limit of a newly listed node."""
        return max(1.0, MAX_CONCURRENCY / self._state.front_count)

    def has_free_slot(self, node: Node) -> bool:
        """Return whether the node may have one more attempt in flight."""
        return sum(node.in_flight_by_class) < int(node.concurrency_limit)

    def check(self, node: Node) -> Verdict:
        """Return when the pause after failures of the node ends."""
        paused_until = node.paused_until
        return ALLOWED if paused_until <= self._state.now else Verdict(paused_until, Rule.NODE_PAUSED)

    def on_attempt_finished(
        self, node: Node, event: AttemptFinished, request: Request, sent_at: float
    ) -> None:
        """Update the node's limits after an attempt that was sent at ``sent_at`` (seconds)."""
        if event.outcome is AttemptOutcome.SERVED:
            self._on_served(node, event, request, sent_at)
            return
        is_slow = event.elapsed >= request.request_class.latency_objective
        is_lost_answer = node.newest_answered_sent_at > sent_at
        if event.outcome in (AttemptOutcome.QUEUE_FULL, AttemptOutcome.CONNECTION_FAILED) or (
            is_slow and not is_lost_answer
        ):
            self._on_failed(node, event, request)

    def _on_served(self, node: Node, event: AttemptFinished, request: Request, sent_at: float) -> None:
        state, target = self._state, self._state.queue_delay_target
        node.newest_answered_sent_at = max(node.newest_answered_sent_at, sent_at)
        answer_gap = min(1.0, state.now - node.last_answer_at)  # seconds since the previous answer, at most 1
        node.last_answer_at = state.now
        node.consecutive_failures = 0
        self._estimates.learn(node, event.elapsed, request, max(GAIN, answer_gap / 2))
        node.served_units += request.units
        state.table.touched_nodes[node.id] = node
        if node.queue_delay < target or node.concurrency_limit <= 1:
            rate = node.surplus_rate * clamp(target / max(node.queue_delay, 1e-9), 0.1, 10.0) ** answer_gap
            base = state.base_surplus_rate
            node.surplus_rate = clamp(rate, base, base * MAX_SURPLUS_MULTIPLE)
        limit = node.concurrency_limit
        if node.queue_delay > target:
            state.table.set_concurrency_limit(node, max(1.0, limit - 0.5 / limit))
        elif sum(node.in_flight_by_class) + 1 >= int(limit):
            state.table.set_concurrency_limit(node, min(MAX_CONCURRENCY, limit + 1 / limit))

    def _on_failed(self, node: Node, event: AttemptFinished, request: Request) -> None:
        state = self._state
        state.table.set_concurrency_limit(node, max(1.0, node.concurrency_limit / 2))
        node.consecutive_failures += 1
        if node.consecutive_failures > 1:  # not a single lost answer: the node is slow or unresponsive
            service = self._estimates.service_time(request, node)
            waited = max(node.queue_delay, event.elapsed - service)
            gain = min(1.0, GAIN * node.consecutive_failures)
            node.queue_delay += gain * (waited - node.queue_delay)
        if event.outcome in NEVER_EXECUTED:
            # Keeps requests from using up their attempts on dead nodes that are still listed, or full queues.
            backoff = min(2**node.consecutive_failures, 1 / QUEUE_DELAY_FRACTION)
            node.paused_until = state.now + state.queue_delay_target * backoff
