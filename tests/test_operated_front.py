"""What operators do to a front that serves: drain it, scrape its metrics, hold a node."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp

from cleatyoke.admin.prometheus import MetricsListener
from cleatyoke.config.addresses import Address
from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory
from cleatyoke.http.backends import BackendPools
from cleatyoke.http.server import HttpServer
from cleatyoke.process.faults import Faults
from cleatyoke.process.hold_file import HoldFile
from cleatyoke.process.metrics import NodeCounts
from tests.scripted_peers import ScriptedHttpBackend, config, instance, listed
from tests.scripted_peers import answer as box_answer

ROOT = Path(__file__).resolve().parent.parent
HEADERS = {
    "X-Qos": "tile-read",
    "X-Plan": "public",
    "X-Expires-In-Ms": "1500",
    "X-IO": "volume=00000003b4d60021,units=2,shard=0,hosts=1",
}
TARGET = "/api?block=7f3a9c21e0b4d655"


class OperatedFront(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        async def script(_trace: str) -> bytes:
            return box_answer()

        self.backend: ScriptedHttpBackend = await ScriptedHttpBackend(script).start()
        self.core, self.directory = Core(config().settings), Directory({})
        self.pools = BackendPools(self.directory, 0.25, 30.0, 32)
        self.front = HttpServer(config(), self.core, self.pools, lambda: True)
        self.front.listen()
        self.url = f"http://127.0.0.1:{self.front.address.port}"
        self.core.notify(listed(self.directory, instance("s-a", self.backend.port), whole=True))
        self.folder = tempfile.TemporaryDirectory()
        self.hold_file = HoldFile(
            Path(self.folder.name), self.directory, self.core, Faults(self.pools.metrics)
        )
        self.hold_file.start()

    async def asyncTearDown(self) -> None:
        self.hold_file.stop()
        await self.front.close()
        self.pools.close()
        self.backend.stop()
        self.folder.cleanup()

    async def test_a_drain_says_no_at_once_closes_idle_connections_and_resume_says_yes(self) -> None:
        async with aiohttp.ClientSession() as client:
            async with client.get(self.url + "/up") as response:
                assert response.status == 200
            assert self.front.connections.clients
            self.front.begin_drain()
            async with client.get(self.url + "/up") as response:
                assert response.status == 503
                assert response.headers.get("Connection") == "close"
            idle = socket.create_connection(("127.0.0.1", self.front.address.port))
            await asyncio.sleep(0.45)
            assert not self.front.connections.clients  # neither the idle one nor the one that never spoke
            idle.close()
            self.front.drain.resume()
            async with client.get(self.url + "/up") as response:
                assert response.status == 200

    async def test_a_scrape_has_the_counters_of_the_control_listener(self) -> None:
        listener = MetricsListener(Address("127.0.0.1", 0), self.pools.metrics, lambda: NodeCounts(3, 1))
        url = f"http://127.0.0.1:{listener.address.port}"
        async with aiohttp.ClientSession() as client:
            for trace, plan in (("a", "public"), ("b", "gold")):  # served, and rejected for its plan
                headers = {**HEADERS, "X-Trace-Id": trace, "X-Plan": plan}
                async with client.get(self.url + TARGET, headers=headers):
                    pass
            async with client.get(url + "/metrics") as response:
                text = await response.text()
            async with client.get(url + "/") as response:
                assert response.status == 404
        listener.stop()
        for line in (
            'cleatyoke_requests_total{class="tile-read",outcome="success"} 1.0',
            'cleatyoke_requests_total{class="tile-read",outcome="failure"} 1.0',
            "cleatyoke_backend_calls_total 1.0",
            "cleatyoke_inflight 0.0",
            "cleatyoke_hosts_down 1.0",
        ):
            assert line + "\n" in text

    def test_the_exporter_is_not_imported_where_it_is_off(self) -> None:
        program = "import sys, cleatyoke.__main__; sys.exit('prometheus_client' in sys.modules)"
        assert subprocess.run([sys.executable, "-c", program], cwd=ROOT).returncode == 0

    async def test_a_held_node_receives_nothing_at_once_and_a_second_process_holds_it_too(self) -> None:
        async with aiohttp.ClientSession() as client:
            headers = {**HEADERS, "X-Trace-Id": "a"}
            async with client.get(self.url + TARGET, headers=headers) as response:
                assert response.status == 200
            assert self.pools.metrics.backend_calls == 1
            assert not await asyncio.to_thread(self.hold_file.disable, "s-zz")
            assert await asyncio.to_thread(self.hold_file.disable, "s-a")
            async with client.get(self.url + TARGET, headers={**headers, "X-Trace-Id": "b"}) as response:
                assert response.status == 503  # the only node is held
            assert len(self.backend.heads) == 1
            other = Directory({})
            listed(other, instance("s-a", self.backend.port), whole=True)
            HoldFile(Path(self.folder.name), other, self.core, self.hold_file.poll_timer.faults).poll()
            assert other.holds.is_held("s-a")
            assert await asyncio.to_thread(self.hold_file.enable, "s-a")
            await asyncio.sleep(0.01)
            assert self.directory.is_serving(1)
