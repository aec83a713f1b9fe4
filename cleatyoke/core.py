"""The core of a front: one policy, its clock and wake-up, and the life of a request. It knows no wire.

A front brings an ``api.Arrival`` and a function that makes one attempt at a node; ``Core.serve`` asks the
policy where and when, and returns how the request ended.
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
# The first two are in no setting: they are what this process's own loop may run late by.
ATTEMPT_MARGIN = 0.04  # an attempt ends this long before the client's deadline, so that the answer beats it
ANSWER_MARGIN = 0.015  # and the core answers by itself where the policy still has not
SOONEST = 0.005  # the policy's word comes in the next turn of the loop, however short the deadline
log = structlog.get_logger()


@dataclass(slots=True)
class AttemptResult(Generic[T]):
    """How an attempt ended, its answer, and the units of its volume that the node served by other hosts
    and the part of its power that it reports in use.
    """

    outcome: AttemptOutcome
    value: T | None = None
    elsewhere: float = 0.0
    busy: float | None = None


MayBegin = Callable[[], bool]  # whether an attempt may begin: asked directly before its first byte
Attempt = Callable[[int, MayBegin], Awaitable[AttemptResult[T]]]  # of the node


@dataclass(slots=True)
class Served(Generic[T]):
    value: T | None


@dataclass(slots=True)
class Rejected:
    """Turned away, and trying again is harmless, best after ``wait`` seconds."""

    wait: float


@dataclass(slots=True)
class Failed:
    """No promise about its effect."""


class PendingRequest:
    """A request being served: what the policy says of it, and the timer of the attempt that is out."""

    __slots__ = ("attempts", "limit", "out", "words")

    def __init__(self) -> None:
        self.words: asyncio.Queue[SendAttempt | Reject | FailRequest] = asyncio.Queue()
        self.limit: asyncio.Timeout | None = None  # of its answer
        self.out: asyncio.Timeout | None = None
        self.attempts = 0


class Core:
    """Owner of the one policy. Every event of one turn of the loop goes into one step."""

    def __init__(self, settings: SchedulerSettings, unix: float | None = None) -> None:
        """``unix``: Unix time at the loop's 0, where it is not the system's, as in virtual time."""
        self.loop = asyncio.get_running_loop()
        # Once: the clock goes on evenly if the system's jumps.
        self.offset = time.time() - self.loop.time() if unix is None else unix
        self.policy = Scheduler(settings)
        self.calls: dict[str, PendingRequest] = {}
        self.events: list[SchedulerEvent] = []
        self.wake_timer: asyncio.TimerHandle | None = None
        self.numbered = 0
        self.last = math.inf  # by when every answer is due, whatever the request's own deadline
        self.listeners: list[Callable[[EndpointUpdate], None]] = []  # who else hears of the nodes
        # What the policy has to know before it decides anything now, as leases that have ended meanwhile.
        self.before: Callable[[float, list[SchedulerEvent]], list[SchedulerEvent]] = lambda now, events: (
            events
        )

    def now(self) -> float:
        """Unix time, by the monotonic clock."""
        return self.loop.time() + self.offset

    def new_id(self) -> str:
        """Ids of the core's own: a client that repeats one of its ids mixes nothing up."""
        self.numbered += 1
        return str(self.numbered)

    def tell(self, event: SchedulerEvent) -> None:
        if not self.events:
            self.loop.call_soon(self.step)
        self.events.append(event)
        if isinstance(event, EndpointUpdate):
            for listener in self.listeners:
                listener(event)

    def step(self) -> None:
        events, self.events = self.events, []
        try:
            now = self.now()
            actions = self.policy.step(now, self.before(now, events))
        except Exception:  # guards the other requests: each is still answered at its own deadline
            log.exception("policy_fault", events=len(events))
            return
        for action in actions:
            match action:
                case SendAttempt(request) | Reject(request) | FailRequest(request):
                    if call := self.calls.get(request):
                        call.words.put_nowait(action)
                case CancelAttempt(request, attempt):
                    call = self.calls.get(request)
                    out = call.out if call and attempt == call.attempts - 1 else None
                    if out and not out.expired():  # a process that stood still finds both due at once
                        out.reschedule(self.loop.time())
                case SetTimer(after, token):
                    if self.wake_timer:
                        self.wake_timer.cancel()
                    self.wake_timer = self.loop.call_at(
                        self.loop.time() + after, self.tell, TimerFired(token)
                    )
                case WatchEndpoints():
                    pass  # the platform's discovery is watched from the start

    def hurry(self, last: float) -> None:
        """The process is to end: everything that is open now is answered by ``last`` (Unix time), as is what
        comes after. Guards requests whose clients wait longer than the process may take to leave.
        """
        self.last = last
        for call in self.calls.values():
            for timer, margin in ((call.limit, ANSWER_MARGIN), (call.out, ATTEMPT_MARGIN)):
                at = last - margin - self.offset
                if timer and not timer.expired() and (timer.when() or 0.0) > at:
                    timer.reschedule(at)

    async def serve(self, ask: RequestArrived, attempt: Attempt[T]) -> Served[T] | Rejected | Failed:
        """The life of a request, from its arrival to its one answer. Cancelled: the client has left."""
        call = self.calls[ask.request_id] = PendingRequest()
        self.tell(ask)
        try:
            # A client that waits for less than the margin still hears the policy's word, which comes at once.
            due = min(ask.deadline, self.last) - ANSWER_MARGIN - self.offset
            async with asyncio.timeout_at(max(due, self.loop.time() + SOONEST)) as call.limit:
                while True:
                    match await call.words.get():
                        case SendAttempt(_, node) if self.now() >= self.last - ATTEMPT_MARGIN:
                            self.end(
                                ask,
                                call.attempts,
                                node,
                                AttemptResult(AttemptOutcome.NOT_SENT),
                                0.0,
                                settled=True,
                            )
                        case SendAttempt(_, node, before):
                            ending = await self.attempt(ask, call, node, before, attempt)
                            if ending.outcome is AttemptOutcome.SERVED:
                                return Served(ending.value)
                        case Reject(_, wait):
                            return Rejected(wait)
                        case FailRequest():
                            return Failed()
        except asyncio.CancelledError:
            self.tell(ClientDisconnected(ask.request_id))
            raise
        except TimeoutError:
            self.tell(ClientDisconnected(ask.request_id))
            if self.last < ask.deadline:  # the process ends: what was never sent may be tried elsewhere
                return Failed() if call.attempts else Rejected(0.0)
            # Guards against a silent policy and a loop that ran late: the client is owed an answer in time.
            log.warning("answer_forced", request=ask.request_id, attempts=call.attempts)
            return Failed()
        finally:
            del self.calls[ask.request_id]
            while not call.words.empty():
                # Guards the policy's count of slots: a word to send that came too late is an attempt to it.
                if isinstance(word := call.words.get_nowait(), SendAttempt):
                    self.end(
                        ask,
                        call.attempts,
                        word.node_id,
                        AttemptResult(AttemptOutcome.NOT_SENT),
                        0.0,
                        settled=True,
                    )

    async def attempt(
        self, ask: RequestArrived, call: PendingRequest, node: int, before: float, attempt: Attempt[T]
    ) -> AttemptResult[T]:
        """One attempt, until its timer ends it or the policy calls it off by the same timer. Its end is told
        once its connection is free or closed, so that there are never two out. What it is allowed by, the
        time ``before`` which nodes know its request and its own time, is looked at again directly before its
        first byte: a connection may take long to come up.
        """
        number, sent = call.attempts, self.now()

        def may() -> bool:
            return self.now() < min(before, self.until(ask))

        call.attempts += 1
        ending, settled = (
            AttemptResult[T](AttemptOutcome.CANCELLED),
            True,
        )  # a client that leaves takes it along
        try:
            async with asyncio.timeout_at(self.until(ask) - self.offset) as call.out:
                ending = await attempt(node, may)
            settled = ending.outcome is AttemptOutcome.SERVED
        except TimeoutError:
            settled = False
            ending = AttemptResult(
                AttemptOutcome.TIMEOUT if self.now() >= self.until(ask) else AttemptOutcome.CANCELLED
            )
        except Exception:
            log.exception("attempt_fault", node=node)
            ending, settled = (
                AttemptResult(AttemptOutcome.CONNECTION_RESET),
                False,
            )  # in doubt, it may have run
        finally:
            call.out = None
            self.end(ask, number, node, ending, self.now() - sent, settled)
        return ending

    def until(self, ask: RequestArrived) -> float:
        """When its attempt ends at the latest."""
        return min(ask.deadline, self.last) - ATTEMPT_MARGIN

    def end(
        self,
        ask: RequestArrived,
        number: int,
        node: int,
        ending: AttemptResult[T],
        spent: float,
        settled: bool,
    ) -> None:
        told = ending.elsewhere, ending.busy
        self.tell(AttemptFinished(ask.request_id, number, node, ending.outcome, spent, settled, *told))
