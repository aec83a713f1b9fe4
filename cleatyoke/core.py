"""Protocol-independent core of a front: the scheduler, its clock and timer, and the lifecycle of requests.

A protocol server passes a ``RequestArrived`` and a function that makes one attempt at a node. ``Core.serve``
makes the attempts that the scheduler decides on, and returns the outcome of the request.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import structlog

from cleatyoke.scheduling.actions import (
    CancelAttempt,
    FailRequest,
    Reject,
    SchedulerAction,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    ClientDisconnected,
    EndpointUpdate,
    RequestArrived,
    SchedulerEvent,
    TimerFired,
)
from cleatyoke.scheduling.scheduler import Scheduler
from cleatyoke.scheduling.settings import Idempotency, SchedulerSettings

T = TypeVar("T")
# Seconds, not configurable. The two margins allow for delays of this process's own event loop.
ATTEMPT_MARGIN = 0.04  # attempts end this long before the client's deadline, to leave time for the answer
ANSWER_MARGIN = 0.015  # the core answers without the scheduler if it has not decided this long before it
FAULT_LOG_INTERVAL = 1.0  # minimum time between two log lines about scheduler faults
MIN_DECISION_TIME = 0.005  # the scheduler decides in the loop's next iteration, however short the deadline
log = structlog.get_logger()


@dataclass(slots=True)
class AttemptResult(Generic[T]):
    """Outcome of an attempt, and its answer.

    ``units_by_others``: units that the node served this volume through other fronts. ``utilization``:
    fraction of its capacity that the node reports as in use. ``is_incomplete``: the rest of the answer is
    still to come; the scheduler then learns the time until its first byte, as the rest is not queueing.
    """

    outcome: AttemptOutcome
    value: T | None = None
    units_by_others: float = 0.0
    utilization: float | None = None
    is_incomplete: bool = False


MayBegin = Callable[[], bool]  # whether an attempt may still begin: checked directly before its first byte
AttemptFunction = Callable[[int, MayBegin], Awaitable[AttemptResult[T]]]  # takes the node's id
BeforeStep = Callable[[float, list[SchedulerEvent]], list[SchedulerEvent]]


@dataclass(slots=True)
class Served(Generic[T]):
    """Final answer: a node served the request, and its attempt returned ``value``."""

    value: T | None


@dataclass(slots=True)
class Rejected:
    """Final answer: rejected. The client may safely retry, ideally after ``retry_after`` seconds."""

    retry_after: float


@dataclass(slots=True)
class Failed:
    """Final answer: failed, and the request may have taken effect."""


class PendingRequest:
    """A request being served: the scheduler's decisions on it, and its running timeouts.

    ``answer_timeout`` bounds the final answer, ``attempt_timeout`` the attempt in flight, if any.
    ``attempts``: number of attempts made so far. ``answer_began_at``: Unix time at which the first byte of an
    answer to the current one was received, None before.
    """

    __slots__ = ("answer_began_at", "answer_timeout", "attempt_timeout", "attempts", "decisions")

    def __init__(self) -> None:
        self.decisions: asyncio.Queue[SendAttempt | Reject | FailRequest] = asyncio.Queue()
        self.answer_timeout: asyncio.Timeout | None = None
        self.attempt_timeout: asyncio.Timeout | None = None
        self.attempts = 0
        self.answer_began_at: float | None = None


def _events_unchanged(_now: float, events: list[SchedulerEvent]) -> list[SchedulerEvent]:
    return events


class Core:
    """Runs the scheduler. All events of one event loop iteration are passed to it in one step.

    ``unix_at_loop_zero``: Unix time at the loop's time 0, if not taken from the system clock, as in virtual
    time. ``pending``: requests being served, by id. ``endpoint_listeners``: called with every endpoint
    update. ``before_step``: takes the time and events of a step, and returns the events together with those
    that the scheduler must process before it decides anything at that time, such as expired leases.
    """

    def __init__(self, settings: SchedulerSettings, unix_at_loop_zero: float | None = None) -> None:
        self.loop = asyncio.get_running_loop()
        # Read only once, so that this clock stays monotonic when the system clock is stepped.
        self.unix_offset = time.time() - self.loop.time() if unix_at_loop_zero is None else unix_at_loop_zero
        self.scheduler = Scheduler(settings)
        self.pending: dict[str, PendingRequest] = {}
        self.endpoint_listeners: list[Callable[[EndpointUpdate], None]] = []
        self.before_step: BeforeStep = _events_unchanged
        self.answers_due_at = math.inf  # Unix time; set in a shutdown, which may end before the deadlines
        self._events: list[SchedulerEvent] = []
        self.timer: asyncio.TimerHandle | None = None
        self._fault_logged_at = -math.inf
        self._faults_since_logged = 0  # including the one that is logged next
        self._ids_issued = 0

    def now(self) -> float:
        """Unix time in seconds, by the monotonic clock."""
        return self.loop.time() + self.unix_offset

    def new_id(self) -> str:
        """Return a new request id. Client-supplied ids are not used, as clients may reuse them."""
        self._ids_issued += 1
        return str(self._ids_issued)

    def notify(self, event: SchedulerEvent) -> None:
        """Pass an event to the scheduler in the next iteration of the event loop."""
        if not self._events:
            self.loop.call_soon(self.step)
        self._events.append(event)
        if isinstance(event, EndpointUpdate):
            for listener in self.endpoint_listeners:
                listener(event)

    def step(self) -> None:
        """Pass the collected events to the scheduler, and execute the actions it returns."""
        events = self._events
        self._events = []
        now = self.now()
        try:
            events = self.before_step(now, events)
        except Exception as error:  # noqa: BLE001 - the events themselves are still processed
            self._report_fault(error, "before_step")
        try:
            actions = self.scheduler.step(now, events)
        except Exception as error:  # noqa: BLE001 - each request is still answered at its own deadline
            self._report_fault(error, "step")
            return
        for fault in self.scheduler.take_faults():
            self._report_fault(fault.error, fault.subject)
        for action in actions:
            self._execute(action)

    def _report_fault(self, error: Exception, subject: str) -> None:
        """Log an exception of the scheduler, rate-limited because a lasting fault recurs in every step."""
        self._faults_since_logged += 1
        if self.loop.time() < self._fault_logged_at + FAULT_LOG_INTERVAL:
            return
        log.error("scheduler_fault", exc_info=error, subject=subject, faults=self._faults_since_logged)
        self._fault_logged_at = self.loop.time()
        self._faults_since_logged = 0

    def _execute(self, action: SchedulerAction) -> None:
        match action:
            case SendAttempt(request_id) | Reject(request_id) | FailRequest(request_id):
                if pending := self.pending.get(request_id):
                    pending.decisions.put_nowait(action)
            case CancelAttempt(request_id, attempt):
                self._cancel_attempt(request_id, attempt)
            case SetTimer(delay, token):
                if self.timer:
                    self.timer.cancel()
                self.timer = self.loop.call_at(self.loop.time() + delay, self.notify, TimerFired(token))
            case WatchEndpoints():
                pass  # polling is for the simulator only; a front always watches discovery

    def _cancel_attempt(self, request_id: str, attempt: int) -> None:
        pending = self.pending.get(request_id)
        if pending is None or attempt != pending.attempts - 1:
            return
        if pending.answer_began_at is not None:  # it is neither lost nor waiting at a node that hangs
            return
        timeout = pending.attempt_timeout
        if timeout and not timeout.expired():  # both may be due at once after the process was paused
            timeout.reschedule(self.loop.time())

    def note_answer_begun(self, request_id: str) -> None:
        """Note that the first byte of an answer to the request's current attempt has been received.

        From then on the scheduler does not cancel the attempt: cancelling is for answers that do not come.
        """
        if pending := self.pending.get(request_id):
            pending.answer_began_at = self.now()

    def note_answer_forwarded(self, request_id: str) -> None:
        """Note that the answer to the request's current attempt is being forwarded: no timeout ends it.

        After the process was held up, its timeouts may be due in the same iteration of the event loop.
        """
        pending = self.pending.get(request_id)
        timeouts = (pending.attempt_timeout, pending.answer_timeout) if pending else ()
        for timeout in timeouts:
            if timeout and not timeout.expired():
                timeout.reschedule(None)

    def may_retry(self, arrival: RequestArrived) -> bool:
        """Return whether the request may be sent again if its current attempt ends without an answer."""
        pending = self.pending.get(arrival.request_id)
        settings = self.scheduler.state.settings
        idempotency = settings.classes[arrival.class_index].idempotency
        is_repeatable = idempotency is not Idempotency.NOT_IDEMPOTENT
        return is_repeatable and pending is not None and pending.attempts < settings.max_attempts

    def begin_shutdown(self, answers_due_at: float) -> None:
        """Answer all open and new requests by ``answers_due_at`` (Unix time).

        Without this, requests whose deadline is after the end of the process would get no answer.
        """
        self.answers_due_at = answers_due_at
        for pending in self.pending.values():
            self._shorten_timeout(pending.answer_timeout, answers_due_at - ANSWER_MARGIN)
            self._shorten_timeout(pending.attempt_timeout, answers_due_at - ATTEMPT_MARGIN)

    def _shorten_timeout(self, timeout: asyncio.Timeout | None, unix_time: float) -> None:
        at = unix_time - self.unix_offset
        if timeout and not timeout.expired() and (timeout.when() or 0.0) > at:
            timeout.reschedule(at)

    async def serve(
        self, arrival: RequestArrived, attempt: AttemptFunction[T]
    ) -> Served[T] | Rejected | Failed:
        """Serve a request from arrival to final answer. Cancel the call when the client disconnects."""
        pending = self.pending[arrival.request_id] = PendingRequest()
        self.notify(arrival)
        try:
            due = min(arrival.deadline, self.answers_due_at) - ANSWER_MARGIN - self.unix_offset
            # A client whose deadline is within the margin still gets the scheduler's decision.
            due = max(due, self.loop.time() + MIN_DECISION_TIME)
            async with asyncio.timeout_at(due) as pending.answer_timeout:
                return await self._follow_decisions(arrival, pending, attempt)
        except asyncio.CancelledError:
            self.notify(ClientDisconnected(arrival.request_id))
            raise
        except TimeoutError:
            self.notify(ClientDisconnected(arrival.request_id))
            return self._answer_at_deadline(arrival, pending)
        finally:
            del self.pending[arrival.request_id]
            self._report_unused_decisions(arrival, pending)

    async def _follow_decisions(
        self, arrival: RequestArrived, pending: PendingRequest, attempt: AttemptFunction[T]
    ) -> Served[T] | Rejected | Failed:
        while True:
            match await pending.decisions.get():
                case SendAttempt(_, node_id) if self.now() >= self.answers_due_at - ATTEMPT_MARGIN:
                    self._report_not_sent(arrival, pending, node_id)
                case SendAttempt() as decision:
                    result = await self._attempt(arrival, pending, decision, attempt)
                    if result.outcome is AttemptOutcome.SERVED:
                        return Served(result.value)
                case Reject(_, retry_after):
                    return Rejected(retry_after)
                case FailRequest():
                    return Failed()

    def _answer_at_deadline(self, arrival: RequestArrived, pending: PendingRequest) -> Rejected | Failed:
        """Return the answer at the deadline, when no decision came or the event loop was delayed."""
        if self.answers_due_at < arrival.deadline:  # shutdown: a request never sent may go to another front
            return Failed() if pending.attempts else Rejected(0.0)
        log.warning("answer_forced", request=arrival.request_id, attempts=pending.attempts)
        return Failed()

    def _report_unused_decisions(self, arrival: RequestArrived, pending: PendingRequest) -> None:
        """Report attempts decided on too late to be sent, so that the scheduler frees their slots."""
        while not pending.decisions.empty():
            decision = pending.decisions.get_nowait()
            if isinstance(decision, SendAttempt):
                self._report_not_sent(arrival, pending, decision.node_id)

    def _report_not_sent(self, arrival: RequestArrived, pending: PendingRequest, node_id: int) -> None:
        self.notify(
            AttemptFinished(
                arrival.request_id, pending.attempts, node_id, AttemptOutcome.NOT_SENT, 0.0, settled=True
            )
        )

    async def _attempt(
        self,
        arrival: RequestArrived,
        pending: PendingRequest,
        decision: SendAttempt,
        attempt: AttemptFunction[T],
    ) -> AttemptResult[T]:
        """Make one attempt. Its timeout ends it; the scheduler cancels it by expiring the same timeout.

        The end is reported only once its connection is released or closed, so that a request never has two
        attempts in flight. Since connecting may take long, the idempotency window of the nodes and the
        attempt's deadline are checked again directly before the first byte is sent.
        """
        number = pending.attempts
        node_id = decision.node_id
        sent_at = self.now()

        def may_begin() -> bool:
            return self.now() < min(decision.not_after, self.attempt_deadline(arrival))

        pending.attempts += 1
        pending.answer_began_at = None
        result = AttemptResult[T](AttemptOutcome.CANCELLED)
        settled = True  # also if cancelled by a client disconnect; the except branches set it to False
        try:
            timeout = asyncio.timeout_at(self.attempt_deadline(arrival) - self.unix_offset)
            async with timeout as pending.attempt_timeout:
                result = await attempt(node_id, may_begin)
            settled = result.outcome is AttemptOutcome.SERVED
        except TimeoutError:
            settled = False
            is_overdue = self.now() >= self.attempt_deadline(arrival)
            result = AttemptResult(AttemptOutcome.TIMEOUT if is_overdue else AttemptOutcome.CANCELLED)
        except Exception:
            log.exception("attempt_fault", node=node_id)
            settled = False
            result = AttemptResult(AttemptOutcome.CONNECTION_RESET)  # the request may have executed
        finally:
            pending.attempt_timeout = None
            ended_at = self.now()
            if result.is_incomplete and pending.answer_began_at is not None:
                ended_at = pending.answer_began_at
            self.notify(
                AttemptFinished(
                    arrival.request_id,
                    number,
                    node_id,
                    result.outcome,
                    ended_at - sent_at,
                    settled,
                    result.units_by_others,
                    result.utilization,
                )
            )
        return result

    def attempt_deadline(self, arrival: RequestArrived) -> float:
        """Return the latest Unix time at which an attempt for this request may end."""
        return min(arrival.deadline, self.answers_due_at) - ATTEMPT_MARGIN
