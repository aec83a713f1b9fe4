"""Messages on a stream: the length in four bytes, then as many bytes."""

from __future__ import annotations

import asyncio

LENGTH_BYTES = 4


class MessageTooLongError(ValueError):
    """A message is longer than any that is accepted."""


async def read_message(reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    """Return the next message of at most ``max_bytes``.

    Raises ``MessageTooLongError`` before any of the message is read, so that a peer can't make this process
    hold more, and ``EOFError`` where the stream ends before the message does.
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if length > max_bytes:
        msg = f"a message of {length} bytes, want {max_bytes} at the most"
        raise MessageTooLongError(msg)
    return await reader.readexactly(length)


async def write_message(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write a message with its length, and wait while the stream's buffer is full."""
    writer.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)
    await writer.drain()
