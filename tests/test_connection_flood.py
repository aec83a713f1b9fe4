"""The daemon with few descriptors under a flood of connections and malformed messages."""

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

MAX_DESCRIPTORS = 160  # descriptors of the process: a third of the smallest deployment's


class FloodTests(DaemonCase):
    async def test_connection_flood_leaves_descriptors_for_other_uses(self) -> None:
        """More clients connect than there are descriptors, while discovery is down.

        Without a limit there would be no descriptors left for backend connections of accepted requests, for
        discovery, the log and a reload.
        """
        release = asyncio.Event()

        async def script(_trace: str) -> bytes:
            await release.wait()
            return answer()

        backend: ScriptedHttpBackend = await ScriptedHttpBackend(script).start()
        instances = [
            {**listing_entry("SERVING", backend.port), "instanceId": f"s-{cell}", "cell": cell}
            for cell in range(12)
        ]
        listing = {"generation": 1, "reset": True, "instances": instances}
        discovery = ScriptedDiscovery(listing, [])
        silent_discovery = await asyncio.start_server(
            lambda _reader, _writer: asyncio.sleep(60), "127.0.0.1", 0
        )
        classes = [{**settings_class, "AimS": 8.0, "GiveUpS": 9.0} for settings_class in FACTS["Lanes"]]
        plans = [{**plan, "BaseRate": 999.0, "FloorRate": 999.0} for plan in FACTS["Contracts"]]
        flood: list[socket.socket] = []
        with tempfile.TemporaryDirectory() as folder:
            values: dict[str, Any] = {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "seed": "ff",
                "limits": {"sockets": MAX_DESCRIPTORS},
                "discovery": f"127.0.0.1:{silent_discovery.sockets[0].getsockname()[1]}",
                "known": listing,
                "settings": {**FACTS, "Lanes": classes, "Contracts": plans},
            }
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(values))
            environment = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
            daemon = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cleatyoke",
                cwd=ROOT,
                stderr=asyncio.subprocess.PIPE,
                env={**environment, "RELAY_CONFIG": str(path), "TMPDIR": folder},
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
                ),
            )
            line = await self.wait_for_line(daemon, b"event='ready'")
            port = int(line.split(b"port=")[1].split(b")")[0])
            for number in range(3 * MAX_DESCRIPTORS):
                flood.append(connection := socket.socket())
                connection.connect(("127.0.0.1", port))
                request = request_bytes(f"t{number}").replace(b"shard=0", b"shard=%d" % (number % 12))
                request = request.replace(b": 1500", b": 9000")
                connection.send(request if number < MAX_DESCRIPTORS else request[:40] if number % 2 else b"")
                await asyncio.sleep(0)
            await asyncio.sleep(0.3)
            descriptors = len(os.listdir(f"/proc/{daemon.pid}/fd"))
            assert backend.open > MAX_DESCRIPTORS // 4, "accepted requests must have backend connections"
            assert descriptors < MAX_DESCRIPTORS - 16, (
                "descriptors must be left for discovery, the log and a reload"
            )
            await discovery.start()
            path.write_text(json.dumps({**values, "discovery": f"127.0.0.1:{discovery.port}"}))
            daemon.send_signal(signal.SIGHUP)
            await self.wait_for_line(daemon, b"event='reloaded'")
            async with asyncio.timeout(10):
                while not discovery.asked:
                    await asyncio.sleep(0.01)
            release.set()
            for connection in flood:
                connection.setblocking(False)
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(10):
                status_lines = [
                    await loop.sock_recv(connection, 12) for connection in flood[: MAX_DESCRIPTORS // 4]
                ]
            assert set(status_lines) == {b"HTTP/1.1 200"}, "requests accepted before the flood must be served"
            daemon.send_signal(signal.SIGTERM)
            assert daemon.stderr
            async with asyncio.timeout(10):
                log = await daemon.stderr.read()
                assert await daemon.wait() == 0, log
            assert b"faults=0" in log
        for connection in flood:
            connection.close()
        for peer in (discovery, backend):
            peer.stop()
        silent_discovery.close()

    async def test_flood_of_malformed_messages_does_not_fail_accepted_requests(self) -> None:
        """Hundreds of malformed messages arrive while requests are being served.

        Each is answered with an error and closed; the requests get their responses.
        """
        release = asyncio.Event()

        async def script(_trace: str) -> bytes:
            await release.wait()
            return answer()

        backend: ScriptedHttpBackend = await ScriptedHttpBackend(script).start()
        known = {"generation": 1, "reset": True, "instances": [listing_entry("SERVING", backend.port)]}
        malformed = [
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
            classes = [{**settings_class, "AimS": 4.0, "GiveUpS": 8.0} for settings_class in FACTS["Lanes"]]
            daemon = await self.start_daemon(folder, known=known, settings={**FACTS, "Lanes": classes})
            line = await self.wait_for_line(daemon, b"event='ready'")
            port = int(line.split(b"port=")[1].split(b")")[0])
            accepted = []
            for number in range(8):
                accepted.append(await asyncio.open_connection("127.0.0.1", port))
                accepted[-1][1].write(request_bytes(f"taken{number}").replace(b"1500", b"8000"))

            async def send(message: bytes) -> bytes:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(message)
                async with asyncio.timeout(5):
                    status_line = await reader.read(12)
                writer.close()
                return status_line[9:]

            statuses_of_malformed = await asyncio.gather(*(send(message) for message in malformed * 40))
            release.set()
            async with asyncio.timeout(5):
                statuses = {(await reader.readline())[9:12] for reader, _ in accepted}
            daemon.kill()
            await daemon.wait()
        assert set(statuses_of_malformed[0::5]) == {b"400"}
        assert set(statuses_of_malformed[1::5]) <= {b"400", b"431"}
        assert set(statuses_of_malformed[2::5]) | set(statuses_of_malformed[3::5]) == {b"400"}
        assert set(statuses_of_malformed[4::5]) == {b"413"}
        assert statuses <= {b"200", b"503"}
        assert b"200" in statuses
        for _, writer in accepted:
            writer.close()
        backend.stop()
