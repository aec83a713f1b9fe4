"""An upgrade: the listening socket is handed down, never bound again, and a bad one stops the start."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp

from cleatyoke.net.sockets import NotListening, take_listening
from tests.wire import FACTS

ROOT = Path(__file__).resolve().parent.parent


async def start(
    folder: str, variables: dict[str, str], fds: tuple[int, ...], listen: str = "127.0.0.1:0"
) -> asyncio.subprocess.Process:
    path = Path(folder) / "config.json"
    values = {"name": "n0", "listen": listen, "discovery": "127.0.0.1:1", "seed": "ff", "settings": FACTS}
    path.write_text(json.dumps(values))
    kept = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cleatyoke", cwd=ROOT, stderr=asyncio.subprocess.PIPE, pass_fds=fds,
        env={**kept, **variables, "RELAY_CONFIG": str(path)},
    )  # fmt: skip


class Inherited(unittest.TestCase):
    def test_only_a_listening_tcp_socket_is_taken_and_nothing_else_is_closed(self) -> None:
        with tempfile.TemporaryFile() as plain, socket.socket() as unbound:
            for descriptor in (plain.fileno(), unbound.fileno()):
                with self.assertRaises(NotListening):
                    take_listening(descriptor)
                os.fstat(descriptor)  # still open
        with self.assertRaises(NotListening):
            take_listening(999)


class Upgrade(unittest.IsolatedAsyncioTestCase):
    async def test_two_processes_serve_from_one_socket_that_neither_binds(self) -> None:
        shared = socket.create_server(("127.0.0.1", 0), backlog=64)
        port = shared.getsockname()[1]
        variables = {"RELAY_ACCEPT_FD": str(shared.fileno())}
        with tempfile.TemporaryDirectory() as folder:
            # RELAY_LISTEN names the port that is taken: a process that bound it would fail to start
            listen = f"127.0.0.1:{port}"
            old = await start(folder, variables, (shared.fileno(),), listen)
            new = await start(folder, variables, (shared.fileno(),), listen)
            try:
                for daemon in (old, new):
                    assert daemon.stderr
                    async with asyncio.timeout(10):
                        while b"event='ready'" not in (line := await daemon.stderr.readline()):
                            self.assertTrue(line, "the daemon ended")
                await asyncio.sleep(1.1)  # without discovery or an old list, /up says yes after 1 s
                async with aiohttp.ClientSession() as client:
                    for _ in range(20):
                        async with client.get(f"http://127.0.0.1:{port}/up") as response:
                            self.assertEqual(response.status, 200)
                old.terminate()
                self.assertEqual(await old.wait(), 0)
                async with aiohttp.ClientSession() as client:
                    for _ in range(20):
                        async with client.get(f"http://127.0.0.1:{port}/up") as response:
                            self.assertEqual(response.status, 200)
            finally:
                for daemon in (old, new):
                    if daemon.returncode is None:
                        daemon.kill()
                        await daemon.wait()
                shared.close()

    async def test_a_descriptor_that_is_no_listening_socket_stops_the_start_by_name(self) -> None:
        with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryFile() as plain:
            for text, fds in (("four", ()), (str(plain.fileno()), (plain.fileno(),))):
                daemon = await start(folder, {"RELAY_ACCEPT_FD": text}, fds)
                assert daemon.stderr
                rest = await daemon.stderr.read()
                self.assertEqual(await daemon.wait(), 2)
                self.assertIn(b"cleatyoke: RELAY_ACCEPT_FD:", rest)
