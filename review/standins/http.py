"""The platform's protocol over HTTP/1.1: a chunk server, and a client that sends one request at a time."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from standins.case import Record


@dataclass(slots=True)
class Run:
    """One run of a request at the chunk server: when it came, stored its body, and was answered."""

    trace: str
    block: str
    value: bytes
    came_at: float
    stored_at: float | None = None
    answered_at: float | None = None


class ChunkServer:
    """A chunk server with several cores: begins a request once its last byte has come and a core is free.

    ``work``: returns the seconds that a request takes, by its trace id. A write stores its body under its
    block when its work is done. ``runs`` has all requests in the order in which they came. While it drains,
    it turns requests away.
    """

    def __init__(
        self, host: str, record: Record, cores: int, work: Callable[[str], float], label: str = "server"
    ) -> None:
        self.host = host
        self.record = record
        self.work = work
        self.label = label
        self.is_draining = False
        self.port = 0
        self.runs: list[Run] = []
        self.stored: dict[str, bytes] = {}
        self._cores = asyncio.Semaphore(cores)
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
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                while True:
                    request_line, fields = await read_head(reader)
                    body = await reader.readexactly(int(fields.get("content-length", "0")))
                    method, target, _ = request_line.split(" ", 2)
                    await self._run(method, target, fields["x-trace-id"], body, writer)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _run(
        self, method: str, target: str, trace: str, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        block = target.partition("block=")[2][:16]
        run = Run(trace, block, body, self.record.write(f"{self.label} gets {method} {block} {trace}"))
        self.runs.append(run)
        if self.is_draining:
            writer.write(b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
            run.answered_at = self.record.write(f"{self.label} turns away {method} {block} {trace}")
            return
        async with self._cores:
            await asyncio.sleep(self.work(trace))
            if method == "PUT":
                self.stored[block] = body
                run.stored_at = self.record.write(
                    f"{self.label} stores {len(body)} bytes {body[:24]!r} ({trace})"
                )
        answer = b"done " + trace.encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(answer), answer))
        run.answered_at = self.record.write(f"{self.label} answers {method} {block} {trace}")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a head: its first line, and its fields by name in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    fields = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
    return first, fields


@dataclass(slots=True)
class Answer:
    """The front's answer to a request; status 0: the connection ended without one.

    ``sent_at``: when the request's last byte was written to the connection.
    """

    status: int
    body: bytes
    sent_at: float
    answered_at: float


class HttpClient:
    """A client of one front; it keeps its connection until the front ends it."""

    def __init__(self, name: str, host: str, port: int, record: Record) -> None:
        self.name = name
        self.host = host
        self.port = port
        self.record = record
        self.written_at: float | None = None  # when the last request's last byte was written
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def connect(self) -> None:
        """Open a connection, in place of the one before."""
        self.close()
        self._streams = await asyncio.open_connection(self.host, self.port)
        self._streams[1].transport.set_write_buffer_limits(0)  # drain() waits until the kernel has all bytes

    def close(self) -> None:
        """Close the connection."""
        if self._streams:
            self._streams[1].close()
            self._streams = None

    async def put(self, trace: str, block: str, body: bytes, fields: dict[str, str]) -> Answer:
        """Send a write, and return its answer; opens a connection where there is none."""
        return await self._send("PUT", trace, block, body, fields)

    async def get(self, trace: str, block: str, fields: dict[str, str]) -> Answer:
        """Send a read, and return its answer; opens a connection where there is none."""
        return await self._send("GET", trace, block, b"", fields)

    async def _send(self, method: str, trace: str, block: str, body: bytes, fields: dict[str, str]) -> Answer:
        if self._streams is None:
            await self.connect()
        assert self._streams
        reader, writer = self._streams
        lines = [f"{method} /api?block={block} HTTP/1.1", "Host: api.internal", f"X-Trace-Id: {trace}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines += [f"Content-Length: {len(body)}"] if method == "PUT" else []
        lines += ["", ""]
        sent_at = self.record.write(f"{self.name} sends {trace} for block {block}")
        self.written_at = None
        try:
            writer.write("\r\n".join(lines).encode() + body)
            await writer.drain()
            self.written_at = sent_at = self.record.write(f"{self.name} has written {trace} to its last byte")
            first, answer_fields = await read_head(reader)
            content = await reader.readexactly(int(answer_fields.get("content-length", "0")))
        except (asyncio.IncompleteReadError, OSError) as error:
            self.close()
            at = self.record.write(f"{self.name}: connection ended under {trace} ({type(error).__name__})")
            return Answer(0, b"", sent_at, at)
        status = int(first.split(" ")[1])
        at = self.record.write(f"{self.name} is answered {trace}: {status}")
        if answer_fields.get("connection", "").lower() == "close":
            self.close()
        return Answer(status, content, sent_at, at)


async def is_up(host: str, port: int) -> bool:
    """Ask ``GET /up`` at a front's clients' address."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
        first, _ = await read_head(reader)
        writer.close()
    except (asyncio.IncompleteReadError, OSError):
        return False
    return " 200 " in f"{first} "
