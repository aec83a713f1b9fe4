"""The front for file commands: sessions, handles, and each command that reaches a box as one request."""

from __future__ import annotations

import asyncio
import hashlib
import posixpath
from dataclasses import dataclass, field, replace
from typing import TypeVar

import structlog

from cleatyoke.config.deployment import SftpSettings, VolumePath
from cleatyoke.core import Core, Rejected, Served
from cleatyoke.scheduling.events import RequestArrived
from cleatyoke.sftp.backends import Command, List, ReadRange, SftpBackends, Simple, Upload, changes
from cleatyoke.sftp.packets import (
    VERSION,
    Attrs,
    AttrsReply,
    Close,
    StatusCode,
    OpenFlags,
    Fstat,
    Handle,
    Init,
    Lstat,
    Mkdir,
    Name,
    Names,
    Open,
    Opendir,
    Packet,
    PacketError,
    Read,
    Readdir,
    Realpath,
    Remove,
    Rename,
    Rmdir,
    Setstat,
    Stat,
    Status,
    Version,
    Write,
    decode,
    encode,
    read_size,
)

MOST_WAITING = 8  # commands of a session that wait for their turn; then it is not read further
MOST_LISTED = 40_000  # names held for all sessions together
NAMES_A_REPLY = 64
DIRECTORY = 0o040755
STALL = 30.0  # seconds for a client to take an answer
log = structlog.get_logger()
H = TypeVar("H")


@dataclass(slots=True)
class ReadHandle:
    path: str


@dataclass(slots=True)
class WriteHandle:
    """An upload as it is gathered; the box hears of it at CLOSE."""

    path: str
    flags: int
    attrs: Attrs
    size: int = 0
    pieces: list[tuple[int, bytes]] = field(default_factory=list)
    spoilt: bool = False  # a WRITE was turned down, so that what is here is not what the client means


@dataclass(slots=True)
class DirectoryHandle:
    path: str
    names: list[Name]


class PermissionDeniedError(Exception):
    """A command answered without a box."""

    def __init__(self, code: StatusCode, message: str) -> None:
        super().__init__(message)
        self.code, self.message = code, message


class SftpServer:
    """The listener. ``open`` and ``close`` it as often as mastership comes and goes."""

    def __init__(self, config: SftpSettings, core: Core, boxes: SftpBackends, most_sessions: int) -> None:
        self.config, self.core, self.backends, self.most_sessions = config, core, boxes, most_sessions
        self.sessions: set[Session] = set()
        self.listener: asyncio.Server | None = None

    async def open(self) -> None:
        if self.listener is None:
            listen = self.config.listen
            self.listener = await asyncio.start_server(self.accept, listen.host, listen.port)
            log.info("sftp_open", listen=listen)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.sessions) >= self.most_sessions:
            log.warning("sftp_too_many_sessions", most=self.most_sessions)
            writer.transport.abort()
            return
        session = Session(self, reader, writer)
        self.sessions.add(session)
        try:
            await session.run()
        finally:
            self.sessions.discard(session)

    async def close(self, patience: float = 0.0) -> None:
        """Take no more sessions; each ends after the command in hand, or when patience is over."""
        if self.listener is None:
            return
        self.listener.close()
        self.listener = None
        for session in self.sessions:
            session.leave()
        try:
            async with asyncio.timeout(patience):
                await asyncio.gather(*[session.ended.wait() for session in self.sessions])
        except TimeoutError:
            for session in list(self.sessions):
                session.writer.transport.abort()
        log.info("sftp_closed")

    def volume(self, path: str) -> VolumePath:
        for volume in self.config.volumes:
            if path == volume.prefix or path.startswith(volume.prefix.rstrip("/") + "/"):
                return volume
        raise PermissionDeniedError(StatusCode.SSH_FX_NO_SUCH_FILE, f"{path}: below no volume")

    def above(self, path: str) -> list[Name]:
        """The entries of a folder that holds volumes and belongs to none: it is listed without a box."""
        start = path.rstrip("/") + "/"
        found = {
            one.prefix[len(start) :].partition("/")[0]
            for one in self.config.volumes
            if one.prefix.startswith(start)
        }
        inside = any(start.startswith(one.prefix + "/") for one in self.config.volumes)
        return [] if inside else [Name(one, one, Attrs(permissions=DIRECTORY)) for one in sorted(found)]

    def listed(self) -> int:
        held = [one for session in self.sessions for one in session.handles.values()]
        return sum(len(one.names) for one in held if isinstance(one, DirectoryHandle))

    async def schedule(self, path: str, item: str, size: int, command: Command) -> Packet:
        """One request through the core: as a read or a write of its volume, by its size in units."""
        volume, settings = self.volume(path), self.core.policy.settings
        units = max(1, -(-size // self.config.unit_bytes))
        deadline = self.core.now() + self.config.deadline
        arrival = RequestArrived(
            request_id=self.core.new_id(),
            class_index=self.config.write_class if changes(command) else self.config.read_class,
            plan_index=volume.plan,
            volume_id=volume.volume,
            item=number(item),
            shard=volume.cell,
            units=min(float(units), settings.max_request_units or float(units)),
            deadline=deadline,
            front_count=volume.hosts,
        )
        match await self.core.serve(arrival, lambda node, may: self.backends.attempt(node, command, may)):
            case Served(reply) if reply is not None:
                return reply
            case Rejected(wait):
                again = f"try again after {max(0.0, wait):.3f} s"
                raise PermissionDeniedError(StatusCode.SSH_FX_FAILURE, f"refused, nothing was done: {again}")
            case _:
                doubt = "the change may have been made" if changes(command) else "no answer"
                raise PermissionDeniedError(StatusCode.SSH_FX_FAILURE, f"failed: {doubt}")


class Session:
    """One client's connection. Its commands are answered in turn; while one waits, a close is noticed."""

    def __init__(self, front: SftpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.front, self.reader, self.writer = front, reader, writer
        self.handles: dict[bytes, ReadHandle | WriteHandle | DirectoryHandle] = {}
        self.numbered = 0
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue(MOST_WAITING)
        self.leaving, self.busy, self.ended = False, False, asyncio.Event()
        self.working: asyncio.Task[None] | None = None

    async def run(self) -> None:
        self.working = asyncio.create_task(self.work())
        reading = asyncio.create_task(self.read())
        try:
            done, _ = await asyncio.wait({reading, self.working}, return_when=asyncio.FIRST_COMPLETED)
            if reading in done and reading.result():
                await self.queue.put(None)  # a bad stream, but the client is there: answer what came before
                await self.working
        finally:
            for task in (reading, self.working):
                task.cancel()  # a client that closed is withdrawn by this
            await asyncio.gather(reading, self.working, return_exceptions=True)
            self.writer.close()
            self.ended.set()

    async def read(self) -> bool:
        """Queue packets until the client closes (False) or sends what is none (True)."""
        while True:
            try:
                async with asyncio.timeout(self.front.config.idle):
                    size = await read_size(self.reader)
                async with asyncio.timeout(STALL):
                    raw = await self.reader.readexactly(size)
                await self.queue.put(raw)
            except TimeoutError:
                log.info("sftp_idle_closed")
                return False
            except (EOFError, OSError):
                return False
            except PacketError as error:
                log.warning("sftp_bad_stream", why=str(error))
                return True

    async def work(self) -> None:
        first = True
        while (raw := await self.queue.get()) is not None and not self.leaving:
            self.busy = True
            reply = await self.answer(raw, first)
            first = False
            self.writer.write(encode(reply))
            try:
                async with asyncio.timeout(STALL):
                    await self.writer.drain()
            except (TimeoutError, OSError):
                return
            self.busy = False
            if isinstance(reply, Status) and reply.id == 0 and reply.code == StatusCode.SSH_FX_BAD_MESSAGE:
                return

    def leave(self) -> None:
        """End after the command in hand."""
        self.leaving = True
        if not self.busy and self.working:
            self.working.cancel()

    async def answer(self, raw: bytes, first: bool) -> Packet:
        try:
            packet = decode(raw)
        except PacketError as error:
            return Status(error.request_id or 0, StatusCode.SSH_FX_BAD_MESSAGE, str(error))
        if isinstance(packet, Init) != first:
            return Status(0, StatusCode.SSH_FX_BAD_MESSAGE, "INIT comes first, and once")
        if isinstance(packet, Init):
            return Version(VERSION)
        try:
            reply = await self.command(packet)
        except PermissionDeniedError as denied:
            reply = Status(0, denied.code, denied.message)
        except Exception:
            log.exception("sftp_fault")
            reply = Status(0, StatusCode.SSH_FX_FAILURE, "internal error")
        return replace(reply, id=packet.id)

    async def command(self, packet: Packet) -> Packet:
        """One command, top to bottom."""
        front = self.front
        match packet:
            case Realpath(_, path):
                return Names(0, [Name(absolute(path), absolute(path), Attrs())])
            case Open(_, path, flags, attrs):
                return await self.open(absolute(path), flags, attrs)
            case Read(_, handle, offset, length):
                path = self.handle(handle, ReadHandle).path
                length = min(length, front.config.most_upload)
                command = ReadRange(path, offset, length)
                return await front.schedule(path, f"{path}@{offset}", length, command)
            case Write(_, handle, offset, data):
                return self.gather(self.handle(handle, WriteHandle), offset, data)
            case Close(_, handle):
                held = self.handles.pop(handle, None)
                if isinstance(held, WriteHandle):
                    return await self.upload(held)
                return ok() if held else Status(0, StatusCode.SSH_FX_FAILURE, "unknown handle")
            case Opendir(_, path):
                path = absolute(path)
                self.room()
                if above := front.above(path):
                    return self.hold(DirectoryHandle(path, above))
                if front.listed() > MOST_LISTED:
                    raise PermissionDeniedError(StatusCode.SSH_FX_FAILURE, "too many listings are open")
                found = await front.schedule(path, path, 0, List(path))
                return self.hold(DirectoryHandle(path, found.names)) if isinstance(found, Names) else found
            case Readdir(_, handle):
                listed = self.handle(handle, DirectoryHandle)
                part, listed.names = listed.names[:NAMES_A_REPLY], listed.names[NAMES_A_REPLY:]
                return Names(0, part) if part else Status(0, StatusCode.SSH_FX_EOF, "end of listing")
            case Fstat(_, handle):
                held = self.handles.get(handle)
                if isinstance(held, WriteHandle):
                    return AttrsReply(0, replace(held.attrs, size=held.size))
                if held is None:
                    raise PermissionDeniedError(StatusCode.SSH_FX_FAILURE, "unknown handle")
                return await front.schedule(held.path, held.path, 0, Simple(Stat(0, held.path), False))
            case Stat(_, path) | Lstat(_, path):
                path = absolute(path)
                if front.above(path):
                    return AttrsReply(0, Attrs(permissions=DIRECTORY))
                return await front.schedule(path, path, 0, Simple(replace(packet, path=path), False))
            case Remove(_, path) | Rmdir(_, path) | Mkdir(_, path) | Setstat(_, path):
                path = absolute(path)
                return await front.schedule(path, path, 0, Simple(replace(packet, path=path), True))
            case Rename(_, path, target):
                path, target = absolute(path), absolute(target)
                if front.volume(path) != front.volume(target):
                    raise PermissionDeniedError(StatusCode.SSH_FX_FAILURE, "a rename stays within its volume")
                return await front.schedule(path, path, 0, Simple(Rename(0, path, target), True))
            case _:
                return Status(0, StatusCode.SSH_FX_OP_UNSUPPORTED, "unsupported command")

    async def open(self, path: str, flags: int, attrs: Attrs) -> Packet:
        self.front.volume(path)
        self.room()
        wanted = flags & (OpenFlags.READ | OpenFlags.WRITE)
        if wanted == OpenFlags.WRITE:
            return self.hold(WriteHandle(path, flags, attrs))
        if wanted != OpenFlags.READ:
            raise PermissionDeniedError(
                StatusCode.SSH_FX_OP_UNSUPPORTED, "open for reading or for writing, not both"
            )
        found = await self.front.schedule(path, path, 0, Simple(Stat(0, path), False))
        return self.hold(ReadHandle(path)) if isinstance(found, AttrsReply) else found

    def gather(self, held: WriteHandle, offset: int, data: bytes) -> Packet:
        most = self.front.config.most_upload
        if held.size + len(data) > most:
            held.spoilt = True
            raise PermissionDeniedError(StatusCode.SSH_FX_FAILURE, f"an upload holds at most {most} bytes")
        held.size += len(data)
        if held.pieces and sum((held.pieces[-1][0], len(held.pieces[-1][1]))) == offset:
            start, before = held.pieces.pop()
            offset, data = start, before + data
        held.pieces.append((offset, data))
        return ok()

    async def upload(self, held: WriteHandle) -> Packet:
        """The one write of an upload; the status of CLOSE is its outcome."""
        if held.spoilt:
            raise PermissionDeniedError(
                StatusCode.SSH_FX_FAILURE, "not stored: a write to this handle was turned down"
            )
        command = Upload(held.path, held.flags, held.attrs, held.pieces)
        return await self.front.schedule(held.path, held.path, held.size, command)

    def room(self) -> None:
        if len(self.handles) >= self.front.config.most_handles:
            raise PermissionDeniedError(StatusCode.SSH_FX_FAILURE, "too many open handles")

    def hold(self, held: ReadHandle | WriteHandle | DirectoryHandle) -> Handle:
        self.numbered += 1
        handle = str(self.numbered).encode()
        self.handles[handle] = held
        return Handle(0, handle)

    def handle(self, handle: bytes, kind: type[H]) -> H:
        held = self.handles.get(handle)
        if not isinstance(held, kind):
            raise PermissionDeniedError(StatusCode.SSH_FX_FAILURE, "unknown handle, or of another kind")
        return held


def number(item: str) -> int:
    """A piece of data as the policy knows it: the same for a client's repeat, in any life of the front."""
    return int.from_bytes(hashlib.blake2b(item.encode("utf-8", "surrogateescape"), digest_size=6).digest())


def absolute(path: str) -> str:
    return "/" + posixpath.normpath("/" + path).lstrip("/")


def ok() -> Status:
    return Status(0, StatusCode.SSH_FX_OK, "ok")
