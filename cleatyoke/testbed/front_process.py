"""One front of a scenario run, as a real process."""

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

START_TIMEOUT_S = 15.0  # until a front is ready
ACCEPT_AFTER_SIGTERM_S = 0.3  # during which clients still open connections (protocol page: 0.2 to 0.4 s)
RESUME_S = 0.5  # for a stopped process to catch up after SIGCONT
COMMAND_TIMEOUT_S = 1.0  # for an operator's command
OLD_LEASES_EXPIRE_AFTER_S = LeaseTerms().lender_expiry(
    0.0
)  # from a start to its last stage, when all older leases have expired
EXPECTED_STATUSES = (0, -signal.SIGKILL)
LOG_TAIL_LINES = 3  # of the log, reported with an unexpected exit
LOG_TAIL_LINE_LENGTH = 200  # characters reported of each
# Intervals of the fleet settings, as multiples of the probe period.
INTERVAL_FACTORS = {"period": 1.0, "answer": 0.3, "gossip": 0.2, "sync": 20.0, "departed": 2.0, "join": 2.0}


class FrontProcess:
    """Starts, signals and awaits one front process, and reads its log line by line.

    An exit that was not requested, or that has an unexpected status, is a violation of the run.
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
        self.log_tail: deque[str] = deque(maxlen=LOG_TAIL_LINES)

    def write_config(self, **changes: Any) -> None:
        """Write the settings files for the next start or reload."""
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
        """Return the settings file of a front that reaches the other fronts through the relay."""
        durable_folder = self.folder / "durable" if view.durable else ""
        intervals = (
            f"{name}_s = {view.probe_period * factor:g}" for name, factor in INTERVAL_FACTORS.items()
        )
        return "\n".join(
            [
                "[fleet]",
                "enabled = true",
                'deployment = "standin"',
                f'listen = "{relay.listen_address(self.number)}"',
                f'advertise = "{relay.advertised_address(self.number)}"',
                f"seeds = {[relay.advertised_address(seed) for seed in view.seeds]}",
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
        # The endpoint list in its settings file counts as a notification.
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
            env={
                **inherited,
                **self.run.front_environment,
                "RELAY_CONFIG": str(self.folder / "config.json"),
                "TMPDIR": str(self.folder),
            },
        )
        self.log_task = asyncio.create_task(self._read_log(self.process))
        async with asyncio.timeout(START_TIMEOUT_S):
            await self.ready.wait()
        self.address.is_open = True

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        """Read the log to its end, and check the exit status of the process."""
        assert process.stderr
        self.log_tail.clear()
        while line := (await process.stderr.readline()).decode(errors="replace"):
            if "event='" in line:
                self._count_event(line)
            self.log_tail.append(line.strip()[-LOG_TAIL_LINE_LENGTH:])
        status = await process.wait()
        self.address.is_open = False
        if not self.is_exit_expected or status not in self.expected_statuses:
            exit_text = f"front {self.number} with status {status}: {self._log_tail_text()}"
            self.run.checker.violations.append(f"exit: {exit_text}")
        self.ready.set()

    def _log_tail_text(self) -> str:
        """Return the last lines of the log, for the text of a violation."""
        return " | ".join(self.log_tail)

    def _count_event(self, line: str) -> None:
        event = line.partition("event='")[2].partition("'")[0]
        self.run.report.log_counts[event] += 1
        if event.endswith("_fault"):
            self.run.report.fault_lines.append(f"front {self.number}: {line.strip()}")
        if event == "ready":
            self.ready_at = self.run.clock()
            self.ready.set()

    async def shut_down(self) -> None:
        """Send SIGTERM, as in a planned restart, and SIGKILL where the process does not exit in time."""
        self.is_exit_expected = True
        if self.send_signal(signal.SIGTERM):
            await self.wait_for_exit(self.run.clock())

    async def wait_for_exit(self, signalled_at: float, stopped_seconds: float = 0.0) -> None:
        """Wait for the exit after a SIGTERM; send SIGKILL at the earliest time that the protocol page allows.

        ``stopped_seconds``: how long the process was stopped (SIGSTOP) since; the time-out is extended by it.
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
                f"{lateness:.3f} s late: {self._log_tail_text()}"
            )
            self.process.kill()
            await self.log_task
        self.address.drop_connections()

    def send_signal(self, number: signal.Signals) -> bool:
        """Send a signal; return whether the process is running. A process that has exited is a violation."""
        assert self.process
        if self.process.returncode is not None:
            self.run.checker.violations.append(
                f"exit: front {self.number} exited before {number.name}, status {self.process.returncode}: "
                f"{self._log_tail_text()}"
            )
            return False
        self.process.send_signal(number)
        return True

    async def kill(self) -> None:
        """Send SIGKILL, and wait for the exit."""
        assert self.process
        assert self.log_task
        self.is_exit_expected = True
        self.address.is_open = False
        if self.run.clock() < self.ready_at + OLD_LEASES_EXPIRE_AFTER_S:
            self.run.report.early_kills += 1
        self.run.checker.on_front_killed(self.number, self.run.clock())
        self.send_signal(signal.SIGKILL)
        await self.log_task
        # Again, for requests that it accepted between the two calls.
        self.run.checker.on_front_killed(self.number, self.run.clock())
        self.address.drop_connections()

    async def kill_if_running(self) -> None:
        """Send SIGKILL to a process that is left over at the end of a failed run."""
        if self.process and self.process.returncode is None:
            self.is_exit_expected = True
            self.process.kill()
            await self.process.wait()

    def erase_volatile_files(self) -> None:
        """Delete what a loss of power destroys: the files in $TMPDIR, not those in the durable folder."""
        for path in self.folder.glob("cleatyoke-*"):
            path.unlink()

    def reload(self) -> None:
        """Send SIGHUP, if the process is running and ready."""
        if self.process and self.process.returncode is None and self.ready.is_set():
            self.process.send_signal(signal.SIGHUP)

    async def pause(self, seconds: float) -> None:
        """Send SIGSTOP, and SIGCONT after ``seconds``."""
        began = self.run.clock()
        if not self.send_signal(signal.SIGSTOP):
            return
        try:
            await asyncio.sleep(seconds)
        finally:
            self.send_signal(signal.SIGCONT)
            self.run.checker.on_front_paused(self.number, began, self.run.clock() + RESUME_S)

    async def show_fleet(self) -> MembershipView | None:
        """Return the front's membership view; None where it does not answer."""
        lines = await self.send_command("show-fleet")
        return read_view(lines) if lines else None

    async def send_command(self, line: str) -> list[str]:
        """Return the lines of the answer to an operator's command; none on an error or a time-out."""
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
