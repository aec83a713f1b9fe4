"""Attempts at backends: which ending proves what, and what forbids an attempt at the last moment."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any
from unittest import mock

import pytest

from cleatyoke.core import AttemptResult, Core, MayBegin, Served
from cleatyoke.discovery.directory import Directory
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
from tests.scripted_peers import answer, config, instance, listed


class AttemptOutcomeTests(FrontCase):
    async def test_a_request_on_a_pooled_connection_that_breaks_is_not_resent_by_the_library(self) -> None:
        """A pooled connection breaks after a write was sent on it.

        An HTTP client library would send the write again by itself, so that it may run twice. The client is
        told of the failure, and the backend sees one attempt.
        """

        async def script(trace: str) -> bytes | None:
            return None if trace == "broken" else answer()

        await self.start_front(script)
        await self.send_request("warm")
        self.backends.pools[1].idle[0].reusable_at = 0.0
        status, _ = await self.send_request("broken", "PUT", b"scan")
        assert (status, self.backend.counts["broken"]) == (502, 1)
        assert self.backend.accepted == 1, "the broken one was the pooled connection"

    async def test_a_rejected_write_that_never_ran_is_retried(self) -> None:
        async def script(trace: str) -> bytes:
            return answer() if self.backend.counts[trace] > 1 else answer(503, b"", "X-Never-Ran: 1")

        await self.start_front(script)
        assert (await self.send_request("t", "PUT", b"scan"))[0] == 200
        assert self.backend.counts["t"] == 2

    async def test_a_503_without_proof_that_a_write_never_ran_is_not_retried(self) -> None:
        """A backend answers a write with 503 and does not say that it never ran.

        It may have run, so a retry could run it twice.
        """

        async def script(_trace: str) -> bytes:
            return answer(503, b"")

        await self.start_front(script)
        assert (await self.send_request("t", "PUT", b"scan"))[0] == 502
        assert self.backend.counts["t"] == 1

    async def test_a_silent_backend_costs_one_attempt_and_the_client_is_answered_in_time(self) -> None:
        """A backend takes a write and never answers.

        The client gets its error before its own deadline, and the connection of the attempt is closed.
        """
        await self.start_front(lambda _trace: asyncio.sleep(60))
        began = self.core.now()
        status, _ = await self.send_request("t", "PUT", b"scan", X_Expires_In_Ms="300")
        assert self.core.now() - began < 2.0  # the backend would take a minute
        assert (status, self.backend.counts["t"]) == (502, 1)
        await self.wait_until(lambda: self.backend.open == 0)  # the given-up attempt's connection is closed

    async def test_a_client_with_hardly_any_time_left_is_rejected_before_an_attempt(self) -> None:
        await self.start_front(lambda _trace: asyncio.sleep(60))
        assert (await self.send_request("t", "PUT", b"scan", X_Expires_In_Ms="1"))[0] == 503
        assert self.backend.accepted == 0

    async def test_a_client_that_waits_for_minutes_gets_no_longer_than_its_class(self) -> None:
        """A client's header allows minutes, and the backend is silent.

        The class's own limit ends the attempt: else one client would hold a slot of the backend for minutes.
        """
        await self.start_front(lambda _trace: asyncio.sleep(60))
        self.front.config.client_timeouts[1] = 0.3
        async with asyncio.timeout(5):  # the backend would take a minute
            assert (await self.send_request("t", "PUT", b"scan", X_Expires_In_Ms="600000"))[0] == 502

    async def test_without_a_serving_backend_a_request_is_rejected_at_once(self) -> None:
        await self.start_front(lambda _trace: asyncio.sleep(60))
        self.core.notify(listed(self.directory, instance("s-a", self.backend.port, EndpointState.DRAINING)))
        began = self.core.now()
        assert (await self.send_request("t"))[0] == 503
        assert self.core.now() - began < 1.4  # not held back until the deadline
        assert self.backend.accepted == 0


class AttemptStartTests(FrontCase):
    async def test_a_backend_that_drains_while_the_connection_comes_up_is_sent_nothing(self) -> None:
        """A backend begins to drain while a connection to it is being opened.

        Whether it serves is asked again directly before the first byte.
        """

        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)
        real = self.backends.connect

        async def late(pool: Any) -> Any:
            line = await real(pool)
            listed(self.directory, instance("s-a", self.backend.port, EndpointState.DRAINING))
            return line

        with mock.patch.object(self.backends, "connect", late):
            outcome = (await self.attempt(1, client_request("t"))).outcome
        assert (outcome, self.backend.counts["t"]) == (AttemptOutcome.NOT_SENT, 0)

    async def test_a_refused_connection_never_ran_and_a_draining_backends_pool_is_closed(self) -> None:
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

    async def test_a_connection_that_ends_as_it_comes_up_never_ran_anything(self) -> None:
        """A connection ends before the first byte of the request.

        Nothing ran, so the attempt may be retried.
        """

        async def script(_trace: str) -> bytes:
            return answer()

        await self.start_front(script)
        real = self.backends.connect

        async def short(pool: Any) -> Any:
            line = await real(pool)
            line.abort()
            return line

        with mock.patch.object(self.backends, "connect", short):
            found = await self.attempt(1, client_request("t", "PUT", b"scan"))
        assert found == AttemptResult(AttemptOutcome.CONNECTION_FAILED)
        assert (self.backend.counts["t"], self.backends.open_connections) == (0, 0)

    async def test_a_connection_that_comes_up_after_it_was_given_up_carries_nothing(self) -> None:
        """A connection comes up with the kernel's next try, after its attempt was given up.

        The backend's queue of connections was full: a request on that connection would run although its
        client was told otherwise.
        """
        await self.start_front(answer_at_once)
        with socket.socket() as late:
            late.bind(("127.0.0.1", 0))
            late.listen(0)
            late.setblocking(False)
            port = late.getsockname()[1]
            full = [socket.socket() for _ in range(3)]
            for one in full:
                one.setblocking(False)
                one.connect_ex(("127.0.0.1", port))
            await asyncio.sleep(0.05)
            listed(self.directory, instance("s-late", port, cell=3))
            assert await self.attempt(2, client_request("t", "PUT", b"scan")) == AttemptResult(
                AttemptOutcome.CONNECTION_FAILED
            )
            assert self.backends.open_connections == 0
            loop, heard = asyncio.get_running_loop(), []
            until = loop.time() + 1.5
            while loop.time() < until:
                with contextlib.suppress(BlockingIOError):
                    connection, _ = late.accept()
                    connection.settimeout(0.05)
                    with connection, contextlib.suppress(OSError):
                        heard.append(connection.recv(100))
                await asyncio.sleep(0.02)
            for one in full:
                one.close()
        assert [one for one in heard if one] == []

    async def test_an_attempt_that_is_given_up_amid_its_writing_never_arrives_completely(self) -> None:
        """An attempt times out while its long body is being written.

        The rest of the body must not follow: the backend would run a request that was given up.
        """
        await self.start_front(answer_at_once)
        got = bytearray()
        reading, ended = asyncio.Event(), asyncio.Event()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reading.wait()
            with contextlib.suppress(OSError):
                while piece := await reader.read(1 << 16):
                    got.extend(piece)
            writer.close()
            ended.set()

        server = await asyncio.start_server(slow, "127.0.0.1", 0, limit=1 << 16)
        listed(self.directory, instance("s-slow", server.sockets[0].getsockname()[1], cell=3))
        request = client_request("t", "PUT")
        request.body = [bytes(1 << 20)] * 16
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await self.attempt(2, request)
        reading.set()
        async with asyncio.timeout(5):
            await ended.wait()
        server.close()
        assert len(got) < 16 << 20
        assert (self.backends.open_connections, self.backends.metrics.backend_calls) == (0, 0)

    async def test_whether_an_attempt_may_begin_is_asked_once_its_connection_is_up(self) -> None:
        """A connection takes long to come up, and what allowed the attempt has ended meanwhile.

        The question is asked directly before the first byte; the connection is kept for the next request.
        """
        await self.start_front(answer_at_once)
        asked: list[int] = []

        def may() -> bool:
            asked.append(self.backend.accepted)
            return False

        assert (await self.attempt(1, client_request("t"), may)).outcome is AttemptOutcome.NOT_SENT
        await self.wait_until(lambda: self.backend.accepted)
        assert (len(asked), dict(self.backend.counts)) == (1, {})
        assert len(self.backends.pools[1].idle) == 1, "the connection is as good as before"
        assert (await self.attempt(1, client_request("u"))).outcome is AttemptOutcome.SERVED

    async def test_a_retry_after_the_idempotency_window_is_not_sent(self) -> None:
        """A retry's connection comes up after backends may have forgotten the idempotency key.

        Sent then, the request would run twice.
        """
        keyed = class_spec(idempotency=Idempotency.KEYED, idempotency_window=1.0, latency_objective=5.0)
        core, looks = Core(settings([keyed])), list[bool]()
        core.notify(EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(1, 1)]))

        async def attempt(_node: int, may: MayBegin) -> AttemptResult[str]:
            looks.append(may())
            if len(looks) == 1:
                return AttemptResult(AttemptOutcome.CONNECTION_RESET)
            core.unix_offset += 1.0  # it takes long to come up
            looks.append(may())
            return AttemptResult(AttemptOutcome.NOT_SENT)

        asked = DrivenFront(settings(), []).arrival("a", deadline=core.now() + 4.0)
        assert not isinstance(await core.serve(asked, attempt), Served)
        assert looks == [True, True, False]

    async def test_an_attempt_whose_own_time_is_up_does_not_begin(self) -> None:
        """The loop is late, and an attempt's own time is up before its first byte."""
        core, looks = Core(config().settings), list[bool]()
        core.notify(listed(Directory({}), instance("s-a", 1), whole=True))

        async def attempt(_node: int, may: MayBegin) -> AttemptResult[str]:
            core.unix_offset += 60.0
            looks.append(may())
            return AttemptResult(AttemptOutcome.NOT_SENT)

        asked = DrivenFront(settings(), []).arrival("a", shard=0, deadline=core.now() + 1.0)
        await core.serve(asked, attempt)
        assert looks == [False]


def test_a_retrys_deadline_counts_from_the_first_attempt_that_may_have_run() -> None:
    host = DrivenFront(
        settings([class_spec(idempotency=Idempotency.KEYED, idempotency_window=1.0)]), [endpoint(1, 1)]
    )
    host.request("a")
    host.finish("a", AttemptOutcome.QUEUE_FULL)  # never ran: nothing is remembered yet
    host.run_until(host.now + 0.6)
    host.finish("a", AttemptOutcome.CONNECTION_RESET)
    first = host.scheduler.requests["a"].may_have_executed[0].sent_at
    host.run_until(host.now + 0.2)
    sends = [action.not_after for action in host.log if isinstance(action, SendAttempt)]
    assert sends[:2] == [float("inf")] * 2
    assert len(sends) == 3
    assert abs(sends[2] - (first + 1.0 - 0.04)) < 1e-9
