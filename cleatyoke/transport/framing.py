"""Messages on a stream: the length in four bytes, then as many bytes."""

from __future__ import annotations

import asyncio

LENGTH_BYTES = 4


class MessageTooLongError(ValueError):
    """A message of more bytes than are taken."""


async def read_message(reader: asyncio.StreamReader, most: int) -> bytes:
    """Raises ``MessageTooLong`` before any of it is read, ``EOFError`` where the stream ends before it."""
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if length > most:
        msg = f"a message of {length} bytes, want {most} at the most"
        raise MessageTooLongError(msg)
    return await reader.readexactly(length)


async def write_message(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)
    await writer.drain()
