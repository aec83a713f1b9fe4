"""What a subscriber accepts and delivers: changes, copies by pages, epochs, and malformed messages."""

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
    EpochRestarted,
    LaneComplete,
    PollAnswered,
    SendPoll,
    SubscriberTiming,
)
from cleatyoke.transport.encoding import WireError, append_checksum
from tests.distribution import (
    Front,
    N,
    S,
    a_source,
    exchange,
    relay_of,
    sync,
    true_values,
)

# Changes and copies


def test_a_new_subscriber_copies_all_and_then_gets_changes_alone() -> None:
    source, front = a_source(), Front()
    front.exchange_with(source)
    assert front.values == true_values(source)
    kinds = [type(action) for action in front.actions if not isinstance(action, SendPoll)]
    assert kinds == [EpochRestarted, LaneComplete, EpochRestarted, DeliverChanges, LaneComplete]
    source.put(1.0, S, "k/0001", b"new")
    source.put(1.0, N, "nodes/a", b"drains")
    source.put(1.0, S, "k/0002", None)
    front.delivered.clear()
    front.exchange_with(source)
    assert front.values == true_values(source)
    assert [entry.key for entry in front.delivered] == ["nodes/a", "k/0001", "k/0002"], "nodes first"


def test_a_key_that_changed_ten_times_is_sent_once() -> None:
    source, front = a_source(), Front()
    front.exchange_with(source)
    for number in range(10):
        source.put(1.0, S, "k/0001", b"%d" % number)
    front.delivered.clear()
    reply = front.exchange_with(source)
    assert [(entry.key, entry.value) for entry in front.delivered] == [("k/0001", b"9")]
    assert len(reply.lanes[S].changes) == 1


def test_the_log_does_not_grow_with_the_changes() -> None:
    """A source that runs for months with the same keys must not fill its memory."""
    source = a_source(10)
    for number in range(5000):
        source.put(1.0, S, f"k/{number % 10:04d}", b"x")
    lane = source.store.lanes[S]
    assert len(lane.log_keys) <= 2 * 10 + store.MAX_STALE_SLOTS + 1
    assert len(lane.entries) == 10
    assert lane.log_numbers == sorted(lane.log_numbers)


def test_a_subscriber_1833_changes_behind_gets_each_key_once_nodes_first_within_its_bytes() -> None:
    """A front returns after an hour: what it lacks must neither exceed its bytes nor delay the drains."""
    source, front = a_source(300), Front(timing=SubscriberTiming(jitter=0.0))
    front.exchange_until_complete(source)
    rng = random.Random(3)
    for _ in range(1833):
        source.put(1.0, S, f"k/{rng.randrange(300):04d}", rng.randbytes(200))
    for number in range(5):
        source.put(1.0, N, f"nodes/{number}", b"drains")
    front.delivered.clear()
    began, before = front.now, front.subscriber.bytes_exchanged
    first = front.exchange_with(source)
    assert [entry.key[:5] for entry in front.delivered[:5]] == ["nodes"] * 5
    assert first.has_more
    front.exchange_until_complete(source)
    assert front.values == true_values(source)
    assert max(Counter(entry.key for entry in front.delivered).values()) == 1
    took, sent = front.now - began, front.subscriber.bytes_exchanged - before
    assert sent <= 2300 * took + 4000
    assert sent < 300 * 300 * 1.5


def test_pages_are_resumed_at_another_relay_and_miss_no_change_meanwhile() -> None:
    """A relay dies while a front copies its pages, and keys on both sides of the cursor change meanwhile."""
    source = a_source(400)
    one, other = relay_of(source, "one"), relay_of(source, "other")
    front = Front(["one", "other"], timing=SubscriberTiming(jitter=0.0))
    front.exchange_with(one)
    after = front.subscriber.lanes[S].position.cursor
    assert after, "only a part has come"
    source.put(1.0, S, "k/0001", b"changed, in what has come")
    source.put(1.0, S, "k/0002", None)
    source.put(1.0, S, "k/0399", b"changed, in what has not")
    source.put(1.0, S, "k/0398", None)
    for _ in range(2):  # one is gone
        front.step(PollAnswered(front.poll().poll_id, None))
    sync(other, source, 10.0)
    reply = front.exchange_with(other)
    assert not reply.lanes[S].restarts
    assert reply.lanes[S].page_after == after
    front.exchange_until_complete(other)
    assert front.values == true_values(source)


def test_behind_the_compaction_pages_replace_the_copy_and_removed_keys_go() -> None:
    """A front was away for longer than tombstones are retained: nothing tells it of a removal any more."""
    source, front = a_source(50), Front()
    front.exchange_with(source)
    source.put(1.0, S, "k/0007", None)
    source.put(1.0 + store.TOMBSTONE_RETENTION, S, "k/0008", None)
    source.put(2.0 + store.TOMBSTONE_RETENTION, S, "k/0009", None)
    assert source.store.lanes[S].compacted_up_to > 0, "the first removal is forgotten"
    assert "k/0007" in front.values
    reply = front.exchange_with(source)
    assert reply.lanes[S].restarts
    assert not reply.lanes[N].restarts
    assert front.values == true_values(source)
    assert "k/0007" not in front.values


def test_too_many_tombstones_are_compacted_too() -> None:
    with mock.patch.object(store, "MAX_TOMBSTONES", 3):
        source = a_source(10)
        for number in range(5):
            source.put(1.0, S, f"k/{number:04d}", None)
    lane = source.store.lanes[S]
    assert len(lane.tombstones) == 3
    assert lane.compacted_up_to == 12
    assert len(lane.entries) == 8
    assert len(lane.keys) == 8


def test_a_key_that_was_removed_and_is_back_is_not_compacted() -> None:
    source, front = a_source(3), Front()
    source.put(1.0, S, "k/0001", None)
    source.put(2.0, S, "k/0001", b"back")
    source.put(2.0 + 2 * store.TOMBSTONE_RETENTION, S, "k/0002", None)
    front.exchange_with(source)
    assert front.values == {"k/0000": b"v0", "k/0001": b"back"}


# Epochs


def test_an_older_epoch_is_fenced_and_a_newer_one_replaces_the_copy() -> None:
    """The source is replaced, and the old one comes back: it must take no front back."""
    old, new, front = a_source(5, epoch=5), a_source(3, epoch=6), Front(["a", "b"])
    front.exchange_with(old)
    front.exchange_with(new)
    assert front.values == true_values(new)
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


def test_a_relay_that_ignores_the_newer_epoch_is_fenced_by_the_subscriber() -> None:
    old, new, front = a_source(5, epoch=5), a_source(3, epoch=6), Front(["a", "b"])
    front.exchange_with(new)
    poll = front.poll()
    asked = msgspec.structs.replace(decode_poll("d", poll.data), epoch=5, positions=[Position(), Position()])
    data = old.answer(front.now, encode(asked))
    assert data
    front.step(PollAnswered(poll.poll_id, data))
    assert front.values == true_values(new)
    assert front.epoch == 6
    assert front.subscriber.rejected[Rejection.OLDER_EPOCH.value] == 1


def test_while_a_new_epoch_is_copied_the_known_values_stay_in_force() -> None:
    old, new = a_source(300, epoch=5), a_source(300, epoch=6)
    front = Front(timing=SubscriberTiming(jitter=0.0))
    front.exchange_until_complete(old)
    reply = front.exchange_with(new)
    assert reply.has_more
    assert len(front.values) == 300
    front.exchange_until_complete(new)
    assert front.values == true_values(new)


# Malformed messages


def test_a_reply_that_comes_twice_or_late_changes_nothing() -> None:
    source, front = a_source(), Front()
    poll, data = exchange(front, source)
    front.step(PollAnswered(poll.poll_id, data))
    source.put(1.0, S, "k/0000", b"newer")
    front.exchange_with(source)
    before = dict(front.values), front.subscriber.lanes[S].position
    front.step(PollAnswered(poll.poll_id, data))
    late = front.poll()
    front.step(PollAnswered(late.poll_id, data))  # as if it answered this one
    assert (front.values, front.subscriber.lanes[S].position) == before
    assert front.subscriber.rejected["late or twice"] == 2


def test_a_reply_cut_or_malformed_at_any_byte_is_rejected_whole() -> None:
    """A link cuts off or corrupts replies: half of one must not be applied, and one alone proves nothing."""
    source = a_source(2)
    whole = exchange(Front(), source)[1]
    for place in range(len(whole)):
        for bad in (whole[:place], whole[:place] + bytes([whole[place] ^ 0x21]) + whole[place + 1 :]):
            front = Front(["a", "b"])
            front.step(PollAnswered(front.poll().poll_id, bad))
            assert not front.values
            assert front.epoch == 0
            assert sum(front.subscriber.rejected.values()) == 1
            assert front.subscriber.has_retried
            assert front.subscriber.relays.index == 0, "it is polled once more"
            front.step(PollAnswered(front.poll().poll_id, bad))
            assert front.subscriber.relays.index == 1, "then another one is polled"


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
def test_a_poll_that_is_not_ours_is_rejected_by_reason(data: bytes, reason: str) -> None:
    source = a_source()
    before = [lane.last_number for lane in source.store.lanes.values()]
    assert source.answer(0.0, data) is None
    assert source.rejected == {reason: 1}
    assert [lane.last_number for lane in source.store.lanes.values()] == before
    with pytest.raises(WireError):
        decode_reply("d", data)


def test_a_reply_that_does_not_continue_the_position_is_rejected() -> None:
    """A faulty relay skips changes: applied, they would stay missing for good."""
    source, front = a_source(), Front(["a", "b"])
    front.exchange_with(source)
    source.put(1.0, S, "k/0009", b"x")
    for wrong in (
        {"since": 1},
        {"up_to": 2},
        {"page_after": "k/0001"},
        {"restarts": True, "page_after": "k/0001"},
    ):
        poll, data = exchange(front, source)
        reply = decode_reply("d", data)
        parts = [reply.lanes[N], msgspec.structs.replace(reply.lanes[S], **wrong)]
        front.step(PollAnswered(poll.poll_id, encode(msgspec.structs.replace(reply, lanes=parts))))
        assert "k/0009" not in front.values, wrong
    assert front.subscriber.rejected["unreadable"] == 4
    front.exchange_with(source)
    assert front.values == true_values(source)


def test_a_change_that_no_message_could_carry_is_rejected_at_the_source() -> None:
    source = a_source()
    for key, value in (("", b""), ("k" * 129, b""), ("k", b"x" * (records.MAX_VALUE_BYTES + 1))):
        with pytest.raises(InvalidChangeError):
            source.put(0.0, S, key, value)
    assert source.last_number == 3
