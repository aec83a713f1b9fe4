"""``python -m cleatyoke.testbed.soak``: fronts that receive series of signals under persistent clients.

Clients keep sending on every open connection until the process has exited. SIGKILL follows at the earliest
time that the protocol page allows. Each seed prints one line. Exit status 1 if a rule was violated or a front
logged a fault.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import random
import signal
import sys
import tempfile
from collections.abc import Coroutine, Iterator, Sequence
from dataclasses import replace
from pathlib import Path

from cleatyoke.testbed.clients import ClientDoubles, FrontAddress
from cleatyoke.testbed.failing_calls import shim_environment
from cleatyoke.testbed.fault_injection import DOWN_S
from cleatyoke.testbed.front_process import EXPECTED_STATUSES, FrontProcess
from cleatyoke.testbed.generator import Values, to_toml
from cleatyoke.testbed.run_report import RunReport
from cleatyoke.testbed.runner import ROOT, ScenarioRun
from cleatyoke.testbed.search import pool, rules, shrink
from cleatyoke.testbed.soak_plan import (
    SATURATED_SOCKET_LIMIT,
    SignalEvent,
    SignalSeries,
    SoakPlan,
    generate_soak,
    make_soak,
)
from cleatyoke.testbed.workload import GeneratedRequest, requests

THINK_TIME = 0.08  # seconds between an answer and the next request on a connection
LEAVE_DELAYS = (0.0, 0.1)  # range of seconds from a request to the disconnect of its client
STALLED_CLIENT_SECONDS = 1.0  # for which a client stalls in the middle of its request
SIGNAL_GAP = 0.02  # seconds between the signals of a series
HANGUP_COUNT = 5
START_DELAYS = (0.0, 0.8)  # range of seconds from the begin of a start to a SIGTERM
CLIENT_SEED_BITS = 62  # of the seed of one client's requests
MAX_SHRINK_RUNS = 6  # to shrink one soak that violates a rule


class SoakRun(ScenarioRun):
    """A scenario run with series of signals, and clients that use every open connection until it ends."""

    def __init__(self, plan: SoakPlan, folder: Path, program: Path = ROOT) -> None:
        super().__init__(plan.scenario, folder, program)
        self.plan = plan
        self.rng = random.Random(plan.scenario.seed)
        self.is_finished = False
        self.idle_writers: list[asyncio.StreamWriter] = []

    async def _run_load(self, clients: ClientDoubles) -> None:
        client_loops = [asyncio.create_task(task) for task in self._client_loops(clients)]
        signals = [asyncio.create_task(self._send_series(event)) for event in self.plan.signals]
        try:
            await super()._run_load(clients)
            await asyncio.gather(*signals)
            await asyncio.gather(*(front.shut_down() for front in self.fronts))
        finally:
            self.is_finished = True
            for writer in self.idle_writers:
                writer.transport.abort()
        await asyncio.gather(*client_loops)

    async def _shut_down_fronts(self) -> None:
        """Do nothing: the fronts were shut down under load."""

    def write_config(self, front: FrontProcess) -> None:
        """Write a front's files, with a low descriptor limit if clients are to fill its connections."""
        changes = {"limits": {"sockets": SATURATED_SOCKET_LIMIT}} if self.plan.saturates_connections else {}
        front.write_config(**changes)

    def _client_loops(self, clients: ClientDoubles) -> Iterator[Coroutine[None, None, None]]:
        for front in self.fronts:
            for number in range(self.plan.persistent_clients):
                yield self._run_persistent_client(clients, front, number)
            for number in range(self.plan.leaving_clients):
                yield self._run_leaving_client(clients, front, number)
            for number in range(self.plan.stalling_clients):
                yield self._run_stalling_client(clients, front, number)
            if self.plan.saturates_connections:
                yield self._fill_connections(front)

    def _generate_requests(self, front: FrontProcess, client: str) -> Iterator[GeneratedRequest]:
        """Yield requests like the scenario's to one front without end, different ones for each client."""
        rng = random.Random(f"{self.scenario.seed}:{front.number}:{client}")
        # Only requests for volumes of this front are sent, as each states how many fronts its volume uses.
        has_volumes = True  # False: no volume uses this front, and the loop ends
        while has_volumes:
            has_volumes = False
            for generated in requests(replace(self.scenario, seed=rng.getrandbits(CLIENT_SEED_BITS))):
                if generated.front == front.number:
                    has_volumes = True
                    yield generated

    async def _run_persistent_client(self, clients: ClientDoubles, front: FrontProcess, number: int) -> None:
        """Run a client that sends on its own connection until the process has exited."""
        address = PrivateFrontAddress(front.address)
        for generated in self._generate_requests(front, f"persistent {number}"):
            if self.is_finished:
                break
            await clients.send_once(generated, generated.trace, is_retry=False, address=address)
            await asyncio.sleep(THINK_TIME)
        address.drop_connections()

    async def _run_leaving_client(self, clients: ClientDoubles, front: FrontProcess, number: int) -> None:
        """Run a client that disconnects while its request waits."""
        for generated in self._generate_requests(front, f"leaving {number}"):
            if self.is_finished:
                return
            await asyncio.sleep(3 * THINK_TIME)
            address = PrivateFrontAddress(front.address)
            sending = asyncio.create_task(
                clients.send_once(generated, generated.trace, is_retry=False, address=address)
            )
            await asyncio.sleep(self.rng.uniform(*LEAVE_DELAYS))
            if not sending.done():
                self.checker.on_client_left(generated.trace)
                sending.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sending
            address.drop_connections()

    async def _run_stalling_client(self, clients: ClientDoubles, front: FrontProcess, number: int) -> None:
        """Run a client that stalls in the middle of a request's head or body and then disconnects."""
        for generated in self._generate_requests(front, f"stopping {number}"):
            if self.is_finished:
                return
            await asyncio.sleep(3 * THINK_TIME)
            connection = None
            with contextlib.suppress(OSError):
                connection = await PrivateFrontAddress(front.address).connect()
            if connection is None:
                continue
            _, writer = connection
            message = clients.example_message(generated)
            writer.write(message[: self.rng.randrange(1, len(message))])
            await asyncio.sleep(STALLED_CLIENT_SECONDS)
            writer.transport.abort()

    async def _fill_connections(self, front: FrontProcess) -> None:
        """Open idle connections until the front accepts no more, and again whenever it does."""
        front.address.is_saturated = True
        while not self.is_finished:
            if front.address.is_open:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", front.address.port)
                    self.idle_writers.append(writer)
                if len(self.idle_writers) < SATURATED_SOCKET_LIMIT * len(self.fronts):
                    continue
            await asyncio.sleep(SIGNAL_GAP)

    # Signals

    async def _send_series(self, event: SignalEvent) -> None:
        """Send one series of signals; if it ends the process, start a new one."""
        await asyncio.sleep(event.at)
        front = self.fronts[event.front]
        match event.series:
            case SignalSeries.HANGUPS:
                for _ in range(HANGUP_COUNT):
                    self._change_files(front)
                    front.send_signal(signal.SIGHUP)
                    await asyncio.sleep(SIGNAL_GAP)
                return
            case SignalSeries.KILL_AFTER_ACCEPT:
                await self._kill_after_accept(front)
            case SignalSeries.TERM_WHILE_STARTING:
                await front.kill()
                await self._terminate_while_starting(front)
            case _:
                await self._terminate(front, event)
        await asyncio.sleep(DOWN_S)
        if self.scenario.view:
            front.erase_volatile_files()  # it recovers its holds from its durable folder or from its peers
        self.write_config(front)
        await front.start()

    def _change_files(self, front: FrontProcess) -> None:
        """Write the files again, with the backends that discovery has now."""
        self.write_config(front)

    async def _terminate(self, front: FrontProcess, event: SignalEvent) -> None:
        front.is_exit_expected = True
        if event.series is SignalSeries.HANGUP_THEN_TERM:
            self._change_files(front)
            front.send_signal(signal.SIGHUP)
        if event.stopped_seconds and not front.send_signal(signal.SIGSTOP):
            return
        if not front.send_signal(signal.SIGTERM):
            return
        signalled_at = self.clock()
        if event.stopped_seconds:
            await asyncio.sleep(event.stopped_seconds)
            front.send_signal(signal.SIGCONT)
            self.checker.on_front_paused(front.number, signalled_at, self.clock())
        stopped_seconds = self.clock() - signalled_at
        await asyncio.sleep(SIGNAL_GAP)
        if event.series is SignalSeries.TERM_TWICE:
            front.send_signal(signal.SIGTERM)
        elif event.series is SignalSeries.TERM_THEN_HANGUP:
            self._change_files(front)
            front.send_signal(signal.SIGHUP)
        await front.wait_for_exit(signalled_at, stopped_seconds)

    async def _kill_after_accept(self, front: FrontProcess) -> None:
        """Kill a front right after it has accepted a connection with a partial request."""
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", front.address.port)
            writer.write(b"GET /api?block=0 HTTP/1.1\r\nHost: front\r\n")
        await front.kill()

    async def _terminate_while_starting(self, front: FrontProcess) -> None:
        """Send SIGTERM at a random time of a start.

        Until Python has installed its handler, the signal itself ends the process.
        """
        self.write_config(front)
        front.expected_statuses = (*EXPECTED_STATUSES, -signal.SIGTERM)
        killed = front.process
        starting = asyncio.create_task(front.start())
        while front.process is killed:  # noqa: ASYNC110 - set by the task
            await asyncio.sleep(SIGNAL_GAP)
        await asyncio.sleep(self.rng.uniform(*START_DELAYS))
        front.is_exit_expected = True
        if front.send_signal(signal.SIGTERM):
            await front.wait_for_exit(self.clock())
        await starting
        front.address.is_open = False
        front.expected_statuses = EXPECTED_STATUSES


class PrivateFrontAddress(FrontAddress):
    """A front's address with connections that only one client uses; its state is the shared address's."""

    def __init__(self, shared: FrontAddress) -> None:
        self.shared = shared
        super().__init__(shared.front, shared.port)

    @property
    def is_open(self) -> bool:
        """Whether the front accepts connections."""
        return self.shared.is_open

    @is_open.setter
    def is_open(self, value: bool) -> None:
        """Ignore the value: the shared address holds the state."""

    @property
    def is_saturated(self) -> bool:
        """Whether idle clients may have taken every connection of the front."""
        return self.shared.is_saturated

    @is_saturated.setter
    def is_saturated(self, value: bool) -> None:
        """Ignore the value: the shared address holds the state."""


def run_soak(
    name: str, values: Values, program: Path = ROOT, failing_calls_seed: int | None = None
) -> RunReport:
    """Run a soak given by its values, in this process, until its fronts have exited.

    ``failing_calls_seed``: with this seed, the fronts' system calls fail at times (``failing_calls``).
    """

    async def run() -> RunReport:
        with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryDirectory() as shim:
            soak_run = SoakRun(make_soak(name, values), Path(folder), program)
            if failing_calls_seed is not None:
                soak_run.front_environment = shim_environment(Path(shim), failing_calls_seed, program)
            return await soak_run.run()

    return asyncio.run(run())


def summary(seed: int, report: RunReport) -> str:
    """Return the summary line of one seed's run."""
    violated_rules = sorted(rules(report.violations))
    late_exits = sum("was not gone before its kill" in line for line in report.violations)
    margin = f"{min(report.exit_margins):.2f}" if report.exit_margins else "-"
    return (
        f"soak {seed}: requests={report.requests} served={report.served_share:.2f} "
        f"broken={len(report.violations)} rules={','.join(violated_rules) or 'none'} late_exits={late_exits} "
        f"least_exit_margin_s={margin} faults={len(report.fault_lines)} "
        f"testbed_late_s={report.max_loop_lag:.3f} load={os.getloadavg()[0]:.1f}"
    )


def soak(
    seeds: Sequence[int], jobs: int, keep: Path | None, program: Path, *, failing_calls: bool = False
) -> int:
    """Run each seed and print its line; return how many violated a rule or logged a fault."""
    failed_runs = 0
    with pool(jobs) as workers:
        runs = {
            seed: workers.submit(
                run_soak, f"soak-{seed}", generate_soak(seed), program, seed if failing_calls else None
            )
            for seed in seeds
        }
        for seed, run in runs.items():
            report = run.result()
            print(summary(seed, report), flush=True)
            for line in (*report.violations[:3], *report.fault_lines[:3]):
                print(f"  BROKEN {line[:400]}", flush=True)
            if report.violations or report.fault_lines:
                failed_runs += 1
            for rule in sorted(rules(report.violations)) if keep else []:
                assert keep
                _save_shrunk(seed, rule, keep, program)
    return failed_runs


def _save_shrunk(seed: int, rule: str, keep: Path, program: Path) -> None:
    """Shrink a soak and write the smallest one found that still violates the rule."""

    def find_violations(values: Values) -> set[str]:
        return rules(run_soak("shorter", values, program).violations)

    values = shrink(generate_soak(seed), rule, find_violations, MAX_SHRINK_RUNS)
    path = keep / f"soak-{seed}-{rule.replace(' ', '-')}.toml"
    path.write_text(f"# Generated as soak {seed} and shrunk; violates: {rule}.\n{to_toml(values)}")
    print(f"  kept {path.name}", flush=True)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command; return its exit status, 1 if a rule was violated or a fault logged."""
    parser = argparse.ArgumentParser(prog="python -m cleatyoke.testbed.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=1, help="runs at once")
    parser.add_argument("--keep", type=Path, help="folder for shrunk soaks that violate a rule")
    parser.add_argument("--program", type=Path, default=ROOT, help="folder of the package that is run")
    parser.add_argument(
        "--failing-calls", action="store_true", help="have the fronts' system calls fail at times"
    )
    options = parser.parse_args(arguments)
    seeds = range(options.first, options.first + options.seeds)
    failed_runs = soak(
        seeds, options.jobs, options.keep, options.program, failing_calls=options.failing_calls
    )
    print(f"{options.seeds} seeds from {options.first}: {failed_runs} broke a rule or logged a fault")
    return int(bool(failed_runs))


if __name__ == "__main__":
    sys.exit(main())
