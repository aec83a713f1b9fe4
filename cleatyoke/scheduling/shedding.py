"""Load shedding: queued requests are rejected as soon as they can no longer be answered in time."""

from __future__ import annotations

from cleatyoke.scheduling.actions import FailRequest, Reject
from cleatyoke.scheduling.records import Request
from cleatyoke.scheduling.request_lifecycle import RequestLifecycle
from cleatyoke.scheduling.retries import is_client_retry_safe
from cleatyoke.scheduling.rules import Rules
from cleatyoke.scheduling.state import SEND_MARGIN
from cleatyoke.scheduling.verdict import NEVER, Rule


class LoadShedding:
    """Keep a queued request only while it can be answered in time; after that, reject it unless sent at once.

    Without it, after a surge or behind an unresponsive, warming or unlisted node, a backlog of requests that
    are already late is served first, and makes those behind it late as well. Each queued request is reviewed
    on arrival, after each attempt, and when its answer would become late. Limitation: requests are rejected
    even if answers become fast again just afterwards.
    """

    def __init__(self, rules: Rules, lifecycle: RequestLifecycle) -> None:
        self._state = rules.state
        self._rules = rules
        self._lifecycle = lifecycle

    def reject_if_waiting_is_useless(self, request: Request) -> None:
        """Reject a queued request that cannot be answered in time, or set the timer for its next review."""
        state = self._state
        node = state.table.holders.get(request.shard)
        late_at = min(request.objective_at, request.deadline - SEND_MARGIN)
        allowed_at = NEVER
        blocking_rule: Rule | None = None
        if node:
            answer_time = self._rules.estimates.answer_time(request, node)
            late_at = min(request.objective_at - answer_time, request.deadline - SEND_MARGIN)
            verdict = self._rules.check_capacity(request, node)
            allowed_at = max(verdict.allowed_at, state.now)
            if allowed_at >= request.deadline:
                blocking_rule = verdict.rule or Rule.DEADLINE
            elif not self._rules.idempotency.is_in_scope(request, node):
                blocking_rule = Rule.IDEMPOTENCY
        elif request.shard is not None or not state.table.holders:
            blocking_rule = Rule.NO_NODE
        if blocking_rule or late_at <= state.now:
            rule = blocking_rule or request.verdict.rule or Rule.LATENCY_OBJECTIVE
            self.close_unserved(request, rule, allowed_at - state.now)
        else:
            state.timers.add(late_at, request)

    def close_unserved(self, request: Request, rule: Rule, wait: float = 0.0) -> None:
        """Close the request with ``Reject`` if the client may safely retry it, else with ``FailRequest``.

        ``wait``: seconds until a retry could be sent to a node. ``rule``: rule that caused the rejection.
        """
        if is_client_retry_safe(request):
            retry_after = min(self._state.settings.max_retry_after, wait)
            self._lifecycle.close(request, Reject(request.id, retry_after, rule))
        else:
            self._lifecycle.close(request, FailRequest(request.id, rule))
