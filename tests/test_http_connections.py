"""Client connections at their limit and at their timeouts.

The order of events is forced by pausing a transport's reading, so that bytes stay unread in the kernel.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from typing import Any
from unittest import mock

from aiohttp.web_protocol import RequestHandler

from cleatyoke.http import body_reader as body_reader_module
from cleatyoke.http import client_connection as client_connection_module
from cleatyoke.http import client_connections as client_connections_module
from cleatyoke.http.client_connection import ClientConnection
from tests.http_case import (
    FrontCase,
    OneClientCase,
    answer_at_once,
)
from tests.scripted_peers import answer


class ConnectionLimitTests(FrontCase):
    async def test_silent_connections_are_evicted_for_clients_that_send_requests(self) -> None:
        """Clients that send nothing use up all connections.

        The oldest of them is evicted for a client that sends a request; otherwise no client would be served.
        """

        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)
        self.front.connections.max_clients = 3
        silent = [await self.connect() for _ in range(3)]
        await self.wait_until(lambda: len(self.front.connections.clients) == 3)
        assert (await self.send_request("t"))[0] == 200
        assert await silent[0][0].read() == b""  # the oldest was evicted
        more = [await self.connect() for _ in range(3)]  # evicted before the client's idle connection
        assert await more[0][0].read() == b""
        assert (await self.send_request("u"))[0] == 200
        assert len(self.front.connections.clients) <= 3
        for _, writer in [*silent, *more]:
            writer.close()

    async def test_connections_above_idle_limit_are_closed_with_their_response(self) -> None:
        """Clients send one request each and keep their connections open.

        Above the limit of idle connections each response closes its connection; else new clients would
        starve.
        """

        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)
        self.front.config.socket_budget = replace(self.front.config.socket_budget, max_idle_clients=2)
        connections = []
        for trace in "abc":
            connections.append(await self.connect(self.request_head(trace)))
            assert b" 200 " in await connections[-1][0].readuntil(b"tile")
        assert await connections[2][0].read() == b""
        await self.wait_until(lambda: len(self.front.connections.clients) == 2)
        connections[0][1].write(self.request_head("d"))
        assert b" 200 " in await connections[0][0].readuntil(b"tile")  # earlier connections are kept
        assert len(self.front.connections.clients) == 2
        for _, writer in connections:
            writer.close()

    async def test_connections_that_may_carry_a_request_are_not_evicted_in_a_flood(self) -> None:
        """All connections are in use, and another client connects.

        None may be evicted that may carry a request: recently opened ones, or ones with a partial head.
        """

        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)
        self.front.connections.max_clients = 2
        with mock.patch.object(client_connections_module, "MIN_EVICTION_AGE", 60):
            young = [await self.connect() for _ in range(2)]
            await self.wait_until(lambda: len(self.front.connections.clients) == 2)
            waiting = await self.connect(self.request_head("t"))
            listener = self.front.listener
            await self.wait_until(lambda: listener and listener.pause_timer)  # paused for lack of capacity
        for client in self.front.connections.silent:
            client.opened_at = 0.0
        for index, (_, writer) in enumerate(young):
            writer.write(self.request_head(f"y{index}")[:9] if index else self.request_head("y0"))
        assert b" 200 " in await waiting[0].readline()  # evicts the connection that was answered
        assert b" 200 " in await young[0][0].readline()
        young[1][1].write(self.request_head("y1")[9:])
        assert b" 200 " in await young[1][0].readline()
        for _, writer in [*young, waiting]:
            writer.close()

    async def test_incomplete_requests_are_answered_or_closed_after_timeout(self) -> None:
        """Clients send nothing, a partial head, an endless head, or a partial body.

        Each would hold a descriptor for good without a timeout.
        """
        # Silent; partial head; endless head; body that stalls; body that is too long and stays unread.
        await self.start_front(lambda _trace: asyncio.sleep(60))
        slow = self.request_head("t", "Content-Length: 9", method="PUT") + b"scan"
        slow = slow.replace(b"tile-read", b"record-write")
        huge = self.request_head("u", "Content-Length: 60000000", method="PUT")
        cases = [b"", self.request_head("t")[:-2], b"GET / HTTP/1.1\r\nX: " + bytes(100_000), slow, huge]
        with (
            mock.patch.multiple(client_connection_module, IDLE_TIMEOUT=0.2, HEAD_TIMEOUT=0.4),
            mock.patch.object(body_reader_module, "BODY_TIMEOUT", 0.2),
        ):
            peers = [await self.connect(case) for case in cases]
            async with asyncio.timeout(2):
                responses = [await reader.read() for reader, _ in peers]
        assert [response[9:12] for response in responses] == [b"", b"", b"400", b"408", b"413"]
        for _, writer in peers:
            writer.close()

    async def test_long_head_of_short_fields_is_rejected_before_it_ends(self) -> None:
        """A client sends a head with many fields of which each is short enough.

        With a limit for each field alone, hundreds of such heads would hold a quarter of a megabyte each.
        """
        await self.start_front(answer_at_once)
        fields = [f"X-{number}: {'x' * 3000}" for number in range(7)]
        reader, writer = await self.connect(self.request_head("t", *fields)[:-2])
        async with asyncio.timeout(1):
            assert b" 431 " in await reader.readline()
            assert (await reader.read()).endswith(b"\r\n\r\n")
        writer.close()
        assert not self.front.connections.clients

    async def test_idle_timeout_does_not_close_connection_with_partial_head(self) -> None:
        """The first bytes of a head are received shortly before the idle timeout.

        Closing then would lose the request, so heads have a timeout of their own.
        """

        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)
        with mock.patch.object(client_connection_module, "IDLE_TIMEOUT", 0.2):
            reader, writer = await self.connect(self.request_head("t")[:9])
            (client,) = await self.wait_for(
                lambda: [
                    candidate for candidate in self.front.connections.clients if candidate.head_started_at
                ]
            )
            client.head_started_at += 60  # as if just received, so that a delayed loop does not fail the test
            await asyncio.sleep(0.3)
            writer.write(self.request_head("t")[9:])
            assert b" 200 " in await reader.readline()
        writer.close()

    async def wait_for(self, query: Any) -> Any:
        await self.wait_until(query)
        return query()


class UnreadBytesTests(OneClientCase):
    async def expire_idle_timeout(self, read_first: bool) -> None:
        client, streams = await self.connect_client()
        await self.wait_until(lambda: client in self.front.connections.idle)
        transport = await self.hold_unread(client, streams, self.request_head("t"))
        client._next_keepalive_close_time = 0.0
        if read_first:  # the loop reads, then runs the timer in the same iteration
            client.data_received(self.request_head("u"))
        client._process_keepalive()
        assert not transport.is_closing()
        if not read_first:
            transport.resume_reading()
        async with asyncio.timeout(5):
            assert b" 200 " in await streams[0].readline()

    async def test_idle_timeout_keeps_request_read_in_the_same_iteration(self) -> None:
        """A request is read in the loop iteration in which the idle timeout is due.

        The timer must not close the connection before the request is handled.
        """
        await self.expire_idle_timeout(read_first=True)

    async def test_idle_timeout_keeps_unread_request(self) -> None:
        """A request is in the kernel's buffer, unread by the loop, when the idle timeout is due.

        The socket is checked for unread bytes before the connection is closed.
        """
        await self.expire_idle_timeout(read_first=False)

    async def expire_body_timeout(self, read_first: bool) -> None:
        """Run a body's timeout when its last bytes are read in the same loop iteration, or are unread."""
        head = self.request_head("t", "Content-Length: 9", method="PUT").replace(
            b"tile-read", b"record-write"
        )
        client, streams = await self.connect_client(answer_at_once, head + b"half")
        await self.wait_until(lambda: client.is_busy)
        await asyncio.sleep(0.02)  # the front waits for the rest
        loop: Any = asyncio.get_running_loop()
        timers = [
            candidate
            for candidate in loop._scheduled
            if "Timeout" in repr(candidate) and not candidate.cancelled()
        ]
        (timer,) = [candidate for candidate in timers if 1.0 < candidate.when() - loop.time() < 3.0]
        if read_first:
            client.data_received(b"there")
        else:
            (await self.hold_unread(client, streams, b"there")).resume_reading()
        timer._run()  # as if due now
        async with asyncio.timeout(5):
            assert b" 200 " in await streams[0].readline()
        assert self.backend.bodies["t"] == b"halfthere"

    async def test_body_timeout_keeps_body_read_in_the_same_iteration(self) -> None:
        """The last bytes of a body are read in the loop iteration in which its timeout is due.

        The body is complete, so it must not be answered with 408.
        """
        await self.expire_body_timeout(read_first=True)

    async def test_body_timeout_keeps_unread_body(self) -> None:
        """The last bytes of a body are in the kernel's buffer when its timeout is due.

        Unread bytes are read once before the request is answered with 408.
        """
        await self.expire_body_timeout(read_first=False)

    async def test_connection_with_unread_request_or_recent_response_is_not_evicted(self) -> None:
        """At the connection limit, a connection has an unread request, or its response was written just now.

        Evicting it would lose the request, or the response that its client has not read.
        """
        client, streams = await self.connect_client(answer_at_once, self.request_head("t"))
        assert b" 200 " in await streams[0].readuntil(b"tile")
        await self.wait_until(lambda: client in self.front.connections.idle)
        self.front.connections.max_clients = 1
        client.opened_at = 0.0
        self.front.connections.idle[client] = self.core.loop.time() + 60
        assert not self.front.connections.has_capacity(), "the client has had no time to read the response"
        self.front.connections.idle[client] = 0.0
        transport = await self.hold_unread(client, streams, self.request_head("u"))
        assert not self.front.connections.has_capacity()
        transport.resume_reading()
        assert b" 200 " in await streams[0].readline()

    async def test_connection_with_complete_unread_slow_head_is_not_evicted(self) -> None:
        """A slow head is complete, but its last bytes are unread when a connection has to be evicted.

        The request is complete, so its connection must be kept.
        """
        client, streams = await self.connect_client(answer_at_once, self.request_head("t")[:30])
        await self.wait_until(lambda: client.head_started_at)
        self.front.connections.max_clients = 1
        client.head_started_at = client.opened_at = 0.001
        transport = await self.hold_unread(client, streams, self.request_head("t")[30:])
        assert not self.front.connections.has_capacity()
        transport.resume_reading()
        assert b" 200 " in await streams[0].readline()

    async def test_sockets_have_nagle_algorithm_disabled(self) -> None:
        """Small writes, such as the last piece of a response, must be sent immediately.

        Nagle's algorithm would delay them until the peer's next acknowledgement.
        """
        client, streams = await self.connect_client(answer_at_once, self.request_head("t"))
        assert b" 200 " in await streams[0].readuntil(b"tile")
        (backend_connection,) = self.backends.pools[1].idle
        for transport in (self.transport(client), backend_connection.transport):
            assert transport
            sock = transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    async def test_connection_is_idle_only_after_response_is_written(self) -> None:
        """Idle connections are evicted while a response is being written.

        A connection marked as idle too early would be closed and its response lost.
        """
        was_idle: list[bool] = []
        client, streams = await self.connect_client()
        original_finish = RequestHandler.finish_response

        async def check_and_finish(connection: ClientConnection, *args: Any) -> Any:
            was_idle.append(connection in self.front.connections.idle)
            return await original_finish(connection, *args)

        with mock.patch.object(RequestHandler, "finish_response", check_and_finish):
            streams[1].write(self.request_head("t"))
            await streams[0].readuntil(b"tile")
        await self.wait_until(lambda: client in self.front.connections.idle)
        assert was_idle == [False]
