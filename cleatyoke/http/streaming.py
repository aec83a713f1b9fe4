"""Forwards a long answer to its client piece by piece, so that it is never in memory as a whole."""

from __future__ import annotations

import structlog
from aiohttp import HttpVersion11, web

from cleatyoke.http.backend_connection import StreamedBody
from cleatyoke.http.messages import MalformedAnswerError

IS_CUT = web.ResponseKey("is_cut", bool)  # of a response: its backend did not give all of the body
log = structlog.get_logger()


async def forward_streamed_body(
    body: StreamedBody, request: web.BaseRequest, *, closes_connection: bool
) -> web.StreamResponse:
    """Answer 200 with the body, each piece as it comes, and close ``body``.

    Where the backend does not give all of it, the client's connection is aborted and the response carries
    ``IS_CUT``: the status line has been sent, so an incomplete message is the only way left to tell the
    client (RFC 9112, section 8).
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
    except MalformedAnswerError as error:
        log.info("answer_cut", why=str(error))
        response[IS_CUT] = True
        if request.transport:
            request.transport.abort()
    finally:
        body.close()
    return response
