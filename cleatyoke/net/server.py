"""The platform's front towards clients, on aiohttp's low-level server. It decides nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog
from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from cleatyoke import api
from cleatyoke.api import Outcome
from cleatyoke.config import Address, Config
from cleatyoke.core import ATTEMPT_MARGIN, Core, Failed, Refused, Served
from cleatyoke.net.boxes import Boxes
from cleatyoke.net.messages import MOST_BODY, Ask, BadMessage, decode_ask

IDLE = 75.0  # seconds that a client's connection may stand without a whole request
BODY = 5.0  # seconds for a body to come
SOCKETS_KEPT = 400  # descriptors kept for boxes, discovery, file commands and the process itself
OVERFLOW = 56  # connections beyond the bound that still get an answer, a 503
log = structlog.get_logger()


class TurnedAway(asyncio.Protocol):
    """A connection beyond every bound ends at once, before it can starve those to the boxes."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()


class Front:
    """One listener. ``handle`` is the whole life of a message."""

    def __init__(self, config: Config, core: Core, boxes: Boxes, ready: Callable[[], bool]) -> None:
        self.config, self.core, self.boxes, self.ready = config, core, boxes, ready
        self.most_connections = max(8, config.sockets - SOCKETS_KEPT)
        self.leaving = False
        self.server = web.Server(
            self.handle,
            request_factory=self.make_request,
            handler_cancellation=True,  # a client that closes is withdrawn
            keepalive_timeout=IDLE,
            access_log=None,
            auto_decompress=False,
        )
        self.listener: asyncio.Server | None = None
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
            message, payload, protocol, writer, task, self.core.loop, client_max_size=MOST_BODY
        )

    async def listen(self) -> None:
        host, port = self.address.host, self.address.port
        self.listener = await self.core.loop.create_server(self.admit, host, port, backlog=512)
        self.address = Address(*self.listener.sockets[0].getsockname()[:2])  # where the port was 0

    def admit(self) -> asyncio.Protocol:
        if len(self.server.connections) >= self.most_connections + OVERFLOW:
            return TurnedAway()
        return self.server()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        response = await self.answer(request)
        if self.leaving or len(self.server.connections) > self.most_connections:
            response.force_close()  # Connection: close
        return response

    async def answer(self, request: web.BaseRequest) -> web.Response:
        came = self.core.now()
        path = request.path
        if path == "/up":
            return web.Response(status=200 if self.ready() else 503)
        if path != "/api" or not request.raw_path.startswith("/"):  # no absolute form: it is no proxy
            return web.Response(status=404)
        if request.method not in ("GET", "PUT"):
            return web.Response(status=405)
        try:
            async with asyncio.timeout(BODY):
                body = await request.read() if request.body_exists else b""
            ask = decode_ask(self.config, request.method, request.raw_path, request.headers, body)
        except TimeoutError:
            return web.Response(status=408)
        except web.HTTPRequestEntityTooLarge:
            return web.Response(status=413)
        except BadMessage as error:
            return web.Response(status=400, text=f"{error}\n")
        if len(self.server.connections) > self.most_connections:
            log.warning("too_many_connections", most=self.most_connections)
            return web.Response(status=503)
        return await self.schedule(ask, came + ask.wait)

    async def schedule(self, ask: Ask, deadline: float) -> web.Response:
        """One request through the core: an attempt is one exchange with a box."""

        async def attempt(node: int) -> tuple[Outcome, bytes | None]:
            return await self.boxes.attempt(node, ask, deadline - ATTEMPT_MARGIN - self.core.now())

        arrival = api.Arrival(
            request=self.core.new_id(),
            class_index=ask.class_index,
            plan=ask.plan,
            volume=ask.volume,
            item=ask.item,
            cell=ask.cell,
            units=ask.units,
            deadline=deadline,
            hosts=ask.hosts,
        )
        match await self.core.serve(arrival, attempt):
            case Served(body):
                return web.Response(body=body)
            case Refused(wait):
                advice = {"Retry-After": f"{wait:.3f}"} if wait > 0 else None
                return web.Response(status=503, headers=advice)
            case Failed():
                return web.Response(status=502)

    def leave(self) -> None:
        """From now on each answer says that its connection ends."""
        self.leaving = True

    async def close(self) -> None:
        """No new connections, no idle ones; then all that was taken is answered."""
        self.server.pre_shutdown()
        if self.listener:
            self.listener.close()
        while any(not transport.is_closing() for transport in self.transports()):
            await asyncio.sleep(0.02)

    def transports(self) -> list[asyncio.Transport]:
        return [one.transport for one in self.server.connections if one.transport is not None]
