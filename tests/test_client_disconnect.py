"""Clients that disconnect while their request is served: no attempt may begin for them."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from cleatyoke.http.backend_connection import BackendConnection
from cleatyoke.scheduling.events import (
    RequestArrived,
)
from cleatyoke.transport.sockets import is_ended
from tests.http_case import OneClientCase
from tests.scripted_peers import answer


class ClientDisconnectTests(OneClientCase):
    async def while_a_connection_comes_up(self, leave: Any) -> None:
        """A client that goes while its attempt is dialled, its end not yet read by the loop."""
        dialling, up = asyncio.Event(), asyncio.Event()
        client, streams = await self.connect_client()
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
            await self.wait_until(lambda: not self.core.pending)
        await asyncio.sleep(0.05)
        assert dict(self.backend.counts) == {}

    async def test_no_attempt_begins_for_a_client_that_closed(self) -> None:
        """A client closes while its attempt's connection is being opened, unread by the loop.

        Nobody waits for the answer, so the request must not run.
        """
        await self.while_a_connection_comes_up(lambda writer: writer.close())

    async def test_no_attempt_begins_for_a_client_that_reset(self) -> None:
        """A client resets while its attempt's connection is being opened, unread by the loop."""
        await self.while_a_connection_comes_up(lambda writer: writer.transport.abort())

    async def test_no_attempt_begins_for_a_client_that_ended_its_sending(self) -> None:
        """A client shuts down its sending side while its attempt's connection is being opened.

        Clients of this protocol do so only as they give up.
        """
        await self.while_a_connection_comes_up(lambda writer: writer.write_eof())

    async def test_no_further_attempt_begins_for_a_client_that_closed_between_two(self) -> None:
        """A backend rejects an attempt, and the client has closed meanwhile, unread by the loop."""
        turned_away = asyncio.Event()

        async def script(_trace: str) -> bytes:
            transport = self.transport(client)
            transport.pause_reading()
            streams[1].close()
            await self.wait_until(lambda: is_ended(transport))
            turned_away.set()
            return answer(503, b"", "X-Never-Ran: 1")

        client, streams = await self.connect_client(script)
        streams[1].write(self.request_head("t"))
        await turned_away.wait()
        await self.wait_until(lambda: not self.core.pending)
        assert self.backend.counts["t"] == 1

    async def test_a_queued_decision_to_send_is_dropped_as_the_client_goes(self) -> None:
        """The scheduler's decision to send is queued as the client's connection ends.

        Nothing is sent, and the node's slot is given back.
        """
        client, streams = await self.connect_client()
        word = asyncio.Event()
        step = self.core.step

        def hold() -> None:  # the decision and the client's end come in one turn, the decision first
            step()
            if self.core.pending:
                streams[1].transport.abort()
                word.set()
                client.connection_lost(None)

        with mock.patch.object(self.core, "step", hold):
            streams[1].write(self.request_head("t"))
            await word.wait()
            await self.wait_until(lambda: not self.core.pending)
        await asyncio.sleep(0.05)
        assert dict(self.backend.counts) == {}
        assert not any(sum(node.in_flight_by_class) for node in self.core.scheduler.nodes.values())

    async def test_a_client_that_disconnects_cancels_its_attempt(self) -> None:
        """A client closes while a backend works on its request.

        The attempt is cancelled and its slot is free again.
        """
        await self.start_front(lambda _trace: asyncio.sleep(60))
        asking = asyncio.create_task(self.send_request("t", X_Expires_In_Ms="60000"))
        await self.wait_until(lambda: self.backend.counts["t"])
        asking.cancel()
        await self.wait_until(lambda: self.backend.open == 0 and not self.core.pending)
        assert sum(sum(node.in_flight_by_class) for node in self.core.scheduler.nodes.values()) == 0

    async def test_a_decision_to_send_that_comes_too_late_frees_its_slot(self) -> None:
        """The client leaves in the turn of the loop in which the scheduler decides to send.

        The node's slot must be given back, or it is lost for good.
        """
        # The client leaves in the turn in which the policy says where to send.
        await self.start_front(lambda _trace: asyncio.sleep(60))
        arrival = RequestArrived("t", 0, 0, 1, 1, 0, 1.0, self.core.now() + 60, 1)
        serving = asyncio.create_task(self.core.serve(arrival, mock.AsyncMock()))
        real, late = self.core.step, []

        def step() -> None:
            real()
            if "t" in self.core.pending and not self.core.pending["t"].decisions.empty():
                late.append(serving.cancel())

        with mock.patch.object(self.core, "step", step):
            await self.wait_until(lambda: late and not self.core.pending and not self.core.scheduler.requests)
        assert late == [True]
        assert sum(sum(node.in_flight_by_class) for node in self.core.scheduler.nodes.values()) == 0
