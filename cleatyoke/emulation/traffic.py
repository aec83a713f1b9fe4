"""A scenario of the testbed in virtual time.

Hundreds of fronts run their real core and scheduling before modelled backends and clients, and the testbed's
rule checker judges what came of it.

What sockets do is left out: connections, request heads and bodies, a busy processor, signals. A backend
takes a request when its last byte has arrived, ``LATENCY_S`` after it was sent. Faults that need a real
process (stopped processes, malformed lists, held calls) are rejected.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

from cleatyoke.core import AttemptResult, Core, Failed, Rejected, Served
from cleatyoke.emulation.clock import run
from cleatyoke.emulation.fault_events import FaultInjector
from cleatyoke.emulation.network import Network
from cleatyoke.emulation.value import RequestTemplate
from cleatyoke.emulation.view import Ether
from cleatyoke.emulation.virtual_backend import IncarnationHistory, VirtualBackend
from cleatyoke.emulation.virtual_front import CoreFactory, VirtualFront, make_core
from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.events import AttemptOutcome, EndpointState, RequestArrived
from cleatyoke.testbed.backend_model import BackendModel, RequestOutcome, Ticket
from cleatyoke.testbed.checker import AttemptRecord, ClientRequestRecord, RuleChecker
from cleatyoke.testbed.scenario import Scenario
from cleatyoke.testbed.workload import GeneratedRequest, requests

LATENCY_S = 0.001  # seconds from a front to a backend, and the same back
LIST_DELAY_S = 0.2  # seconds until fronts know of a change of the backends
NEVER_S = 3600.0  # seconds, longer than any deadline: an answer that does not come
VIEW_SETTLES_S = 5.0  # seconds before the load begins, in which the fronts' view of one another settles
LIST_SETTLES_S = 0.1  # the same without such a view
COLD_REQUESTS_EXAMINED = 512  # latest requests of a warming backend that may lie within its tipping window


class Rejection(NamedTuple):
    """A request that a front rejected with a Retry-After."""

    at: float  # seconds of the loop's time
    retry_after: float  # seconds


class ClientAnswer(NamedTuple):
    """What a client saw of one request."""

    status: int | None  # HTTP status; None where the front was down
    retry_after: float = 0.0  # seconds


class Emulation:
    """One run of a scenario. Needs a running loop, that of ``emulation.clock``.

    ``tips``: a warming backend that is sent more than it bears falls over and stays down (protocol page).
    After ``run``: ``checker`` holds what each client saw, ``requests`` what each wanted and when it was
    served, ``rejections`` what was shed, ``began`` the loop's time at which the load began.
    """

    def __init__(self, scenario: Scenario, make: CoreFactory = make_core, *, tips: bool = True) -> None:
        self.scenario = scenario
        self.loop = asyncio.get_running_loop()
        self.checker = RuleChecker(scenario.plans, scenario.terms, max(4.0, float(scenario.load.max_units)))
        self.network = Network(scenario.seed)
        self.backends: list[VirtualBackend] = []  # by shard; after them those that are being replaced
        self.requests: list[RequestTemplate] = []
        self.rejections: list[Rejection] = []
        self.began = 0.0
        self._make = make
        self._tips = tips
        self._incarnations = IncarnationHistory(scenario.backend_capacity)
        self._list_version = 0
        ether = Ether(self.network)
        faults = Faults(Metrics())
        self.fronts = [VirtualFront(number, scenario, ether, faults) for number in range(scenario.fronts)]

    # Backends and the endpoint list

    def begin_backend(self, shard: int, name: str, born: float | None) -> VirtualBackend:
        """Start an incarnation; ``born``: the loop's time when its warming up begins, None for a warm one."""
        model = BackendModel(self.scenario.backend_capacity, born, self.scenario.seed + shard)
        self._incarnations.record_start(shard, self.loop.time(), born)
        return VirtualBackend(name, shard, self.scenario.zone_of(shard), model)

    def end_backend(self, backend: VirtualBackend) -> None:
        """End a backend's incarnation at once; what it was working on is lost."""
        backend.is_up = False
        self._incarnations.record_end(backend.shard, self.loop.time())

    def power(self, shard: int, at: float) -> float:
        """Return how many units a second the backends of a shard could do at the loop's time ``at``."""
        return self._incarnations.power(shard, at)

    def publish(self, backend: VirtualBackend, state: EndpointState = EndpointState.LIVE) -> None:
        """Change the listed state of a backend; every front knows it ``LIST_DELAY_S`` later."""
        backend.state = state
        for front in self.fronts:
            self.loop.call_later(LIST_DELAY_S, self._notify_change, front, backend)

    def _notify_change(self, front: VirtualFront, backend: VirtualBackend) -> None:
        if front.core is None:
            return
        self._list_version += 1
        self._check_draining(front, backend)
        front.notify_change(self._list_version, backend.instance())

    def _check_draining(self, front: VirtualFront, backend: VirtualBackend) -> None:
        """Let the checker know from when on this front must send the backend nothing new."""
        serves = backend.state is EndpointState.LIVE
        self.checker.on_drain_notice(front.number, backend.name, None if serves else self.loop.time())

    # Fronts

    async def start_front(self, front: VirtualFront) -> None:
        """Start an incarnation of a front and give it the endpoint list."""
        await front.start(self._make)
        self._list_version += 1
        for backend in self.backends:
            self._check_draining(front, backend)
        front.notify_snapshot(self._list_version, [backend.instance() for backend in self.backends])

    def kill_front(self, front: VirtualFront) -> None:
        """End a front as SIGKILL would."""
        self.checker.on_front_killed(front.number, self.loop.time())
        front.kill()

    # Attempts at backends

    async def _attempt(
        self, front: VirtualFront, node: int, trace: str, request: ClientRequestRecord
    ) -> AttemptResult[str]:
        """Make one attempt for a front, with the outcome that its connection would have had."""
        backend = self._backend_of(front, node)
        await asyncio.sleep(LATENCY_S)
        if backend is None or not backend.is_up or backend.has_fallen:
            return AttemptResult(AttemptOutcome.CONNECTION_FAILED)
        if backend.is_silent:
            await asyncio.sleep(NEVER_S)
        now = self.loop.time()
        record = self.checker.on_attempt(
            trace, backend.name, now, backend.shard, backend.zone, request.content
        )
        self._count_cold(backend, now, request.units)
        if backend.has_fallen:
            record.ended = now
            return AttemptResult(AttemptOutcome.CONNECTION_RESET)
        ticket = backend.model.accept(now, trace, request.units)
        try:
            return await self._work(backend, ticket, record, now)
        except asyncio.CancelledError:
            if not record.executed:
                record.executed = not backend.model.withdraw(self.loop.time(), ticket)
            raise
        finally:
            record.ended_at = self.loop.time()

    def _backend_of(self, front: VirtualFront, node: int) -> VirtualBackend | None:
        assert front.directory
        instance = front.directory.instances.get(node)
        if instance is None:
            return None
        return next((backend for backend in self.backends if backend.name == instance.name), None)

    async def _work(
        self, backend: VirtualBackend, ticket: Ticket, record: AttemptRecord, now: float
    ) -> AttemptResult[str]:
        """Let the backend work on a request that it was sent."""
        if ticket.outcome is RequestOutcome.FULL:
            record.rejected = True
            return AttemptResult(AttemptOutcome.QUEUE_FULL)
        if ticket.outcome is RequestOutcome.UNREAD:
            return AttemptResult(AttemptOutcome.CONNECTION_RESET)
        await asyncio.sleep(ticket.ends_at - now)
        if backend.has_fallen or not backend.is_up:
            return AttemptResult(AttemptOutcome.CONNECTION_RESET)
        record.executed = True
        await asyncio.sleep(LATENCY_S)
        return await self._answer(backend, ticket.outcome)

    async def _answer(self, backend: VirtualBackend, fate: RequestOutcome) -> AttemptResult[str]:
        """End an attempt whose request ran."""
        if fate is RequestOutcome.RESET:
            return AttemptResult(AttemptOutcome.CONNECTION_RESET)
        if fate is RequestOutcome.SPOILT:
            return AttemptResult(AttemptOutcome.ERROR)
        if fate is RequestOutcome.LOST:
            await asyncio.sleep(NEVER_S)
        reports = self.scenario.terms.load_report == "answers"
        utilization = backend.model.utilization(self.loop.time()) if reports else None
        return AttemptResult(AttemptOutcome.SERVED, backend.name, utilization=utilization)

    def _count_cold(self, backend: VirtualBackend, now: float, units: float) -> None:
        """Count a request at a warming backend, which falls over if it was sent too much of late."""
        power = self.scenario.backend_capacity
        model = backend.model
        if model.started_at is None or now - model.started_at >= power.ramp_duration:
            return
        bears = power.overload_factor * model.rate(now) * power.overload_window
        self.checker.on_warm_up_arrival(backend.name, now, units, bears)
        recent = [
            sent
            for at, sent, _ in self.checker.warm_up_arrivals[backend.name][-COLD_REQUESTS_EXAMINED:]
            if at >= now - power.overload_window
        ]
        if self._tips and sum(recent) > bears + self.checker.warm_up_slack:
            backend.has_fallen = True
            self.end_backend(backend)

    # Clients

    async def _run_client(self, drawn: GeneratedRequest) -> None:
        """Send a request and repeat it as its client would."""
        load = self.scenario.load
        first = self.loop.time()
        served = None
        for number in range(1 + load.retries):
            answer = await self._request(drawn, drawn.trace_of(number))
            if answer.status == 200:
                served = self.loop.time()
            if answer.status not in (None, 503):
                break
            await asyncio.sleep(max(answer.retry_after, load.retry_delay))
        self.requests.append(RequestTemplate(first, drawn.volume, drawn.request_class, drawn.units, served))

    async def _request(self, drawn: GeneratedRequest, trace: str) -> ClientAnswer:
        """Send a request once."""
        front = self.fronts[drawn.front]
        now = self.loop.time()
        deadline = now + drawn.request_class.deadline
        request = ClientRequestRecord(
            drawn.front, drawn.volume, drawn.request_class, drawn.units, now, deadline
        )
        self.checker.on_request(trace, request)
        core = front.core
        if core is None:
            request.excused = True
            return ClientAnswer(None)
        arrival = self._arrival(core, drawn)
        task = asyncio.ensure_future(
            core.serve(arrival, lambda node, _not_after: self._attempt(front, node, trace, request))
        )
        front.open_requests.add(task)
        task.add_done_callback(front.open_requests.discard)
        try:
            result = await task
        except asyncio.CancelledError:  # its front was killed
            return ClientAnswer(None)
        return self._client_answer(trace, result)

    def _arrival(self, core: Core, drawn: GeneratedRequest) -> RequestArrived:
        return RequestArrived(
            request_id=core.new_id(),
            class_index=self.scenario.request_classes.index(drawn.request_class),
            plan_index=drawn.volume % len(self.scenario.plans),
            volume_id=drawn.volume,
            item=int(drawn.block, 16),
            shard=drawn.volume % self.scenario.backends,
            units=drawn.units,
            deadline=core.now() + drawn.request_class.deadline,
            front_count=self.scenario.load.fronts_per_volume,
        )

    def _client_answer(self, trace: str, result: Served[str] | Rejected | Failed) -> ClientAnswer:
        """Give the checker the answer of a front and return what the client sees of it."""
        now = self.loop.time()
        match result:
            case Served(value):
                self.checker.on_answer(trace, 200, f"{trace} {value}".encode(), now)
                return ClientAnswer(200)
            case Rejected(retry_after):
                self.checker.on_answer(trace, 503, b"", now)
                self.rejections.append(Rejection(now, retry_after))
                return ClientAnswer(503, retry_after)
            case Failed():
                self.checker.on_answer(trace, 502, b"", now)
                return ClientAnswer(502)

    # The run

    async def run(self, settles: float = VIEW_SETTLES_S) -> Emulation:
        """Run the scenario to its end.

        ``settles``: seconds before the load begins for the fronts' view of one another to settle.
        """
        scenario = self.scenario
        self.backends = [
            self.begin_backend(shard, f"s-{shard:03d}", None) for shard in range(scenario.backends)
        ]
        for front in self.fronts:
            await self.start_front(front)
        await asyncio.sleep(settles if scenario.view else LIST_SETTLES_S)
        self.began = self.loop.time()
        injector = FaultInjector(self)
        tasks = [asyncio.ensure_future(injector.inject(event)) for event in scenario.faults]
        for drawn in requests(scenario):
            await asyncio.sleep(max(0.0, self.began + drawn.at - self.loop.time()))
            tasks.append(asyncio.ensure_future(self._run_client(drawn)))
        await asyncio.gather(*tasks)
        for front in self.fronts:
            self.kill_front(front)
        await _cancel_other_tasks()
        return self

    def broken(self) -> list[str]:
        """Return a line for each rule that did not hold."""
        return self.checker.find_violations(self.scenario.backend_capacity.overload_window)


async def _cancel_other_tasks() -> None:
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


def emulate(scenario: Scenario, make: CoreFactory = make_core, *, tips: bool = True) -> Emulation:
    """Run a scenario in virtual time, in a loop of its own, and return the finished run."""

    async def main() -> Emulation:
        return await Emulation(scenario, make, tips=tips).run()

    return run(main())
