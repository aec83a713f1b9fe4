"""The open handles of one SFTP session."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeVar

from cleatyoke.sftp.packets import Attrs, Handle, Name, StatusCode
from cleatyoke.sftp.volume_paths import CommandRejectedError


@dataclass(slots=True)
class ReadHandle:
    """A file open for reading."""

    path: str


@dataclass(slots=True)
class WriteHandle:
    """An upload as it is gathered; the backend gets it at CLOSE."""

    path: str
    flags: int
    attrs: Attrs
    size: int = 0  # bytes in ``pieces``
    pieces: list[tuple[int, bytes]] = field(default_factory=list)  # offset, data
    is_incomplete: bool = False  # a WRITE was rejected, so the pieces are not what the client means

    def append(self, offset: int, data: bytes) -> None:
        """Add the data of a WRITE, joined to the last piece where it follows that."""
        self.size += len(data)
        if self.pieces:
            last_offset, last_data = self.pieces[-1]
            if last_offset + len(last_data) == offset:
                self.pieces[-1] = (last_offset, last_data + data)
                return
        self.pieces.append((offset, data))


@dataclass(slots=True)
class DirectoryHandle:
    """An open directory with the names that have not been read yet."""

    path: str
    names: list[Name]


AnyHandle = ReadHandle | WriteHandle | DirectoryHandle
H = TypeVar("H")


class HandleTable:
    """Handles by the name that the client has for them; at most ``max_handles`` are open."""

    def __init__(self, max_handles: int) -> None:
        self._max_handles = max_handles
        self._handles: dict[bytes, AnyHandle] = {}
        self._opened_count = 0

    def check_capacity(self) -> None:
        """Raise ``CommandRejectedError`` where no more handles may be opened."""
        if len(self._handles) >= self._max_handles:
            raise CommandRejectedError(StatusCode.SSH_FX_FAILURE, "too many open handles")

    def open(self, opened: AnyHandle) -> Handle:
        """Keep a handle, and return the reply with its name."""
        self._opened_count += 1
        name = str(self._opened_count).encode()
        self._handles[name] = opened
        return Handle(0, name)

    def close(self, name: bytes) -> AnyHandle | None:
        """Forget a handle and return it, or None where it is unknown."""
        return self._handles.pop(name, None)

    def find(self, name: bytes) -> AnyHandle | None:
        """Return a handle, or None where it is unknown."""
        return self._handles.get(name)

    def get(self, name: bytes, handle_type: type[H]) -> H:
        """Return a handle of this type, or raise ``CommandRejectedError``."""
        found = self._handles.get(name)
        if not isinstance(found, handle_type):
            raise CommandRejectedError(StatusCode.SSH_FX_FAILURE, "unknown handle, or of another kind")
        return found

    def count_listed_names(self) -> int:
        """Return the names that open directories hold."""
        return sum(len(one.names) for one in self._handles.values() if isinstance(one, DirectoryHandle))
