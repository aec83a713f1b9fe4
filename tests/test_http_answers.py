"""Backend responses: complete, malformed, late or unsolicited."""

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
from cleatyoke.http import backends as backends_module
from cleatyoke.http.answers import decode_utilization
from cleatyoke.http.backends import BackendPools
from cleatyoke.http.response_wait import ResponseWait
from cleatyoke.http.streamed_body import StreamedBody
from cleatyoke.scheduling.events import (
    AttemptOutcome,
)
from tests.http_case import FrontCase, client_request, iterate
from tests.scripted_peers import answer, instance, listed


class AnswerTests(FrontCase):
    async def test_malformed_response_counts_as_reset_and_closes_the_connection(self) -> None:
        """A backend responds with garbage, a wrong length, malformed chunks or another protocol.

        The request may have run, so the attempt counts as reset. The connection is closed, as further bytes
        on it cannot be assigned to a request.
        """
        good = answer()
        malformed = [
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
            return malformed[int(trace)]

        await self.start_front(script)
        for index, response in enumerate(malformed):
            result = await self.attempt(1, client_request(str(index), "PUT", b"scan"))
            assert result == AttemptResult(AttemptOutcome.CONNECTION_RESET), response[:80]
        assert set(self.backend.counts.values()) == {1}
        assert (self.backend.accepted, self.backends.open_connections) == (len(malformed), 0)

    async def test_complete_response_with_preceding_or_trailing_bytes_is_served(self) -> None:
        """A complete response has preceding 1xx responses, malformed optional headers, or trailing garbage.

        It is served, as its request ran; a connection with trailing bytes is not reused.
        """
        good = answer(200, b"tile", "Endpoint-Load-Metrics: \x01 queue=\x7f", "X-Served-Elsewhere: -1e999")
        chunked = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nti\r\n2\r\nle\r\n0\r\n\r\n"
        informational = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: tea\r\n\r\n"
        garbage = b"\x00noise"
        large = answer(200, b"tile" * 70_000)  # longer than MAX_UNSTREAMED_BYTES
        cases = [
            informational + good,
            chunked,
            large,
            good + good,
            good + garbage,
            chunked + garbage,
            chunked + good,
        ]

        async def script(trace: str) -> bytes:
            return cases[int(trace)]

        await self.start_front(script)
        with mock.patch.object(backends_module, "REUSE_DELAY", 0.0):
            for index in range(len(cases)):
                result = await self.attempt(1, client_request(str(index)))
                if isinstance(result.value, StreamedBody):
                    body = b"".join([piece async for piece in iterate(result.value)])
                    assert result.is_incomplete
                    result = replace(result, value=body, is_incomplete=False)
                assert result == AttemptResult(AttemptOutcome.SERVED, b"tile" * (70000 if index == 2 else 1))
                assert self.backends.open_connections == int(index < 3), (
                    "a connection with trailing bytes must not be reused"
                )

    async def test_pooled_connection_with_unsolicited_bytes_is_not_reused(self) -> None:
        """A backend writes to a connection that no request uses.

        Read as the response to the next request, these bytes would give a client another client's data.
        """

        async def script(trace: str) -> bytes:
            return answer(200, trace.encode())

        await self.start_front(script)
        for trace, is_read in (("first", True), ("second", False), ("third", True)):
            result = await self.attempt(1, client_request(trace))
            assert result == AttemptResult(AttemptOutcome.SERVED, trace.encode())
            (connection,) = self.backends.pools[1].idle
            connection.reusable_at = 0.0
            (writer,) = self.backend.writers
            # Written to the kernel at once, but not read before the next loop iteration.
            writer.write(answer(200, b"stale"))
            if is_read:
                await self.wait_until(lambda: self.backends.open_connections == 0)
            else:
                assert not connection.is_usable()
        assert self.backend.accepted == 3

    async def test_pool_waits_for_reuse_delay_and_closes_idle_connections_at_limit(self) -> None:
        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script, max_connections=2)
        listed(self.directory, instance("s-a", self.backend.port), instance("s-b", self.backend.port, cell=1))
        with mock.patch.object(backends_module, "REUSE_DELAY", 60):
            for trace in "ab":  # the first connection may not be reused yet, so a second one is opened
                await self.attempt(1, client_request(trace))
            assert (self.backend.accepted, self.backends.open_connections) == (2, 2)
            await self.attempt(2, client_request("c"))
            assert (self.backends.open_connections, len(self.backends.pools[1].idle)) == (2, 1)
        self.backends.pools[1].idle[0].reusable_at = 0.0
        await self.attempt(1, client_request("d"))
        assert (self.backend.accepted, self.backends.open_connections) == (3, 2)
        self.backend.stop()  # closes the backend's connections
        await self.wait_until(lambda: self.backends.open_connections == 0)

    async def test_response_delimited_by_close_is_served_only_after_orderly_end(self) -> None:
        """A response has neither length nor chunks, so that it is delimited by the end of the connection.

        Only an orderly close shows that it is complete; after a reset a part of it may be missing.
        """

        async def run_attempt(reset: bool) -> AttemptResult[Any]:
            async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\ntile")
                await writer.drain()
                if reset:
                    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.close()

            server = await asyncio.start_server(respond, "127.0.0.1", 0)
            pools = BackendPools(directory := Directory({}), 0.25, 30.0, 8)
            listed(directory, instance("s-a", server.sockets[0].getsockname()[1]))
            not_after = asyncio.get_running_loop().time() + 1.0
            result = await pools.attempt(
                1, client_request("t", "PUT", b"scan"), ResponseWait(not_after), lambda: True
            )
            server.close()
            return result

        assert await run_attempt(reset=True) == AttemptResult(AttemptOutcome.CONNECTION_RESET)
        assert await run_attempt(reset=False) == AttemptResult(AttemptOutcome.SERVED, b"tile")

    async def test_incomplete_response_counts_as_reset_after_timeout(self) -> None:
        """A backend stops sending within a status line or a body of a request that may be sent again.

        Without a timeout before the deadline, there would be no time for a retry.
        """

        async def run_attempt(*pieces: bytes) -> AttemptResult[Any]:
            async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                with contextlib.suppress(OSError):
                    await reader.read()
                writer.close()

            server = await asyncio.start_server(respond, "127.0.0.1", 0)
            pools = BackendPools(directory := Directory({}), 0.25, 30.0, 8)
            listed(directory, instance("s-a", server.sockets[0].getsockname()[1]))
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(0.9):
                wait = ResponseWait(loop.time() + 1.0, may_retry=True)
                result = await pools.attempt(1, client_request("t", "PUT", b"scan"), wait, lambda: True)
            server.close()
            return result

        assert await run_attempt(b"HTTP/1.1 2") == AttemptResult(AttemptOutcome.CONNECTION_RESET)
        assert await run_attempt(answer()[:-1]) == AttemptResult(AttemptOutcome.CONNECTION_RESET)
        endless = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntile\r\n"
        assert await run_attempt(endless) == AttemptResult(AttemptOutcome.CONNECTION_RESET)


class LoadReportTests(unittest.TestCase):
    def test_utilization_is_decoded_and_malformed_reports_are_ignored(self) -> None:
        for text, utilization in (
            ("TEXT inflight=7, queue=2, util=0.61", 0.61),
            ("TEXT waiting=3, cpu=1.25", 1.0),
            ("", None),
            ("TEXT cpu=7e9", None),
            ("TEXT util=-1", None),
            ("TEXT util=0.1.2", None),
            ("\x01 queue=", None),
        ):
            assert decode_utilization({"Endpoint-Load-Metrics": text}) == utilization, text
        assert decode_utilization({}) is None
