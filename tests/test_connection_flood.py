"""The daemon with few descriptors, amid a flood of connections and malformed messages."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any

from tests.http_case import (
    ROOT,
    DaemonCase,
    listing_entry,
    request_bytes,
)
from tests.scripted_peers import FACTS, ScriptedDiscovery, ScriptedHttpBackend, answer

SOCKETS = 160  # descriptors of the process: a third of what the smallest days have


class FloodTests(DaemonCase):
    async def test_a_flood_leaves_descriptors_for_discovery_backends_the_log_and_a_reload(self) -> None:
        """More clients connect than there are descriptors, while discovery is down.

        Without a bound, accepted requests would find no descriptor for a backend, and discovery, the log and
        a reload would fail.
        """
        release = asyncio.Event()

        async def script(_trace: str) -> bytes:
            await release.wait()
            return answer()

        box: ScriptedHttpBackend = await ScriptedHttpBackend(script).start()
        boxes = [
            {**listing_entry("SERVING", box.port), "instanceId": f"s-{one}", "cell": one} for one in range(12)
        ]
        listing = {"generation": 1, "reset": True, "instances": boxes}
        agent = ScriptedDiscovery(listing, [])
        silent = await asyncio.start_server(lambda _reader, _writer: asyncio.sleep(60), "127.0.0.1", 0)
        lanes = [{**lane, "AimS": 8.0, "GiveUpS": 9.0} for lane in FACTS["Lanes"]]
        plans = [{**plan, "BaseRate": 999.0, "FloorRate": 999.0} for plan in FACTS["Contracts"]]
        flood: list[socket.socket] = []
        with tempfile.TemporaryDirectory() as folder:
            values: dict[str, Any] = {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "seed": "ff",
                "limits": {"sockets": SOCKETS},
                "discovery": f"127.0.0.1:{silent.sockets[0].getsockname()[1]}",
                "known": listing,
                "settings": {**FACTS, "Lanes": lanes, "Contracts": plans},
            }
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(values))
            kept = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
            daemon = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cleatyoke",
                cwd=ROOT,
                stderr=asyncio.subprocess.PIPE,
                env={**kept, "RELAY_CONFIG": str(path), "TMPDIR": folder},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS)),
            )
            line = await self.wait_for_line(daemon, b"event='ready'")
            port = int(line.split(b"port=")[1].split(b")")[0])
            for number in range(3 * SOCKETS):
                flood.append(one := socket.socket())
                one.connect(("127.0.0.1", port))
                request = request_bytes(f"t{number}").replace(b"shard=0", b"shard=%d" % (number % 12))
                request = request.replace(b": 1500", b": 9000")
                one.send(request if number < SOCKETS else request[:40] if number % 2 else b"")
                await asyncio.sleep(0)
            await asyncio.sleep(0.3)
            descriptors = len(os.listdir(f"/proc/{daemon.pid}/fd"))
            assert box.open > SOCKETS // 4, "the requests that were taken have their connections"
            assert descriptors < SOCKETS - 16, "what discovery, the log and a reload need is left"
            await agent.start()
            path.write_text(json.dumps({**values, "discovery": f"127.0.0.1:{agent.port}"}))
            daemon.send_signal(signal.SIGHUP)
            await self.wait_for_line(daemon, b"event='reloaded'")
            async with asyncio.timeout(10):
                while not agent.asked:
                    await asyncio.sleep(0.01)
            release.set()
            for one in flood:
                one.setblocking(False)
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(10):
                said = [await loop.sock_recv(one, 12) for one in flood[: SOCKETS // 4]]
            assert set(said) == {b"HTTP/1.1 200"}, "the first were taken before the flood"
            daemon.send_signal(signal.SIGTERM)
            assert daemon.stderr
            async with asyncio.timeout(10):
                log = await daemon.stderr.read()
                assert await daemon.wait() == 0, log
            assert b"faults=0" in log
        for one in flood:
            one.close()
        for peer in (agent, box):
            peer.stop()
        silent.close()

    async def test_malformed_messages_in_a_flood_cost_no_accepted_request(self) -> None:
        """Hundreds of malformed messages come while requests are being served.

        Each is answered and closed; the requests get their answers.
        """
        release = asyncio.Event()

        async def script(_trace: str) -> bytes:
            await release.wait()
            return answer()

        box: ScriptedHttpBackend = await ScriptedHttpBackend(script).start()
        known = {"generation": 1, "reset": True, "instances": [listing_entry("SERVING", box.port)]}
        bad = [
            b"\x16\x03\x01\x02\x00" * 50,
            b"GET / HTTP/1.1\r\nX: " + bytes(100_000),
            request_bytes("t").replace(b"tile-read", b"no-class"),
            request_bytes("t").replace(b"public", b"no-plan"),
            request_bytes("t")
            .replace(b"\r\n\r\n", b"\r\nContent-Length: 60000000\r\n\r\n")
            .replace(b"GET", b"PUT"),
        ]
        with tempfile.TemporaryDirectory() as folder:
            # The backend is silent until the flood ends. A backend that is silent for a whole latency
            # objective loses its attempts by the attempt timeout, with and without a flood.
            lanes = [{**lane, "AimS": 4.0, "GiveUpS": 8.0} for lane in FACTS["Lanes"]]
            daemon = await self.start_daemon(folder, known=known, settings={**FACTS, "Lanes": lanes})
            line = await self.wait_for_line(daemon, b"event='ready'")
            port = int(line.split(b"port=")[1].split(b")")[0])
            taken = []
            for number in range(8):
                taken.append(await asyncio.open_connection("127.0.0.1", port))
                taken[-1][1].write(request_bytes(f"taken{number}").replace(b"1500", b"8000"))

            async def send(message: bytes) -> bytes:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(message)
                async with asyncio.timeout(5):
                    said = await reader.read(12)
                writer.close()
                return said[9:]

            found = await asyncio.gather(*(send(message) for message in bad * 40))
            release.set()
            async with asyncio.timeout(5):
                statuses = {(await reader.readline())[9:12] for reader, _ in taken}
            daemon.kill()
            await daemon.wait()
        assert set(found[0::5]) == {b"400"}
        assert set(found[1::5]) <= {b"400", b"431"}
        assert set(found[2::5]) | set(found[3::5]) == {b"400"}
        assert set(found[4::5]) == {b"413"}
        assert statuses <= {b"200", b"503"}
        assert b"200" in statuses
        for _, writer in taken:
            writer.close()
        box.stop()
