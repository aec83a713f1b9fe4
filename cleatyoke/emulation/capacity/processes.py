"""Real fronts as processes: what a start and a request cost, and what a client's connection holds."""

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
from cleatyoke.testbed.scenario_file import make_scenario

TICKS = os.sysconf("SC_CLK_TCK")
START_SECONDS = 60.0  # that are waited for a front to be ready
LOAD_SECONDS = 8.0
NODES = 24
SOCKETS = 12_000


@dataclass(slots=True, frozen=True)
class Used:
    """By a process so far."""

    cpu: float  # seconds
    resident: int  # bytes

    @classmethod
    def of(cls, pid: int) -> Used:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE
        return cls((int(fields[11]) + int(fields[12])) / TICKS, resident)


def scenario(rate: float, seed: int) -> Scenario:
    values = {
        "fleet": {"fronts": 1, "boxes": NODES, "seconds": LOAD_SECONDS, "seed": seed},
        "load": {"rate": rate, "volumes": 48, "hosts": 1},
        "box": {"units": 400.0},
    }
    return make_scenario("capacity", values)


@contextlib.asynccontextmanager
async def front_process(nodes: int, seed: int) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """A front that knows so many nodes from its file, once it is ready, and its port; killed at the end. Its
    discovery does not answer.
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
        kept = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "cleatyoke"),
            cwd=ROOT,
            env={**kept, "RELAY_CONFIG": str(config), "TMPDIR": folder, "RELAY_LISTEN": "127.0.0.1:0"},
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
    """Returns the port. Raises ``RuntimeError`` for a process that ends before."""
    assert process.stdout
    while line := await process.stdout.readline():
        if b"event='ready'" in line:
            return int(line.split(b"port=")[1].split(b")")[0])
    msg = "the front ended before it was ready"
    raise RuntimeError(msg)


async def start(nodes: int, seed: int) -> Used:
    """Of a front that has just become ready."""
    async with front_process(nodes, seed) as (process, _):
        return Used.of(process.pid)


async def connection_bytes(connections: int, seed: int) -> float:
    """Resident memory for each client connection that rests."""
    async with front_process(NODES, seed) as (process, port):
        before = Used.of(process.pid).resident
        open_ones = [await asyncio.open_connection("127.0.0.1", port) for _ in range(connections)]
        await asyncio.sleep(0.3)
        after = Used.of(process.pid).resident
        for _, writer in open_ones:
            writer.transport.abort()
        return (after - before) / connections


async def cpu_a_second(rate: float, seed: int) -> float:
    """Processor seconds a second of a front that gets so many requests a second."""
    with tempfile.TemporaryDirectory() as folder:
        play = ScenarioRun(scenario(rate, seed), Path(folder))
        sampling = asyncio.create_task(sample(play))
        report = await play.run()
        if report.violations:
            msg = f"the play broke a rule: {report.violations[0]}"
            raise RuntimeError(msg)
        return await sampling


async def sample(play: ScenarioRun) -> float:
    """Over the middle of the load."""
    while not play.report.load_started_at:
        await asyncio.sleep(0.02)
    process = play.fronts[0].process
    assert process
    await asyncio.sleep(LOAD_SECONDS / 4)
    began, loop = Used.of(process.pid).cpu, asyncio.get_running_loop()
    at = loop.time()
    await asyncio.sleep(LOAD_SECONDS / 2)
    return (Used.of(process.pid).cpu - began) / (loop.time() - at)
