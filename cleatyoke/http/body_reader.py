"""Reads request bodies within their timeout, paced by the memory available for them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from aiohttp import StreamReader

from cleatyoke.http.body_limits import BODY_GRACE, BodyMemory, body_timeout
from cleatyoke.limits.memory_budget import KIBIBYTE, UNRESERVED_BYTES

BODY_TIMEOUT = BODY_GRACE  # seconds for a short body to arrive
READ_DELAY = 0.001  # seconds until received bytes are read: the loop reads sockets before it runs timers
MEMORY_POLL_INTERVAL = 0.02  # seconds between attempts to reserve memory
MAX_LAG_FRACTION = 0.8  # of the time that the client waits: the rest is for the request itself
MIN_JOINED_BYTES = 4 * KIBIBYTE  # pieces that are shorter are joined to longer ones
LONG_BODY_READ_BYTES = 64 * KIBIBYTE  # read at once of a long body whose memory is reserved
# Of a body in tiny chunks, after its first bytes; each chunk takes four bytes at least besides its data.
FREE_CHUNKED_BYTES = 16 * KIBIBYTE
MIN_DATA_FRACTION = 0.5
TINY_CHUNKS_READ_BYTES = 1 * KIBIBYTE  # at once
TINY_CHUNKS_PAUSE = 0.1  # seconds between reads
CATCH_UP_TIME = 0.05  # seconds without unread bytes, after which a client has written nothing more: the
# tolerance that the protocol page gives every time limit


class BodyTooLongError(Exception):
    """A body exceeds the longest accepted one."""


class BodyDelayedError(Exception):
    """The front had to delay reading a body for too long; nothing of its request was forwarded."""


class BodyMemoryError(BodyDelayedError):
    """No memory became free for a body in time."""


class BodySender(Hashable, Protocol):
    """The connection that a body arrives on."""

    def has_unread(self) -> bool:
        """Whether the kernel holds bytes that the event loop has not read."""

    @property
    def received_bytes(self) -> int:
        """Bytes of the current request's body as received, with the framing of chunks."""

    def limit_reads(self, size: int) -> None:
        """Read at most ``size`` bytes at once."""

    def pause_reading(self) -> None:
        """Read and decode nothing more of the body."""

    def resume_reading(self) -> None:
        """Continue after ``pause_reading``."""

    def abort_if_client_gone(self) -> bool:
        """Abort the connection if its client has closed it; return whether so."""


@dataclass(slots=True, frozen=True)
class ReceivedBody:
    """A complete body.

    ``lag``: seconds by which its last byte may have been written before the front read it, because reading
    had to wait for memory or was slowed down.
    """

    pieces: list[bytes]
    lag: float


class BodyPieces:
    """The pieces of a body; short ones are joined, as each object takes more than its bytes."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._tail = bytearray()

    def add(self, piece: bytes) -> None:
        """Append a received piece."""
        if len(piece) >= MIN_JOINED_BYTES:
            self._seal()
            self._pieces.append(piece)
            return
        self._tail += piece
        if len(self._tail) >= MIN_JOINED_BYTES:
            self._seal()

    def take(self) -> list[bytes]:
        """Return all pieces in order."""
        self._seal()
        return self._pieces

    def _seal(self) -> None:
        if self._tail:
            self._pieces.append(bytes(self._tail))
            self._tail.clear()


class BodyReader:
    """Reads one body; its memory is reserved for ``sender``, which has to release it.

    While memory is short, nothing is read: TCP flow control stops the client, and the time does not count
    towards the timeout of the body. Bodies in tiny chunks are read slowly. The last byte may have been
    written meanwhile, so the front may wait at most a part of ``max_wait``, the seconds that the client waits
    for its response. ``lag``: seconds for which nothing was read already.
    """

    def __init__(
        self, content: StreamReader, memory: BodyMemory, sender: BodySender, max_wait: float, lag: float = 0.0
    ) -> None:
        self._content = content
        self._memory = memory
        self._sender = sender
        self._max_lag = max_wait * MAX_LAG_FRACTION
        self._loop = asyncio.get_running_loop()
        self._began = self._loop.time()
        self._waited = 0.0  # seconds without reading, for lack of memory
        self._lag = lag  # the same, since the front last knew that there was nothing to read
        self._extension_used = False

    async def read(self, declared_size: int | None) -> ReceivedBody:
        """Return the whole body; ``declared_size`` is its length, None if it is not known.

        A declared length is reserved before anything is read, so that bodies do not hold memory which is of
        no use before others release theirs. Raises ``TimeoutError`` if the body arrives too slowly (see
        ``body_timeout``), ``BodyTooLongError`` and ``BodyDelayedError``.
        """
        if declared_size is not None:
            await self._wait_for(partial(self._memory.reserve_whole, self._sender, declared_size))
            self._memory.hold(self._sender, 0, is_complete=False)
            if declared_size > UNRESERVED_BYTES:
                self._sender.limit_reads(LONG_BODY_READ_BYTES)
        pieces = BodyPieces()
        size = 0
        while piece := await self._read_piece(size):
            size += len(piece)
            if size > self._memory.longest_body:
                raise BodyTooLongError
            pieces.add(piece)
            if declared_size is not None:
                is_complete = size == declared_size
                await self._wait_for(partial(self._memory.hold, self._sender, size, is_complete=is_complete))
                continue
            await self._slow_down_tiny_chunks(size)
            await self._wait_for(partial(self._memory.reserve, self._sender, size))
        return ReceivedBody(pieces.take(), self._lag)

    async def _read_piece(self, size: int) -> bytes:
        """Return the next piece, empty at the end; ``size``: bytes received before."""
        has_caught_up = not (self._content.total_bytes > size or self._sender.has_unread())
        asked_at = self._loop.time()
        try:
            async with asyncio.timeout_at(self._began + self._waited + body_timeout(size, BODY_TIMEOUT)):
                piece = await self._content.readany()
        except TimeoutError:
            # Bytes received in the same loop iteration as the timeout, or still unread, extend it once.
            await asyncio.sleep(READ_DELAY)
            piece = self._content.read_nowait()
            if self._extension_used or not (piece or self._content.is_eof()):
                raise
            self._extension_used = True
        if has_caught_up and self._loop.time() - asked_at > CATCH_UP_TIME:
            self._lag = 0.0
        return piece

    async def _slow_down_tiny_chunks(self, size: int) -> None:
        """Pause a body of which most bytes received are not data: decoding it takes processor time.

        ``size``: bytes of data so far. The pauses count towards the timeout of the body.
        """
        received = self._sender.received_bytes
        if received < FREE_CHUNKED_BYTES or size >= received * MIN_DATA_FRACTION:
            return
        if self._lag >= self._max_lag:
            raise BodyDelayedError
        self._sender.limit_reads(TINY_CHUNKS_READ_BYTES)
        paused_at = self._loop.time()
        with self._reading_paused():
            await asyncio.sleep(TINY_CHUNKS_PAUSE)
        self._lag += self._loop.time() - paused_at

    async def _wait_for(self, reserve: Callable[[], bool]) -> None:
        """Wait until ``reserve`` succeeds; meanwhile nothing is read."""
        if reserve():
            return
        with self._reading_paused():
            await self._poll(reserve)

    @contextmanager
    def _reading_paused(self) -> Iterator[None]:
        """Read nothing meanwhile; aiohttp's parser can't be paused once it has the whole body."""
        if self._content.is_eof():
            yield
            return
        self._sender.pause_reading()
        try:
            yield
        finally:
            self._sender.resume_reading()

    async def _poll(self, reserve: Callable[[], bool]) -> None:
        while not reserve():
            if self._lag >= self._max_lag:
                raise BodyMemoryError
            before = self._loop.time()
            await asyncio.sleep(MEMORY_POLL_INTERVAL)
            self._sender.abort_if_client_gone()
            seconds = self._loop.time() - before
            self._waited += seconds
            self._lag += seconds
