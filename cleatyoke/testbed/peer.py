"""What all test doubles that listen have in common: their address, connections and end."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Sequence
from typing import Any


class TimedReader(asyncio.StreamReader):
    """Knows when the latest bytes came, however late they are read."""

    came = 0.0  # on the loop's clock

    def feed_data(self, data: Any) -> None:
        """Note the time, and buffer the bytes."""
        self.came = asyncio.get_running_loop().time()
        super().feed_data(data)


LOCALHOST = "127.0.0.1"
HOLD_ATTEMPTS = 16  # at a port that is free on all hosts


def hold_port(host: str = LOCALHOST, port: int = 0) -> socket.socket:
    """Bind a port of loopback, so that nobody else is given it while the socket stands.

    Who listens on it may come and go. It does not listen itself, so that connections are refused meanwhile.
    Raises ``OSError`` where the port is not free.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        held.bind((host, port))
    except OSError:
        held.close()
        raise
    return held


def hold_port_on(hosts: Sequence[str]) -> list[socket.socket]:
    """Bind one port on each of several addresses; the same port, which is free on all of them."""
    for _ in range(HOLD_ATTEMPTS):
        held = [hold_port(hosts[0])]
        port = int(held[0].getsockname()[1])
        try:
            held += [hold_port(host, port) for host in hosts[1:]]
        except OSError:
            for one in held:
                one.close()
            continue
        return held
    raise OSError(errno.EADDRINUSE, "no port is free on all hosts")


class Peer:
    """A listener on loopback whose connections are handled by the subclass.

    ``open`` counts the connections that are open, ``accepted`` all that came. Its port stays the same when it
    is stopped and started again.
    """

    def __init__(self) -> None:
        self.held: socket.socket | None = None
        self.port, self.open, self.accepted = 0, 0, 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.handlers: set[asyncio.Task[Any]] = set()

    async def start(self) -> Any:
        """Listen; returns itself."""
        loop = asyncio.get_running_loop()
        if self.held is None:
            self.held = hold_port()
            self.port = int(self.held.getsockname()[1])
        self.server = await loop.create_server(
            lambda: asyncio.StreamReaderProtocol(TimedReader(loop=loop), self.connected, loop=loop),
            "127.0.0.1",
            self.port,
            backlog=512,
        )
        return self

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle a connection from its begin to its end."""
        handler = asyncio.current_task()
        assert handler
        self.accepted += 1
        self.open += 1
        self.writers.add(writer)
        self.handlers.add(handler)
        try:
            await self.converse(reader, writer)
        except (EOFError, OSError, ValueError, asyncio.CancelledError):
            pass  # the other side left or sent what cannot be read, or this side stops
        finally:
            self.open -= 1
            self.writers.discard(writer)
            self.handlers.discard(handler)
            self.end(writer)

    def end(self, writer: asyncio.StreamWriter) -> None:
        """End a connection."""
        writer.transport.abort()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection; the subclass does. It may raise where the peer leaves or sends garbage."""
        raise NotImplementedError

    def stop(self) -> None:
        """Accept no new connections, and end those that are open."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            self.end(writer)
        for handler in list(self.handlers):
            handler.cancel()
