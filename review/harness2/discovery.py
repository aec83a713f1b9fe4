"""A discovery agent (protocol page, Discovery)."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any

from harness2.fronts import Record

HEARTBEAT = 2.0  # seconds between the empty lines of a watch without changes


def entry(
    name: str, port: int, shard: int, lifecycle: str = "SERVING", started_ms: int = 0
) -> dict[str, Any]:
    """Return a chunk server's entry."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "basement",
        "machineType": "box-standard",
        "cell": shard,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


class Registry:
    """What discovery has: the entries and their changes, each with a version."""

    def __init__(self, entries: list[dict[str, Any]], generation: int = 41) -> None:
        self.generation = generation
        self.entries = {one["instanceId"]: one for one in entries}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Condition()

    async def set(self, one: dict[str, Any]) -> None:
        """Add or change an entry."""
        self.generation += 1
        self.changes.append((self.generation, one))
        self.entries[one["instanceId"]] = one
        async with self.changed:
            self.changed.notify_all()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def since(self, version: int) -> dict[str, Any]:
        """Return what changed after a version."""
        latest = {one["instanceId"]: one for number, one in self.changes if number > version}
        return {"generation": self.generation, "reset": False, "instances": list(latest.values())}


class Agent:
    """An agent on one port. ``answer_when``: awaited before a whole list is sent, for a slow agent."""

    def __init__(self, name: str, registry: Registry, record: Record) -> None:
        self.name, self.registry, self.record = name, registry, record
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.lists_sent = 0
        self.open_watches = 0
        self.wait_before_list: Callable[[], Any] | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop_accepting(self) -> None:
        """Accept no new connection."""
        if self.server:
            self.server.close()

    def close_connections(self) -> None:
        """Close the open connections."""
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                self.record.add(f"discovery {self.name}: is called, {target}")
                if "watch=1" in target:
                    await self._watch(reader, writer, int(target.partition("after=")[2] or 0))
                    return
                if self.wait_before_list:
                    await self.wait_before_list()
                body = json.dumps(self.registry.whole()).encode()
                if writer.transport.is_closing() or reader.at_eof():
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
                self.lists_sent += 1
                self.record.add(f"discovery {self.name}: has written its whole list")
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, after: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.open_watches += 1
        is_first = True
        try:
            while not (writer.transport.is_closing() or reader.at_eof()):
                if is_first or self.registry.generation > after:
                    update = self.registry.since(after)
                    after, is_first = update["generation"], False
                    self._write_line(writer, json.dumps(update).encode())
                    names = [f"{one['instanceId']} {one['lifecycle']}" for one in update["instances"]]
                    self.record.add(f"discovery {self.name}: tells {names}")
                else:
                    self._write_line(writer, b"")
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT), self.registry.changed:
                        if self.registry.generation <= after:
                            await self.registry.changed.wait()
        finally:
            self.open_watches -= 1

    def _write_line(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))
