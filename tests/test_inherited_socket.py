"""An upgrade: the listening socket is passed on and never bound again, and a bad one stops the start."""

from __future__ import annotations

import asyncio
import os
import socket
import tempfile
import unittest

import aiohttp
import pytest

from cleatyoke.transport.listener import NotListeningError, adopt_listening_socket
from tests.daemon_process import start_daemon


def test_only_a_listening_tcp_socket_is_taken_and_nothing_else_is_closed() -> None:
    with tempfile.TemporaryFile() as plain, socket.socket() as unbound:
        for descriptor in (plain.fileno(), unbound.fileno()):
            with pytest.raises(NotListeningError):
                adopt_listening_socket(descriptor)
            os.fstat(descriptor)  # still open
    with pytest.raises(NotListeningError):
        adopt_listening_socket(999)


class TwoProcesses(unittest.IsolatedAsyncioTestCase):
    async def test_two_processes_serve_from_one_socket_that_neither_binds(self) -> None:
        """Old and new process accept from the same socket during an upgrade.

        A process that bound the address itself would fail, and a client must never meet a refused
        connection.
        """
        shared = socket.create_server(("127.0.0.1", 0), backlog=64)
        port = shared.getsockname()[1]
        variables = {"RELAY_ACCEPT_FD": str(shared.fileno())}
        with tempfile.TemporaryDirectory() as folder:
            # RELAY_LISTEN names the port that is taken: a process that bound it would fail to start
            listen = f"127.0.0.1:{port}"
            old = await start_daemon(folder, variables, (shared.fileno(),), listen)
            new = await start_daemon(folder, variables, (shared.fileno(),), listen)
            try:
                for daemon in (old, new):
                    assert daemon.stderr
                    async with asyncio.timeout(10):
                        while b"event='ready'" not in (line := await daemon.stderr.readline()):
                            assert line, "the daemon ended"
                await asyncio.sleep(1.1)  # without discovery or an old list, /up says yes after 1 s
                async with aiohttp.ClientSession() as client:
                    for _ in range(20):
                        async with client.get(f"http://127.0.0.1:{port}/up") as response:
                            assert response.status == 200
                old.terminate()
                assert await old.wait() == 0
                async with aiohttp.ClientSession() as client:
                    for _ in range(20):
                        async with client.get(f"http://127.0.0.1:{port}/up") as response:
                            assert response.status == 200
            finally:
                for daemon in (old, new):
                    if daemon.returncode is None:
                        daemon.kill()
                        await daemon.wait()
                shared.close()

    async def test_a_descriptor_that_is_no_listening_socket_stops_the_start_by_name(self) -> None:
        """The platform passes a wrong descriptor: no number, or a plain file."""
        with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryFile() as plain:
            for text, fds in (("four", ()), (str(plain.fileno()), (plain.fileno(),))):
                daemon = await start_daemon(folder, {"RELAY_ACCEPT_FD": text}, fds)
                assert daemon.stderr
                rest = await daemon.stderr.read()
                assert await daemon.wait() == 2
                assert b"cleatyoke: RELAY_ACCEPT_FD:" in rest
