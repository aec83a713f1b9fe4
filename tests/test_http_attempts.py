"""Attempts at backends: their outcomes, and the checks made immediately before an attempt is sent."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any
from unittest import mock

import pytest

from cleatyoke.core import AttemptResult, Core, MayBegin, Served
from cleatyoke.discovery.directory import Directory
from cleatyoke.http import backends as backends_module
from cleatyoke.scheduling.actions import SendAttempt
from cleatyoke.scheduling.events import (
    AttemptOutcome,
    EndpointState,
    EndpointUpdate,
    UpdateKind,
)
from cleatyoke.scheduling.settings import Idempotency
from tests.driven_front import DrivenFront, class_spec, endpoint, settings
from tests.http_case import FrontCase, answer_at_once, client_request
from tests.scripted_peers import ScriptedHttpBackend, answer, config, instance, listed


class EarlyRejection(ScriptedHttpBackend):
    """Rejects the request of its first connection before reading the body, and keeps the connection."""

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.accepted > 1:
            await super().serve_connection(reader, writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer(503, b"", "X-Never-Ran: 1"))
        await asyncio.sleep(0.3)
        with contextlib.suppress(asyncio.IncompleteReadError):
            await super().serve_connection(reader, writer)


class AttemptOutcomeTests(FrontCase):
    async def test_connection_with_unsent_body_is_not_reused(self) -> None:
        """A backend rejects a long upload before it has read it, and keeps the connection.

        The next attempt would be written into the middle of the body that is still being sent.
        """
        await self.start_front(answer_at_once)
        self.backend.stop()
        self.backend = await EarlyRejection(answer_at_once).start()
        self.core.notify(listed(self.directory, instance("s-b", self.backend.port), whole=True))
        body = bytes(12 << 20)
        with mock.patch.object(backends_module, "REUSE_DELAY", 0.0):
            async with asyncio.timeout(5):
                assert (await self.send_request("t", "PUT", body))[0] == 200
        assert self.backend.bodies["t"] == body
        assert self.backend.accepted == 2

    async def test_request_on_broken_pooled_connection_is_not_resent(self) -> None:
        """A pooled connection breaks after a write was sent on it.

        An HTTP client library might resend the write by itself, so that it could run twice. The client gets
        an error, and the backend receives one attempt.
        """

        async def script(trace: str) -> bytes | None:
            return None if trace == "broken" else answer()

        await self.start_front(script)
        await self.send_request("warm")
        self.backends.pools[1].idle[0].reusable_at = 0.0
        status, _ = await self.send_request("broken", "PUT", b"scan")
        assert (status, self.backend.counts["broken"]) == (502, 1)
        assert self.backend.accepted == 1, "the connection that broke must be the pooled one"

    async def test_rejected_write_that_never_ran_is_retried(self) -> None:
        async def script(trace: str) -> bytes:
            return answer() if self.backend.counts[trace] > 1 else answer(503, b"", "X-Never-Ran: 1")

        await self.start_front(script)
        assert (await self.send_request("t", "PUT", b"scan"))[0] == 200
        assert self.backend.counts["t"] == 2

    async def test_rejected_write_that_may_have_run_is_not_retried(self) -> None:
        """A backend responds to a write with 503 but without ``X-Never-Ran``.

        The write may have run, so a retry could run it twice.
        """

        async def script(_trace: str) -> bytes:
            return answer(503, b"")

        await self.start_front(script)
        assert (await self.send_request("t", "PUT", b"scan"))[0] == 502
        assert self.backend.counts["t"] == 1

    async def test_silent_backend_causes_one_attempt_and_a_timely_error(self) -> None:
        """A backend accepts a write and never responds.

        The client gets an error by its deadline, and the connection of the attempt is closed.
        """
        await self.start_front(lambda _trace: asyncio.sleep(60))
        began = self.core.now()
        status, _ = await self.send_request("t", "PUT", b"scan", X_Expires_In_Ms="300")
        assert self.core.now() - began < 2.0  # the backend would take a minute
        assert (status, self.backend.counts["t"]) == (502, 1)
        await self.wait_until(lambda: self.backend.open == 0)  # the abandoned attempt's connection is closed

    async def test_request_with_too_little_time_is_rejected_without_attempt(self) -> None:
        await self.start_front(lambda _trace: asyncio.sleep(60))
        assert (await self.send_request("t", "PUT", b"scan", X_Expires_In_Ms="1"))[0] == 503
        assert self.backend.accepted == 0

    async def test_client_wait_is_capped_by_class_timeout(self) -> None:
        """A client's header allows ten minutes, and the backend does not respond.

        The client timeout of the class ends the attempt: else one client would hold a backend's slot for
        minutes.
        """
        await self.start_front(lambda _trace: asyncio.sleep(60))
        self.front.config.client_timeouts[1] = 0.3
        async with asyncio.timeout(5):  # the backend would take a minute
            assert (await self.send_request("t", "PUT", b"scan", X_Expires_In_Ms="600000"))[0] == 502

    async def test_request_without_serving_backend_is_rejected_immediately(self) -> None:
        await self.start_front(lambda _trace: asyncio.sleep(60))
        self.core.notify(listed(self.directory, instance("s-a", self.backend.port, EndpointState.DRAINING)))
        began = self.core.now()
        assert (await self.send_request("t"))[0] == 503
        assert self.core.now() - began < 1.4  # not queued until the deadline
        assert self.backend.accepted == 0


class AttemptStartTests(FrontCase):
    async def test_backend_draining_during_connect_receives_no_request(self) -> None:
        """A backend begins to drain while a connection to it is being opened.

        Its state is checked again immediately before the first byte.
        """

        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)
        original_connect = self.backends.connect

        async def connect_then_drain(pool: Any) -> Any:
            connection = await original_connect(pool)
            listed(self.directory, instance("s-a", self.backend.port, EndpointState.DRAINING))
            return connection

        with mock.patch.object(self.backends, "connect", connect_then_drain):
            outcome = (await self.attempt(1, client_request("t"))).outcome
        assert (outcome, self.backend.counts["t"]) == (AttemptOutcome.NOT_SENT, 0)

    async def test_refused_connection_counts_as_failed_and_draining_backend_pool_is_closed(self) -> None:
        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)
        await self.attempt(1, client_request("t"))
        assert self.backend.open == 1
        listed(self.directory, instance("s-a", self.backend.port, EndpointState.DRAINING))
        await self.wait_until(lambda: self.backend.open == 0)
        self.backend.stop()
        listed(self.directory, instance("s-a", self.backend.port))
        outcome = (await self.attempt(1, client_request("t"))).outcome
        assert outcome == AttemptOutcome.CONNECTION_FAILED

    async def test_connection_lost_before_first_byte_counts_as_connection_failed(self) -> None:
        """A connection ends before the first byte of the request is sent.

        The request cannot have run, so the attempt may be retried.
        """

        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)
        original_connect = self.backends.connect

        async def connect_then_abort(pool: Any) -> Any:
            connection = await original_connect(pool)
            connection.abort()
            return connection

        with mock.patch.object(self.backends, "connect", connect_then_abort):
            result = await self.attempt(1, client_request("t", "PUT", b"scan"))
        assert result == AttemptResult(AttemptOutcome.CONNECTION_FAILED)
        assert (self.backend.counts["t"], self.backends.open_connections) == (0, 0)

    async def test_connection_established_after_timeout_carries_no_request(self) -> None:
        """A connection is established by a SYN retransmission after its attempt timed out.

        The backend's backlog was full. A request sent on that connection would run although its client was
        told that it failed.
        """
        await self.start_front(answer_at_once)
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            listener.setblocking(False)
            port = listener.getsockname()[1]
            fillers = [socket.socket() for _ in range(3)]
            for each in fillers:
                each.setblocking(False)
                each.connect_ex(("127.0.0.1", port))
            await asyncio.sleep(0.05)
            listed(self.directory, instance("s-late", port, cell=3))
            assert await self.attempt(2, client_request("t", "PUT", b"scan")) == AttemptResult(
                AttemptOutcome.CONNECTION_FAILED
            )
            assert self.backends.open_connections == 0
            loop, received = asyncio.get_running_loop(), []
            end = loop.time() + 1.5
            while loop.time() < end:
                with contextlib.suppress(BlockingIOError):
                    connection, _ = listener.accept()
                    connection.settimeout(0.05)
                    with connection, contextlib.suppress(OSError):
                        received.append(connection.recv(100))
                await asyncio.sleep(0.02)
            for each in fillers:
                each.close()
        assert [each for each in received if each] == []

    async def test_attempt_abandoned_while_writing_is_never_received_completely(self) -> None:
        """An attempt times out while its long body is being written.

        The rest of the body must not be sent: the backend would run an abandoned request.
        """
        await self.start_front(answer_at_once)
        received = bytearray()
        may_read, ended = asyncio.Event(), asyncio.Event()

        async def read_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await may_read.wait()
            with contextlib.suppress(OSError):
                while piece := await reader.read(1 << 16):
                    received.extend(piece)
            writer.close()
            ended.set()

        server = await asyncio.start_server(read_late, "127.0.0.1", 0, limit=1 << 16)
        listed(self.directory, instance("s-slow", server.sockets[0].getsockname()[1], cell=3))
        request = client_request("t", "PUT")
        request.body = [bytes(1 << 20)] * 16
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await self.attempt(2, request)
        may_read.set()
        async with asyncio.timeout(5):
            await ended.wait()
        server.close()
        assert len(received) < 16 << 20
        assert (self.backends.open_connections, self.backends.metrics.backend_calls) == (0, 0)

    async def test_may_begin_is_checked_after_connecting(self) -> None:
        """Connecting takes long, and the attempt is no longer allowed when the connection is up.

        ``may_begin`` is checked immediately before the first byte; the unused connection is pooled.
        """
        await self.start_front(answer_at_once)
        accepted_at_check: list[int] = []

        def may_begin() -> bool:
            accepted_at_check.append(self.backend.accepted)
            return False

        assert (await self.attempt(1, client_request("t"), may_begin)).outcome is AttemptOutcome.NOT_SENT
        await self.wait_until(lambda: self.backend.accepted)
        assert (len(accepted_at_check), dict(self.backend.counts)) == (1, {})
        assert len(self.backends.pools[1].idle) == 1, "the unused connection must be pooled"
        assert (await self.attempt(1, client_request("u"))).outcome is AttemptOutcome.SERVED

    async def test_retry_after_idempotency_window_is_not_sent(self) -> None:
        """A retry's connection is established after backends may have forgotten the idempotency key.

        Sent then, the request could run twice.
        """
        keyed = class_spec(idempotency=Idempotency.KEYED, idempotency_window=1.0, latency_objective=5.0)
        core, checks = Core(settings([keyed])), list[bool]()
        core.notify(EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(1, 1)]))

        async def attempt(_node: int, may_begin: MayBegin) -> AttemptResult[str]:
            checks.append(may_begin())
            if len(checks) == 1:
                return AttemptResult(AttemptOutcome.CONNECTION_RESET)
            core.unix_offset += 1.0  # connecting takes long
            checks.append(may_begin())
            return AttemptResult(AttemptOutcome.NOT_SENT)

        arrival = DrivenFront(settings(), []).arrival("a", deadline=core.now() + 4.0)
        assert not isinstance(await core.serve(arrival, attempt), Served)
        assert checks == [True, True, False]

    async def test_attempt_past_its_deadline_does_not_begin(self) -> None:
        """The event loop is delayed, and an attempt's deadline passes before its first byte is sent."""
        core, checks = Core(config().settings), list[bool]()
        core.notify(listed(Directory({}), instance("s-a", 1), whole=True))

        async def attempt(_node: int, may_begin: MayBegin) -> AttemptResult[str]:
            core.unix_offset += 60.0
            checks.append(may_begin())
            return AttemptResult(AttemptOutcome.NOT_SENT)

        arrival = DrivenFront(settings(), []).arrival("a", shard=0, deadline=core.now() + 1.0)
        await core.serve(arrival, attempt)
        assert checks == [False]


def test_retry_deadline_counts_from_first_attempt_that_may_have_run() -> None:
    front = DrivenFront(
        settings([class_spec(idempotency=Idempotency.KEYED, idempotency_window=1.0)]), [endpoint(1, 1)]
    )
    front.request("a")
    front.finish("a", AttemptOutcome.QUEUE_FULL)  # never ran, so the backend has not stored the key
    front.run_until(front.now + 0.6)
    front.finish("a", AttemptOutcome.CONNECTION_RESET)
    first = front.scheduler.requests["a"].may_have_executed[0].sent_at
    front.run_until(front.now + 0.2)
    sends = [action.not_after for action in front.log if isinstance(action, SendAttempt)]
    assert sends[:2] == [float("inf")] * 2
    assert len(sends) == 3
    assert abs(sends[2] - (first + 1.0 - 0.04)) < 1e-9
