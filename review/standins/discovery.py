"""Discovery's agent on the front's machine: the whole list, and a watch with an empty line every 2 s."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from standins.case import Record

HEARTBEAT = 2.0  # seconds
CLOSES_AFTER = 1.5  # seconds for which an address that a new configuration has left keeps its connections


class Discovery:
    """An agent for one front; every change is told at once on the open watches.

    ``answer_time``: seconds until it answers a call. ``label``: its name in the record.
    """

    def __init__(self, host: str, record: Record, label: str = "discovery", answer_time: float = 0.0) -> None:
        self.host = host
        self.record = record
        self.label = label
        self.answer_time = answer_time
        self.port = 0
        self.generation = 1
        self.instances: dict[str, dict[str, Any]] = {}
        self._watches: set[asyncio.StreamWriter] = set()
        self._connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def leave(self) -> None:
        """Accept no new connection, and close the open ones after 1.5 s: the front was told another one."""
        self.record.write(f"{self.label}: accepts no new connection")
        if self._server:
            self._server.close()
        asyncio.get_running_loop().call_later(CLOSES_AFTER, self.stop)

    def put(self, name: str, address: str, cell: int, lifecycle: str = "SERVING") -> None:
        """List a chunk server, or tell a change of it."""
        entry = self.list_only(name, address, cell, lifecycle)
        self.generation += 1
        line = json.dumps({"generation": self.generation, "reset": False, "instances": [entry]})
        self.record.write(f"{self.label} tells {len(self._watches)} watches: {name} is {lifecycle}")
        for writer in list(self._watches):
            self._send_line(writer, line)

    def list_only(self, name: str, address: str, cell: int, lifecycle: str = "SERVING") -> dict[str, Any]:
        """List a chunk server before any front watches; return its entry."""
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
        return entry

    def listing(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.instances.values())}

    def _send_line(self, writer: asyncio.StreamWriter, line: str) -> None:
        data = f"{line}\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                    target = head.split(" ", 2)[1]
                    self.record.write(f"{self.label} is asked: {target}")
                    await asyncio.sleep(self.answer_time)
                    self.record.write(f"{self.label} answers: {target}")
                    if "watch=1" in target:
                        await self._watch(target, reader, writer)
                        return
                    body = json.dumps(self.listing()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        finally:
            self._watches.discard(writer)
            self._connections.discard(writer)
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
                        self.record.write(f"{self.label}: the front has ended its watch")
                        return
            self._send_line(writer, "")
