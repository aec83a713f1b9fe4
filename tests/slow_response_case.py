"""A front whose backend writes its responses in parts, with pauses between them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from tests.http_case import FrontCase

CHUNKED = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
UNTIL_CLOSE = b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
GRACE = 0.5  # seconds that the standing test grants a final answer beyond its client's wait
USUAL_INTERVAL = 0.05  # seconds between two usual requests
Part = float | bytes  # seconds of silence, or bytes; empty bytes close the connection


def chunk(size: int) -> bytes:
    return b"%x\r\n%b\r\n" % (size, bytes(size))


def with_length(size: int) -> bytes:
    return b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % size


def in_both_framings(parts: list[float | int]) -> dict[str, list[Part]]:
    """Return the parts, seconds of silence or sizes, as a response in chunks and as one up to the close."""
    return {
        "chunked": [
            CHUNKED,
            *[part if isinstance(part, float) else chunk(part) for part in parts],
            LAST_CHUNK,
        ],
        "close": [UNTIL_CLOSE, *[part if isinstance(part, float) else bytes(part) for part in parts], b""],
    }


async def play(parts: list[Part]) -> AsyncIterator[bytes]:
    for part in parts:
        if isinstance(part, float):
            await asyncio.sleep(part)
        else:
            yield part


@dataclass(frozen=True)
class ReceivedAnswer:
    """What a client received: ``begun``, ``ended``: seconds after it sent its request."""

    status: bytes
    size: int
    is_whole: bool
    begun: float
    ended: float


class SlowResponseCase(FrontCase):
    async def start_playing(self, choose: Callable[[str, int], list[Part]]) -> None:
        """``choose`` returns the parts of the response by trace id and number of the attempt, from 1."""

        async def script(trace: str) -> AsyncIterator[bytes]:
            return play(choose(trace, self.backend.counts[trace]))

        await self.start_front(script)

    async def read_answer(self, trace: str, wait: float = 0.4) -> ReceivedAnswer:
        """Send a read with ``wait`` seconds and return its answer."""
        milliseconds = b"%d" % round(wait * 1000)
        return await self.receive_answer(self.request_head(trace).replace(b"1500", milliseconds))

    async def receive_answer(self, *request: bytes) -> ReceivedAnswer:
        loop = asyncio.get_running_loop()
        reader, writer = await self.connect(*request)
        sent_at, received, is_whole = loop.time(), 0, False
        async with asyncio.timeout(15):
            head = await reader.readuntil(b"\r\n\r\n")
            begun = loop.time() - sent_at
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                if b"Content-Length: " in head:
                    length = int(head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0])
                    received = len(await reader.readexactly(length))
                    is_whole = True
                while not is_whole:
                    size = int(await reader.readuntil(b"\r\n"), 16)
                    received += len(await reader.readexactly(size + 2)) - 2
                    is_whole = size == 0
        writer.close()
        return ReceivedAnswer(head[9:12], received, is_whole, begun, loop.time() - sent_at)

    async def send_usual_requests(self) -> None:
        """Send short requests to the same backend until cancelled; each has to be served."""
        number = 0
        while True:
            assert await self.send_request(f"usual-{number}") == (200, b"tile")
            number += 1
            await asyncio.sleep(USUAL_INTERVAL)
