"""Clients' connections at their bound and at their timeouts.

The order is forced: a transport that is held from reading has bytes that the loop has not read.
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
    async def test_silent_connections_make_room_for_clients_that_send_requests(self) -> None:
        """All connections are taken by clients that send nothing.

        The oldest of them is closed for a client that sends a request; without that, nobody would be served.
        """

        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)
        self.front.connections.max_clients = 3
        silent = [await self.connect() for _ in range(3)]
        await self.wait_until(lambda: len(self.front.connections.clients) == 3)
        assert (await self.send_request("t"))[0] == 200
        assert await silent[0][0].read() == b""  # the oldest has ended
        more = [await self.connect() for _ in range(3)]  # the client's own idle connection outlives them
        assert await more[0][0].read() == b""
        assert (await self.send_request("u"))[0] == 200
        assert len(self.front.connections.clients) <= 3
        for _, writer in [*silent, *more]:
            writer.close()

    async def test_amid_a_crowd_that_keeps_its_connections_each_ends_with_its_answer(self) -> None:
        """Clients send one request each and keep their connections.

        Beyond a number of them each answer closes its connection; else new clients would soon find none.
        """

        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)
        self.front.config.socket_budget = replace(self.front.config.socket_budget, max_idle_clients=2)
        kept = []
        for trace in "abc":
            kept.append(await self.connect(self.request_head(trace)))
            assert b" 200 " in await kept[-1][0].readuntil(b"tile")
        assert await kept[2][0].read() == b""
        await self.wait_until(lambda: len(self.front.connections.clients) == 2)
        kept[0][1].write(self.request_head("d"))
        assert b" 200 " in await kept[0][0].readuntil(b"tile")  # those before it are kept
        assert len(self.front.connections.clients) == 2
        for _, writer in kept:
            writer.close()

    async def test_a_flood_makes_room_by_none_whose_request_may_be_on_its_way(self) -> None:
        """All connections are taken, and another client comes.

        None may be closed on which a request may be on its way: too young, or a head that has begun to come.
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
            await self.wait_until(lambda: listener and listener.pause_timer)  # it waits for capacity
        for one in self.front.connections.silent:
            one.opened_at = 0.0
        for place, (_, writer) in enumerate(young):
            writer.write(self.request_head(f"y{place}")[:9] if place else self.request_head("y0"))
        assert b" 200 " in await waiting[0].readline()  # where the one that was answered had been
        assert b" 200 " in await young[0][0].readline()
        young[1][1].write(self.request_head("y1")[9:])
        assert b" 200 " in await young[1][0].readline()
        for _, writer in [*young, waiting]:
            writer.close()

    async def test_clients_that_send_nothing_complete_are_answered_or_closed_in_time(self) -> None:
        """Clients that send nothing, half a head, an endless head, or half a body.

        Each holds a descriptor until a timeout ends it.
        """
        # Silent; half a head; a head that never ends; a body that never comes; one too long, unread.
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
                found = [await reader.read() for reader, _ in peers]
        assert [one[9:12] for one in found] == [b"", b"", b"400", b"408", b"413"]
        for _, writer in peers:
            writer.close()

    async def test_a_head_that_is_being_read_is_not_cut_off_by_the_idle_timeout(self) -> None:
        """A head begins to come shortly before the idle timeout.

        Closed then, the client would lose its request; the head has a time of its own.
        """

        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)
        with mock.patch.object(client_connection_module, "IDLE_TIMEOUT", 0.2):
            reader, writer = await self.connect(self.request_head("t")[:9])
            (client,) = await self.found(
                lambda: [one for one in self.front.connections.clients if one.head_started_at]
            )
            client.head_started_at += 60  # as if the first byte had come just now, however late the loop runs
            await asyncio.sleep(0.3)
            writer.write(self.request_head("t")[9:])
            assert b" 200 " in await reader.readline()
        writer.close()

    async def found(self, look: Any) -> Any:
        await self.wait_until(look)
        return look()


class UnreadBytesTests(OneClientCase):
    async def idle_limit(self, read_first: bool) -> None:
        client, streams = await self.connect_client()
        await self.wait_until(lambda: client in self.front.connections.idle)
        transport = await self.hold_unread(client, streams, self.request_head("t"))
        client._next_keepalive_close_time = 0.0
        if read_first:  # the loop reads, then its timer is due
            client.data_received(self.request_head("u"))
        client._process_keepalive()
        assert not transport.is_closing()
        if not read_first:
            transport.resume_reading()
        async with asyncio.timeout(5):
            assert b" 200 " in await streams[0].readline()

    async def test_the_idle_timeout_spares_what_was_read_in_the_same_turn(self) -> None:
        """A request is read in the turn of the loop in which the idle timeout is due.

        The timer must not close the connection before the request is handled.
        """
        await self.idle_limit(read_first=True)

    async def test_the_idle_timeout_spares_what_is_unread(self) -> None:
        """A request has come, unread by the loop, as the idle timeout is due.

        The kernel is asked before the connection is closed.
        """
        await self.idle_limit(read_first=False)

    async def body_limit(self, read_first: bool) -> None:
        """The last bytes of a body come in the turn in which its time is up, or are unread then."""
        head = self.request_head("t", "Content-Length: 9", method="PUT").replace(
            b"tile-read", b"record-write"
        )
        client, streams = await self.connect_client(answer_at_once, head + b"half")
        await self.wait_until(lambda: client.is_busy)
        await asyncio.sleep(0.02)  # it waits for the rest
        loop: Any = asyncio.get_running_loop()
        timers = [one for one in loop._scheduled if "Timeout" in repr(one) and not one.cancelled()]
        (timer,) = [one for one in timers if 1.0 < one.when() - loop.time() < 3.0]
        if read_first:
            client.data_received(b"there")
        else:
            (await self.hold_unread(client, streams, b"there")).resume_reading()
        timer._run()  # the loop finds it due now
        async with asyncio.timeout(5):
            assert b" 200 " in await streams[0].readline()
        assert self.backend.bodies["t"] == b"halfthere"

    async def test_the_body_timeout_spares_what_was_read_in_the_same_turn(self) -> None:
        """The last bytes of a body are read in the turn of the loop in which its time is up.

        The body is complete, so it must not be answered with 408.
        """
        await self.body_limit(read_first=True)

    async def test_the_body_timeout_spares_what_is_unread(self) -> None:
        """The last bytes of a body have come, unread by the loop, as its time is up.

        They are read once more before the request is answered with 408.
        """
        await self.body_limit(read_first=False)

    async def test_neither_an_unread_request_nor_a_fresh_answer_makes_room(self) -> None:
        """At the bound of connections, one has an unread request, or its answer was written just now.

        Closing it would cost the request, or the answer that its client has not read.
        """
        client, streams = await self.connect_client(answer_at_once, self.request_head("t"))
        assert b" 200 " in await streams[0].readuntil(b"tile")
        await self.wait_until(lambda: client in self.front.connections.idle)
        self.front.connections.max_clients = 1
        client.opened_at = 0.0
        self.front.connections.idle[client] = self.core.loop.time() + 60
        assert not self.front.connections.has_capacity(), "its reader has had no time for the answer"
        self.front.connections.idle[client] = 0.0
        transport = await self.hold_unread(client, streams, self.request_head("u"))
        assert not self.front.connections.has_capacity()
        transport.resume_reading()
        assert b" 200 " in await streams[0].readline()

    async def test_a_slow_head_whose_last_byte_has_come_makes_no_room(self) -> None:
        """A head took long, and its last byte has come but is unread as room is needed.

        The request is complete, so its connection must stay.
        """
        client, streams = await self.connect_client(answer_at_once, self.request_head("t")[:30])
        await self.wait_until(lambda: client.head_started_at)
        self.front.connections.max_clients = 1
        client.head_started_at = client.opened_at = 0.001
        transport = await self.hold_unread(client, streams, self.request_head("t")[30:])
        assert not self.front.connections.has_capacity()
        transport.resume_reading()
        assert b" 200 " in await streams[0].readline()

    async def test_small_writes_are_never_held_back(self) -> None:
        """Small writes, as the last piece of an answer, must leave at once.

        Nagle's algorithm would hold them back until the peer's next acknowledgement.
        """
        client, streams = await self.connect_client(answer_at_once, self.request_head("t"))
        assert b" 200 " in await streams[0].readuntil(b"tile")
        (line,) = self.backends.pools[1].idle
        for transport in (self.transport(client), line.transport):
            assert transport
            one = transport.get_extra_info("socket")
            assert one.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    async def test_a_connection_is_idle_only_once_its_answer_is_written(self) -> None:
        """Something looks for idle connections to close while an answer is being written.

        Counted as idle too early, the connection would be closed and the answer lost.
        """
        seen: list[bool] = []
        client, streams = await self.connect_client()
        finish = RequestHandler.finish_response

        async def look(one: ClientConnection, *words: Any) -> Any:
            seen.append(one in self.front.connections.idle)
            return await finish(one, *words)

        with mock.patch.object(RequestHandler, "finish_response", look):
            streams[1].write(self.request_head("t"))
            await streams[0].readuntil(b"tile")
        await self.wait_until(lambda: client in self.front.connections.idle)
        assert seen == [False]
