"""The front stops accepting while something is still owed to its clients.

The order is forced: a transport that is held from reading has bytes that the loop has not read.
"""

from __future__ import annotations

import asyncio
import socket

from cleatyoke.http import client_connections as client_connections_module
from cleatyoke.transport import closing as closing_module
from cleatyoke.transport.listener import Listener
from cleatyoke.transport.sockets import is_readable
from tests.http_case import (
    OneClientCase,
    answer_at_once,
)


class GracefulShutdownTests(OneClientCase):
    async def test_a_request_that_has_come_and_is_unread_as_accepting_ends_is_answered(self) -> None:
        """A request has come, unread by the loop, as the front stops accepting.

        Its connection looks idle, and must not be closed as such.
        """
        client, streams = await self.connect_client()
        await self.wait_until(lambda: client in self.front.connections.idle)
        transport = await self.hold_unread(client, streams, self.request_head("t"))
        self.front.stop_accepting()
        await asyncio.sleep(0)
        transport.resume_reading()
        await self.expect_answer_and_close(streams)

    async def test_a_head_of_which_a_part_has_come_as_accepting_ends_is_read_on(self) -> None:
        """Half a head has come as the front stops accepting.

        Its client is owed an answer: the rest is read.
        """
        client, streams = await self.connect_client(answer_at_once, self.request_head("t")[:20])
        await self.wait_until(lambda: client.head_started_at)
        self.front.stop_accepting()
        streams[1].write(self.request_head("t")[20:])
        await self.expect_answer_and_close(streams)

    async def test_a_body_that_is_on_its_way_as_accepting_ends_is_read_to_its_end(self) -> None:
        """Half a body has come as the front stops accepting.

        The rest is read and the request served; aiohttp's own shutdown would stop reading.
        """
        head = self.request_head("t", "Content-Length: 9", method="PUT").replace(
            b"tile-read", b"record-write"
        )
        client, streams = await self.connect_client(answer_at_once, head + b"half")
        await self.wait_until(lambda: client.is_busy)
        self.front.stop_accepting()
        await asyncio.sleep(0)
        streams[1].write(b"there")
        await self.expect_answer_and_close(streams)
        assert self.backend.bodies["t"] == b"halfthere"

    async def test_what_waits_in_the_backlog_as_the_listener_closes_is_answered(self) -> None:
        """A connection with a request waits in the kernel's backlog as the listener closes.

        The kernel would reset it; it is accepted first.
        """
        await self.start_front(answer_at_once)
        with socket.create_connection(("127.0.0.1", self.front.address.port)) as first:
            first.sendall(self.request_head("t"))  # the loop has had no turn since: the kernel holds it
            assert self.front.listener
            assert not self.front.connections.clients
            self.front.stop_accepting()
            first.setblocking(False)
            async with asyncio.timeout(5):
                heard = b""
                while piece := await asyncio.get_running_loop().sock_recv(first, 65536):
                    heard += piece
        assert b" 200 " in heard
        assert heard.endswith(b"tile"), heard

    async def test_what_waits_at_a_shared_listener_is_left_to_the_other_process(self) -> None:
        """The listening socket belongs to another process too, as during an upgrade.

        That process accepts what waits, so this one leaves it.
        """
        await self.start_front(answer_at_once)
        other = socket.create_server(("127.0.0.1", 0))
        with other, socket.create_connection(other.getsockname()):
            listener = Listener("", 0, lambda: True, self.front.make_connection, other.dup().detach())
            listener.close()
            assert is_readable(other.fileno())
        assert len(self.front.connections.clients) == 0

    async def test_a_connection_without_a_request_does_not_delay_the_exit(self) -> None:
        """A client is connected and never sends a request.

        It must not keep the process until its idle timeout.
        """
        client, streams = await self.connect_client()
        client.opened_at -= client_connections_module.DRAIN_SILENCE_TIMEOUT
        self.front.stop_accepting()
        async with asyncio.timeout(1):
            assert await streams[0].read() == b""
        streams[1].close()
        await self.wait_until(lambda: not self.front.open_connections())

    async def test_the_exit_waits_until_an_answer_has_left_and_its_reader_has_ended(self) -> None:
        """The last answer is written, and its client has not read it as the process would exit.

        An exit at that moment could reset the connection and lose the answer.
        """
        client, streams = await self.connect_client(answer_at_once, self.request_head("t"))
        self.front.is_closing = True
        await self.wait_until(lambda: self.front.connections.closing)
        await asyncio.sleep(0)  # the protocol hears of its end in the next turn of the loop
        assert self.front.open_connections() == 1
        assert client not in self.front.connections.clients
        await self.expect_answer_and_close(streams)
        streams[1].close()
        await self.wait_until(lambda: not self.front.open_connections())

    async def test_a_peer_that_does_not_close_does_not_delay_the_exit(self) -> None:
        """A client has had its answer and keeps its side of the connection open.

        It has had the time to read, so the process need not wait for it.
        """
        _, streams = await self.connect_client(answer_at_once, self.request_head("t"))
        self.front.is_closing = True
        await self.wait_until(lambda: self.front.connections.closing)
        await asyncio.sleep(0)  # the protocol hears of its end in the next turn of the loop
        assert self.front.open_connections() == 1
        async with asyncio.timeout(0.5 * closing_module.CLOSE_TIMEOUT):
            while self.front.open_connections():
                await asyncio.sleep(0.005)
        assert len(self.front.connections.closing) == 1
        await self.expect_answer_and_close(streams)

    async def test_a_drain_closes_no_connection_on_which_something_has_come(self) -> None:
        """An operator drains the front while a request has come that is unread.

        The connection looks idle, and is closed only with the request's answer.
        """
        client, streams = await self.connect_client(answer_at_once, self.request_head("t"))
        assert b" 200 " in await streams[0].readuntil(b"tile")
        await self.wait_until(lambda: client in self.front.connections.idle)
        transport = await self.hold_unread(client, streams, self.request_head("u"))
        self.front.drain.start()
        self.front.close_idle_connections()
        assert not transport.is_closing()
        transport.resume_reading()
        await self.expect_answer_and_close(streams)
