"""The distribution's messages: typed records in MessagePack, validated whole on arrival.

A subscriber polls and is answered; nothing is pushed, so that a relay stores nothing for a subscriber. Every
message has a checksum and begins with a byte that no MessagePack value begins with, which distinguishes it
from the other messages that the same streams could carry. All records are arrays on the wire: the names of
fields and classes here never leave the process, their order does (``docs/distribution.md``).
"""

from __future__ import annotations

import enum
from typing import Annotated, TypeVar

import msgspec

from cleatyoke.transport.encoding import Count, Text, WireError, append_checksum, verify_checksum

FORMAT_VERSION = 1  # of these messages; others are rejected
MESSAGE_MARK = b"\xc1"  # the first byte of each message
MAX_MESSAGE_BYTES = 1 << 20
MAX_VALUE_BYTES = 1 << 18
MAX_KEY_LENGTH = 128  # characters
MAX_ENTRIES_PER_LANE = 10_000  # changes, and entries of a page, of one lane of a reply
ENTRY_OVERHEAD_BYTES = 24  # of an entry on the wire besides its key and value, at most

Key = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY_LENGTH)]
Cursor = Annotated[str, msgspec.Meta(max_length=MAX_KEY_LENGTH)]


class Lane(enum.IntEnum):
    """An ordered log of changes, one of two that share the version numbers of a source.

    Where there is more than a reply may hold, changes of the first lane are sent first: a drain must not wait
    for settings.
    """

    NODES = 0  # drains and changes of primary
    SETTINGS = 1


class Version(msgspec.Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    """The version of a change: ``epoch`` rises with each start of the source, ``number`` with each change."""

    epoch: Count
    number: Count


NO_VERSION = Version(0, 0)  # less than any change's


class Entry(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The latest value of a key. A ``value`` of None is a tombstone: the key was removed."""

    key: Key
    version: Version
    value: Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)] | None

    def wire_size(self) -> int:
        """Return the bytes on the wire, at most."""
        return ENTRY_OVERHEAD_BYTES + len(self.key.encode()) + len(self.value or b"")


class Position(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """How much of a lane a subscriber has: all changes up to ``number``, of the keys up to ``cursor``.

    A ``cursor`` of None: of all keys; otherwise the subscriber is still copying the lane page by page.
    """

    number: Count = 0
    cursor: Cursor | None = ""

    @property
    def is_complete(self) -> bool:
        """Whether the subscriber has all keys of the lane."""
        return self.cursor is None


class Poll(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A subscriber's request for what is new.

    ``poll_id`` returns with the reply. ``epoch`` and ``positions`` (by lane) are what the subscriber has.
    ``max_bytes``: of entries in the reply. ``wants_tombstones``: pages are to name removed keys too, as a
    relay needs them for its own subscribers.
    """

    deployment: Text
    format_version: Count
    subscriber: Text
    poll_id: Count
    epoch: Count
    positions: Annotated[list[Position], msgspec.Meta(min_length=len(Lane), max_length=len(Lane))]
    max_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_MESSAGE_BYTES)]
    wants_tombstones: bool = False


class LaneChanges(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What a reply says of one lane.

    ``changes``: all with numbers over ``since`` up to ``up_to``, the latest one of each key.
    ``compacted_up_to``: tombstones with numbers up to this one may have been discarded.
    ``restarts``: the subscriber's position is of no use, and the pages begin anew.
    ``page``: all keys over ``page_after`` (None: there is no page) up to ``page_to`` (None: to the end), as
    of ``up_to`` or later.
    """

    since: Count
    up_to: Count
    compacted_up_to: Count
    changes: Annotated[list[Entry], msgspec.Meta(max_length=MAX_ENTRIES_PER_LANE)] = []
    restarts: bool = False
    page_after: Cursor | None = None
    page_to: Cursor | None = None
    page: Annotated[list[Entry], msgspec.Meta(max_length=MAX_ENTRIES_PER_LANE)] = []


class Rejection(enum.StrEnum):
    """Why a relay answers a poll without entries; the subscriber polls another one. Wire values."""

    NONE = ""  # it does answer
    FULL = "full"  # it has as many subscribers as it accepts
    NOT_READY = "not ready"  # it has no complete copy yet
    OLDER_EPOCH = "older epoch"  # the subscriber knows of a newer one
    BEHIND = "behind"  # the subscriber has more changes


class Reply(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The answer to a poll.

    ``source``: name of the process that answers. ``age``: seconds since the source is known to have had
    nothing newer. ``lanes``: one element for each lane, or none with a rejection. ``has_more``: the
    subscriber is not up to date even with this reply.
    """

    deployment: Text
    format_version: Count
    poll_id: Count
    source: Text
    epoch: Count
    age: Annotated[float, msgspec.Meta(ge=0)]
    rejection: Rejection = Rejection.NONE
    lanes: Annotated[list[LaneChanges], msgspec.Meta(max_length=len(Lane))] = []
    has_more: bool = False


Message = TypeVar("Message", Poll, Reply)
_encoder = msgspec.msgpack.Encoder()
_poll_decoder = msgspec.msgpack.Decoder(Poll)
_reply_decoder = msgspec.msgpack.Decoder(Reply)


def encode(message: Poll | Reply) -> bytes:
    """Encode a message, with its mark and checksum."""
    return MESSAGE_MARK + append_checksum(_encoder.encode(message))


def decode_poll(deployment: str, data: bytes) -> Poll:
    """Decode a poll of this deployment. Raises ``WireError`` with the reason as its text."""
    return _checked(deployment, _decode(_poll_decoder, data))


def decode_reply(deployment: str, data: bytes) -> Reply:
    """Decode a reply of this deployment. Raises ``WireError`` with the reason as its text."""
    return _checked(deployment, _decode(_reply_decoder, data))


def _decode(decoder: msgspec.msgpack.Decoder[Message], data: bytes) -> Message:
    if data[:1] != MESSAGE_MARK:
        msg = "foreign"
        raise WireError(msg)
    try:
        return decoder.decode(verify_checksum(data[1:], MAX_MESSAGE_BYTES))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        msg = "unreadable"
        raise WireError(msg) from error


def _checked(deployment: str, message: Message) -> Message:
    if message.deployment != deployment:
        msg = "foreign"
        raise WireError(msg)
    if message.format_version != FORMAT_VERSION:
        msg = "version"
        raise WireError(msg)
    return message
