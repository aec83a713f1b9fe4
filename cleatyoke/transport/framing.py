"""Messages on a stream: the length in four bytes, big-endian, then as many bytes."""

from __future__ import annotations

import asyncio

LENGTH_BYTES = 4


class MessageTooLongError(ValueError):
    """A message of more bytes than are accepted."""


async def read_message(reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    """Read one message.

    Raises ``MessageTooLongError`` before any of a longer message is read, ``EOFError`` if the stream ends
    before the message does.
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if length > max_bytes:
        msg = f"a message of {length} bytes, want {max_bytes} at the most"
        raise MessageTooLongError(msg)
    return await reader.readexactly(length)


async def write_message(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write one message and wait until the transport accepts more."""
    writer.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)
    await writer.drain()
