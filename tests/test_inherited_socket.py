"""Inheritance of the listening socket in an upgrade, and rejection of an invalid descriptor."""

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


def test_adopt_accepts_only_listening_tcp_sockets_and_closes_nothing() -> None:
    with tempfile.TemporaryFile() as regular_file, socket.socket() as unbound:
        for descriptor in (regular_file.fileno(), unbound.fileno()):
            with pytest.raises(NotListeningError):
                adopt_listening_socket(descriptor)
            os.fstat(descriptor)  # still open
    with pytest.raises(NotListeningError):
        adopt_listening_socket(999)


class InheritedSocketTests(unittest.IsolatedAsyncioTestCase):
    async def test_two_processes_serve_from_one_inherited_socket(self) -> None:
        """The old and the new process accept from the same socket during an upgrade.

        A process that bound the address itself would fail to start. No client's connection may be refused.
        """
        shared = socket.create_server(("127.0.0.1", 0), backlog=64)
        port = shared.getsockname()[1]
        variables = {"RELAY_ACCEPT_FD": str(shared.fileno())}
        with tempfile.TemporaryDirectory() as folder:
            # The configured port is in use: a process that bound it would fail to start.
            listen = f"127.0.0.1:{port}"
            old = await start_daemon(folder, variables, (shared.fileno(),), listen)
            new = await start_daemon(folder, variables, (shared.fileno(),), listen)
            try:
                for daemon in (old, new):
                    assert daemon.stderr
                    async with asyncio.timeout(10):
                        while b"event='ready'" not in (line := await daemon.stderr.readline()):
                            assert line, "the daemon exited"
                await asyncio.sleep(1.1)  # without discovery and a cached list, /up reports ready after 1 s
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

    async def test_invalid_descriptor_stops_start_and_is_named(self) -> None:
        """The platform passes an invalid descriptor: not a number, or a regular file."""
        with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryFile() as regular_file:
            for text, fds in (("four", ()), (str(regular_file.fileno()), (regular_file.fileno(),))):
                daemon = await start_daemon(folder, {"RELAY_ACCEPT_FD": text}, fds)
                assert daemon.stderr
                errors = await daemon.stderr.read()
                assert await daemon.wait() == 2
                assert b"cleatyoke: RELAY_ACCEPT_FD:" in errors
