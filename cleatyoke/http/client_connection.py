"""A client's connection: aiohttp's request handler, hardened against misbehaving clients."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import structlog
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from cleatyoke.http.open_requests import OpenResult
from cleatyoke.http.request_head import (
    MAX_HEAD_FIELD_BYTES,
    MAX_HEAD_FIELDS,
    BodyKind,
    HeadState,
    RequestHead,
)
from cleatyoke.limits.memory_budget import CLIENT_READ_BYTES, FREE_HEAD_BYTES, HEAD_READ_BYTES
from cleatyoke.limits.memory_pool import MemoryPool
from cleatyoke.transport.closing import ClosingTransport
from cleatyoke.transport.sockets import has_unread_bytes, is_ended, limit_read_size

if TYPE_CHECKING:
    from cleatyoke.http.client_connections import ClientConnections

# The settings define how long clients wait for a response; the protocol page does not define how long they
# keep a connection. These limits only bound descriptors and misbehaving clients; no accepted request is lost
# to them.
IDLE_TIMEOUT = 2.1  # seconds for which a connection may be without a request
HEAD_TIMEOUT = 2.6  # seconds for a head from its first byte, if the idle timeout expires while it arrives
MAX_OPEN_WAIT = 0.25  # seconds for which a request waits until it may be opened: most take less than that
STALL_TIMEOUT = 30.0  # seconds in which a client must take some of its answer: at 64 kB/s the kernel's send
# buffer of 4 MiB accepts more bytes only every 22 s
READ_DELAY = 0.001  # seconds until received bytes are read: the loop reads sockets before it runs timers
_NO_BODY = b"Content-Length: 0\r\nConnection: close\r\n\r\n"
HEAD_TOO_LONG = b"HTTP/1.1 431 Request Header Fields Too Large\r\n" + _NO_BODY
HEAD_UNREADABLE = b"HTTP/1.1 400 Bad Request\r\n" + _NO_BODY
TOO_MANY_REQUESTS_OPEN = b"HTTP/1.1 503 Service Unavailable\r\n" + _NO_BODY
log = structlog.get_logger()


class ClientConnection(RequestHandler):
    """A client's connection, which carries one request at a time.

    A head is collected as raw bytes, and passed on to aiohttp's parser once it is complete and its request
    may be opened (``OpenRequests``). ``connection_made``, ``connection_lost``, ``data_received``,
    ``finish_response``, ``handle_error`` and ``_process_keepalive`` override methods of aiohttp. Times are
    loop times in seconds.
    """

    def __init__(
        self, manager: web.Server, connections: ClientConnections, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(
            manager,
            loop=loop,
            keepalive_timeout=IDLE_TIMEOUT,
            access_log=None,  # type: ignore[arg-type]  # None disables it
            auto_decompress=False,
            lingering_time=0.0,
            read_bufsize=CLIENT_READ_BYTES // 2,  # aiohttp holds twice as much of a body that is not read
            max_line_size=MAX_HEAD_FIELD_BYTES,
            max_field_size=MAX_HEAD_FIELD_BYTES,
            max_headers=MAX_HEAD_FIELDS,
        )
        self.connections = connections
        self.opened_at = self._loop.time()
        self.head_started_at: float | None = None  # when the first byte of an incomplete head was received
        self._inner: asyncio.Transport | None = None  # without the graceful close
        self._head = RequestHead()
        self._head_memory = 0  # bytes reserved for the head
        self._body_kind = BodyKind.NONE  # of the current request
        self.received_bytes = 0  # of the current request, behind what came with its head
        self._open_timer: asyncio.TimerHandle | None = None  # set while the request waits to be opened
        self._received_at = 0.0  # when the head was complete
        self.open_wait = 0.0  # seconds for which the current request waited to be opened
        self.is_request_open = False  # the head has been passed on to the parser
        self.is_busy = False  # a request is being handled
        self.is_request_complete = False  # that request has been received completely
        self.response_timeout: asyncio.Timeout | None = None  # set while the request is being served
        self._idle_extension_used = False  # unread bytes have extended the idle timeout once
        self.on_writable: Callable[[], None] | None = None  # called once all written bytes are handed over
        self._stall_timer: asyncio.TimerHandle | None = None  # set while the client does not take its answer
        self._release_answer: Callable[[], None] | None = None  # frees the memory of an undelivered answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wrap the transport, so that closing it does not lose a response."""
        assert isinstance(transport, asyncio.Transport)
        self._inner = transport
        limit_read_size(transport, HEAD_READ_BYTES)
        transport.set_write_buffer_limits(0)
        connections = self.connections
        super().connection_made(
            ClosingTransport(transport, self, connections.add_closing, connections.remove_closing)
        )
        connections.idle[self] = self.opened_at

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection; aiohttp cancels a request that is being handled."""
        self.connections.remove(self)
        self._cancel_stall_timer()
        self._cancel_open_timer()
        self._free_head()
        self._free_answer()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Note that the kernel did not take all of the answer, and limit the time for the rest."""
        super().pause_writing()
        assert self.transport is not None
        self._watch_for_stall(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Note that the kernel has taken all that was written."""
        self._cancel_stall_timer()
        super().resume_writing()
        if self.on_writable:
            self.on_writable()

    def _watch_for_stall(self, unsent: int) -> None:
        self._stall_timer = self._loop.call_later(STALL_TIMEOUT, self._abort_if_stalled, unsent)

    def _abort_if_stalled(self, unsent_before: int) -> None:
        """Abort the connection if none of the unsent bytes were taken since the last check."""
        if self.transport is None:
            return
        unsent = self.transport.get_write_buffer_size()
        if unsent < unsent_before:
            self._watch_for_stall(unsent)
            return
        log.info("client_stalled", unsent=unsent)
        self.transport.abort()

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer:
            self._stall_timer.cancel()
            self._stall_timer = None

    def is_evictable(self) -> bool:
        """Whether no byte of a request has been received, including bytes not yet read by the loop."""
        return (
            self.head_started_at is None
            and self.transport is not None
            and not has_unread_bytes(self.transport)
        )

    def has_slow_head(self, started_by: float) -> bool:
        """Whether an incomplete head was begun by the time ``started_by`` and no bytes are unread."""
        return (
            self.head_started_at is not None
            and self._open_timer is None
            and self.head_started_at <= started_by
            and self.transport is not None
            and not has_unread_bytes(self.transport)
        )

    def abort_if_client_gone(self) -> bool:
        """Abort the connection if the client has closed, even if not yet read by the loop; return whether so.

        The request is then cancelled and no attempt may begin, as nobody waits for the response.
        """
        if self.transport is not None and is_ended(self.transport):
            self.transport.abort()
        return self.transport is None or self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Process received bytes; bytes after a complete request that is still being served end it.

        Prevents request smuggling: the protocol allows one request at a time, so bytes that follow a request
        before its response may be a request hidden by a wrong length. Read as the next request, it would run
        on a backend although the client never sent it. Such a client gets an error or a closed connection,
        never a response that suggests its request ran.
        """
        if not data:  # aiohttp resumes its parser
            super().data_received(data)
        elif not self.is_request_open:
            self._receive_head(data)
        elif not self.is_request_complete:
            self.received_bytes += len(data)
            super().data_received(data)
        elif self.response_timeout is None:  # a response is being forwarded or written
            self.force_close()
        elif not self.response_timeout.expired():
            self.response_timeout.reschedule(self._loop.time())

    def _receive_head(self, data: bytes) -> None:
        """Collect the head, and open its request once it is complete."""
        if self.head_started_at is None:
            self.head_started_at = self._loop.time()
        state = self._head.feed(data)
        if state is HeadState.TOO_LONG:
            self._reject(HEAD_TOO_LONG)
        elif state is HeadState.UNREADABLE:
            self._reject(HEAD_UNREADABLE)
        elif not self._reserve_head():
            self._reject(TOO_MANY_REQUESTS_OPEN)
        elif state is HeadState.COMPLETE:
            self._open_request()

    def _reserve_head(self) -> bool:
        """Reserve memory for a long head, or for what has been read behind a head; return whether it is."""
        wanted = max(0, len(self._head) - FREE_HEAD_BYTES) - self._head_memory
        if wanted > 0:
            if not self.connections.heads.reserve(wanted):
                return False
            self._head_memory += wanted
        return True

    def _free_head(self) -> None:
        self.connections.heads.release(self._head_memory)
        self._head_memory = 0

    def _open_request(self) -> None:
        """Pass the request on to the parser, now or when there is memory for it."""
        self.connections.mark_active(self)
        self._received_at = self._loop.time()
        self._body_kind = self._head.body_kind()
        match self.connections.open_requests.open(self, self._body_kind):
            case OpenResult.OPEN:
                self.pass_request_on()
            case OpenResult.REJECTED:
                self._reject_unopened()
            case OpenResult.WAITING:
                assert self._inner
                self._inner.pause_reading()
                self._open_timer = self._loop.call_later(MAX_OPEN_WAIT, self._reject_unopened)

    def pass_request_on(self) -> None:
        """Have the parser read the head; the request counts as open from now on."""
        self.open_wait = self._loop.time() - self._received_at
        if self._open_timer:
            assert self._inner
            self._cancel_open_timer()
            self._inner.resume_reading()
        self.is_request_open = True
        self.received_bytes = 0
        if self._inner and self._body_kind is not BodyKind.NONE:
            limit_read_size(self._inner, CLIENT_READ_BYTES)
        head = self._head.take()
        self._free_head()
        super().data_received(head)

    def _reject_unopened(self) -> None:
        self._open_timer = None
        self.connections.on_rejected(self._head.class_name())
        self._reject(TOO_MANY_REQUESTS_OPEN)

    def _cancel_open_timer(self) -> None:
        if self._open_timer:
            self._open_timer.cancel()
            self._open_timer = None

    def _reject(self, response: bytes) -> None:
        """Answer a request that was never opened, and close the connection."""
        self.connections.remove(self)
        self._head.take()
        self._free_head()
        if self.transport is not None:
            self.transport.write(response)
            self.force_close()

    def has_pipelined_messages(self) -> bool:
        """Whether messages beyond the request being handled have been received."""
        return bool(self._messages)

    def begin_request(self) -> None:
        """Mark the connection as busy; called when a request's head has been read."""
        self.is_busy = True
        self.head_started_at = None
        self._idle_extension_used = False

    def hold_answer(self, size: int, answers: MemoryPool) -> None:
        """Account for an answer of ``size`` bytes in ``answers`` until the client has taken it."""
        answers.charge(size)
        self._release_answer = partial(answers.release, size)

    def _free_answer(self) -> None:
        if self._release_answer:
            self._release_answer()
            self._release_answer = None

    def _end_request(self) -> None:
        self._free_answer()
        self.is_busy = False
        self.is_request_complete = False
        self.is_request_open = False
        if self.transport is not None and self._inner:
            if self._body_kind is not BodyKind.NONE:
                limit_read_size(self._inner, HEAD_READ_BYTES)
            self.connections.idle[self] = self._loop.time()
        self.connections.end_request(self)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the response, then mark the connection as idle.

        Marked earlier, it could be evicted as idle before the response is written.
        """
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._end_request()

    def evict(self) -> None:
        """Close an idle connection without unread bytes; free its descriptor at once if all is flushed."""
        self.connections.remove(self)
        transport = self.transport
        self.force_close()
        if isinstance(transport, ClosingTransport) and transport.is_flushed():
            transport.abort()
            self.connections.remove_closing(transport)

    def close_idle(self) -> None:
        """Close an idle connection gracefully.

        A client whose next request crosses the close sees the connection end without a response, and resends
        the request elsewhere (protocol page, Clients to fronts).
        """
        self.connections.remove(self)
        self.force_close()

    def _process_keepalive(self) -> None:
        """Close the connection at its idle timeout, unless a request is arriving.

        aiohttp calls this from its keep-alive timer, which may be due in the loop iteration in which bytes
        arrive; closing then would lose a request. A head that has been begun gets ``HEAD_TIMEOUT`` seconds
        from its first byte, and unread bytes extend the timeout once so that they are read first.
        """
        remaining = 0.0
        if self.head_started_at is not None:
            remaining = self.head_started_at + HEAD_TIMEOUT - self._loop.time()
        if self._open_timer:  # its request has been read, and is opened or answered soon
            remaining = max(remaining, MAX_OPEN_WAIT)
        if remaining <= 0 and not self._idle_extension_used and self.has_unread():
            self._idle_extension_used = True
            remaining = READ_DELAY
        if remaining > 0:
            self._keepalive_handle = self._loop.call_later(remaining, self._process_keepalive)
        else:
            super()._process_keepalive()

    def limit_reads(self, size: int) -> None:
        """Read at most ``size`` bytes of the current body at once."""
        if self._inner:
            limit_read_size(self._inner, size)

    def has_unread(self) -> bool:
        """Whether the kernel holds bytes that the event loop has not read."""
        return self.transport is not None and has_unread_bytes(self.transport)

    def handle_error(
        self,
        request: web.BaseRequest,  # noqa: ARG002  aiohttp's signature
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,  # noqa: ARG002  aiohttp's signature
    ) -> web.StreamResponse:
        """Respond to a malformed message or an internal error.

        Only internal errors (status 500) are logged: aiohttp would log a traceback for each malformed
        message, and clients that send many of them would flood the log.
        """
        if status == 500:
            log.error("answer_fault", exc_info=exc)
        response = web.Response(status=status, text="unreadable message\n")
        response.force_close()
        return response
