"""A disk box and a client that speak SFTP version 3 without cryptography (draft-ietf-secsh-filexfer-02)."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from harness2.fronts import Record

INIT, VERSION, OPEN, CLOSE, READ, WRITE, LSTAT, MKDIR, STAT = 1, 2, 3, 4, 5, 6, 7, 14, 17
STATUS, HANDLE, DATA, ATTRS = 101, 102, 103, 105
FLAG_WRITE, FLAG_APPEND, FLAG_CREAT = 0x02, 0x04, 0x08
OK, FAILURE = 0, 4
NO_ATTRS = struct.pack(">I", 0)


def text(value: bytes) -> bytes:
    """Encode a string."""
    return struct.pack(">I", len(value)) + value


def packet(kind: int, number: int, rest: bytes = b"") -> bytes:
    """Encode a packet; ``number`` is its id, or the version of INIT and VERSION."""
    return struct.pack(">IBI", 5 + len(rest), kind, number) + rest


@dataclass
class Received:
    """A packet as received."""

    kind: int
    number: int
    rest: bytes

    def string(self, position: int = 0) -> bytes:
        """Return the string at a position of the rest."""
        (size,) = struct.unpack_from(">I", self.rest, position)
        return self.rest[position + 4 : position + 4 + size]


async def read_packet(reader: asyncio.StreamReader) -> Received:
    """Read a packet."""
    (size,) = struct.unpack(">I", await reader.readexactly(4))
    raw = await reader.readexactly(size)
    kind, number = struct.unpack_from(">BI", raw)
    return Received(kind, number, raw[5:])


@dataclass
class OpenFile:
    """An upload at the box."""

    path: str
    flags: int
    data: bytearray = field(default_factory=bytearray)


class DiskBox:
    """A disk box. An upload is stored at its CLOSE, and then its status is sent.

    ``resets_after_store``: whether the connection breaks after the store, before the status; called with the
    path. ``work``: seconds that each command takes. ``began``, ``ended``: commands as the box runs them, with
    the seconds since the case began.
    """

    def __init__(self, name: str, record: Record, work: float = 0.0) -> None:
        self.name, self.record, self.work = name, record, work
        self.port = 0
        self.files: dict[str, bytes] = {}
        self.stores: list[str] = []
        self.began: list[tuple[float, str]] = []
        self.ended: list[tuple[float, str]] = []
        self.resets_after_store: Callable[[str], bool] = lambda _path: False

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.server = server
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        handles: dict[bytes, OpenFile] = {}
        try:
            while True:
                got = await read_packet(reader)
                answer = await self._answer(got, handles, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, struct.error):
            pass
        finally:
            writer.close()

    async def _answer(
        self, got: Received, handles: dict[bytes, OpenFile], writer: asyncio.StreamWriter
    ) -> bytes | None:
        if got.kind == INIT:
            return packet(VERSION, 3)
        if got.kind == OPEN:
            path = got.string()
            (flags,) = struct.unpack_from(">I", got.rest, 4 + len(path))
            handle = str(len(handles) + 1).encode()
            handles[handle] = OpenFile(path.decode(), flags)
            return packet(HANDLE, got.number, text(handle))
        if got.kind == WRITE:
            handle = got.string()
            handles[handle].data += got.string(4 + len(handle) + 8)
            return self._status(got, OK)
        if got.kind == CLOSE:
            return self._store(got, handles.pop(got.string()), writer)
        if got.kind in (STAT, LSTAT, MKDIR):
            path = got.string().decode()
            self.began.append((self.record.now(), path))
            self.record.add(f"{self.name}: begins {path}")
            await asyncio.sleep(self.work)
            self.ended.append((self.record.now(), path))
            self.record.add(f"{self.name}: has run {path}")
            return self._status(got, OK) if got.kind == MKDIR else packet(ATTRS, got.number, NO_ATTRS)
        return self._status(got, FAILURE)

    def _store(self, got: Received, upload: OpenFile, writer: asyncio.StreamWriter) -> bytes | None:
        before = self.files.get(upload.path, b"") if upload.flags & FLAG_APPEND else b""
        self.files[upload.path] = before + bytes(upload.data)
        self.stores.append(upload.path)
        self.record.add(f"{self.name}: has stored {upload.path}, {len(upload.data)} bytes")
        if self.resets_after_store(upload.path):
            self.record.add(f"{self.name}: the connection breaks after the store of {upload.path}")
            peer = writer.get_extra_info("socket")
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            return None
        return self._status(got, OK)

    def _status(self, got: Received, code: int) -> bytes:
        return packet(STATUS, got.number, struct.pack(">I", code) + text(b"") + text(b"en"))


class FileClient:
    """A client of the file front, with one session."""

    def __init__(self, port: int, record: Record) -> None:
        self.port, self.record = port, record
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self.number = 0

    async def connect(self) -> None:
        """Open the session."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.write(packet(INIT, 3))
        await read_packet(self.reader)

    def send(self, kind: int, rest: bytes) -> int:
        """Send a command and return its id."""
        self.number += 1
        self.writer.write(packet(kind, self.number, rest))
        return self.number

    async def command(self, kind: int, rest: bytes) -> Received:
        """Send a command and return its answer."""
        self.send(kind, rest)
        return await read_packet(self.reader)

    async def upload(self, path: str, data: bytes, flags: int) -> str:
        """Upload a file; return the outcome of its CLOSE."""
        opened = await self.command(OPEN, text(path.encode()) + struct.pack(">I", flags) + NO_ATTRS)
        handle = opened.string()
        await self.command(WRITE, text(handle) + struct.pack(">Q", 0) + text(data))
        self.record.add(f"client: closes its upload of {path}")
        status = await self.command(CLOSE, text(handle))
        (code,) = struct.unpack_from(">I", status.rest)
        outcome = f"status {code}, {status.string(4).decode()}"
        self.record.add(f"client: {path}: {outcome}")
        return outcome


def fronts_file(listen: int, *, read_class: str, write_class: str, more: str = "") -> str:
    """Return an operators' file that switches the file front on."""
    return (
        f'[sftp]\nenabled = true\nlisten = "127.0.0.1:{listen}"\nread_class = "{read_class}"\n'
        f'write_class = "{write_class}"\ndeadline_s = 1.5\n\n'
        '[[sftp.volume]]\npath = "/plats"\nvolume = "00000000000000a1"\nplan = "research"\nshard = 0\n'
        f"hosts = 1\n\n{more}"
    )
