"""Clients that disconnect while their request is being served: no attempt may begin for them."""

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
    async def disconnect_while_connecting(self, disconnect: Any) -> None:
        """A client disconnects while a connection is opened for its attempt, not yet read by the loop."""
        connecting, may_connect = asyncio.Event(), asyncio.Event()
        client, streams = await self.connect_client()
        original_connect = self.backends.connect

        async def connect_when_allowed(pool: Any) -> BackendConnection:
            connecting.set()
            await may_connect.wait()
            return await original_connect(pool)

        with mock.patch.object(self.backends, "connect", connect_when_allowed):
            streams[1].write(self.request_head("t"))
            await connecting.wait()
            transport = self.transport(client)
            transport.pause_reading()
            disconnect(streams[1])
            await self.wait_until(lambda: is_ended(transport))
            may_connect.set()
            await self.wait_until(lambda: not self.core.pending)
        await asyncio.sleep(0.05)
        assert dict(self.backend.counts) == {}

    async def test_no_attempt_begins_after_client_closed(self) -> None:
        """A client closes, unread by the loop, while its attempt's connection is being opened.

        Nobody waits for the response, so the request must not run.
        """
        await self.disconnect_while_connecting(lambda writer: writer.close())

    async def test_no_attempt_begins_after_client_reset(self) -> None:
        """A client resets, unread by the loop, while its attempt's connection is being opened."""
        await self.disconnect_while_connecting(lambda writer: writer.transport.abort())

    async def test_no_attempt_begins_after_client_shut_down_sending(self) -> None:
        """A client shuts down its sending side while its attempt's connection is being opened.

        Clients of this protocol do so only when they cancel their request.
        """
        await self.disconnect_while_connecting(lambda writer: writer.write_eof())

    async def test_no_retry_begins_after_client_closed(self) -> None:
        """A backend rejects an attempt, and the client has closed in the meantime, unread by the loop."""
        rejected = asyncio.Event()

        async def script(_trace: str) -> bytes:
            transport = self.transport(client)
            transport.pause_reading()
            streams[1].close()
            await self.wait_until(lambda: is_ended(transport))
            rejected.set()
            return answer(503, b"", "X-Never-Ran: 1")

        client, streams = await self.connect_client(script)
        streams[1].write(self.request_head("t"))
        await rejected.wait()
        await self.wait_until(lambda: not self.core.pending)
        assert self.backend.counts["t"] == 1

    async def test_queued_send_decision_is_dropped_when_client_disconnects(self) -> None:
        """The scheduler's decision to send is queued when the client's connection ends.

        Nothing is sent, and the node's slot is released.
        """
        client, streams = await self.connect_client()
        decided = asyncio.Event()
        original_step = self.core.step

        def step_and_disconnect() -> None:  # both in one loop iteration, the decision first
            original_step()
            if self.core.pending:
                streams[1].transport.abort()
                decided.set()
                client.connection_lost(None)

        with mock.patch.object(self.core, "step", step_and_disconnect):
            streams[1].write(self.request_head("t"))
            await decided.wait()
            await self.wait_until(lambda: not self.core.pending)
        await asyncio.sleep(0.05)
        assert dict(self.backend.counts) == {}
        assert not any(sum(node.in_flight_by_class) for node in self.core.scheduler.nodes.values())

    async def test_client_disconnect_cancels_attempt(self) -> None:
        """A client closes while a backend processes its request.

        The attempt is cancelled and its slot is released.
        """
        await self.start_front(lambda _trace: asyncio.sleep(60))
        request = asyncio.create_task(self.send_request("t", X_Expires_In_Ms="60000"))
        await self.wait_until(lambda: self.backend.counts["t"])
        request.cancel()
        await self.wait_until(lambda: self.backend.open == 0 and not self.core.pending)
        assert sum(sum(node.in_flight_by_class) for node in self.core.scheduler.nodes.values()) == 0

    async def test_send_decision_after_cancellation_frees_its_slot(self) -> None:
        """The client disconnects in the loop iteration in which the scheduler decides to send.

        The node's slot must be released, or it would be lost permanently.
        """
        await self.start_front(lambda _trace: asyncio.sleep(60))
        arrival = RequestArrived("t", 0, 0, 1, 1, 0, 1.0, self.core.now() + 60, 1)
        serving = asyncio.create_task(self.core.serve(arrival, mock.AsyncMock()))
        original_step, cancellations = self.core.step, []

        def step() -> None:
            original_step()
            if "t" in self.core.pending and not self.core.pending["t"].decisions.empty():
                cancellations.append(serving.cancel())

        with mock.patch.object(self.core, "step", step):
            await self.wait_until(
                lambda: cancellations and not self.core.pending and not self.core.scheduler.requests
            )
        assert cancellations == [True]
        assert sum(sum(node.in_flight_by_class) for node in self.core.scheduler.nodes.values()) == 0
