"""Messages among fronts: MessagePack by msgspec, validated as a whole on arrival and otherwise rejected.

Every message carries the deployment's name and the version of this format, so that neither a foreign fleet
nor an older program is taken for a peer. Structures are encoded as arrays: field names never reach the wire,
their order and the tags do. The format is described in the page ``fleet-view.md``.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from cleatyoke.transport.encoding import (
    CHECKSUM_BYTES,
    Count,
    Text,
    WireError,
    append_checksum,
    verify_checksum,
)

VERSION = 2
MAX_DATAGRAM_BYTES = (
    1200  # below the MTU of common links: a datagram is not cut in fragments that may be lost
)
MAX_STREAM_BYTES = 1 << 20  # of a full state: some ten thousand members
MAX_REPLICA_BYTES = 1 << 18  # of the replicated data that goes along with a full state
MAX_MEMBERS = 10_000  # entries of a full state
MAX_UPDATES = 64  # in one datagram
LIST_HEADER_BYTES = 3  # at most, that a list's length takes beyond an empty list's
HOME_PARTS = 1000  # parts into which each front's own share of a shared resource is divided


class MemberState(enum.IntEnum):
    """State of a member, in the order in which one overrides another at the same incarnation."""

    ALIVE = 0
    SUSPECT = 1  # it did not answer somebody, and may still refute that
    DEAD = 2  # its suspicion timed out; the process may still run behind a partition
    LEFT = 3  # by its own message: certain


class MemberId(msgspec.Struct, array_like=True, frozen=True, order=True):
    """One lifetime of a front's process: the front's name and a boot number, which rises with each start."""

    name: Text
    boot: Count


class Update(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What one member says of another or of itself.

    ``incarnation`` is SWIM's: a counter that only its subject raises, to refute a suspicion.
    """

    id: MemberId
    address: Text
    state: MemberState
    incarnation: Count
    owns_address: bool = (
        False  # it listens at the stated address of its name, so that no earlier process does
    )
    suspected_by: Annotated[str, msgspec.Meta(max_length=64)] = ""  # name of the member that suspects it
    settings_checksum: Count = 0  # of the settings it runs with, as it says itself; 0: unknown


class Ping(msgspec.Struct, array_like=True, frozen=True, tag="ping", forbid_unknown_fields=True):
    """A probe. ``target`` guards against an address that another member has taken over.

    ``membership_checksum``: of the members that the sender believes active, and of its replicated data.
    """

    sequence: Count
    target: MemberId
    membership_checksum: Count


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="ack", forbid_unknown_fields=True):
    """The answer to the ping of this sequence number."""

    sequence: Count


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask", forbid_unknown_fields=True):
    """Ask a helper to ping ``target`` (SWIM's ping-req)."""

    sequence: Count
    target: MemberId
    address: Text


class Nack(msgspec.Struct, array_like=True, frozen=True, tag="nack", forbid_unknown_fields=True):
    """The helper has no answer yet (Lifeguard): so requester and helper at least hear each other."""

    sequence: Count


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag="gossip", forbid_unknown_fields=True):
    """Nothing but the updates that come with it."""


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag="want", forbid_unknown_fields=True):
    """Request a lease of so many parts, in place of all that was granted by lower numbers.

    0 parts: the sender uses nothing of the receiver's from here on.
    """

    resource: Text
    number: Count
    parts: Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag="grant", forbid_unknown_fields=True):
    """Answer the request of this number, with fewer parts or none, maybe.

    ``surplus``: what the sender could still grant.
    """

    resource: Text
    number: Count
    parts: Annotated[int, msgspec.Meta(ge=0, le=HOME_PARTS)]
    surplus: Annotated[int, msgspec.Meta(ge=0, le=HOME_PARTS)]


Body = Ping | Ack | PingRequest | Nack | Gossip | LeaseRequest | LeaseGrant


class Datagram(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One message with the updates that are piggybacked on it."""

    deployment: Text
    version: Count
    sender: Update
    body: Body
    updates: Annotated[list[Update], msgspec.Meta(max_length=MAX_UPDATES)]


class FullState(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """All that a member knows, for an anti-entropy exchange by stream."""

    deployment: Text
    version: Count
    sender: Update
    members: Annotated[list[Update], msgspec.Meta(max_length=MAX_MEMBERS)]
    replicas: Annotated[bytes, msgspec.Meta(max_length=MAX_REPLICA_BYTES)] = b""


_datagram_decoder = msgspec.msgpack.Decoder(Datagram)
_full_state_decoder = msgspec.msgpack.Decoder(FullState)
encoder = msgspec.msgpack.Encoder()


def encode_datagram(deployment: str, sender: Update, body: Body, updates: list[Update]) -> tuple[bytes, int]:
    """Return the datagram, and how many of the updates, from the first on, had room in it."""
    empty = encoder.encode(Datagram(deployment, VERSION, sender, body, []))
    size = len(empty) + LIST_HEADER_BYTES + CHECKSUM_BYTES
    used = 0
    for update in updates[:MAX_UPDATES]:
        size += len(encoder.encode(update))
        if size > MAX_DATAGRAM_BYTES:
            break
        used += 1
    message = Datagram(deployment, VERSION, sender, body, updates[:used])
    return append_checksum(encoder.encode(message)), used


def decode_datagram(deployment: str, data: bytes) -> Datagram:
    """Raises ``WireError``: too long, corrupt, unreadable, foreign, version."""
    try:
        message = _datagram_decoder.decode(verify_checksum(data, MAX_DATAGRAM_BYTES))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        msg = "unreadable"
        raise WireError(msg) from error
    _check_peer(deployment, message.deployment, message.version)
    return message


def encode_full_state(deployment: str, sender: Update, members: list[Update], replicas: bytes = b"") -> bytes:
    """Return the message; of more than ``MAX_MEMBERS`` members the first ones."""
    return append_checksum(
        encoder.encode(FullState(deployment, VERSION, sender, members[:MAX_MEMBERS], replicas))
    )


def decode_full_state(deployment: str, data: bytes) -> FullState:
    """Raises ``WireError``: too long, corrupt, unreadable, foreign, version."""
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
