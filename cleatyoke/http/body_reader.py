"""Reads request bodies within their timeout, paced by the memory available for them."""

from __future__ import annotations

import asyncio
from collections.abc import Hashable

from aiohttp import StreamReader

from cleatyoke.http.body_limits import BODY_GRACE, BodyMemory, body_timeout

BODY_TIMEOUT = BODY_GRACE  # seconds for a short body to arrive
READ_DELAY = 0.001  # seconds until received bytes are read: the loop reads sockets before it runs timers
MEMORY_POLL_INTERVAL = 0.02  # seconds between attempts to reserve memory


class BodyTooLongError(Exception):
    """A body exceeds the longest accepted one."""


async def read_body(content: StreamReader, memory: BodyMemory, owner: Hashable) -> list[bytes]:
    """Return the body in pieces as received, with their memory reserved for ``owner``.

    Raises ``TimeoutError`` if the body arrives too slowly (see ``body_timeout``) and ``BodyTooLongError``.
    While memory is short, nothing more is read: TCP flow control stops the client, and the time spent waiting
    does not count against it.
    """
    pieces: list[bytes] = []
    size = 0
    began = asyncio.get_running_loop().time()
    waited = 0.0
    extension_used = False
    while True:
        limit = began + waited + body_timeout(size, BODY_TIMEOUT)
        try:
            async with asyncio.timeout_at(limit):
                piece = await content.readany()
        except TimeoutError:
            # Bytes received in the same loop iteration as the timeout, or still unread, extend it once.
            await asyncio.sleep(READ_DELAY)
            piece = content.read_nowait()
            if extension_used or not (piece or content.is_eof()):
                raise
            extension_used = True
        if not piece:
            return pieces
        size += len(piece)
        if size > memory.max_body:
            raise BodyTooLongError
        pieces.append(piece)
        while not memory.reserve(owner, size):
            await asyncio.sleep(MEMORY_POLL_INTERVAL)
            waited += MEMORY_POLL_INTERVAL
