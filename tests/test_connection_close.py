"""The orderly close of a client's connection (RFC 9112, section 9.6)."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from unittest import mock

from cleatyoke.http import client_connection as client_connection_module
from cleatyoke.transport import closing as closing_module
from tests.http_case import (
    OneClientCase,
    answer_at_once,
)
from tests.scripted_peers import answer


class ConnectionCloseTests(OneClientCase):
    async def test_what_comes_behind_a_request_amid_its_long_answer_cuts_that_off(self) -> None:
        """A client sends more while its long answer is being forwarded.

        The answer's head has gone out, so all that can tell the client of the error is an incomplete message.
        """
        begun = asyncio.Event()

        async def script(_trace: str) -> AsyncIterator[bytes]:
            async def pieces() -> AsyncIterator[bytes]:
                yield answer(200, bytes(200_000))[:100_000]
                begun.set()
                await asyncio.sleep(60)

            return pieces()

        _, streams = await self.connect_client(script, self.request_head("t"))
        await begun.wait()
        await streams[0].readuntil(b"\r\n\r\n")
        streams[1].write(self.request_head("next"))
        async with asyncio.timeout(0.5 * client_connection_module.IDLE_TIMEOUT):  # not by the idle limit
            assert len(await streams[0].read()) < 200000
        assert self.backend.counts["next"] == 0

    async def test_a_close_over_unread_bytes_costs_no_answer(self) -> None:
        """Unread bytes are on the connection as it is closed after an answer.

        The kernel would reset it, and the client lose the answer that it has not read.
        """
        release = asyncio.Event()

        async def script(_trace: str) -> bytes:
            await release.wait()
            return answer()

        client, streams = await self.connect_client(script, self.request_head("t"))
        await self.wait_until(lambda: self.backend.counts["t"])
        self.front.is_closing = True
        await self.hold_unread(client, streams, self.request_head("next"))
        release.set()
        await self.wait_until(lambda: self.front.connections.closing)
        await self.expect_answer_and_close(streams)
        assert self.backend.counts["next"] == 0, "read after the shutdown, it must not be sent on"

    async def test_a_rejected_upload_is_told_why_though_none_of_it_is_read(self) -> None:
        """An upload that is too long is rejected while its body is still coming.

        A close over the unread body would reset the connection, and the client never sees the 413.
        """
        head = self.request_head("t", "Content-Length: 60000000", method="PUT").replace(
            b"tile-read", b"record-write"
        )
        _, streams = await self.connect_client(answer_at_once, head, bytes(200_000))
        async with asyncio.timeout(5):
            heard = await streams[0].read()
        assert heard[9:12] == b"413"

    async def given_up(self, behind: bytes, part: float) -> None:
        with mock.patch.multiple(closing_module, CLOSE_TIMEOUT=part, MAX_DISCARDED_BYTES=1 << 16):
            _, streams = await self.connect_client(answer_at_once, self.request_head("t"))
            self.front.is_closing = True
            await self.wait_until(lambda: self.front.connections.closing)
            streams[1].write(behind)
            await self.wait_until(lambda: not self.front.connections.closing)

    async def test_a_peer_that_never_closes_is_given_up(self) -> None:
        """After its answer a client neither sends nor closes.

        Without a limit of time the orderly close would hold a descriptor for good.
        """
        await self.given_up(b"", 0.1)

    async def test_a_peer_that_never_stops_sending_is_given_up(self) -> None:
        """After its answer a client sends without end.

        Without a limit of bytes the orderly close would read for good.
        """
        await self.given_up(bytes(1 << 20), 60.0)
