"""The daemon as a process: start, SIGTERM, SIGHUP and invalid configuration."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
from pathlib import Path

import aiohttp

from tests.http_case import (
    HEADERS,
    TARGET,
    DaemonCase,
    listing_entry,
)
from tests.scripted_peers import ScriptedDiscovery, ScriptedHttpBackend, answer


class FrontProcessTests(DaemonCase):
    async def test_restarted_front_serves_immediately_from_cached_list(self) -> None:
        async def script(_trace: str) -> bytes:
            return answer()

        backend: ScriptedHttpBackend = await ScriptedHttpBackend(script).start()
        known = {"generation": 1, "reset": True, "instances": [listing_entry("SERVING", backend.port)]}
        silent_agent = await asyncio.start_server(lambda _reader, _writer: asyncio.sleep(60), "127.0.0.1", 0)
        with tempfile.TemporaryDirectory() as folder:
            address = f"127.0.0.1:{silent_agent.sockets[0].getsockname()[1]}"
            daemon = await self.start_daemon(folder, known=known, discovery=address)
            line = await self.wait_for_line(daemon, b"event='ready'")
            url = f"http://127.0.0.1:{int(line.split(b'port=')[1].split(b')')[0])}"
            async with aiohttp.ClientSession() as client:
                async with client.get(f"{url}/up") as response:
                    assert response.status == 200
                async with client.get(f"{url}{TARGET}", headers={**HEADERS, "X-Trace-Id": "a"}) as response:
                    assert response.status == 200
            daemon.kill()
            await daemon.wait()
        backend.stop()
        silent_agent.close()

    async def test_sigterm_answers_open_and_new_requests(self) -> None:
        """SIGTERM arrives while a request is open and clients keep sending new ones.

        All are answered within the platform's grace period, and the process exits with status 0.
        """
        release = asyncio.Event()

        async def script(trace: str) -> bytes:
            if trace == "before":
                await release.wait()
            if trace == "silent":
                await asyncio.sleep(60)
            return answer()

        backend: ScriptedHttpBackend = await ScriptedHttpBackend(script).start()
        known = {"generation": 1, "reset": True, "instances": [listing_entry("SERVING", backend.port)]}
        agent = await ScriptedDiscovery(known, []).start()
        with tempfile.TemporaryDirectory() as folder:
            address = f"127.0.0.1:{agent.port}"
            daemon = await self.start_daemon(folder, known=known, discovery=address)
            assert daemon.stderr
            line = await self.wait_for_line(daemon, b"event='ready'")
            port = int(line.split(b"port=")[1].split(b")")[0])
            url = f"http://127.0.0.1:{port}{TARGET}"
            async with aiohttp.ClientSession() as client:

                async def fetch(trace: str) -> tuple[int, str | None]:
                    async with client.get(url, headers={**HEADERS, "X-Trace-Id": trace}) as response:
                        return response.status, response.headers.get("Connection")

                before = asyncio.create_task(fetch("before"))
                while not backend.counts["before"]:
                    await asyncio.sleep(0.005)
                daemon.send_signal(signal.SIGTERM)
                while b"event='leaving'" not in await daemon.stderr.readline():
                    pass
                shutdown_at = asyncio.get_running_loop().time()
                assert await fetch("after") == (200, None)  # the connection is kept open
                release.set()
                assert (await before)[0] == 200
                while asyncio.get_running_loop().time() < shutdown_at + 0.9:
                    assert (await fetch(str(backend.accepted + len(backend.heads))))[0] == 200
                    await asyncio.sleep(0.1)
                # Its deadline is after the end of the grace period; idle connections are closed by then.
                assert (await fetch("silent"))[0] in (502, 503)
                assert asyncio.get_running_loop().time() < shutdown_at + 2.2
                async with asyncio.timeout(5):
                    rest = await daemon.stderr.read()
                    assert await daemon.wait() == 0, rest
        backend.stop()
        agent.stop()

    async def test_sighup_switches_discovery_and_keeps_the_old_one_on_error(self) -> None:
        async def script(_trace: str) -> bytes:
            return answer()

        backend: ScriptedHttpBackend = await ScriptedHttpBackend(script).start()
        first = await ScriptedDiscovery({"generation": 9, "reset": True, "instances": []}, []).start()
        full_list = {"generation": 1, "reset": True, "instances": [listing_entry("SERVING", backend.port)]}
        second = await ScriptedDiscovery(full_list, []).start()
        addresses = [f"127.0.0.1:{agent.port}" for agent in (first, second)]
        with tempfile.TemporaryDirectory() as folder:
            daemon = await self.start_daemon(
                folder, {"RELAY_DISCOVERY": addresses[0]}, discovery=addresses[0]
            )
            port = int((await self.wait_for_line(daemon, b"event='ready'")).split(b"port=")[1].split(b")")[0])
            path = Path(folder) / "config.json"
            valid_config = json.loads(path.read_text())
            for change, expected in (
                ({"discovery": "nowhere"}, b"discovery: want HOST:PORT"),
                ({"discovery": addresses[1], "listen": "127.0.0.1:9"}, b"moved=True next_start=['listen']"),
                ({"discovery": addresses[1]}, b"moved=False next_start=[]"),
            ):
                path.write_text(json.dumps({**valid_config, **change}))
                daemon.send_signal(signal.SIGHUP)
                assert expected in await self.wait_for_line(daemon, b"event='reload")
            url = f"http://127.0.0.1:{port}{TARGET}"
            async with aiohttp.ClientSession() as client, asyncio.timeout(10):
                status, attempts = 0, 0
                while status != 200:  # only the second agent lists the backend
                    attempts += 1
                    async with client.get(url, headers={**HEADERS, "X-Trace-Id": f"t{attempts}"}) as response:
                        status = response.status
            daemon.send_signal(signal.SIGHUP)
            daemon.send_signal(signal.SIGTERM)  # during the reload
            async with asyncio.timeout(5):
                assert await daemon.wait() == 0
        for peer in (backend, first, second):
            peer.stop()

    async def test_invalid_configuration_exits_with_one_line_that_names_the_key(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            daemon = await self.start_daemon(folder, listen="nowhere")
            _, errors = await daemon.communicate()
        assert (daemon.returncode, errors.count(b"\n")) == (2, 1)
        assert errors.startswith(b"cleatyoke: listen: "), errors
