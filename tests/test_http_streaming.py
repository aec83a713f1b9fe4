"""Streaming of long responses."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import pytest

from cleatyoke.scheduling.events import AttemptFinished, AttemptOutcome, SchedulerEvent
from tests.http_case import FrontCase
from tests.scripted_peers import answer

MEGABYTE = 1 << 20


class StreamingTests(FrontCase):
    body = random.Random(1).randbytes(3 * MEGABYTE)

    async def read_head(self, reader: asyncio.StreamReader) -> bytes:
        return await reader.readuntil(b"\r\n\r\n")

    async def test_long_response_is_forwarded_completely_in_each_framing(self) -> None:
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

    async def test_streaming_starts_before_body_is_complete_and_continues_after_deadline(self) -> None:
        body, release = self.body, asyncio.Event()

        async def script(_trace: str) -> AsyncIterator[bytes]:
            async def pieces() -> AsyncIterator[bytes]:
                response = answer(200, body)
                yield response[:200_000]
                await release.wait()
                yield response[200_000:]

            return pieces()

        await self.start_front(script)
        reader, writer = await self.connect(self.request_head("t").replace(b"1500", b"300"))
        async with asyncio.timeout(2):
            assert b"%d" % len(body) in await self.read_head(reader)
            assert await reader.readexactly(100000) == body[:100000]
        await asyncio.sleep(0.4)  # past the deadline: a response that has begun is completed
        release.set()
        async with asyncio.timeout(5):
            assert await reader.readexactly(len(body) - 100000) == body[100000:]
        writer.close()
        assert self.backend.counts["t"] == 1

    async def test_truncated_response_closes_client_connection_and_counts_as_failure(self) -> None:
        """A backend closes its connection within a long response whose head has been forwarded.

        The client must be able to detect it: its connection ends before ``Content-Length`` bytes were sent,
        and the request counts as failed.
        """

        async def script(_trace: str) -> AsyncIterator[bytes]:
            async def pieces() -> AsyncIterator[bytes]:
                yield answer(200, self.body)[:900_000]
                yield b""

            return pieces()

        await self.start_front(script)
        reader, writer = await self.connect(self.request_head("t"))
        await self.read_head(reader)
        async with asyncio.timeout(3):
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readexactly(len(self.body))
        writer.close()
        metrics = self.backends.metrics
        await self.wait_until(lambda: metrics.answers["failure"]["tile-read"] == 1)
        assert (metrics.answers["success"]["tile-read"], self.backend.counts["t"]) == (0, 1)
        await self.wait_until(lambda: self.backends.open_connections == 0)

    async def test_client_that_stops_reading_buffers_a_bounded_amount(self) -> None:
        """A client stops reading a long response.

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
        await self.read_head(reader)
        await asyncio.sleep(0.5)  # the client does not read
        assert sent < 24 * MEGABYTE  # bounded by the kernel's buffers
        writer.transport.abort()
        await self.wait_until(
            lambda: self.backends.open_connections == 0 and not self.front.connections.clients
        )

    async def test_pauses_within_a_long_response_are_not_learned_as_queueing(self) -> None:
        # Usual requests were refused, as their backends seemed to have long queues.
        async def script(_trace: str) -> AsyncIterator[bytes]:
            async def pieces() -> AsyncIterator[bytes]:
                yield b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
                for _ in range(3):
                    yield b"%x\r\n%b\r\n" % (30_000, bytes(30_000))
                    await asyncio.sleep(0.2)
                yield b"0\r\n\r\n"

            return pieces()

        events: list[SchedulerEvent] = []

        def record(_now: float, step_events: list[SchedulerEvent]) -> list[SchedulerEvent]:
            events.extend(step_events)
            return step_events

        await self.start_front(script)
        self.core.before_step = record
        assert await self.send_request("t") == (200, bytes(90_000))
        (finished,) = (event for event in events if isinstance(event, AttemptFinished))
        assert finished.outcome is AttemptOutcome.SERVED
        assert finished.elapsed < 0.2
