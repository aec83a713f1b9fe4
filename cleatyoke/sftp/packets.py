"""SFTP version 3 packets (draft-ietf-secsh-filexfer-02) as typed values; ``codec`` encodes them.

Packets and fields are named as in the draft.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, IntFlag, auto
from typing import ClassVar

VERSION = 3


class StatusCode(IntEnum):
    """Error codes of SSH_FXP_STATUS (draft, section 7)."""

    SSH_FX_OK = 0
    SSH_FX_EOF = 1
    SSH_FX_NO_SUCH_FILE = 2
    SSH_FX_PERMISSION_DENIED = 3
    SSH_FX_FAILURE = 4
    SSH_FX_BAD_MESSAGE = 5
    SSH_FX_NO_CONNECTION = 6
    SSH_FX_CONNECTION_LOST = 7
    SSH_FX_OP_UNSUPPORTED = 8


class OpenFlags(IntFlag):
    """The pflags of SSH_FXP_OPEN (draft, section 6.3)."""

    READ = 1
    WRITE = 2
    APPEND = 4
    CREAT = 8
    TRUNC = 16
    EXCL = 32


class FieldType(Enum):
    """How a packet's field is encoded (draft, section 3)."""

    U32 = auto()
    U64 = auto()
    STRING = auto()  # a length, then the bytes
    TEXT = auto()  # a string, read as UTF-8; invalid bytes are preserved
    REST = auto()  # all bytes up to the packet's end
    ATTRS = auto()  # see ``Attrs``
    NAMES = auto()  # a count, then as many ``Name`` entries


class PacketError(ValueError):
    """Bytes that are not a valid packet; ``request_id`` is set if the id could be read."""

    def __init__(self, reason: str, request_id: int | None = None) -> None:
        super().__init__(reason)
        self.request_id = request_id


@dataclass(slots=True)
class Attrs:
    """File attributes (draft, section 5); None if not present."""

    size: int | None = None
    owner: tuple[int, int] | None = None  # uid, gid
    permissions: int | None = None
    times: tuple[int, int] | None = None  # atime, mtime, in seconds since the Unix epoch (1970)
    extended: list[tuple[bytes, bytes]] = field(default_factory=list)


@dataclass(slots=True)
class Name:
    """One entry of SSH_FXP_NAME."""

    filename: str
    longname: str
    attrs: Attrs


@dataclass
class Packet:
    """``type`` is the SSH_FXP number; ``layout`` the fields after the id, in wire order."""

    type: ClassVar[int]
    layout: ClassVar[dict[str, FieldType]]
    id: int


@dataclass
class Init(Packet):
    """SSH_FXP_INIT; the id is the client's version."""

    type: ClassVar[int] = 1
    layout: ClassVar[dict[str, FieldType]] = {"extensions": FieldType.REST}
    extensions: bytes = b""


@dataclass
class Version(Packet):
    """SSH_FXP_VERSION; the id is the server's version."""

    type: ClassVar[int] = 2
    layout: ClassVar[dict[str, FieldType]] = {"extensions": FieldType.REST}
    extensions: bytes = b""


@dataclass
class Open(Packet):
    """SSH_FXP_OPEN, with ``OpenFlags``."""

    type: ClassVar[int] = 3
    layout: ClassVar[dict[str, FieldType]] = {
        "path": FieldType.TEXT,
        "flags": FieldType.U32,
        "attrs": FieldType.ATTRS,
    }
    path: str
    flags: int
    attrs: Attrs


@dataclass
class Close(Packet):
    """SSH_FXP_CLOSE."""

    type: ClassVar[int] = 4
    layout: ClassVar[dict[str, FieldType]] = {"handle": FieldType.STRING}
    handle: bytes


@dataclass
class Read(Packet):
    """SSH_FXP_READ; offset and length are in bytes."""

    type: ClassVar[int] = 5
    layout: ClassVar[dict[str, FieldType]] = {
        "handle": FieldType.STRING,
        "offset": FieldType.U64,
        "length": FieldType.U32,
    }
    handle: bytes
    offset: int
    length: int


@dataclass
class Write(Packet):
    """SSH_FXP_WRITE."""

    type: ClassVar[int] = 6
    layout: ClassVar[dict[str, FieldType]] = {
        "handle": FieldType.STRING,
        "offset": FieldType.U64,
        "data": FieldType.STRING,
    }
    handle: bytes
    offset: int
    data: bytes


@dataclass
class Lstat(Packet):
    """SSH_FXP_LSTAT."""

    type: ClassVar[int] = 7
    layout: ClassVar[dict[str, FieldType]] = {"path": FieldType.TEXT}
    path: str


@dataclass
class Fstat(Packet):
    """SSH_FXP_FSTAT."""

    type: ClassVar[int] = 8
    layout: ClassVar[dict[str, FieldType]] = {"handle": FieldType.STRING}
    handle: bytes


@dataclass
class Setstat(Packet):
    """SSH_FXP_SETSTAT."""

    type: ClassVar[int] = 9
    layout: ClassVar[dict[str, FieldType]] = {"path": FieldType.TEXT, "attrs": FieldType.ATTRS}
    path: str
    attrs: Attrs


@dataclass
class Opendir(Packet):
    """SSH_FXP_OPENDIR."""

    type: ClassVar[int] = 11
    layout: ClassVar[dict[str, FieldType]] = {"path": FieldType.TEXT}
    path: str


@dataclass
class Readdir(Packet):
    """SSH_FXP_READDIR."""

    type: ClassVar[int] = 12
    layout: ClassVar[dict[str, FieldType]] = {"handle": FieldType.STRING}
    handle: bytes


@dataclass
class Remove(Packet):
    """SSH_FXP_REMOVE."""

    type: ClassVar[int] = 13
    layout: ClassVar[dict[str, FieldType]] = {"path": FieldType.TEXT}
    path: str


@dataclass
class Mkdir(Packet):
    """SSH_FXP_MKDIR."""

    type: ClassVar[int] = 14
    layout: ClassVar[dict[str, FieldType]] = {"path": FieldType.TEXT, "attrs": FieldType.ATTRS}
    path: str
    attrs: Attrs


@dataclass
class Rmdir(Packet):
    """SSH_FXP_RMDIR."""

    type: ClassVar[int] = 15
    layout: ClassVar[dict[str, FieldType]] = {"path": FieldType.TEXT}
    path: str


@dataclass
class Realpath(Packet):
    """SSH_FXP_REALPATH."""

    type: ClassVar[int] = 16
    layout: ClassVar[dict[str, FieldType]] = {"path": FieldType.TEXT}
    path: str


@dataclass
class Stat(Packet):
    """SSH_FXP_STAT."""

    type: ClassVar[int] = 17
    layout: ClassVar[dict[str, FieldType]] = {"path": FieldType.TEXT}
    path: str


@dataclass
class Rename(Packet):
    """SSH_FXP_RENAME."""

    type: ClassVar[int] = 18
    layout: ClassVar[dict[str, FieldType]] = {"path": FieldType.TEXT, "target": FieldType.TEXT}
    path: str
    target: str


@dataclass
class Status(Packet):
    """SSH_FXP_STATUS, with a ``StatusCode``."""

    type: ClassVar[int] = 101
    layout: ClassVar[dict[str, FieldType]] = {
        "code": FieldType.U32,
        "message": FieldType.TEXT,
        "language": FieldType.TEXT,
    }
    code: int
    message: str = ""
    language: str = "en"


@dataclass
class Handle(Packet):
    """SSH_FXP_HANDLE."""

    type: ClassVar[int] = 102
    layout: ClassVar[dict[str, FieldType]] = {"handle": FieldType.STRING}
    handle: bytes


@dataclass
class Data(Packet):
    """SSH_FXP_DATA."""

    type: ClassVar[int] = 103
    layout: ClassVar[dict[str, FieldType]] = {"data": FieldType.STRING}
    data: bytes


@dataclass
class Names(Packet):
    """SSH_FXP_NAME."""

    type: ClassVar[int] = 104
    layout: ClassVar[dict[str, FieldType]] = {"names": FieldType.NAMES}
    names: list[Name]


@dataclass
class AttrsReply(Packet):
    """SSH_FXP_ATTRS."""

    type: ClassVar[int] = 105
    layout: ClassVar[dict[str, FieldType]] = {"attrs": FieldType.ATTRS}
    attrs: Attrs


@dataclass
class Unsupported(Packet):
    """A packet of an unsupported type; only its id is decoded."""

    type: ClassVar[int] = 0
    layout: ClassVar[dict[str, FieldType]] = {}


PACKET_CLASSES: dict[int, type[Packet]] = {
    packet_class.type: packet_class
    for packet_class in (
        Init,
        Version,
        Open,
        Close,
        Read,
        Write,
        Lstat,
        Fstat,
        Setstat,
        Opendir,
        Readdir,
        Remove,
        Mkdir,
        Rmdir,
        Realpath,
        Stat,
        Rename,
        Status,
        Handle,
        Data,
        Names,
        AttrsReply,
    )
}
