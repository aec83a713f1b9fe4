"""One front of a scenario run as a real process."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections import deque
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cleatyoke.coordination.lease_terms import LeaseTerms
from cleatyoke.testbed.clients import FrontAddress
from cleatyoke.testbed.front_settings import settings_of
from cleatyoke.testbed.scenario import ViewTerms
from cleatyoke.testbed.view_checks import MembershipView, read_view

if TYPE_CHECKING:
    from cleatyoke.testbed.fault_relay import FaultRelay
    from cleatyoke.testbed.runner import ScenarioRun

START_TIMEOUT_S = 15.0  # for a front to be ready
ACCEPT_AFTER_SIGTERM_S = 0.3  # in which new connections keep coming (protocol page: 0.2 to 0.4 s)
RESUME_S = 0.5  # in which a process that was stopped catches up
COMMAND_TIMEOUT_S = 1.0  # for an operator's command
OLD_LEASES_END_S = LeaseTerms().lender_expiry(0.0)  # from a start to the last stage of it at the latest
EXPECTED_STATUSES = (0, -signal.SIGKILL)
LAST_LINES = 3  # of the log, that an unexpected exit is reported with
LAST_LINE_LENGTH = 200  # characters of each
# Intervals of a fleet's settings file, as multiples of its probe period.
INTERVAL_FACTORS = {"period": 1.0, "answer": 0.3, "gossip": 0.2, "sync": 20.0, "departed": 2.0, "join": 2.0}


class FrontProcess:
    """Starts, signals and waits for one front, and reads its log line by line.

    An exit that was not asked for, or with another status than it should have, is a violation of the run.
    """

    def __init__(self, number: int, folder: Path, port: int, run: ScenarioRun) -> None:
        self.number = number
        self.folder = folder
        self.run = run
        self.address = FrontAddress(number, port)
        self.process: asyncio.subprocess.Process | None = None
        self.is_exit_expected = False
        self.written_endpoints: dict[str, Any] = {}  # the endpoint list in its settings file
        self.ready = asyncio.Event()
        self.ready_at = 0.0  # on the run's clock
        self.log_task: asyncio.Task[None] | None = None
        self.expected_statuses: tuple[int, ...] = EXPECTED_STATUSES
        self.last_lines: deque[str] = deque(maxlen=LAST_LINES)

    def write_config(self, **changes: Any) -> None:
        """Write the settings files that the next start, or a reload, reads."""
        scenario = self.run.scenario
        endpoints = self.run.registry.listing()
        values = {
            "name": f"n{self.number}",
            "listen": f"127.0.0.1:{self.address.port}",
            "discovery": f"127.0.0.1:{self.run.agents[self.number].port}",
            "seed": f"{scenario.seed * 1000 + self.number:x}",
            "known": endpoints,
            "settings": settings_of(scenario),
            **changes,
        }
        if self.run.relay:
            assert scenario.view
            values["ops"] = f"{self.run.relay.host(self.number)}:{self.run.ops_port}"
            text = self._fleet_settings_text(self.run.relay, scenario.view)
            (self.folder / "fronts.toml").write_text(text)
        new_file = self.folder / "config.new"
        new_file.write_text(json.dumps(values))
        new_file.replace(self.folder / "config.json")
        self.written_endpoints = endpoints

    def _fleet_settings_text(self, relay: FaultRelay, view: ViewTerms) -> str:
        """The fleet's settings file of a front that reaches the others through the relay."""
        durable_folder = self.folder / "durable" if view.durable else ""
        intervals = (
            f"{name}_s = {view.probe_period * factor:g}" for name, factor in INTERVAL_FACTORS.items()
        )
        return "\n".join(
            [
                "[fleet]",
                "enabled = true",
                'deployment = "standin"',
                f'listen = "{relay.home(self.number)}"',
                f'advertise = "{relay.known(self.number)}"',
                f"seeds = {[relay.known(seed) for seed in view.seeds]}",
                f"limits = {str(view.shares_limits).lower()}",
                f"cold = {str(view.shares_warm_up).lower()}",
                f'durable = "{durable_folder}"',
                *intervals,
                "",
            ]
        )

    async def start(self) -> None:
        """Start the process and wait until it is ready; ``TimeoutError`` after ``START_TIMEOUT_S``."""
        self.run.report.front_starts += 1
        self.is_exit_expected = False
        # The list that it starts with notifies it as well.
        self.run.agents[self.number].notify(self.written_endpoints)
        self.ready.clear()
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        arguments = ["--fronts", str(self.folder / "fronts.toml")] if self.run.relay else []
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cleatyoke",
            *arguments,
            cwd=self.run.program,
            stderr=asyncio.subprocess.PIPE,
            env={**inherited, "RELAY_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder)},
        )
        self.log_task = asyncio.create_task(self._read_log(self.process))
        async with asyncio.timeout(START_TIMEOUT_S):
            await self.ready.wait()
        self.address.is_open = True

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        """Read the log to its end, and check how the process exits."""
        assert process.stderr
        self.last_lines.clear()
        while line := (await process.stderr.readline()).decode(errors="replace"):
            if "event='" in line:
                self._count_event(line)
            self.last_lines.append(line.strip()[-LAST_LINE_LENGTH:])
        status = await process.wait()
        self.address.is_open = False
        if not self.is_exit_expected or status not in self.expected_statuses:
            exit_text = f"front {self.number} with status {status}: {self._last_words()}"
            self.run.checker.violations.append(f"exit: {exit_text}")
        self.ready.set()

    def _last_words(self) -> str:
        """Return the last lines of the log, for a violation."""
        return " | ".join(self.last_lines)

    def _count_event(self, line: str) -> None:
        event = line.partition("event='")[2].partition("'")[0]
        self.run.report.log_counts[event] += 1
        if event.endswith("_fault"):
            self.run.report.fault_lines.append(f"front {self.number}: {line.strip()}")
        if event == "ready":
            self.ready_at = self.run.clock()
            self.ready.set()

    async def shut_down(self) -> None:
        """SIGTERM, as in a planned restart, and SIGKILL where it does not exit in its time."""
        self.is_exit_expected = True
        if self.send_signal(signal.SIGTERM):
            await self.wait_for_exit(self.run.clock())

    async def wait_for_exit(self, signalled_at: float, stopped_seconds: float = 0.0) -> None:
        """Wait for the exit after a SIGTERM, and send SIGKILL at the earliest time that the page has for it.

        ``stopped_seconds``: for which the process was stopped since, and could do nothing.
        """
        assert self.process
        assert self.log_task
        killed_at = signalled_at + self.run.scenario.termination_timeout() + stopped_seconds
        await asyncio.sleep(max(0.0, signalled_at + ACCEPT_AFTER_SIGTERM_S - self.run.clock()))
        self.address.is_open = False
        try:
            async with asyncio.timeout_at(killed_at):
                await asyncio.shield(self.log_task)
            self.run.report.exit_margins.append(killed_at - self.run.clock())
        except TimeoutError:
            lateness = self.run.clock() - killed_at
            self.run.checker.violations.append(
                f"exit: front {self.number} was not gone before its kill, which the testbed sent "
                f"{lateness:.3f} s late: {self._last_words()}"
            )
            self.process.kill()
            await self.log_task
        self.address.drop_connections()

    def send_signal(self, number: signal.Signals) -> bool:
        """Send a signal; return whether the process is there. If it is gone, that is a violation."""
        assert self.process
        if self.process.returncode is not None:
            self.run.checker.violations.append(
                f"exit: front {self.number} was gone before {number.name}, status {self.process.returncode}: "
                f"{self._last_words()}"
            )
            return False
        self.process.send_signal(number)
        return True

    async def kill(self) -> None:
        """SIGKILL, and wait until the process is gone."""
        assert self.process
        assert self.log_task
        self.is_exit_expected = True
        self.address.is_open = False
        if self.run.clock() < self.ready_at + OLD_LEASES_END_S:
            self.run.report.early_kills += 1
        self.run.checker.on_front_killed(self.number, self.run.clock())
        self.send_signal(signal.SIGKILL)
        await self.log_task
        # Once more, for what it accepted until it was gone.
        self.run.checker.on_front_killed(self.number, self.run.clock())
        self.address.drop_connections()

    async def kill_if_running(self) -> None:
        """SIGKILL at the end of a run that may have failed half-way."""
        if self.process and self.process.returncode is None:
            self.is_exit_expected = True
            self.process.kill()
            await self.process.wait()

    def erase_memory(self) -> None:
        """Delete what a loss of power takes along: the files in $TMPDIR, not those on the durable disk."""
        for path in self.folder.glob("cleatyoke-*"):
            path.unlink()

    def reload(self) -> None:
        """SIGHUP, where the process is running and ready."""
        if self.process and self.process.returncode is None and self.ready.is_set():
            self.process.send_signal(signal.SIGHUP)

    async def pause(self, seconds: float) -> None:
        """SIGSTOP, and SIGCONT after so many seconds."""
        began = self.run.clock()
        if not self.send_signal(signal.SIGSTOP):
            return
        try:
            await asyncio.sleep(seconds)
        finally:
            self.send_signal(signal.SIGCONT)
            self.run.checker.on_front_paused(self.number, began, self.run.clock() + RESUME_S)

    async def show_fleet(self) -> MembershipView | None:
        """Return what the front says of its fleet; None where it gives no answer."""
        lines = await self.send_command("show-fleet")
        return read_view(lines) if lines else None

    async def send_command(self, line: str) -> list[str]:
        """Return the answer to an operator's command; no lines where there is none in time."""
        relay = self.run.relay
        assert relay
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(relay.host(self.number), self.run.ops_port)
                writer.write(f"{line}\n".encode())
                return (await reader.read()).decode().splitlines()
        except (OSError, TimeoutError):
            return []
        finally:
            if writer:
                writer.transport.abort()
