"""The front's HTTP server for clients: from an accepted connection to a written response.

It makes no scheduling decisions: whether a request is rejected, when it is sent and to which backend is
decided by the scheduler, through ``Core.serve``. A request passes through ``HttpServer._handle`` (metrics),
``_respond`` (checks that need no body), ``_read_request`` (head and body) and ``_schedule`` (attempts at
backends).
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from functools import partial

import structlog
from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from cleatyoke.config.addresses import Address
from cleatyoke.config.deployment import Config
from cleatyoke.core import ATTEMPT_MARGIN, AttemptResult, Core, Failed, MayBegin, Rejected, Served
from cleatyoke.http.answer_sizes import AnswerSizes
from cleatyoke.http.backends import BackendPools
from cleatyoke.http.body_limits import BodyMemory
from cleatyoke.http.body_reader import BodyDelayedError, BodyMemoryError, BodyReader, BodyTooLongError
from cleatyoke.http.client_connection import ClientConnection
from cleatyoke.http.client_connections import ClientConnections
from cleatyoke.http.messages import Header, IdempotencyKeyError, MessageError
from cleatyoke.http.request_head import BodyKind
from cleatyoke.http.requests import ClientRequest, decode_request
from cleatyoke.http.response_wait import ANSWER_GRACE, AwaitedRequest, ResponseWait
from cleatyoke.http.streamed_body import StreamedBody
from cleatyoke.http.streaming import IS_TRUNCATED, forward_streamed_body
from cleatyoke.http.trace_ids import TraceIds
from cleatyoke.limits.limit_shares import LimitUse
from cleatyoke.limits.memory_budget import UNRESERVED_BYTES, MemoryBudget
from cleatyoke.limits.memory_pool import MemoryPool
from cleatyoke.process.front_drain import FrontDrain
from cleatyoke.scheduling.events import RequestArrived
from cleatyoke.transport.listener import Listener

# Paths and methods of the protocol page, Clients to fronts.
API_PATH = "/api"
READINESS_PATH = "/up"
METHODS = ("GET", "PUT")
IDLE_CHECK_INTERVAL = 0.05  # seconds between checks for idle connections during a drain or a shutdown
CLOSE_POLL_INTERVAL = 0.02  # seconds between checks whether the last response has been read
MEMORY_LOG_INTERVAL = 1.0  # seconds between log lines on requests that were rejected for lack of memory
_UNACCEPTABLE_REQUEST = (
    TimeoutError,
    BodyTooLongError,
    BodyDelayedError,
    web.RequestPayloadError,
    MessageError,
)
log = structlog.get_logger()


class HttpServer:
    """A listener and the requests received on its connections.

    ``is_ready`` returns whether the front could serve (``GET /up``); ``drain`` is the operators' drain of
    this front. A client that closes its connection cancels its request.
    """

    def __init__(
        self,
        config: Config,
        core: Core,
        backends: BackendPools,
        is_ready: Callable[[], bool],
        drain: FrontDrain | None = None,
    ) -> None:
        self.config = config
        self.core = core
        self.backends = backends
        self.is_ready = is_ready
        self.drain = drain or FrontDrain()
        self.metrics = backends.metrics
        memory = config.memory
        self.body_memory = BodyMemory(
            memory.long_bodies, memory.max_upload, memory.short_bodies, memory.upload_headroom
        )
        self.answers = MemoryPool(config.memory.answers)
        backends.answers = self.answers  # its connections and the server hold parts of the same answers
        backends.response_read_bytes = memory.response_read_bytes
        self.metrics.held_bytes["answers"] = lambda: self.answers.used
        self.metrics.held_bytes["bodies"] = lambda: self.body_memory.held_bytes()
        self.connections = ClientConnections(core.loop, memory)
        self.connections.on_rejected = self._count_rejected
        # Where the platform holds the listening socket, an upgrade's two processes serve the same clients.
        shared_folder = None if config.accept_fd is None else config.state_dir
        self.trace_ids = TraceIds(memory.trace_ids, shared_folder)
        self.is_closing = False
        self.listener: Listener | None = None
        self.address = config.listen
        self._answer_sizes: defaultdict[int, AnswerSizes] = defaultdict(AnswerSizes)  # by class
        self._streams = 0  # answers that are being forwarded as they arrive
        self._logged_at: dict[str, float] = {}  # loop time by event
        self._responses_due_at: float | None = None  # Unix time, during a shutdown
        self._idle_check_timer: asyncio.TimerHandle | None = None
        self._manager = web.Server(
            self._handle, request_factory=self._make_request, handler_cancellation=True
        )

    # Limits.

    def resize(self, memory: MemoryBudget, max_backends: int) -> None:
        """Replace the limits; what is held beyond them is kept until its request ends."""
        self.body_memory.resize(
            memory.long_bodies, memory.max_upload, memory.short_bodies, memory.upload_headroom
        )
        self.answers.total = memory.answers
        self.connections.resize(memory)
        self.backends.resize(max_backends, memory.response_read_bytes)

    def limit_use(self) -> LimitUse:
        """Return what the server holds."""
        connections, bodies = self.connections, self.body_memory
        requests = connections.open_requests
        return LimitUse(
            clients=len(connections.clients) + len(connections.closing),
            open_requests=len(requests),
            open_short_bodies=requests.count(BodyKind.SHORT),
            open_long_bodies=requests.count(BodyKind.LONG),
            heads=connections.heads.used,
            short_bodies=bodies.used_short_bytes(),
            long_bodies=bodies.used_long_bytes(),
            answers=self.answers.used,
            backends=self.backends.open_connections,
        )

    # Connections.

    def listen(self) -> None:
        """Bind the listener and accept connections; sets the port in ``address`` if the settings say 0."""
        self.listener = Listener(
            self.address.host,
            self.address.port,
            self.connections.has_capacity,
            self.make_connection,
            self.config.accept_fd,
        )
        self.address = Address(*self.listener.socket.getsockname()[:2])

    def make_connection(self) -> ClientConnection:
        """Create the protocol of an accepted connection."""
        client = ClientConnection(self._manager, self.connections, self.core.loop)
        self.connections.add(client)
        return client

    def open_connections(self) -> int:
        """Return the number of connections with pending responses, which a shutdown waits for."""
        return self.connections.count_pending_responses()

    def _closes_after_response(self, request: web.BaseRequest, client: ClientConnection) -> bool:
        """Return whether to close the connection with this response (``Connection: close``).

        Otherwise clients that send one request and keep their connection would soon hold all that may be
        open, and new clients would starve. Closing with a response cannot race with the client's next
        request, as closing an idle connection can. Only idle connections count towards the limit: during a
        retry storm, reconnecting would take the capacity that the responses need.
        """
        # One more, as this connection becomes idle too.
        max_idle = min(self.config.socket_budget.max_idle_clients, self.config.memory.idle_clients)
        over_idle_limit = self.connections.count_served_idle() + 1 > max_idle
        is_draining = self.is_closing or self.drain.draining
        return (
            over_idle_limit or is_draining or not request.content.is_eof() or client.has_pipelined_messages()
        )

    # Requests.

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message, payload, protocol, writer, task, self.core.loop, client_max_size=UNRESERVED_BYTES
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, update the metrics of its class, and free the memory of its body."""
        client = request.protocol
        assert isinstance(client, ClientConnection)
        client.begin_request()
        class_name = request.headers.get(Header.CLASS, "") if request.path == API_PATH else ""
        is_counted = class_name in self.config.classes
        self.metrics.in_flight += is_counted
        try:
            response = await self._respond(request, client)
            if is_counted:
                self.metrics.count_answer(class_name, 502 if response.get(IS_TRUNCATED) else response.status)
        except Exception:  # aiohttp responds with 500
            if is_counted:
                self.metrics.count_answer(class_name, 500)
            raise
        finally:
            self.metrics.in_flight -= is_counted
            self.body_memory.release(client)
        if not response.prepared and self._closes_after_response(request, client):
            response.force_close()
        return response

    async def _respond(self, request: web.BaseRequest, client: ClientConnection) -> web.StreamResponse:
        if request.path == READINESS_PATH:
            return web.Response(status=200 if self.drain.is_up(self.is_ready()) else 503)
        rejection = self._rejection_status(request)
        if rejection is not None:
            return web.Response(status=rejection)
        try:
            decoded = await self._read_request(request, client)
        except _UNACCEPTABLE_REQUEST as error:
            if isinstance(error, BodyMemoryError):
                self._log_lack_of_memory()
            return _error_response(error)
        if client.has_pipelined_messages():
            return web.Response(status=400, text="one request at a time\n")
        client.is_request_complete = True
        arrived_at = self.core.now()  # a request's time limit counts from its last byte
        if not self.trace_ids.add(decoded.trace_id, self.core.loop.time()):
            if self._may_log("trace_id_taken"):
                log.info("trace_id_taken", trace=decoded.trace_id)
            return web.Response(status=400, text="X-Trace-Id: taken\n")
        deadline = arrived_at + decoded.max_wait
        if self._responses_due_at is not None:
            deadline = min(deadline, self._responses_due_at)
        try:
            return await self._schedule(decoded, deadline, request, client)
        finally:
            self.trace_ids.release(decoded.trace_id, self.core.loop.time())

    def _rejection_status(self, request: web.BaseRequest) -> int | None:
        """Return the status with which to reject a request without reading its body, or None."""
        if request.path != API_PATH:
            return 404
        if request.method not in METHODS:
            return 405
        if (request.content_length or 0) > self.body_memory.longest_body:
            return 413
        if request.headers.get("Expect", "").lower() not in ("", "100-continue"):
            return 417
        # Beside another process the share of the memory may be too small for a moment.
        if (request.content_length or 0) > self.body_memory.max_body:
            return 503
        return 503 if self.answers.is_exhausted else None

    async def _read_request(self, request: web.BaseRequest, client: ClientConnection) -> ClientRequest:
        decoded = decode_request(self.config, request.method, request.raw_path, request.headers, [])
        if request.body_exists:
            if request.headers.get("Expect"):  # RFC 9110, section 10.1.1
                await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                request.writer.output_size = 0  # it is not part of the final response
            reader = BodyReader(request.content, self.body_memory, client, decoded.max_wait, client.open_wait)
            body = await reader.read(request.content_length)
            decoded.body = body.pieces
            decoded.max_wait -= body.lag  # the client may have written its last byte that long ago
        else:
            decoded.max_wait -= client.open_wait
        if decoded.body and decoded.method == "GET":
            msg = "Content-Length: a read has no body"
            raise MessageError(msg)
        return decoded

    async def _schedule(
        self, decoded: ClientRequest, deadline: float, request: web.BaseRequest, client: ClientConnection
    ) -> web.StreamResponse:
        """Serve one request through the core; ``deadline`` is a Unix time."""

        async def attempt(node: int, may_begin: MayBegin) -> AttemptResult[bytes | StreamedBody]:
            not_after = deadline - ATTEMPT_MARGIN - self.core.unix_offset
            wait = ResponseWait(
                not_after,
                awaited,
                may_retry=self.core.may_retry(arrival),
                on_begun=partial(self.core.note_answer_begun, arrival.request_id),
                may_forward=lambda: self._outlasts_answers_due_at(deadline + ANSWER_GRACE),
            )

            def may_send() -> bool:
                if not may_begin() or client.abort_if_client_gone():
                    return False
                self.trace_ids.mark_sent(decoded.trace_id, self.core.loop.time())
                return True

            return await self.backends.attempt(node, decoded, wait, may_send)

        request_id = self.core.new_id()
        awaited = AwaitedRequest(
            decoded.trace_id,
            self._answer_sizes[decoded.class_index],
            partial(self.core.note_answer_forwarded, request_id),
        )
        arrival = RequestArrived(
            request_id=request_id,
            class_index=decoded.class_index,
            plan_index=decoded.plan_index,
            volume_id=decoded.volume_id,
            item=decoded.item,
            shard=decoded.shard,
            units=decoded.units,
            deadline=deadline,
            front_count=decoded.front_count,
        )
        try:
            async with asyncio.timeout(None) as client.response_timeout:
                served = await self.core.serve(arrival, attempt)
        except TimeoutError:  # bytes followed the request: see ClientConnection.data_received
            response = web.Response(status=400, text="one request at a time\n")
            response.force_close()
            return response
        finally:
            client.response_timeout = None
        decoded.body = []  # not needed any more, while a slow client may take long for its answer
        self.body_memory.release(client)
        match served:
            case Served(StreamedBody() as body):
                return await self._forward(body, request, client)
            case Served(body):
                assert not isinstance(body, StreamedBody)
                client.hold_answer(len(body or b""), self.answers)
                return web.Response(body=body)
            case Rejected(wait):
                retry_headers = {"Retry-After": f"{wait:.3f}"} if wait > 0 else None
                return web.Response(status=503, headers=retry_headers)
            case Failed():
                return web.Response(status=502)

    async def _forward(
        self, body: StreamedBody, request: web.BaseRequest, client: ClientConnection
    ) -> web.StreamResponse:
        """Forward a long answer, or fail the request if too many are being forwarded.

        Each holds an open request for as long as its backend or its client likes, so a part of the open
        requests is left to short answers.
        """
        if self._streams >= self.config.memory.max_streams() and not body.is_short:
            body.close()
            if self._may_log("stream_refused"):
                log.warning("stream_refused", streams=self._streams)
            return web.Response(status=502)
        self._streams += 1
        try:
            closes = self._closes_after_response(request, client)
            return await forward_streamed_body(body, request, self.answers, closes_connection=closes)
        finally:
            self._streams -= 1

    def _outlasts_answers_due_at(self, unix_time: float) -> bool:
        """Return whether the process still forwards answers at that time."""
        return self._responses_due_at is None or unix_time <= self._responses_due_at

    def _count_rejected(self, class_name: str) -> None:
        """Count and log a request that was rejected before it was open."""
        if class_name in self.config.classes:
            self.metrics.count_answer(class_name, 503)
        if self._may_log("request_not_opened"):
            requests = self.connections.open_requests
            log.warning("request_not_opened", open=len(requests), waiting=requests.waiting_count)

    def _log_lack_of_memory(self) -> None:
        if self._may_log("body_memory_exhausted"):
            held, waiting = self.body_memory.held_bytes(), len(self.body_memory.waiting)
            log.warning("body_memory_exhausted", held=held, waiting=waiting)

    def _may_log(self, event: str) -> bool:
        """Return whether to log an event that may be frequent: at most once in ``MEMORY_LOG_INTERVAL``."""
        now = self.core.loop.time()
        if now - self._logged_at.get(event, -MEMORY_LOG_INTERVAL) < MEMORY_LOG_INTERVAL:
            return False
        self._logged_at[event] = now
        return True

    # Drain and shutdown.

    def begin_drain(self) -> None:
        """Begin the operators' drain of this front; thread-safe."""
        self.drain.start()
        self.core.loop.call_soon_threadsafe(self._start_idle_checks)

    def begin_shutdown(self, max_duration: float) -> None:
        """Answer all requests, open and new, within ``max_duration`` seconds.

        Connections are kept while the front still accepts, as their clients may have no other front to use.
        """
        self._responses_due_at = self.core.now() + max_duration
        self.core.begin_shutdown(self._responses_due_at)

    def stop_accepting(self) -> None:
        """Close the listener and idle connections; close the others with their responses.

        Requests that are partly received or still unread are answered too. ``web.Server.pre_shutdown`` is not
        used, as after it the rest of a partly received body is never read, and its request would fail.
        """
        self.is_closing = True
        if self.listener:
            self.listener.close()
        self._start_idle_checks()

    async def close(self) -> None:
        """Stop accepting, and wait until the last response has been delivered."""
        self.stop_accepting()
        while self.open_connections():  # noqa: ASYNC110  there is no event for a response having been read
            await asyncio.sleep(CLOSE_POLL_INTERVAL)

    def _start_idle_checks(self) -> None:
        if self._idle_check_timer is None:
            self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close idle connections, now and periodically, while the front drains or shuts down."""
        self._idle_check_timer = None
        if not (self.drain.draining or self.is_closing):
            return
        self.connections.close_idle()
        self._idle_check_timer = self.core.loop.call_later(IDLE_CHECK_INTERVAL, self.close_idle_connections)


def _error_response(error: Exception) -> web.Response:
    """Return the response to a request whose head or body cannot be accepted."""
    if isinstance(error, TimeoutError):
        return web.Response(status=408)
    if isinstance(error, BodyTooLongError):
        return web.Response(status=413)
    if isinstance(error, BodyDelayedError):
        return web.Response(status=503)
    if isinstance(error, web.RequestPayloadError):
        return web.Response(status=400, text="unreadable body\n")
    if isinstance(error, IdempotencyKeyError):
        log.warning("key_refused", reason=str(error))
    return web.Response(status=400, text=f"{error}\n")
