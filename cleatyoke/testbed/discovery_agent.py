"""Discovery doubles: one registry, and an agent for each front, which can be made faulty."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from cleatyoke.testbed.checker import RuleChecker
from cleatyoke.testbed.peer import Peer

KEEP_ALIVE_S = 2.0  # without a change until a watch sends an empty line


class Registry:
    """The discovery service's list of backends; each change gets a version."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Condition()

    async def set(self, name: str, **fields: Any) -> None:
        """Add or change a backend's entry; ``lifecycle`` DELETED removes it."""
        entry = {**self.entries.get(name, {"instanceId": name}), **fields}
        self.version += 1
        self.changes.append((self.version, entry))
        self.entries[name] = entry
        if entry["lifecycle"] == "DELETED":
            del self.entries[name]
        async with self.changed:
            self.changed.notify_all()

    def listing(self, after: int | None = None) -> dict[str, Any]:
        """Return the complete list, or the entries changed after a version."""
        if after is None:
            return {"generation": self.version, "reset": True, "instances": list(self.entries.values())}
        latest = {entry["instanceId"]: entry for version, entry in self.changes if version > after}
        return {"generation": self.version, "reset": False, "instances": list(latest.values())}


class DiscoveryAgent(Peer):
    """The discovery agent of one front.

    ``delay`` is the time in seconds by which it delays changes. ``fault`` is what it serves in place of a
    list: "garble", "empty" or "silent"; "" for no fault.
    """

    def __init__(
        self, front: int, registry: Registry, checker: RuleChecker, clock: Callable[[], float]
    ) -> None:
        super().__init__()
        self.front, self.registry, self.checker, self.clock = front, registry, checker, clock
        self.delay = 0.0
        self.fault = ""

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve lists and watches on a connection until it ends."""
        while True:
            target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            while self.fault == "silent":
                await asyncio.sleep(0.1)
            if "watch=1" in target:
                await self._send_watch_events(reader, writer, int(target.partition("after=")[2] or 0))
            else:
                await self._send_list(writer)

    async def _send_list(self, writer: asyncio.StreamWriter) -> None:
        body = {"garble": b'{"generation": "x", "instances": [', "empty": b""}.get(self.fault)
        listing = self.registry.listing()
        if body is None:
            body = json.dumps(listing).encode()
            self.notify(listing)
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        await writer.drain()

    async def _send_watch_events(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, after: int
    ) -> None:
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
        is_first_event = True
        while not writer.transport.is_closing():
            if self.registry.version > after or is_first_event:
                await asyncio.sleep(self.delay)
                if reader.at_eof():
                    return  # the front has closed the watch, so it does not receive the change
                listing = self.registry.listing(after)
                after, is_first_event = int(listing["generation"]), False
                line = {"garble": b'{"generation":', "empty": b""}.get(self.fault)
                if line is None:
                    line = json.dumps(listing).encode()
                    self.notify(listing)
                self._write_chunk(writer, line)
                await writer.drain()
                continue
            try:
                async with asyncio.timeout(KEEP_ALIVE_S), self.registry.changed:
                    await self.registry.changed.wait()
            except TimeoutError:
                self._write_chunk(writer, b"")

    def _write_chunk(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    def notify(self, listing: dict[str, Any]) -> None:
        """Tell the checker that the front knows of a list, which counts from when the list is written."""
        now = self.clock()
        for entry in listing["instances"]:
            serving = entry["lifecycle"] == "SERVING"
            self.checker.on_drain_notice(self.front, entry["instanceId"], None if serving else now)
