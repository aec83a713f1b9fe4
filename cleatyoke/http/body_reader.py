"""Reads a client's request body within its time limit, only as fast as the front has memory for it."""

from __future__ import annotations

import asyncio
from collections.abc import Hashable

from aiohttp import StreamReader

from cleatyoke.http.body_limits import BODY_GRACE, BodyMemory, body_timeout

BODY_TIMEOUT = BODY_GRACE  # seconds for a short body to come
READ_DELAY = 0.001  # seconds until received bytes are read: the loop reads before it runs its timers
MEMORY_POLL_INTERVAL = 0.02  # seconds until memory is asked for again, while a body waits for it


class BodyTooLongError(Exception):
    """A body is longer than any that is accepted."""


async def read_body(content: StreamReader, memory: BodyMemory, owner: Hashable) -> list[bytes]:
    """Return the body in the pieces that came, with their memory reserved for ``owner``.

    Raises ``TimeoutError`` where the body comes too slowly (see ``body_timeout``) and ``BodyTooLongError``.
    While the memory is short, nothing more is read: TCP flow control holds the client up, and that time does
    not count against it.
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
            # Prevents a lost body: what came in the same turn of the loop, or is unread, counts once.
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
