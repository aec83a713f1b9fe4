"""Collects the head of a client's request as raw bytes, before anything is parsed. No I/O, no clock.

Incomplete heads of many clients are cheap this way: a parser's objects take several times the bytes.
"""

from __future__ import annotations

import re
from enum import Enum, IntEnum, auto

from cleatyoke.limits.memory_budget import UNRESERVED_BYTES

MAX_HEAD_BYTES = 16 * 1024  # received of a head that is not complete
MAX_HEAD_FIELD_BYTES = 4096  # longest line of a head
MAX_HEAD_FIELDS = 64  # header fields of a head: the protocol page has nine
_END = re.compile(rb"\r?\n\r?\n")
_LONGEST_END = 4  # bytes that ``_END`` matches at most
_METHOD_START = re.compile(rb"[A-Za-z]+($|[A-Za-z-]* |[A-Za-z-]+$)")
_CONTENT_LENGTH = re.compile(rb"\ncontent-length[ \t]*:[ \t]*([0-9]{0,18})")
_CLASS = re.compile(rb"\nx-qos[ \t]*:[ \t]*([!-~]{1,256})", re.IGNORECASE)


class HeadState(Enum):
    """How far a head has been received."""

    INCOMPLETE = auto()
    COMPLETE = auto()
    TOO_LONG = auto()
    UNREADABLE = auto()


class BodyKind(IntEnum):
    """What body a request has, by its head; the parser decides whether the head is acceptable."""

    NONE = auto()
    SHORT = auto()  # of a known length that is not part of the memory of long bodies
    LONG = auto()  # also one of unknown length


class RequestHead:
    """The bytes of one head, and what was received with its last byte."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._end = 0  # of the complete head

    def __len__(self) -> int:
        """Return the number of bytes held."""
        return len(self._data)

    def feed(self, data: bytes) -> HeadState:
        """Add received bytes, and return how far the head has been received."""
        if not self._data:
            data = data.lstrip(b"\r\n")  # RFC 9112, section 2.2
        searched = max(0, len(self._data) - _LONGEST_END)
        self._data += data
        end = _END.search(self._data, searched)
        if end:
            self._end = end.end()
            return HeadState.COMPLETE if self._end <= MAX_HEAD_BYTES else HeadState.TOO_LONG
        if len(self._data) > MAX_HEAD_BYTES or self._data.count(b"\n") > MAX_HEAD_FIELDS + 1:
            return HeadState.TOO_LONG
        return HeadState.INCOMPLETE if self._is_plausible() else HeadState.UNREADABLE

    def take(self) -> bytes:
        """Return the bytes, and forget them."""
        data = bytes(self._data)
        self._data = bytearray()
        return data

    def body_kind(self) -> BodyKind:
        """Return what body a complete head announces."""
        head = self._data[: self._end].lower()
        if b"\ntransfer-encoding" in head:
            return BodyKind.LONG
        if b"\ncontent-length" not in head:
            return BodyKind.NONE
        lengths = _CONTENT_LENGTH.findall(head)
        if not lengths or b"" in lengths:
            return BodyKind.LONG
        longest = max(map(int, lengths))
        if longest > UNRESERVED_BYTES:
            return BodyKind.LONG
        return BodyKind.SHORT if longest else BodyKind.NONE

    def class_name(self) -> str:
        """Return the request's class as the complete head states it, empty if it does not."""
        match = _CLASS.search(self._data, 0, self._end)
        return match[1].decode("ascii") if match else ""

    def _is_plausible(self) -> bool:
        """Whether the lines so far may become a readable head, so that a client is not kept waiting."""
        first, *fields = self._data.split(b"\n")
        if first and not _METHOD_START.match(first):
            return False
        if b"\x00" in self._data or max(map(len, (first, *fields))) > MAX_HEAD_FIELD_BYTES:
            return False
        complete = fields[:-1]
        return all(b":" in line for line in complete) and (not fields or b" HTTP/" in first)
