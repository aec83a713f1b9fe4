"""The core of a front: one scheduler, its clock and timer, and the lifecycle of a request.

It knows no protocol. A server brings a ``RequestArrived`` and a function that makes one attempt at a node;
``Core.serve`` asks the scheduler where and when, and returns how the request ended.
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
from cleatyoke.scheduling.settings import SchedulerSettings

T = TypeVar("T")
# Times in seconds, in no setting. The two margins are what this process's own loop may run late by.
ATTEMPT_MARGIN = 0.04  # an attempt ends this long before the client's deadline, so that the answer beats it
ANSWER_MARGIN = 0.015  # the core answers by itself where the scheduler has not until so long before it
FAULT_LOG_INTERVAL = 1.0  # between two lines of the log on faults of the scheduler
MIN_DECISION_TIME = 0.005  # the scheduler decides in the next turn of the loop, however short the deadline
log = structlog.get_logger()


@dataclass(slots=True)
class AttemptResult(Generic[T]):
    """How an attempt ended, and its answer.

    ``units_by_others``: units of its volume that the node served through other fronts. ``utilization``:
    fraction of its capacity in use that the node reports.
    """

    outcome: AttemptOutcome
    value: T | None = None
    units_by_others: float = 0.0
    utilization: float | None = None


MayBegin = Callable[[], bool]  # whether an attempt may begin: asked directly before its first byte
AttemptFunction = Callable[[int, MayBegin], Awaitable[AttemptResult[T]]]  # takes the node's id
BeforeStep = Callable[[float, list[SchedulerEvent]], list[SchedulerEvent]]


@dataclass(slots=True)
class Served(Generic[T]):
    """Final answer: a node has served the request, ``value`` is what its attempt returned."""

    value: T | None


@dataclass(slots=True)
class Rejected:
    """Final answer: rejected, a retry by the client is harmless, best after ``retry_after`` seconds."""

    retry_after: float


@dataclass(slots=True)
class Failed:
    """Final answer: failed, and the request may have taken effect."""


class PendingRequest:
    """A request being served: the scheduler's decisions on it, and the timeouts that run.

    ``answer_timeout``: of its final answer. ``attempt_timeout``: of the attempt in flight, if any.
    ``attempts``: made so far.
    """

    __slots__ = ("answer_timeout", "attempt_timeout", "attempts", "decisions")

    def __init__(self) -> None:
        self.decisions: asyncio.Queue[SendAttempt | Reject | FailRequest] = asyncio.Queue()
        self.answer_timeout: asyncio.Timeout | None = None
        self.attempt_timeout: asyncio.Timeout | None = None
        self.attempts = 0


def _keep_events(_now: float, events: list[SchedulerEvent]) -> list[SchedulerEvent]:
    return events


class Core:
    """Owner of the one scheduler. Every event of one turn of the loop goes into one step.

    ``unix_at_loop_zero``: Unix time at the loop's 0, where it is not the system's, as in virtual time.
    ``pending``: requests being served, by id. ``endpoint_listeners``: are passed every endpoint update.
    ``before_step``: takes the time and the events of a step, and returns them with those that the scheduler
    must know of before it decides anything at that time, such as leases that have ended.
    """

    def __init__(self, settings: SchedulerSettings, unix_at_loop_zero: float | None = None) -> None:
        self.loop = asyncio.get_running_loop()
        # Read once: this clock goes on evenly if the system's jumps.
        self.unix_offset = time.time() - self.loop.time() if unix_at_loop_zero is None else unix_at_loop_zero
        self.scheduler = Scheduler(settings)
        self.pending: dict[str, PendingRequest] = {}
        self.endpoint_listeners: list[Callable[[EndpointUpdate], None]] = []
        self.before_step: BeforeStep = _keep_events
        self.answers_due_at = math.inf  # Unix time; earlier than requests' own deadlines in a shutdown
        self._events: list[SchedulerEvent] = []
        self.timer: asyncio.TimerHandle | None = None
        self._fault_logged_at = -math.inf
        self._faults_since_logged = 0  # with the one that is logged
        self._ids_issued = 0

    def now(self) -> float:
        """Unix time in seconds, by the monotonic clock."""
        return self.loop.time() + self.unix_offset

    def new_id(self) -> str:
        """Return an id for a request; ids are the core's own, as clients may repeat theirs."""
        self._ids_issued += 1
        return str(self._ids_issued)

    def notify(self, event: SchedulerEvent) -> None:
        """Pass an event to the scheduler, in the next turn of the loop."""
        if not self._events:
            self.loop.call_soon(self.step)
        self._events.append(event)
        if isinstance(event, EndpointUpdate):
            for listener in self.endpoint_listeners:
                listener(event)

    def step(self) -> None:
        """Let the scheduler decide on the events that came, and act on it."""
        events = self._events
        self._events = []
        now = self.now()
        try:
            events = self.before_step(now, events)
        except Exception as error:  # noqa: BLE001 - the events themselves count all the same
            self._report_fault(error, "before_step")
        try:
            actions = self.scheduler.step(now, events)
        except Exception as error:  # noqa: BLE001 - each request is still answered at its own deadline
            self._report_fault(error, "step")
            return
        for fault in self.scheduler.take_faults():
            self._report_fault(fault.error, fault.subject)
        for action in actions:
            self._act(action)

    def _report_fault(self, error: Exception, subject: str) -> None:
        """Log an exception of the scheduler, seldom where its cause stands in every step."""
        self._faults_since_logged += 1
        if self.loop.time() < self._fault_logged_at + FAULT_LOG_INTERVAL:
            return
        log.error("scheduler_fault", exc_info=error, subject=subject, faults=self._faults_since_logged)
        self._fault_logged_at = self.loop.time()
        self._faults_since_logged = 0

    def _act(self, action: SchedulerAction) -> None:
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
                pass  # only the simulator polls; the core watches discovery by itself

    def _cancel_attempt(self, request_id: str, attempt: int) -> None:
        pending = self.pending.get(request_id)
        if pending is None or attempt != pending.attempts - 1:
            return
        timeout = pending.attempt_timeout
        if timeout and not timeout.expired():  # after a pause of the process both are due at once
            timeout.reschedule(self.loop.time())

    def begin_shutdown(self, answers_due_at: float) -> None:
        """Answer every request, open ones and those that still come, by ``answers_due_at`` (Unix time).

        Saves requests whose clients wait longer than the process has left.
        """
        self.answers_due_at = answers_due_at
        for pending in self.pending.values():
            self._shorten(pending.answer_timeout, answers_due_at - ANSWER_MARGIN)
            self._shorten(pending.attempt_timeout, answers_due_at - ATTEMPT_MARGIN)

    def _shorten(self, timeout: asyncio.Timeout | None, unix_time: float) -> None:
        at = unix_time - self.unix_offset
        if timeout and not timeout.expired() and (timeout.when() or 0.0) > at:
            timeout.reschedule(at)

    async def serve(
        self, arrival: RequestArrived, attempt: AttemptFunction[T]
    ) -> Served[T] | Rejected | Failed:
        """Serve a request, from its arrival to its one answer. Cancelled: its client has disconnected."""
        pending = self.pending[arrival.request_id] = PendingRequest()
        self.notify(arrival)
        try:
            due = min(arrival.deadline, self.answers_due_at) - ANSWER_MARGIN - self.unix_offset
            # A client that waits for less than the margin still gets the scheduler's decision.
            due = max(due, self.loop.time() + MIN_DECISION_TIME)
            async with asyncio.timeout_at(due) as pending.answer_timeout:
                return await self._follow_decisions(arrival, pending, attempt)
        except asyncio.CancelledError:
            self.notify(ClientDisconnected(arrival.request_id))
            raise
        except TimeoutError:
            self.notify(ClientDisconnected(arrival.request_id))
            return self._forced_answer(arrival, pending)
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

    def _forced_answer(self, arrival: RequestArrived, pending: PendingRequest) -> Rejected | Failed:
        """Answer in time a request for which the scheduler has not decided, or the loop ran late."""
        if self.answers_due_at < arrival.deadline:  # a shutdown: what was never sent may go to another front
            return Failed() if pending.attempts else Rejected(0.0)
        log.warning("answer_forced", request=arrival.request_id, attempts=pending.attempts)
        return Failed()

    def _report_unused_decisions(self, arrival: RequestArrived, pending: PendingRequest) -> None:
        """Report attempts that were decided on too late: the scheduler counts each in a slot of its node."""
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
        """Make one attempt, until its timeout ends it, or the scheduler cancels it by the same timeout.

        Its end is reported once its connection is free or closed, so that there are never two in flight. What
        it is allowed by (until when nodes remember its idempotency key, and its own deadline) is looked at
        again directly before its first byte, as a connection may take long to be made.
        """
        number = pending.attempts
        node_id = decision.node_id
        sent_at = self.now()

        def may_begin() -> bool:
            return self.now() < min(decision.not_after, self.attempt_deadline(arrival))

        pending.attempts += 1
        result = AttemptResult[T](AttemptOutcome.CANCELLED)
        settled = True  # also when cancelled by a disconnect; the except branches below set it to False
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
            result = AttemptResult(AttemptOutcome.CONNECTION_RESET)  # in doubt: it may have executed
        finally:
            pending.attempt_timeout = None
            self.notify(
                AttemptFinished(
                    arrival.request_id,
                    number,
                    node_id,
                    result.outcome,
                    self.now() - sent_at,
                    settled,
                    result.units_by_others,
                    result.utilization,
                )
            )
        return result

    def attempt_deadline(self, arrival: RequestArrived) -> float:
        """Unix time at which an attempt for this request ends at the latest."""
        return min(arrival.deadline, self.answers_due_at) - ATTEMPT_MARGIN
