"""Long answers, which are forwarded piece by piece."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import pytest

from tests.http_case import (
    FrontCase,
)
from tests.scripted_peers import answer

MEGABYTE = 1 << 20


class StreamingTests(FrontCase):
    body = random.Random(1).randbytes(3 * MEGABYTE)

    async def head_of(self, reader: asyncio.StreamReader) -> bytes:
        return await reader.readuntil(b"\r\n\r\n")

    async def test_a_long_answer_is_forwarded_completely_in_each_framing(self) -> None:
        body = self.body

        async def script(trace: str) -> AsyncIterator[bytes]:
            async def pieces() -> AsyncIterator[bytes]:
                if trace in ("closes", "closes-short"):
                    yield b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n"
                    yield body if trace == "closes" else body[:9]
                    yield b""
                elif trace == "chunked":
                    yield b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
                    for start in range(0, len(body), 50_000):
                        part = body[start : start + 50_000]
                        yield b"%x;x=1\r\n%s\r\n" % (len(part), part)
                    yield b"0\r\nX-Trailer: 1\r\n\r\n"
                else:
                    yield answer(200, body)

            return pieces()

        await self.start_front(script)
        for trace in ("a", "chunked", "b", "c"):
            assert await self.send_request(trace) == (200, body), trace
            await asyncio.sleep(0.05)  # a connection is not reused at once
        assert (self.backend.accepted, self.backends.open_connections) == (1, 1)
        assert await self.send_request("closes") == (200, body)
        assert await self.send_request("closes-short") == (200, body[:9])

    async def test_first_bytes_are_forwarded_before_the_last_have_come_and_after_the_deadline(self) -> None:
        body, release = self.body, asyncio.Event()

        async def script(_trace: str) -> AsyncIterator[bytes]:
            async def pieces() -> AsyncIterator[bytes]:
                whole = answer(200, body)
                yield whole[:200_000]
                await release.wait()
                yield whole[200_000:]

            return pieces()

        await self.start_front(script)
        reader, writer = await self.connect(self.request_head("t").replace(b"1500", b"300"))
        async with asyncio.timeout(2):
            assert b"%d" % len(body) in await self.head_of(reader)
            assert await reader.readexactly(100000) == body[:100000]
        await asyncio.sleep(0.4)  # past the request's time: what has begun goes on
        release.set()
        async with asyncio.timeout(5):
            assert await reader.readexactly(len(body) - 100000) == body[100000:]
        writer.close()
        assert self.backend.counts["t"] == 1

    async def test_an_answer_that_breaks_off_ends_its_clients_connection_and_is_a_failure(self) -> None:
        """A backend's connection ends amid a long answer whose head has been forwarded.

        The client must be able to tell: its connection ends before the length it was told, and the request
        counts as failed.
        """

        async def script(_trace: str) -> AsyncIterator[bytes]:
            async def pieces() -> AsyncIterator[bytes]:
                yield answer(200, self.body)[:900_000]
                yield b""

            return pieces()

        await self.start_front(script)
        reader, writer = await self.connect(self.request_head("t"))
        await self.head_of(reader)
        async with asyncio.timeout(3):
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readexactly(len(self.body))
        writer.close()
        figures = self.backends.metrics
        await self.wait_until(lambda: figures.answers["failure"]["tile-read"] == 1)
        assert (figures.answers["success"]["tile-read"], self.backend.counts["t"]) == (0, 1)
        await self.wait_until(lambda: self.backends.open_connections == 0)

    async def test_a_client_that_leaves_or_reads_slowly_holds_no_more_than_a_bound(self) -> None:
        """A client stops reading a long answer.

        Without flow control the front would buffer all of it, and many such clients would exhaust its memory.
        """
        sent = 0

        async def script(_trace: str) -> AsyncIterator[bytes]:
            async def pieces() -> AsyncIterator[bytes]:
                nonlocal sent
                yield b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % (32 * MEGABYTE)
                for _ in range(512):
                    sent += 65536
                    yield bytes(65536)

            return pieces()

        await self.start_front(script)
        reader, writer = await self.connect(self.request_head("t"))
        await self.head_of(reader)
        await asyncio.sleep(0.5)  # it reads nothing
        assert sent < 24 * MEGABYTE  # what the kernel's buffers take, and no more
        writer.transport.abort()
        await self.wait_until(
            lambda: self.backends.open_connections == 0 and not self.front.connections.clients
        )
