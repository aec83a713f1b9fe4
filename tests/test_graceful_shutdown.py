"""The front stops accepting while requests and answers are still in progress.

The tests force the order of events by pausing the reading of a transport, so that received bytes stay unread.
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
    async def test_unread_request_when_accepting_ends_is_answered(self) -> None:
        """A request has arrived but is unread by the loop when the front stops accepting.

        Its connection appears idle, and must not be closed as idle.
        """
        client, streams = await self.connect_client()
        await self.wait_until(lambda: client in self.front.connections.idle)
        transport = await self.hold_unread(client, streams, self.request_head("t"))
        self.front.stop_accepting()
        await asyncio.sleep(0)
        transport.resume_reading()
        await self.expect_response_and_close(streams)

    async def test_partial_head_when_accepting_ends_is_read_to_its_end(self) -> None:
        """Part of a request head has arrived when the front stops accepting.

        The rest must be read and the request answered.
        """
        client, streams = await self.connect_client(answer_at_once, self.request_head("t")[:20])
        await self.wait_until(lambda: client.head_started_at)
        self.front.stop_accepting()
        streams[1].write(self.request_head("t")[20:])
        await self.expect_response_and_close(streams)

    async def test_partial_body_when_accepting_ends_is_read_to_its_end(self) -> None:
        """Part of a request body has arrived when the front stops accepting.

        The rest must be read and the request served; aiohttp's own shutdown would stop reading.
        """
        head = self.request_head("t", "Content-Length: 9", method="PUT").replace(
            b"tile-read", b"record-write"
        )
        client, streams = await self.connect_client(answer_at_once, head + b"half")
        await self.wait_until(lambda: client.is_busy)
        self.front.stop_accepting()
        await asyncio.sleep(0)
        streams[1].write(b"there")
        await self.expect_response_and_close(streams)
        assert self.backend.bodies["t"] == b"halfthere"

    async def test_connection_in_backlog_when_listener_closes_is_answered(self) -> None:
        """A connection with a request is in the kernel's backlog when the listener closes.

        The kernel would reset it, so it must be accepted first.
        """
        await self.start_front(answer_at_once)
        with socket.create_connection(("127.0.0.1", self.front.address.port)) as first:
            first.sendall(self.request_head("t"))  # the loop does not run before the listener closes
            assert self.front.listener
            assert not self.front.connections.clients
            self.front.stop_accepting()
            first.setblocking(False)
            async with asyncio.timeout(5):
                received = b""
                while chunk := await asyncio.get_running_loop().sock_recv(first, 65536):
                    received += chunk
        assert b" 200 " in received
        assert received.endswith(b"tile"), received

    async def test_connection_in_shared_backlog_is_left_to_the_other_process(self) -> None:
        """Another process shares the listening socket, as during an upgrade.

        That process accepts the waiting connections, so this one must leave them.
        """
        await self.start_front(answer_at_once)
        other = socket.create_server(("127.0.0.1", 0))
        with other, socket.create_connection(other.getsockname()):
            listener = Listener("", 0, lambda: True, self.front.make_connection, other.dup().detach())
            listener.close()
            assert is_readable(other.fileno())
        assert len(self.front.connections.clients) == 0

    async def test_connection_without_request_does_not_delay_exit(self) -> None:
        """A client connects and never sends a request.

        The exit must not wait for the connection's idle timeout.
        """
        client, streams = await self.connect_client()
        client.opened_at -= client_connections_module.DRAIN_SILENCE_TIMEOUT
        self.front.stop_accepting()
        async with asyncio.timeout(1):
            assert await streams[0].read() == b""
        streams[1].close()
        await self.wait_until(lambda: not self.front.open_connections())

    async def test_exit_waits_until_the_client_has_read_the_answer_and_closed(self) -> None:
        """The last answer is written, but its client has not read it yet.

        An exit at that moment could reset the connection and lose the answer.
        """
        client, streams = await self.connect_client(answer_at_once, self.request_head("t"))
        self.front.is_closing = True
        await self.wait_until(lambda: self.front.connections.closing)
        await asyncio.sleep(0)  # the protocol is notified in the next iteration of the loop
        assert self.front.open_connections() == 1
        assert client not in self.front.connections.clients
        await self.expect_response_and_close(streams)
        streams[1].close()
        await self.wait_until(lambda: not self.front.open_connections())

    async def test_client_that_stays_connected_does_not_delay_exit(self) -> None:
        """A client has received its answer and keeps its side of the connection open.

        It has had time to read the answer, so the process must not wait for it any longer.
        """
        _, streams = await self.connect_client(answer_at_once, self.request_head("t"))
        self.front.is_closing = True
        await self.wait_until(lambda: self.front.connections.closing)
        await asyncio.sleep(0)  # the protocol is notified in the next iteration of the loop
        assert self.front.open_connections() == 1
        async with asyncio.timeout(0.5 * closing_module.CLOSE_TIMEOUT):
            while self.front.open_connections():
                await asyncio.sleep(0.005)
        assert len(self.front.connections.closing) == 1
        await self.expect_response_and_close(streams)

    async def test_drain_keeps_a_connection_with_an_unread_request(self) -> None:
        """An operator drains the front when a request has arrived but is unread.

        The connection appears idle, and must be closed only after the answer to the request.
        """
        client, streams = await self.connect_client(answer_at_once, self.request_head("t"))
        assert b" 200 " in await streams[0].readuntil(b"tile")
        await self.wait_until(lambda: client in self.front.connections.idle)
        transport = await self.hold_unread(client, streams, self.request_head("u"))
        self.front.drain.start()
        self.front.close_idle_connections()
        assert not transport.is_closing()
        transport.resume_reading()
        await self.expect_response_and_close(streams)
