"""aiohttp.web middleware: handlers run when and where the core says, under the same rules as the daemon.

``describe`` makes an ``api.Arrival`` of a request, or None for one that is not scheduled. The handler finds
its node in ``request[NODE]``; it may run again for a request only where nothing ran or its class allows that.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from cleatyoke.core import AttemptResult, Core, MayBegin, Rejected, Served
from cleatyoke.scheduling.events import AttemptOutcome, RequestArrived

NODE = web.RequestKey("node", int)


class NeverExecutedError(Exception):
    """Raised by a handler that is certain to have had no effect, such as one whose node turned it away."""


def scheduled(core: Core, describe: Callable[[web.Request], Awaitable[RequestArrived | None]]) -> Middleware:
    @web.middleware
    async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
        ask = await describe(request)
        if ask is None:
            return await handler(request)
        last: web.StreamResponse | None = None

        async def attempt(node: int, may: MayBegin) -> AttemptResult[web.StreamResponse]:
            nonlocal last
            if not may():
                return AttemptResult(AttemptOutcome.NOT_SENT)
            request[NODE] = node
            try:
                last = await handler(request)
            except NeverExecutedError:
                return AttemptResult(AttemptOutcome.QUEUE_FULL)
            except web.HTTPException as error:
                last = error
            begun = last.prepared  # what has begun to reach the client cannot be made anew
            return AttemptResult(
                AttemptOutcome.SERVED if last.status < 500 or begun else AttemptOutcome.ERROR, last
            )

        match await core.serve(ask, attempt):
            case Served(response) if response is not None:
                last = response
            case Rejected(wait):
                return web.Response(status=503, headers={"Retry-After": f"{wait:.3f}"} if wait > 0 else None)
        if isinstance(last, web.HTTPException):
            raise last
        return last or web.Response(status=502)

    return middleware
