"""File commands at a backend: the packets that each sends, and the reply that is its result."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from cleatyoke.limits.memory_pool import MemoryPool
from cleatyoke.sftp.codec import decode, encode, read_packet
from cleatyoke.sftp.packets import (
    Attrs,
    Close,
    Data,
    Handle,
    Init,
    Name,
    Names,
    Open,
    Opendir,
    OpenFlags,
    Packet,
    PacketError,
    Read,
    Readdir,
    Status,
    StatusCode,
    Version,
    Write,
)
from cleatyoke.transport.sockets import abort_stream

MAX_LISTED_NAMES = 20_000  # entries of a listing
NAME_BYTES = 400  # of an entry's objects, beside its two names
MAX_WRITE_BYTES = 32 * 1024  # data of a WRITE: what every server must accept (draft, section 3)


@dataclass(slots=True)
class ReadRange:
    """Read ``length`` bytes of a file from ``offset`` on."""

    path: str
    offset: int
    length: int


@dataclass(slots=True)
class ListDirectory:
    """Read all entries of a directory; ``memory``: where an attempt takes the memory for them."""

    path: str
    memory: MemoryPool


@dataclass(slots=True)
class Upload:
    """Write everything that a client wrote to a handle; sent when the client closes it."""

    path: str
    flags: int
    attrs: Attrs
    pieces: list[tuple[int, bytes]]  # offset, data


@dataclass(slots=True)
class SinglePacket:
    """A command that is one packet with one reply."""

    packet: Packet
    is_write: bool


Command = ReadRange | ListDirectory | Upload | SinglePacket


def is_write(command: Command) -> bool:
    """Whether the command may change data at the backend."""
    return isinstance(command, Upload) or (isinstance(command, SinglePacket) and command.is_write)


def listing_bytes(names: list[Name]) -> int:
    """Return the memory that entries of a listing occupy, in bytes."""
    return sum(NAME_BYTES + len(name.filename) + len(name.longname) for name in names)


class SftpConnection:
    """A connection to a backend; runs one command at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.idle_since = 0.0  # by the loop's clock
        self.last_request_id = 0
        self._reader = reader
        self._writer = writer

    async def request(self, packet: Packet) -> Packet:
        """Send a packet and return its reply; raises ``PacketError``, ``OSError`` and ``EOFError``."""
        await self.send(packet)
        return await self.receive(self.last_request_id)

    async def send(self, packet: Packet) -> None:
        """Send a packet under the next request id."""
        if not isinstance(packet, Init):
            self.last_request_id += 1
            packet = replace(packet, id=self.last_request_id)
        self._writer.write(encode(packet))
        await self._writer.drain()

    async def receive(self, request_id: int) -> Packet:
        """Return the next reply; raises ``PacketError`` if it belongs to another request."""
        reply = decode(await read_packet(self._reader))
        if reply.id != request_id and not isinstance(reply, Version):
            msg = f"reply to request {reply.id}, expected {request_id}"
            raise PacketError(msg)
        return reply

    def is_usable(self) -> bool:
        """Whether neither side has closed the connection."""
        return not self._reader.at_eof() and not self._writer.is_closing()

    def abort(self) -> None:
        """Close the connection at once, discarding buffered data."""
        abort_stream(self._writer)


async def run_command(connection: SftpConnection, command: Command) -> Packet:
    """Run a command and return its result: the first error, or the reply for the client."""
    match command:
        case SinglePacket(packet, _):
            return await connection.request(packet)
        case ReadRange():
            return await _read_range(connection, command)
        case ListDirectory():
            return await _list_directory(connection, command)
        case Upload():
            return await _upload(connection, command)


async def _read_range(connection: SftpConnection, command: ReadRange) -> Packet:
    open_reply = await connection.request(Open(0, command.path, OpenFlags.READ, Attrs()))
    if not isinstance(open_reply, Handle):
        return open_reply
    reply = await connection.request(Read(0, open_reply.handle, command.offset, command.length))
    await connection.request(Close(0, open_reply.handle))
    if not isinstance(reply, Data | Status):
        msg = f"unexpected reply of type {reply.type} to READ"
        raise PacketError(msg)
    return reply


async def _list_directory(connection: SftpConnection, command: ListDirectory) -> Packet:
    open_reply = await connection.request(Opendir(0, command.path))
    if not isinstance(open_reply, Handle):
        return open_reply
    names: list[Name] = []
    reserved = 0
    try:
        while True:
            reply = await connection.request(Readdir(0, open_reply.handle))
            if not isinstance(reply, Names) or not reply.names:
                break
            reserved += _reserve_names(reply.names, len(names), command.memory)
            names += reply.names
    finally:
        command.memory.release(reserved)  # from now on the client's handle accounts for the listing
    await connection.request(Close(0, open_reply.handle))
    is_complete = isinstance(reply, Names) or (
        isinstance(reply, Status) and reply.code == StatusCode.SSH_FX_EOF
    )
    return Names(0, names) if is_complete else reply


def _reserve_names(names: list[Name], listed: int, memory: MemoryPool) -> int:
    """Reserve memory for further entries after ``listed`` ones, and return it; raises ``PacketError``."""
    if listed + len(names) > MAX_LISTED_NAMES:
        msg = "directory listing has too many entries"
        raise PacketError(msg)
    size = listing_bytes(names)
    if not memory.reserve(size):
        msg = "no memory for the directory listing"
        raise PacketError(msg)
    return size


async def _upload(connection: SftpConnection, command: Upload) -> Packet:
    """Send all WRITEs and CLOSE before awaiting their replies; return the first error, or CLOSE's status."""
    open_reply = await connection.request(Open(0, command.path, command.flags, command.attrs))
    if not isinstance(open_reply, Handle):
        return open_reply
    first_request_id = connection.last_request_id + 1
    for offset, data in command.pieces:
        for start in range(0, len(data), MAX_WRITE_BYTES):
            chunk = data[start : start + MAX_WRITE_BYTES]
            await connection.send(Write(0, open_reply.handle, offset + start, chunk))
    await connection.send(Close(0, open_reply.handle))
    request_ids = range(first_request_id, connection.last_request_id + 1)
    first_error: Packet | None = None
    for request_id in request_ids:
        reply = await connection.receive(request_id)
        if first_error is None and not (isinstance(reply, Status) and reply.code == StatusCode.SSH_FX_OK):
            first_error = reply
    return first_error or reply
