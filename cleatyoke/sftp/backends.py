"""File commands at a box: one attempt is one conversation, and what its ending proves."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass, replace

from cleatyoke.core import AttemptResult, MayBegin
from cleatyoke.discovery.directory import Directory
from cleatyoke.scheduling.events import AttemptOutcome
from cleatyoke.sftp.packets import (
    VERSION,
    Attrs,
    Close,
    Code,
    Data,
    Flags,
    Handle,
    Init,
    Name,
    Names,
    Open,
    Opendir,
    Packet,
    PacketError,
    Read,
    Readdir,
    Status,
    Version,
    Write,
    decode,
    encode,
    read_packet,
)

MOST_IDLE = 4  # connections kept to a box
MOST_NAMES = 20_000  # entries of a listing
PIECE = 32 * 1024  # bytes of a WRITE: what every server must take
IDLE_SHARE = 0.5  # of the boxes' idle limit, after which a connection is not used again


@dataclass(slots=True)
class ReadRange:
    path: str
    offset: int
    length: int


@dataclass(slots=True)
class List:
    path: str


@dataclass(slots=True)
class Upload:
    """All that was written to a handle, sent at its CLOSE."""

    path: str
    flags: int
    attrs: Attrs
    pieces: list[tuple[int, bytes]]


@dataclass(slots=True)
class Simple:
    """A command of one packet."""

    packet: Packet
    changes: bool


Command = ReadRange | List | Upload | Simple


class NotStartedError(Exception):
    """The connection failed before any byte of the command was written."""


class NotServingError(Exception):
    """The box began to drain, or went, before the command was written."""


class SftpConnection:
    """A connection to a box; it carries one command at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.idle_since, self.last = 0.0, 0

    async def ask(self, packet: Packet) -> Packet:
        await self.send(packet)
        return await self.receive(self.last)

    async def send(self, packet: Packet) -> None:
        if not isinstance(packet, Init):
            self.last += 1
            packet = replace(packet, id=self.last)
        self.writer.write(encode(packet))
        await self.writer.drain()

    async def receive(self, request: int) -> Packet:
        reply = decode(await read_packet(self.reader))
        if reply.id != request and not isinstance(reply, Version):
            msg = f"an answer to {reply.id}, want one to {request}"
            raise PacketError(msg)
        return reply

    def usable(self) -> bool:
        return not self.reader.at_eof() and not self.writer.is_closing()

    def abort(self) -> None:
        self.writer.transport.abort()


class SftpBackends:
    """Connections to the boxes of the directory."""

    def __init__(
        self, directory: Directory, port: int, dial_timeout: float, idle_close: float, most_idle: int
    ) -> None:
        self.directory, self.port, self.most_idle = directory, port, most_idle
        self.dial_timeout, self.keep = dial_timeout, idle_close * IDLE_SHARE
        self.idle: defaultdict[int, list[SftpConnection]] = defaultdict(list)
        directory.listeners.append(self.drop)

    def drop(self, node: int) -> None:
        """The box drains, went or started anew."""
        for line in self.idle.pop(node, []):
            line.abort()

    def close(self) -> None:
        for node in list(self.idle):
            self.drop(node)

    async def attempt(self, node: int, command: Command, may: MayBegin) -> AttemptResult[Packet]:
        """One conversation; once a byte of the command may be written, a break may mean that it ran."""
        line, began, done = None, False, False
        try:
            line = await self.connect(node, fresh=isinstance(command, Upload) or changes(command))
            if not (self.directory.is_serving(node) and may()):  # it may have taken long to come up
                raise NotServingError
            began = True
            reply = await converse(line, command)
            done = True
        except NotServingError:
            return AttemptResult(AttemptOutcome.NOT_SENT)
        except NotStartedError:
            return AttemptResult(AttemptOutcome.CONNECTION_FAILED)
        except (OSError, EOFError, ValueError):
            return AttemptResult(
                AttemptOutcome.CONNECTION_RESET if began else AttemptOutcome.CONNECTION_FAILED
            )
        finally:
            if line and not (done and self.put_back(node, line)):
                line.abort()  # nothing of a given-up attempt stays open while the next goes out
        if isinstance(reply, Status) and reply.code == Code.SSH_FX_FAILURE:
            return AttemptResult(AttemptOutcome.ERROR)
        return AttemptResult(
            AttemptOutcome.SERVED, reply
        )  # any other status is the box's answer, and it is the client's

    async def connect(self, node: int, fresh: bool) -> SftpConnection:
        """A connection that has said its version. A change has a fresh one: on one that was idle, a break
        could not be told from a break after the box had stored the change.
        """
        box = self.directory.instances.get(node)
        if box is None or not self.directory.is_serving(node):
            raise NotServingError
        now = asyncio.get_running_loop().time()
        while not fresh and self.idle[node]:
            line = self.idle[node].pop()
            if line.usable() and now - line.idle_since < self.keep:
                return line
            line.abort()
        writer = None
        try:
            async with asyncio.timeout(self.dial_timeout):
                reader, writer = await asyncio.open_connection(
                    box.address.host, self.port or box.address.port
                )
                line = SftpConnection(reader, writer)
                reply = await line.ask(Init(VERSION))
                if not isinstance(reply, Version) or reply.id != VERSION:
                    msg = "no version 3"
                    raise PacketError(msg)
                return line
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            if writer:
                writer.transport.abort()
            raise NotStartedError from error
        except asyncio.CancelledError:
            if writer:
                writer.transport.abort()
            raise

    def put_back(self, node: int, line: SftpConnection) -> bool:
        if not line.usable() or not self.directory.is_serving(node) or len(self.idle[node]) >= MOST_IDLE:
            return False
        if sum(map(len, self.idle.values())) >= self.most_idle:  # the descriptors are dealt out for no more
            return False
        line.idle_since = asyncio.get_running_loop().time()
        self.idle[node].append(line)
        return True


def changes(command: Command) -> bool:
    return isinstance(command, Upload) or (isinstance(command, Simple) and command.changes)


async def converse(line: SftpConnection, command: Command) -> Packet:
    """The whole command, top to bottom; returns the reply that decides."""
    match command:
        case Simple(packet, _):
            return await line.ask(packet)
        case ReadRange(path, offset, length):
            opened = await line.ask(Open(0, path, Flags.READ, Attrs()))
            if not isinstance(opened, Handle):
                return opened
            found = await line.ask(Read(0, opened.handle, offset, length))
            await line.ask(Close(0, opened.handle))
            return found if isinstance(found, Data | Status) else unexpected(found)
        case List(path):
            opened = await line.ask(Opendir(0, path))
            if not isinstance(opened, Handle):
                return opened
            names: list[Name] = []
            while isinstance(found := await line.ask(Readdir(0, opened.handle)), Names) and found.names:
                names += found.names
                if len(names) > MOST_NAMES:
                    msg = "too long a listing"
                    raise PacketError(msg)
            await line.ask(Close(0, opened.handle))
            ended = isinstance(found, Names) or (isinstance(found, Status) and found.code == Code.SSH_FX_EOF)
            return Names(0, names) if ended else found
        case Upload(path, flags, attrs, pieces):
            opened = await line.ask(Open(0, path, flags, attrs))
            if not isinstance(opened, Handle):
                return opened
            first = line.last + 1
            for offset, data in pieces:
                for start in range(0, len(data), PIECE):
                    part = data[start : start + PIECE]
                    await line.send(Write(0, opened.handle, offset + start, part))
            await line.send(Close(0, opened.handle))
            replies = [await line.receive(request) for request in range(first, line.last + 1)]
            faults = [one for one in replies if not isinstance(one, Status) or one.code != Code.SSH_FX_OK]
            return (faults or replies)[-1 if not faults else 0]


def unexpected(packet: Packet) -> Packet:
    msg = f"an answer of type {packet.type}"
    raise PacketError(msg)
