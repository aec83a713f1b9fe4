"""Backends' answers: complete, malformed, late, or on a connection that awaits none."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import unittest
import unittest.mock
from dataclasses import replace
from typing import Any
from unittest import mock

from cleatyoke.core import AttemptResult
from cleatyoke.discovery.directory import Directory
from cleatyoke.http import backend_connection as backend_connection_module
from cleatyoke.http import backends as backends_module
from cleatyoke.http.answers import decode_utilization
from cleatyoke.http.backend_connection import StreamedBody
from cleatyoke.http.backends import BackendPools
from cleatyoke.scheduling.events import (
    AttemptOutcome,
)
from tests.http_case import FrontCase, client_request, iterate
from tests.scripted_peers import answer, instance, listed


class AnswerTests(FrontCase):
    async def test_a_malformed_answer_may_have_run_and_ends_its_connection(self) -> None:
        """A backend answers with garbage, a wrong length, broken chunks or another protocol.

        The request may have run, so the attempt counts as reset. The connection is closed: what follows on it
        belongs to no request.
        """
        good = answer()
        spoilt = [
            b"\x00\xffnoise",
            b"HTTP/1.1 tea\r\n\r\n",
            good.replace(b"/1.1", b"/2.0"),
            b"HTTP/1.1 200 X\r\n" + b"X: tea\r\n" * 9000,
            answer(200, b"", "X: tea")[:-2],
            answer(200, b"", "Content-Length: 4"),
            b"HTTP/1.1 200 X\r\n\r\ntile",
            good[:-1],
            *(good.replace(b": 4", one) for one in (b": -4", b": +4", b": 3000000000", b" : 4")),
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntile\r\nzz\r\n",
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\ntile",
            b"HTTP/1.1 101 X\r\nUpgrade: websocket\r\nConnection: upgrade\r\n\r\n" + good,
            b"HTTP/1.1 100 X\r\n\r\n" * 9 + good,
        ]

        async def script(trace: str) -> bytes:
            return spoilt[int(trace)]

        await self.start_front(script)
        with mock.patch.object(backend_connection_module, "RESPONSE_TIMEOUT", 0.05):
            for place, text in enumerate(spoilt):
                found = await self.attempt(1, client_request(str(place), "PUT", b"scan"))
                assert found == AttemptResult(AttemptOutcome.CONNECTION_RESET), text[:80]
        assert set(self.backend.counts.values()) == {1}
        assert (self.backend.accepted, self.backends.open_connections) == (len(spoilt), 0)

    async def test_a_good_answer_is_served_whatever_comes_with_it_and_only_that(self) -> None:
        """A complete answer has 1xx answers in front, odd headers, or garbage behind it.

        It is served, as its request ran; a connection on which more came is not used again.
        """
        good = answer(200, b"tile", "Endpoint-Load-Metrics: \x01 queue=\x7f", "X-Served-Elsewhere: -1e999")
        chunked = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nti\r\n2\r\nle\r\n0\r\n\r\n"
        early = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: tea\r\n\r\n"
        noise = b"\x00noise"
        large = answer(200, b"tile" * 70_000)  # backends send more than a request may hold
        cases = [early + good, chunked, large, good + good, good + noise, chunked + noise, chunked + good]

        async def script(trace: str) -> bytes:
            return cases[int(trace)]

        await self.start_front(script)
        with mock.patch.object(backends_module, "REUSE_DELAY", 0.0):
            for place in range(len(cases)):
                found = await self.attempt(1, client_request(str(place)))
                if isinstance(found.value, StreamedBody):
                    body = b"".join([piece async for piece in iterate(found.value)])
                    found = replace(found, value=body)
                assert found == AttemptResult(AttemptOutcome.SERVED, b"tile" * (70000 if place == 2 else 1))
                assert self.backends.open_connections == int(place < 3), "what brought more is not used again"

    async def test_bytes_that_come_while_a_connection_is_pooled_are_not_the_next_answer(self) -> None:
        """A backend writes on a connection that no request uses.

        Taken for the next request's answer, a client would get another one's data.
        """

        async def script(trace: str) -> bytes:
            return answer(200, trace.encode())

        await self.start_front(script)
        for trace, read in (("first", True), ("second", False), ("third", True)):
            found = await self.attempt(1, client_request(trace))
            assert found == AttemptResult(AttemptOutcome.SERVED, trace.encode())
            (line,) = self.backends.pools[1].idle
            line.reusable_at = 0.0
            (writer,) = self.backend.writers
            # It goes to the kernel at once; without a turn of the loop, nobody has read it yet.
            writer.write(answer(200, b"stale"))
            if read:
                await self.wait_until(lambda: self.backends.open_connections == 0)
            else:
                assert not line.is_usable()
        assert self.backend.accepted == 3

    async def test_a_connection_is_not_reused_at_once_and_idle_ones_make_room_at_the_bound(self) -> None:
        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script, most=2)
        listed(self.directory, instance("s-a", self.backend.port), instance("s-b", self.backend.port, cell=1))
        with mock.patch.object(backends_module, "REUSE_DELAY", 60):
            for trace in "ab":  # the first one may not be reused yet, so the second opens another
                await self.attempt(1, client_request(trace))
            assert (self.backend.accepted, self.backends.open_connections) == (2, 2)
            await self.attempt(2, client_request("c"))
            assert (self.backends.open_connections, len(self.backends.pools[1].idle)) == (2, 1)
        self.backends.pools[1].idle[0].reusable_at = 0.0
        await self.attempt(1, client_request("d"))
        assert (self.backend.accepted, self.backends.open_connections) == (3, 2)
        self.backend.stop()  # the backends close their idle connections
        await self.wait_until(lambda: self.backends.open_connections == 0)

    async def test_an_answer_that_ends_with_its_connection_is_served_and_a_reset_one_is_not(self) -> None:
        """An answer has neither length nor chunks, so that the connection's end is its own.

        Only an end in order says that it is complete; after a reset a part of it may be missing.
        """

        async def play(reset: bool) -> AttemptResult[Any]:
            async def half(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\ntile")
                await writer.drain()
                if reset:
                    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.close()

            server = await asyncio.start_server(half, "127.0.0.1", 0)
            boxes = BackendPools(directory := Directory({}), 0.25, 30.0, 8)
            listed(directory, instance("s-a", server.sockets[0].getsockname()[1]))
            until = asyncio.get_running_loop().time() + 1.0
            found = await boxes.attempt(1, client_request("t", "PUT", b"scan"), until, lambda: True)
            server.close()
            return found

        assert await play(reset=True) == AttemptResult(AttemptOutcome.CONNECTION_RESET)
        assert await play(reset=False) == AttemptResult(AttemptOutcome.SERVED, b"tile")

    async def test_half_a_status_line_and_an_answer_that_never_ends_are_resets_in_time(self) -> None:
        """A backend stops amid a status line or a body.

        Without a limit of time between the pieces, the attempt would hold its slot until the deadline.
        """

        async def play(*pieces: bytes) -> AttemptResult[Any]:
            async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                with contextlib.suppress(OSError):
                    await reader.read()
                writer.close()

            server = await asyncio.start_server(talk, "127.0.0.1", 0)
            boxes = BackendPools(directory := Directory({}), 0.25, 30.0, 8)
            listed(directory, instance("s-a", server.sockets[0].getsockname()[1]))
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(1.0):
                found = await boxes.attempt(
                    1, client_request("t", "PUT", b"scan"), loop.time() + 1.0, lambda: True
                )
            server.close()
            return found

        assert await play(b"HTTP/1.1 2") == AttemptResult(AttemptOutcome.CONNECTION_RESET)
        assert await play(answer()[:-1]) == AttemptResult(AttemptOutcome.CONNECTION_RESET)
        endless = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntile\r\n"
        assert await play(endless) == AttemptResult(AttemptOutcome.CONNECTION_RESET)


class LoadReportTests(unittest.TestCase):
    def test_the_utilization_is_read_and_an_odd_report_is_ignored(self) -> None:
        for text, busy in (
            ("TEXT inflight=7, queue=2, util=0.61", 0.61),
            ("TEXT waiting=3, cpu=1.25", 1.0),
            ("", None),
            ("TEXT cpu=7e9", None),
            ("TEXT util=-1", None),
            ("TEXT util=0.1.2", None),
            ("\x01 queue=", None),
        ):
            assert decode_utilization({"Endpoint-Load-Metrics": text}) == busy, text
        assert decode_utilization({}) is None
