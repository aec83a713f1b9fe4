"""A scenario run: fronts as real processes, test doubles around them, scheduled faults, and the report."""

from __future__ import annotations

import asyncio
import socket
import tempfile
import time
from pathlib import Path

from cleatyoke.testbed.backend import BackendDouble
from cleatyoke.testbed.backend_model import BackendModel
from cleatyoke.testbed.checker import ClientRequestRecord, RuleChecker
from cleatyoke.testbed.clients import ClientDoubles
from cleatyoke.testbed.discovery_agent import DiscoveryAgent, Registry
from cleatyoke.testbed.fault_injection import FaultInjector
from cleatyoke.testbed.fault_relay import FaultRelay
from cleatyoke.testbed.front_process import FrontProcess
from cleatyoke.testbed.peer import LOCALHOST, hold_port, hold_port_on
from cleatyoke.testbed.run_report import RunReport
from cleatyoke.testbed.scenario import Scenario
from cleatyoke.testbed.view_checks import MembershipChecker

ROOT = Path(__file__).resolve().parent.parent.parent
LAG_POLL_S = 0.05  # between two measurements of the event loop's lag
VIEW_POLL_S = 0.2  # between two polls of all fronts' views
MIN_WARM_UP_SLACK = 4.0  # units


class ScenarioRun:
    """One run of a scenario; ``run`` may be called once.

    ``folder`` is for the fronts' files; ``program`` is the folder that contains the package they run.
    """

    def __init__(self, scenario: Scenario, folder: Path, program: Path = ROOT) -> None:
        self.scenario = scenario
        self.folder = folder
        self.program = program
        self.front_environment: dict[str, str] = {}  # beside what fronts inherit
        self.clock = asyncio.get_running_loop().time
        self.unix_offset = time.time() - self.clock()
        self.report = RunReport(scenario.name, scenario.seconds)
        warm_up_slack = max(MIN_WARM_UP_SLACK, float(scenario.load.max_units))
        self.checker = RuleChecker(scenario.plans, scenario.terms, warm_up_slack)
        self.registry = Registry()
        self.backends: list[BackendDouble] = []  # by their shard
        self.retired_backends: list[BackendDouble] = []
        self.agents: list[DiscoveryAgent] = []
        self.fronts: list[FrontProcess] = []
        self.reserved_ports: list[socket.socket] = []  # the fronts' listeners, and the operators' port
        self.shards_by_backend: dict[str, int] = {}
        self.relay = FaultRelay(scenario.fronts, scenario.seed) if scenario.view else None
        self.view_checker = MembershipChecker()
        self.ops_port = 0  # for operators' commands, where there is a relay
        self._fault_injector = FaultInjector(self)

    async def add_backend(
        self, shard: int, name: str, started_at: float | None, model_seed: int
    ) -> BackendDouble:
        """Start a backend and list it; ``started_at`` None: it has been running for long and is warmed up."""
        backend = BackendDouble(name, shard, self.scenario.zone_of(shard), self.checker, self.clock)
        await backend.start_incarnation(BackendModel(self.scenario.backend_capacity, started_at, model_seed))
        self.shards_by_backend[name] = shard
        await self.list_backend(backend)
        return backend

    async def list_backend(self, backend: BackendDouble, lifecycle: str = "SERVING") -> None:
        """Publish a backend's lifecycle state in discovery."""
        started_at = backend.model.started_at
        started_at_ms = 0 if started_at is None else int((started_at + self.unix_offset) * 1000)
        await self.registry.set(
            backend.name,
            hostPort=f"127.0.0.1:{backend.port}",
            zone=backend.zone,
            machineType="m1",
            cell=backend.shard,
            lifecycle=lifecycle,
            weight=1.0,
            startedAtMs=started_at_ms,
        )

    async def add_agent(self, front: int) -> DiscoveryAgent:
        """Start a discovery agent for a front."""
        agent = DiscoveryAgent(front, self.registry, self.checker, self.clock)
        await agent.start()
        return agent

    async def run(self) -> RunReport:
        """Run from the start of the backends to the exit of every front."""
        await self._set_up()
        try:
            await asyncio.gather(*(front.start() for front in self.fronts))
            clients = self._create_clients()
            await self._run_load(clients)
            await self._shut_down_fronts()
        finally:
            await self._tear_down()
        return self._complete_report(clients)

    async def _set_up(self) -> None:
        scenario = self.scenario
        if self.relay:
            await self.relay.start()
            reserved_sockets = hold_port_on([LOCALHOST, *map(self.relay.host, range(scenario.fronts))])
            self.reserved_ports += reserved_sockets
            self.ops_port = int(reserved_sockets[0].getsockname()[1])
        for shard in range(scenario.backends):
            backend = await self.add_backend(shard, f"s-{shard:03d}", None, scenario.seed + shard)
            self.backends.append(backend)
        for number in range(scenario.fronts):
            self.agents.append(await self.add_agent(number))
            folder = self.folder / f"n{number}"
            folder.mkdir()
            front = FrontProcess(number, folder, self._reserve_port(), self)
            self.fronts.append(front)
            self.write_config(front)

    def _reserve_port(self) -> int:
        """Return a port that stays reserved until the run is over."""
        reserved = hold_port()
        self.reserved_ports.append(reserved)
        return int(reserved.getsockname()[1])

    async def _shut_down_fronts(self) -> None:
        await asyncio.gather(*(front.shut_down() for front in self.fronts))

    def write_config(self, front: FrontProcess) -> None:
        """Write a front's settings files for its next start or reload."""
        front.write_config()

    def _create_clients(self) -> ClientDoubles:
        addresses = [front.address for front in self.fronts]
        clients = ClientDoubles(self.scenario, self.checker, addresses, self.clock)
        clients.shards_by_backend = self.shards_by_backend
        return clients

    async def _run_load(self, clients: ClientDoubles) -> None:
        """Run clients and faults to their ends, then wait until the fronts' views, if any, agree."""
        began = self.clock()
        self.report.load_started_at = began
        view_task = asyncio.create_task(self._watch_views()) if self.relay else None
        lag_task = asyncio.create_task(self._watch_loop_lag())
        faults = (self._fault_injector.inject(fault) for fault in self.scenario.faults)
        await asyncio.gather(clients.run(), *faults)
        if view_task:
            await self._wait_for_convergence(began)
            view_task.cancel()
        lag_task.cancel()

    async def _watch_loop_lag(self) -> None:
        """Measure how late the testbed itself runs: its own lag can cause a violation."""
        while True:
            due = self.clock() + LAG_POLL_S
            await asyncio.sleep(LAG_POLL_S)
            self.report.max_loop_lag = max(self.report.max_loop_lag, self.clock() - due)

    async def _watch_views(self) -> None:
        """Poll the views of all fronts; discard the answers of fronts that were restarted meanwhile."""
        while True:
            processes = {front.number: front.process for front in self.fronts if front.address.is_open}
            polled = [self.fronts[number] for number in processes]
            views = await asyncio.gather(*(front.show_fleet() for front in polled))
            current = {
                front.number: view
                for front, view in zip(polled, views)
                if front.address.is_open and front.process is processes[front.number]
            }
            self.view_checker.on_poll(self.clock(), current)
            await asyncio.sleep(VIEW_POLL_S)

    async def _wait_for_convergence(self, began: float) -> None:
        """Wait until the views of all fronts agree, or the convergence time-out has passed."""
        assert self.scenario.view
        self.view_checker.fault_ends.append((began, "start"))
        give_up_at = self.clock() + self.scenario.view.convergence_timeout
        while self.clock() < give_up_at and not self.view_checker.has_converged():
            await asyncio.sleep(VIEW_POLL_S / 2)

    async def _tear_down(self) -> None:
        for front in self.fronts:
            await front.kill_if_running()
        for peer in (*self.backends, *self.retired_backends, *self.agents):
            peer.stop()
        for reserved in self.reserved_ports:
            reserved.close()
        if self.relay:
            self.relay.stop()

    def _complete_report(self, clients: ClientDoubles) -> RunReport:
        report = self.report
        report.logical_requests = clients.templates
        self._count_requests(list(self.checker.requests.values()))
        report.probes = self.checker.probe_count
        for backend in (*self.backends, *self.retired_backends):
            report.backend_outcomes.update(backend.outcomes)
        window = self.scenario.backend_capacity.overload_window
        report.max_warm_up_load = self.checker.max_warm_up_load(window)
        report.violations = self.checker.find_violations(window)
        if self.scenario.view:
            report.convergence_times = self.view_checker.times_to_convergence()
            report.violations += self.view_checker.find_violations(self.scenario.view.convergence_timeout)
        return report

    def _count_requests(self, requests: list[ClientRequestRecord]) -> None:
        """Add the counts of requests, answers, attempts and executions to the report."""
        report = self.report
        report.requests = len(requests)
        for request in requests:
            report.answers[_answer_name(request)] += 1
            report.attempts += len(request.attempts)
            executions = sum(attempt.executed for attempt in request.attempts)
            report.executions += executions
            if request.request_class.write:
                report.max_executions_of_a_write = max(report.max_executions_of_a_write, executions)
        sent = report.requests - report.answers["unsent"]
        report.served_share = report.answers["200"] / max(1, sent)


def _answer_name(request: ClientRequestRecord) -> str:
    """Return the name under which the report counts a request's answer."""
    if request.excused:
        return "unsent"
    return "none" if request.status is None else str(request.status)


async def run_scenario(scenario: Scenario, program: Path = ROOT) -> RunReport:
    """Run a scenario in a temporary folder; ``program`` contains the package that the fronts run."""
    with tempfile.TemporaryDirectory() as folder:
        return await ScenarioRun(scenario, Path(folder), program).run()
