"""Connections to the backends of the file front; each attempt is one command, with its outcome."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from cleatyoke.core import AttemptResult, MayBegin
from cleatyoke.discovery.directory import Directory
from cleatyoke.scheduling.events import AttemptOutcome
from cleatyoke.sftp.backend_commands import Command, SftpConnection, is_write, run_command
from cleatyoke.sftp.codec import STREAM_BUFFER_BYTES
from cleatyoke.sftp.packets import VERSION, Init, Packet, PacketError, Status, StatusCode, Version
from cleatyoke.transport.sockets import abort_stream, limit_read_size

MAX_IDLE_PER_BACKEND = 4  # idle connections kept open to one backend
IDLE_FRACTION = 0.5  # of the backends' idle timeout, after which an idle connection is not reused


class NotStartedError(Exception):
    """The connection could not be opened, so no byte of the command was written."""


class NotServingError(Exception):
    """The backend started to drain, or left the directory, before the command was written."""


class SftpBackends:
    """Connections to the backends in the directory.

    ``port``: of the backends' SFTP listener, or 0 for the port in the directory; ``connect_timeout``: seconds
    to open a connection; ``idle_close``: seconds after which a backend closes an idle connection;
    ``max_idle``: idle connections kept open to all backends together.
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
        """Close the idle connections to a backend that is draining, was removed or has restarted."""
        for connection in self._idle.pop(node, []):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for node in list(self._idle):
            self.drop_idle(node)

    async def attempt(self, node: int, command: Command, may_begin: MayBegin) -> AttemptResult[Packet]:
        """Run a command at a backend, without retries.

        ``may_begin`` is called directly before the first byte is written. Once a byte may have been written,
        a broken connection may mean that the command ran. A status other than SSH_FX_FAILURE, such as a
        missing file, is the backend's answer to the client and counts as served.
        """
        connection = None
        has_begun = False
        is_complete = False
        try:
            connection = await self._connect(node, must_be_new=is_write(command))
            if not (self.directory.is_serving(node) and may_begin()):  # may have changed during the connect
                return AttemptResult(AttemptOutcome.NOT_SENT)
            has_begun = True
            reply = await run_command(connection, command)
            is_complete = True
        except NotServingError:
            return AttemptResult(AttemptOutcome.NOT_SENT)
        except NotStartedError:
            return AttemptResult(AttemptOutcome.CONNECTION_FAILED)
        except (OSError, EOFError, ValueError):
            outcome = AttemptOutcome.CONNECTION_RESET if has_begun else AttemptOutcome.CONNECTION_FAILED
            return AttemptResult(outcome)
        finally:
            if connection and not (is_complete and self._keep_idle(node, connection)):
                connection.abort()  # an abandoned attempt must not stay open while the next one runs
        if isinstance(reply, Status) and reply.code == StatusCode.SSH_FX_FAILURE:
            return AttemptResult(AttemptOutcome.ERROR)
        return AttemptResult(AttemptOutcome.SERVED, reply)

    async def _connect(self, node: int, *, must_be_new: bool) -> SftpConnection:
        """Return a connection on which the versions have been exchanged.

        Prevents lost or duplicate writes: a write takes a new connection. If an idle connection breaks, it
        is unknown whether the backend closed it unused or had already stored the change.
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
                reader, writer = await asyncio.open_connection(host, port, limit=STREAM_BUFFER_BYTES)
                assert isinstance(writer.transport, asyncio.Transport)
                limit_read_size(writer.transport, STREAM_BUFFER_BYTES)
                connection = SftpConnection(reader, writer)
                await _exchange_versions(connection)
                return connection
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            if writer:
                abort_stream(writer)
            raise NotStartedError from error
        except asyncio.CancelledError:
            if writer:
                abort_stream(writer)
            raise

    def _keep_idle(self, node: int, connection: SftpConnection) -> bool:
        """Keep a connection for reuse where the limits allow it; return whether it was kept."""
        if not connection.is_usable() or not self.directory.is_serving(node):
            return False
        if len(self._idle[node]) >= MAX_IDLE_PER_BACKEND:
            return False
        if sum(map(len, self._idle.values())) >= self.max_idle:  # the file descriptor budget covers no more
            return False
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle[node].append(connection)
        return True


async def _exchange_versions(connection: SftpConnection) -> None:
    reply = await connection.request(Init(VERSION))
    if not isinstance(reply, Version) or reply.id != VERSION:
        msg = "backend does not speak SFTP version 3"
        raise PacketError(msg)
