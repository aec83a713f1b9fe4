"""Messages of the distribution: typed MessagePack records, validated completely on receipt.

Subscribers poll and nothing is pushed, so a relay keeps no state of the data that a subscriber has. Every
message has a checksum and begins with a byte that no MessagePack value begins with, which distinguishes it
from other messages on the same kind of connection. All records are arrays on the wire: the order of fields is
part of the protocol, the names of fields and classes are not (``docs/distribution.md``).
"""

from __future__ import annotations

import enum
from typing import Annotated, TypeVar

import msgspec

from cleatyoke.transport.encoding import Count, Text, WireError, append_checksum, verify_checksum

FORMAT_VERSION = 1  # messages with another one are rejected
MESSAGE_MARK = b"\xc1"  # the first byte of each message
MAX_MESSAGE_BYTES = 1 << 20
MAX_VALUE_BYTES = 1 << 18
MAX_KEY_LENGTH = 128  # characters
MAX_ENTRIES_PER_LANE = 10_000  # limit of the changes, and of the page entries, for each lane of a reply
ENTRY_OVERHEAD_BYTES = 24  # upper bound of an entry's size on the wire without its key and value

Key = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY_LENGTH)]
Cursor = Annotated[str, msgspec.Meta(max_length=MAX_KEY_LENGTH)]


class Lane(enum.IntEnum):
    """One of two ordered logs of changes, which share the version numbers of a source.

    If changes exceed the size of a reply, those of the first lane are sent first: a drain must not wait for
    settings.
    """

    NODES = 0  # node states: drains and primary changes
    SETTINGS = 1


class Version(msgspec.Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    """Version of a change: ``epoch`` increases with each start of the source, ``number`` with each change."""

    epoch: Count
    number: Count


NO_VERSION = Version(0, 0)  # lower than that of any change


class Entry(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The latest value of a key. A ``value`` of None is a tombstone: the key was removed."""

    key: Key
    version: Version
    value: Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)] | None

    def wire_size(self) -> int:
        """Return an upper bound of the entry's bytes on the wire."""
        return ENTRY_OVERHEAD_BYTES + len(self.key.encode()) + len(self.value or b"")


class Position(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """How much of a lane a subscriber has: all changes up to ``number`` for the keys up to ``cursor``.

    A ``cursor`` of None means all keys; otherwise the subscriber is still copying the lane page by page.
    """

    number: Count = 0
    cursor: Cursor | None = ""

    @property
    def is_complete(self) -> bool:
        """Whether the subscriber has all keys of the lane."""
        return self.cursor is None


class Poll(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A subscriber's request for changes.

    ``poll_id`` is returned in the reply. ``epoch`` and ``positions`` (by lane) state what the subscriber has.
    ``max_bytes``: limit of the entries in the reply. ``wants_tombstones``: pages are to include tombstones,
    which a relay needs for its own subscribers.
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
    """The part of a reply for one lane.

    ``changes``: the latest change of each key with a number above ``since`` and at most ``up_to``.
    ``compacted_up_to``: tombstones with numbers up to this one may have been discarded.
    ``restarts``: the subscriber's position can't be continued, and the lane is copied again from its start.
    ``page``: all keys after ``page_after`` (None: no page) up to ``page_to`` (None: the end), as of ``up_to``
    or later.
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
    """Why a poll is answered without entries; the subscriber then polls another relay. Wire values."""

    NONE = ""  # not rejected
    FULL = "full"  # the relay has its maximum of subscribers
    NOT_READY = "not ready"  # the relay has no complete copy yet
    OLDER_EPOCH = "older epoch"  # the subscriber has a newer epoch
    BEHIND = "behind"  # the subscriber has newer changes


class Reply(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The answer to a poll.

    ``source``: name of the process that answers. ``age``: seconds since the served copy is known to have been
    up to date with the source. ``lanes``: one element for each lane, or none in a rejection. ``has_more``:
    this reply does not bring the subscriber up to date.
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
    """Encode a message, with its first byte and checksum."""
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
