"""SFTP version 3 without the cryptography (draft-ietf-secsh-filexfer-02): a storage server and a client."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from collections.abc import Callable

from standins.case import Record

INIT, VERSION, OPEN, CLOSE, READ, WRITE = 1, 2, 3, 4, 5, 6
LSTAT, REMOVE, MKDIR, STAT = 7, 13, 14, 17
STATUS, HANDLE, DATA, ATTRS = 101, 102, 103, 105
OK, NO_SUCH_FILE, FAILURE = 0, 2, 4
FLAG_WRITE, FLAG_APPEND, FLAG_CREAT, FLAG_TRUNC = 2, 4, 8, 16
NO_ATTRS = struct.pack(">I", 0)
NAMES = {OPEN: "OPEN", CLOSE: "CLOSE", WRITE: "WRITE", REMOVE: "REMOVE", MKDIR: "MKDIR", STAT: "STAT"}


def string(value: bytes) -> bytes:
    """Encode a string."""
    return struct.pack(">I", len(value)) + value


def packet(kind: int, number: int, payload: bytes = b"") -> bytes:
    """Encode a packet; ``number`` is its id, or the version."""
    return struct.pack(">IBI", 5 + len(payload), kind, number) + payload


def status(number: int, code: int, text: str = "") -> bytes:
    """Encode a status."""
    return packet(STATUS, number, struct.pack(">I", code) + string(text.encode()) + string(b""))


async def read_packet(reader: asyncio.StreamReader) -> tuple[int, int, bytes]:
    """Read a packet: its type, its id and the rest."""
    (size,) = struct.unpack(">I", await reader.readexactly(4))
    raw = await reader.readexactly(size)
    return raw[0], int.from_bytes(raw[1:5], "big"), raw[5:]


def take_string(payload: bytes) -> tuple[bytes, bytes]:
    """Return the string at the beginning of a payload, and what follows it."""
    (size,) = struct.unpack(">I", payload[:4])
    return payload[4 : 4 + size], payload[4 + size :]


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Storage:
    """A storage server's file service: runs each connection's commands in turn.

    An upload is run when its handle is closed. ``work``: seconds that a change takes. ``breaks``: called with
    a change's name once it has run; where it returns True the connection is reset in place of the answer.
    ``runs`` counts how often each change was run, ``began`` and ``ended`` have the times of each run.
    """

    def __init__(
        self, host: str, record: Record, work: float, breaks: Callable[[str], bool] | None = None
    ) -> None:
        self.host = host
        self.record = record
        self.work = work
        self.breaks = breaks or (lambda _: False)
        self.port = 0
        self.files: dict[bytes, bytes] = {}
        self.runs: Counter[str] = Counter()
        self.began: dict[str, list[float]] = {}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        handles: dict[bytes, tuple[bytes, int, bytearray]] = {}
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                while True:
                    kind, number, payload = await read_packet(reader)
                    reply = await self._reply(kind, number, payload, handles)
                    if reply is None:
                        reset(writer)
                        return
                    writer.write(reply)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _reply(
        self, kind: int, number: int, payload: bytes, handles: dict[bytes, tuple[bytes, int, bytearray]]
    ) -> bytes | None:
        if kind == INIT:
            return packet(VERSION, 3)
        first, rest = take_string(payload)
        if kind == OPEN:
            (flags,) = struct.unpack(">I", rest[:4])
            handle = b"h%d" % number
            handles[handle] = (first, flags, bytearray())
            return packet(HANDLE, number, string(handle))
        if kind == WRITE:
            data, _ = take_string(rest[8:])
            handles[first][2].extend(data)
            return status(number, OK)
        if kind in (STAT, LSTAT):
            return packet(ATTRS, number, NO_ATTRS)
        return await self._run(kind, number, payload, handles)

    async def _run(
        self, kind: int, number: int, payload: bytes, handles: dict[bytes, tuple[bytes, int, bytearray]]
    ) -> bytes | None:
        """Run a command that changes something."""
        first, _ = take_string(payload)
        if kind == CLOSE:
            path, flags, content = handles.pop(first)
            name = f"upload {path.decode()} {bytes(content[:24]).decode()}"
            return await self._change(name, number, path, (flags, bytes(content)))
        if kind in (MKDIR, REMOVE):
            return await self._change(f"{NAMES[kind]} {first.decode()}", number, first, None)
        return status(number, FAILURE, "not supported")

    async def _change(
        self, name: str, number: int, path: bytes, upload: tuple[int, bytes] | None
    ) -> bytes | None:
        """Run a change and return its answer; None where the connection breaks in place of it."""
        self.began.setdefault(name, []).append(self.record.write(f"storage begins: {name}"))
        await asyncio.sleep(self.work)
        if upload:
            flags, content = upload
            before = self.files.get(path, b"") if flags & FLAG_APPEND else b""
            self.files[path] = before + content
        self.runs[name] += 1
        self.record.write(f"storage has run: {name} (run {self.runs[name]})")
        if self.breaks(name):
            self.record.write(f"storage resets the connection after it had run: {name}")
            return None
        return status(number, OK)


class Client:
    """A client of the file service: it may send many commands at once, and reads the answers as they come.

    ``sent`` and ``answered`` have the times by id of a command, ``codes`` the status codes, ``ended_at`` the
    time at which the front ended the connection.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.sent: dict[int, float] = {}
        self.names: dict[int, str] = {}
        self.answered: dict[int, float] = {}
        self.codes: dict[int, int] = {}
        self.handles: dict[int, bytes] = {}
        self.ended_at: float | None = None
        self.progress = asyncio.Event()
        self._last = 0
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter
        self._task: asyncio.Task[None] | None = None

    async def connect(self, host: str, port: int) -> None:
        """Open a connection and exchange versions."""
        self._reader, self._writer = await asyncio.open_connection(host, port)
        self._writer.write(packet(INIT, 3))
        await read_packet(self._reader)
        self._task = asyncio.create_task(self._read())

    def send(self, kind: int, payload: bytes, name: str) -> int:
        """Send a command; return its id."""
        self._last += 1
        self._writer.write(packet(kind, self._last, payload))
        self.names[self._last] = name
        self.sent[self._last] = self.record.write(f"{self.name} sends {self._last}: {name}")
        return self._last

    async def answer(self, number: int) -> None:
        """Wait until a command is answered or the connection has ended."""
        while number not in self.answered and self.ended_at is None:
            self.progress.clear()
            await self.progress.wait()

    def close(self) -> float:
        """Close the connection; return the time."""
        now = self.record.write(f"{self.name} closes its connection")
        self._writer.close()
        return now

    async def _read(self) -> None:
        try:
            while True:
                kind, number, payload = await read_packet(self._reader)
                if kind == HANDLE:
                    self.handles[number], _ = take_string(payload)
                if kind == STATUS:
                    self.codes[number] = int.from_bytes(payload[:4], "big")
                text = f"status {self.codes[number]}" if kind == STATUS else f"type {kind}"
                detail = take_string(payload[4:])[0].decode() if kind == STATUS else ""
                self.answered[number] = self.record.write(
                    f"{self.name} is answered {number} ({self.names.get(number)}): {text} {detail}"
                )
                self.progress.set()
        except (asyncio.IncompleteReadError, OSError) as error:
            self.ended_at = self.record.write(f"{self.name}: connection ended ({type(error).__name__})")
        self.progress.set()
