"""Messages among fronts: MessagePack by msgspec, checked whole on arrival, refused with a reason
otherwise.

Every message carries the deployment's name and the version of this form, so that neither a foreign fleet
nor an older program is taken for a peer. A datagram holds ``MOST_DATAGRAM`` bytes at most, which is below
the MTU of common links, so that it is not cut in fragments of which one may be lost.
"""

from __future__ import annotations

import enum
import zlib
from typing import Annotated

import msgspec

VERSION = 2
MAX_DATAGRAM_BYTES = 1200  # bytes
MAX_STREAM_BYTES = 1 << 20  # bytes of a whole view: some ten thousand lives
HOME_PARTS = 1000  # parts of what all share in which each front is at home
CHECKSUM_BYTES = 4  # bytes of the checksum at the end
MAX_REPLICA_BYTES = 1 << 18  # bytes of what goes along with a view
MAX_MEMBERS = 10_000  # entries of a whole view

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]


class MemberState(enum.IntEnum):
    """In the order of what overrides what at one count."""

    ALIVE = 0
    SUSPECT = 1  # it did not answer somebody; it may say so yet
    DEAD = 2  # believed to be: silence proves nothing
    LEFT = 3  # by its own word: certain


class MemberId(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A life of a front: its name and its boot number, which only rises from one life to the next."""

    name: Text
    boot: Count


class Update(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What somebody says of a life. ``count`` is the life's own: only it counts on, to refute a rumour."""

    id: MemberId
    address: Text
    state: MemberState
    incarnation: Count
    owns_address: bool = False  # it holds the address of its name, which no earlier life can then
    suspected_by: Annotated[str, msgspec.Meta(max_length=64)] = ""  # who accuses it, where it is suspected
    settings_checksum: Count = (
        0  # a sum of those that it goes by, as it says itself; 0: not said, or by somebody else
    )


class Ping(msgspec.Struct, array_like=True, frozen=True, tag="ping", forbid_unknown_fields=True):
    """Are you there? ``target`` guards against an address that another life has taken over; ``there`` is a
    sum of whom the sender believes there.
    """

    sequence: Count
    target: MemberId
    membership_checksum: Count


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="ack", forbid_unknown_fields=True):
    sequence: Count


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask", forbid_unknown_fields=True):
    """Ping ``target`` for me (SWIM's ping-req)."""

    sequence: Count
    target: MemberId
    address: Text


class Nack(msgspec.Struct, array_like=True, frozen=True, tag="nack", forbid_unknown_fields=True):
    """I have asked it for you, and have no answer yet (Lifeguard): so at least we two hear each other."""

    sequence: Count


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag="gossip", forbid_unknown_fields=True):
    """Nothing but the rumours that come with it."""


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag="want", forbid_unknown_fields=True):
    """Lend me so many parts, in place of all that you lent me of this by a lower number. 0: I hold nothing of
    yours from here on.
    """

    resource: Text
    number: Count
    parts: Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag="grant", forbid_unknown_fields=True):
    """The answer to a ``Want`` of this number, fewer or none, maybe. ``spare``: what I could lend yet."""

    resource: Text
    number: Count
    parts: Annotated[int, msgspec.Meta(ge=0, le=HOME_PARTS)]
    surplus: Annotated[int, msgspec.Meta(ge=0, le=HOME_PARTS)]


Body = Ping | Ack | PingRequest | Nack | Gossip | LeaseRequest | LeaseGrant


class Datagram(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    deployment: Text
    version: Count
    sender: Update
    body: Body
    updates: Annotated[list[Update], msgspec.Meta(max_length=64)]


class FullState(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """All that a life knows, for an exchange by stream."""

    deployment: Text
    version: Count
    sender: Update
    members: Annotated[list[Update], msgspec.Meta(max_length=MAX_MEMBERS)]
    replicas: Annotated[bytes, msgspec.Meta(max_length=MAX_REPLICA_BYTES)] = b""


class WireError(ValueError):
    """A message that is not taken; the text is the reason, one of a few words."""


_datagram_decoder = msgspec.msgpack.Decoder(Datagram)
_full_state_decoder = msgspec.msgpack.Decoder(FullState)
encoder = msgspec.msgpack.Encoder()


def encode_datagram(deployment: str, sender: Update, body: Body, rumours: list[Update]) -> tuple[bytes, int]:
    """The datagram, and how many of the rumours, from the first on, had room in it."""
    head = (
        len(encoder.encode(Datagram(deployment, VERSION, sender, body, []))) + 3 + CHECKSUM_BYTES
    )  # and its length's
    used, size = 0, head
    for rumour in rumours[:64]:
        size += len(encoder.encode(rumour))
        if size > MAX_DATAGRAM_BYTES:
            break
        used += 1
    return append_checksum(encoder.encode(Datagram(deployment, VERSION, sender, body, rumours[:used]))), used


def append_checksum(data: bytes) -> bytes:
    return data + zlib.crc32(data).to_bytes(CHECKSUM_BYTES, "big")


def verify_checksum(data: bytes, most: int) -> bytes:
    """A bit that flipped on the way could say of a life that it left, which is final."""
    if len(data) > most:
        msg = "too long"
        raise WireError(msg)
    if len(data) <= CHECKSUM_BYTES or zlib.crc32(data[:-CHECKSUM_BYTES]) != int.from_bytes(
        data[-CHECKSUM_BYTES:], "big"
    ):
        msg = "corrupt"
        raise WireError(msg)
    return data[:-CHECKSUM_BYTES]


def decode_datagram(deployment: str, data: bytes) -> Datagram:
    try:
        message = _datagram_decoder.decode(verify_checksum(data, MAX_DATAGRAM_BYTES))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        msg = "unreadable"
        raise WireError(msg) from error
    _check_peer(deployment, message.deployment, message.version)
    return message


def encode_full_state(deployment: str, sender: Update, lives: list[Update], copies: bytes = b"") -> bytes:
    return append_checksum(
        encoder.encode(FullState(deployment, VERSION, sender, lives[:MAX_MEMBERS], copies))
    )


def decode_full_state(deployment: str, data: bytes) -> FullState:
    try:
        message = _full_state_decoder.decode(verify_checksum(data, MAX_STREAM_BYTES))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        msg = "unreadable"
        raise WireError(msg) from error
    _check_peer(deployment, message.deployment, message.version)
    return message


def _check_peer(ours: str, theirs: str, version: int) -> None:
    if theirs != ours:
        msg = "foreign"
        raise WireError(msg)
    if version != VERSION:
        msg = "version"
        raise WireError(msg)
