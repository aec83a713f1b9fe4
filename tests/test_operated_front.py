"""Operator actions on a serving front: drain, metrics scrapes, and holds of a node."""

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
from tests.scripted_peers import answer as backend_answer

ROOT = Path(__file__).resolve().parent.parent
HEADERS = {
    "X-Qos": "tile-read",
    "X-Plan": "public",
    "X-Expires-In-Ms": "1500",
    "X-IO": "volume=00000003b4d60021,units=2,shard=0,hosts=1",
}
TARGET = "/api?block=7f3a9c21e0b4d655"


class OperatorActionTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        async def respond(_trace: str) -> bytes:
            return backend_answer()

        self.backend: ScriptedHttpBackend = await ScriptedHttpBackend(respond).start()
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

    async def test_drain_fails_health_check_and_closes_idle_connections_until_resume(self) -> None:
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
            # Closed are both the idle connection and the one that has sent no request.
            assert not self.front.connections.clients
            idle.close()
            self.front.drain.resume()
            async with client.get(self.url + "/up") as response:
                assert response.status == 200

    async def test_scrape_has_counters_of_control_listener(self) -> None:
        listener = MetricsListener(Address("127.0.0.1", 0), self.pools.metrics, lambda: NodeCounts(3, 1))
        url = f"http://127.0.0.1:{listener.address.port}"
        async with aiohttp.ClientSession() as client:
            for trace, plan in (("a", "public"), ("b", "gold")):  # served, and rejected for its unknown plan
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

    def test_prometheus_client_is_not_imported_when_exporter_is_disabled(self) -> None:
        program = "import sys, cleatyoke.__main__; sys.exit('prometheus_client' in sys.modules)"
        assert subprocess.run([sys.executable, "-c", program], cwd=ROOT).returncode == 0

    async def test_held_node_receives_no_requests_and_hold_applies_to_second_process(self) -> None:
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
            second_directory = Directory({})
            listed(second_directory, instance("s-a", self.backend.port), whole=True)
            HoldFile(
                Path(self.folder.name), second_directory, self.core, self.hold_file.poll_timer.faults
            ).poll()
            assert second_directory.holds.is_held("s-a")
            assert await asyncio.to_thread(self.hold_file.enable, "s-a")
            await asyncio.sleep(0.01)
            assert self.directory.is_serving(1)
