"""Tests of a subscriber: changes, copies by pages, epochs, and malformed messages."""

from __future__ import annotations

import random
from collections import Counter
from unittest import mock

import msgspec
import pytest

from cleatyoke.distribution import records, store
from cleatyoke.distribution.errors import InvalidChangeError
from cleatyoke.distribution.records import (
    FORMAT_VERSION,
    MESSAGE_MARK,
    Poll,
    Position,
    Rejection,
    decode_poll,
    decode_reply,
    encode,
)
from cleatyoke.distribution.subscriber_messages import (
    DeliverChanges,
    LaneComplete,
    LaneRestarted,
    PollAnswered,
    SendPoll,
    SubscriberTiming,
)
from cleatyoke.transport.encoding import WireError, append_checksum
from tests.distribution import (
    NODES,
    SETTINGS,
    Front,
    exchange,
    make_source,
    make_synced_relay,
    source_values,
    sync_relay,
)

# Changes and copies


def test_new_subscriber_copies_all_and_then_gets_only_changes() -> None:
    source, front = make_source(), Front()
    front.exchange_with(source)
    assert front.values == source_values(source)
    kinds = [type(action) for action in front.actions if not isinstance(action, SendPoll)]
    assert kinds == [LaneRestarted, LaneComplete, LaneRestarted, DeliverChanges, LaneComplete]
    source.put(1.0, SETTINGS, "k/0001", b"new")
    source.put(1.0, NODES, "nodes/a", b"drains")
    source.put(1.0, SETTINGS, "k/0002", None)
    front.delivered.clear()
    front.exchange_with(source)
    assert front.values == source_values(source)
    assert [entry.key for entry in front.delivered] == ["nodes/a", "k/0001", "k/0002"], (
        "nodes come before settings"
    )


def test_key_that_changed_ten_times_is_sent_once() -> None:
    source, front = make_source(), Front()
    front.exchange_with(source)
    for number in range(10):
        source.put(1.0, SETTINGS, "k/0001", b"%d" % number)
    front.delivered.clear()
    reply = front.exchange_with(source)
    assert [(entry.key, entry.value) for entry in front.delivered] == [("k/0001", b"9")]
    assert len(reply.lanes[SETTINGS].changes) == 1


def test_store_log_does_not_grow_with_changes() -> None:
    """A source that runs for months with the same keys must use bounded memory."""
    source = make_source(10)
    for number in range(5000):
        source.put(1.0, SETTINGS, f"k/{number % 10:04d}", b"x")
    lane = source.store.lanes[SETTINGS]
    assert len(lane.log_keys) <= 2 * 10 + store.MAX_STALE_SLOTS + 1
    assert len(lane.entries) == 10
    assert lane.log_numbers == sorted(lane.log_numbers)


def test_subscriber_1833_changes_behind_gets_each_key_once_within_its_bytes() -> None:
    """A front reconnects after an hour: missing changes must neither exceed its bytes nor delay drains."""
    source, front = make_source(300), Front(timing=SubscriberTiming(jitter=0.0))
    front.exchange_until_up_to_date(source)
    rng = random.Random(3)
    for _ in range(1833):
        source.put(1.0, SETTINGS, f"k/{rng.randrange(300):04d}", rng.randbytes(200))
    for number in range(5):
        source.put(1.0, NODES, f"nodes/{number}", b"drains")
    front.delivered.clear()
    started_at, before = front.now, front.subscriber.bytes_exchanged
    first = front.exchange_with(source)
    assert [entry.key[:5] for entry in front.delivered[:5]] == ["nodes"] * 5
    assert first.has_more
    front.exchange_until_up_to_date(source)
    assert front.values == source_values(source)
    assert max(Counter(entry.key for entry in front.delivered).values()) == 1
    duration, sent = front.now - started_at, front.subscriber.bytes_exchanged - before
    assert sent <= 2300 * duration + 4000
    assert sent < 300 * 300 * 1.5


def test_copy_by_pages_continues_at_another_relay_without_missing_changes() -> None:
    """A relay fails while a front copies pages, and keys on both sides of the cursor change meanwhile."""
    source = make_source(400)
    one, other = make_synced_relay(source, "one"), make_synced_relay(source, "other")
    front = Front(["one", "other"], timing=SubscriberTiming(jitter=0.0))
    front.exchange_with(one)
    after = front.subscriber.lanes[SETTINGS].position.cursor
    assert after, "the copy is not complete"
    source.put(1.0, SETTINGS, "k/0001", b"changed, before the cursor")
    source.put(1.0, SETTINGS, "k/0002", None)
    source.put(1.0, SETTINGS, "k/0399", b"changed, after the cursor")
    source.put(1.0, SETTINGS, "k/0398", None)
    for _ in range(2):  # the first relay has failed
        front.step(PollAnswered(front.poll().poll_id, None))
    sync_relay(other, source, 10.0)
    reply = front.exchange_with(other)
    assert not reply.lanes[SETTINGS].restarts
    assert reply.lanes[SETTINGS].page_after == after
    front.exchange_until_up_to_date(other)
    assert front.values == source_values(source)


def test_subscriber_behind_the_compaction_copies_again_and_drops_removed_keys() -> None:
    """A front was disconnected for longer than tombstones are retained, so it gets no tombstone."""
    source, front = make_source(50), Front()
    front.exchange_with(source)
    source.put(1.0, SETTINGS, "k/0007", None)
    source.put(1.0 + store.TOMBSTONE_RETENTION, SETTINGS, "k/0008", None)
    source.put(2.0 + store.TOMBSTONE_RETENTION, SETTINGS, "k/0009", None)
    assert source.store.lanes[SETTINGS].compacted_up_to > 0, "the first tombstone is discarded"
    assert "k/0007" in front.values
    reply = front.exchange_with(source)
    assert reply.lanes[SETTINGS].restarts
    assert not reply.lanes[NODES].restarts
    assert front.values == source_values(source)
    assert "k/0007" not in front.values


def test_store_with_too_many_tombstones_discards_the_oldest() -> None:
    with mock.patch.object(store, "MAX_TOMBSTONES", 3):
        source = make_source(10)
        for number in range(5):
            source.put(1.0, SETTINGS, f"k/{number:04d}", None)
    lane = source.store.lanes[SETTINGS]
    assert len(lane.tombstones) == 3
    assert lane.compacted_up_to == 12
    assert len(lane.entries) == 8
    assert len(lane.keys) == 8


def test_key_added_again_after_its_removal_is_not_compacted() -> None:
    source, front = make_source(3), Front()
    source.put(1.0, SETTINGS, "k/0001", None)
    source.put(2.0, SETTINGS, "k/0001", b"added again")
    source.put(2.0 + 2 * store.TOMBSTONE_RETENTION, SETTINGS, "k/0002", None)
    front.exchange_with(source)
    assert front.values == {"k/0000": b"v0", "k/0001": b"added again"}


# Epochs


def test_subscriber_replaces_its_copy_for_a_newer_epoch_and_rejects_an_older_one() -> None:
    """The source is replaced and the old one returns: no front may go back to the old epoch."""
    old, new, front = make_source(5, epoch=5), make_source(3, epoch=6), Front(["a", "b"])
    front.exchange_with(old)
    front.exchange_with(new)
    assert front.values == source_values(new)
    assert front.epoch == 6
    before = dict(front.values)
    poll = front.poll()
    data = old.answer(front.now, poll.data)
    assert data
    assert decode_reply("d", data).rejection is Rejection.OLDER_EPOCH
    front.step(PollAnswered(poll.poll_id, data))
    assert front.values == before
    assert front.epoch == 6
    assert front.subscriber.rejected[Rejection.OLDER_EPOCH.value] == 1


def test_subscriber_rejects_a_reply_of_an_older_epoch() -> None:
    old, new, front = make_source(5, epoch=5), make_source(3, epoch=6), Front(["a", "b"])
    front.exchange_with(new)
    poll = front.poll()
    older_poll = msgspec.structs.replace(
        decode_poll("d", poll.data), epoch=5, positions=[Position(), Position()]
    )
    data = old.answer(front.now, encode(older_poll))
    assert data
    front.step(PollAnswered(poll.poll_id, data))
    assert front.values == source_values(new)
    assert front.epoch == 6
    assert front.subscriber.rejected[Rejection.OLDER_EPOCH.value] == 1


def test_known_values_stay_in_force_while_a_new_epoch_is_copied() -> None:
    old, new = make_source(300, epoch=5), make_source(300, epoch=6)
    front = Front(timing=SubscriberTiming(jitter=0.0))
    front.exchange_until_up_to_date(old)
    reply = front.exchange_with(new)
    assert reply.has_more
    assert len(front.values) == 300
    front.exchange_until_up_to_date(new)
    assert front.values == source_values(new)


# Malformed messages


def test_duplicate_or_late_reply_changes_nothing() -> None:
    source, front = make_source(), Front()
    poll, data = exchange(front, source)
    front.step(PollAnswered(poll.poll_id, data))
    source.put(1.0, SETTINGS, "k/0000", b"newer")
    front.exchange_with(source)
    before = dict(front.values), front.subscriber.lanes[SETTINGS].position
    front.step(PollAnswered(poll.poll_id, data))
    late = front.poll()
    front.step(PollAnswered(late.poll_id, data))  # an old reply as the answer to a new poll
    assert (front.values, front.subscriber.lanes[SETTINGS].position) == before
    assert front.subscriber.rejected["late or twice"] == 2


def test_reply_truncated_or_corrupted_at_any_byte_is_rejected() -> None:
    """A damaged reply must not be applied in part, and only a second one may cause a failover."""
    source = make_source(2)
    valid = exchange(Front(), source)[1]
    for offset in range(len(valid)):
        for malformed in (
            valid[:offset],
            valid[:offset] + bytes([valid[offset] ^ 0x21]) + valid[offset + 1 :],
        ):
            front = Front(["a", "b"])
            front.step(PollAnswered(front.poll().poll_id, malformed))
            assert not front.values
            assert front.epoch == 0
            assert sum(front.subscriber.rejected.values()) == 1
            assert front.subscriber.has_retried
            assert front.subscriber.relays.index == 0, "the relay is polled once more"
            front.step(PollAnswered(front.poll().poll_id, malformed))
            assert front.subscriber.relays.index == 1, "after the second failure another relay is polled"


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "foreign"),
        (b"\x93\x01\x02\x03", "foreign"),
        (MESSAGE_MARK + b"\x00" * 2_000_000, "too long"),
        (MESSAGE_MARK + append_checksum(b"\xc1"), "unreadable"),
        (MESSAGE_MARK + append_checksum(msgspec.msgpack.encode([1, 2])), "unreadable"),
        (encode(Poll("other", FORMAT_VERSION, "f", 1, 0, [Position(), Position()], 9)), "foreign"),
        (encode(Poll("d", FORMAT_VERSION + 1, "f", 1, 0, [Position(), Position()], 9)), "version"),
        (encode(Poll("d", FORMAT_VERSION, "f", 1, 0, [Position()], 9)), "unreadable"),
        (encode(Poll("d", FORMAT_VERSION, "f", 1, 0, [Position(), Position()], -1)), "unreadable"),
    ],
)
def test_invalid_poll_is_rejected_with_its_reason(data: bytes, reason: str) -> None:
    source = make_source()
    before = [lane.last_number for lane in source.store.lanes.values()]
    assert source.answer(0.0, data) is None
    assert source.rejected == {reason: 1}
    assert [lane.last_number for lane in source.store.lanes.values()] == before
    with pytest.raises(WireError):
        decode_reply("d", data)


def test_reply_that_does_not_continue_the_position_is_rejected() -> None:
    """A faulty relay skips changes: if its reply were applied, they would be missing permanently."""
    source, front = make_source(), Front(["a", "b"])
    front.exchange_with(source)
    source.put(1.0, SETTINGS, "k/0009", b"x")
    for faulty_fields in (
        {"since": 1},
        {"up_to": 2},
        {"page_after": "k/0001"},
        {"restarts": True, "page_after": "k/0001"},
    ):
        poll, data = exchange(front, source)
        reply = decode_reply("d", data)
        lanes = [reply.lanes[NODES], msgspec.structs.replace(reply.lanes[SETTINGS], **faulty_fields)]
        front.step(PollAnswered(poll.poll_id, encode(msgspec.structs.replace(reply, lanes=lanes))))
        assert "k/0009" not in front.values, faulty_fields
    assert front.subscriber.rejected["unreadable"] == 4
    front.exchange_with(source)
    assert front.values == source_values(source)


def test_source_rejects_a_change_beyond_the_message_limits() -> None:
    source = make_source()
    for key, value in (("", b""), ("k" * 129, b""), ("k", b"x" * (records.MAX_VALUE_BYTES + 1))):
        with pytest.raises(InvalidChangeError):
            source.put(0.0, SETTINGS, key, value)
    assert source.last_number == 3
