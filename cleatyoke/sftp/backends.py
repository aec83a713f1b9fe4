"""Connections to the backends of the file front: one attempt is one command, and what its ending proves."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from cleatyoke.core import AttemptResult, MayBegin
from cleatyoke.discovery.directory import Directory
from cleatyoke.scheduling.events import AttemptOutcome
from cleatyoke.sftp.backend_commands import Command, SftpConnection, is_write, run_command
from cleatyoke.sftp.packets import VERSION, Init, Packet, PacketError, Status, StatusCode, Version

MAX_IDLE_PER_BACKEND = 4  # connections kept to a backend
IDLE_FRACTION = 0.5  # of the backends' idle timeout, after which a connection is not used again


class NotStartedError(Exception):
    """The connection failed before any byte of the command was written."""


class NotServingError(Exception):
    """The backend began to drain, or went, before the command was written."""


class SftpBackends:
    """Connections to the backends of the directory.

    ``port``: of the backends' SFTP listener, or 0 for the one in the directory; ``connect_timeout`` and
    ``idle_close``: seconds for a new connection, and after which a backend closes an idle one; ``max_idle``:
    connections kept to all backends.
    """

    def __init__(
        self, directory: Directory, port: int, connect_timeout: float, idle_close: float, max_idle: int
    ) -> None:
        self.directory = directory
        self.port = port
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_close * IDLE_FRACTION
        self.max_idle = max_idle
        self._idle: defaultdict[int, list[SftpConnection]] = defaultdict(list)
        directory.listeners.append(self.drop_idle)

    def drop_idle(self, node: int) -> None:
        """Close the idle connections to a backend that drains, went or restarted."""
        for connection in self._idle.pop(node, []):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for node in list(self._idle):
            self.drop_idle(node)

    async def attempt(self, node: int, command: Command, may_begin: MayBegin) -> AttemptResult[Packet]:
        """Run a command at a backend, once.

        ``may_begin`` is asked directly before the first byte. Once a byte may have been written, a broken
        connection may mean that the command ran. A status other than SSH_FX_FAILURE is the backend's answer
        to the client, as a missing file, and counts as served.
        """
        connection = None
        has_begun = False
        is_done = False
        try:
            connection = await self._connect(node, must_be_new=is_write(command))
            if not (self.directory.is_serving(node) and may_begin()):  # it may have taken long to come up
                return AttemptResult(AttemptOutcome.NOT_SENT)
            has_begun = True
            reply = await run_command(connection, command)
            is_done = True
        except NotServingError:
            return AttemptResult(AttemptOutcome.NOT_SENT)
        except NotStartedError:
            return AttemptResult(AttemptOutcome.CONNECTION_FAILED)
        except (OSError, EOFError, ValueError):
            broken = AttemptOutcome.CONNECTION_RESET if has_begun else AttemptOutcome.CONNECTION_FAILED
            return AttemptResult(broken)
        finally:
            if connection and not (is_done and self._put_back(node, connection)):
                connection.abort()  # nothing of a given-up attempt stays open while the next goes out
        if isinstance(reply, Status) and reply.code == StatusCode.SSH_FX_FAILURE:
            return AttemptResult(AttemptOutcome.ERROR)
        return AttemptResult(AttemptOutcome.SERVED, reply)

    async def _connect(self, node: int, *, must_be_new: bool) -> SftpConnection:
        """Return a connection on which the versions have been exchanged.

        Prevents lost or doubled writes: a write takes a new connection, because on one that was idle a break
        can't be told from a break after the backend had stored the change.
        """
        backend = self.directory.instances.get(node)
        if backend is None or not self.directory.is_serving(node):
            raise NotServingError
        if not must_be_new:
            connection = self._take_idle(node)
            if connection:
                return connection
        return await self._open(backend.address.host, self.port or backend.address.port)

    def _take_idle(self, node: int) -> SftpConnection | None:
        now = asyncio.get_running_loop().time()
        while self._idle[node]:
            connection = self._idle[node].pop()
            if connection.is_usable() and now - connection.idle_since < self.idle_timeout:
                return connection
            connection.abort()
        return None

    async def _open(self, host: str, port: int) -> SftpConnection:
        writer = None
        try:
            async with asyncio.timeout(self.connect_timeout):
                reader, writer = await asyncio.open_connection(host, port)
                connection = SftpConnection(reader, writer)
                await _exchange_versions(connection)
                return connection
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            if writer:
                writer.transport.abort()
            raise NotStartedError from error
        except asyncio.CancelledError:
            if writer:
                writer.transport.abort()
            raise

    def _put_back(self, node: int, connection: SftpConnection) -> bool:
        """Keep a connection for the next command, if it may be."""
        if not connection.is_usable() or not self.directory.is_serving(node):
            return False
        if len(self._idle[node]) >= MAX_IDLE_PER_BACKEND:
            return False
        if sum(map(len, self._idle.values())) >= self.max_idle:  # file descriptors are dealt out for no more
            return False
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle[node].append(connection)
        return True


async def _exchange_versions(connection: SftpConnection) -> None:
    reply = await connection.request(Init(VERSION))
    if not isinstance(reply, Version) or reply.id != VERSION:
        msg = "no version 3"
        raise PacketError(msg)
