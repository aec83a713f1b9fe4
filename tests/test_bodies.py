"""Long bodies: answers that pass on as they come, uploads within a bound of memory, each form of HTTP/1.1."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import AsyncIterator

import pytest

from cleatyoke.http.body_limits import MAX_UPLOAD_BYTES, UNRESERVED_BYTES, BodyMemory, body_timeout
from tests.test_http_front import TARGET, FrontCase
from tests.wire import answer

MEGABYTE = 1 << 20


class RoomCase(unittest.TestCase):
    def test_bodies_never_hold_more_than_the_room_and_never_block_each_other_for_good(self) -> None:
        for seed in range(60):
            rng, room = random.Random(seed), BodyMemory(36 * MEGABYTE)
            left = {n: rng.choice((1000, MEGABYTE, 5 * MEGABYTE, 32 * MEGABYTE)) for n in range(12)}
            got = dict.fromkeys(left, 0)
            while left:
                moved = False
                for body in rng.sample(list(left), len(left)):
                    wanted = min(left[body], got[body] + rng.randint(1, 8) * UNRESERVED_BYTES)
                    if room.reserve(body, wanted):
                        moved, got[body] = True, wanted
                        if wanted == left[body]:
                            room.release(body)
                            del left[body]
                    assert sum(room.reserved.values()) <= room.total
                assert moved, (seed, room.reserved)

    def test_short_bodies_never_wait_and_one_that_cannot_fit_is_never_favoured(self) -> None:
        room = BodyMemory(MEGABYTE)
        assert not room.reserve("huge", 3 * MEGABYTE)
        assert room.reserve("long", MEGABYTE)
        assert not room.reserve("next", MEGABYTE)
        assert room.reserve("short", UNRESERVED_BYTES)
        room.release("long")
        room.release("huge")
        assert room.reserve("next", MEGABYTE)

    def test_the_slowest_client_is_within_its_patience_and_one_that_stalls_is_not(self) -> None:
        for size in (1, 64_000, 640_000, MAX_UPLOAD_BYTES):
            assert 2.0 + size / 64000 < body_timeout(size)  # 64 kB a second, after a stall of 2 s
        assert body_timeout(0) < 3.0


class LongAnswers(FrontCase):
    body = random.Random(1).randbytes(3 * MEGABYTE)

    async def head_of(self, reader: asyncio.StreamReader) -> bytes:
        return await reader.readuntil(b"\r\n\r\n")

    async def test_a_long_answer_passes_on_whole_in_either_framing_and_its_connection_is_kept(self) -> None:
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
            await asyncio.sleep(0.05)  # a connection rests before it is used again
        assert (self.backend.accepted, self.backends.open_connections) == (1, 1)
        assert await self.send_request("closes") == (200, body)
        assert await self.send_request("closes-short") == (200, body[:9])

    async def test_first_bytes_pass_on_before_the_last_have_come_and_after_the_deadline_too(self) -> None:
        body, release = self.body, asyncio.Event()

        async def script(trace: str) -> AsyncIterator[bytes]:
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

    async def test_an_answer_that_breaks_off_ends_its_client_s_connection_and_is_a_failure(self) -> None:
        async def script(trace: str) -> AsyncIterator[bytes]:
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
        await self.wait_until(lambda: figures.ended["failure"]["tile-read"] == 1)
        assert (figures.ended["success"]["tile-read"], self.backend.counts["t"]) == (0, 1)
        await self.wait_until(lambda: self.backends.open_connections == 0)

    async def test_a_client_that_leaves_or_reads_slowly_holds_no_more_than_a_bound(self) -> None:
        sent = 0

        async def script(trace: str) -> AsyncIterator[bytes]:
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


class LongUploads(FrontCase):
    async def upload(self, trace: str, body: bytes, *fields: str, wait: float = 0.0) -> bytes:
        """The status line of a body written in pieces."""
        piece, chunked = 65536, "Transfer-Encoding: chunked" in fields
        head = self.request_head(trace, *fields, method="PUT").replace(b"tile-read", b"record-write")
        reader, writer = await self.connect(head)
        if "Expect: 100-continue" in fields:
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        for start in range(0, len(body), piece):
            part = body[start : start + piece]
            writer.write(b"%x\r\n%s\r\n" % (len(part), part) if chunked else part)
            await writer.drain()
            await asyncio.sleep(wait)
        if chunked:
            writer.write(b"0\r\n\r\n")
        status = await reader.readline()
        writer.close()
        return status

    async def started(self) -> None:
        async def script(trace: str) -> bytes:
            return answer()

        await self.start_front(script)

    async def test_slow_chunked_and_expecting_uploads_reach_the_box_as_they_are(self) -> None:
        await self.started()
        body = random.Random(2).randbytes(300_000)
        cases = {
            "slow": ((f"Content-Length: {len(body)}",), 0.35),  # slower than its request may wait
            "chunks": (("Transfer-Encoding: chunked",), 0.0),
            "asks": (("Transfer-Encoding: chunked", "Expect: 100-continue"), 0.0),
        }
        async with asyncio.timeout(8):
            found = await asyncio.gather(
                *(self.upload(trace, body, *fields, wait=wait) for trace, (fields, wait) in cases.items())
            )
        assert [status[9:12] for status in found] == [b"200"] * 3
        assert [self.backend.bodies[trace] for trace in cases] == [body] * 3
        assert [self.backend.counts[trace] for trace in cases] == [1] * 3

    async def test_uploads_beyond_the_room_wait_for_each_other_and_all_are_served(self) -> None:
        await self.started()
        self.front.body_memory = BodyMemory(3 * MEGABYTE, 2 * MEGABYTE)
        body = bytes(2 * MEGABYTE)
        most, held = 0, self.front.body_memory.reserved

        async def watch() -> None:
            nonlocal most
            while True:
                most = max(most, sum(held.values()))
                await asyncio.sleep(0.001)

        watching = asyncio.create_task(watch())
        async with asyncio.timeout(10):
            found = await asyncio.gather(
                *(self.upload(f"u{n}", body, f"Content-Length: {len(body)}") for n in range(5))
            )
        watching.cancel()
        assert [status[9:12] for status in found] == [b"200"] * 5
        assert most <= 3 * MEGABYTE
        assert most > MEGABYTE
        assert (held, self.front.body_memory.waiting) == ({}, {})

    async def test_a_target_in_absolute_form_and_an_unknown_expectation(self) -> None:
        await self.started()
        reader, writer = await self.connect(self.request_head("t", target="http://anywhere:80" + TARGET))
        assert b" 200 " in await reader.readline()
        assert f"GET {TARGET} HTTP/1.1" in self.backend.heads[0]
        writer.close()
        reader, writer = await self.connect(self.request_head("u", "Expect: tea"))
        assert b" 417 " in await reader.readline()
        writer.close()
