"""Containment of unforeseen exceptions in the scheduler: one costs what it happened at, and nothing else.

Symptom without it: one exception ends the whole step. Events behind it are lost, attempts that were already
decided are never sent though their slots are taken, and no timer is set; where the cause stands, a front
answers nothing in time. Why it works: each event, timer and request of a step is handled by itself, and a
request whose handling failed gets its final answer at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cleatyoke.scheduling.actions import FailRequest, Reject
from cleatyoke.scheduling.events import AttemptFinished, RequestArrived, SchedulerEvent
from cleatyoke.scheduling.records import Request
from cleatyoke.scheduling.request_lifecycle import RequestLifecycle
from cleatyoke.scheduling.retries import NEVER_EXECUTED, is_repeat_by_client_harmless
from cleatyoke.scheduling.settings import Idempotency
from cleatyoke.scheduling.state import SchedulerState
from cleatyoke.scheduling.verdict import Rule

MAX_KEPT_FAULTS = 8  # until the caller takes them; further ones are counted


@dataclass(slots=True, frozen=True)
class SchedulerFault:
    """An exception that was contained. ``subject``: what was being handled."""

    error: Exception
    subject: str


class FaultContainment:
    """Runs parts of a step by themselves, and closes what an exception left without an answer."""

    def __init__(self, state: SchedulerState, lifecycle: RequestLifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._faults: list[SchedulerFault] = []
        self.count = 0  # of all faults so far

    def take(self) -> list[SchedulerFault]:
        """Return the faults since the last call, ``MAX_KEPT_FAULTS`` at the most."""
        faults = self._faults
        self._faults = []
        return faults

    def run(self, subject: str, part: Callable[[], None]) -> None:
        """Run a part of a step that concerns no request of its own."""
        try:
            part()
        except Exception as error:  # noqa: BLE001 - containing every exception is its job
            self.note(error, subject)

    def note(self, error: Exception, subject: str) -> None:
        """Note an exception."""
        self.count += 1
        if len(self._faults) < MAX_KEPT_FAULTS:
            self._faults.append(SchedulerFault(error, subject))

    def on_event_failed(self, event: SchedulerEvent, error: Exception) -> None:
        """Note an event whose handling failed, and answer the request that it is about."""
        self.note(error, type(event).__name__)
        if not isinstance(event, RequestArrived | AttemptFinished):
            return
        request = self._state.requests.get(event.request_id)
        if isinstance(event, RequestArrived):
            if request is None:
                self._state.actions.append(Reject(event.request_id, 0.0, Rule.FAULT))
            else:
                self.abandon(request, is_harmless=True)
        elif request is not None and not request.in_flight:
            was_never_executed = event.outcome in NEVER_EXECUTED
            is_idempotent = request.request_class.idempotency is Idempotency.IDEMPOTENT
            self.abandon(
                request,
                is_answered=event.settled,
                is_harmless=is_repeat_by_client_harmless(request) and (was_never_executed or is_idempotent),
            )

    def on_request_failed(self, request: Request, error: Exception) -> None:
        """Note a queued request for which a rule failed, and answer it."""
        self.note(error, "request")
        self.abandon(request, is_harmless=is_repeat_by_client_harmless(request))

    def abandon(self, request: Request, *, is_harmless: bool, is_answered: bool = False) -> None:
        """Close a request that has nothing in flight, without any rule that may have failed for it.

        ``is_harmless``: a repeat by the client is. ``is_answered``: it has its final answer already.
        """
        if not request.is_closed and not is_answered:
            answer = (
                Reject(request.id, 0.0, Rule.FAULT) if is_harmless else FailRequest(request.id, Rule.FAULT)
            )
            self._state.actions.append(answer)
        request.is_closed = True
        if request in self._state.queues.get(request.shard, ()):
            self._state.dequeue(request)
        self._lifecycle.forget_if_done(request)
