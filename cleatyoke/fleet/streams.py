"""Anti-entropy exchanges over TCP: each connection carries one message in each direction and is then closed.

Each message is preceded by its length in four bytes (``transport.framing``). The number and duration of
streams are limited, which bounds the cost of unresponsive peers and of unknown senders of endless data.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from cleatyoke.config.addresses import read_address
from cleatyoke.config.errors import ConfigError
from cleatyoke.membership.events import ExchangeAnswered, ExchangeRequested
from cleatyoke.membership.wire import MAX_STREAM_BYTES
from cleatyoke.transport.framing import read_message, write_message
from cleatyoke.transport.sockets import abort_stream

MAX_STREAMS = 16  # open at once, incoming and outgoing together; further ones are rejected
EXCHANGE_TIMEOUT = 1.0  # seconds for a complete exchange


class ExchangeStreams:
    """Runs exchanges as tasks of the running event loop.

    ``host``: local address of outgoing connections. ``on_requested`` receives a peer's request; if it does
    not call ``reply`` before it returns, the stream is closed without an answer. ``dropped`` counts failures
    by reason.
    """

    def __init__(
        self,
        host: str,
        on_requested: Callable[[ExchangeRequested], None],
        on_answered: Callable[[ExchangeAnswered], None],
        dropped: Counter[str],
    ) -> None:
        self.host = host
        self.on_requested = on_requested
        self.on_answered = on_answered
        self.dropped = dropped
        self.tasks: set[asyncio.Task[None]] = set()
        self._replies: dict[int, asyncio.Future[bytes]] = {}  # by token, for open incoming streams
        self._last_token = 0

    def start_exchange(self, address: str, data: bytes) -> None:
        """Send a message to a peer; ``on_answered`` is called with the answer, or with None on failure."""
        self._start_task(self._exchange(address, data))

    def reply(self, token: int, data: bytes) -> None:
        """Answer the request with this token, if its stream is still open."""
        reply = self._replies.get(token)
        if reply and not reply.done():
            reply.set_result(data)

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a peer's connection, or abort it if too many streams are open."""
        if len(self.tasks) >= MAX_STREAMS:
            self.dropped["streams"] += 1
            abort_stream(writer)
        else:
            self._start_task(self._serve(reader, writer))

    def cancel(self) -> None:
        """Cancel all exchanges."""
        for task in list(self.tasks):
            task.cancel()

    def _start_task(self, exchange: Coroutine[Any, Any, None]) -> None:
        if len(self.tasks) >= MAX_STREAMS:
            self.dropped["streams"] += 1
            exchange.close()
            return
        task = asyncio.create_task(exchange)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _exchange(self, address: str, data: bytes) -> None:
        answer: bytes | None = None
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT):
                peer = read_address(address, "peer")
                reader, writer = await asyncio.open_connection(
                    peer.host, peer.port, local_addr=(self.host, 0)
                )
                await write_message(writer, data)
                answer = await read_message(reader, MAX_STREAM_BYTES)
        except (ConfigError, OSError, EOFError, ValueError, TimeoutError):
            self.dropped["exchange"] += 1
        finally:
            if writer:
                abort_stream(writer)
        self.on_answered(ExchangeAnswered(address, answer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._last_token += 1
        token = self._last_token
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT):
                data = await read_message(reader, MAX_STREAM_BYTES)
                reply = self._replies[token] = asyncio.get_running_loop().create_future()
                self.on_requested(ExchangeRequested(token, data))
                if not reply.done():
                    return  # rejected messages get no answer
                await write_message(writer, reply.result())
                writer.close()
                await writer.wait_closed()
        except (OSError, EOFError, ValueError, TimeoutError):
            self.dropped["stream"] += 1
        finally:
            self._replies.pop(token, None)
            abort_stream(writer)
