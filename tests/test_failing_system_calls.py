"""System calls that fail for a moment, and a disk that fails for a while."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import socket
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from cleatyoke.process.faults import Faults
from cleatyoke.process.hold_file import HoldFile
from cleatyoke.process.metrics import Metrics
from cleatyoke.process.sibling_processes import MARKER_PREFIX, SiblingProcesses
from cleatyoke.scheduling.events import QuotaShareChanged
from tests.http_case import FrontCase, answer_at_once, request_bytes
from tests.scripted_peers import config

ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ECONNREFUSED)
SEED = 50


class FailingSockets:
    """Has system calls on sockets fail at random, in ways that Linux documents."""

    def __init__(self, seed: int, fraction: float) -> None:
        self._random = random.Random(seed)
        self._fraction = fraction
        self.failed = 0

    @contextmanager
    def installed(self) -> Iterator[None]:
        with (
            mock.patch.object(socket.socket, "accept", self._wrap(socket.socket.accept, ACCEPT_ERRORS)),
            mock.patch.object(
                socket.socket, "connect", self._wrap(socket.socket.connect, CONNECT_ERRORS), create=True
            ),
        ):
            yield

    def _wrap(self, call: Any, errors: tuple[int, ...]) -> Any:
        def fail_at_times(sock: socket.socket, *arguments: Any) -> Any:
            if self._random.random() < self._fraction:
                self.failed += 1
                number = self._random.choice(errors)
                raise OSError(number, os.strerror(number))
            return call(sock, *arguments)

        return fail_at_times


class FailingSystemCallTests(FrontCase):
    async def connect_clients(self, count: int) -> list[socket.socket]:
        """Clients that connect with raw sockets, whose calls do not fail."""
        clients = []
        for number in range(count):
            client = socket.create_connection(("127.0.0.1", self.front.address.port))
            client.setblocking(False)
            client.sendall(request_bytes(f"c{number}"))
            clients.append(client)
        return clients

    async def read_statuses(self, clients: list[socket.socket]) -> list[bytes]:
        loop = asyncio.get_running_loop()
        statuses = []
        async with asyncio.timeout(4):
            for client in clients:
                statuses.append((await loop.sock_recv(client, 4096))[9:12])
                client.close()
        return statuses

    async def test_requests_are_answered_while_calls_on_sockets_fail(self) -> None:
        await self.start_front(answer_at_once)
        clients = await self.connect_clients(20)
        sockets = FailingSockets(SEED, 0.3)
        with sockets.installed():
            statuses = await self.read_statuses(clients)
        assert sockets.failed > 5
        assert {b"200"} <= set(statuses) <= {b"200", b"503"}

    async def test_connections_in_the_backlog_are_accepted_although_one_was_aborted(self) -> None:
        # Without the next attempt, closing the listener would reset all connections behind the aborted one.
        await self.start_front(answer_at_once)
        assert self.front.listener
        self.front.listener.loop.remove_reader(self.front.listener.socket)
        clients = await self.connect_clients(5)
        accept = socket.socket.accept
        errors = [OSError(errno.ECONNABORTED, "aborted"), OSError(errno.ENOBUFS, "no buffers")]

        def abort_first(sock: socket.socket) -> Any:
            if errors:
                raise errors.pop()
            return accept(sock)

        with mock.patch.object(socket.socket, "accept", abort_first):
            self.front.listener.close()
        assert await self.read_statuses(clients) == [b"200"] * 5

    async def test_hold_that_could_not_be_written_reaches_the_other_process_later(self) -> None:
        # Without another attempt the other process of an upgrade would send to a held node.
        await self.start_front(answer_at_once)
        with tempfile.TemporaryDirectory() as folder:
            files = [HoldFile(Path(folder), self.directory, self.core, Faults(Metrics())) for _ in range(2)]
            with mock.patch.object(Path, "write_text", side_effect=OSError(errno.ENOSPC, "no space left")):
                assert files[0].disable("s-a")
                files[0].poll()
                assert not files[0].path.exists()
            files[0].poll()
            assert "s-a" in files[0].path.read_text()
            with mock.patch.object(Path, "read_text", side_effect=OSError(errno.EIO, "input/output error")):
                files[1].poll()
                assert files[1]._last_stamp is None, "an unread change must be read later"
            files[1].poll()
            assert files[1]._last_stamp == files[0]._last_stamp


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_process_marker_is_written_once_the_disk_works_again(number: int) -> None:
    # Without the marker both processes of an upgrade would use the whole of every limit.
    events: list[object] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        failing = OSError(number, os.strerror(number))
        with (
            mock.patch.object(Path, "write_text", side_effect=failing),
            mock.patch.object(os, "scandir", side_effect=failing),
        ):
            siblings = SiblingProcesses(folder, config().settings, Faults(Metrics()), 50.0)
            siblings.poll()
        assert not siblings.marker.exists()
        siblings._notify = events.append
        (folder / f"{MARKER_PREFIX}{os.getppid()}").write_text("")
        siblings.poll()
        assert siblings.marker.exists()
        assert events == [QuotaShareChanged(0.5)]
