"""What a front's disk remembers, as rows, and what is believed of them. No input, output or clock.

A row is believed by itself or not at all: its sum covers its kind, form, front and data. Two files hold the
same rows; what they say is merged by the rule of each kind, so that neither an old copy of one nor a row that
one lost takes anything away (invariants 4 to 6 of the frame). Of the own disk is believed:

- ``holds``: at any age, whatever the clock did, by the rule of ``fleet.replicas.Holds``; never that one is
  absent.
- ``boot``: at any age, the greater; it only ever raises the number.
- ``peers``: as a hint whom to ask; never that one is there, or is not.

What is left out, and why: rights that were lent (void until a lease is over by the clock of the new life, so
nothing is gained by knowing them), what a box's warmth was and which boxes there are (discovery's word alone;
an old list stands in the platform's own file), what was used of a limit (a new life begins with nothing but a
part of the slack).
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Annotated, Any, NamedTuple

import msgspec

from cleatyoke.coordination.replicated_holds import HoldSet, decode
from cleatyoke.membership.wire import Count, Text

SCHEMA_VERSION = 1  # of the rows written; up to this, all are read
MAX_PEERS = 64
MAX_ROW_BYTES = 1 << 20  # bytes

Peers = Annotated[tuple[Text, ...], msgspec.Meta(max_length=MAX_PEERS)]


class Row(NamedTuple):
    kind: str
    schema_version: int
    front: str  # whose it is: deployment and name
    data: bytes
    checksum: int


@dataclass(slots=True, frozen=True)
class FrontState:
    """All that is kept. ``boot``: the highest boot number that a life of this front has used."""

    holds: HoldSet = field(default_factory=HoldSet)
    incarnation: int = 0
    peers: tuple[str, ...] = ()

    def merge(self, other: FrontState) -> FrontState:
        """Of two copies; neither takes anything from the other."""
        peers = tuple(dict.fromkeys((*self.peers, *other.peers)))[:MAX_PEERS]
        return FrontState(self.holds.merge(other.holds), max(self.incarnation, other.incarnation), peers)


@dataclass(slots=True, frozen=True)
class StorageProblem:
    """A row or a file that is not believed, told by name."""

    source: str
    reason: str


def row_checksum(kind: str, form: int, front: str, data: bytes) -> int:
    return zlib.crc32(data, zlib.crc32(f"{kind}\n{form}\n{front}\n".encode()))


def make_row(kind: str, front: str, data: bytes, form: int = SCHEMA_VERSION) -> Row:
    return Row(kind, form, front, data, row_checksum(kind, form, front, data))


def encode_state(memory: FrontState, front: str) -> list[Row]:
    encode = msgspec.msgpack.encode
    return [
        make_row("holds", front, encode(memory.holds)),
        make_row("boot", front, encode(memory.incarnation)),
        make_row("peers", front, encode(memory.peers)),
    ]


def _decode_holds(data: bytes) -> FrontState:
    return FrontState(holds=decode("holds", data))


def _decode_incarnation(data: bytes) -> FrontState:
    return FrontState(incarnation=msgspec.msgpack.decode(data, type=Count))


def _decode_peers(data: bytes) -> FrontState:
    return FrontState(peers=msgspec.msgpack.decode(data, type=Peers))


_DECODERS: dict[str, Callable[[bytes], FrontState]] = {
    "holds": _decode_holds,
    "boot": _decode_incarnation,
    "peers": _decode_peers,
}


def decode_state(
    rows: Iterable[tuple[Any, ...]], front: str, where: str
) -> tuple[FrontState, list[StorageProblem]]:
    """What these rows of one file say, and what of them is not believed. Rows come as a file gave them:
    anything may stand in them.
    """
    memory, doubts = FrontState(), []
    for values in rows:
        kind, why = str(values[0])[:32] if values else "?", ""
        try:
            row = Row(*values)
            if not isinstance(row.data, bytes) or len(row.data) > MAX_ROW_BYTES:
                why = "no data"
            elif row_checksum(row.kind, row.schema_version, row.front, row.data) != row.checksum:
                why = "sum"
            elif row.schema_version > SCHEMA_VERSION:
                why = f"form {row.schema_version}, newer than {SCHEMA_VERSION}"
            elif row.front != front:
                why = f"of another front, {row.front[:80]}"
            elif row.kind not in _DECODERS:
                why = "unknown kind"
            else:
                memory = memory.merge(_DECODERS[row.kind](row.data))
        except (TypeError, ValueError, msgspec.MsgspecError, RecursionError) as error:
            why = f"unreadable, {type(error).__name__}"
        if why:
            doubts.append(StorageProblem(f"{where}: {kind}", why))
    return memory, doubts


def next_incarnation(remembered: int, unix: float) -> int:
    """The boot number of a new life: beyond the last one, whatever the clock did; by the wall clock, in
    milliseconds, where that is further, so that a front without its memory seldom falls behind its peers'.
    """
    return max(remembered + 1, int(unix * 1000))
