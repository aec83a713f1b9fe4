"""What the distribution sends: typed records in MessagePack, checked whole on arrival, refused with a reason.

A subscriber polls and is answered; nothing is pushed, so that a relay keeps nothing for a subscriber. Every
message is sealed by a checksum and begins with a byte that no MessagePack value begins with, which tells it
from the other messages of the same streams.
"""

from __future__ import annotations

import enum
from typing import Annotated, TypeVar

import msgspec

from cleatyoke.transport.encoding import Count, Text, WireError, append_checksum, verify_checksum

FORM = 1  # of these messages; another one is refused
MARK = b"\xc1"  # in front of each message
MOST_MESSAGE = 1 << 20  # bytes
MOST_VALUE = 1 << 18  # bytes of one value
MOST_ENTRIES = 10_000  # of one part of a reply
ENTRY_OVERHEAD = 24  # bytes of an entry on the wire, beside its key and value, at the most

Key = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Cursor = Annotated[str, msgspec.Meta(max_length=128)]


class Lane(enum.IntEnum):
    """What is sent first where there is more than a reply holds."""

    NODES = 0  # drains and changes of primary
    SETTINGS = 1


class Version(msgspec.Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    """``epoch`` rises with each life of the source, ``number`` with each change in it."""

    epoch: Count
    number: Count


NOTHING = Version(0, 0)


class Entry(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The latest word on a key. A ``value`` of None: the key is gone."""

    key: Key
    version: Version
    value: Annotated[bytes, msgspec.Meta(max_length=MOST_VALUE)] | None

    def size(self) -> int:
        """Bytes on the wire, at the most."""
        return ENTRY_OVERHEAD + len(self.key.encode()) + len(self.value or b"")


class Position(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What a subscriber knows of a lane: all changes up to ``number``, of the keys up to ``after``. An
    ``after`` of None: of all keys.
    """

    number: Count = 0
    after: Cursor | None = ""


class Poll(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What is new? ``number`` comes back with the reply; ``most``: bytes of entries that it may hold;
    ``removals``: whether pages name keys that are gone, as a relay needs them.
    """

    deployment: Text
    form: Count
    subscriber: Text
    number: Count
    epoch: Count
    positions: Annotated[list[Position], msgspec.Meta(min_length=len(Lane), max_length=len(Lane))]
    most: Annotated[int, msgspec.Meta(ge=0, le=MOST_MESSAGE)]
    removals: bool = False


class LaneChanges(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Of one lane. ``changes``: all with numbers over ``first`` up to ``last``, the latest of each key.
    ``page``: all keys over ``page_after`` up to ``page_to`` (None: to the end), as of ``last`` or later.
    ``restart``: the subscriber's position is of no use, and pages begin anew.
    """

    first: Count
    last: Count
    floor: Count  # up to this number, keys that are gone may have been forgotten
    changes: Annotated[list[Entry], msgspec.Meta(max_length=MOST_ENTRIES)] = []
    restart: bool = False
    page_after: Cursor | None = None  # None: there is no page
    page_to: Cursor | None = None
    page: Annotated[list[Entry], msgspec.Meta(max_length=MOST_ENTRIES)] = []


class Refusal(enum.StrEnum):
    """Why a relay gives no entries; the subscriber asks another one."""

    NONE = ""
    FULL = "full"  # it has as many subscribers as it takes
    NOT_READY = "not ready"  # it has no whole copy yet
    OLDER = "older epoch"  # the subscriber has heard a newer one
    BEHIND = "behind"  # the subscriber knows more changes


class Reply(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """``age``: seconds since the source is known to have had nothing newer."""

    deployment: Text
    form: Count
    number: Count
    source: Text
    epoch: Count
    age: Annotated[float, msgspec.Meta(ge=0)]
    refusal: Refusal = Refusal.NONE
    parts: Annotated[list[LaneChanges], msgspec.Meta(max_length=len(Lane))] = []
    more: bool = False


Message = TypeVar("Message", Poll, Reply)
encoder = msgspec.msgpack.Encoder()
polls = msgspec.msgpack.Decoder(Poll)
replies = msgspec.msgpack.Decoder(Reply)


def encode(message: Poll | Reply) -> bytes:
    return MARK + append_checksum(encoder.encode(message))


def is_ours(data: bytes) -> bool:
    """Whether a message of a shared stream is one of the distribution's."""
    return data[:1] == MARK


def decode_poll(deployment: str, data: bytes) -> Poll:
    """Raises ``Refused`` with the reason."""
    return checked(deployment, open_message(polls, data))


def decode_reply(deployment: str, data: bytes) -> Reply:
    """Raises ``Refused`` with the reason."""
    return checked(deployment, open_message(replies, data))


def open_message(decoder: msgspec.msgpack.Decoder[Message], data: bytes) -> Message:
    if not is_ours(data):
        msg = "foreign"
        raise WireError(msg)
    try:
        return decoder.decode(verify_checksum(data[1:], MOST_MESSAGE))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        msg = "unreadable"
        raise WireError(msg) from error


def checked(deployment: str, message: Message) -> Message:
    if message.deployment != deployment:
        msg = "foreign"
        raise WireError(msg)
    if message.form != FORM:
        msg = "version"
        raise WireError(msg)
    return message
