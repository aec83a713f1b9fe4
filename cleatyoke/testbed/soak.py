"""``python -m cleatyoke.testbed.soak``: fronts under signals in series, with clients that never let go.

Clients keep sending on every open connection until the process is gone; SIGKILL comes at the earliest time
that the protocol page has for it. Each seed prints one line. Exit status 1 where a rule broke.
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
from cleatyoke.testbed.fault_injection import DOWN_S
from cleatyoke.testbed.front_process import EXPECTED_STATUSES, FrontProcess
from cleatyoke.testbed.generator import Values, dump
from cleatyoke.testbed.run_report import RunReport
from cleatyoke.testbed.runner import ROOT, ScenarioRun
from cleatyoke.testbed.search import pool, rules, shorten
from cleatyoke.testbed.soak_plan import (
    SOCKETS_IN_A_CROWD,
    SignalEvent,
    SignalSeries,
    SoakPlan,
    draw_soak,
    make_soak,
)
from cleatyoke.testbed.workload import GeneratedRequest, requests

THINK_TIME = 0.08  # seconds between an answer and the next request on a connection
LEAVE_AFTER = (0.0, 0.1)  # seconds from a request to its client's end
STOPPED_CLIENT_SECONDS = 1.0  # for which a client stands in the middle of its request
SIGNAL_GAP = 0.02  # seconds between the signals of a series
HANGUP_COUNT = 5
START_DELAYS = (0.0, 0.8)  # seconds from a start to a SIGTERM while it is under way
CLIENT_SEED_BITS = 62  # of the seed of a client's requests
SEARCH_ATTEMPTS = 6  # runs to make a soak that broke a rule shorter


class SoakRun(ScenarioRun):
    """A scenario run with signals in series and clients that use every open connection to the end."""

    def __init__(self, plan: SoakPlan, folder: Path, program: Path = ROOT) -> None:
        super().__init__(plan.scenario, folder, program)
        self.plan = plan
        self.rng = random.Random(plan.scenario.seed)
        self.is_over = False
        self.crowd: list[asyncio.StreamWriter] = []

    async def _run_load(self, clients: ClientDoubles) -> None:
        beside = [asyncio.create_task(task) for task in self._beside(clients)]
        signals = [asyncio.create_task(self._send_series(event)) for event in self.plan.signals]
        try:
            await super()._run_load(clients)
            await asyncio.gather(*signals)
            await asyncio.gather(*(front.shut_down() for front in self.fronts))
        finally:
            self.is_over = True
            for writer in self.crowd:
                writer.transport.abort()
        await asyncio.gather(*beside)

    async def _shut_down_fronts(self) -> None:
        """They were shut down under load."""

    def write_config(self, front: FrontProcess) -> None:
        """Write a front's files, with few descriptors where a crowd is to fill them."""
        changes = {"limits": {"sockets": SOCKETS_IN_A_CROWD}} if self.plan.crowd else {}
        front.write_config(**changes)

    def _beside(self, clients: ClientDoubles) -> Iterator[Coroutine[None, None, None]]:
        for front in self.fronts:
            for number in range(self.plan.persistent):
                yield self._send_again_and_again(clients, front, number)
            for number in range(self.plan.leaving):
                yield self._leave_again_and_again(clients, front, number)
            for number in range(self.plan.stopping):
                yield self._stop_in_requests(clients, front, number)
            if self.plan.crowd:
                yield self._hold_every_connection(front)

    def _drawn(self, front: FrontProcess, client: str) -> Iterator[GeneratedRequest]:
        """Requests like the scenario's, without end, all at one front; no two clients have the same."""
        rng = random.Random(f"{self.scenario.seed}:{front.number}:{client}")
        has_volumes = True  # those that are used through this front, as their requests say through how many
        while has_volumes:
            has_volumes = False
            for drawn in requests(replace(self.scenario, seed=rng.getrandbits(CLIENT_SEED_BITS))):
                if drawn.front == front.number:
                    has_volumes = True
                    yield drawn

    async def _send_again_and_again(self, clients: ClientDoubles, front: FrontProcess, number: int) -> None:
        """A client with a connection of its own, on which it sends until the process is gone."""
        address = OwnAddress(front.address)
        for drawn in self._drawn(front, f"persistent {number}"):
            if self.is_over:
                break
            await clients.send_once(drawn, drawn.trace, is_retry=False, address=address)
            await asyncio.sleep(THINK_TIME)
        address.drop_connections()

    async def _leave_again_and_again(self, clients: ClientDoubles, front: FrontProcess, number: int) -> None:
        """A client that ends its connection while its request waits."""
        for drawn in self._drawn(front, f"leaving {number}"):
            if self.is_over:
                return
            await asyncio.sleep(3 * THINK_TIME)
            address = OwnAddress(front.address)
            sending = asyncio.create_task(
                clients.send_once(drawn, drawn.trace, is_retry=False, address=address)
            )
            await asyncio.sleep(self.rng.uniform(*LEAVE_AFTER))
            if not sending.done():
                self.checker.on_client_left(drawn.trace)
                sending.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sending
            address.drop_connections()

    async def _stop_in_requests(self, clients: ClientDoubles, front: FrontProcess, number: int) -> None:
        """A client that stops in the middle of a request's head or body, and then ends."""
        for drawn in self._drawn(front, f"stopping {number}"):
            if self.is_over:
                return
            await asyncio.sleep(3 * THINK_TIME)
            connection = None
            with contextlib.suppress(OSError):
                connection = await OwnAddress(front.address).connect()
            if connection is None:
                continue
            _, writer = connection
            message = clients.example_message(drawn)
            writer.write(message[: self.rng.randrange(1, len(message))])
            await asyncio.sleep(STOPPED_CLIENT_SECONDS)
            writer.transport.abort()

    async def _hold_every_connection(self, front: FrontProcess) -> None:
        """Idle clients that connect until the front takes no more, and again whenever it does."""
        front.address.is_crowded = True
        while not self.is_over:
            if front.address.is_open:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", front.address.port)
                    self.crowd.append(writer)
                if len(self.crowd) < SOCKETS_IN_A_CROWD * len(self.fronts):
                    continue
            await asyncio.sleep(SIGNAL_GAP)

    # Signals

    async def _send_series(self, event: SignalEvent) -> None:
        """Send one series; where it ends the process, start it anew."""
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
            front.erase_volatile_files()  # what it still knows of holds is on its durable disk, or its peers have it
        self.write_config(front)
        await front.start()

    def _change_files(self, front: FrontProcess) -> None:
        """Write the files anew, with what has changed since in discovery."""
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
        """Kill a front right after it has accepted a connection with a request."""
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", front.address.port)
            writer.write(b"GET /api?block=0 HTTP/1.1\r\nHost: front\r\n")
        await front.kill()

    async def _terminate_while_starting(self, front: FrontProcess) -> None:
        """SIGTERM at any moment of a start: before Python handles it, it ends the process by itself."""
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


class OwnAddress(FrontAddress):
    """A client's own view of a front's address: its connection is used by nobody else."""

    def __init__(self, shared: FrontAddress) -> None:
        self.shared = shared
        super().__init__(shared.front, shared.port)

    @property
    def is_open(self) -> bool:
        """Whether the front accepts connections."""
        return self.shared.is_open

    @is_open.setter
    def is_open(self, value: bool) -> None:
        """Nothing: only the front's own address says it."""

    @property
    def is_crowded(self) -> bool:
        """Whether a crowd may have taken every connection of the front."""
        return self.shared.is_crowded

    @is_crowded.setter
    def is_crowded(self, value: bool) -> None:
        """Nothing: only the front's own address says it."""


def run_soak(name: str, values: Values, program: Path = ROOT) -> RunReport:
    """Run a soak given by its values, in this process, to the exit of its fronts."""

    async def run() -> RunReport:
        with tempfile.TemporaryDirectory() as folder:
            return await SoakRun(make_soak(name, values), Path(folder), program).run()

    return asyncio.run(run())


def summary(seed: int, report: RunReport) -> str:
    """Return the line of one seed."""
    broken = sorted(rules(report.violations))
    late = sum("was not gone before its kill" in line for line in report.violations)
    margin = f"{min(report.exit_margins):.2f}" if report.exit_margins else "-"
    return (
        f"soak {seed}: requests={report.requests} served={report.served_share:.2f} "
        f"broken={len(report.violations)} rules={','.join(broken) or 'none'} late_exits={late} "
        f"least_exit_margin_s={margin} faults={len(report.fault_lines)} "
        f"testbed_late_s={report.max_loop_lag:.3f} load={os.getloadavg()[0]:.1f}"
    )


def soak(seeds: Sequence[int], jobs: int, keep: Path | None, program: Path) -> int:
    """Run each seed, print its line, and return how many broke a rule or logged a fault."""
    broken = 0
    with pool(jobs) as workers:
        runs = {seed: workers.submit(run_soak, f"soak-{seed}", draw_soak(seed), program) for seed in seeds}
        for seed, run in runs.items():
            report = run.result()
            print(summary(seed, report), flush=True)
            for line in (*report.violations[:3], *report.fault_lines[:3]):
                print(f"  BROKEN {line[:400]}", flush=True)
            if report.violations or report.fault_lines:
                broken += 1
            for rule in sorted(rules(report.violations)) if keep else []:
                assert keep
                _keep_shortest(seed, rule, keep, program)
    return broken


def _keep_shortest(seed: int, rule: str, keep: Path, program: Path) -> None:
    """Write the shortest soak found that still breaks the rule."""

    def breaks(values: Values) -> set[str]:
        return rules(run_soak("shorter", values, program).violations)

    values = shorten(draw_soak(seed), rule, breaks, SEARCH_ATTEMPTS)
    path = keep / f"soak-{seed}-{rule.replace(' ', '-')}.toml"
    path.write_text(f"# Drawn as soak {seed}, made shorter; breaks: {rule}.\n{dump(values)}")
    print(f"  kept {path.name}", flush=True)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command; return its exit status, 1 where a rule broke."""
    parser = argparse.ArgumentParser(prog="python -m cleatyoke.testbed.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=1, help="runs at once")
    parser.add_argument("--keep", type=Path, help="folder for what broke a rule, made shorter")
    parser.add_argument("--program", type=Path, default=ROOT, help="folder of the package that is run")
    chosen = parser.parse_args(arguments)
    seeds = range(chosen.first, chosen.first + chosen.seeds)
    broken = soak(seeds, chosen.jobs, chosen.keep, chosen.program)
    print(f"{chosen.seeds} seeds from {chosen.first}: {broken} broke a rule or logged a fault")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
