"""The operators' parts: control address, figures, holds on boxes across processes, and a drain."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import aiohttp

from cleatyoke.admin.control import ControlCommands, ControlListener, answer
from cleatyoke.admin.maintenance import OperatorHolds
from cleatyoke.admin.prometheus import MetricsListener
from cleatyoke.config.deployment import Address
from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory
from cleatyoke.http.backends import BackendPools
from cleatyoke.http.server import HttpServer
from cleatyoke.process.faults import Faults
from cleatyoke.process.handover import HoldFile
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.events import EndpointState
from tests.wire import HttpBox, config, instance, listed
from tests.wire import answer as box_answer

ROOT = Path(__file__).resolve().parent.parent
HEADERS = {
    "X-Qos": "tile-read",
    "X-Plan": "public",
    "X-Expires-In-Ms": "1500",
    "X-IO": "volume=00000003b4d60021,units=2,shard=0,hosts=1",
}
TARGET = "/api?block=7f3a9c21e0b4d655"


class HoldsCase(unittest.TestCase):
    def test_a_hold_is_not_counted_and_an_unknown_id_is_refused(self) -> None:
        holds = OperatorHolds()
        assert not holds.disable("s-x", known=False)
        assert holds.disable("s-a", known=True)
        assert holds.disable("s-a", known=True)
        assert holds.holds("s-a")
        assert holds.enable("s-a", known=True, now=50.0)
        assert not holds.holds("s-a")  # one call back for two calls
        assert not holds.enable("s-x", known=False, now=51.0)
        assert holds.started("s-a", 0.0) == 50.0  # it comes back cold

    def test_holds_written_by_another_process_are_taken_and_noise_changes_nothing(self) -> None:
        one, two = OperatorHolds(), OperatorHolds()
        one.disable("s-a", True)
        one.disable("s-b", True)
        assert two.adopt(one.encode(), 10.0) == (["s-a", "s-b"], [])
        one.enable("s-a", True, 11.0)
        assert two.adopt(one.encode(), 12.0) == ([], ["s-a"])
        assert two.started("s-a", 0.0) == 12.0
        assert two.adopt("{", 13.0) == ([], [])
        assert two.holds("s-b")


class DirectoryCase(unittest.TestCase):
    def test_a_held_box_drains_for_the_policy_and_a_released_one_is_new(self) -> None:
        directory = Directory({})
        entry = listed(directory, instance("s-a", 1), whole=True).endpoints[0]
        assert entry.state == EndpointState.LIVE
        directory.holds.disable("s-a", True)
        assert not directory.is_serving(entry.node_id)
        assert directory.count_unavailable() == 1
        held = listed(directory, instance("s-a", 1), whole=True).endpoints[0]  # whatever discovery says
        assert held.state == EndpointState.DRAINING
        directory.holds.enable("s-a", True, 70.0)
        back = directory.refresh(["s-a"])[0]
        assert (back.state, back.started_at) == (EndpointState.LIVE, 70.0)
        assert directory.is_serving(entry.node_id)


class FiguresCase(unittest.TestCase):
    def test_each_class_is_named_under_each_outcome_and_refusals_are_busy(self) -> None:
        figures = Metrics()
        for status in (200, 200, 503, 429, 502, 400):
            figures.answered("tile-read", status)
        lines = figures.lines(["tile-read", "record-write"], 3, 1)
        for line in (
            "front.success.tile-read=2",
            "front.busy.tile-read=2",
            "front.failure.tile-read=2",
            "front.success.record-write=0",
            "front.hosts_down=1",
        ):
            assert line in lines


def commands(**changes: object) -> ControlCommands:
    held: set[str] = set()
    base = {
        "ready": lambda: True,
        "figures": lambda: ["front.inflight=0"],
        "disable": lambda name: name == "s-a" and not held.add(name),
        "enable": lambda name: name == "s-a",
        "drain": lambda: None,
        "resume": lambda: None,
    }
    return ControlCommands(**{**base, **changes})  # type: ignore[arg-type]


class CallsCase(unittest.TestCase):
    def test_each_call_has_its_answer(self) -> None:
        given = commands()
        assert answer(given, "ready") == ["SUCCESS"]
        assert answer(given, "show-stat\r") == ["front.inflight=0", "EOT"]
        assert answer(given, "disable-server s-a") == ["SUCCESS"]
        assert answer(given, "disable-server s-zz")[0].startswith("FAILURE")
        assert answer(given, "disable-server")[0].startswith("FAILURE")
        assert answer(given, "ready now")[0].startswith("FAILURE")
        assert answer(given, "reboot")[0].startswith("FAILURE")
        assert answer(commands(ready=lambda: False), "ready")[0][:7] == "FAILURE"


def call(port: int, data: bytes, patience: float = 6.0) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=patience) as connection:
        connection.sendall(data)
        got = b""
        while chunk := connection.recv(4096):
            got += chunk
        return got


class ListenerCase(unittest.TestCase):
    def test_callers_that_stall_or_send_noise_never_hold_up_another(self) -> None:
        listener = ControlListener(Address("127.0.0.1", 0), commands())
        listener.start()
        port = listener.address.port
        try:
            stalled = [socket.create_connection(("127.0.0.1", port)) for _ in range(20)]
            stalled[0].sendall(b"read")  # half a call
            began = time.monotonic()
            assert call(port, b"ready\n") == b"SUCCESS\n"
            assert call(port, b"show-stat\n") == b"front.inflight=0\nEOT\n"
            assert call(port, b"x" * 600).startswith(b"FAILURE")
            assert call(port, b"\xff\xfe\n").startswith(b"FAILURE")
            assert time.monotonic() - began < 1.0
            stalled[1].settimeout(6.0)
            assert stalled[1].recv(100).startswith(b"FAILURE")  # after 4 s without a line
            assert time.monotonic() - began > 3.9
            for one in stalled:
                one.close()
        finally:
            listener.stop()


class FrontCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        async def script(trace: str) -> bytes:
            return box_answer()

        self.box: HttpBox = await HttpBox(script).start()
        self.core, self.directory = Core(config().settings), Directory({})
        self.boxes = BackendPools(self.directory, 0.25, 30.0, 32)
        self.front = HttpServer(config(), self.core, self.boxes, lambda: True)
        self.front.listen()
        self.url = f"http://127.0.0.1:{self.front.address.port}"
        self.core.tell(listed(self.directory, instance("s-a", self.box.port), whole=True))
        self.folder = tempfile.TemporaryDirectory()
        self.handed = HoldFile(Path(self.folder.name), self.directory, self.core, Faults(self.boxes.figures))
        self.handed.start()

    async def asyncTearDown(self) -> None:
        self.handed.stop()
        await self.front.close()
        self.boxes.close()
        self.box.stop()
        self.folder.cleanup()

    async def test_a_drain_says_no_at_once_closes_idle_connections_and_resume_says_yes(self) -> None:
        async with aiohttp.ClientSession() as client:
            async with client.get(self.url + "/up") as response:
                assert response.status == 200
            kept = list(self.front.clients)
            assert kept
            self.front.drained()
            async with client.get(self.url + "/up") as response:
                assert response.status == 503
                assert response.headers.get("Connection") == "close"
            idle = socket.create_connection(("127.0.0.1", self.front.address.port))
            await asyncio.sleep(0.45)
            assert not self.front.clients  # neither the kept one nor the one that never spoke
            idle.close()
            self.front.drain.resume()
            async with client.get(self.url + "/up") as response:
                assert response.status == 200

    async def test_a_scrape_tells_the_same_figures_as_the_control_address(self) -> None:
        listener = MetricsListener(Address("127.0.0.1", 0), self.boxes.figures, lambda: (3, 1))
        url = f"http://127.0.0.1:{listener.address.port}"
        async with aiohttp.ClientSession() as client:
            for trace, plan in (("a", "public"), ("b", "gold")):  # served, and turned down
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
        look = "import sys, cleatyoke.__main__; sys.exit('prometheus_client' in sys.modules)"
        assert subprocess.run([sys.executable, "-c", look], cwd=ROOT).returncode == 0

    async def test_a_held_box_is_sent_nothing_at_once_and_a_second_process_holds_it_too(self) -> None:
        async with aiohttp.ClientSession() as client:
            headers = {**HEADERS, "X-Trace-Id": "a"}
            async with client.get(self.url + TARGET, headers=headers) as response:
                assert response.status == 200
            assert self.boxes.figures.backend_calls == 1
            assert not await asyncio.to_thread(self.handed.disable, "s-zz")
            assert await asyncio.to_thread(self.handed.disable, "s-a")
            async with client.get(self.url + TARGET, headers={**headers, "X-Trace-Id": "b"}) as response:
                assert response.status == 503  # the only box is held
            assert len(self.box.heads) == 1
            other = Directory({})
            listed(other, instance("s-a", self.box.port), whole=True)
            HoldFile(Path(self.folder.name), other, self.core, self.handed.beat.faults).look()
            assert other.holds.holds("s-a")
            assert await asyncio.to_thread(self.handed.enable, "s-a")
            await asyncio.sleep(0.01)
            assert self.directory.is_serving(1)
