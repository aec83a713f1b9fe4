"""Chunk servers and clients on HTTP/1.1 (protocol page)."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from harness2.fronts import Record


@dataclass
class Arrival:
    """A request at a chunk server. ``first_byte_at``, ``arrived_at``: seconds since the case began."""

    server: str
    trace: str
    target: str
    first_byte_at: float
    arrived_at: float
    body: bytes = b""


NEVER_RAN = b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
WAIT_MS = {"tile-read": 1400, "record-write": 1400, "booking-write": 2400}  # that a client waits
Work = Callable[[Arrival], Awaitable[bytes | None]]  # the body of the answer; None: turned away


class ChunkServer:
    """A chunk server. ``work`` runs a request and returns the body of its answer."""

    def __init__(self, name: str, shard: int, record: Record, work: Work) -> None:
        self.name, self.shard, self.record, self.work = name, shard, record, work
        self.port = 0
        self.server: asyncio.Server | None = None
        self.arrivals: list[Arrival] = []

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first = await reader.readexactly(1)
                first_byte_at = self.record.now()
                head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *lines = head.split("\r\n")
                fields = {name.lower(): text for name, _, text in (one.partition(": ") for one in lines)}
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                arrival = Arrival(
                    self.name,
                    fields.get("x-trace-id", ""),
                    line.split(" ")[1],
                    first_byte_at,
                    self.record.now(),
                    body,
                )
                self.arrivals.append(arrival)
                self.record.add(f"{self.name}: gets {line.split(' ')[0]} {arrival.trace}")
                answer = await self.work(arrival)
                if answer is None:
                    self.record.add(f"{self.name}: turns away {arrival.trace}")
                    writer.write(NEVER_RAN)
                else:
                    self.record.add(f"{self.name}: has run {arrival.trace}")
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(answer), answer))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


@dataclass
class Request:
    """What a client sends."""

    method: str
    qos: str
    shard: int
    item: int = 1
    body: bytes = b""
    key: str = ""


class Client:
    """A client with one connection, which it keeps."""

    _numbers = itertools.count(1)

    def __init__(self, port: int, record: Record) -> None:
        self.port, self.record = port, record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    def close(self) -> None:
        """Close the connection."""
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def read(self, shard: int, item: int = 1) -> tuple[int, bytes]:
        """Send a read; see ``send``."""
        return await self.send(Request("GET", "tile-read", shard, item))

    async def send(self, request: Request) -> tuple[int, bytes]:
        """Send a request and return the answer's status and body; status 0: the connection ended."""
        method, qos, shard, item = request.method, request.qos, request.shard, request.item
        body, key = request.body, request.key
        trace = f"{next(self._numbers):04x}{secrets.token_hex(6)}"
        if (
            self.writer is None
            or self.writer.transport.is_closing()
            or (self.reader and self.reader.at_eof())
        ):
            await self.connect()
        assert self.writer
        assert self.reader
        keyed = f"Idempotency-Key: {key}\r\n" if key else ""
        length = f"Content-Length: {len(body)}\r\n" if method == "PUT" else ""
        self.writer.write(
            f"{method} /api?block={item:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {trace}\r\n"
            f"X-Qos: {qos}\r\nX-Plan: research\r\nX-Expires-In-Ms: {WAIT_MS[qos]}\r\n{length}{keyed}"
            f"X-IO: volume=00000000000000a1,units=1,shard={shard},hosts=1\r\n\r\n".encode()
            + body
        )
        self.record.add(f"client: sends {method} {trace}, item {item}, shard {shard}")
        try:
            async with asyncio.timeout(WAIT_MS[qos] / 1000 + 0.6):
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                length_text = head.partition("content-length:")[2].partition("\r\n")[0].strip()
                answer = await self.reader.readexactly(int(length_text or 0))
        except (OSError, EOFError, TimeoutError) as error:
            self.record.add(f"client: no answer to {trace}, {type(error).__name__}")
            self.close()
            return 0, b""
        status = int(head.split(" ")[1])
        self.record.add(f"client: answer {status} to {trace}")
        return status, answer
