"""aiohttp.web middleware: handlers run when and where the core says, under the same rules as the daemon.

A handler finds its node in ``request[NODE]``; it may run again for a request only where nothing was
executed or its class allows that.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from cleatyoke.core import AttemptResult, Core, MayBegin, Rejected, Served
from cleatyoke.scheduling.events import AttemptOutcome, RequestArrived

NODE = web.RequestKey("node", int)
Describe = Callable[[web.Request], Awaitable[RequestArrived | None]]


class NeverExecutedError(Exception):
    """Raised by a handler that is certain to have had no effect, such as one whose node rejected it."""


def scheduled(core: Core, describe: Describe) -> Middleware:
    """Return a middleware that lets ``core`` schedule the requests of an application.

    ``describe`` makes a ``RequestArrived`` of a request, or ``None`` for one that is not scheduled, and is
    then handled at once. A rejected request is answered 503, with ``Retry-After`` in seconds where one is
    known; one that failed has the answer of its last attempt, or 502.
    """

    @web.middleware
    async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
        arrival = await describe(request)
        if arrival is None:
            return await handler(request)
        last: web.StreamResponse | None = None

        async def attempt(node_id: int, may_begin: MayBegin) -> AttemptResult[web.StreamResponse]:
            nonlocal last
            if not may_begin():
                return AttemptResult(AttemptOutcome.NOT_SENT)
            request[NODE] = node_id
            try:
                last = await handler(request)
            except NeverExecutedError:
                return AttemptResult(AttemptOutcome.QUEUE_FULL)
            except web.HTTPException as error:
                last = error
            return AttemptResult(_outcome(last), last)

        match await core.serve(arrival, attempt):
            case Served(response) if response is not None:
                last = response
            case Rejected(retry_after):
                headers = {"Retry-After": f"{retry_after:.3f}"} if retry_after > 0 else None
                return web.Response(status=503, headers=headers)
        if isinstance(last, web.HTTPException):
            raise last
        return last or web.Response(status=502)

    return middleware


def _outcome(response: web.StreamResponse) -> AttemptOutcome:
    has_begun = response.prepared  # what has begun to reach the client cannot be made anew
    return AttemptOutcome.SERVED if response.status < 500 or has_begun else AttemptOutcome.ERROR
