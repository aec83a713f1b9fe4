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
from cleatyoke.transport.encoding import Count, Text

FORM = 1  # of the rows written; up to this, all are read
MOST_PEERS = 64
MOST_ROW = 1 << 20  # bytes

Peers = Annotated[tuple[Text, ...], msgspec.Meta(max_length=MOST_PEERS)]


class Row(NamedTuple):
    kind: str
    form: int
    front: str  # whose it is: deployment and name
    data: bytes
    sum: int


@dataclass(slots=True, frozen=True)
class FrontState:
    """All that is kept. ``boot``: the highest boot number that a life of this front has used."""

    holds: HoldSet = field(default_factory=HoldSet)
    boot: int = 0
    peers: tuple[str, ...] = ()

    def merge(self, other: FrontState) -> FrontState:
        """Of two copies; neither takes anything from the other."""
        peers = tuple(dict.fromkeys((*self.peers, *other.peers)))[:MOST_PEERS]
        return FrontState(self.holds.merge(other.holds), max(self.boot, other.boot), peers)


@dataclass(slots=True, frozen=True)
class RestoreDoubt:
    """A row or a file that is not believed, told by name."""

    where: str
    why: str


def sum_of(kind: str, form: int, front: str, data: bytes) -> int:
    return zlib.crc32(data, zlib.crc32(f"{kind}\n{form}\n{front}\n".encode()))


def sealed(kind: str, front: str, data: bytes, form: int = FORM) -> Row:
    return Row(kind, form, front, data, sum_of(kind, form, front, data))


def rows_of(memory: FrontState, front: str) -> list[Row]:
    encode = msgspec.msgpack.encode
    return [
        sealed("holds", front, encode(memory.holds)),
        sealed("boot", front, encode(memory.boot)),
        sealed("peers", front, encode(memory.peers)),
    ]


def read_holds(data: bytes) -> FrontState:
    return FrontState(holds=decode("holds", data))


def read_boot(data: bytes) -> FrontState:
    return FrontState(boot=msgspec.msgpack.decode(data, type=Count))


def read_peers(data: bytes) -> FrontState:
    return FrontState(peers=msgspec.msgpack.decode(data, type=Peers))


READERS: dict[str, Callable[[bytes], FrontState]] = {
    "holds": read_holds,
    "boot": read_boot,
    "peers": read_peers,
}


def read(rows: Iterable[tuple[Any, ...]], front: str, where: str) -> tuple[FrontState, list[RestoreDoubt]]:
    """What these rows of one file say, and what of them is not believed. Rows come as a file gave them:
    anything may stand in them.
    """
    memory, doubts = FrontState(), []
    for values in rows:
        kind, why = str(values[0])[:32] if values else "?", ""
        try:
            row = Row(*values)
            if not isinstance(row.data, bytes) or len(row.data) > MOST_ROW:
                why = "no data"
            elif sum_of(row.kind, row.form, row.front, row.data) != row.sum:
                why = "sum"
            elif row.form > FORM:
                why = f"form {row.form}, newer than {FORM}"
            elif row.front != front:
                why = f"of another front, {row.front[:80]}"
            elif row.kind not in READERS:
                why = "unknown kind"
            else:
                memory = memory.merge(READERS[row.kind](row.data))
        except (TypeError, ValueError, msgspec.MsgspecError, RecursionError) as error:
            why = f"unreadable, {type(error).__name__}"
        if why:
            doubts.append(RestoreDoubt(f"{where}: {kind}", why))
    return memory, doubts


def next_boot(remembered: int, unix: float) -> int:
    """The boot number of a new life: beyond the last one, whatever the clock did; by the wall clock, in
    milliseconds, where that is further, so that a front without its memory seldom falls behind its peers'.
    """
    return max(remembered + 1, int(unix * 1000))
