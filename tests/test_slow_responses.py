"""Responses that a backend writes slowly, beside those that never end."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import pytest

from cleatyoke.http.response_wait import NextStep, ResponseState, ResponseWait
from tests.http_case import FrontCase
from tests.scripted_peers import answer

CHUNKED = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
UNTIL_CLOSE = b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
Part = float | bytes  # seconds of silence, or bytes; empty bytes close the connection


def chunk(size: int) -> bytes:
    return b"%x\r\n%b\r\n" % (size, bytes(size))


def with_length(size: int) -> bytes:
    return b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % size


async def play(parts: list[Part]) -> AsyncIterator[bytes]:
    for part in parts:
        if isinstance(part, float):
            await asyncio.sleep(part)
        else:
            yield part


class SlowResponseTests(FrontCase):
    async def start_playing(self, choose: Callable[[str, int], list[Part]]) -> None:
        """``choose`` returns the parts of the response by trace id and number of the attempt, from 1."""

        async def script(trace: str) -> AsyncIterator[bytes]:
            return play(choose(trace, self.backend.counts[trace]))

        await self.start_front(script)

    async def test_sound_response_with_pauses_is_served_whole_by_one_attempt(self) -> None:
        # A pause of over 50 ms within a response made the front give up the attempt (issue 50, picture b).
        pause = 0.12
        forms: dict[str, list[Part]] = {
            "late-chunked": [CHUNKED, 0.66, chunk(100_000), LAST_CHUNK],
            "late-close": [UNTIL_CLOSE, 0.66, bytes(100_000), b""],
            "lumps-chunked": [CHUNKED, *[pause, chunk(16_384)] * 6, LAST_CHUNK],
            "short-chunked": [CHUNKED, *[pause, chunk(4096)] * 3, LAST_CHUNK],
            "short-length": [with_length(12_288), *[pause, bytes(4096)] * 3],
            "short-close": [UNTIL_CLOSE, *[pause, bytes(4096)] * 3, b""],
            "late-head": [b"HTTP/1.1 200 X\r\nConte", pause, b"nt-Length: 20\r\n\r\n", bytes(20)],
        }
        sizes = {"late": 100_000, "lumps": 98_304, "short": 12_288, "late-head": 20}
        await self.start_playing(lambda trace, _: forms[trace])
        answers = await asyncio.gather(*(self.send_request(trace) for trace in forms))
        for trace, (status, body) in zip(forms, answers):
            size = sizes.get(trace) or sizes[trace.partition("-")[0]]
            assert (status, len(body), self.backend.counts[trace]) == (200, size, 1), trace

    async def test_long_response_slower_than_its_clients_wait_is_forwarded_in_time_and_whole(self) -> None:
        # Of an answer over 64 KiB the first bytes have to be in time, and the rest must not be cut off.
        parts: list[Part] = [CHUNKED, *[0.17, chunk(16_384)] * 9, LAST_CHUNK]
        await self.start_playing(lambda _trace, _: parts)
        loop = asyncio.get_running_loop()
        began = loop.time()
        reader, writer = await self.connect(self.request_head("t").replace(b"1500", b"402"))
        await reader.readuntil(b"\r\n\r\n")
        assert loop.time() - began < 0.45
        received = b""
        async with asyncio.timeout(5):
            while not received.endswith(LAST_CHUNK):
                received += await reader.readexactly(1)
        writer.close()
        assert received.count(b"\x00") == 9 * 16_384
        assert self.backend.counts["t"] == 1

    async def test_stalled_response_leaves_time_for_a_retry(self) -> None:
        stalled: dict[str, list[Part]] = {
            "head": [b"HTTP/1.1 200 X\r\nConte", 9.0],
            "length": [with_length(100) + bytes(99), 9.0],
            "chunked": [CHUNKED + chunk(99), 9.0],
            "empty": [CHUNKED, 9.0],
        }
        await self.start_playing(lambda trace, attempt: stalled[trace] if attempt == 1 else [answer()])
        for trace in stalled:  # one by one, as a node that fails several at once is paused
            assert await self.send_request(trace) == (200, b"tile"), trace
            assert self.backend.counts[trace] == 2, trace

    async def test_response_that_never_ends_costs_no_client_more_than_its_time(self) -> None:
        forms: dict[str, list[Part]] = {
            "length": [with_length(100) + bytes(99), 9.0],
            "chunked": [CHUNKED + chunk(99), 9.0],
        }
        await self.start_playing(lambda trace, _: forms[trace])

        async def ask(trace: str) -> float:
            head = self.request_head(trace, "Content-Length: 1", method="PUT")
            head = head.replace(b"tile-read", b"record-write").replace(b"1500", b"400")
            reader, writer = await self.connect(head, b"x")
            began = asyncio.get_running_loop().time()
            await reader.readuntil(b"\r\n\r\n")
            if trace == "chunked":  # the client can tell that the answer is not whole
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await reader.readuntil(LAST_CHUNK)
            writer.close()
            return asyncio.get_running_loop().time() - began

        assert max(await asyncio.gather(*(ask(trace) for trace in forms))) < 0.4 + 0.5
        assert set(self.backend.counts.values()) == {1}

    async def test_rejection_by_a_backend_counts_without_its_body(self) -> None:
        # A write that never ran has to be sent again, though the rest of the rejection is late.
        rejection = b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 4\r\n\r\n"
        await self.start_playing(lambda _trace, attempt: [rejection, 9.0] if attempt == 1 else [answer()])
        assert await self.send_request("t", "PUT", b"data") == (200, b"tile")
        assert self.backend.counts["t"] == 2


def test_response_that_makes_progress_is_awaited_until_the_attempt_times_out() -> None:
    wait = ResponseWait(10.0, may_retry=True)
    wait.receive(9.0)
    assert wait.next_check_at(ResponseState.LENGTH_KNOWN, 9.0) == pytest.approx(9.85)
    wait.receive(9.7)
    assert wait.next_step(ResponseState.LENGTH_KNOWN, 9.85) is NextStep.WAIT
    assert wait.next_step(ResponseState.LENGTH_KNOWN, 9.99) is NextStep.GIVE_UP
    assert wait.next_step(ResponseState.LENGTH_UNKNOWN, 9.99) is NextStep.STREAM


def test_response_is_not_given_up_early_if_no_retry_is_allowed() -> None:
    wait = ResponseWait(10.0, may_retry=False)
    wait.receive(9.0)
    assert wait.next_check_at(ResponseState.HEAD_INCOMPLETE, 9.0) == pytest.approx(9.98)
    assert wait.next_step(ResponseState.HEAD_INCOMPLETE, 9.9) is NextStep.WAIT
