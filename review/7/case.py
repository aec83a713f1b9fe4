"""Two processes of an upgrade under long uploads, and the memory of the front."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import socket
from pathlib import Path

from harness2.discovery import Agent, Registry, entry
from harness2.fronts import Front, Record, run_case, settings, trouble, within
from harness2.http import Arrival, ChunkServer, Client, Request

MEMORY_MB = 96  # LATER.md: 32 to 192
UPLOADERS = 32  # of the third of 1,024 descriptors that clients may hold
BODY = bytes(8 * 1024 * 1024)  # the operators' page: bodies reach 32 MB
WORK = 0.4  # seconds that a chunk server takes for such a write
LOAD_BEFORE = 3.0  # seconds of load on the old process alone
LOAD_AFTER = 3.0  # seconds of load from the start of the new process on
SAMPLE_INTERVAL = 0.02  # seconds
PSS = re.compile(r"^Pss:\s+([0-9]+) kB", re.MULTILINE)


def memory_mb(fronts: list[Front]) -> float:
    """Return what the processes take together; pages that they share count once."""
    total = 0
    for front in fronts:
        if front.process and front.process.returncode is None:
            with contextlib.suppress(OSError):
                text = Path(f"/proc/{front.process.pid}/smaps_rollup").read_text()
                total += int(match[1]) if (match := PSS.search(text)) else 0
    return total / 1024


class Load:
    """Clients that upload one body after the other, each on a new connection."""

    def __init__(self, port: int, record: Record) -> None:
        self.port, self.record = port, record
        self.running = True
        self.statuses: list[int] = []
        self.under_way = 0

    async def upload(self, number: int) -> None:
        """Upload until the load ends."""
        item = number * 1000
        while self.running:
            item += 1
            client = Client(self.port, self.record)
            self.under_way += 1
            try:
                status, _ = await client.send(Request("PUT", "record-write", number % 2, item, BODY))
                self.statuses.append(status)
            except OSError:
                await asyncio.sleep(0.1)
            finally:
                self.under_way -= 1
            client.close()


class Platform:
    """Watches the front's memory, and kills it where it takes more than its limit."""

    def __init__(self, fronts: list[Front], load: Load, record: Record) -> None:
        self.fronts, self.load, self.record = fronts, load, record
        self.most = 0.0
        self.killed = ""

    async def watch(self) -> None:
        """Sample the memory until the load ends."""
        while self.load.running:
            taken = memory_mb(self.fronts)
            self.most = max(self.most, taken)
            if taken > MEMORY_MB:
                parts = [round(memory_mb([front])) for front in self.fronts]
                self.killed = f"the front takes {taken:.0f} MB of {MEMORY_MB} ({parts}) and is killed"
                self.record.add(self.killed + f", {self.load.under_way} requests under way")
                for front in self.fronts:
                    if front.process and front.process.returncode is None:
                        front.process.kill()
                self.load.running = False
            await asyncio.sleep(SAMPLE_INTERVAL)


async def upgrade(old: Front, new: Front, accept: socket.socket, load: Load) -> None:
    """Start the new process beside the old one, which gets SIGTERM once the new one is ready."""
    await new.start(label="new", accept=accept, expect_ready=False)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(6.0):
            await new.ready.wait()
    if load.running:
        old.signal(signal.SIGTERM)


async def play(record: Record, folder: Path) -> list[str]:
    """Put the load on the front, upgrade it, and see what it takes."""

    async def work(_arrival: Arrival) -> bytes | None:
        await asyncio.sleep(WORK)
        return b"done"

    boxes = [ChunkServer(f"box-{shard}", shard, record, work) for shard in range(2)]
    for box in boxes:
        await box.start()
    registry = Registry([entry(box.name, box.port, box.shard) for box in boxes])
    agent = Agent("A", registry, record)
    await agent.start()
    accept = socket.create_server(("127.0.0.1", 0), backlog=128)
    fronts = [Front(record, folder), Front(record, folder)]
    for front in fronts:
        front.port = accept.getsockname()[1]
        front.memory_mb = MEMORY_MB
        front.write_config(agent.port, registry.whole(), settings())
    load = Load(fronts[0].port, record)
    platform = Platform(fronts, load, record)
    try:
        await fronts[0].start(label="old", accept=accept)
        await within(5.0, lambda: agent.open_watches > 0, "a watch")
        tasks = [asyncio.create_task(load.upload(number)) for number in range(UPLOADERS)]
        tasks.append(asyncio.create_task(platform.watch()))
        await asyncio.sleep(LOAD_BEFORE)
        record.add(f"most memory before the upgrade: {platform.most:.0f} MB")
        if trouble():
            await upgrade(fronts[0], fronts[1], accept, load)
        await asyncio.sleep(LOAD_AFTER)
        load.running = False
        await asyncio.gather(*tasks)
    finally:
        for front in fronts:
            await front.kill()
        accept.close()
    counts = {status: load.statuses.count(status) for status in sorted(set(load.statuses))}
    record.add(f"answers by status: {counts}; most memory: {platform.most:.0f} MB")
    return [platform.killed] if platform.killed else []


run_case(play)  # writes record.txt, the path that run.sh names
