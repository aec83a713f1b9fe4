"""Test cases with a front on loopback sockets between scripted backends and clients, or as a process."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import unittest
import unittest.mock
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import aiohttp

from cleatyoke.core import AttemptResult, Core
from cleatyoke.discovery.directory import Directory
from cleatyoke.http.backends import BackendPools
from cleatyoke.http.client_connection import ClientConnection
from cleatyoke.http.messages import MalformedResponseError
from cleatyoke.http.requests import ClientRequest
from cleatyoke.http.response_wait import ResponseWait
from cleatyoke.http.server import HttpServer
from cleatyoke.http.streamed_body import StreamedBody
from cleatyoke.transport.closing import ClosingTransport
from cleatyoke.transport.sockets import has_unread_bytes
from tests.scripted_peers import FACTS, ScriptedHttpBackend, answer, config, instance, listed

ROOT = Path(__file__).resolve().parent.parent
HEADERS = {
    "X-Qos": "tile-read",
    "X-Plan": "public",
    "X-Expires-In-Ms": "1500",
    "X-IO": "volume=00000003b4d60021,units=2,shard=0,hosts=1",
}
TARGET = "/api?block=7f3a9c21e0b4d655"
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def client_request(trace: str, method: str = "GET", body: bytes = b"") -> ClientRequest:
    return ClientRequest(
        trace, method, TARGET, int(method == "PUT"), 0, 1, 1, 0, 2.0, 1, 1.5, [body] if body else []
    )


def listing_entry(state: str, port: int = 9) -> dict[str, Any]:
    return {
        "instanceId": "s-a",
        "hostPort": f"127.0.0.1:{port}",
        "zone": "basement",
        "cell": 0,
        "lifecycle": state,
        "startedAtMs": 0,
    }


class PieceQueue:
    """Receives a streamed body into a queue; the end is an empty piece, or an error."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[bytes | MalformedResponseError] = asyncio.Queue()

    def receive_piece(self, piece: bytes) -> None:
        self.queue.put_nowait(piece)

    def receive_end(self, error: MalformedResponseError | None) -> None:
        self.queue.put_nowait(error or b"")


async def iterate(body: StreamedBody) -> AsyncIterator[bytes]:
    pieces = PieceQueue()
    body.start(pieces)
    while piece := await pieces.queue.get():
        if isinstance(piece, MalformedResponseError):
            raise piece
        yield piece
    body.close()


async def answer_at_once(_trace: str) -> bytes:
    """Backend script that responds immediately with 200."""
    return answer()


def request_bytes(trace: str) -> bytes:
    """A read request as a client sends it."""
    fields = [f"{name}: {value}" for name, value in {**HEADERS, "X-Trace-Id": trace}.items()]
    return "\r\n".join([f"GET {TARGET} HTTP/1.1", "Host: h", *fields, "", ""]).encode()


class FrontCase(unittest.IsolatedAsyncioTestCase):
    """One front with one scripted backend, and a client."""

    async def start_front(self, script: Any, max_connections: int = 32) -> None:
        self.backend: ScriptedHttpBackend = await ScriptedHttpBackend(script).start()
        self.core, self.directory = Core(config().settings), Directory({})
        self.backends = BackendPools(self.directory, 0.25, 30.0, max_connections)
        self.ready = False
        self.front = HttpServer(config(), self.core, self.backends, lambda: self.ready)
        self.front.listen()
        self.url = f"http://127.0.0.1:{self.front.address.port}"
        self.core.notify(listed(self.directory, instance("s-a", self.backend.port), whole=True))
        self.client = aiohttp.ClientSession()
        self.addAsyncCleanup(self.stop_front)

    async def stop_front(self) -> None:
        await self.client.close()
        await self.front.close()
        self.backends.close()
        self.backend.stop()

    async def send_request(
        self, trace: str, method: str = "GET", body: bytes = b"", **headers: str
    ) -> tuple[int, bytes]:
        class_name = "record-write" if method == "PUT" else "tile-read"
        all_headers = {**HEADERS, "X-Trace-Id": trace, "X-Qos": class_name} | {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        url = self.url + TARGET
        async with self.client.request(method, url, headers=all_headers, data=body or None) as response:
            return response.status, await response.read()

    async def attempt(
        self, node: int, request: ClientRequest, may_begin: Callable[[], bool] = lambda: True
    ) -> AttemptResult[bytes | StreamedBody]:
        wait = ResponseWait(asyncio.get_running_loop().time() + 1.0)
        return await self.backends.attempt(node, request, wait, may_begin)

    async def wait_until(self, condition: Any) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)

    async def connect(self, *parts: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.front.address.port)
        writer.write(b"".join(parts))
        return reader, writer

    def request_head(self, trace: str, *fields: str, method: str = "GET", target: str = TARGET) -> bytes:
        all_fields = [
            f"X-Trace-Id: {trace}",
            *(f"{name}: {value}" for name, value in HEADERS.items()),
            *fields,
        ]
        return "\r\n".join([f"{method} {target} HTTP/1.1", "Host: h", *all_fields, "", ""]).encode()


class OneClientCase(FrontCase):
    """A front with one client, with access to both ends of the client's connection."""

    async def connect_client(
        self, script: Any = answer_at_once, *parts: bytes
    ) -> tuple[ClientConnection, Streams]:
        await self.start_front(script)
        streams = await self.connect(*parts)
        await self.wait_until(lambda: self.front.connections.clients)
        (client,) = self.front.connections.clients
        self.addAsyncCleanup(self.close_client, streams[1])
        return client, streams

    async def close_client(self, writer: asyncio.StreamWriter) -> None:
        writer.close()

    def transport(self, client: ClientConnection) -> ClosingTransport:
        assert isinstance(client.transport, ClosingTransport)
        return client.transport

    async def hold_unread(
        self, client: ClientConnection, streams: Streams, *parts: bytes
    ) -> ClosingTransport:
        """Pause reading and leave the bytes unread in the kernel."""
        transport = self.transport(client)
        transport.pause_reading()
        streams[1].write(b"".join(parts))
        await self.wait_until(lambda: has_unread_bytes(transport))
        return transport

    async def expect_response_and_close(self, streams: Streams) -> None:
        """Expect one complete response, followed by an orderly close and no reset."""
        async with asyncio.timeout(5):
            received = await streams[0].read()
        assert received.count(b"HTTP/1.1 200 ") == 1, received
        assert received.endswith(b"\r\n\r\ntile"), received


class DaemonCase(unittest.IsolatedAsyncioTestCase):
    """Starts the daemon as a process and reads its log."""

    async def start_daemon(
        self,
        folder: str,
        variables: dict[str, str] | None = None,
        fds: tuple[int, ...] = (),
        **changes: Any,
    ) -> asyncio.subprocess.Process:
        path = Path(folder) / "config.json"
        values = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": "ff",
            "settings": FACTS,
            **changes,
        }
        path.write_text(json.dumps(values))
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cleatyoke",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=fds,
            env={**inherited, **(variables or {}), "RELAY_CONFIG": str(path)},
        )

    async def wait_for_line(self, daemon: asyncio.subprocess.Process, text: bytes) -> bytes:
        assert daemon.stderr
        async with asyncio.timeout(10):
            while text not in (line := await daemon.stderr.readline()):
                assert line, "the daemon exited"
        return line
