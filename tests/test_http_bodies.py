"""Request bodies: memory budget, timeouts and HTTP/1.1 framings."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from cleatyoke.http.body_limits import BodyMemory, body_timeout
from cleatyoke.limits.memory_budget import MAX_UPLOAD_BYTES, UNRESERVED_BYTES
from tests.http_case import (
    TARGET,
    FrontCase,
    answer_at_once,
)
from tests.scripted_peers import answer

MEGABYTE = 1 << 20


class BodyMemoryTests(unittest.TestCase):
    def test_bodies_stay_within_memory_and_do_not_deadlock(self) -> None:
        """Concurrent large uploads each wait for memory that others hold.

        Without priority for the longest waiting one, all would wait until they time out.
        """
        for seed in range(60):
            rng, memory = random.Random(seed), BodyMemory(36 * MEGABYTE)
            remaining = {n: rng.choice((1000, MEGABYTE, 5 * MEGABYTE, 32 * MEGABYTE)) for n in range(12)}
            received = dict.fromkeys(remaining, 0)
            while remaining:
                progressed = False
                for body in rng.sample(list(remaining), len(remaining)):
                    target = min(remaining[body], received[body] + rng.randint(1, 8) * UNRESERVED_BYTES)
                    if memory.reserve(body, target):
                        progressed, received[body] = True, target
                        if target == remaining[body]:
                            memory.release(body)
                            del remaining[body]
                    assert sum(memory.reserved.values()) <= memory.total
                assert progressed, (seed, memory.reserved)

    def test_short_bodies_never_wait_and_oversized_body_gets_no_priority(self) -> None:
        memory = BodyMemory(MEGABYTE)
        assert not memory.reserve("huge", 3 * MEGABYTE)
        assert memory.reserve("long", MEGABYTE)
        assert not memory.reserve("next", MEGABYTE)
        assert memory.reserve("short", UNRESERVED_BYTES)
        memory.release("long")
        memory.release("huge")
        assert memory.reserve("next", MEGABYTE)

    def test_declared_bodies_use_all_memory_but_leave_room_for_shorter_ones(self) -> None:
        memory = BodyMemory(8 * MEGABYTE, 5 * MEGABYTE, MEGABYTE, headroom=2 * MEGABYTE)
        assert memory.reserve_whole("longest", 5 * MEGABYTE)
        assert not memory.reserve_whole("long", 2 * MEGABYTE)
        assert memory.reserve_whole("medium", MEGABYTE)
        usual = [memory.reserve_whole(number, 128 * 1024) for number in range(40)]
        assert sum(usual) >= 12
        assert memory.held_bytes() <= 9 * MEGABYTE
        for body in ("longest", "medium", *range(40)):
            memory.release(body)
        assert [memory.reserve_whole(n, MEGABYTE) for n in range(9)] == [True] * 7 + [False] * 2

    def test_body_timeout_admits_slowest_client_and_ends_stalled_one(self) -> None:
        for size in (1, 64_000, 640_000, MAX_UPLOAD_BYTES):
            assert 2.0 + size / 64000 < body_timeout(size)  # 64 kB a second, after a stall of 2 s
        assert body_timeout(0) < 3.0


class UploadTests(FrontCase):
    async def upload(self, trace: str, body: bytes, *fields: str, pause: float = 0.0) -> bytes:
        """Upload a body in pieces and return the status line."""
        piece, chunked = 65536, "Transfer-Encoding: chunked" in fields
        head = self.request_head(trace, *fields, method="PUT").replace(b"tile-read", b"record-write")
        reader, writer = await self.connect(head)
        if "Expect: 100-continue" in fields:
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        for start in range(0, len(body), piece):
            part = body[start : start + piece]
            writer.write(b"%x\r\n%s\r\n" % (len(part), part) if chunked else part)
            await writer.drain()
            await asyncio.sleep(pause)
        if chunked:
            writer.write(b"0\r\n\r\n")
        status = await reader.readline()
        writer.close()
        return status

    async def start_answering_front(self) -> None:
        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)

    async def test_body_in_tiny_chunks_does_not_take_the_processor(self) -> None:
        # Clients that sent chunks of one byte at full speed left no time for the requests of others.
        await self.start_front(answer_at_once)
        head = self.request_head("tiny", "Transfer-Encoding: chunked", method="PUT")
        _, writer = await self.connect(head.replace(b"tile-read", b"record-write"))
        await self.wait_until(lambda: self.front.connections.clients)
        (client,) = self.front.connections.clients
        writer.write(b"1\r\nx\r\n" * 100_000)
        await asyncio.sleep(0.5)
        assert client.received_bytes < 64 * 1024
        writer.transport.abort()

    async def test_upload_in_tiny_chunks_is_answered_by_half_a_second_after_its_time(self) -> None:
        # It got 408 seconds later, as the front read slowly what its client had written at once.
        await self.start_answering_front()
        head = self.request_head("tiny", "Transfer-Encoding: chunked", method="PUT").replace(b"1500", b"400")
        body = b"2\r\nxx\r\n" * 10_000 + b"0\r\n\r\n"
        reader, writer = await self.connect(head.replace(b"tile-read", b"record-write"), body)
        async with asyncio.timeout(0.95):
            assert b" 503 " in await reader.readline()
        writer.close()
        assert not self.backend.counts

    async def test_client_that_writes_tiny_chunks_slowly_is_served(self) -> None:
        await self.start_answering_front()
        head = self.request_head("tiny", "Transfer-Encoding: chunked", method="PUT").replace(b"1500", b"400")
        reader, writer = await self.connect(head.replace(b"tile-read", b"record-write"))
        for chunks in (2_400, 100, 100, 100):
            writer.write(b"2\r\nxx\r\n" * chunks)
            await asyncio.sleep(0.4)
        writer.write(b"0\r\n\r\n")
        async with asyncio.timeout(0.95):
            assert b" 200 " in await reader.readline()
        writer.close()

    async def test_complete_chunked_body_that_waits_for_memory_is_served(self) -> None:
        # It got 500: aiohttp's parser can't be paused behind the end of a body.
        await self.start_answering_front()
        head = self.request_head("t", "Transfer-Encoding: chunked", method="PUT")
        with mock.patch.object(
            self.front.body_memory, "reserve", side_effect=[False, False, True]
        ) as patched:
            reader, writer = await self.connect(
                head.replace(b"tile-read", b"record-write"), b"4\r\ntile\r\n0\r\n\r\n"
            )
            async with asyncio.timeout(1.0):
                assert b" 200 " in await reader.readline()
        assert patched.call_count == 3
        writer.close()

    async def test_short_body_in_tiny_chunks_is_served_at_once(self) -> None:
        await self.start_front(answer_at_once)
        head = self.request_head("tiny", "Transfer-Encoding: chunked", method="PUT")
        reader, writer = await self.connect(head.replace(b"tile-read", b"record-write"))
        writer.write(b"1\r\nx\r\n" * 2000 + b"0\r\n\r\n")
        async with asyncio.timeout(0.5):
            assert b" 200 " in await reader.readline()
        writer.close()
        assert self.backend.bodies["tiny"] == b"x" * 2000

    async def test_slow_chunked_and_expect_continue_uploads_arrive_unchanged(self) -> None:
        await self.start_answering_front()
        body = random.Random(2).randbytes(300_000)
        cases = {
            "slow": ((f"Content-Length: {len(body)}",), 0.35),  # takes longer than the request may wait
            "chunks": (("Transfer-Encoding: chunked",), 0.0),
            "asks": (("Transfer-Encoding: chunked", "Expect: 100-continue"), 0.0),
        }
        async with asyncio.timeout(8):
            statuses = await asyncio.gather(
                *(self.upload(trace, body, *fields, pause=pause) for trace, (fields, pause) in cases.items())
            )
        assert [status[9:12] for status in statuses] == [b"200"] * 3
        assert [self.backend.bodies[trace] for trace in cases] == [body] * 3
        assert [self.backend.counts[trace] for trace in cases] == [1] * 3

    async def test_uploads_exceeding_memory_wait_and_all_are_served(self) -> None:
        """Concurrent uploads exceed the memory budget.

        They wait for each other instead of being rejected, and the budget is kept.
        """
        await self.start_answering_front()
        self.front.body_memory = BodyMemory(3 * MEGABYTE, 2 * MEGABYTE)
        body = bytes(2 * MEGABYTE)
        max_reserved, reserved = 0, self.front.body_memory.reserved

        async def watch() -> None:
            nonlocal max_reserved
            while True:
                max_reserved = max(max_reserved, sum(reserved.values()))
                await asyncio.sleep(0.001)

        watch_task = asyncio.create_task(watch())
        async with asyncio.timeout(10):
            statuses = await asyncio.gather(
                *(self.upload(f"u{n}", body, f"Content-Length: {len(body)}") for n in range(5))
            )
        watch_task.cancel()
        assert [status[9:12] for status in statuses] == [b"200"] * 5
        assert max_reserved <= 3 * MEGABYTE
        assert max_reserved > MEGABYTE
        assert (reserved, self.front.body_memory.waiting) == ({}, {})

    async def hold_memory(self, number: int, size: int) -> asyncio.StreamWriter:
        """Begin an upload of ``size`` bytes, of which only a part is sent."""
        head = self.request_head(f"slow{number}", f"Content-Length: {size}", method="PUT")
        _, writer = await self.connect(head.replace(b"tile-read", b"record-write"), bytes(size * 45 // 100))
        return writer

    async def test_usual_writes_are_served_beside_uploads_that_exceed_memory(self) -> None:
        """Uploads that never end hold all the memory that they can get.

        Usual writes would wait for it without an answer, although their last byte has been written.
        """
        await self.start_answering_front()
        self.front.body_memory = BodyMemory(3 * MEGABYTE, 2 * MEGABYTE, headroom=MEGABYTE // 4)
        slow = [await self.hold_memory(number, 2 * MEGABYTE) for number in range(8)]
        body = bytes(128 * 1024)
        async with asyncio.timeout(2.0):  # 1.5 s that each may wait, and the half second that is not lost yet
            statuses = await asyncio.gather(
                *(self.upload(f"w{n}", body, f"Content-Length: {len(body)}") for n in range(4))
            )
        assert [status[9:12] for status in statuses] == [b"200"] * 4
        for writer in slow:
            writer.close()

    async def test_upload_without_memory_is_rejected_before_its_deadline(self) -> None:
        """An upload was written to its last byte, and the memory for it does not become free.

        Its time limit counts from that byte, so it must get a final answer instead of waiting.
        """
        await self.start_answering_front()
        self.front.body_memory = BodyMemory(3 * MEGABYTE, 2 * MEGABYTE)
        slow = [await self.hold_memory(number, 2 * MEGABYTE) for number in range(4)]
        await asyncio.sleep(0.1)
        for framing in (f"Content-Length: {2 * MEGABYTE}", "Transfer-Encoding: chunked"):
            async with asyncio.timeout(2.0):
                status = await self.upload(f"t{len(framing)}", bytes(2 * MEGABYTE), framing)
            assert status[9:12] == b"503", framing
        assert not any(trace.startswith("t") for trace in self.backend.counts)
        for writer in slow:
            writer.close()

    async def test_absolute_form_target_is_accepted_and_unknown_expectation_rejected(self) -> None:
        await self.start_answering_front()
        reader, writer = await self.connect(self.request_head("t", target="http://anywhere:80" + TARGET))
        assert b" 200 " in await reader.readline()
        assert f"GET {TARGET} HTTP/1.1" in self.backend.heads[0]
        writer.close()
        reader, writer = await self.connect(self.request_head("u", "Expect: tea"))
        assert b" 417 " in await reader.readline()
        writer.close()
