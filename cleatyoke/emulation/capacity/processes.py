"""Costs of real front processes: of a start, of requests, and of idle client connections."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

from cleatyoke.emulation.capacity.cost import PAGE
from cleatyoke.emulation.capacity.nodes import list_text
from cleatyoke.testbed.front_settings import settings_of
from cleatyoke.testbed.runner import ROOT, ScenarioRun
from cleatyoke.testbed.scenario import Scenario
from cleatyoke.testbed.scenario_file import parse_scenario

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
START_SECONDS = 60.0  # to wait at most until a front is ready
LOAD_SECONDS = 8.0
NODES = 24
SOCKETS = 12_000


@dataclass(slots=True, frozen=True)
class ProcessUsage:
    """Processor time and resident memory of a process."""

    cpu: float  # seconds
    resident: int  # bytes

    @classmethod
    def of(cls, pid: int) -> ProcessUsage:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE
        return cls((int(fields[11]) + int(fields[12])) / CLOCK_TICKS, resident)


def scenario(rate: float, seed: int) -> Scenario:
    values = {
        "fleet": {"fronts": 1, "boxes": NODES, "seconds": LOAD_SECONDS, "seed": seed},
        "load": {"rate": rate, "volumes": 48, "hosts": 1},
        "box": {"units": 400.0},
    }
    return parse_scenario("capacity", values)


@contextlib.asynccontextmanager
async def front_process(nodes: int, seed: int) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """Start a front that knows ``nodes`` nodes from its settings file. Yield the process and its port once it
    is ready; kill it at the end. Its discovery does not respond.
    """
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        values = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": SOCKETS},
            "known": json.loads(list_text(nodes)),
            "settings": settings_of(scenario(10.0, seed)),
        }
        config.write_text(json.dumps(values))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "cleatyoke"),
            cwd=ROOT,
            env={**environment, "RELAY_CONFIG": str(config), "TMPDIR": folder, "RELAY_LISTEN": "127.0.0.1:0"},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout(START_SECONDS):
                yield process, await wait_until_ready(process)
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def wait_until_ready(process: asyncio.subprocess.Process) -> int:
    """Return the port. Raises ``RuntimeError`` if the process exits before it is ready."""
    assert process.stdout
    while line := await process.stdout.readline():
        if b"event='ready'" in line:
            return int(line.split(b"port=")[1].split(b")")[0])
    msg = "the front process exited before it was ready"
    raise RuntimeError(msg)


async def start(nodes: int, seed: int) -> ProcessUsage:
    """Return the usage of a front that has just become ready."""
    async with front_process(nodes, seed) as (process, _):
        return ProcessUsage.of(process.pid)


async def connection_bytes(connections: int, seed: int) -> float:
    """Return the resident memory per idle client connection."""
    async with front_process(NODES, seed) as (process, port):
        before = ProcessUsage.of(process.pid).resident
        streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(connections)]
        await asyncio.sleep(0.3)
        after = ProcessUsage.of(process.pid).resident
        for _, writer in streams:
            writer.transport.abort()
        return (after - before) / connections


async def cpu_per_second(rate: float, seed: int) -> float:
    """Return the processor seconds per second of a front that receives ``rate`` requests per second."""
    with tempfile.TemporaryDirectory() as folder:
        scenario_run = ScenarioRun(scenario(rate, seed), Path(folder))
        sampling = asyncio.create_task(sample_cpu(scenario_run))
        report = await scenario_run.run()
        if report.violations:
            msg = f"the scenario run violated a rule: {report.violations[0]}"
            raise RuntimeError(msg)
        return await sampling


async def sample_cpu(scenario_run: ScenarioRun) -> float:
    """Return the processor seconds per second over the middle half of the load."""
    while not scenario_run.report.load_started_at:
        await asyncio.sleep(0.02)
    process = scenario_run.fronts[0].process
    assert process
    await asyncio.sleep(LOAD_SECONDS / 4)
    began, loop = ProcessUsage.of(process.pid).cpu, asyncio.get_running_loop()
    at = loop.time()
    await asyncio.sleep(LOAD_SECONDS / 2)
    return (ProcessUsage.of(process.pid).cpu - began) / (loop.time() - at)
