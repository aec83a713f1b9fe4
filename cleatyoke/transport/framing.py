"""Length-prefixed messages on a stream: four bytes of length, big-endian, then the message."""

from __future__ import annotations

import asyncio

LENGTH_BYTES = 4


class MessageTooLongError(ValueError):
    """A message exceeds the accepted length."""


async def read_message(reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    """Read one message.

    Raises ``MessageTooLongError`` before reading any of a message longer than ``max_bytes``, and ``EOFError``
    if the stream ends within the message.
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if length > max_bytes:
        msg = f"a message of {length} bytes, want {max_bytes} at the most"
        raise MessageTooLongError(msg)
    return await reader.readexactly(length)


async def write_message(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write one message, subject to flow control."""
    writer.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)
    await writer.drain()
