"""Messages between fronts: MessagePack by msgspec, validated completely on receipt or rejected.

Every message carries the deployment's name and the version of this format, so that members of another fleet
and incompatible releases are not mistaken for peers. Structures are encoded as arrays: the wire has the order
of the fields and the tags, but no field names. The format is described in ``fleet-view.md``.
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
MAX_DATAGRAM_BYTES = 1200  # below the MTU of common links, so that datagrams are not fragmented and lost
MAX_STREAM_BYTES = 1 << 20  # of a full state: about ten thousand members
MAX_REPLICA_BYTES = 1 << 18  # of the replicated data in a full state
MAX_MEMBERS = 10_000  # in a full state
MAX_UPDATES = 64  # in one datagram
LIST_HEADER_BYTES = 3  # maximum by which a list's header exceeds an empty list's
HOME_QUOTA_PARTS = 1000  # parts into which each front's own share of a shared resource is divided


class MemberState(enum.IntEnum):
    """State of a member; at equal incarnations, a higher value overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1  # it did not answer some member, and can still refute the suspicion
    DEAD = 2  # its suspicion timed out; the process may still run behind a partition
    LEFT = 3  # announced by the member itself, and therefore certain


class MemberId(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Identity of one process of a front: the front's name and a boot number that rises with each start."""

    name: Text
    boot: Count


class Update(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One member's statement about another member or about itself.

    ``incarnation`` is SWIM's: a counter that only the member itself raises, to refute a suspicion.
    """

    id: MemberId
    address: Text
    state: MemberState
    incarnation: Count
    owns_address: bool = False  # listens at the configured address of its name, so no earlier process does
    suspected_by: Annotated[str, msgspec.Meta(max_length=64)] = ""  # name of the member that suspects it
    settings_checksum: Count = 0  # of the settings it runs with, reported by itself only; 0: unknown


class Ping(msgspec.Struct, array_like=True, frozen=True, tag="ping", forbid_unknown_fields=True):
    """A probe. ``target`` detects an address that another member has taken over.

    ``membership_checksum`` covers the members that the sender believes active, and its replicated data.
    """

    sequence: Count
    target: MemberId
    membership_checksum: Count


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="ack", forbid_unknown_fields=True):
    """Answer to the ping with this sequence number."""

    sequence: Count


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask", forbid_unknown_fields=True):
    """Ask a helper to ping ``target`` (SWIM's ping-req)."""

    sequence: Count
    target: MemberId
    address: Text


class Nack(msgspec.Struct, array_like=True, frozen=True, tag="nack", forbid_unknown_fields=True):
    """The helper has no answer yet (Lifeguard), which shows that requester and helper can communicate."""

    sequence: Count


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag="gossip", forbid_unknown_fields=True):
    """A message without content of its own, sent for its piggybacked updates."""


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag="want", forbid_unknown_fields=True):
    """Request a lease of ``parts``, which replaces all grants for lower request numbers.

    0 parts: the sender returns everything leased from the receiver.
    """

    resource: Text
    number: Count
    parts: Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag="grant", forbid_unknown_fields=True):
    """Answer to the request of this number; may grant fewer parts than requested, or none.

    ``surplus``: parts that the sender could still grant.
    """

    resource: Text
    number: Count
    parts: Annotated[int, msgspec.Meta(ge=0, le=HOME_QUOTA_PARTS)]
    surplus: Annotated[int, msgspec.Meta(ge=0, le=HOME_QUOTA_PARTS)]


Body = Ping | Ack | PingRequest | Nack | Gossip | LeaseRequest | LeaseGrant


class Datagram(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One message with its piggybacked updates."""

    deployment: Text
    version: Count
    sender: Update
    body: Body
    updates: Annotated[list[Update], msgspec.Meta(max_length=MAX_UPDATES)]


class FullState(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Everything that a member knows, for an anti-entropy exchange over a stream."""

    deployment: Text
    version: Count
    sender: Update
    members: Annotated[list[Update], msgspec.Meta(max_length=MAX_MEMBERS)]
    replicas: Annotated[bytes, msgspec.Meta(max_length=MAX_REPLICA_BYTES)] = b""


_datagram_decoder = msgspec.msgpack.Decoder(Datagram)
_full_state_decoder = msgspec.msgpack.Decoder(FullState)
encoder = msgspec.msgpack.Encoder()


def encode_datagram(deployment: str, sender: Update, body: Body, updates: list[Update]) -> tuple[bytes, int]:
    """Return the datagram, and the number of leading ``updates`` that fitted into it."""
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
    """Decode and validate. Raises ``WireError``: too long, corrupt, unreadable, foreign, version."""
    try:
        message = _datagram_decoder.decode(verify_checksum(data, MAX_DATAGRAM_BYTES))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        msg = "unreadable"
        raise WireError(msg) from error
    _check_peer(deployment, message.deployment, message.version)
    return message


def encode_full_state(deployment: str, sender: Update, members: list[Update], replicas: bytes = b"") -> bytes:
    """Return the encoded message, with at most the first ``MAX_MEMBERS`` members."""
    return append_checksum(
        encoder.encode(FullState(deployment, VERSION, sender, members[:MAX_MEMBERS], replicas))
    )


def decode_full_state(deployment: str, data: bytes) -> FullState:
    """Decode and validate. Raises ``WireError``: too long, corrupt, unreadable, foreign, version."""
    try:
        message = _full_state_decoder.decode(verify_checksum(data, MAX_STREAM_BYTES))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        msg = "unreadable"
        raise WireError(msg) from error
    _check_peer(deployment, message.deployment, message.version)
    return message


def _check_peer(own_deployment: str, deployment: str, version: int) -> None:
    if deployment != own_deployment:
        msg = "foreign"
        raise WireError(msg)
    if version != VERSION:
        msg = "version"
        raise WireError(msg)
