"""Streams long response bodies to clients without buffering them as a whole."""

from __future__ import annotations

import structlog
from aiohttp import HttpVersion11, web

from cleatyoke.http.backend_connection import StreamedBody
from cleatyoke.http.messages import MalformedResponseError

IS_TRUNCATED = web.ResponseKey("is_truncated", bool)  # the backend did not deliver the whole body
log = structlog.get_logger()


async def forward_streamed_body(
    body: StreamedBody, request: web.BaseRequest, *, closes_connection: bool
) -> web.StreamResponse:
    """Respond 200 with the body, forwarding each piece as it is received, and close ``body``.

    If the backend does not deliver all of it, the client's connection is aborted and ``IS_TRUNCATED`` is set
    on the response: the status line has been sent, so an incomplete message is the only way left to signal
    the failure to the client (RFC 9112, section 8).
    """
    response = web.StreamResponse()
    if body.length is not None:
        response.content_length = body.length
    elif request.version >= HttpVersion11:
        response.enable_chunked_encoding()
    if closes_connection:
        response.force_close()
    try:
        await response.prepare(request)
        while piece := await body.read():
            await response.write(piece)
        await response.write_eof()
    except MalformedResponseError as error:
        log.info("answer_cut", reason=str(error))
        response[IS_TRUNCATED] = True
        if request.transport:
            request.transport.abort()
    finally:
        body.close()
    return response
