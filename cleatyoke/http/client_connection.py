"""A client's connection: aiohttp's request handler, with guards against clients that misbehave."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from cleatyoke.transport.closing import ClosingTransport
from cleatyoke.transport.sockets import has_unread_bytes, is_ended

if TYPE_CHECKING:
    from cleatyoke.http.client_connections import ClientConnections

# The settings say how long clients wait for an answer, and the protocol page nothing of how long they keep a
# connection: these times only bound descriptors and misbehaving clients, and cost no accepted request.
IDLE_TIMEOUT = 2.1  # seconds for which a connection may stand without a request
HEAD_TIMEOUT = 2.6  # seconds for a head from its first byte, where the idle timeout expires amid it
MAX_HEAD_FIELD_BYTES = 4096  # of a line or a field of a head
MAX_HEAD_FIELDS = 64  # of a head: the protocol page's has nine
READ_DELAY = 0.001  # seconds until received bytes are read: the loop reads before it runs its timers
log = structlog.get_logger()


class ClientConnection(RequestHandler):
    """One client's connection, which carries one request at a time.

    The methods without a leading underscore that aiohttp or asyncio name (``data_received``,
    ``finish_response`` and the like) override theirs. Times are the loop's, in seconds.
    """

    def __init__(
        self, manager: web.Server, connections: ClientConnections, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(
            manager,
            loop=loop,
            keepalive_timeout=IDLE_TIMEOUT,
            access_log=None,  # type: ignore[arg-type]  # aiohttp takes it for: none
            auto_decompress=False,
            lingering_time=0.0,
            max_line_size=MAX_HEAD_FIELD_BYTES,
            max_field_size=MAX_HEAD_FIELD_BYTES,
            max_headers=MAX_HEAD_FIELDS,
        )
        self.connections = connections
        self.opened_at = self._loop.time()
        self.head_started_at: float | None = None  # the first byte of a head that is not complete yet
        self.is_busy = False  # a request is being handled
        self.is_request_complete = False  # nothing of that request is still to come
        self.answer_timeout: asyncio.Timeout | None = None  # set while the request waits for its answer
        self._idle_extension_used = False  # unread bytes have kept the connection open once

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wrap the transport, so that its close costs no answer."""
        assert isinstance(transport, asyncio.Transport)
        connections = self.connections
        super().connection_made(
            ClosingTransport(transport, self, connections.add_closing, connections.remove_closing)
        )
        connections.idle[self] = self.opened_at

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection; aiohttp cancels a request that is being handled."""
        self.connections.remove(self)
        super().connection_lost(exc)

    def is_evictable(self) -> bool:
        """Whether no request has come or begun to come, even unread by the loop."""
        return (
            self.head_started_at is None
            and self.transport is not None
            and not has_unread_bytes(self.transport)
        )

    def has_slow_head(self, started_by: float) -> bool:
        """Whether a head began to come at this time or before, is not complete, and nothing is unread."""
        return (
            self.head_started_at is not None
            and self.head_started_at <= started_by
            and self.transport is not None
            and not has_unread_bytes(self.transport)
        )

    def abort_if_client_gone(self) -> bool:
        """Whether the client has closed, even if the loop has not read that; then abort the connection.

        Prevents attempts for clients that no longer wait: no attempt may begin, and the request is withdrawn.
        """
        if self.transport is not None and is_ended(self.transport):
            self.transport.abort()
        return self.transport is None or self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Read what came; bytes behind a complete request that is not answered yet end it.

        Prevents request smuggling: the protocol has one request at a time, so what comes behind a request
        before its answer may be a request hidden in a wrong length. Read as the next request, it would run
        on a backend although its client never asked for it. Such a client gets an error or a closed
        connection, and never an answer as though its request had run.
        """
        if not self.is_request_complete:
            super().data_received(data)
            if self._messages:
                self.connections.mark_active(self)
            elif not self.is_busy and self.head_started_at is None:
                self.head_started_at = self._loop.time()
        elif self.answer_timeout is None:  # an answer is being forwarded, or is written
            self.force_close()
        elif not self.answer_timeout.expired():
            self.answer_timeout.reschedule(self._loop.time())

    def has_pipelined_messages(self) -> bool:
        """Whether more than the request being handled has come."""
        return bool(self._messages)

    def begin_request(self) -> None:
        """Note that a request's head has been read and its handling begins."""
        self.is_busy = True
        self.head_started_at = None
        self._idle_extension_used = False

    def _end_request(self) -> None:
        self.is_busy = False
        self.is_request_complete = False
        if self.transport is not None:
            self.connections.idle[self] = self._loop.time()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the answer; only then is the connection idle.

        Prevents a lost answer: whatever looks for idle connections to close must not find this one before.
        """
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._end_request()

    def evict(self) -> None:
        """Close an idle connection on which nothing is unread, and free its descriptor at once."""
        self.connections.remove(self)
        transport = self.transport
        self.force_close()
        if isinstance(transport, ClosingTransport) and transport.is_flushed():
            transport.abort()
            self.connections.remove_closing(transport)

    def close_idle(self) -> None:
        """Close an idle connection in order.

        A client whose next request crosses the close sees the connection end without an answer, and sends
        the request again elsewhere (protocol page, Clients to fronts).
        """
        self.connections.remove(self)
        self.force_close()

    def _process_keepalive(self) -> None:
        """Close the connection at its idle timeout, unless a request is on its way.

        Prevents a lost request: the timer may be due in the same turn of the loop in which bytes come. A
        head that has begun to come has ``HEAD_TIMEOUT`` seconds from its first byte, and bytes that are
        unread are read first, once. aiohttp calls this from its own timer.
        """
        remaining = 0.0
        if self.head_started_at is not None:
            remaining = self.head_started_at + HEAD_TIMEOUT - self._loop.time()
        if remaining <= 0 and not self._idle_extension_used and self._has_unread():
            self._idle_extension_used = True
            remaining = READ_DELAY
        if remaining > 0:
            self._keepalive_handle = self._loop.call_later(remaining, self._process_keepalive)
        else:
            super()._process_keepalive()

    def _has_unread(self) -> bool:
        return self.transport is not None and has_unread_bytes(self.transport)

    def handle_error(
        self,
        request: web.BaseRequest,  # noqa: ARG002  aiohttp's signature
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,  # noqa: ARG002  aiohttp's signature
    ) -> web.StreamResponse:
        """Answer a message that cannot be read.

        Prevents a flooded log: aiohttp would log a trace for each, and clients may send such messages in
        masses. Only faults of the front (status 500) are logged.
        """
        if status == 500:
            log.error("answer_fault", exc_info=exc)
        response = web.Response(status=status, text="unreadable message\n")
        response.force_close()
        return response
