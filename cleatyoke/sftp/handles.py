"""The open handles of one SFTP session."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeVar

from cleatyoke.limits.memory_pool import MemoryPool
from cleatyoke.sftp.backend_commands import listing_bytes
from cleatyoke.sftp.packets import Attrs, Handle, Name, StatusCode
from cleatyoke.sftp.volume_paths import CommandRejectedError

HANDLE_BYTES = 512  # of a handle's objects, beside its path
MAX_CHARACTER_BYTES = 4  # of a path in memory
PIECE_BYTES = 192  # of the objects of an upload's piece, beside its data


@dataclass(slots=True)
class ReadHandle:
    """A file open for reading."""

    path: str
    held_bytes: int = 0  # see ``HandleTable``


@dataclass(slots=True)
class WriteHandle:
    """A file open for writing; its data is buffered and sent to the backend at CLOSE."""

    path: str
    flags: int
    attrs: Attrs
    size: int = 0  # bytes in ``pieces``
    pieces: list[tuple[int, bytes]] = field(default_factory=list)  # offset, data
    is_incomplete: bool = False  # a WRITE was rejected, so the pieces must not be stored
    held_bytes: int = 0

    def append(self, offset: int, data: bytes) -> None:
        """Add the data of a WRITE, merged into the last piece if it directly follows it."""
        self.size += len(data)
        if self.pieces:
            last_offset, last_data = self.pieces[-1]
            if last_offset + len(last_data) == offset:
                self.pieces[-1] = (last_offset, last_data + data)
                return
        self.pieces.append((offset, data))


@dataclass(slots=True)
class DirectoryHandle:
    """An open directory, with the entries that the client has not read yet."""

    path: str
    names: list[Name]
    held_bytes: int = 0


AnyHandle = ReadHandle | WriteHandle | DirectoryHandle
HandleT = TypeVar("HandleT")


class HandleTable:
    """Open handles, by the opaque handle string given to the client; at most ``max_handles``.

    What a handle keeps in memory, ``held_bytes``, is reserved in ``memory``, which all sessions share.
    """

    def __init__(self, max_handles: int, memory: MemoryPool) -> None:
        self._max_handles = max_handles
        self._memory = memory
        self._handles: dict[bytes, AnyHandle] = {}
        self._last_handle_number = 0

    def check_capacity(self) -> None:
        """Raise ``CommandRejectedError`` if the limit of open handles is reached."""
        if len(self._handles) >= self._max_handles:
            raise CommandRejectedError(StatusCode.SSH_FX_FAILURE, "too many open handles")

    def open(self, handle: AnyHandle) -> Handle:
        """Register a handle, and return the reply with its handle string.

        Raises ``CommandRejectedError`` if there is no memory for it.
        """
        size = HANDLE_BYTES + MAX_CHARACTER_BYTES * len(handle.path)
        if isinstance(handle, DirectoryHandle):
            size += listing_bytes(handle.names)
        if not self.hold(handle, size):
            raise CommandRejectedError(StatusCode.SSH_FX_FAILURE, "too much memory is in use")
        self._last_handle_number += 1
        name = str(self._last_handle_number).encode()
        self._handles[name] = handle
        return Handle(0, name)

    def hold(self, handle: AnyHandle, size: int) -> bool:
        """Reserve ``size`` more bytes for a handle; False if there is no memory."""
        if not self._memory.reserve(size):
            return False
        handle.held_bytes += size
        return True

    def release(self, handle: AnyHandle) -> None:
        """Free the memory of a handle that has been closed."""
        self._memory.release(handle.held_bytes)
        handle.held_bytes = 0

    def release_all(self) -> None:
        """Close all handles and free their memory."""
        for handle in self._handles.values():
            self.release(handle)
        self._handles.clear()

    def close(self, name: bytes) -> AnyHandle | None:
        """Remove a handle and return it, or None if it is unknown; the caller releases it."""
        return self._handles.pop(name, None)

    def find(self, name: bytes) -> AnyHandle | None:
        """Return a handle, or None if it is unknown."""
        return self._handles.get(name)

    def get(self, name: bytes, handle_type: type[HandleT]) -> HandleT:
        """Return a handle; raise ``CommandRejectedError`` if it is unknown or of another type."""
        handle = self._handles.get(name)
        if not isinstance(handle, handle_type):
            raise CommandRejectedError(StatusCode.SSH_FX_FAILURE, "unknown handle, or of another kind")
        return handle

    def count_listed_names(self) -> int:
        """Count the unread entries in open directories."""
        return sum(
            len(handle.names) for handle in self._handles.values() if isinstance(handle, DirectoryHandle)
        )
