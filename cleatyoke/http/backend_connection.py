"""Connections to backends.

Connections are asyncio protocols that use aiohttp's response parser. aiohttp's client is not used, as it
could give a client the response to another request: bytes received while a connection is pooled are kept and
read as the next request's response. It also discards a valid response if garbage arrives in the same read,
retries by itself, and has no limit on idle connections across all backends.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from cleatyoke.http.answer_progress import BackendActivity
from cleatyoke.http.answers import BackendResponse, ResponseReader
from cleatyoke.http.messages import MalformedResponseError
from cleatyoke.http.response_wait import NextStep, ResponseWait, StreamReason
from cleatyoke.http.streamed_body import StreamedBody
from cleatyoke.limits.memory_budget import MAX_UNSTREAMED_BYTES
from cleatyoke.limits.memory_pool import MemoryPool
from cleatyoke.transport.sockets import has_unread_bytes, limit_read_size

log = structlog.get_logger()


class BackendConnection(asyncio.Protocol):
    """A connection to a backend that carries one exchange at a time. Times are loop times in seconds.

    ``answers``: the memory that answers share. A short answer that arrives in parts takes its memory there;
    if there is none, it is streamed like a long one. ``activity``: of the backend, over all its connections.
    ``read_bytes``: how much of an answer that is not streamed may be read at once in any case; more, up to
    ``MAX_UNSTREAMED_BYTES``, as far as memory allows.
    """

    def __init__(
        self, answers: MemoryPool, activity: BackendActivity, read_bytes: int = MAX_UNSTREAMED_BYTES
    ) -> None:
        self.answers = answers
        self.activity = activity
        self.read_bytes = read_bytes
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.streamed_body: StreamedBody | None = None  # body of the current response, if it is streamed
        # State while the connection is pooled.
        self.reusable_at = 0.0
        self.idle_timer: asyncio.TimerHandle | None = None
        self.on_lost: Callable[[], None] | None = None  # called if the connection ends while pooled
        # State of the current exchange.
        self._reader: ResponseReader | None = None
        self._response: asyncio.Future[BackendResponse] | None = None
        self._wait: ResponseWait | None = None
        self._response_timer: asyncio.TimerHandle | None = None
        self._reserved_bytes = 0  # of a short answer that arrives in parts
        self._granted_bytes = 0  # for longer reads than ``read_bytes``
        self._on_request_written: Callable[[], None] | None = None  # called once the last byte is written
        self._unsent_pieces: list[bytes] = []  # not yet passed to the transport, the last piece first
        self._is_writing_paused = False  # the transport still buffers bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; with zero write limits, resume_writing means that its buffer is empty."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(0)
        limit_read_size(transport, self.read_bytes)

    def pause_writing(self) -> None:
        """Stop writing pieces until the transport's buffer is empty."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Write the next piece."""
        self._is_writing_paused = False
        self._write_next()

    def _write_next(self) -> None:
        """Write piece by piece, so that a long body is not copied into the transport's buffer."""
        while self._unsent_pieces and not self._is_writing_paused and self.transport:
            self.transport.write(self._unsent_pieces.pop())
        if not self.is_sending() and self._on_request_written:
            self._on_request_written()
            self._on_request_written = None

    def is_sending(self) -> bool:
        """Whether part of the request has not been handed to the kernel yet."""
        return self._is_writing_paused or bool(self._unsent_pieces)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response.

        Bytes received while no response is awaited abort the connection: otherwise they would be read as the
        response to the next request, which may belong to another client.
        """
        if self.streamed_body and self._reader:
            self._feed_streamed(self.streamed_body, self._reader, data)
            return
        if self._reader is None or self._response is None or self._response.done():
            self.abort()
            return
        if self._wait:
            self._wait.receive(self.loop.time())
        try:
            response, reason = self._feed(self._reader, data)
        except MalformedResponseError as error:
            self._fail(error)
            return
        if response is None:
            self._schedule_check(self._reader)
        else:
            self._complete(self._reader, response, reason)

    def _complete(
        self, reader: ResponseReader, response: BackendResponse, reason: StreamReason = StreamReason.LONG
    ) -> None:
        """Return the response from ``exchange``; ``reason``: why it is streamed, if it is."""
        if self._response is None or self._response.done():
            return
        if response.is_streamed:
            self._begin_streaming(reader, response, reason)
        self._response.set_result(response)

    def _feed(self, reader: ResponseReader, data: bytes) -> tuple[BackendResponse | None, StreamReason]:
        response = reader.feed(data)
        if response is not None or not reader.is_head_complete or self._reserved_bytes:
            return response, StreamReason.LONG
        size = reader.max_buffered_bytes()
        # Undelivered answers need the other half; once all is used, new requests are rejected.
        if not self.answers.reserve(size, headroom=self.answers.total // 2):
            return reader.begin_streaming(), StreamReason.NO_MEMORY
        self._reserved_bytes = size
        return None, StreamReason.LONG

    def _begin_streaming(
        self, reader: ResponseReader, response: BackendResponse, reason: StreamReason
    ) -> None:
        assert self.transport
        assert self._wait
        self._wait.request.on_forwarded()
        body = StreamedBody(self.transport, response, self._wait, reason, self.end_streaming)
        self.streamed_body = body
        if reader.is_complete:
            body.finish(connection_reusable=reader.is_connection_reusable())

    def _feed_streamed(self, body: StreamedBody, reader: ResponseReader, data: bytes) -> None:
        try:
            body.append(reader.feed_body(data))
            if reader.is_complete:
                body.finish(connection_reusable=reader.is_connection_reusable())
        except MalformedResponseError as error:
            body.fail(error)

    def _schedule_check(self, reader: ResponseReader) -> None:
        """Schedule the next decision about an incomplete response, again as soon as its head is complete."""
        if self._wait is None:
            return
        if self._response_timer:
            self._response_timer.cancel()
        now = self.loop.time()
        at = self._wait.next_check_at(reader.state, now)
        if at <= now:  # a timer would run after those that are due already
            self._check_response(reader, self._wait)
        else:
            self._response_timer = self.loop.call_at(at, self._check_response, reader, self._wait)

    def _check_response(self, reader: ResponseReader, wait: ResponseWait) -> None:
        now = self.loop.time()
        fields = {
            "trace": wait.request.trace,
            "state": reader.state.name,
            "body_bytes": reader.body_bytes(),
            "silent_seconds": round(wait.silence(now), 3),
        }
        match wait.next_step(reader.state, reader.body_bytes(), now):
            case NextStep.WAIT:
                self._schedule_check(reader)
            case NextStep.STREAM | NextStep.USE_HEAD:
                log.info("response_incomplete", **fields)
                self._complete(reader, reader.begin_streaming(), StreamReason.TIME_IS_UP)
            case NextStep.GIVE_UP:
                log.info("response_given_up", **fields)
                self._fail(MalformedResponseError("timed out within a response"))

    def eof_received(self) -> None:
        """Handle an orderly end of the connection by the backend, which may complete the response."""
        complete = self._reader.feed_eof() if self._reader else None
        if self.streamed_body:
            if complete:
                self.streamed_body.finish(connection_reusable=False)
            self.streamed_body.fail(MalformedResponseError("backend closed the connection within a response"))
        elif complete and self._response and not self._response.done():
            self._response.set_result(complete)
        self._fail(MalformedResponseError("backend closed the connection within a response"))

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  asyncio calls it so
        """Fail the current exchange."""
        self.transport = None
        if self.streamed_body:
            self.streamed_body.fail(MalformedResponseError("connection to the backend lost"))
        self._fail(MalformedResponseError("connection to the backend lost"))

    def _fail(self, error: MalformedResponseError) -> None:
        if self._response and not self._response.done():
            self._response.set_exception(error)
        self.abort()

    def abort(self) -> None:
        """Abort the connection, as close() would first flush the write buffer."""
        if self.on_lost:
            self.on_lost()
        if self.transport:
            self.transport.abort()

    def is_usable(self) -> bool:
        """Whether the connection is open and has no unread bytes in the kernel."""
        if self.transport is None or self.transport.is_closing():
            return False
        return not has_unread_bytes(self.transport)

    def end_streaming(self) -> None:
        """Forget a streamed body that its owner has closed, and read as for a short answer again."""
        self.streamed_body = None
        self._reader = None
        if self.transport:
            limit_read_size(self.transport, self.read_bytes)

    async def exchange(
        self, request: list[bytes], wait: ResponseWait, on_request_written: Callable[[], None]
    ) -> BackendResponse:
        """Send a request, given in pieces, and return its response; a long body is in ``streamed_body``.

        Raises ``ConnectionError`` if the connection ended before the first byte was sent, so that the request
        cannot have run, and ``MalformedResponseError`` if no complete response was received.
        """
        if self.transport is None or self.transport.is_closing():
            msg = "connection closed before the request was sent"
            raise ConnectionError(msg)
        self._reader = ResponseReader()
        self._response = self.loop.create_future()
        self._wait = wait
        wait.begin(self.loop.time(), self.activity)
        self._granted_bytes = self.answers.grant(MAX_UNSTREAMED_BYTES - self.read_bytes)
        limit_read_size(self.transport, self.read_bytes + self._granted_bytes)
        self._unsent_pieces = request[::-1]
        self._on_request_written = on_request_written
        self._write_next()
        try:
            response = await self._response
        except MalformedResponseError:
            if self._reader:
                wait.note_failed(self._reader.body_bytes())
            raise
        else:
            if response.status == 200 and not response.is_streamed:
                wait.request.sizes.record(len(response.body))
            return response
        finally:
            self._response = None
            self._wait = None
            self._on_request_written = None
            if self.streamed_body is None:
                self._reader = None
            self.answers.release(self._reserved_bytes + self._granted_bytes)
            self._reserved_bytes = self._granted_bytes = 0
            if self._response_timer:
                self._response_timer.cancel()
                self._response_timer = None
