"""The common base of all listening test doubles: address, connections and shutdown."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Sequence
from typing import Any


class TimedReader(asyncio.StreamReader):
    """Records when the latest bytes arrived, independently of when they are read."""

    came = 0.0  # arrival time of the latest bytes, on the loop's clock

    def feed_data(self, data: Any) -> None:
        """Record the time, and buffer the bytes."""
        self.came = asyncio.get_running_loop().time()
        super().feed_data(data)


LOCALHOST = "127.0.0.1"
HOLD_ATTEMPTS = 16  # to find a port that is free on all hosts


def hold_port(host: str = LOCALHOST, port: int = 0) -> socket.socket:
    """Reserve a port on loopback: no other process is assigned it while the returned socket is open.

    The socket does not listen: listeners on the port may start and stop, and connections are refused while
    there is none. Raises ``OSError`` where the port is not free.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        reservation.bind((host, port))
    except OSError:
        reservation.close()
        raise
    return reservation


def hold_port_on(hosts: Sequence[str]) -> list[socket.socket]:
    """Reserve the same port, which is free on all of them, on each of several addresses."""
    for _ in range(HOLD_ATTEMPTS):
        sockets = [hold_port(hosts[0])]
        port = int(sockets[0].getsockname()[1])
        try:
            sockets += [hold_port(host, port) for host in hosts[1:]]
        except OSError:
            for bound in sockets:
                bound.close()
            continue
        return sockets
    raise OSError(errno.EADDRINUSE, "found no port that is free on all hosts")


class Peer:
    """A listener on loopback whose connections are handled by the subclass.

    ``open`` counts the open connections, ``accepted`` all that were accepted. The port stays the same across
    a stop and a new start.
    """

    def __init__(self) -> None:
        self.reserved_port: socket.socket | None = None
        self.port, self.open, self.accepted = 0, 0, 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.handlers: set[asyncio.Task[Any]] = set()

    async def start(self) -> Any:
        """Start listening; return the listener itself."""
        loop = asyncio.get_running_loop()
        if self.reserved_port is None:
            self.reserved_port = hold_port()
            self.port = int(self.reserved_port.getsockname()[1])
        self.server = await loop.create_server(
            lambda: asyncio.StreamReaderProtocol(TimedReader(loop=loop), self.on_connection, loop=loop),
            "127.0.0.1",
            self.port,
            backlog=512,
        )
        return self

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Track a connection from start to end, and serve it."""
        handler = asyncio.current_task()
        assert handler
        self.accepted += 1
        self.open += 1
        self.writers.add(writer)
        self.handlers.add(handler)
        try:
            await self.serve_connection(reader, writer)
        except (EOFError, OSError, ValueError, asyncio.CancelledError):
            pass  # the peer disconnected or sent malformed data, or this listener stops
        finally:
            self.open -= 1
            self.writers.discard(writer)
            self.handlers.discard(handler)
            self.end(writer)

    def end(self, writer: asyncio.StreamWriter) -> None:
        """Abort a connection."""
        writer.transport.abort()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection (in subclasses). May raise if the peer disconnects or sends malformed data."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stop listening, and abort the open connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            self.end(writer)
        for handler in list(self.handlers):
            handler.cancel()
