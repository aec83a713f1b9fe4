"""Two new configurations in a row while the first one's discovery is slow to answer."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from harness2.discovery import Agent, Registry, entry
from harness2.fronts import Front, Record, free_port, run_case, settings, trouble, within
from harness2.http import Arrival, ChunkServer, Client

BETWEEN_CONFIGURATIONS = 1.0  # seconds from one SIGHUP to the next
ANSWERS_AFTER = 0.03  # seconds after the watch at the third agent has begun, at which the slow one answers
LISTED = 900  # chunk servers in the list: the pages name fleets of up to 3,200
OLD_AGENT_CLOSES = 1.5  # seconds after SIGHUP at which the old agent closes its connections (LATER.md)
# Discovery is a service that the fronts share and ask; AskEveryS is as the wire page's example has it.
ASKED = settings(Discovery="subscribe")
ASKED["Safety"]["AskEveryS"] = 10.0
ASKED["Extra"]["Shards"] = LISTED + 2
COUNTS_AS_TOLD = 6.0  # seconds after which what discovery has counts as told at the latest
GRACE = 1.0 + 0.05  # seconds: StopSendingWithinS of the settings, and the 50 ms of the protocol page
REQUEST_INTERVAL = 0.25  # seconds


class Scene:
    """The chunk servers, the three agents with one registry, the front and a client."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.drained = False
        self.servers = {
            name: ChunkServer(name, shard, record, self.work)
            for name, shard in (("s-1", 0), ("s-2", 1), ("s-3", 1))
        }
        self.registry = Registry([])
        self.agents = {name: Agent(name, self.registry, record) for name in "ABC"}
        self.front = Front(record, folder)
        self.client = Client(self.front.port, record)

    async def work(self, arrival: Arrival) -> bytes | None:
        """Run a request; a chunk server that drains turns it away, unrun."""
        await asyncio.sleep(0.02)
        if arrival.server == "s-2" and self.drained:
            return None
        return b"from " + arrival.server.encode()

    async def start(self) -> None:
        """Start everything."""
        for server in self.servers.values():
            await server.start()
        for agent in self.agents.values():
            await agent.start()
        unused_port = free_port()  # of the listed chunk servers that no request is for
        known = [entry("s-1", self.servers["s-1"].port, 0), entry("s-2", self.servers["s-2"].port, 1)]
        known += [entry(f"o-{number}", unused_port, number + 2) for number in range(LISTED)]
        self.registry.entries = {one["instanceId"]: one for one in known}
        self.front.write_config(self.agents["A"].port, self.registry.whole(), ASKED)
        await self.front.start()
        await within(5.0, lambda: self.agents["A"].open_watches > 0, "a watch at A")
        for shard in (0, 1):
            await self.client.read(shard)

    async def slow_answer(self) -> None:
        """Wait until the front has the third agent's list, and a moment more."""
        while not self.agents["C"].open_watches:  # noqa: ASYNC110  the agent has no event for it
            await asyncio.sleep(0.005)
        await asyncio.sleep(ANSWERS_AFTER)

    async def move_discovery(self, old: str, new: str) -> None:
        """Give the front a configuration that names another agent."""
        self.front.write_config(self.agents[new].port, self.registry.whole(), ASKED)
        self.agents[old].stop_accepting()
        asyncio.get_running_loop().call_later(OLD_AGENT_CLOSES, self.agents[old].close_connections)
        self.front.signal(signal.SIGHUP)
        await asyncio.sleep(BETWEEN_CONFIGURATIONS)

    async def drain(self) -> float:
        """Have s-3 take the place of s-2, which drains; return when that counts as told at the latest."""
        changed_at = self.record.now()
        self.drained = True
        await self.registry.set(entry("s-3", self.servers["s-3"].port, 1))
        await self.registry.set(entry("s-2", self.servers["s-2"].port, 1, "DRAINING"))
        self.record.add("discovery has: s-2 drains, s-3 serves its shard")
        return changed_at + COUNTS_AS_TOLD

    async def read_until(self, end: float) -> None:
        """Read from the shard whose chunk server is replaced."""
        served = 0
        while self.record.now() < end:
            status, _ = await self.client.read(1)
            served += status == 200
            await asyncio.sleep(REQUEST_INTERVAL)
        arrivals = {name: len(server.arrivals) for name, server in self.servers.items()}
        self.record.add(f"after the change: {served} served; attempts in all: {arrivals}")


async def play(record: Record, folder: Path) -> list[str]:
    """Move discovery twice, then let it tell of a drain, and see where requests go."""
    scene = Scene(record, folder)
    if trouble():
        scene.agents["B"].wait_before_list = scene.slow_answer
    try:
        await scene.start()
        await asyncio.sleep(1.5)  # no SIGHUP comes in the first second
        await scene.move_discovery("A", "B")
        await scene.move_discovery("B", "C")
        await asyncio.sleep(5.0)  # what discovery has counts as told 4 s after SIGHUP
        record.add(f"watches open at C: {scene.agents['C'].open_watches}")
        told_at = await scene.drain()
        await scene.read_until(told_at + GRACE + 4.0)
        scene.client.close()
    finally:
        await scene.front.kill()
    return [
        f"{one.trace} reached s-2 {one.first_byte_at - told_at:.2f} s after its drain was told"
        for one in scene.servers["s-2"].arrivals
        if one.first_byte_at > told_at + GRACE
    ]


run_case(__file__, play)
