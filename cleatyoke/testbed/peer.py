"""What every stand-in that listens has in common: its address, its connections, their end."""

from __future__ import annotations

import asyncio
import socket
from typing import Any


class TimedReader(asyncio.StreamReader):
    """Knows when the latest bytes came, however late whoever reads them gets to it."""

    came = 0.0  # on the loop's clock

    def feed_data(self, data: Any) -> None:
        self.came = asyncio.get_running_loop().time()
        super().feed_data(data)


def hold_port() -> socket.socket:
    """A port of loopback that nobody else is given while the socket stands: who listens on it may come and
    go. It does not listen itself, so that connections are refused meanwhile.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    return held


class Peer:
    """A listener on loopback whose connections are handled by the subclass. ``open`` counts those that stand,
    ``accepted`` all that came. Its port stays from one life to the next.
    """

    def __init__(self) -> None:
        self.held: socket.socket | None = None
        self.port, self.open, self.accepted = 0, 0, 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.handlers: set[asyncio.Task[Any]] = set()

    async def start(self) -> Any:
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
        writer.transport.abort()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        """No new connections, and those that stand end."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            self.end(writer)
        for handler in list(self.handlers):
            handler.cancel()
