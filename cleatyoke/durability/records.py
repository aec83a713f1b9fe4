"""The rows of durable state, and the rules by which they are trusted at startup. No I/O and no clock.

Each row is validated on its own: its checksum covers kind, schema version, front and data. Two files hold the
same rows, and their contents are merged by a rule for each kind, so that neither an outdated copy of one file
nor a row missing from one file loses information. A front trusts its own disk as follows:

- ``holds``: regardless of age and clock changes, merged as a ``HoldSet``. The absence of a hold is never
  trusted.
- ``boot``: regardless of age, the greatest boot number. It can only raise the number.
- ``peers``: as hints about which fronts to contact. Whether a peer is alive is never taken from disk.

Not stored:

- quota leases: a new process waits until all leases of the previous one must have expired by its own clock,
  so it has no use for them;
- endpoints and their start times: discovery is the only authority, and the cached list is the platform's own
  file;
- consumed rate-limit quota: a new process begins with part of the burst.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Annotated, Any, NamedTuple

import msgspec

from cleatyoke.coordination.replicated_holds import HoldSet, decode
from cleatyoke.transport.encoding import Count, Text

SCHEMA_VERSION = 1  # version written to new rows; rows up to this version can be read
MAX_PEERS = 64
MAX_ROW_BYTES = 1 << 20
MAX_REPORTED_KIND_CHARS = 32  # longer kinds of malformed rows are truncated in reports
MAX_REPORTED_FRONT_CHARS = 80  # longer names of other fronts are truncated in reports

_FOREIGN_REASON_PREFIX = "of another front"  # shown to operators

Peers = Annotated[tuple[Text, ...], msgspec.Meta(max_length=MAX_PEERS)]


class Row(NamedTuple):
    """A stored row. The table's columns are kind, form, front, data and sum, in this order."""

    kind: str
    schema_version: int  # column "form"
    front: str  # owner: "DEPLOYMENT/NAME"
    data: bytes  # MessagePack
    checksum: int  # column "sum"


@dataclass(slots=True, frozen=True)
class FrontState:
    """The complete stored state.

    ``boot_number``: the highest that a process of this front has used, or 0 if unknown.
    ``peers``: addresses of fronts that were alive.
    """

    holds: HoldSet = field(default_factory=HoldSet)
    boot_number: int = 0
    peers: tuple[str, ...] = ()

    def merge(self, other: FrontState) -> FrontState:
        """Merge two copies without losing the information of either."""
        peers = tuple(dict.fromkeys((*self.peers, *other.peers)))[:MAX_PEERS]
        boot_number = max(self.boot_number, other.boot_number)
        return FrontState(self.holds.merge(other.holds), boot_number, peers)


@dataclass(slots=True, frozen=True)
class StorageProblem:
    """A file or row that was rejected or could not be read or written.

    ``source``: the file, or "FILE: KIND" for a row. ``reason``: a short text for operators.
    ``is_foreign``: the row belongs to another front, and therefore the whole file does.
    """

    source: str
    reason: str
    is_foreign: bool = field(default=False, compare=False)


class LoadedState(NamedTuple):
    """The state that was accepted, and the problems found while reading it."""

    state: FrontState
    problems: list[StorageProblem]


def row_checksum(kind: str, schema_version: int, front: str, data: bytes) -> int:
    """Return the CRC-32 over a row's fields."""
    return zlib.crc32(data, zlib.crc32(f"{kind}\n{schema_version}\n{front}\n".encode()))


def make_row(kind: str, front: str, data: bytes, schema_version: int = SCHEMA_VERSION) -> Row:
    """Build a row with its checksum."""
    return Row(kind, schema_version, front, data, row_checksum(kind, schema_version, front, data))


def encode_state(state: FrontState, front: str) -> list[Row]:
    """Encode a state as rows. ``front``: "DEPLOYMENT/NAME"."""
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
    """Decode the rows of one file, validating each row on its own.

    Rows come unchecked from the file: they may have any number of values, of any type.
    """
    state = FrontState()
    problems: list[StorageProblem] = []
    for values in rows:
        is_foreign = False
        try:
            row = Row(*values)
            reason = _rejection_reason(row, front)
            is_foreign = reason is not None and reason.startswith(_FOREIGN_REASON_PREFIX)
            if reason is None:
                state = state.merge(_DECODERS[row.kind](row.data))
        except (TypeError, ValueError, msgspec.MsgspecError, RecursionError) as error:
            reason = f"unreadable, {type(error).__name__}"
        if reason:
            kind = str(values[0])[:MAX_REPORTED_KIND_CHARS] if values else "?"
            problems.append(StorageProblem(f"{file_name}: {kind}", reason, is_foreign))
    return LoadedState(state, problems)


def _rejection_reason(row: Row, front: str) -> str | None:
    """Return why a row is rejected, or None if it may be decoded."""
    if not isinstance(row.data, bytes) or len(row.data) > MAX_ROW_BYTES:
        return "no data"
    if row_checksum(row.kind, row.schema_version, row.front, row.data) != row.checksum:
        return "sum"
    if row.schema_version > SCHEMA_VERSION:
        return f"form {row.schema_version}, newer than {SCHEMA_VERSION}"
    if row.front != front:
        return f"{_FOREIGN_REASON_PREFIX}, {row.front[:MAX_REPORTED_FRONT_CHARS]}"
    if row.kind not in _DECODERS:
        return "unknown kind"
    return None


def next_boot_number(stored: int, unix_time: float) -> int:
    """Return a new process's boot number, which exceeds the stored one even if the clock went back.

    Uses Unix time in milliseconds where that is greater, so that a front that lost its durable state is
    unlikely to reuse a number by which its peers know an earlier process of this front.
    """
    return max(stored + 1, int(unix_time * 1000))
