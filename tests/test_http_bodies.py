"""Request bodies: within a bound of memory and of time, in each form of HTTP/1.1."""

from __future__ import annotations

import asyncio
import random
import unittest

from cleatyoke.http.body_limits import MAX_UPLOAD_BYTES, UNRESERVED_BYTES, BodyMemory, body_timeout
from tests.http_case import (
    TARGET,
    FrontCase,
)
from tests.scripted_peers import answer

MEGABYTE = 1 << 20


class BodyMemoryTests(unittest.TestCase):
    def test_bodies_stay_within_the_memory_and_never_block_each_other_for_good(self) -> None:
        """Large uploads come together and each waits for memory that others hold.

        Without a first one that may always go on, all would wait until they time out.
        """
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

    def test_short_bodies_never_wait_and_one_that_cannot_fit_never_goes_first(self) -> None:
        room = BodyMemory(MEGABYTE)
        assert not room.reserve("huge", 3 * MEGABYTE)
        assert room.reserve("long", MEGABYTE)
        assert not room.reserve("next", MEGABYTE)
        assert room.reserve("short", UNRESERVED_BYTES)
        room.release("long")
        room.release("huge")
        assert room.reserve("next", MEGABYTE)

    def test_the_slowest_client_is_within_the_timeout_and_one_that_stalls_is_not(self) -> None:
        for size in (1, 64_000, 640_000, MAX_UPLOAD_BYTES):
            assert 2.0 + size / 64000 < body_timeout(size)  # 64 kB a second, after a stall of 2 s
        assert body_timeout(0) < 3.0


class UploadTests(FrontCase):
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
        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)

    async def test_slow_chunked_and_expecting_uploads_reach_the_backend_unchanged(self) -> None:
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

    async def test_uploads_beyond_the_memory_wait_for_each_other_and_all_are_served(self) -> None:
        """More uploads come at once than the memory holds.

        They wait for each other instead of being rejected, and the memory's bound holds.
        """
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
