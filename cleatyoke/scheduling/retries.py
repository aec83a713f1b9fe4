"""Retries: what may be sent again, how often, where, and when an attempt in flight is given up."""

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

# After these the attempt has not executed anywhere.
NEVER_EXECUTED: Final = (
    AttemptOutcome.QUEUE_FULL,
    AttemptOutcome.CONNECTION_FAILED,
    AttemptOutcome.NOT_SENT,
)
LATE_PATIENCE = 30.0  # times the expected answer time that an attempt may take, by the value of a late answer
LOST_ANSWER_FRACTION = 0.4  # of the objective: the shortest timeout of an attempt whose answer seems lost


class RetryBudget:
    """Limit retries to a fraction of the accepted requests, so that a failing fleet is not buried in repeats.

    Symptom without it: where many attempts fail, each request is sent several times, the load multiplies just
    when the nodes bear least, and they stay overloaded after the fault is gone. Why it works: retries
    within any window are counted against the requests that were accepted within it.

    Inputs: ``retry_budget_window`` (seconds; ``None``: no budget), ``retry_budget_minimum`` (retries) and
    ``retry_budget_ratio`` (retries per accepted request) of the safety limits.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._accepted_at: deque[float] = deque()
        self._retried_at: deque[float] = deque()

    def on_accepted(self) -> None:
        """Count a request that arrived, and offer all queues again: the budget has grown."""
        if self._state.safety.retry_budget_window is None:
            return
        self._accepted_at.append(self._state.now)
        self._state.offer_all()

    def count_sent(self, request: Request) -> None:
        """Note that an attempt of the request is sent; the first one is no retry."""
        if request.attempts and self._state.safety.retry_budget_window is not None:
            self._retried_at.append(self._state.now)

    def check(self, request: Request) -> Verdict:
        """When the budget allows the request's next attempt."""
        safety, now = self._state.safety, self._state.now
        window = safety.retry_budget_window
        if not request.attempts or window is None:
            return ALLOWED
        for times in (self._accepted_at, self._retried_at):
            _forget_before(times, now - window)
        minimum, ratio = safety.retry_budget_minimum or 0.0, safety.retry_budget_ratio or 0.0
        if len(self._retried_at) + 1 <= minimum + ratio * len(self._accepted_at):
            return ALLOWED
        oldest = self._retried_at[0] if self._retried_at else NEVER
        return Verdict(oldest + window, Rule.RETRY_BUDGET)


def _forget_before(times: deque[float], oldest: float) -> None:
    while times and times[0] <= oldest:
        times.popleft()


class IdempotencyGuard:
    """Keep a request that may have executed where a second execution has no effect.

    Symptom without it: a write is applied twice, after an attempt whose answer was lost. Why it works:
    nodes discard the duplicate of a request with an idempotency key within its class's scope and window,
    and a request without a key that may have executed is not sent again.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state

    def is_in_scope(self, request: Request, node: Node) -> bool:
        """Whether the node may be sent the request, by what may have executed so far."""
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
        """Until when nodes discard duplicates of a request that may have executed.

        Infinite where none has to. Nodes count from the first attempt; a margin is kept clear, as a send
        takes time.
        """
        if not request.may_have_executed or request.request_class.idempotency is not Idempotency.KEYED:
            return NEVER
        return request.may_have_executed[0].sent_at + request.request_class.idempotency_window - SEND_MARGIN

    def note_may_have_executed(self, request: Request, node: Node, sent_at: float) -> None:
        """Note an attempt that has ended and may have executed at the node, or still does."""
        request.may_have_executed.append(Attempt(node, sent_at))

    def must_not_repeat(self, request: Request) -> bool:
        """Whether the request may have executed and nothing discards a duplicate of it."""
        return bool(request.may_have_executed) and (
            request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT
        )


def is_repeat_by_client_harmless(request: Request) -> bool:
    """Whether a client may send the request anew, through any front, after it was rejected."""
    if not request.may_have_executed:
        return True
    idempotency = request.request_class.idempotency
    if idempotency is Idempotency.KEYED:
        return request.request_class.idempotency_scope is IdempotencyScope.ALL
    return idempotency is Idempotency.IDEMPOTENT


class AttemptTimeouts:
    """Give up an attempt that is out for too long by its node's own record, so that its slot is used again.

    Symptom without it: each lost answer and each hanging node holds slots until the clients' deadlines, and
    requests behind them wait. An attempt may be out for its class's objective at least, or for a fraction of
    that where one that was sent later is answered already, as nodes take requests in turn. Past the objective
    it may take ``LATE_PATIENCE`` * ``late_value`` times the expected answer time. It does harm where a node
    turns slow at once.
    """

    def __init__(self, state: SchedulerState, estimates: ServiceEstimates) -> None:
        self._state = state
        self._estimates = estimates

    def start(self, request: Request, node: Node) -> None:
        """Set the timer of an attempt that is sent now, to the earliest time at which it may be overdue."""
        earliest = self._state.now + self._timeout(request, node, is_overtaken=True)
        self._state.timers.add(earliest, request)

    def cancel_overdue(self, request: Request) -> None:
        """Cancel the request's attempts that are overdue, and set timers for the others.

        A cancelled attempt may have executed, so cancelling fails a ``NOT_IDEMPOTENT`` request and limits a
        ``KEYED`` one to its idempotency scope; for both it is cancelled only when a later attempt was
        answered and the objective has passed.
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
        """Time of the attempt's next check; it is overdue where that is not after now.

        For an attempt of a ``KEYED`` or ``NOT_IDEMPOTENT`` request that is not overtaken it is one objective
        from now: such an attempt is not overdue, and is checked again then.
        """
        node, sent_at = attempt
        is_overtaken = node.newest_answered_sent_at > sent_at
        due = sent_at + self._timeout(request, node, is_overtaken=is_overtaken)
        if request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return due
        objective = request.request_class.latency_objective
        return max(due, sent_at + objective) if is_overtaken else self._state.now + objective

    def _timeout(self, request: Request, node: Node, *, is_overtaken: bool) -> float:
        """Seconds that an attempt may take. ``is_overtaken``: one that was sent later is answered."""
        spec = request.request_class
        shortest = spec.latency_objective * (LOST_ANSWER_FRACTION if is_overtaken else 1.0)
        return max(shortest, LATE_PATIENCE * spec.late_value * self._estimates.answer_time(request, node))
