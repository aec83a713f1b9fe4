"""aiohttp.web middleware that schedules an application's requests by the same rules as the daemon.

A handler reads the id of its node from ``request[NODE]``. It is run again for the same request only if the
earlier run had no effect, or the request class allows retries.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from cleatyoke.core import AttemptResult, Core, MayBegin, Rejected, Served
from cleatyoke.scheduling.events import AttemptOutcome, RequestArrived

NODE = web.RequestKey("node", int)
DescribeRequest = Callable[[web.Request], Awaitable[RequestArrived | None]]


class NeverExecutedError(Exception):
    """Raised by a handler whose request certainly had no effect, for example if the node rejected it."""


def scheduled(core: Core, describe: DescribeRequest) -> Middleware:
    """Return a middleware that lets ``core`` schedule the requests of an application.

    ``describe`` returns the ``RequestArrived`` for a request, or ``None`` to handle it at once without
    scheduling. Rejected requests are answered 503, with ``Retry-After`` in seconds if known; failed ones with
    the response of their last attempt, or 502 if there is none.
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
    has_begun = response.prepared  # a response that is already being sent to the client cannot be retried
    return AttemptOutcome.SERVED if response.status < 500 or has_begun else AttemptOutcome.ERROR
