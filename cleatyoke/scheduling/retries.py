"""Retries: which requests may be sent again, how often and where, and when an attempt times out."""

from __future__ import annotations

from collections import deque
from typing import Final

from cleatyoke.scheduling.actions import CancelAttempt
from cleatyoke.scheduling.events import AttemptOutcome
from cleatyoke.scheduling.records import Attempt, Node, Request
from cleatyoke.scheduling.service_estimates import ServiceEstimates
from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope
from cleatyoke.scheduling.state import SEND_MARGIN, SchedulerState
from cleatyoke.scheduling.verdict import ALLOWED, NEVER, Rule, Verdict

# Outcomes after which the request was certainly not executed by the attempt.
NEVER_EXECUTED: Final = (
    AttemptOutcome.QUEUE_FULL,
    AttemptOutcome.CONNECTION_FAILED,
    AttemptOutcome.NOT_SENT,
)
LATE_TIMEOUT_FACTOR = 30.0  # an attempt may take this times ``late_value`` times the expected answer time
LOST_ANSWER_FRACTION = 0.4  # minimum timeout of an attempt whose answer seems lost, over the objective


class RetryBudget:
    """Limit retries to a fraction of the accepted requests, to prevent retry storms.

    Without it, when many attempts fail, each request is sent several times. The load multiplies just when the
    nodes can handle least, and they stay overloaded after the fault is gone. Retries within any window are
    counted against the requests that were accepted within it.

    Safety limits: ``retry_budget_window`` (seconds; ``None``: no budget), ``retry_budget_minimum`` (retries)
    and ``retry_budget_ratio`` (retries per accepted request).
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._accepted_at: deque[float] = deque()
        self._retried_at: deque[float] = deque()

    def on_accepted(self) -> None:
        """Count an accepted request, and offer all queues again, as the budget has grown."""
        if self._state.safety.retry_budget_window is None:
            return
        self._accepted_at.append(self._state.now)
        self._state.offer_all()

    def count_sent(self, request: Request) -> None:
        """Count a sent attempt of the request, unless it is the first, which is no retry."""
        if request.attempts and self._state.safety.retry_budget_window is not None:
            self._retried_at.append(self._state.now)

    def check(self, request: Request) -> Verdict:
        """Return when the budget allows the request's next attempt."""
        safety, now = self._state.safety, self._state.now
        window = safety.retry_budget_window
        if not request.attempts or window is None:
            return ALLOWED
        for times in (self._accepted_at, self._retried_at):
            _drop_expired(times, now - window)
        minimum, ratio = safety.retry_budget_minimum or 0.0, safety.retry_budget_ratio or 0.0
        if len(self._retried_at) + 1 <= minimum + ratio * len(self._accepted_at):
            return ALLOWED
        oldest = self._retried_at[0] if self._retried_at else NEVER
        return Verdict(oldest + window, Rule.RETRY_BUDGET)


def _drop_expired(times: deque[float], oldest: float) -> None:
    while times and times[0] <= oldest:
        times.popleft()


class IdempotencyGuard:
    """Send a request that may have executed only to nodes where a second execution has no effect.

    Without it, a write is applied twice after an attempt whose answer was lost. Nodes discard duplicates of a
    request with an idempotency key within its class's scope and window. A request without a key that is not
    idempotent is not sent again once it may have executed.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state

    def is_in_scope(self, request: Request, node: Node) -> bool:
        """Return whether the request may be sent to the node, given the attempts that may have executed."""
        if not request.may_have_executed or request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request.request_class.idempotency is not Idempotency.KEYED:
            return False
        if self._state.now > self.remembered_until(request):
            return False
        first = request.may_have_executed[0].node
        scope = request.request_class.idempotency_scope
        if scope is IdempotencyScope.ZONE:
            return node.zone == first.zone
        if scope is IdempotencyScope.SHARD:
            return node.shard == first.shard
        return True

    def remembered_until(self, request: Request) -> float:
        """Return until when nodes discard duplicates of a request that may have executed.

        Infinite if no duplicate needs to be discarded. The window starts with the first attempt that may have
        executed; a margin is subtracted, as sending takes time.
        """
        if not request.may_have_executed or request.request_class.idempotency is not Idempotency.KEYED:
            return NEVER
        return request.may_have_executed[0].sent_at + request.request_class.idempotency_window - SEND_MARGIN

    def note_may_have_executed(self, request: Request, node: Node, sent_at: float) -> None:
        """Record an ended attempt that may have executed, or may still be executing, at the node."""
        request.may_have_executed.append(Attempt(node, sent_at))

    def must_not_repeat(self, request: Request) -> bool:
        """Return whether the request may have executed, and no node would discard a duplicate of it."""
        return bool(request.may_have_executed) and (
            request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT
        )


def is_client_retry_safe(request: Request) -> bool:
    """Return whether a client may safely retry the request through any front after a rejection."""
    if not request.may_have_executed:
        return True
    idempotency = request.request_class.idempotency
    if idempotency is Idempotency.KEYED:
        return request.request_class.idempotency_scope is IdempotencyScope.ALL
    return idempotency is Idempotency.IDEMPOTENT


class AttemptTimeouts:
    """Cancel attempts that take too long compared with the node's usual answer time, to free their slots.

    Without it, each lost answer and each hanging node occupies slots until the clients' deadlines, and the
    requests behind them wait. An attempt may take its class's latency objective, or
    ``LATE_TIMEOUT_FACTOR * late_value`` times the expected answer time if that is longer. The objective is
    replaced by a fraction of it if an attempt sent later was already answered, as nodes serve requests in
    order. Limitation: if a node suddenly becomes slow, attempts that would have been answered are cancelled.
    """

    def __init__(self, state: SchedulerState, estimates: ServiceEstimates) -> None:
        self._state = state
        self._estimates = estimates

    def start(self, request: Request, node: Node) -> None:
        """Set the timer of an attempt sent now to the earliest time at which it may be overdue."""
        earliest = self._state.now + self._timeout(request, node, is_overtaken=True)
        self._state.timers.add(earliest, request)

    def cancel_overdue(self, request: Request) -> None:
        """Cancel the request's overdue attempts, and set timers for the others.

        A cancelled attempt may have executed, so cancellation fails a ``NOT_IDEMPOTENT`` request and limits a
        ``KEYED`` one to its idempotency scope. Attempts of both are therefore cancelled only after the node
        has answered an attempt that was sent later, and the objective has passed.
        """
        state = self._state
        if not state.settings.can_cancel:
            return
        for number, attempt in request.in_flight.items():
            next_check_at = self._next_check_at(request, attempt)
            if next_check_at <= state.now:
                state.actions.append(CancelAttempt(request.id, number))
            elif next_check_at < request.deadline:
                state.timers.add(next_check_at, request)

    def _next_check_at(self, request: Request, attempt: Attempt) -> float:
        """Return the time of the attempt's next check. The attempt is overdue if that is not after now.

        For an attempt of a ``KEYED`` or ``NOT_IDEMPOTENT`` request that was not overtaken, it is one
        objective from now: such an attempt is not overdue, and is checked again then.
        """
        node, sent_at = attempt
        is_overtaken = node.newest_answered_sent_at > sent_at
        due = sent_at + self._timeout(request, node, is_overtaken=is_overtaken)
        if request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return due
        objective = request.request_class.latency_objective
        return max(due, sent_at + objective) if is_overtaken else self._state.now + objective

    def _timeout(self, request: Request, node: Node, *, is_overtaken: bool) -> float:
        """Return how many seconds an attempt may take. ``is_overtaken``: one sent later was answered."""
        spec = request.request_class
        shortest = spec.latency_objective * (LOST_ANSWER_FRACTION if is_overtaken else 1.0)
        return max(
            shortest, LATE_TIMEOUT_FACTOR * spec.late_value * self._estimates.answer_time(request, node)
        )
