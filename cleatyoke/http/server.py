"""The platform's front towards clients, on aiohttp's low-level server. It decides nothing."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import Any

import structlog
from aiohttp import HttpVersion11, StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from cleatyoke.admin.maintenance import FrontDrain
from cleatyoke.config.deployment import Address, Config
from cleatyoke.core import ATTEMPT_MARGIN, AttemptResult, Core, Failed, MayBegin, Rejected, Served
from cleatyoke.http import body_limits as bodies
from cleatyoke.http.backends import BackendPools, StreamedBody
from cleatyoke.http.messages import (
    ClientRequest,
    IdempotencyKeyError,
    MalformedAnswerError,
    MessageError,
    decode_request,
)
from cleatyoke.scheduling.events import RequestArrived
from cleatyoke.transport.closing import ClosingTransport
from cleatyoke.transport.listener import Listener
from cleatyoke.transport.sockets import has_unread_bytes, is_ended

# Of clients the settings tell only how long they wait for an answer, and the protocol page nothing of how
# long they keep a connection: these times are about descriptors and bad clients, and cost no request taken.
IDLE = 2.1  # seconds that a client's connection may stand without a request
HEAD = 2.6  # seconds for the rest of a head whose first byte has come, where IDLE ends amid it
SLOW_HEAD = 0.6  # seconds after which a head that is not whole may make room for another connection
BODY = bodies.GRACE  # seconds for a short body to come
LOOK = 0.02  # seconds between looks for room in memory, while a body waits for it
MOST_HEAD = 4096  # bytes of a line or a field of a head
MOST_FIELDS = 64  # of a head: the protocol page's has nine
SILENT = 0.03  # seconds after which a connection that has not spoken may make room for another
REMEMBERED = 2.0  # seconds after its answer for which an id still counts as taken: each request has its own
READ = 0.001  # seconds until what has come is read: the loop reads before it looks at its timers
READ_BY = 0.1  # seconds in which an answer that has left is read: many round trips, and no setting tells
SWEEP = 0.05  # seconds between looks for idle connections while the front drains or leaves
DRAIN_SILENT = 0.3  # seconds for which a new connection may stand without a request while the front drains
CUT = web.ResponseKey("cut", bool)  # of an answer: its box did not give the whole of it
log = structlog.get_logger()


class HeadTooLongError(Exception):
    """A body that is longer than any that is taken."""


class ClientConnection(RequestHandler):
    """A client's connection: aiohttp's, and the guards that it lacks against clients that behave badly."""

    def __init__(self, front: HttpServer, **settings: Any) -> None:
        super().__init__(front.server, loop=front.core.loop, **settings)
        self.connections = front
        self.opened_at = self._loop.time()
        self.head_started_at = 0.0  # when the first byte of a message came whose head is not whole yet; 0: none has
        self.is_busy = self.is_request_complete = False  # a message is in hand; and nothing of it is still to come
        self.answer_timeout: asyncio.Timeout | None = None  # the request's, while it waits for its answer
        self.spared = False  # bytes that nobody had read kept it from being closed once

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        parting = ClosingTransport(transport, self, self.connections.parts, self.connections.parted)
        super().connection_made(parting)
        self.connections.idle[self] = self.opened_at

    def connection_lost(self, exc: BaseException | None) -> None:
        self.connections.forget(self)
        super().connection_lost(exc)

    def evictable(self) -> bool:
        """No request is on its way here as far as anyone can see."""
        return not self.head_started_at and self.transport is not None and not has_unread_bytes(self.transport)

    def gone(self) -> bool:
        """The client has closed, whether or not the loop has heard of it: no attempt may begin for it, and
        its request is withdrawn.
        """
        if self.transport is not None and is_ended(self.transport):
            self.transport.abort()
        return self.transport is None or self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        if self.is_request_complete:
            # Guards the box and the next request: what comes behind a request before its answer is no
            # message of this protocol, and may be hidden in a length that is wrong. Such a client is owed an
            # error or a close, and never an answer as though its request had run.
            if self.answer_timeout is None:  # an answer is passing on, or written
                self.force_close()
            elif not self.answer_timeout.expired():
                self.answer_timeout.reschedule(self._loop.time())
            return
        super().data_received(data)
        if self._messages:
            self.connections.spoke(self)
        elif not self.is_busy:
            self.head_started_at = self.head_started_at or self._loop.time()

    def crowded(self) -> bool:
        """More than the message in hand has come."""
        return bool(self._messages)

    def take(self) -> None:
        self.is_busy, self.head_started_at, self.spared = True, 0.0, False

    def give_back(self) -> None:
        self.is_busy = self.is_request_complete = False
        if self.transport is not None:
            self.connections.idle[self] = self._loop.time()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """The connection is idle only once the answer is written: none of those that look for idle ones may
        find it before.
        """
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self.give_back()

    def evict(self) -> None:
        """End an idle connection cleanly. Its descriptor is wanted at once, and nothing of it is unread."""
        self.connections.forget(self)
        transport = self.transport
        self.force_close()
        if isinstance(transport, ClosingTransport) and transport.is_flushed():
            transport.abort()
            self.connections.parted(transport)

    def part(self) -> None:
        """End an idle connection cleanly, whatever crosses the end: a client whose request does sees an end
        in order and no answer, and sends it again elsewhere (protocol page, Clients to fronts).
        """
        self.connections.forget(self)
        self.force_close()

    def _process_keepalive(self) -> None:
        """Close an idle connection, but let a head that has begun to come be read to its end, and bytes that
        have come in the turn of the loop in which it is due be read first.
        """
        rest = self.head_started_at + HEAD - self._loop.time() if self.head_started_at else 0.0
        if rest <= 0 and not self.spared and self.transport is not None and has_unread_bytes(self.transport):
            self.spared, rest = True, READ
        if rest > 0:
            self._keepalive_handle = self._loop.call_later(rest, self._process_keepalive)
        else:
            super()._process_keepalive()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """A message that cannot be read: aiohttp would log a trace for each, and clients may send floods."""
        if status == 500:
            log.error("answer_fault", exc_info=exc)
        response = web.Response(status=status, text="unreadable message\n")
        response.force_close()
        return response


class HttpServer:
    """One listener. ``handle`` is the whole life of a message."""

    def __init__(
        self,
        config: Config,
        core: Core,
        boxes: BackendPools,
        ready: Callable[[], bool],
        drain: FrontDrain | None = None,
    ) -> None:
        self.config, self.core, self.backends, self.is_ready = config, core, boxes, ready
        self.drain, self.metrics = drain or FrontDrain(), boxes.metrics
        self.sweeper: asyncio.TimerHandle | None = None
        self.max_clients = config.shares.clients
        self.last_answer_at, self.is_closing = math.inf, False
        self.body_memory = bodies.BodyMemory(config.body_bytes)
        self.server = web.Server(
            self.handle, request_factory=self.make_request, handler_cancellation=True
        )  # a client that closes is withdrawn
        self.clients: set[ClientConnection] = set()
        self.silent: dict[ClientConnection, None] = {}  # without a message so far, the oldest first
        self.idle: dict[
            ClientConnection, float
        ] = {}  # without a message in hand: since when, the longest first
        self.closing_transports: dict[ClosingTransport, float] = {}  # answered, not closed yet: since when
        self.trace_ids: set[str] = set()  # ids of open requests, and of those just over
        self.over: deque[tuple[float, str]] = deque()  # when to forget which of them
        self.listener: Listener | None = None
        self.address = config.listen

    def make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message, payload, protocol, writer, task, self.core.loop, client_max_size=bodies.UNRESERVED_BYTES
        )

    def listen(self) -> None:
        self.listener = Listener(
            self.address.host, self.address.port, self.has_capacity, self.make_connection, self.config.accept_fd
        )
        self.address = Address(*self.listener.socket.getsockname()[:2])  # where the port was 0

    def has_capacity(self) -> bool:
        """Whether one more connection has a place. At the bound the oldest that never spoke makes room, or
        else the longest idle; where a flood has just filled it, the kernel holds newcomers for an instant.
        """
        if len(self.clients) + len(self.closing_transports) < self.max_clients:
            return True
        before = self.core.loop.time() - SILENT
        for parting, since in self.closing_transports.items():
            if since <= before and parting.is_flushed():
                parting.abort()
                self.parted(parting)
                return True
        for one in [*self.silent, *self.idle]:
            if self.idle.get(one, one.opened_at) <= before and one.evictable():
                one.evict()
                return True
        slow = self.core.loop.time() - SLOW_HEAD
        for one in self.idle:  # a head may take its time while there is room
            if 0 < one.head_started_at <= slow and one.transport is not None and not has_unread_bytes(one.transport):
                one.evict()
                return True
        return False

    def make_connection(self) -> ClientConnection:
        client = ClientConnection(
            self,
            keepalive_timeout=IDLE,
            access_log=None,
            auto_decompress=False,
            lingering_time=0.0,
            max_line_size=MOST_HEAD,
            max_field_size=MOST_HEAD,
            max_headers=MOST_FIELDS,
        )
        self.clients.add(client)
        self.silent[client] = None
        return client

    def spoke(self, client: ClientConnection) -> None:
        """A message has come whole enough to be taken: the connection can't be evicted before its answer."""
        self.silent.pop(client, None)
        self.idle.pop(client, None)

    def forget(self, client: ClientConnection) -> None:
        self.clients.discard(client)
        self.spoke(client)

    def parts(self, transport: ClosingTransport) -> None:
        self.closing_transports[transport] = self.core.loop.time()

    def parted(self, transport: ClosingTransport) -> None:
        self.closing_transports.pop(transport, None)

    def open_connections(self) -> int:
        """Connections on which something may still be owed, and those whose answer may not be read yet: it
        has not left, or so lately that its reader had no time. Others hold up no exit.
        """
        late = self.core.loop.time() - READ_BY
        return len(self.clients) + sum(
            since > late or not parting.is_flushed() for parting, since in self.closing_transports.items()
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        client = request.protocol
        assert isinstance(client, ClientConnection)
        client.take()
        name = request.headers.get("X-Qos", "") if request.path == "/api" else ""
        counted = name in self.config.classes
        self.metrics.inflight += counted
        try:
            response = await self.answer(request, client)
            if counted:
                self.metrics.answered(name, 502 if response.get(CUT) else response.status)
        except Exception:  # aiohttp answers it with 500
            if counted:
                self.metrics.answered(name, 500)
            raise
        finally:
            self.metrics.inflight -= counted
            self.body_memory.release(client)
        if not response.prepared and self.ends(request, client):
            response.force_close()  # Connection: close
        return response

    def ends(self, request: web.BaseRequest, client: ClientConnection) -> bool:
        """Whether the connection ends with this answer.

        Guards against clients that ask once and keep their connection for good: they would soon hold all
        that clients can open, and the next find none. A close that the answer tells of crosses nothing.
        Only idle ones count: amid a storm of repeats, new connections would cost what the answers need.
        """
        crowded = len(self.idle) - len(self.silent) + 1 > self.config.shares.crowd  # with this one
        leaving = self.is_closing or self.drain.draining
        return crowded or leaving or not request.content.is_eof() or client.crowded()

    async def gather(self, request: web.BaseRequest, client: ClientConnection) -> list[bytes]:
        """The body in the pieces that came. It is read only as fast as there is room for it in memory."""
        pieces: list[bytes] = []
        size, began, waited, spared = 0, self.core.loop.time(), 0.0, False
        while True:
            limit = began + waited + bodies.body_timeout(size, BODY)
            try:
                async with asyncio.timeout_at(limit):
                    piece = await request.content.readany()
            except TimeoutError:
                await asyncio.sleep(READ)  # what has come in the same turn, or is unread, counts once
                piece = request.content.read_nowait()
                if spared or not (piece or request.content.is_eof()):
                    raise
                spared = True
            if not piece:
                return pieces
            size += len(piece)
            if size > self.body_memory.max_body:
                raise HeadTooLongError
            pieces.append(piece)
            while not self.body_memory.reserve(client, size):  # the client is held up meanwhile, and loses nothing
                await asyncio.sleep(LOOK)
                waited += LOOK

    async def answer(self, request: web.BaseRequest, client: ClientConnection) -> web.StreamResponse:
        path = request.path
        if path == "/up":
            return web.Response(status=200 if self.drain.says_up(self.is_ready()) else 503)
        if path != "/api":
            return web.Response(status=404)
        if request.method not in ("GET", "PUT"):
            return web.Response(status=405)
        if (request.content_length or 0) > self.body_memory.max_body:
            return web.Response(status=413)  # at once: none of it is read
        expects = request.headers.get("Expect", "").lower()
        if expects not in ("", "100-continue"):
            return web.Response(status=417)
        try:
            ask = decode_request(self.config, request.method, request.raw_path, request.headers, [])
            if request.body_exists:
                if expects:
                    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                    request.writer.output_size = 0  # it is no part of the answer
                ask.body = await self.gather(request, client)
            if ask.body and ask.method == "GET":
                msg = "Content-Length: a read has no body"
                raise MessageError(msg)
        except TimeoutError:
            return web.Response(status=408)
        except HeadTooLongError:
            return web.Response(status=413)
        except web.RequestPayloadError:
            return web.Response(status=400, text="unreadable body\n")
        except MessageError as error:
            if isinstance(error, IdempotencyKeyError):
                log.warning("key_refused", why=str(error))
            return web.Response(status=400, text=f"{error}\n")
        if client.crowded():
            return web.Response(status=400, text="one request at a time\n")
        client.is_request_complete = True
        came = self.core.now()  # the time of a request counts from its last byte
        while self.over and self.over[0][0] <= came:
            self.trace_ids.discard(self.over.popleft()[1])
        if ask.trace_id in self.trace_ids:  # passed on, it would run a request twice that is open, or just was
            return web.Response(status=400, text="X-Trace-Id: taken\n")
        self.trace_ids.add(ask.trace_id)
        try:
            return await self.schedule(ask, min(came + ask.max_wait, self.last_answer_at), request, client)
        finally:
            self.over.append((self.core.now() + REMEMBERED, ask.trace_id))

    async def schedule(
        self, ask: ClientRequest, deadline: float, request: web.BaseRequest, client: ClientConnection
    ) -> web.StreamResponse:
        """One request through the core: an attempt is one exchange with a box."""

        async def attempt(node: int, may: MayBegin) -> AttemptResult[bytes | StreamedBody]:
            until = deadline - ATTEMPT_MARGIN - self.core.offset
            return await self.backends.attempt(node, ask, until, lambda: may() and not client.gone())

        arrival = RequestArrived(
            request_id=self.core.new_id(),
            class_index=ask.class_index,
            plan_index=ask.plan_index,
            volume_id=ask.volume_id,
            item=ask.item,
            shard=ask.shard,
            units=ask.units,
            deadline=deadline,
            front_count=ask.front_count,
        )
        try:
            async with asyncio.timeout(None) as client.answer_timeout:
                served = await self.core.serve(arrival, attempt)
        except TimeoutError:  # more came behind it
            response = web.Response(status=400, text="one request at a time\n")
            response.force_close()
            return response
        finally:
            client.answer_timeout = None
        match served:
            case Served(StreamedBody() as body):
                return await self.pass_on(body, request, client)
            case Served(body):
                return web.Response(body=body)
            case Rejected(wait):
                advice = {"Retry-After": f"{wait:.3f}"} if wait > 0 else None
                return web.Response(status=503, headers=advice)
            case Failed():
                return web.Response(status=502)

    async def pass_on(
        self, body: StreamedBody, request: web.BaseRequest, client: ClientConnection
    ) -> web.StreamResponse:
        """A long answer, each piece as it comes. Where the box does not give the whole of it, the connection
        ends, so that the client can tell.
        """
        response = web.StreamResponse()
        if body.length is not None:
            response.content_length = body.length
        elif request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        if self.ends(request, client):
            response.force_close()
        try:
            await response.prepare(request)
            while piece := await body.read():
                await response.write(piece)
            await response.write_eof()
        except MalformedAnswerError as error:
            log.info("answer_cut", why=str(error))
            response[CUT] = True
            if request.transport:
                request.transport.abort()
        finally:
            body.close()
        return response

    def close_idle_connections(self) -> None:
        """While the front drains or leaves: no connection is kept idle, nor one that has not sent a request
        in time.
        """
        self.sweeper = None
        if not (self.drain.draining or self.is_closing):
            return
        before = self.core.loop.time() - DRAIN_SILENT
        for client in [*self.idle]:
            if (client not in self.silent or client.opened_at <= before) and client.evictable():
                client.part()
        self.sweeper = self.core.loop.call_later(SWEEP, self.close_idle_connections)

    def begin_drain(self) -> None:
        """The operators' drain: told from any thread, it acts on the loop."""
        self.drain.start()
        self.core.loop.call_soon_threadsafe(self.begin_sweep)

    def begin_sweep(self) -> None:
        if self.sweeper is None:
            self.close_idle_connections()

    def begin_shutdown(self, last: float) -> None:
        """The process is to end: all that is open, and what is taken from now on, is answered within so many
        seconds. Connections are kept while it still serves, as their clients could come back by no other.
        """
        self.last_answer_at = self.core.now() + last
        self.core.hurry(self.last_answer_at)

    def stop_accepting(self) -> None:
        """No new connections, no idle ones; what was taken is answered, each answer with its close. A message
        that has begun to come, or that nobody has read yet, is taken too. Not by ``web.Server.pre_shutdown``:
        after that the rest of a body that is on its way is never read.
        """
        self.is_closing = True  # from now on each answer says that its connection ends
        if self.listener:
            self.listener.close()
        self.begin_sweep()

    async def close(self) -> None:
        """Stop accepting, and wait for the last answer."""
        self.stop_accepting()
        while self.open_connections():
            await asyncio.sleep(0.02)
