"""Streams long response bodies to clients without buffering them as a whole."""

from __future__ import annotations

import asyncio

import structlog
from aiohttp import HttpVersion11, web

from cleatyoke.http.client_connection import ClientConnection
from cleatyoke.http.messages import MalformedResponseError
from cleatyoke.http.stream_window import StreamWindow
from cleatyoke.http.streamed_body import StreamedBody
from cleatyoke.limits.memory_pool import MemoryPool

IS_TRUNCATED = web.ResponseKey("is_truncated", bool)  # the backend did not deliver the whole body
log = structlog.get_logger()


async def forward_streamed_body(
    body: StreamedBody, request: web.BaseRequest, answers: MemoryPool, *, closes_connection: bool
) -> web.StreamResponse:
    """Respond 200 with the body, forwarding each piece as it is received, and close ``body``.

    ``answers``: the memory that answers share. If the backend does not deliver all of the body, the client's
    connection is aborted and ``IS_TRUNCATED`` is set on the response: the status line has been sent, so an
    incomplete message is the only way left to signal the failure to the client (RFC 9112, section 8).
    """
    response = web.StreamResponse()
    if body.length is not None:
        response.content_length = body.length
    elif request.version >= HttpVersion11:
        response.enable_chunked_encoding()
    if closes_connection:
        response.force_close()
    client = request.protocol
    assert isinstance(client, ClientConnection)
    try:
        await response.prepare(request)
        request.writer.send_headers()
        forwarder = BodyForwarder(body, client, answers, is_chunked=response.chunked)
        await forwarder.run()
        await response.write_eof()
    except MalformedResponseError as error:
        log.info("answer_cut", reason=str(error))
        response[IS_TRUNCATED] = True
        if request.transport:
            request.transport.abort()
    finally:
        body.close()
    return response


class BodyForwarder:
    """Writes the pieces of a body to the client as they are received, at the client's pace.

    A piece that the kernel does not take at once pauses the body until the client has taken it, so at most
    one piece is held. Its size is that of the ``StreamWindow``.
    """

    def __init__(
        self, body: StreamedBody, client: ClientConnection, answers: MemoryPool, *, is_chunked: bool
    ) -> None:
        self._body = body
        self._client = client
        self._answers = answers
        self._is_chunked = is_chunked
        self._window = StreamWindow(answers)
        self._loop = asyncio.get_running_loop()
        self._blocked_at = 0.0  # loop time in seconds
        self._excess_bytes = 0  # of a first piece that is longer than the window
        self._is_ended = False
        self._done: asyncio.Future[None] = self._loop.create_future()

    async def run(self) -> None:
        """Forward the whole body; raises ``MalformedResponseError`` if the backend does not deliver it."""
        self._client.on_writable = self._resume
        try:
            self._body.start(self)
            await self._done
        finally:
            self._client.on_writable = None
            self._answers.release(self._excess_bytes)
            self._window.close()

    def receive_piece(self, piece: bytes) -> None:
        """Write a piece, and pause the body if the client does not take all of it at once."""
        transport = self._client.transport
        if transport is None or transport.is_closing():
            return  # aiohttp cancels the request
        if self._is_chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        transport.write(piece)
        if self._client.writing_paused:
            self._pause(len(piece))
            return
        self._window.record_piece(len(piece))
        self._body.limit_pieces(self._window.size)

    def receive_end(self, error: MalformedResponseError | None) -> None:
        """Note the end of the body; a complete one ends once its last piece is written."""
        if self._done.done():
            return
        if error:
            self._done.set_exception(error)
        elif not self._client.writing_paused:
            self._done.set_result(None)
        self._is_ended = True

    def _pause(self, size: int) -> None:
        self._blocked_at = self._loop.time()
        self._excess_bytes = max(0, size - self._window.size)
        self._answers.charge(self._excess_bytes)
        self._body.pause()

    def _resume(self) -> None:
        """Read on, as the client has taken all that was written."""
        self._answers.release(self._excess_bytes)
        self._excess_bytes = 0
        self._window.record_wait(self._loop.time() - self._blocked_at)
        if not self._is_ended:
            self._body.resume(self._window.size)
        elif not self._done.done():
            self._done.set_result(None)
