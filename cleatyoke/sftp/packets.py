"""SFTP version 3 packets (draft-ietf-secsh-filexfer-02) as typed values, decoded and encoded once."""

from __future__ import annotations

import asyncio
import struct
from dataclasses import dataclass, field
from enum import IntEnum, IntFlag
from typing import Any, ClassVar

VERSION = 3
MOST_PACKET = 66 * 1024  # bytes after the length; the draft asks for 34,000 at least


Layout = tuple[str, ...]


class StatusCode(IntEnum):
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
    """pflags of SSH_FXP_OPEN."""

    READ = 1
    WRITE = 2
    APPEND = 4
    CREAT = 8
    TRUNC = 16
    EXCL = 32


class PacketError(ValueError):
    """Bytes that are no packet; ``request`` is its id where that could be read."""

    def __init__(self, why: str, request: int | None = None) -> None:
        super().__init__(why)
        self.request_id = request


@dataclass(slots=True)
class Attrs:
    """File attributes; None where they are not stated."""

    size: int | None = None
    owner: tuple[int, int] | None = None
    permissions: int | None = None
    times: tuple[int, int] | None = None
    extended: list[tuple[bytes, bytes]] = field(default_factory=list)


@dataclass(slots=True)
class Name:
    filename: str
    longname: str
    attrs: Attrs


@dataclass
class Packet:
    """``type`` is the SSH_FXP number, ``layout`` the kinds of the fields after the id, in their order."""

    type: ClassVar[int]
    layout: ClassVar[Layout]
    id: int


@dataclass
class Init(Packet):
    """The id is the client's version."""

    type: ClassVar[int] = 1
    layout: ClassVar[Layout] = ("rest",)
    extensions: bytes = b""


@dataclass
class Version(Packet):
    """The id is the server's version."""

    type: ClassVar[int] = 2
    layout: ClassVar[Layout] = ("rest",)
    extensions: bytes = b""


@dataclass
class Open(Packet):
    type: ClassVar[int] = 3
    layout: ClassVar[Layout] = ("text", "u32", "attrs")
    path: str
    flags: int
    attrs: Attrs


@dataclass
class Close(Packet):
    type: ClassVar[int] = 4
    layout: ClassVar[Layout] = ("string",)
    handle: bytes


@dataclass
class Read(Packet):
    type: ClassVar[int] = 5
    layout: ClassVar[Layout] = ("string", "u64", "u32")
    handle: bytes
    offset: int
    length: int


@dataclass
class Write(Packet):
    type: ClassVar[int] = 6
    layout: ClassVar[Layout] = ("string", "u64", "string")
    handle: bytes
    offset: int
    data: bytes


@dataclass
class Lstat(Packet):
    type: ClassVar[int] = 7
    layout: ClassVar[Layout] = ("text",)
    path: str


@dataclass
class Fstat(Packet):
    type: ClassVar[int] = 8
    layout: ClassVar[Layout] = ("string",)
    handle: bytes


@dataclass
class Setstat(Packet):
    type: ClassVar[int] = 9
    layout: ClassVar[Layout] = ("text", "attrs")
    path: str
    attrs: Attrs


@dataclass
class Opendir(Packet):
    type: ClassVar[int] = 11
    layout: ClassVar[Layout] = ("text",)
    path: str


@dataclass
class Readdir(Packet):
    type: ClassVar[int] = 12
    layout: ClassVar[Layout] = ("string",)
    handle: bytes


@dataclass
class Remove(Packet):
    type: ClassVar[int] = 13
    layout: ClassVar[Layout] = ("text",)
    path: str


@dataclass
class Mkdir(Packet):
    type: ClassVar[int] = 14
    layout: ClassVar[Layout] = ("text", "attrs")
    path: str
    attrs: Attrs


@dataclass
class Rmdir(Packet):
    type: ClassVar[int] = 15
    layout: ClassVar[Layout] = ("text",)
    path: str


@dataclass
class Realpath(Packet):
    type: ClassVar[int] = 16
    layout: ClassVar[Layout] = ("text",)
    path: str


@dataclass
class Stat(Packet):
    type: ClassVar[int] = 17
    layout: ClassVar[Layout] = ("text",)
    path: str


@dataclass
class Rename(Packet):
    type: ClassVar[int] = 18
    layout: ClassVar[Layout] = ("text", "text")
    path: str
    target: str


@dataclass
class Status(Packet):
    type: ClassVar[int] = 101
    layout: ClassVar[Layout] = ("u32", "text", "text")
    code: int
    message: str = ""
    language: str = "en"


@dataclass
class Handle(Packet):
    type: ClassVar[int] = 102
    layout: ClassVar[Layout] = ("string",)
    handle: bytes


@dataclass
class Data(Packet):
    type: ClassVar[int] = 103
    layout: ClassVar[Layout] = ("string",)
    data: bytes


@dataclass
class Names(Packet):
    type: ClassVar[int] = 104
    layout: ClassVar[Layout] = ("names",)
    names: list[Name]


@dataclass
class AttrsReply(Packet):
    type: ClassVar[int] = 105
    layout: ClassVar[Layout] = ("attrs",)
    attrs: Attrs


@dataclass
class Unsupported(Packet):
    """A packet of another type; it is known by its id alone."""

    type: ClassVar[int] = 0
    layout: ClassVar[Layout] = ()


KNOWN: dict[int, type[Packet]] = {
    kind.type: kind
    for kind in (
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


class Bytes:
    """A packet's bytes as they are taken, with every bound checked."""

    def __init__(self, raw: bytes) -> None:
        self.raw, self.at = raw, 0

    def take(self, size: int) -> bytes:
        if self.at + size > len(self.raw):
            msg = "the packet ends within a field"
            raise PacketError(msg)
        self.at += size
        return self.raw[self.at - size : self.at]

    def encode_u32(self) -> int:
        return int.from_bytes(self.take(4), "big")

    def u64(self) -> int:
        return int.from_bytes(self.take(8), "big")

    def string(self) -> bytes:
        return self.take(self.u32())

    def text(self) -> str:
        return self.string().decode("utf-8", "surrogateescape")

    def rest(self) -> bytes:
        return self.take(len(self.raw) - self.at)

    def attrs(self) -> Attrs:
        flags, attrs = self.u32(), Attrs()
        if flags & 1:
            attrs.size = self.u64()
        if flags & 2:
            attrs.owner = self.u32(), self.u32()
        if flags & 4:
            attrs.permissions = self.u32()
        if flags & 8:
            attrs.times = self.u32(), self.u32()
        if flags & 0x80000000:
            attrs.extended = [(self.string(), self.string()) for _ in range(self.count(8))]
        return attrs

    def names(self) -> list[Name]:
        return [Name(self.text(), self.text(), self.attrs()) for _ in range(self.count(12))]

    def count(self, least: int) -> int:
        """A count of entries; one that the rest cannot hold is refused before any is made."""
        count = self.u32()
        if count * least > len(self.raw) - self.at:
            msg = "a count beyond the packet's end"
            raise PacketError(msg)
        return count


def decode(raw: bytes) -> Packet:
    """A packet without its length."""
    source = Bytes(raw)
    kind, request = source.take(1)[0], None
    try:
        request = source.u32()
        known = KNOWN.get(kind)
        if known is None:
            return Unsupported(request)
        made = known(request, *[getattr(source, field)() for field in known.layout])
    except PacketError as error:
        raise PacketError(str(error), request) from error
    if source.at != len(raw):
        msg = "bytes after the last field"
        raise PacketError(msg, request)
    return made


def encode_u32(value: int) -> bytes:
    return struct.pack(">I", value)


def put_bytes(value: bytes) -> bytes:
    return encode_u32(len(value)) + value


def put_text(value: str) -> bytes:
    return put_bytes(value.encode("utf-8", "surrogateescape"))


def put_attrs(attrs: Attrs) -> bytes:
    parts, flags = [], 0
    if attrs.size is not None:
        flags |= 1
        parts.append(struct.pack(">Q", attrs.size))
    for bit, pair in ((2, attrs.owner), (8, attrs.times)):
        if bit == 8 and attrs.permissions is not None:
            flags |= 4
            parts.append(encode_u32(attrs.permissions))
        if pair is not None:
            flags |= bit
            parts.append(encode_u32(pair[0]) + encode_u32(pair[1]))
    if attrs.extended:
        flags |= 0x80000000
        parts.append(encode_u32(len(attrs.extended)))
        parts += [put_bytes(name) + put_bytes(value) for name, value in attrs.extended]
    return encode_u32(flags) + b"".join(parts)


def put_names(names: list[Name]) -> bytes:
    parts = [put_text(one.filename) + put_text(one.longname) + put_attrs(one.attrs) for one in names]
    return encode_u32(len(names)) + b"".join(parts)


WRITERS: dict[str, Any] = {
    "u32": encode_u32,
    "u64": lambda value: struct.pack(">Q", value),
    "string": put_bytes,
    "text": put_text,
    "rest": bytes,
    "attrs": put_attrs,
    "names": put_names,
}


def encode(message: Packet) -> bytes:
    """A packet with its length."""
    values = list(vars(message).values())[1:]
    body = b"".join(WRITERS[kind](value) for kind, value in zip(message.layout, values))
    return encode_u32(5 + len(body)) + bytes([message.type]) + encode_u32(message.id) + body


async def read_size(reader: asyncio.StreamReader) -> int:
    """The next packet's length; asyncio.IncompleteReadError where the peer has closed."""
    size = int.from_bytes(await reader.readexactly(4), "big")
    if not 5 <= size <= MOST_PACKET:
        msg = f"a packet of {size} bytes"
        raise PacketError(msg)
    return size


async def read_packet(reader: asyncio.StreamReader) -> bytes:
    return await reader.readexactly(await read_size(reader))
