"""Attempts over HTTP: a pool of connections for each box, and what each ending proves.

The connections are asyncio protocols of our own, read by aiohttp's parser. aiohttp's client could not keep
the rule that a client gets the answer made for its request: bytes that come while a connection is pooled it
keeps and reads as the next request's answer, and noise in one piece with a good answer costs that answer. It
also resends by itself, and knows no bound for idle connections over all boxes.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial

from cleatyoke.config.deployment import Address
from cleatyoke.core import AttemptResult, MayBegin
from cleatyoke.discovery.directory import Directory
from cleatyoke.http.messages import (
    AnswerReader,
    BackendAnswer,
    ClientRequest,
    MalformedAnswerError,
    decode_busy,
    decode_elsewhere,
    decode_outcome,
    decode_probe,
    encode_attempt,
    encode_probe,
)
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.events import AttemptOutcome
from cleatyoke.transport.sockets import unread

IDLE_SHARE = 0.5  # of the boxes' idle limit (settings), after which a pooled connection is dropped
REST = 0.02  # seconds that a connection rests after an answer: a second one comes "some milliseconds" later
# (standing test, join), and must be noticed before the next request goes out
GAP = 0.05  # seconds for the head of an answer, once it has begun, and between the pieces of its body: what
# the protocol page grants every time limit; a box has its answer whole before it writes
STALL = 10.0  # seconds without a byte, or without a reader, after which a long answer is given up
HIGH, LOW = 256 * 1024, 64 * 1024  # bytes of a long answer held here: none more is read, it is read again


class BackendConnection(asyncio.Protocol):
    """A connection to a box; it carries one exchange at a time."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.reader: AnswerReader | None = None  # of the answer that is awaited
        self.answer: asyncio.Future[BackendAnswer] | None = None
        self.gap: asyncio.TimerHandle | None = None
        self.expiry: asyncio.TimerHandle | None = None
        self.unwritten = False  # a part of the request is still here
        self.rested_at = 0.0
        self.left: Callable[[], None] | None = None  # while it is pooled: what to do when it ends
        self.written: Callable[[], None] | None = None  # once the request's last byte has left
        self.rest: list[bytes] = []  # pieces of the request not yet with the transport, the last first
        self.body: StreamedBody | None = None  # of the answer, where it passes on as it comes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(0)  # pause_writing then says that the last byte has not left

    def pause_writing(self) -> None:
        self.unwritten = True

    def resume_writing(self) -> None:
        self.unwritten = False
        self.write_on()

    def write_on(self) -> None:
        """Piece by piece, so that no copy of a long body stands in the transport's buffer."""
        while self.rest and not self.unwritten and self.transport:
            self.transport.write(self.rest.pop())
        if not self.rest and not self.unwritten and self.written:
            self.written()
            self.written = None

    def sending(self) -> bool:
        """The request's last byte has not left."""
        return self.unwritten or bool(self.rest)

    def data_received(self, data: bytes) -> None:
        if self.body and self.reader:
            try:
                self.body.put(self.reader.more(data))
                if self.reader.ended:
                    self.body.end(self.reader.reusable())
            except MalformedAnswerError as error:
                self.body.broke(error)
            return
        if self.reader is None or self.answer is None or self.answer.done():
            self.abort()  # nothing is awaited: these bytes must never become the next request's answer
            return
        try:
            answer = self.reader.feed(data)
        except MalformedAnswerError as error:
            self.fail(error)
            return
        if answer:
            if answer.long:
                self.body = StreamedBody(self, answer)
                if self.reader.ended:
                    self.body.end(self.reader.reusable())
            self.answer.set_result(answer)
        elif self.gap is None or self.reader.message:
            if self.gap:
                self.gap.cancel()
            self.gap = self.loop.call_later(GAP, self.fail, MalformedAnswerError("it does not end"))

    def eof_received(self) -> None:
        whole = self.reader.at_close() if self.reader else None
        if self.body:
            if whole:
                self.body.end(False)
            self.body.broke(MalformedAnswerError("the connection ended"))
        elif whole and self.answer and not self.answer.done():
            self.answer.set_result(whole)
        self.fail(MalformedAnswerError("the connection ended"))

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.body:
            self.body.broke(MalformedAnswerError("the connection broke"))
        self.fail(MalformedAnswerError("the connection broke"))

    def fail(self, error: MalformedAnswerError) -> None:
        if self.answer and not self.answer.done():
            self.answer.set_exception(error)
        self.abort()

    def abort(self) -> None:
        """At once: close() would first write what is still buffered."""
        if self.left:
            self.left()
        if self.transport:
            self.transport.abort()

    def usable(self) -> bool:
        """Open, and nothing has come that the loop has not read yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        return not unread(self.transport)

    async def exchange(self, request: list[bytes], written: Callable[[], None]) -> BackendAnswer:
        if self.transport is None or self.transport.is_closing():
            msg = "it ended before the first byte"
            raise ConnectionError(msg)  # so nothing ran
        self.reader, self.answer = AnswerReader(), self.loop.create_future()
        self.rest, self.written = request[::-1], written
        self.write_on()
        try:
            return await self.answer
        finally:
            self.answer = self.written = None
            if self.body is None:
                self.reader = None
            if self.gap:
                self.gap.cancel()
                self.gap = None


class StreamedBody:
    """A long answer's body on its way from the box to the client. It has an owner who reads it and closes it;
    should none turn up, it ends by itself.
    """

    def __init__(self, line: BackendConnection, answer: BackendAnswer) -> None:
        self.line, self.length = line, answer.length
        self.pieces: deque[bytes] = deque()
        self.size = 0
        self.ended, self.reusable = False, False
        self.error: MalformedAnswerError | None = None
        self.news = asyncio.Event()
        self.release: Callable[[bool], None] | None = None  # of the connection: whether it can be used again
        self.paused = False
        self.watch = line.loop.call_later(STALL, self.stalled)
        self.put(answer.body)

    def put(self, piece: bytes) -> None:
        if piece:
            self.pieces.append(piece)
            self.size += len(piece)
        if self.size > HIGH and not self.paused and self.line.transport:
            self.paused = True
            self.line.transport.pause_reading()
        self.moved()

    def end(self, reusable: bool) -> None:
        self.ended, self.reusable = True, reusable
        self.moved()

    def broke(self, error: MalformedAnswerError) -> None:
        if not self.ended:
            self.error = self.error or error
        self.moved()

    def moved(self) -> None:
        self.news.set()
        self.watch.cancel()
        if self.release or not self.ended:
            self.watch = self.line.loop.call_later(STALL, self.stalled)

    def stalled(self) -> None:
        """Guards the connection: a box that holds back the rest, or nobody who reads."""
        self.broke(MalformedAnswerError("it does not go on"))
        self.close()

    async def read(self) -> bytes:
        """The next bytes, or none at the end. A ``SpoiltAnswer``: what the box gave ends here, unwhole."""
        while not self.pieces:
            if self.ended:
                return b""
            if self.error:
                raise self.error
            self.news.clear()
            await self.news.wait()
        piece = self.pieces.popleft()
        self.size -= len(piece)
        self.moved()
        if self.paused and self.size < LOW and self.line.transport:
            self.paused = False
            self.line.transport.resume_reading()
        return piece

    def close(self) -> None:
        """Give the connection back where the answer was whole, or end it."""
        self.watch.cancel()
        self.line.body = self.line.reader = None
        if self.paused and self.line.transport:
            self.line.transport.resume_reading()
        release, self.release = self.release, None
        if release:
            release(self.ended and self.reusable)


class ConnectionPool:
    """The idle connections to one life of one box, the longest rested first."""

    def __init__(self, address: Address) -> None:
        self.address, self.retired = address, False
        self.idle: deque[BackendConnection] = deque()


class BackendPools:
    """Attempts at the boxes of the directory. ``most`` bounds the connections to all of them."""

    def __init__(
        self,
        directory: Directory,
        dial_timeout: float,
        idle_close: float,
        most: int,
        figures: Metrics | None = None,
    ) -> None:
        self.directory, self.dial_timeout, self.most = directory, dial_timeout, most
        self.figures = figures or Metrics()
        self.keep = idle_close * IDLE_SHARE
        self.pools: dict[int, ConnectionPool] = {}
        self.open = 0  # connections, those that come up included
        directory.listeners.append(self.changed)

    def changed(self, node: int) -> None:
        """The box drains, went or started anew: no connection to the old one is used again."""
        if pool := self.pools.pop(node, None):
            pool.retired = True
            while pool.idle:
                self.drop(pool, pool.idle[0])

    def drop(self, pool: ConnectionPool, line: BackendConnection) -> None:
        """An idle connection has been so for long, or is in the way."""
        self.take_out(pool, line)
        line.abort()

    def take_out(self, pool: ConnectionPool, line: BackendConnection) -> None:
        pool.idle.remove(line)
        self.open -= 1
        line.left = None
        if line.expiry:
            line.expiry.cancel()

    async def attempt(
        self, node: int, ask: ClientRequest, until: float, may: MayBegin
    ) -> AttemptResult[bytes | StreamedBody]:
        """Send the request to the box, once; any ending that is not proven harmless may have run. A long
        answer counts as served with its first bytes; whoever gets its body closes it. ``until``: when the
        attempt is given up, by the loop's clock, which the box is told; ``may``: whether it may still begin,
        asked directly before its first byte, as is whether the box still serves.
        """
        if not self.directory.is_serving(node):
            return AttemptResult(AttemptOutcome.NOT_SENT)
        pool, line, answer, unused = self.pool(node), None, None, False
        self.open += 1
        try:
            line = self.rested(pool) or await self.dial(pool)
            wait = until - asyncio.get_running_loop().time()
            if (
                pool.retired or not self.directory.is_serving(node) or not may()
            ):  # directly before the first byte
                unused = True
                return AttemptResult(AttemptOutcome.NOT_SENT)
            try:
                answer = await line.exchange(encode_attempt(ask, pool.address, wait), self.counted)
            except MalformedAnswerError:
                return AttemptResult(
                    AttemptOutcome.CONNECTION_FAILED if line.sending() else AttemptOutcome.CONNECTION_RESET
                )
            outcome = decode_outcome(answer.status, answer.headers)
            if outcome is not AttemptOutcome.SERVED:
                return AttemptResult(outcome)
            elsewhere, busy = decode_elsewhere(answer.headers), decode_busy(answer.headers)
            return AttemptResult(outcome, line.body or answer.body, elsewhere, busy)
        except (OSError, TimeoutError):
            return AttemptResult(AttemptOutcome.CONNECTION_FAILED)
        finally:
            if line and line.body and answer and answer.status == 200:
                line.body.release = partial(self.settle, pool, line)
            else:
                self.settle(pool, line, unused or (answer is not None and answer.reusable))

    async def probe(self, node: int, within: float) -> float | None:
        """Ask a box for its load report, by a connection that rests where there is one: the part of its power
        in use, or None where no report came within so many seconds.
        """
        if not self.directory.is_serving(node) or self.open >= self.most:
            return None  # the places left are for requests
        pool, line, answer = self.pool(node), None, None
        self.open += 1
        try:
            async with asyncio.timeout(within):
                line = self.rested(pool) or await self.dial(pool)
                answer = await line.exchange([encode_probe(pool.address)], lambda: None)
            return decode_probe(answer)
        except (OSError, TimeoutError, MalformedAnswerError):
            return None
        finally:
            if line and line.body:  # far more than a report
                line.body.close()
            self.settle(pool, line, answer is not None and answer.reusable)

    def pool(self, node: int) -> ConnectionPool:
        if node not in self.pools:
            self.pools[node] = ConnectionPool(self.directory.instances[node].address)
        return self.pools[node]

    def settle(self, pool: ConnectionPool, line: BackendConnection | None, reusable: bool) -> None:
        """A connection, or the place of one that did not come up, is free again."""
        if line and reusable and line.transport and not pool.retired:
            self.give_back(pool, line)
        else:
            self.open -= 1
            if line:
                line.abort()

    def counted(self) -> None:
        self.figures.backend_calls += 1

    def rested(self, pool: ConnectionPool) -> BackendConnection | None:
        """An idle connection. One with bytes that nobody awaits, seen by the loop or not yet, is none."""
        now = asyncio.get_running_loop().time()
        while pool.idle and pool.idle[0].rested_at <= now:
            line = pool.idle[0]
            self.take_out(pool, line)
            if line.usable():
                return line
            line.abort()
        return None

    async def dial(self, pool: ConnectionPool) -> BackendConnection:
        if self.open > self.most:  # as many are kept as clients can have requests: an idle one is in the way
            for other in self.pools.values():
                if other.idle:
                    self.drop(other, other.idle[0])
                    break
        async with asyncio.timeout(self.dial_timeout):
            loop = asyncio.get_running_loop()
            _, line = await loop.create_connection(BackendConnection, pool.address.host, pool.address.port)
        return line

    def give_back(self, pool: ConnectionPool, line: BackendConnection) -> None:
        loop = asyncio.get_running_loop()
        line.rested_at = loop.time() + REST
        line.expiry = loop.call_later(self.keep, self.drop, pool, line)
        line.left = partial(self.take_out, pool, line)
        pool.idle.append(line)

    def close(self) -> None:
        for node in list(self.pools):
            self.changed(node)
