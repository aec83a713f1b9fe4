"""Limits that are reduced and raised while a front serves, as beside another process of the same front."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from cleatyoke.http.body_limits import BodyMemory
from cleatyoke.http.open_requests import OpenRequests, OpenResult
from cleatyoke.http.request_head import BodyKind
from cleatyoke.http.stream_window import StreamWindow
from cleatyoke.limits.memory_budget import MAX_PIECE_BYTES, MEBIBYTE, MIN_PIECE_BYTES, MemoryBudget
from cleatyoke.limits.memory_pool import MemoryPool
from tests.http_case import FrontCase, answer_at_once

KIBIBYTE = 1024


def test_reserved_bytes_that_have_not_arrived_are_taken_back() -> None:
    # A slow upload of 32 MB would keep its whole length from the other process for minutes.
    memory = BodyMemory(40 * MEBIBYTE, short_total=MEBIBYTE, headroom=MEBIBYTE)
    assert memory.reserve_whole("slow", 32 * MEBIBYTE)
    assert memory.hold("slow", MEBIBYTE, is_complete=False)
    memory.resize(4 * MEBIBYTE, 3 * MEBIBYTE, MEBIBYTE, MEBIBYTE)
    assert memory.used_long_bytes() > 31 * MEBIBYTE
    memory.limit_to_received()
    assert memory.used_long_bytes() == MEBIBYTE - 64 * KIBIBYTE
    assert memory.hold("slow", 4 * MEBIBYTE, is_complete=False)
    assert not memory.hold("slow", 5 * MEBIBYTE, is_complete=False)
    assert not memory.reserve_whole("other", MEBIBYTE)
    assert memory.hold("slow", 32 * MEBIBYTE, is_complete=True)  # what has come to its end is owed an answer
    memory.release("slow")
    assert memory.held_bytes() == 0
    assert memory.reserve_whole("other", MEBIBYTE)
    assert memory.longest_body > 30 * MEBIBYTE


def test_requests_open_beyond_reduced_limits_stay_open() -> None:
    requests: OpenRequests[str] = OpenRequests(dict.fromkeys(BodyKind, 3))
    assert [requests.open(name, BodyKind.NONE) for name in "abc"] == [OpenResult.OPEN] * 3
    requests.set_limits(dict.fromkeys(BodyKind, 1))
    assert requests.open("d", BodyKind.NONE) is OpenResult.WAITING
    requests.end("a")
    assert requests.open_next() is None
    requests.set_limits(dict.fromkeys(BodyKind, 3))
    assert requests.open_next() == "d"
    assert requests.count(BodyKind.NONE) == 3


def test_stream_window_narrows_once_its_pool_is_overdrawn() -> None:
    pool = MemoryPool(4 * MEBIBYTE)
    window = StreamWindow(pool)
    window.record_piece(MIN_PIECE_BYTES)
    assert window.size == MAX_PIECE_BYTES
    pool.total = MEBIBYTE // 8
    window.record_piece(MAX_PIECE_BYTES)
    assert (window.size, pool.used) == (MIN_PIECE_BYTES, 0)


class ResizedFrontTests(FrontCase):
    def resize(self, **changes: int) -> MemoryBudget:
        memory = replace(self.front.config.memory, **changes)
        self.front.config.memory = memory
        self.front.resize(memory, 32)
        return memory

    async def test_upload_beyond_a_reduced_share_is_told_to_come_again(self) -> None:
        await self.start_front(answer_at_once)
        whole = self.front.config.memory
        self.resize(long_bodies=2 * MEBIBYTE, max_upload=MEBIBYTE, upload_headroom=MEBIBYTE)
        assert (await self.send_request("a", "PUT", bytes(4 * MEBIBYTE)))[0] == 503
        assert (await self.send_request("b", "PUT", bytes(MEBIBYTE // 2)))[0] == 200
        assert (await self.send_request("c", "PUT", bytes(whole.max_upload + 1)))[0] == 413
        self.resize(long_bodies=whole.long_bodies, max_upload=whole.max_upload)
        assert (await self.send_request("d", "PUT", bytes(4 * MEBIBYTE)))[0] == 200

    async def test_upload_that_is_arriving_when_its_share_is_reduced_is_served(self) -> None:
        await self.start_front(answer_at_once)
        size = 3 * MEBIBYTE
        head = self.request_head("a", f"Content-Length: {size}", method="PUT")
        reader, writer = await self.connect(head.replace(b"tile-read", b"record-write"), bytes(size // 3))
        await self.wait_until(lambda: self.front.limit_use().long_bodies > 2 * MEBIBYTE)
        await asyncio.sleep(0.05)
        self.resize(long_bodies=4 * MEBIBYTE, max_upload=2 * MEBIBYTE)
        self.front.body_memory.limit_to_received()
        assert self.front.limit_use().long_bodies < MEBIBYTE
        writer.write(bytes(size - size // 3))
        async with asyncio.timeout(5):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        writer.close()
        await self.wait_until(lambda: self.front.limit_use().long_bodies == 0)

    async def test_upload_that_finds_no_memory_after_the_reduction_gets_503_in_time(self) -> None:
        await self.start_front(answer_at_once)
        size = 8 * MEBIBYTE
        head = self.request_head("a", f"Content-Length: {size}", method="PUT")
        reader, writer = await self.connect(head.replace(b"tile-read", b"record-write"), bytes(MEBIBYTE))
        await self.wait_until(lambda: self.front.limit_use().long_bodies > 7 * MEBIBYTE)
        self.resize(long_bodies=2 * MEBIBYTE, max_upload=MEBIBYTE)
        self.front.body_memory.limit_to_received()
        writer.write(bytes(size - MEBIBYTE))
        async with asyncio.timeout(1.5):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 503 ")
        assert self.front.limit_use().long_bodies < 3 * MEBIBYTE
        writer.transport.abort()

    async def test_idle_connections_beyond_a_reduced_limit_are_closed(self) -> None:
        await self.start_front(answer_at_once)
        await asyncio.gather(*(self.send_request(f"t{number}") for number in range(4)))
        assert self.front.limit_use().backends > 1
        self.front.resize(self.front.config.memory, 1)
        assert self.front.limit_use().backends == 1
        assert (await self.send_request("t"))[0] == 200
