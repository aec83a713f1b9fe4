"""Every path that ends a client's connection or begins an attempt, at the instant in which something is still
owed. The order is forced: a transport that is held from reading has bytes that the loop has not read."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import Any
from unittest import mock

from aiohttp.web_protocol import RequestHandler

from cleatyoke.core import AttemptResult, Core, MayBegin, Served
from cleatyoke.discovery.directory import Directory
from cleatyoke.http import client_connection as client_connection_module
from cleatyoke.http import client_connections as client_connections_module
from cleatyoke.http.backend_connection import BackendConnection
from cleatyoke.http.client_connection import ClientConnection
from cleatyoke.scheduling.actions import SendAttempt
from cleatyoke.scheduling.events import AttemptOutcome, EndpointUpdate, UpdateKind
from cleatyoke.scheduling.settings import Idempotency
from cleatyoke.transport import closing as closing_module
from cleatyoke.transport.closing import ClosingTransport
from cleatyoke.transport.listener import Listener
from cleatyoke.transport.sockets import has_unread_bytes, is_ended, is_readable
from tests.host import Host, class_spec, entry, settings
from tests.test_http_front import FrontCase, client_request
from tests.wire import answer, config, instance, listed

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def at_once(trace: str) -> bytes:
    return answer()


class EndingCase(FrontCase):
    """A front, and its only client's connection in hand on both sides."""

    async def meet(self, script: Any = at_once, *parts: bytes) -> tuple[ClientConnection, Streams]:
        await self.start_front(script)
        streams = await self.connect(*parts)
        await self.wait_until(lambda: self.front.connections.clients)
        (client,) = self.front.connections.clients
        self.addAsyncCleanup(self.hang_up, streams[1])
        return client, streams

    async def hang_up(self, writer: asyncio.StreamWriter) -> None:
        writer.close()

    def transport(self, client: ClientConnection) -> ClosingTransport:
        assert isinstance(client.transport, ClosingTransport)
        return client.transport

    async def unread(self, client: ClientConnection, streams: Streams, *parts: bytes) -> ClosingTransport:
        """Bytes that have come and that the loop has not read."""
        transport = self.transport(client)
        transport.pause_reading()
        streams[1].write(b"".join(parts))
        await self.wait_until(lambda: has_unread_bytes(transport))
        return transport

    async def served_and_closed(self, streams: Streams) -> None:
        """One whole answer, and then an end in order: no reset."""
        async with asyncio.timeout(5):
            heard = await streams[0].read()
        assert heard.count(b"HTTP/1.1 200 ") == 1, heard
        assert heard.endswith(b"\r\n\r\ntile"), heard


class LeavingStories(EndingCase):
    async def test_a_request_that_has_come_and_is_unread_as_accepting_ends_is_answered(self) -> None:
        client, streams = await self.meet()
        await self.wait_until(lambda: client in self.front.connections.idle)
        transport = await self.unread(client, streams, self.request_head("t"))
        self.front.stop_accepting()
        await asyncio.sleep(0)
        transport.resume_reading()
        await self.served_and_closed(streams)

    async def test_a_head_of_which_a_part_has_come_as_accepting_ends_is_read_on(self) -> None:
        client, streams = await self.meet(at_once, self.request_head("t")[:20])
        await self.wait_until(lambda: client.head_started_at)
        self.front.stop_accepting()
        streams[1].write(self.request_head("t")[20:])
        await self.served_and_closed(streams)

    async def test_a_body_that_is_on_its_way_as_accepting_ends_is_read_to_its_end(self) -> None:
        head = self.request_head("t", "Content-Length: 9", method="PUT").replace(
            b"tile-read", b"record-write"
        )
        client, streams = await self.meet(at_once, head + b"half")
        await self.wait_until(lambda: client.is_busy)
        self.front.stop_accepting()
        await asyncio.sleep(0)
        streams[1].write(b"there")
        await self.served_and_closed(streams)
        assert self.backend.bodies["t"] == b"halfthere"

    async def test_what_waits_in_the_backlog_as_the_listener_closes_is_taken_and_answered(self) -> None:
        await self.start_front(at_once)
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
        await self.start_front(at_once)
        other = socket.create_server(("127.0.0.1", 0))
        with other, socket.create_connection(other.getsockname()):
            listener = Listener("", 0, lambda: True, self.front.make_connection, other.dup().detach())
            listener.close()
            assert is_readable(other.fileno())
        assert len(self.front.connections.clients) == 0

    async def test_a_connection_that_never_speaks_does_not_hold_up_the_exit(self) -> None:
        client, streams = await self.meet()
        client.opened_at -= client_connections_module.DRAIN_SILENCE_TIMEOUT
        self.front.stop_accepting()
        async with asyncio.timeout(1):
            assert await streams[0].read() == b""
        streams[1].close()
        await self.wait_until(lambda: not self.front.open_connections())

    async def test_the_exit_waits_until_an_answer_has_left_and_its_reader_has_ended(self) -> None:
        client, streams = await self.meet(at_once, self.request_head("t"))
        self.front.is_closing = True
        await self.wait_until(lambda: self.front.connections.closing)
        assert self.front.open_connections() == 1
        assert client not in self.front.connections.clients
        await self.served_and_closed(streams)
        streams[1].close()
        await self.wait_until(lambda: not self.front.open_connections())

    async def test_a_peer_that_does_not_end_its_connection_does_not_hold_up_the_exit(self) -> None:
        _, streams = await self.meet(at_once, self.request_head("t"))
        self.front.is_closing = True
        await self.wait_until(lambda: self.front.connections.closing)
        assert self.front.open_connections() == 1
        async with asyncio.timeout(0.5 * closing_module.CLOSE_TIMEOUT):
            while self.front.open_connections():
                await asyncio.sleep(0.005)
        assert len(self.front.connections.closing) == 1
        await self.served_and_closed(streams)


class ClosingStories(EndingCase):
    async def test_what_comes_behind_a_request_amid_its_long_answer_cuts_that_off(self) -> None:
        """Its head has gone out: all that is left to tell the client is an end that is none."""
        begun = asyncio.Event()

        async def script(trace: str) -> AsyncIterator[bytes]:
            async def pieces() -> AsyncIterator[bytes]:
                yield answer(200, bytes(200_000))[:100_000]
                begun.set()
                await asyncio.sleep(60)

            return pieces()

        _, streams = await self.meet(script, self.request_head("t"))
        await begun.wait()
        await streams[0].readuntil(b"\r\n\r\n")
        streams[1].write(self.request_head("next"))
        async with asyncio.timeout(0.5 * client_connection_module.IDLE_TIMEOUT):  # not by the idle limit
            assert len(await streams[0].read()) < 200000
        assert self.backend.counts["next"] == 0

    async def test_a_close_over_unread_bytes_costs_no_answer(self) -> None:
        release = asyncio.Event()

        async def script(trace: str) -> bytes:
            await release.wait()
            return answer()

        client, streams = await self.meet(script, self.request_head("t"))
        await self.wait_until(lambda: self.backend.counts["t"])
        self.front.is_closing = True
        await self.unread(client, streams, self.request_head("next"))
        release.set()
        await self.wait_until(lambda: self.front.connections.closing)
        await self.served_and_closed(streams)
        assert self.backend.counts["next"] == 0, "read after the shutdown, it must not be sent on"

    async def test_a_refused_upload_hears_why_though_none_of_it_is_read(self) -> None:
        head = self.request_head("t", "Content-Length: 60000000", method="PUT").replace(
            b"tile-read", b"record-write"
        )
        _, streams = await self.meet(at_once, head, bytes(200_000))
        async with asyncio.timeout(5):
            heard = await streams[0].read()
        assert heard[9:12] == b"413"

    async def given_up(self, behind: bytes, part: float) -> None:
        with mock.patch.multiple(closing_module, CLOSE_TIMEOUT=part, MAX_DISCARDED_BYTES=1 << 16):
            _, streams = await self.meet(at_once, self.request_head("t"))
            self.front.is_closing = True
            await self.wait_until(lambda: self.front.connections.closing)
            streams[1].write(behind)
            await self.wait_until(lambda: not self.front.connections.closing)

    async def test_a_peer_that_never_ends_is_given_up(self) -> None:
        await self.given_up(b"", 0.1)

    async def test_a_peer_that_never_stops_is_given_up(self) -> None:
        await self.given_up(bytes(1 << 20), 60.0)

    async def idle_limit(self, read_first: bool) -> None:
        client, streams = await self.meet()
        await self.wait_until(lambda: client in self.front.connections.idle)
        transport = await self.unread(client, streams, self.request_head("t"))
        client._next_keepalive_close_time = 0.0
        if read_first:  # the loop reads, then its timer is due
            client.data_received(self.request_head("u"))
        client._process_keepalive()
        assert not transport.is_closing()
        if not read_first:
            transport.resume_reading()
        async with asyncio.timeout(5):
            assert b" 200 " in await streams[0].readline()

    async def test_the_idle_limit_does_not_fall_on_what_was_read_in_the_same_turn(self) -> None:
        await self.idle_limit(read_first=True)

    async def test_the_idle_limit_does_not_fall_on_what_comes_in_the_same_turn_and_is_unread(self) -> None:
        await self.idle_limit(read_first=False)

    async def test_a_drain_by_hand_ends_no_connection_on_which_something_has_come(self) -> None:
        client, streams = await self.meet(at_once, self.request_head("t"))
        assert b" 200 " in await streams[0].readuntil(b"tile")
        await self.wait_until(lambda: client in self.front.connections.idle)
        transport = await self.unread(client, streams, self.request_head("u"))
        self.front.drain.start()
        self.front.close_idle_connections()
        assert not transport.is_closing()
        transport.resume_reading()
        await self.served_and_closed(streams)

    async def test_room_is_made_neither_by_what_is_unread_nor_by_what_was_answered_just_now(self) -> None:
        client, streams = await self.meet(at_once, self.request_head("t"))
        assert b" 200 " in await streams[0].readuntil(b"tile")
        await self.wait_until(lambda: client in self.front.connections.idle)
        self.front.connections.max_clients = 1
        client.opened_at = 0.0
        self.front.connections.idle[client] = self.core.loop.time() + 60
        assert not self.front.connections.has_capacity(), "its reader has had no time for the answer"
        self.front.connections.idle[client] = 0.0
        transport = await self.unread(client, streams, self.request_head("u"))
        assert not self.front.connections.has_capacity()
        transport.resume_reading()
        assert b" 200 " in await streams[0].readline()

    async def test_room_is_not_made_by_a_slow_head_whose_last_byte_has_come(self) -> None:
        client, streams = await self.meet(at_once, self.request_head("t")[:30])
        await self.wait_until(lambda: client.head_started_at)
        self.front.connections.max_clients = 1
        client.head_started_at = client.opened_at = 0.001
        transport = await self.unread(client, streams, self.request_head("t")[30:])
        assert not self.front.connections.has_capacity()
        transport.resume_reading()
        assert b" 200 " in await streams[0].readline()

    async def body_limit(self, read_first: bool) -> None:
        """The last bytes of a body come in the turn in which its time is up, or are unread then."""
        head = self.request_head("t", "Content-Length: 9", method="PUT").replace(
            b"tile-read", b"record-write"
        )
        client, streams = await self.meet(at_once, head + b"half")
        await self.wait_until(lambda: client.is_busy)
        await asyncio.sleep(0.02)  # it waits for the rest
        loop: Any = asyncio.get_running_loop()
        timers = [one for one in loop._scheduled if "Timeout" in repr(one) and not one.cancelled()]
        (timer,) = [one for one in timers if 1.0 < one.when() - loop.time() < 3.0]
        if read_first:
            client.data_received(b"there")
        else:
            (await self.unread(client, streams, b"there")).resume_reading()
        timer._run()  # the loop finds it due now
        async with asyncio.timeout(5):
            assert b" 200 " in await streams[0].readline()
        assert self.backend.bodies["t"] == b"halfthere"

    async def test_the_body_limit_does_not_fall_on_what_was_read_in_the_same_turn(self) -> None:
        await self.body_limit(read_first=True)

    async def test_the_body_limit_does_not_fall_on_what_is_unread(self) -> None:
        await self.body_limit(read_first=False)

    async def test_small_writes_are_never_held_back(self) -> None:
        client, streams = await self.meet(at_once, self.request_head("t"))
        assert b" 200 " in await streams[0].readuntil(b"tile")
        (line,) = self.backends.pools[1].idle
        for transport in (self.transport(client), line.transport):
            assert transport
            one = transport.get_extra_info("socket")
            assert one.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    async def test_a_connection_is_idle_only_once_its_answer_is_written(self) -> None:
        seen: list[bool] = []
        client, streams = await self.meet()
        finish = RequestHandler.finish_response

        async def look(one: ClientConnection, *words: Any) -> Any:
            seen.append(one in self.front.connections.idle)
            return await finish(one, *words)

        with mock.patch.object(RequestHandler, "finish_response", look):
            streams[1].write(self.request_head("t"))
            await streams[0].readuntil(b"tile")
        await self.wait_until(lambda: client in self.front.connections.idle)
        assert seen == [False]


class GoneClientStories(EndingCase):
    async def while_a_connection_comes_up(self, leave: Any, half: bool = False) -> None:
        """A client that goes while its attempt is dialled, its end not yet read by the loop."""
        dialling, up = asyncio.Event(), asyncio.Event()
        client, streams = await self.meet()
        dial = self.backends.connect

        async def late(pool: Any) -> BackendConnection:
            dialling.set()
            await up.wait()
            return await dial(pool)

        with mock.patch.object(self.backends, "connect", late):
            streams[1].write(self.request_head("t"))
            await dialling.wait()
            transport = self.transport(client)
            transport.pause_reading()
            leave(streams[1])
            await self.wait_until(lambda: is_ended(transport))
            up.set()
            await self.wait_until(lambda: not self.core.calls)
        await asyncio.sleep(0.05)
        assert dict(self.backend.counts) == {}

    async def test_no_attempt_begins_for_a_client_that_closed(self) -> None:
        await self.while_a_connection_comes_up(lambda writer: writer.close())

    async def test_no_attempt_begins_for_a_client_that_reset(self) -> None:
        await self.while_a_connection_comes_up(lambda writer: writer.transport.abort())

    async def test_no_attempt_begins_for_a_client_that_ended_its_sending(self) -> None:
        await self.while_a_connection_comes_up(lambda writer: writer.write_eof())

    async def test_no_further_attempt_begins_for_a_client_that_closed_between_two(self) -> None:
        turned_away = asyncio.Event()

        async def script(trace: str) -> bytes:
            transport = self.transport(client)
            transport.pause_reading()
            streams[1].close()
            await self.wait_until(lambda: is_ended(transport))
            turned_away.set()
            return answer(503, b"", "X-Never-Ran: 1")

        client, streams = await self.meet(script)
        streams[1].write(self.request_head("t"))
        await turned_away.wait()
        await self.wait_until(lambda: not self.core.calls)
        assert self.backend.counts["t"] == 1

    async def test_a_word_to_send_that_waits_as_the_client_goes_sends_nothing(self) -> None:
        client, streams = await self.meet()
        word = asyncio.Event()
        step = self.core.step

        def hold() -> None:  # the policy's word and the client's end come in one turn, the word first
            step()
            if self.core.calls:
                streams[1].transport.abort()
                word.set()
                client.connection_lost(None)

        with mock.patch.object(self.core, "step", hold):
            streams[1].write(self.request_head("t"))
            await word.wait()
            await self.wait_until(lambda: not self.core.calls)
        await asyncio.sleep(0.05)
        assert dict(self.backend.counts) == {}
        assert not any(sum(node.out) for node in self.core.policy.nodes.values())


class LeaseStories(FrontCase):
    async def test_what_allows_an_attempt_is_looked_at_once_its_connection_is_up(self) -> None:
        await self.start_front(at_once)
        asked: list[int] = []

        def may() -> bool:
            asked.append(self.backend.accepted)
            return False

        assert (await self.attempt(1, client_request("t"), may)).outcome is AttemptOutcome.NOT_SENT
        await self.wait_until(lambda: self.backend.accepted)
        assert (len(asked), dict(self.backend.counts)) == (1, {})
        assert len(self.backends.pools[1].idle) == 1, "the connection is as good as before"
        assert (await self.attempt(1, client_request("u"))).outcome is AttemptOutcome.SERVED

    async def test_a_repeat_whose_connection_comes_up_when_nodes_may_have_forgotten_is_not_sent(self) -> None:
        keyed = class_spec(idempotency=Idempotency.KEYED, idempotency_window=1.0, latency_objective=5.0)
        core, looks = Core(settings([keyed])), list[bool]()
        core.tell(EndpointUpdate(UpdateKind.SNAPSHOT, [entry(1, 1)]))

        async def attempt(node: int, may: MayBegin) -> AttemptResult[str]:
            looks.append(may())
            if len(looks) == 1:
                return AttemptResult(AttemptOutcome.CONNECTION_RESET)
            core.offset += 1.0  # it takes long to come up
            looks.append(may())
            return AttemptResult(AttemptOutcome.NOT_SENT)

        asked = Host(settings(), []).arrival("a", deadline=core.now() + 4.0)
        assert not isinstance(await core.serve(asked, attempt), Served)
        assert looks == [True, True, False]

    async def test_an_attempt_whose_own_time_is_up_does_not_begin(self) -> None:
        core, looks = Core(config().settings), list[bool]()
        core.tell(listed(Directory({}), instance("s-a", 1), whole=True))

        async def attempt(node: int, may: MayBegin) -> AttemptResult[str]:
            core.offset += 60.0
            looks.append(may())
            return AttemptResult(AttemptOutcome.NOT_SENT)

        asked = Host(settings(), []).arrival("a", shard=0, deadline=core.now() + 1.0)
        await core.serve(asked, attempt)
        assert looks == [False]


def test_a_repeat_says_when_nodes_may_forget_it_counted_from_the_first_that_may_have_run() -> None:
    host = Host(settings([class_spec(idempotency=Idempotency.KEYED, idempotency_window=1.0)]), [entry(1, 1)])
    host.ask("a")
    host.end("a", AttemptOutcome.QUEUE_FULL)  # never ran: nothing is remembered yet
    host.run_until(host.now + 0.6)
    host.end("a", AttemptOutcome.CONNECTION_RESET)
    first = host.policy.requests["a"].ran[0][0]
    host.run_until(host.now + 0.2)
    sends = [action.not_after for action in host.log if isinstance(action, SendAttempt)]
    assert sends[:2] == [float("inf")] * 2
    assert len(sends) == 3
    assert abs(sends[2] - (first + 1.0 - 0.04)) < 1e-9
