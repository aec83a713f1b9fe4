"""Length-prefixed messages on a stream."""

from __future__ import annotations

import asyncio

import pytest

from cleatyoke.transport.framing import MessageTooLongError, read_message


def test_message_over_the_limit_is_rejected_before_it_is_read() -> None:
    """A peer announces a message that would exhaust the memory."""

    async def read() -> None:
        reader = asyncio.StreamReader()
        reader.feed_data((101).to_bytes(4, "big"))
        with pytest.raises(MessageTooLongError):
            await read_message(reader, 100)

    asyncio.run(read())
