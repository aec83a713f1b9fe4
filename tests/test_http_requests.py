"""Requests that are forwarded, and those that the front itself rejects."""

from __future__ import annotations

import asyncio
from unittest import mock

from cleatyoke.http import trace_ids as trace_ids_module
from cleatyoke.http.body_limits import BodyMemory
from tests.http_case import (
    HEADERS,
    TARGET,
    FrontCase,
)
from tests.scripted_peers import answer


class RequestTests(FrontCase):
    async def test_request_and_response_are_forwarded_unchanged(self) -> None:
        async def script(trace: str) -> bytes:
            return answer(200, b"\x00tile of " + trace.encode())

        await self.start_front(script)
        assert await self.send_request("t1", "PUT", b"scan") == (200, b"\x00tile of t1")
        (head,) = self.backend.heads
        assert head.startswith(f"PUT {TARGET} HTTP/1.1\r\n"), head
        assert "X-Trace-Id: t1\r\n" in head
        assert "Accept-Encoding" not in head

    async def test_malformed_request_is_answered_with_faulty_field(self) -> None:
        """Header fields are missing, out of range or ambiguous.

        Parsed leniently, they could mean one thing to the front and another to the backend. The response
        names the field, and nothing reaches the backend.
        """
        await self.start_front(lambda _trace: asyncio.sleep(60))
        for name, value in (
            ("X_Qos", "tea"),
            ("X_Plan", "gold"),
            ("X_IO", "volume=zz"),
            ("X_Expires_In_Ms", "-1"),
            ("X_Expires_In_Ms", "1_500"),
            ("X_Trace_Id", ""),
            ("X_Trace_Id", "t" * 200),
            ("X_IO", HEADERS["X-IO"].replace("units=2", "units=99")),
            ("X_Qos", "record-write"),
            ("X_IO", HEADERS["X-IO"].replace("shard=0", "shard=9")),
            ("X_IO", HEADERS["X-IO"] + ",units=3"),
            ("X_IO", HEADERS["X-IO"].replace("=2", "=0x2")),
        ):
            status, text = await self.send_request("t", **{name: value})
            assert status == 400
            assert name.replace("_", "-") in text.decode()
        self.front.body_memory = BodyMemory(1 << 20)
        assert (await self.send_request("t", "PUT", bytes(2 << 20)))[0] == 413
        async with self.client.get(self.url + "/tea") as response:
            assert response.status == 404
        reader, writer = await asyncio.open_connection("127.0.0.1", int(self.url.rpartition(":")[2]))
        writer.write(b"tea\r\n\r\n")
        assert b" 400 " in await reader.readline()
        writer.close()
        assert self.backend.accepted == 0

    async def test_pipelined_and_smuggled_requests_reach_no_backend(self) -> None:
        """A client sends bytes after its request, openly or hidden by a wrong length.

        Read as a second request, they would run something that nobody requested (request smuggling). The
        client gets one error, and an attempt in flight is cancelled.
        """
        # Pipelined; a length that is too short, so that the body hides a request; two lengths; both framings.
        await self.start_front(lambda _trace: asyncio.sleep(60))
        hidden = self.request_head("x")
        for case in (
            hidden * 300,
            self.request_head("t", "Content-Length: 4", method="PUT") + b"scan" + hidden,
            self.request_head("t", "Content-Length: 4", "Content-Length: 0", method="PUT") + b"scan",
            self.request_head("t", "Content-Length: 4", "Transfer-Encoding: chunked", method="PUT")
            + b"0\r\n\r\n"
            + hidden,
        ):
            reader, writer = await self.connect(case)
            assert (await reader.read())[8:13] == b" 400 ", case[:200]
            writer.close()
        assert self.backend.accepted == 0
        reader, writer = await self.connect(self.request_head("late"))
        await self.wait_until(lambda: self.backend.counts["late"])
        writer.write(hidden)  # after a request whose attempt is in flight: it gets one error
        received = await reader.read()
        assert (received[8:13], received.count(b"HTTP/")) == (b" 400 ", 1), received
        assert b"Connection: close" in received
        await self.wait_until(
            lambda: not self.core.pending and not self.backend.open
        )  # its attempt is cancelled
        assert (self.backend.counts["late"], self.backend.counts["x"]) == (1, 0)
        writer.close()

    async def test_trace_id_in_use_is_rejected_and_first_request_is_served(self) -> None:
        """A second request has the trace id of an open or recently answered one.

        Forwarded, it would run a request twice. It is rejected, and the first one is served.
        """
        release = asyncio.Event()

        async def script(_trace: str) -> bytes:
            await release.wait()
            return answer()

        await self.start_front(script)
        first = asyncio.create_task(self.send_request("t"))
        await self.wait_until(lambda: self.backend.counts["t"])
        assert (await self.send_request("t"))[0] == 400
        release.set()
        assert (await first)[0] == 200
        assert (await self.send_request("t"))[0] == 400, "an id stays in use shortly after its response"
        assert self.backend.counts["t"] == 1
        assert not self.front.trace_ids.open
        with mock.patch.object(trace_ids_module, "ID_RETENTION", 0.0):
            assert (await self.send_request("t"))[0] == 200, "ids must expire"

    async def test_id_of_a_client_that_left_is_not_sent_again(self) -> None:
        # An id that came again over 2 s after its client had left ran a second time (issue 50, picture d).
        await self.start_front(lambda _trace: asyncio.sleep(60))
        _, writer = await self.connect(self.request_head("t"))
        await self.wait_until(lambda: self.backend.counts["t"])
        writer.transport.abort()
        await self.wait_until(lambda: not self.front.trace_ids.open)
        now = self.core.loop.time()
        with mock.patch.object(self.core.loop, "time", return_value=now + 30.0):
            reader, writer = await self.connect(self.request_head("t"))
            assert (await reader.readline()).split()[1] == b"400"
        writer.close()
        assert self.backend.counts["t"] == 1

    async def test_readiness_path_reports_whether_front_is_ready(self) -> None:
        await self.start_front(lambda _trace: asyncio.sleep(60))
        for self.ready, status in ((False, 503), (True, 200)):
            async with self.client.get(self.url + "/up") as response:
                assert response.status == status
