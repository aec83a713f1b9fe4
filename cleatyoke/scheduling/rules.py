"""The rules of one scheduler, and their combined verdict on sending a request to a node."""

from __future__ import annotations

from typing import Final

from cleatyoke.scheduling.admission import RateLimits, ReservedRates, SurplusRates
from cleatyoke.scheduling.concurrency import ConcurrencyController
from cleatyoke.scheduling.ordering import KeyOrdering
from cleatyoke.scheduling.outlier_detection import OutlierDetector
from cleatyoke.scheduling.records import Node, Request
from cleatyoke.scheduling.retries import AttemptTimeouts, IdempotencyGuard, RetryBudget
from cleatyoke.scheduling.service_estimates import ServiceEstimates
from cleatyoke.scheduling.slow_start import SlowStart
from cleatyoke.scheduling.state import SEND_MARGIN, SchedulerState
from cleatyoke.scheduling.verdict import ALLOWED, NEVER, Rule, Verdict

_TOO_LATE: Final = Verdict(NEVER, Rule.DEADLINE)
_OUT_OF_SCOPE: Final = Verdict(NEVER, Rule.IDEMPOTENCY)


class Rules:
    """All rules, built over one shared state. The module of each rule says what it prevents."""

    def __init__(self, state: SchedulerState) -> None:
        self.state = state
        self.estimates = ServiceEstimates(state)
        self.slow_start = SlowStart(state)
        self.concurrency = ConcurrencyController(state, self.slow_start)
        self.outliers = OutlierDetector(state, self.estimates)
        self.ordering = KeyOrdering(state)
        self.retry_budget = RetryBudget(state)
        self.attempt_timeouts = AttemptTimeouts(state, self.estimates)
        self.idempotency = IdempotencyGuard(state)
        self.rate_limits = RateLimits(state)
        self.reserves = ReservedRates(state)
        self.surplus = SurplusRates(state, self.estimates, self.concurrency)

    def check(self, request: Request, node: Node) -> Verdict:
        """Return the verdict of the rule that delays the request at this node the longest.

        An attempt whose answer would come too late for the client is never allowed: it would occupy a slot in
        vain. The surplus rule is always checked first, because its check has a side effect: it fills the
        bucket. The other rules are skipped if the answer would be late or the node is outside the idempotency
        scope.
        """
        surplus = self.surplus.check(request, node)
        answered_at = self.state.now + self.estimates.answer_time(request, node)
        if answered_at >= request.deadline - SEND_MARGIN:
            return _TOO_LATE
        if not self.idempotency.is_in_scope(request, node):
            return _OUT_OF_SCOPE
        return _latest(
            self.outliers.check(node),
            surplus,
            self.ordering.check(request),
            self.retry_budget.check(request),
            self.rate_limits.check(request),
            self.slow_start.check(node),
        )

    def check_capacity(self, request: Request, node: Node) -> Verdict:
        """Return when the node has capacity for the request that this front may use."""
        return _latest(
            self.outliers.check(node), self.slow_start.check(node), self.surplus.check(request, node)
        )


def _latest(*verdicts: Verdict) -> Verdict:
    """Return the verdict with the latest time; among equal times, the first one."""
    latest = ALLOWED
    for verdict in verdicts:
        if verdict is not ALLOWED and verdict.allowed_at > latest.allowed_at:
            latest = verdict
    return latest
