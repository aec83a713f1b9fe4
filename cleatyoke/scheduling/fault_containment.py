"""Containment of unforeseen exceptions in the scheduler to the event, timer or request that raised them.

Symptom without it: one exception ends the whole step. Later events are lost, attempts that were already
decided are never sent although their slots are taken, and no timer is set; while the cause persists, a front
answers nothing in time. Why it works: each event, timer and request of a step is handled separately, and a
request whose handling failed gets its final answer at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cleatyoke.scheduling.actions import FailRequest, Reject
from cleatyoke.scheduling.events import AttemptFinished, RequestArrived, SchedulerEvent
from cleatyoke.scheduling.records import Request
from cleatyoke.scheduling.request_lifecycle import RequestLifecycle
from cleatyoke.scheduling.retries import NEVER_EXECUTED, is_client_retry_safe
from cleatyoke.scheduling.settings import Idempotency
from cleatyoke.scheduling.state import SchedulerState
from cleatyoke.scheduling.verdict import Rule

MAX_KEPT_FAULTS = 8  # kept until the caller takes them; further ones are only counted


@dataclass(slots=True, frozen=True)
class SchedulerFault:
    """A contained exception. ``subject``: what was being handled when it was raised."""

    error: Exception
    subject: str


class FaultContainment:
    """Runs parts of a step in isolation, and answers requests that an exception left open."""

    def __init__(self, state: SchedulerState, lifecycle: RequestLifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._faults: list[SchedulerFault] = []
        self.count = 0  # faults since the start, including those not kept

    def take(self) -> list[SchedulerFault]:
        """Return the faults since the last call, at most ``MAX_KEPT_FAULTS``."""
        faults = self._faults
        self._faults = []
        return faults

    def run(self, subject: str, operation: Callable[[], None]) -> None:
        """Run a part of a step that does not concern one particular request."""
        try:
            operation()
        except Exception as error:  # noqa: BLE001 - every exception is contained here
            self.record(error, subject)

    def record(self, error: Exception, subject: str) -> None:
        """Count an exception and keep it for ``take``."""
        self.count += 1
        if len(self._faults) < MAX_KEPT_FAULTS:
            self._faults.append(SchedulerFault(error, subject))

    def on_event_failed(self, event: SchedulerEvent, error: Exception) -> None:
        """Record that the handling of an event failed, and answer the request that the event concerns."""
        self.record(error, type(event).__name__)
        if not isinstance(event, RequestArrived | AttemptFinished):
            return
        request = self._state.requests.get(event.request_id)
        if isinstance(event, RequestArrived):
            if request is None:
                self._state.actions.append(Reject(event.request_id, 0.0, Rule.FAULT))
            else:
                self.abandon(request, is_retry_safe=True)
        elif request is not None and not request.in_flight:
            was_never_executed = event.outcome in NEVER_EXECUTED
            is_idempotent = request.request_class.idempotency is Idempotency.IDEMPOTENT
            self.abandon(
                request,
                is_answered=event.settled,
                is_retry_safe=is_client_retry_safe(request) and (was_never_executed or is_idempotent),
            )

    def on_request_failed(self, request: Request, error: Exception) -> None:
        """Record that a rule failed for a queued request, and answer it."""
        self.record(error, "request")
        self.abandon(request, is_retry_safe=is_client_retry_safe(request))

    def abandon(self, request: Request, *, is_retry_safe: bool, is_answered: bool = False) -> None:
        """Close a request that has nothing in flight without calling the rules, which may have failed for it.

        ``is_retry_safe``: the client may retry it. ``is_answered``: it already has its final answer.
        """
        if not request.is_closed and not is_answered:
            answer = (
                Reject(request.id, 0.0, Rule.FAULT) if is_retry_safe else FailRequest(request.id, Rule.FAULT)
            )
            self._state.actions.append(answer)
        request.is_closed = True
        if request in self._state.queues.get(request.shard, ()):
            self._state.dequeue(request)
        self._lifecycle.forget_if_done(request)
