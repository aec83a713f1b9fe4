"""A client's SFTP commands: one handler for each type of packet."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, Protocol

from cleatyoke.config.fronts_file import SftpSettings
from cleatyoke.limits.memory_pool import MemoryPool
from cleatyoke.sftp.backend_commands import Command, ListDirectory, ReadRange, SinglePacket, Upload
from cleatyoke.sftp.handles import PIECE_BYTES, DirectoryHandle, HandleTable, ReadHandle, WriteHandle
from cleatyoke.sftp.packets import (
    Attrs,
    AttrsReply,
    Close,
    Fstat,
    Lstat,
    Mkdir,
    Name,
    Names,
    Open,
    Opendir,
    OpenFlags,
    Packet,
    Read,
    Readdir,
    Realpath,
    Remove,
    Rename,
    Rmdir,
    Setstat,
    Stat,
    Status,
    StatusCode,
    Write,
)
from cleatyoke.sftp.volume_paths import (
    DIRECTORY_PERMISSIONS,
    CommandRejectedError,
    VolumePaths,
    absolute_path,
)

MAX_LISTED_NAMES = 40_000  # unread entries of all sessions together, beyond which no directory is opened
NAMES_PER_REPLY = 64
PathModification = Remove | Rmdir | Mkdir | Setstat


class CommandScheduler(Protocol):
    """The part of the file front that the handlers use."""

    config: SftpSettings
    volumes: VolumePaths
    memory: MemoryPool

    async def schedule(self, path: str, item: str, size: int, command: Command) -> Packet:
        """Run a command at a backend, or raise ``CommandRejectedError``."""

    def count_listed_names(self) -> int:
        """Count the unread entries in the open directories of all sessions."""


class ClientCommands:
    """Answers one session's commands. The caller sets the reply's id.

    Handlers raise ``CommandRejectedError`` for a command that the front itself answers with an error.
    """

    def __init__(self, front: CommandScheduler, handles: HandleTable) -> None:
        self._front = front
        self._handles = handles
        self._handlers: dict[type[Packet], Callable[[Any], Awaitable[Packet]]] = {
            Realpath: self._realpath,
            Open: self._open,
            Read: self._read,
            Write: self._write,
            Close: self._close,
            Opendir: self._opendir,
            Readdir: self._readdir,
            Fstat: self._fstat,
            Stat: self._stat,
            Lstat: self._stat,
            Remove: self._modify_path,
            Rmdir: self._modify_path,
            Mkdir: self._modify_path,
            Setstat: self._modify_path,
            Rename: self._rename,
        }

    async def handle(self, packet: Packet) -> Packet:
        """Return the reply to a command."""
        handler = self._handlers.get(type(packet))
        if handler is None:
            return Status(0, StatusCode.SSH_FX_OP_UNSUPPORTED, "unsupported command")
        return await handler(packet)

    async def _realpath(self, packet: Realpath) -> Packet:
        path = absolute_path(packet.path)
        return Names(0, [Name(path, path, Attrs())])

    async def _open(self, packet: Open) -> Packet:
        """Open a file: for reading, a backend must have it; for writing, no backend is involved yet."""
        path = absolute_path(packet.path)
        self._front.volumes.find(path)
        self._handles.check_capacity()
        access_mode = packet.flags & (OpenFlags.READ | OpenFlags.WRITE)
        if access_mode == OpenFlags.WRITE:
            return self._handles.open(WriteHandle(path, packet.flags, packet.attrs))
        if access_mode != OpenFlags.READ:
            raise CommandRejectedError(
                StatusCode.SSH_FX_OP_UNSUPPORTED, "open for reading or for writing, not both"
            )
        reply = await self._front.schedule(path, path, 0, SinglePacket(Stat(0, path), is_write=False))
        return self._handles.open(ReadHandle(path)) if isinstance(reply, AttrsReply) else reply

    async def _read(self, packet: Read) -> Packet:
        path = self._handles.get(packet.handle, ReadHandle).path
        length = min(packet.length, self._front.config.max_upload_bytes)
        command = ReadRange(path, packet.offset, length)
        return await self._front.schedule(path, f"{path}@{packet.offset}", length, command)

    async def _write(self, packet: Write) -> Packet:
        """Buffer the data; it is sent to the backend at CLOSE."""
        upload = self._handles.get(packet.handle, WriteHandle)
        max_size = self._front.config.max_upload_bytes
        if upload.size + len(packet.data) > max_size:
            upload.is_incomplete = True
            raise CommandRejectedError(StatusCode.SSH_FX_FAILURE, f"an upload holds at most {max_size} bytes")
        if not self._handles.hold(upload, PIECE_BYTES + len(packet.data)):
            upload.is_incomplete = True
            raise CommandRejectedError(StatusCode.SSH_FX_FAILURE, "too much memory is in use, not stored")
        upload.append(packet.offset, packet.data)
        return _ok()

    async def _close(self, packet: Close) -> Packet:
        """Close a handle; for an upload, send it to the backend and return that write's status."""
        closed = self._handles.close(packet.handle)
        if closed is None:
            return Status(0, StatusCode.SSH_FX_FAILURE, "unknown handle")
        try:
            return await self._store(closed) if isinstance(closed, WriteHandle) else _ok()
        finally:
            self._handles.release(closed)

    async def _store(self, closed: WriteHandle) -> Packet:
        if closed.is_incomplete:
            raise CommandRejectedError(
                StatusCode.SSH_FX_FAILURE, "not stored: a write to this handle was turned down"
            )
        command = Upload(closed.path, closed.flags, closed.attrs, closed.pieces)
        return await self._front.schedule(closed.path, closed.path, closed.size, command)

    async def _opendir(self, packet: Opendir) -> Packet:
        """Read the whole listing at once, as one request to one backend."""
        path = absolute_path(packet.path)
        self._handles.check_capacity()
        if entries := self._front.volumes.list_virtual_directory(path):
            return self._handles.open(DirectoryHandle(path, entries))
        if self._front.count_listed_names() > MAX_LISTED_NAMES:
            raise CommandRejectedError(StatusCode.SSH_FX_FAILURE, "too many listings are open")
        reply = await self._front.schedule(path, path, 0, ListDirectory(path, self._front.memory))
        if isinstance(reply, Names):
            return self._handles.open(DirectoryHandle(path, reply.names))
        return reply

    async def _readdir(self, packet: Readdir) -> Packet:
        directory = self._handles.get(packet.handle, DirectoryHandle)
        names = directory.names[:NAMES_PER_REPLY]
        directory.names = directory.names[NAMES_PER_REPLY:]
        return Names(0, names) if names else Status(0, StatusCode.SSH_FX_EOF, "end of listing")

    async def _fstat(self, packet: Fstat) -> Packet:
        opened = self._handles.find(packet.handle)
        if isinstance(opened, WriteHandle):
            return AttrsReply(0, replace(opened.attrs, size=opened.size))
        if opened is None:
            raise CommandRejectedError(StatusCode.SSH_FX_FAILURE, "unknown handle")
        command = SinglePacket(Stat(0, opened.path), is_write=False)
        return await self._front.schedule(opened.path, opened.path, 0, command)

    async def _stat(self, packet: Stat | Lstat) -> Packet:
        path = absolute_path(packet.path)
        if self._front.volumes.list_virtual_directory(path):
            return AttrsReply(0, Attrs(permissions=DIRECTORY_PERMISSIONS))
        command = SinglePacket(replace(packet, path=path), is_write=False)
        return await self._front.schedule(path, path, 0, command)

    async def _modify_path(self, packet: PathModification) -> Packet:
        path = absolute_path(packet.path)
        command = SinglePacket(replace(packet, path=path), is_write=True)
        return await self._front.schedule(path, path, 0, command)

    async def _rename(self, packet: Rename) -> Packet:
        path = absolute_path(packet.path)
        target = absolute_path(packet.target)
        if self._front.volumes.find(path) != self._front.volumes.find(target):
            raise CommandRejectedError(StatusCode.SSH_FX_FAILURE, "a rename stays within its volume")
        command = SinglePacket(Rename(0, path, target), is_write=True)
        return await self._front.schedule(path, path, 0, command)


def _ok() -> Status:
    return Status(0, StatusCode.SSH_FX_OK, "ok")
