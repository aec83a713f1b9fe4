"""Runs a testbed scenario in virtual time.

Hundreds of fronts run the production core and scheduler against modelled backends and clients; the testbed's
rule checker verifies the results.

Not emulated: connections, request heads and bodies, CPU load and signals. A backend accepts a request when
its last byte has arrived, ``LATENCY_S`` after it was sent. Faults that need a real process (stopped
processes, malformed lists, held calls) are rejected.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

from cleatyoke.core import AttemptResult, Core, Failed, Rejected, Served
from cleatyoke.emulation.clock import run
from cleatyoke.emulation.fault_events import FaultInjector
from cleatyoke.emulation.network import Network
from cleatyoke.emulation.value import LogicalRequest
from cleatyoke.emulation.view import VirtualTransport
from cleatyoke.emulation.virtual_backend import IncarnationHistory, VirtualBackend
from cleatyoke.emulation.virtual_front import CoreFactory, VirtualFront, make_core
from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.events import AttemptOutcome, EndpointState, RequestArrived
from cleatyoke.testbed.backend_model import BackendModel, RequestOutcome, Ticket
from cleatyoke.testbed.checker import AttemptRecord, ClientRequestRecord, RuleChecker
from cleatyoke.testbed.scenario import Scenario
from cleatyoke.testbed.workload import GeneratedRequest, requests

LATENCY_S = 0.001  # one-way latency between a front and a backend, seconds
LIST_DELAY_S = 0.2  # seconds until fronts receive a change of the endpoint list
NO_ANSWER_S = 3600.0  # seconds, longer than any deadline: stands for an answer that never comes
VIEW_SETTLES_S = 5.0  # seconds before the load starts, for the fronts' fleet views to settle
LIST_SETTLES_S = 0.1  # the same in scenarios without fleet views
# Latest requests to a warming backend that are examined; more than that don't fit in its overload window.
WARM_UP_REQUESTS_EXAMINED = 512


class Rejection(NamedTuple):
    """A request that a front rejected with status 503."""

    at: float  # seconds of the loop's time
    retry_after: float  # seconds, as sent in Retry-After


class ClientAnswer(NamedTuple):
    """The answer that a client received to one request."""

    status: int | None  # HTTP status; None if the front was down
    retry_after: float = 0.0  # seconds


class Emulation:
    """One run of a scenario. Must be created on a running loop of ``emulation.clock``.

    ``crash_on_overload``: a warming backend that is sent more than it can take crashes and stays down
    (protocol page). After ``run``: ``checker`` holds the answers that clients received, ``requests`` each
    request and when it was served, ``rejections`` the shed requests, ``began`` the loop's time at which the
    load started.
    """

    def __init__(
        self, scenario: Scenario, make: CoreFactory = make_core, *, crash_on_overload: bool = True
    ) -> None:
        self.scenario = scenario
        self.loop = asyncio.get_running_loop()
        self.checker = RuleChecker(scenario.plans, scenario.terms, max(4.0, float(scenario.load.max_units)))
        self.network = Network(scenario.seed)
        self.backends: list[VirtualBackend] = []  # by shard, followed by those being replaced
        self.requests: list[LogicalRequest] = []
        self.rejections: list[Rejection] = []
        self.began = 0.0
        self._make = make
        self._crash_on_overload = crash_on_overload
        self._incarnations = IncarnationHistory(scenario.backend_capacity)
        self._list_version = 0
        transport = VirtualTransport(self.network)
        faults = Faults(Metrics())
        self.fronts = [VirtualFront(number, scenario, transport, faults) for number in range(scenario.fronts)]

    # Backends and the endpoint list

    def begin_backend(self, shard: int, name: str, warm_up_start: float | None) -> VirtualBackend:
        """Start an incarnation; ``warm_up_start`` is in the loop's time, None if it is already warm."""
        model = BackendModel(self.scenario.backend_capacity, warm_up_start, self.scenario.seed + shard)
        self._incarnations.record_start(shard, self.loop.time(), warm_up_start)
        return VirtualBackend(name, shard, self.scenario.zone_of(shard), model)

    def end_backend(self, backend: VirtualBackend) -> None:
        """End a backend's incarnation at once; requests in progress are lost."""
        backend.is_up = False
        self._incarnations.record_end(backend.shard, self.loop.time())

    def power(self, shard: int, at: float) -> float:
        """Return the capacity of a shard's backends at the loop's time ``at``, in units per second."""
        return self._incarnations.power(shard, at)

    def publish(self, backend: VirtualBackend, state: EndpointState = EndpointState.LIVE) -> None:
        """Change the listed state of a backend; every front is notified ``LIST_DELAY_S`` later."""
        backend.state = state
        for front in self.fronts:
            self.loop.call_later(LIST_DELAY_S, self._notify_change, front, backend)

    def _notify_change(self, front: VirtualFront, backend: VirtualBackend) -> None:
        if front.core is None:
            return
        self._list_version += 1
        self._report_drain_state(front, backend)
        front.notify_change(self._list_version, backend.instance())

    def _report_drain_state(self, front: VirtualFront, backend: VirtualBackend) -> None:
        """Tell the checker from when on this front must send no new requests to the backend."""
        is_live = backend.state is EndpointState.LIVE
        self.checker.on_drain_notice(front.number, backend.name, None if is_live else self.loop.time())

    # Fronts

    async def start_front(self, front: VirtualFront) -> None:
        """Start an incarnation of a front and deliver the endpoint list to it."""
        await front.start(self._make)
        self._list_version += 1
        for backend in self.backends:
            self._report_drain_state(front, backend)
        front.notify_snapshot(self._list_version, [backend.instance() for backend in self.backends])

    def kill_front(self, front: VirtualFront) -> None:
        """End a front as SIGKILL would."""
        self.checker.on_front_killed(front.number, self.loop.time())
        front.kill()

    # Attempts at backends

    async def _attempt(
        self, front: VirtualFront, node: int, trace: str, request: ClientRequestRecord
    ) -> AttemptResult[str]:
        """Perform one attempt of a front; return the outcome that its connection would have had."""
        backend = self._backend_of(front, node)
        await asyncio.sleep(LATENCY_S)
        if backend is None or not backend.is_up or backend.has_crashed:
            return AttemptResult(AttemptOutcome.CONNECTION_FAILED)
        if backend.is_silent:
            await asyncio.sleep(NO_ANSWER_S)
        now = self.loop.time()
        record = self.checker.on_attempt(
            trace, backend.name, now, backend.shard, backend.zone, request.content
        )
        self._record_warm_up_request(backend, now, request.units)
        if backend.has_crashed:
            record.ended = now
            return AttemptResult(AttemptOutcome.CONNECTION_RESET)
        ticket = backend.model.accept(now, trace, request.units)
        try:
            return await self._execute(backend, ticket, record, now)
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

    async def _execute(
        self, backend: VirtualBackend, ticket: Ticket, record: AttemptRecord, now: float
    ) -> AttemptResult[str]:
        """Let the backend execute an accepted request."""
        if ticket.outcome is RequestOutcome.FULL:
            record.rejected = True
            return AttemptResult(AttemptOutcome.QUEUE_FULL)
        if ticket.outcome is RequestOutcome.UNREAD:
            return AttemptResult(AttemptOutcome.CONNECTION_RESET)
        await asyncio.sleep(ticket.ends_at - now)
        if backend.has_crashed or not backend.is_up:
            return AttemptResult(AttemptOutcome.CONNECTION_RESET)
        record.executed = True
        await asyncio.sleep(LATENCY_S)
        return await self._finish_attempt(backend, ticket.outcome)

    async def _finish_attempt(self, backend: VirtualBackend, outcome: RequestOutcome) -> AttemptResult[str]:
        """Return the result of an attempt whose request was executed."""
        if outcome is RequestOutcome.RESET:
            return AttemptResult(AttemptOutcome.CONNECTION_RESET)
        if outcome is RequestOutcome.MALFORMED:
            return AttemptResult(AttemptOutcome.ERROR)
        if outcome is RequestOutcome.LOST:
            await asyncio.sleep(NO_ANSWER_S)
        has_load_report = self.scenario.terms.load_report == "answers"
        utilization = backend.model.utilization(self.loop.time()) if has_load_report else None
        return AttemptResult(AttemptOutcome.SERVED, backend.name, utilization=utilization)

    def _record_warm_up_request(self, backend: VirtualBackend, now: float, units: float) -> None:
        """Record a request to a warming backend, which crashes if its overload window is exceeded."""
        capacity = self.scenario.backend_capacity
        model = backend.model
        if model.started_at is None or now - model.started_at >= capacity.ramp_duration:
            return
        max_units = capacity.overload_factor * model.rate(now) * capacity.overload_window
        self.checker.on_warm_up_arrival(backend.name, now, units, max_units)
        recent = [
            sent
            for at, sent, _ in self.checker.warm_up_arrivals[backend.name][-WARM_UP_REQUESTS_EXAMINED:]
            if at >= now - capacity.overload_window
        ]
        if self._crash_on_overload and sum(recent) > max_units + self.checker.warm_up_slack:
            backend.has_crashed = True
            self.end_backend(backend)

    # Clients

    async def _run_client(self, generated: GeneratedRequest) -> None:
        """Send a request and retry it as its client would."""
        load = self.scenario.load
        first = self.loop.time()
        served = None
        for number in range(1 + load.retries):
            answer = await self._request(generated, generated.trace_of(number))
            if answer.status == 200:
                served = self.loop.time()
            if answer.status not in (None, 503):
                break
            await asyncio.sleep(max(answer.retry_after, load.retry_delay))
        self.requests.append(
            LogicalRequest(first, generated.volume, generated.request_class, generated.units, served)
        )

    async def _request(self, generated: GeneratedRequest, trace: str) -> ClientAnswer:
        """Send a request once, without retries."""
        front = self.fronts[generated.front]
        now = self.loop.time()
        deadline = now + generated.request_class.deadline
        request = ClientRequestRecord(
            generated.front, generated.volume, generated.request_class, generated.units, now, deadline
        )
        self.checker.on_request(trace, request)
        core = front.core
        if core is None:
            request.excused = True
            return ClientAnswer(None)
        arrival = self._arrival(core, generated)
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

    def _arrival(self, core: Core, generated: GeneratedRequest) -> RequestArrived:
        return RequestArrived(
            request_id=core.new_id(),
            class_index=self.scenario.request_classes.index(generated.request_class),
            plan_index=generated.volume % len(self.scenario.plans),
            volume_id=generated.volume,
            item=int(generated.block, 16),
            shard=generated.volume % self.scenario.backends,
            units=generated.units,
            deadline=core.now() + generated.request_class.deadline,
            front_count=self.scenario.load.fronts_per_volume,
        )

    def _client_answer(self, trace: str, result: Served[str] | Rejected | Failed) -> ClientAnswer:
        """Pass a front's answer to the checker and return it as the client receives it."""
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

    async def run(self, settle_time: float = VIEW_SETTLES_S) -> Emulation:
        """Run the scenario to its end.

        ``settle_time``: seconds before the load starts, for the fronts' fleet views to settle.
        """
        scenario = self.scenario
        self.backends = [
            self.begin_backend(shard, f"s-{shard:03d}", None) for shard in range(scenario.backends)
        ]
        for front in self.fronts:
            await self.start_front(front)
        await asyncio.sleep(settle_time if scenario.view else LIST_SETTLES_S)
        self.began = self.loop.time()
        injector = FaultInjector(self)
        tasks = [asyncio.ensure_future(injector.inject(event)) for event in scenario.faults]
        for generated in requests(scenario):
            await asyncio.sleep(max(0.0, self.began + generated.at - self.loop.time()))
            tasks.append(asyncio.ensure_future(self._run_client(generated)))
        await asyncio.gather(*tasks)
        for front in self.fronts:
            self.kill_front(front)
        await _cancel_other_tasks()
        return self

    def broken(self) -> list[str]:
        """Return a line for each violation of a rule."""
        return self.checker.find_violations(self.scenario.backend_capacity.overload_window)


async def _cancel_other_tasks() -> None:
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


def emulate(
    scenario: Scenario, make: CoreFactory = make_core, *, crash_on_overload: bool = True
) -> Emulation:
    """Run a scenario in virtual time, on its own event loop, and return the finished run."""

    async def main() -> Emulation:
        return await Emulation(scenario, make, crash_on_overload=crash_on_overload).run()

    return run(main())
