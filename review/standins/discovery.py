"""Discovery's agent on the front's machine: the whole list, and a watch with an empty line every 2 s."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from standins.case import Record

HEARTBEAT = 2.0  # seconds


class Discovery:
    """An agent for one front; every change is told at once on the open watches."""

    def __init__(self, host: str, record: Record) -> None:
        self.host = host
        self.record = record
        self.port = 0
        self.generation = 1
        self.instances: dict[str, dict[str, Any]] = {}
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server:
            self._server.close()
        for writer in list(self._watches):
            writer.transport.abort()

    def put(self, name: str, address: str, cell: int, lifecycle: str = "SERVING") -> None:
        """List a chunk server, or tell a change of it."""
        entry = {
            "instanceId": name,
            "hostPort": address,
            "zone": "hall",
            "machineType": "node-2c",
            "cell": cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }
        self.instances[name] = entry
        self.generation += 1
        line = json.dumps({"generation": self.generation, "reset": False, "instances": [entry]})
        for writer in list(self._watches):
            self._send_line(writer, line)

    def listing(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.instances.values())}

    def _send_line(self, writer: asyncio.StreamWriter, line: str) -> None:
        data = f"{line}\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                    target = head.split(" ", 2)[1]
                    if "watch=1" in target:
                        await self._watch(target, reader, writer)
                        return
                    body = json.dumps(self.listing()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        finally:
            self._watches.discard(writer)
            writer.transport.abort()

    async def _watch(self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        is_current = f"after={self.generation}" in target
        self._send_line(writer, "" if is_current else json.dumps(self.listing()))
        self._watches.add(writer)
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT):
                    if not await reader.read(1024):
                        return
            self._send_line(writer, "")
