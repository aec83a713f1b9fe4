"""Graceful close of client connections (RFC 9112, section 9.6)."""

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
    async def test_bytes_after_request_abort_its_streamed_response(self) -> None:
        """A client sends more bytes while a long response is being forwarded to it.

        The response's head has been sent, so only an incomplete message can signal the error.
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
        # Shorter than the idle timeout, which must not be what closes the connection.
        async with asyncio.timeout(0.5 * client_connection_module.IDLE_TIMEOUT):
            assert len(await streams[0].read()) < 200000
        assert self.backend.counts["next"] == 0

    async def test_close_with_unread_bytes_does_not_lose_response(self) -> None:
        """A connection with unread bytes is closed after a response.

        The kernel would reset it, and the client would lose the response that it has not read.
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
        await self.expect_response_and_close(streams)
        assert self.backend.counts["next"] == 0, "a request read after the close must not be forwarded"

    async def test_rejected_upload_gets_its_status_although_body_is_unread(self) -> None:
        """An upload that is too long is rejected while its body is still coming.

        Closing with the body unread would reset the connection, and the client would never see the 413.
        """
        head = self.request_head("t", "Content-Length: 60000000", method="PUT").replace(
            b"tile-read", b"record-write"
        )
        _, streams = await self.connect_client(answer_at_once, head, bytes(200_000))
        async with asyncio.timeout(5):
            received = await streams[0].read()
        assert received[9:12] == b"413"

    async def test_rejected_upload_of_megabytes_gets_its_status_after_it_is_sent(self) -> None:
        # After 1 MB of a rejected body the connection was reset, and the client never saw the 413.
        _, streams = await self.connect_client(answer_at_once)
        head = self.request_head("t", "Content-Length: 60000000", method="PUT")
        streams[1].write(head.replace(b"tile-read", b"record-write"))
        async with asyncio.timeout(5):
            for _ in range(128):
                streams[1].write(bytes(65_536))
                await streams[1].drain()
            assert (await streams[0].read())[9:12] == b"413"

    async def expect_abort(self, trailing: bytes, close_timeout: float) -> None:
        limits = {"MAX_DISCARDED_BYTES": 1 << 16, "MAX_LINGERING_BYTES": 1 << 16}
        with mock.patch.multiple(closing_module, CLOSE_TIMEOUT=close_timeout, **limits):
            _, streams = await self.connect_client(answer_at_once, self.request_head("t"))
            self.front.is_closing = True
            await self.wait_until(lambda: self.front.connections.closing)
            streams[1].write(trailing)
            await self.wait_until(lambda: not self.front.connections.closing)

    async def test_peer_that_never_closes_is_aborted(self) -> None:
        """After its response a client neither sends nor closes.

        Without a timeout the graceful close would hold a descriptor forever.
        """
        await self.expect_abort(b"", 0.1)

    async def test_peer_that_never_stops_sending_is_aborted(self) -> None:
        """After its response a client sends endlessly.

        Without a byte limit the graceful close would read forever.
        """
        await self.expect_abort(bytes(1 << 20), 60.0)
