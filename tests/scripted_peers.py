"""Scripted loopback peers: HTTP backends, a discovery server and SFTP backends."""

from __future__ import annotations

import asyncio
import json
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from typing import Any

from cleatyoke.config.addresses import Address
from cleatyoke.config.deployment import Config
from cleatyoke.discovery.directory import Directory, EndpointList, Instance
from cleatyoke.limits.memory_budget import MemoryBudget
from cleatyoke.limits.socket_budget import SocketBudget
from cleatyoke.scheduling.events import EndpointState, EndpointUpdate, UpdateKind
from cleatyoke.scheduling.settings import Idempotency, SchedulerSettings
from cleatyoke.sftp import codec
from cleatyoke.sftp import packets as p
from cleatyoke.testbed.peer import Peer
from tests.driven_front import class_spec, plan_spec, settings

FACTS: dict[str, Any] = {
    "Areas": ["basement"],
    "Contracts": [
        {"Name": "public", "BaseRate": 8.0, "FloorRate": 4.0, "Proportion": 1.0, "WorthFactor": 1.0}
    ],
    "Lanes": [
        {"Name": "tile-read", "AimS": 0.5, "GiveUpS": 1.5, "Repeat": "repeatable", "Worth": 3.0},
        {"Name": "record-write", "AimS": 0.5, "GiveUpS": 1.5, "Repeat": "once", "Worth": 2.0},
    ],
    "PolicyLimits": {"Cancel": True, "SendCap": 4, "DialTimeoutS": 0.25, "IdleCloseS": 30.0},
    "Siblings": 1,
}


def two_classes(**changes: Any) -> SchedulerSettings:
    non_idempotent = class_spec(idempotency=Idempotency.NOT_IDEMPOTENT, priority_weight=2.0)
    return settings(
        [class_spec(priority_weight=3.0), non_idempotent], front_count=1, max_attempts=4, **changes
    )


def config(**changes: Any) -> Config:
    base = Config(
        name="n0",
        listen=Address("127.0.0.1", 0),
        discovery=Address("127.0.0.1", 1),
        discovery_in_file=Address("127.0.0.1", 1),
        seed=1,
        socket_budget=SocketBudget.divide(1024, False),
        cached_endpoints={},
        settings=two_classes(plans=[plan_spec(base_rate=80.0, reserved_rate=80.0)]),
        classes={"tile-read": 0, "record-write": 1},
        plans={"public": 0},
        client_timeouts=[1.5, 1.5],
        changes_data=[False, True],
        memory=replace(MemoryBudget.divide(0.0, 484, 32), long_bodies=36 << 20),
        memory_mb=0.0,
        shard_count=9,
        zones={"basement": 0},
        connect_timeout=0.25,
        idle_timeout=30.0,
        drain_grace=1.0,
    )
    return replace(base, **changes)


def instance(name: str, port: int, state: EndpointState = EndpointState.LIVE, cell: int = 0) -> Instance:
    return Instance(name, Address("127.0.0.1", port), "basement", cell, state, 0.0)


def listed(directory: Directory, *instances: Instance, whole: bool = False) -> EndpointUpdate:
    kind = UpdateKind.SNAPSHOT if whole else UpdateKind.DELTA
    return EndpointUpdate(kind, directory.apply(EndpointList(1, whole, list(instances))))


# trace id -> a complete response, its pieces in order, or None to close the connection
Script = Callable[[str], Awaitable[bytes | AsyncIterator[bytes] | None]]


class ScriptedHttpBackend(Peer):
    """Counts complete requests by trace id, and responds as scripted."""

    def __init__(self, script: Script) -> None:
        super().__init__()
        self.script, self.heads = script, []
        self.counts: defaultdict[str, int] = defaultdict(int)
        self.bodies: dict[str, bytes] = {}

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
            self.bodies[fields["X-Trace-Id"]] = await reader.readexactly(int(fields.get("Content-Length", 0)))
            self.heads.append(head)
            self.counts[fields["X-Trace-Id"]] += 1
            answering = asyncio.ensure_future(self.script(fields["X-Trace-Id"]))
            closing = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({answering, closing}, return_when=asyncio.FIRST_COMPLETED)
            closing.cancel()
            await asyncio.gather(closing, return_exceptions=True)
            if not answering.done():
                answering.cancel()
                return
            answer = answering.result()
            if isinstance(answer, bytes):
                writer.write(answer)
            elif answer is None:
                return
            else:
                async for piece in answer:
                    writer.write(piece)
                    await writer.drain()
                    if not piece:  # an empty piece: close the connection gracefully
                        writer.write_eof()
                        await reader.read()
                        return


def answer(status: int = 200, body: bytes = b"tile", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


class ScriptedDiscovery(Peer):
    """Serves ``whole`` as the endpoint list; each watch request gets the next of the scripted ``rounds``."""

    def __init__(self, whole: dict[str, Any], rounds: list[list[bytes]]) -> None:
        super().__init__()
        self.whole, self.rounds, self.asked = whole, rounds, []

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            target = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
            self.asked.append(target)
            if "watch" not in target:
                writer.write(answer(200, json.dumps(self.whole).encode()))
                continue
            writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
            for line in self.rounds.pop(0) if self.rounds else []:
                writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            await reader.read(1)  # until the front closes the connection
            return


Handles = dict[bytes, tuple[str, bytearray]]  # by handle: path and content


class ScriptedFileBackend(Peer):
    """An SFTP backend; ``stored`` counts the writes executed, at their CLOSE, by path."""

    def __init__(self, breaks: bool = False, silent: bool = False) -> None:
        super().__init__()
        self.breaks, self.silent = breaks, silent
        self.files: dict[str, bytes] = {}
        self.stored: defaultdict[str, int] = defaultdict(int)
        self.commands: list[str] = []

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        handles: Handles = {}
        while True:
            packet = codec.decode(await codec.read_packet(reader))
            if not isinstance(packet, p.Init):
                self.commands.append(type(packet).__name__)
                if self.silent:
                    continue
            reply = self.reply(packet, handles)
            if reply is None:
                return
            writer.write(codec.encode(reply))

    def reply(self, packet: p.Packet, handles: Handles) -> p.Packet | None:
        """Return the reply to a packet, or None to close the connection without one."""
        match packet:
            case p.Init():
                return p.Version(p.VERSION)
            case p.Write(_, handle, offset, data):
                handles[handle][1][offset : offset + len(data)] = data
            case p.Read(_, handle, offset, length):
                return p.Data(packet.id, bytes(handles[handle][1][offset : offset + length]))
            case p.Close(_, handle):
                return self.close(packet, handle, handles)
            case p.Open() | p.Opendir() | p.Readdir() | p.Stat():
                return self.look_up(packet, handles)
        return p.Status(packet.id, p.StatusCode.SSH_FX_OK)

    def look_up(self, packet: p.Open | p.Opendir | p.Readdir | p.Stat, handles: Handles) -> p.Packet:
        missing = p.Status(packet.id, p.StatusCode.SSH_FX_NO_SUCH_FILE, "no such file")
        match packet:
            case p.Open(_, path, flags, _):
                if flags & p.OpenFlags.READ and path not in self.files:
                    return missing
                handles[b"%d" % packet.id] = path, bytearray(self.files.get(path, b""))
                return p.Handle(packet.id, b"%d" % packet.id)
            case p.Opendir(_, path):
                handles[b"d"] = path, bytearray(b"unread")
                return p.Handle(packet.id, b"d")
            case p.Stat(_, path):
                if path not in self.files:
                    return missing
                return p.AttrsReply(packet.id, p.Attrs(size=len(self.files[path])))
        path, unread = handles[b"d"]
        handles[b"d"] = path, bytearray()
        names = [p.Name(one, one, p.Attrs()) for one in self.files if one.startswith(path)]
        end = p.Status(packet.id, p.StatusCode.SSH_FX_EOF)
        return p.Names(packet.id, names) if unread and names else end

    def close(self, packet: p.Packet, handle: bytes, handles: Handles) -> p.Packet | None:
        path, content = handles.pop(handle)
        if handle != b"d" and self.files.get(path) != content:
            self.files[path] = bytes(content)
            self.stored[path] += 1
            if self.breaks:
                return None
        return p.Status(packet.id, p.StatusCode.SSH_FX_OK)
