"""The rows of durable state, and which of them are trusted at a start. No I/O and no clock.

A row is trusted by itself or not at all: its checksum covers kind, schema version, front and data. Two files
hold the same rows; what they say is merged by the rule of each kind, so that neither an old copy of one file
nor a row that one file lost takes anything away. Of its own disk a front trusts:

- ``holds``: at any age and whatever the clock did, merged as a ``HoldSet``. That a hold is absent is never
  trusted.
- ``boot``: at any age, the greater boot number. It only ever raises the number.
- ``peers``: as a hint whom to ask. That a peer is alive, or is not, is never trusted.

Not stored, and why: quota leases (void until they must have expired by the clock of the new process, so
nothing is gained by knowing them); endpoints and when they started (discovery alone says so, and a cached
list is the platform's own file); how much of a rate limit was used (a new process begins with a part of
the burst).
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Annotated, Any, NamedTuple

import msgspec

from cleatyoke.coordination.replicated_holds import HoldSet, decode
from cleatyoke.transport.encoding import Count, Text

SCHEMA_VERSION = 1  # of the rows that are written; rows up to this version are read
MAX_PEERS = 64
MAX_ROW_BYTES = 1 << 20
MAX_SHOWN_KIND = 32  # characters of a malformed row's kind that operators see
MAX_SHOWN_FRONT = 80  # characters of another front's name that operators see

_FOREIGN = "of another front"  # how the reason begins, as operators see it

Peers = Annotated[tuple[Text, ...], msgspec.Meta(max_length=MAX_PEERS)]


class Row(NamedTuple):
    """A stored row; the columns of the table are kind, form, front, data and sum, in this order."""

    kind: str
    schema_version: int  # column "form"
    front: str  # whose it is: "DEPLOYMENT/NAME"
    data: bytes  # MessagePack
    checksum: int  # column "sum"


@dataclass(slots=True, frozen=True)
class FrontState:
    """All that is stored.

    ``boot_number``: the highest that a process of this front has used; 0: none is known.
    ``peers``: addresses of fronts that were alive.
    """

    holds: HoldSet = field(default_factory=HoldSet)
    boot_number: int = 0
    peers: tuple[str, ...] = ()

    def merge(self, other: FrontState) -> FrontState:
        """Merge two copies; neither takes anything from the other."""
        peers = tuple(dict.fromkeys((*self.peers, *other.peers)))[:MAX_PEERS]
        boot_number = max(self.boot_number, other.boot_number)
        return FrontState(self.holds.merge(other.holds), boot_number, peers)


@dataclass(slots=True, frozen=True)
class StorageProblem:
    """A file or row that could not be trusted, read or written.

    ``source``: the file, or "FILE: KIND" of a row. ``reason``: a few words for operators.
    ``is_foreign``: the row belongs to another front, so all of its file does.
    """

    source: str
    reason: str
    is_foreign: bool = field(default=False, compare=False)


class LoadedState(NamedTuple):
    """What was trusted, and what was not."""

    state: FrontState
    problems: list[StorageProblem]


def row_checksum(kind: str, schema_version: int, front: str, data: bytes) -> int:
    """CRC-32 of a row's fields."""
    return zlib.crc32(data, zlib.crc32(f"{kind}\n{schema_version}\n{front}\n".encode()))


def make_row(kind: str, front: str, data: bytes, schema_version: int = SCHEMA_VERSION) -> Row:
    """A row with its checksum."""
    return Row(kind, schema_version, front, data, row_checksum(kind, schema_version, front, data))


def encode_state(state: FrontState, front: str) -> list[Row]:
    """The rows of a state. ``front``: "DEPLOYMENT/NAME"."""
    encode = msgspec.msgpack.encode
    return [
        make_row("holds", front, encode(state.holds)),
        make_row("boot", front, encode(state.boot_number)),
        make_row("peers", front, encode(state.peers)),
    ]


def _decode_holds(data: bytes) -> FrontState:
    return FrontState(holds=decode("holds", data))


def _decode_boot_number(data: bytes) -> FrontState:
    return FrontState(boot_number=msgspec.msgpack.decode(data, type=Count))


def _decode_peers(data: bytes) -> FrontState:
    return FrontState(peers=msgspec.msgpack.decode(data, type=Peers))


_DECODERS: dict[str, Callable[[bytes], FrontState]] = {
    "holds": _decode_holds,
    "boot": _decode_boot_number,
    "peers": _decode_peers,
}


def decode_state(rows: Iterable[tuple[Any, ...]], front: str, file_name: str) -> LoadedState:
    """Decode the rows of one file, each trusted by itself.

    Rows are taken as the file gave them: they may have any number of values, of any type.
    """
    state = FrontState()
    problems: list[StorageProblem] = []
    for values in rows:
        is_foreign = False
        try:
            row = Row(*values)
            reason = _distrust_reason(row, front)
            is_foreign = reason is not None and reason.startswith(_FOREIGN)
            if reason is None:
                state = state.merge(_DECODERS[row.kind](row.data))
        except (TypeError, ValueError, msgspec.MsgspecError, RecursionError) as error:
            reason = f"unreadable, {type(error).__name__}"
        if reason:
            kind = str(values[0])[:MAX_SHOWN_KIND] if values else "?"
            problems.append(StorageProblem(f"{file_name}: {kind}", reason, is_foreign))
    return LoadedState(state, problems)


def _distrust_reason(row: Row, front: str) -> str | None:
    """Why a row is not trusted; None where it may be decoded."""
    if not isinstance(row.data, bytes) or len(row.data) > MAX_ROW_BYTES:
        return "no data"
    if row_checksum(row.kind, row.schema_version, row.front, row.data) != row.checksum:
        return "sum"
    if row.schema_version > SCHEMA_VERSION:
        return f"form {row.schema_version}, newer than {SCHEMA_VERSION}"
    if row.front != front:
        return f"{_FOREIGN}, {row.front[:MAX_SHOWN_FRONT]}"
    if row.kind not in _DECODERS:
        return "unknown kind"
    return None


def next_boot_number(stored: int, unix_time: float) -> int:
    """The boot number of a new process: greater than the stored one, whatever the clock did.

    By Unix time in milliseconds where that is greater, so that a front that lost its durable state seldom
    begins with a number that its peers take for an earlier process of this front.
    """
    return max(stored + 1, int(unix_time * 1000))
