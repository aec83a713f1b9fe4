"""Encoding of SFTP version 3 packets (draft-ietf-secsh-filexfer-02, sections 3 to 7)."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from enum import IntFlag
from typing import Any

from cleatyoke.sftp.packets import (
    PACKET_CLASSES,
    Attrs,
    FieldType,
    Name,
    Packet,
    PacketError,
    Unsupported,
)

MIN_PACKET_BYTES = 5  # the type and the id; the length field does not count
MAX_PACKET_BYTES = 66 * 1024  # without the length field; the draft requires at least 34,000
STREAM_BUFFER_BYTES = 32 * 1024  # read at once, and buffered of a stream beyond the packet that is read
MIN_EXTENSION_BYTES = 8  # an extended attribute: the length fields of its two strings
MIN_NAME_BYTES = 12  # an entry of SSH_FXP_NAME: the length fields of its two strings, and its attribute flags


class AttrFlags(IntFlag):
    """Which attributes are present (draft, section 5)."""

    SIZE = 0x00000001
    UIDGID = 0x00000002
    PERMISSIONS = 0x00000004
    ACMODTIME = 0x00000008
    EXTENDED = 0x80000000


class PacketReader:
    """Reads a packet's fields in order, and checks every length.

    Prevents reads beyond the packet's end, and allocations for an entry count that the packet can't hold.
    All methods raise ``PacketError``.
    """

    def __init__(self, raw: bytes) -> None:
        self._raw = raw
        self._position = 0

    @property
    def is_at_end(self) -> bool:
        """Whether all bytes have been read."""
        return self._position == len(self._raw)

    def read_bytes(self, size: int) -> bytes:
        """Return the next ``size`` bytes."""
        end = self._position + size
        if end > len(self._raw):
            msg = "the packet ends within a field"
            raise PacketError(msg)
        start = self._position
        self._position = end
        return self._raw[start:end]

    def read_u32(self) -> int:
        """Read an unsigned 32-bit integer."""
        return int.from_bytes(self.read_bytes(4), "big")

    def read_u64(self) -> int:
        """Read an unsigned 64-bit integer."""
        return int.from_bytes(self.read_bytes(8), "big")

    def read_string(self) -> bytes:
        """Read a string: its length, then its bytes."""
        return self.read_bytes(self.read_u32())

    def read_text(self) -> str:
        """Read a string as UTF-8; invalid bytes become surrogates, so that encoding restores them."""
        return self.read_string().decode("utf-8", "surrogateescape")

    def read_rest(self) -> bytes:
        """Return all bytes up to the packet's end."""
        return self.read_bytes(len(self._raw) - self._position)

    def read_attrs(self) -> Attrs:
        """Read file attributes."""
        flags = self.read_u32()
        attrs = Attrs()
        if flags & AttrFlags.SIZE:
            attrs.size = self.read_u64()
        if flags & AttrFlags.UIDGID:
            attrs.owner = self.read_u32(), self.read_u32()
        if flags & AttrFlags.PERMISSIONS:
            attrs.permissions = self.read_u32()
        if flags & AttrFlags.ACMODTIME:
            attrs.times = self.read_u32(), self.read_u32()
        if flags & AttrFlags.EXTENDED:
            count = self._read_count(MIN_EXTENSION_BYTES)
            attrs.extended = [(self.read_string(), self.read_string()) for _ in range(count)]
        return attrs

    def read_names(self) -> list[Name]:
        """Read the entries of a listing."""
        count = self._read_count(MIN_NAME_BYTES)
        return [Name(self.read_text(), self.read_text(), self.read_attrs()) for _ in range(count)]

    def _read_count(self, min_entry_bytes: int) -> int:
        """Read a count of entries; raise, before any is allocated, if the remaining bytes can't hold them."""
        count = self.read_u32()
        if count * min_entry_bytes > len(self._raw) - self._position:
            msg = "a count beyond the packet's end"
            raise PacketError(msg)
        return count


def encode_u32(value: int) -> bytes:
    """Encode an unsigned 32-bit integer."""
    return struct.pack(">I", value)


def _encode_u64(value: int) -> bytes:
    return struct.pack(">Q", value)


def _encode_string(value: bytes) -> bytes:
    return encode_u32(len(value)) + value


def _encode_text(value: str) -> bytes:
    return _encode_string(value.encode("utf-8", "surrogateescape"))


def _encode_attrs(attrs: Attrs) -> bytes:
    parts = []
    flags = 0
    if attrs.size is not None:
        flags |= AttrFlags.SIZE
        parts.append(_encode_u64(attrs.size))
    if attrs.owner is not None:
        flags |= AttrFlags.UIDGID
        parts += map(encode_u32, attrs.owner)
    if attrs.permissions is not None:
        flags |= AttrFlags.PERMISSIONS
        parts.append(encode_u32(attrs.permissions))
    if attrs.times is not None:
        flags |= AttrFlags.ACMODTIME
        parts += map(encode_u32, attrs.times)
    if attrs.extended:
        flags |= AttrFlags.EXTENDED
        parts.append(encode_u32(len(attrs.extended)))
        parts += [_encode_string(name) + _encode_string(value) for name, value in attrs.extended]
    return encode_u32(flags) + b"".join(parts)


def _encode_names(names: list[Name]) -> bytes:
    parts = [
        _encode_text(name.filename) + _encode_text(name.longname) + _encode_attrs(name.attrs)
        for name in names
    ]
    return encode_u32(len(names)) + b"".join(parts)


FIELD_DECODERS: dict[FieldType, Callable[[PacketReader], Any]] = {
    FieldType.U32: PacketReader.read_u32,
    FieldType.U64: PacketReader.read_u64,
    FieldType.STRING: PacketReader.read_string,
    FieldType.TEXT: PacketReader.read_text,
    FieldType.REST: PacketReader.read_rest,
    FieldType.ATTRS: PacketReader.read_attrs,
    FieldType.NAMES: PacketReader.read_names,
}
FIELD_ENCODERS: dict[FieldType, Callable[[Any], bytes]] = {
    FieldType.U32: encode_u32,
    FieldType.U64: _encode_u64,
    FieldType.STRING: _encode_string,
    FieldType.TEXT: _encode_text,
    FieldType.REST: bytes,
    FieldType.ATTRS: _encode_attrs,
    FieldType.NAMES: _encode_names,
}


def decode(raw: bytes) -> Packet:
    """Decode a packet without its length field; raises ``PacketError``."""
    reader = PacketReader(raw)
    packet_type = reader.read_bytes(1)[0]
    request_id = None
    try:
        request_id = reader.read_u32()
        packet_class = PACKET_CLASSES.get(packet_type)
        if packet_class is None:
            return Unsupported(request_id)
        values = [FIELD_DECODERS[field_type](reader) for field_type in packet_class.layout.values()]
        packet = packet_class(request_id, *values)
    except PacketError as error:
        raise PacketError(str(error), request_id) from error
    if not reader.is_at_end:
        msg = "bytes after the last field"
        raise PacketError(msg, request_id)
    return packet


def encode(packet: Packet) -> bytes:
    """Encode a packet, preceded by its length field."""
    body = b"".join(
        FIELD_ENCODERS[field_type](getattr(packet, name)) for name, field_type in packet.layout.items()
    )
    return encode_u32(MIN_PACKET_BYTES + len(body)) + bytes([packet.type]) + encode_u32(packet.id) + body


async def read_size(reader: asyncio.StreamReader) -> int:
    """Read the next packet's length, in bytes.

    Raises ``PacketError`` for an invalid length, and ``asyncio.IncompleteReadError`` if the peer has closed
    the connection.
    """
    size = int.from_bytes(await reader.readexactly(4), "big")
    if not MIN_PACKET_BYTES <= size <= MAX_PACKET_BYTES:
        msg = f"invalid packet length of {size} bytes"
        raise PacketError(msg)
    return size


async def read_packet(reader: asyncio.StreamReader) -> bytes:
    """Read the next packet's bytes, without its length field; raises the same errors as ``read_size``."""
    return await reader.readexactly(await read_size(reader))
