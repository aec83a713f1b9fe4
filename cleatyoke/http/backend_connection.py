"""A connection to a backend, and a long answer on its way through the front.

The connections are asyncio protocols of this package, read by aiohttp's parser. aiohttp's client is not used,
because with it a client could get the answer made for another request: bytes that come while a connection is
pooled it keeps and reads as the next request's answer, and garbage in one piece with a good answer costs that
answer. It also retries by itself, and has no bound for idle connections over all backends.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from cleatyoke.http.answers import AnswerReader, BackendAnswer
from cleatyoke.http.messages import MalformedAnswerError
from cleatyoke.transport.sockets import has_unread_bytes

ANSWER_TIMEOUT = 0.05  # seconds for the head of an answer once it has begun, and between the pieces of its
# body: what the protocol page grants every time limit; a backend has its answer complete before it writes
STREAM_IDLE_TIMEOUT = 10.0  # seconds without a byte, or without a reader, after which a long answer fails
STREAM_HIGH_WATER = 256 * 1024  # buffered bytes of a long answer above which no more is read
STREAM_LOW_WATER = 64 * 1024  # buffered bytes below which it is read again


class BackendConnection(asyncio.Protocol):
    """A connection to a backend; it carries one exchange at a time. Times are the loop's, in seconds."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.streamed_body: StreamedBody | None = None  # of the answer, where it is long
        # Of a pooled connection.
        self.reusable_at = 0.0
        self.idle_timer: asyncio.TimerHandle | None = None
        self.on_lost: Callable[[], None] | None = None  # what to do when it ends while it is pooled
        # Of the exchange in hand.
        self._reader: AnswerReader | None = None
        self._answer: asyncio.Future[BackendAnswer] | None = None
        self._answer_timer: asyncio.TimerHandle | None = None
        self._on_request_written: Callable[[], None] | None = None  # called once the last byte has left
        self._unsent_pieces: list[bytes] = []  # not with the transport yet, the last piece first
        self._is_writing_paused = False  # the transport has bytes that have not left

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport; without a write buffer, its pauses tell when the last byte has left."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(0)

    def pause_writing(self) -> None:
        """Write no further piece for now."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Write the next piece."""
        self._is_writing_paused = False
        self._write_next()

    def _write_next(self) -> None:
        """Write piece by piece, so that no copy of a long body stands in the transport's buffer."""
        while self._unsent_pieces and not self._is_writing_paused and self.transport:
            self.transport.write(self._unsent_pieces.pop())
        if not self.is_sending() and self._on_request_written:
            self._on_request_written()
            self._on_request_written = None

    def is_sending(self) -> bool:
        """Whether the request's last byte has not left yet."""
        return self._is_writing_paused or bool(self._unsent_pieces)

    def data_received(self, data: bytes) -> None:
        """Read bytes of the answer.

        Prevents a client from getting another request's answer: bytes that come while none is awaited end
        the connection, so that they never become the next request's answer.
        """
        if self.streamed_body and self._reader:
            self._feed_streamed(self.streamed_body, self._reader, data)
            return
        if self._reader is None or self._answer is None or self._answer.done():
            self.abort()
            return
        try:
            answer = self._reader.feed(data)
        except MalformedAnswerError as error:
            self._fail(error)
            return
        if answer is None:
            self._limit_next_piece(self._reader)
            return
        if answer.is_streamed:
            self.streamed_body = StreamedBody(self, answer)
            if self._reader.is_complete:
                self.streamed_body.finish(connection_reusable=self._reader.is_connection_reusable())
        self._answer.set_result(answer)

    def _feed_streamed(self, body: StreamedBody, reader: AnswerReader, data: bytes) -> None:
        try:
            body.append(reader.feed_body(data))
            if reader.is_complete:
                body.finish(connection_reusable=reader.is_connection_reusable())
        except MalformedAnswerError as error:
            body.fail(error)

    def _limit_next_piece(self, reader: AnswerReader) -> None:
        """Start the timer with the answer's first byte, and anew with each piece of its body."""
        if self._answer_timer is not None and not reader.is_head_complete:
            return
        if self._answer_timer:
            self._answer_timer.cancel()
        self._answer_timer = self.loop.call_later(
            ANSWER_TIMEOUT, self._fail, MalformedAnswerError("it does not end")
        )

    def eof_received(self) -> None:
        """Note that the backend ended the connection in order, which may complete the answer."""
        complete = self._reader.feed_eof() if self._reader else None
        if self.streamed_body:
            if complete:
                self.streamed_body.finish(connection_reusable=False)
            self.streamed_body.fail(MalformedAnswerError("the connection ended"))
        elif complete and self._answer and not self._answer.done():
            self._answer.set_result(complete)
        self._fail(MalformedAnswerError("the connection ended"))

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  asyncio calls it so
        """Note that the connection has ended."""
        self.transport = None
        if self.streamed_body:
            self.streamed_body.fail(MalformedAnswerError("the connection broke"))
        self._fail(MalformedAnswerError("the connection broke"))

    def _fail(self, error: MalformedAnswerError) -> None:
        if self._answer and not self._answer.done():
            self._answer.set_exception(error)
        self.abort()

    def abort(self) -> None:
        """End the connection at once: close() would first write what is still buffered."""
        if self.on_lost:
            self.on_lost()
        if self.transport:
            self.transport.abort()

    def is_usable(self) -> bool:
        """Whether it is open, and nothing has come that the loop has not read yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        return not has_unread_bytes(self.transport)

    def end_streaming(self) -> None:
        """Forget a long answer, which its reader has closed."""
        self.streamed_body = None
        self._reader = None

    async def exchange(self, request: list[bytes], on_request_written: Callable[[], None]) -> BackendAnswer:
        """Send a request, in pieces, and return its answer; of a long one see ``streamed_body``.

        Raises ``ConnectionError`` where the connection ended before the first byte, so that nothing ran, and
        ``MalformedAnswerError`` where no complete answer came.
        """
        if self.transport is None or self.transport.is_closing():
            msg = "it ended before the first byte"
            raise ConnectionError(msg)
        self._reader = AnswerReader()
        self._answer = self.loop.create_future()
        self._unsent_pieces = request[::-1]
        self._on_request_written = on_request_written
        self._write_next()
        try:
            return await self._answer
        finally:
            self._answer = None
            self._on_request_written = None
            if self.streamed_body is None:
                self._reader = None
            if self._answer_timer:
                self._answer_timer.cancel()
                self._answer_timer = None


class StreamedBody:
    """A long answer's body on its way from the backend to the client.

    Its owner reads it and closes it. Prevents connections that are never given back: where the backend sends
    nothing, or nobody reads, for ``STREAM_IDLE_TIMEOUT`` seconds, it fails and closes itself.
    """

    def __init__(self, connection: BackendConnection, answer: BackendAnswer) -> None:
        self.connection = connection
        self.length = answer.length  # bytes; None: only the end tells
        self.on_close: Callable[[bool], None] | None = None  # hears whether the connection is reusable
        self.buffered_bytes = 0
        self._pieces: deque[bytes] = deque()
        self._is_complete = False
        self._connection_reusable = False
        self._error: MalformedAnswerError | None = None
        self._progress = asyncio.Event()
        self._is_reading_paused = False
        self._idle_timer = connection.loop.call_later(STREAM_IDLE_TIMEOUT, self._time_out)
        self.append(answer.body)

    def append(self, piece: bytes) -> None:
        """Take in a piece; above ``STREAM_HIGH_WATER`` buffered bytes the connection is read no further."""
        if piece:
            self._pieces.append(piece)
            self.buffered_bytes += len(piece)
        if self.buffered_bytes > STREAM_HIGH_WATER and not self._is_reading_paused:
            transport = self.connection.transport
            if transport:
                self._is_reading_paused = True
                transport.pause_reading()
        self._note_progress()

    def finish(self, *, connection_reusable: bool) -> None:
        """Note that the body is complete."""
        self._is_complete = True
        self._connection_reusable = connection_reusable
        self._note_progress()

    def fail(self, error: MalformedAnswerError) -> None:
        """Note that the rest of the body will not come, unless it is complete; the first error counts."""
        if not self._is_complete:
            self._error = self._error or error
        self._note_progress()

    def _note_progress(self) -> None:
        self._progress.set()
        self._idle_timer.cancel()
        if self.on_close or not self._is_complete:
            self._idle_timer = self.connection.loop.call_later(STREAM_IDLE_TIMEOUT, self._time_out)

    def _time_out(self) -> None:
        self.fail(MalformedAnswerError("it does not go on"))
        self.close()

    async def read(self) -> bytes:
        """Return the next bytes, or none at the end; raises ``MalformedAnswerError`` where it is cut off."""
        while not self._pieces:
            if self._is_complete:
                return b""
            if self._error:
                raise self._error
            self._progress.clear()
            await self._progress.wait()
        piece = self._pieces.popleft()
        self.buffered_bytes -= len(piece)
        self._note_progress()
        if self._is_reading_paused and self.buffered_bytes < STREAM_LOW_WATER and self.connection.transport:
            self._is_reading_paused = False
            self.connection.transport.resume_reading()
        return piece

    def close(self) -> None:
        """Give the connection back where the body is complete, or end it."""
        self._idle_timer.cancel()
        self.connection.end_streaming()
        if self._is_reading_paused and self.connection.transport:
            self.connection.transport.resume_reading()
        on_close = self.on_close
        self.on_close = None
        if on_close:
            on_close(self._is_complete and self._connection_reusable)
