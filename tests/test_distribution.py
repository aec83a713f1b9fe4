"""Versioned changes from a source through relays to subscribers: each hard case by itself, in virtual time,
and all together against a plain model, with wrong variants that are caught."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Collection, Iterable
from typing import Any
from unittest import mock

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cleatyoke.distribution import records, store
from cleatyoke.distribution.errors import (
    InvalidChangeError,
)
from cleatyoke.distribution.records import (
    FORMAT_VERSION,
    MESSAGE_MARK,
    Entry,
    Lane,
    Poll,
    Position,
    Rejection,
    Reply,
    Version,
    decode_poll,
    decode_reply,
    encode,
)
from cleatyoke.distribution.relay import (
    ChangeServer,
    Relay,
    Source,
)
from cleatyoke.distribution.server import PollAdmission
from cleatyoke.distribution.store import ChangeBatch, LaneStore
from cleatyoke.distribution.subscriber import (
    Subscriber,
)
from cleatyoke.distribution.subscriber_messages import (
    DeliverChanges,
    EpochRestarted,
    LaneComplete,
    PollAnswered,
    RelayChanged,
    SendPoll,
    SubscriberAction,
    SubscriberTiming,
)
from cleatyoke.emulation.distribution import SOURCE, Links, Measured, Tree
from cleatyoke.membership.wire import WireError

AMPLE = SubscriberTiming(bytes_per_second=1e6, burst_bytes=1e6, jitter=0.0)
S, N = Lane.SETTINGS, Lane.NODES


class Front:
    """A subscriber, and what it was handed so far."""

    def __init__(
        self, *tiers: list[str], timing: SubscriberTiming = AMPLE, kind: type[Subscriber] = Subscriber
    ) -> None:
        self.subscriber = kind("d", "front", tiers or [["a"]], random.Random(1), timing)
        self.now = 0.0
        self.values: dict[str, bytes] = {}
        self.delivered: list[Entry] = []
        self.actions: list[SubscriberAction] = []

    def step(self, *events: PollAnswered) -> list[SubscriberAction]:
        found = self.subscriber.step(self.now, events)
        self.actions += found
        for action in found:
            if isinstance(action, DeliverChanges):
                for entry in action.entries:
                    self.delivered.append(entry)
                    if entry.value is None:
                        self.values.pop(entry.key, None)
                    else:
                        self.values[entry.key] = entry.value
        return found

    def poll(self) -> SendPoll:
        """Its next poll, whenever that is due."""
        for _ in range(50):
            self.now = max(self.now, self.subscriber.due())
            for action in self.step():
                if isinstance(action, SendPoll):
                    return action
        raise AssertionError("it never polls")

    def ask(self, server: ChangeServer) -> Reply:
        """One exchange that succeeds."""
        poll = self.poll()
        data = server.answer(self.now, poll.data)
        assert data
        self.step(PollAnswered(poll.poll_id, data))
        return decode_reply("d", data)

    def ask_until_whole(self, server: ChangeServer, most: int = 1000) -> int:
        for count in range(1, most):
            if not self.ask(server).has_more:
                return count
        raise AssertionError("there is always more")

    @property
    def epoch(self) -> int:
        return self.subscriber.epoch


def a_source(count: int = 3, epoch: int = 5, lane: Lane = S) -> Source:
    source = Source("d", SOURCE, epoch)
    for number in range(count):
        source.put(0.0, lane, f"k/{number:04d}", b"v%d" % number)
    return source


def true_values(source: Source) -> dict[str, bytes]:
    return {
        key: entry.value
        for lane in source.store.lanes.values()
        for key, entry in lane.entries.items()
        if entry.value is not None
    }


# Changes and copies


def test_a_new_subscriber_has_all_and_then_hears_of_changes_alone() -> None:
    source, front = a_source(), Front()
    front.ask(source)
    assert front.values == true_values(source)
    kinds = [type(action) for action in front.actions if not isinstance(action, SendPoll)]
    assert kinds == [EpochRestarted, LaneComplete, EpochRestarted, DeliverChanges, LaneComplete]
    source.put(1.0, S, "k/0001", b"new")
    source.put(1.0, N, "nodes/a", b"drains")
    source.put(1.0, S, "k/0002", None)
    front.delivered.clear()
    front.ask(source)
    assert front.values == true_values(source)
    assert [entry.key for entry in front.delivered] == ["nodes/a", "k/0001", "k/0002"], "nodes first"


def test_a_key_that_changed_ten_times_is_sent_once() -> None:
    source, front = a_source(), Front()
    front.ask(source)
    for number in range(10):
        source.put(1.0, S, "k/0001", b"%d" % number)
    front.delivered.clear()
    reply = front.ask(source)
    assert [(entry.key, entry.value) for entry in front.delivered] == [("k/0001", b"9")]
    assert len(reply.lanes[S].changes) == 1


def test_the_log_does_not_grow_with_the_changes() -> None:
    source = a_source(10)
    for number in range(5000):
        source.put(1.0, S, f"k/{number % 10:04d}", b"x")
    lane = source.store.lanes[S]
    assert len(lane.log_keys) <= 2 * 10 + store.MAX_STALE_SLOTS + 1
    assert len(lane.entries) == 10
    assert lane.log_numbers == sorted(lane.log_numbers)


def test_a_subscriber_1833_changes_behind_gets_each_key_once_nodes_first_within_its_bytes() -> None:
    source, front = a_source(300), Front(timing=SubscriberTiming(jitter=0.0))
    front.ask_until_whole(source)
    rng = random.Random(3)
    for _ in range(1833):
        source.put(1.0, S, f"k/{rng.randrange(300):04d}", rng.randbytes(200))
    for number in range(5):
        source.put(1.0, N, f"nodes/{number}", b"drains")
    front.delivered.clear()
    began, before = front.now, front.subscriber.bytes_exchanged
    first = front.ask(source)
    assert [entry.key[:5] for entry in front.delivered[:5]] == ["nodes"] * 5
    assert first.has_more
    front.ask_until_whole(source)
    assert front.values == true_values(source)
    assert max(Counter(entry.key for entry in front.delivered).values()) == 1
    took, sent = front.now - began, front.subscriber.bytes_exchanged - before
    assert sent <= 2300 * took + 4000
    assert sent < 300 * 300 * 1.5


def test_pages_are_resumed_at_another_relay_and_miss_no_change_meanwhile() -> None:
    source = a_source(400)
    one, other = relay_of(source, "one"), relay_of(source, "other")
    front = Front(["one", "other"], timing=SubscriberTiming(jitter=0.0))
    front.ask(one)
    after = front.subscriber.lanes[S].position.cursor
    assert after, "only a part has come"
    source.put(1.0, S, "k/0001", b"changed, in what has come")
    source.put(1.0, S, "k/0002", None)
    source.put(1.0, S, "k/0399", b"changed, in what has not")
    source.put(1.0, S, "k/0398", None)
    for _ in range(2):  # one is gone
        front.step(PollAnswered(front.poll().poll_id, None))
    sync(other, source, 10.0)
    reply = front.ask(other)
    assert not reply.lanes[S].restarts
    assert reply.lanes[S].page_after == after
    front.ask_until_whole(other)
    assert front.values == true_values(source)


def test_behind_the_compaction_the_present_state_comes_by_pages_and_what_is_gone_goes() -> None:
    source, front = a_source(50), Front()
    front.ask(source)
    source.put(1.0, S, "k/0007", None)
    source.put(1.0 + store.TOMBSTONE_RETENTION, S, "k/0008", None)
    source.put(2.0 + store.TOMBSTONE_RETENTION, S, "k/0009", None)
    assert source.store.lanes[S].compacted_up_to > 0, "the first removal is forgotten"
    assert "k/0007" in front.values
    reply = front.ask(source)
    assert reply.lanes[S].restarts
    assert not reply.lanes[N].restarts
    assert front.values == true_values(source)
    assert "k/0007" not in front.values


def test_too_many_removals_are_forgotten_too() -> None:
    with mock.patch.object(store, "MAX_TOMBSTONES", 3):
        source = a_source(10)
        for number in range(5):
            source.put(1.0, S, f"k/{number:04d}", None)
    lane = source.store.lanes[S]
    assert len(lane.tombstones) == 3
    assert lane.compacted_up_to == 12
    assert len(lane.entries) == 8
    assert len(lane.keys) == 8


def test_a_key_that_is_gone_and_back_is_not_forgotten() -> None:
    source, front = a_source(3), Front()
    source.put(1.0, S, "k/0001", None)
    source.put(2.0, S, "k/0001", b"back")
    source.put(2.0 + 2 * store.TOMBSTONE_RETENTION, S, "k/0002", None)
    front.ask(source)
    assert front.values == {"k/0000": b"v0", "k/0001": b"back"}


# Epochs


def test_an_older_epoch_is_fenced_and_a_newer_one_replaces_what_it_does_not_have() -> None:
    old, new, front = a_source(5, epoch=5), a_source(3, epoch=6), Front(["a", "b"])
    front.ask(old)
    front.ask(new)
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


def test_a_relay_that_pretends_not_to_know_of_a_newer_epoch_is_fenced_by_the_subscriber() -> None:
    old, new, front = a_source(5, epoch=5), a_source(3, epoch=6), Front(["a", "b"])
    front.ask(new)
    poll = front.poll()
    asked = msgspec.structs.replace(decode_poll("d", poll.data), epoch=5, positions=[Position(), Position()])
    data = old.answer(front.now, encode(asked))
    assert data
    front.step(PollAnswered(poll.poll_id, data))
    assert front.values == true_values(new)
    assert front.epoch == 6
    assert front.subscriber.rejected[Rejection.OLDER_EPOCH.value] == 1


def test_while_a_new_epoch_comes_by_pages_what_was_known_stays_in_force() -> None:
    old, new = a_source(300, epoch=5), a_source(300, epoch=6)
    front = Front(timing=SubscriberTiming(jitter=0.0))
    front.ask_until_whole(old)
    reply = front.ask(new)
    assert reply.has_more
    assert len(front.values) == 300
    front.ask_until_whole(new)
    assert front.values == true_values(new)


# Messages that are not as they should be


def exchange(front: Front, server: ChangeServer) -> tuple[SendPoll, bytes]:
    poll = front.poll()
    data = server.answer(front.now, poll.data)
    assert data
    return poll, data


def test_a_reply_that_comes_twice_or_late_changes_nothing() -> None:
    source, front = a_source(), Front()
    poll, data = exchange(front, source)
    front.step(PollAnswered(poll.poll_id, data))
    source.put(1.0, S, "k/0000", b"newer")
    front.ask(source)
    before = dict(front.values), front.subscriber.lanes[S].position
    front.step(PollAnswered(poll.poll_id, data))
    late = front.poll()
    front.step(PollAnswered(late.poll_id, data))  # as if it answered this one
    assert (front.values, front.subscriber.lanes[S].position) == before
    assert front.subscriber.rejected["late or twice"] == 2


def test_every_cut_and_every_spoilt_byte_is_refused_whole() -> None:
    source = a_source(2)
    whole = exchange(Front(), source)[1]
    for place in range(len(whole)):
        for bad in (whole[:place], whole[:place] + bytes([whole[place] ^ 0x21]) + whole[place + 1 :]):
            front = Front(["a", "b"])
            front.step(PollAnswered(front.poll().poll_id, bad))
            assert not front.values
            assert front.epoch == 0
            assert sum(front.subscriber.rejected.values()) == 1
            assert front.subscriber.has_retried and front.subscriber.relays.place == 0, (
                "it is asked once more"
            )
            front.step(PollAnswered(front.poll().poll_id, bad))
            assert front.subscriber.relays.place == 1, "then another one is asked"


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "foreign"),
        (b"\x93\x01\x02\x03", "foreign"),
        (MESSAGE_MARK + b"\x00" * 2_000_000, "too long"),
        (MESSAGE_MARK + records.sealed(b"\xc1"), "unreadable"),
        (MESSAGE_MARK + records.sealed(msgspec.msgpack.encode([1, 2])), "unreadable"),
        (encode(Poll("other", FORMAT_VERSION, "f", 1, 0, [Position(), Position()], 9)), "foreign"),
        (encode(Poll("d", FORMAT_VERSION + 1, "f", 1, 0, [Position(), Position()], 9)), "version"),
        (encode(Poll("d", FORMAT_VERSION, "f", 1, 0, [Position()], 9)), "unreadable"),
        (encode(Poll("d", FORMAT_VERSION, "f", 1, 0, [Position(), Position()], -1)), "unreadable"),
    ],
)
def test_a_poll_that_is_not_ours_is_refused_by_reason(data: bytes, reason: str) -> None:
    source = a_source()
    before = [lane.last_number for lane in source.store.lanes.values()]
    assert source.answer(0.0, data) is None
    assert source.rejected == {reason: 1}
    assert [lane.last_number for lane in source.store.lanes.values()] == before
    with pytest.raises(WireError):
        decode_reply("d", data)


def test_a_reply_that_does_not_go_on_from_here_is_not_believed() -> None:
    source, front = a_source(), Front(["a", "b"])
    front.ask(source)
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
    front.ask(source)
    assert front.values == true_values(source)


def test_a_change_that_no_message_could_carry_is_refused_at_the_source() -> None:
    source = a_source()
    for key, value in (("", b""), ("k" * 129, b""), ("k", b"x" * (records.MAX_VALUE_BYTES + 1))):
        with pytest.raises(InvalidChangeError):
            source.put(0.0, S, key, value)
    assert source.last_number == 3


# Relays


def relay_of(source: ChangeServer, name: str = "relay", now: float = 0.0) -> Relay:
    relay = Relay("d", name, [[SOURCE]], random.Random(1))
    sync(relay, source, now)
    return relay


def sync(relay: Relay, source: ChangeServer | None, now: float) -> float:
    """Let a relay ask until it has all; returns when."""
    for _ in range(100):
        now = max(now, relay.due())
        for action in relay.step(now):
            if isinstance(action, SendPoll):
                data = source.answer(now, action.data) if source else None
                relay.step(now, [PollAnswered(action.poll_id, data)])
                if data and not decode_reply("d", data).has_more:
                    return now
                if source is None:
                    return now
    raise AssertionError("it never has all")


def test_a_relay_serves_nothing_before_it_has_a_whole_copy() -> None:
    relay, front = Relay("d", "relay", [[SOURCE]], random.Random(1)), Front(["a", "b"])
    assert front.ask(relay).rejection is Rejection.NOT_READY
    assert front.subscriber.relays.place == 1
    sync(relay, a_source(), 0.0)
    assert front.ask(relay).rejection is Rejection.NONE


def test_a_relay_passes_on_changes_removals_and_how_old_it_is() -> None:
    source, front = a_source(), Front()
    relay = relay_of(source)
    front.ask(relay)
    source.put(1.0, S, "k/0001", None)
    source.put(1.0, S, "k/0002", b"new")
    sync(relay, source, 5.0)
    front.now = 9.0
    reply = front.ask(relay)
    assert front.values == true_values(source)
    assert reply.age == pytest.approx(front.now - relay.subscriber.current_as_of)
    assert front.subscriber.age(front.now) == pytest.approx(reply.age)


def test_a_relay_that_began_anew_sends_a_subscriber_only_what_it_lacks() -> None:
    """Else a relay's restart would ask for whole copies by the hundred."""
    source = a_source(100)
    front = Front(["a", "b"])
    front.ask(relay_of(source))
    source.put(1.0, S, "k/0001", b"new")
    source.put(1.0, S, "k/0050", None)
    source.put(1.0, S, "brief", b"")
    source.put(1.0, S, "brief", None)
    reply = front.ask(relay_of(source, "fresh", 2.0))
    assert not reply.lanes[S].restarts
    assert len(reply.lanes[S].changes) == 3
    assert front.values == true_values(source)


def test_a_key_made_and_removed_between_two_polls_of_a_relay_is_gone_below_it() -> None:
    source, front = a_source(), Front(["a", "b"])
    late = relay_of(source, "late")
    source.put(1.0, S, "brief", b"x")
    front.ask(relay_of(source, "early", 1.0))
    assert "brief" in front.values
    source.put(2.0, S, "brief", None)
    sync(late, source, 3.0)
    front.ask(late)
    assert front.values == true_values(source)


def test_a_relay_goes_on_serving_its_epoch_until_it_has_the_new_one_whole() -> None:
    old, new = a_source(4000, epoch=5), a_source(4000, epoch=6)
    relay = relay_of(old)
    relay.subscriber.timing = SubscriberTiming(bytes_per_second=50_000, burst_bytes=50_000)
    relay.subscriber.budget.level = 50_000
    for _ in range(3):
        now = relay.due()
        for action in relay.step(now):
            if isinstance(action, SendPoll):
                data = new.answer(now, action.data)
                relay.step(now, [PollAnswered(action.poll_id, data)])
    serving = relay.served_store()
    assert serving and serving.epoch == 5 and relay.next_store, "not whole yet"
    sync(relay, new, now)
    serving = relay.served_store()
    assert serving
    assert serving.epoch == 6
    assert len(serving.lanes[S].entries) == 4000


def test_a_relay_back_with_an_older_copy_takes_nobody_back() -> None:
    source = a_source()
    relay, front = relay_of(source), Front(["a", "b"])
    source.put(1.0, S, "k/0000", b"newer")
    front.ask(source)
    reply = front.ask(relay)
    assert reply.rejection is Rejection.BEHIND
    assert front.values == true_values(source)
    sync(relay, source, front.now + 5)
    front.now += 5
    assert front.ask(relay).rejection is Rejection.NONE


def test_two_relays_of_differing_epochs_leave_a_subscriber_with_the_newer() -> None:
    old, new = relay_of(a_source(5, epoch=5), "old"), relay_of(a_source(4, epoch=6), "new")
    front = Front(["a", "b"])
    for relay in (old, new, old, old, new, old):
        front.ask(relay)
    assert front.epoch == 6
    assert len(front.values) == 4


def test_a_relay_takes_a_bounded_number_and_those_that_left_make_room() -> None:
    admission = PollAdmission(2)
    assert admission.admit(0.0, "a")
    assert admission.admit(0.0, "b")
    assert not admission.admit(1.0, "c")
    assert admission.admit(10.0, "a")
    assert admission.admit(16.0, "c"), "b has not asked for long"
    assert not admission.admit(16.0, "d")
    assert len(admission.last_polled_at) == 2


def test_one_that_is_refused_as_the_relay_is_full_asks_the_next() -> None:
    source = a_source()
    full, front = Source("d", "full", 5, max_subscribers=0), Front(["a", "b"])
    assert front.ask(full).rejection is Rejection.FULL
    assert isinstance(front.actions[-1], RelayChanged)
    front.ask(source)
    assert front.values == true_values(source)


def test_slow_and_many_subscribers_leave_nothing_behind_at_a_relay() -> None:
    source = a_source(200)
    relay = relay_of(source)
    lane = relay.store.lanes[S] if relay.store else None
    assert lane
    before = len(lane.log_numbers), len(lane.entries)
    for number in range(2000):
        poll = Poll("d", FORMAT_VERSION, f"f{number % 500}", 1, 0, [Position(), Position()], 300)
        relay.answer(number * 0.001, encode(poll))
    assert (len(lane.log_numbers), len(lane.entries)) == before
    assert len(relay.admission.last_polled_at) <= 160


# Time and bytes


def test_where_no_relay_answers_it_goes_on_asking_each_in_turn_and_keeps_what_it_has() -> None:
    source, front = a_source(), Front(["a", "b"], ["c"], timing=SubscriberTiming())
    front.ask(source)
    began, asked = front.now, Counter[str]()
    while front.now < began + 600:
        asked[front.poll().relay] += 1
        front.step(PollAnswered(front.subscriber.poll_count, None))
    assert front.values == true_values(source)
    assert set(asked) == {"a", "b", "c"}
    assert 600 / 9 < sum(asked.values()) < 600, "8 s at the most between two, and no storm"
    assert front.subscriber.age(front.now) > 590


def test_a_poll_without_an_answer_has_failed_after_its_time() -> None:
    front = Front(["a", "b"])
    front.poll()
    asked = front.now
    assert front.subscriber.due() == asked + AMPLE.answer_timeout
    front.now = asked + AMPLE.answer_timeout
    front.step()
    assert front.subscriber.relays.place == 0
    assert front.subscriber.due() <= front.now + AMPLE.retry_spread
    front.poll()
    front.now += AMPLE.answer_timeout
    front.step()
    assert front.subscriber.relays.place == 1
    assert front.subscriber.due() <= front.now + AMPLE.failover_spread


def test_a_relay_that_failed_is_avoided_for_a_while_where_there_is_another() -> None:
    source, front = a_source(), Front(["a", "b"], ["far"])
    first = front.poll()
    front.step(PollAnswered(first.poll_id, None))
    second = front.poll()
    assert second.relay == first.relay
    front.step(PollAnswered(second.poll_id, None))
    third = front.poll()
    assert third.relay in "ab"
    assert third.relay != first.relay
    front.step(PollAnswered(third.poll_id, None))
    front.step(PollAnswered(front.poll().poll_id, None))
    fourth = front.poll()
    assert fourth.relay == "far", "both of the own region have failed"
    front.step(PollAnswered(fourth.poll_id, source.answer(front.now, fourth.data)))
    assert front.values == true_values(source)


def test_one_that_moved_to_another_region_comes_home() -> None:
    source, front = a_source(), Front(["home"], ["far"], timing=SubscriberTiming(jitter=0.0))
    for _ in range(2):
        front.step(PollAnswered(front.poll().poll_id, None))
    relays = []
    for _ in range(40):
        poll = front.poll()
        relays.append(poll.relay)
        front.step(PollAnswered(poll.poll_id, source.answer(front.now, poll.data)))
    assert relays[0] == "far"
    assert relays[-1] == "home"


def test_a_subscriber_keeps_to_its_bytes_in_any_13_seconds() -> None:
    source, front = a_source(2000), Front(timing=SubscriberTiming())
    spent: list[tuple[float, int]] = []
    while front.now < 120:
        before = front.subscriber.bytes_exchanged
        poll, data = exchange(front, source)
        front.step(PollAnswered(poll.poll_id, data))
        spent.append((front.now, front.subscriber.bytes_exchanged - before))
    for at, _ in spent:
        assert sum(size for when, size in spent if at <= when < at + 13) <= 39_000


def test_without_a_relay_to_ask_there_is_no_subscriber() -> None:
    with pytest.raises(ValueError):
        Subscriber("d", "f", [], random.Random(1))


# Fleets in virtual time


def a_tree(fronts: int = 45, **words: Any) -> Tree:
    tree = Tree(fronts=fronts, relays=6, regions=3, seed=4, **words)
    for number in range(150):
        tree.put(S, f"db/{number:04d}", b"x" * 200)
    for number in range(20):
        tree.put(N, f"nodes/{number}", b"y" * 150)
    assert tree.settle(300) is not None
    tree.measured = Measured()
    return tree


def worst(tree: Tree, lane: Lane) -> float:
    return max(tree.measured.latencies[lane])


def test_a_burst_is_known_everywhere_within_13_s_and_nodes_go_before_settings() -> None:
    tree = a_tree()
    keys = [f"db/{number:04d}" for number in range(150)]
    tree.put_at([tree.now + 0.12 * number for number in range(500)], S, keys)
    tree.put_at([tree.now + 20.0], N, ["nodes/1"])
    before, began = tree.bytes(), tree.now
    tree.run(tree.now + 60)
    after = tree.bytes()
    assert tree.settle(30) is not None
    assert worst(tree, S) < 13
    assert worst(tree, N) < 10
    assert len(tree.measured.latencies[N]) == 45
    assert len(tree.measured.latencies[S]) == 45 * 500
    assert max(after[name] - before[name] for name in after) / (tree.now - began) < 3000


def test_a_relay_killed_amid_a_change_and_all_of_a_region_s_relays() -> None:
    tree = a_tree()
    tree.put(S, "db/0001", b"amid")
    tree.run(tree.now + 1.0)
    for name in ("relay-00", "relay-03"):  # all of region 0
        tree.kill_relay(name)
    tree.put(S, "db/0002", b"after")
    assert tree.settle(40) is not None
    assert worst(tree, S) < 25
    tree.start_relay("relay-00")
    tree.run(tree.now + 120)
    home = [front for name, front in tree.subscribers.items() if tree.regions[name] == 0]
    assert sum(front.relays.current == "relay-00" for front in home) >= 5, "they come home"


def test_all_relays_down_while_fronts_restart_and_then_back_without_a_herd() -> None:
    tree = a_tree()
    for name in tree.relay_names:
        tree.kill_relay(name)
    tree.start_front(0, 0)
    tree.put(S, "db/0001", b"meanwhile")
    tree.run(tree.now + 3600)
    kept = [front for name, front in tree.subscribers.items() if name != "front-0000"]
    assert all(len(front.lanes[S].versions) == 150 for front in kept), "they serve on by what they have"
    assert tree.subscribers["front-0000"].epoch == 0
    assert all(front.age(tree.now) > 3500 for front in kept)
    for name in tree.relay_names:
        tree.start_relay(name)
    counts = Counter[int]()
    real = ChangeServer.answer

    def counted(self: ChangeServer, now: float, data: bytes) -> bytes | None:
        if self.name != SOURCE:
            counts[int(now)] += 1
        return real(self, now, data)

    with mock.patch.object(ChangeServer, "answer", counted):
        assert tree.settle(120) is not None
    assert max(counts.values()) < 45 * 2, "spread over seconds"


def test_a_region_cut_for_an_hour_is_brought_up_by_what_it_lacks() -> None:
    tree = a_tree(fronts=12)
    tree.cut = {2}
    keys = [f"db/{number:04d}" for number in range(150)]
    tree.put_at([tree.now + 2.0 * number for number in range(1800)], S, keys)
    tree.run(tree.now + 3601)
    behind = [front for name, front in tree.subscribers.items() if tree.regions[name] == 2]
    assert behind[0].age(tree.now) > 3590
    before = {name: front.bytes_exchanged for name, front in tree.subscribers.items()}
    tree.cut = set()
    assert tree.settle(120) is not None
    grew = [
        front.bytes_exchanged - before[name] for name, front in tree.subscribers.items() if front in behind
    ]
    assert max(grew) < 150 * 260 * 1.6 + 40 * 700, "each key once"


def test_a_new_epoch_of_the_source_reaches_all_and_the_old_one_never_comes_back() -> None:
    tree = a_tree(most_subscribers=200)
    old = tree.source
    new = tree.source = Source("emulated", SOURCE, 2)
    for number in range(100):
        new.put(tree.now, S, f"db/{number:04d}", b"z" * 100)
    assert tree.settle(200) is not None
    tree.source = old
    tree.run(tree.now + 30)
    assert all(front.epoch == 2 for front in tree.subscribers.values())
    assert all(len(front.lanes[S].versions) == 100 for front in tree.subscribers.values())


# Against a plain model


class Model(RuleBasedStateMachine):
    """Sources, two relays and two fronts, whose exchanges fail in every way; the model is what the sources
    had. Of no key a front ever goes back, and in the end it has what the last source has."""

    kind: type[Subscriber] = Subscriber
    log: type[LaneStore] = LaneStore

    def __init__(self) -> None:
        super().__init__()
        self.patch = mock.patch.object(store, "LaneStore", self.log)
        self.patch.start()
        self.now, self.epoch, self.dead = 0.0, 1, list[Source]()
        self.source = Source("d", SOURCE, 1)
        self.relays = [self.new_relay(0), self.new_relay(1)]
        self.fronts = [Front(["a", "b"], kind=self.kind) for _ in range(2)]
        self.seen: list[dict[str, Version]] = [{}, {}]
        self.epochs = [0, 0]
        self.old: list[tuple[int, SendPoll, bytes]] = []

    def teardown(self) -> None:
        try:
            self.end()
        finally:
            self.patch.stop()

    def new_relay(self, number: int) -> Relay:
        return Relay("d", f"r{number}", [[SOURCE]], random.Random(number))

    @rule(key=st.integers(0, 5), lane=st.sampled_from(Lane), value=st.binary(max_size=2))
    def put(self, key: int, lane: Lane, value: bytes) -> None:
        self.source.put(self.now, lane, f"{lane.name}/{key}", value)

    @rule(key=st.integers(0, 5), lane=st.sampled_from(Lane))
    def change_twice(self, key: int, lane: Lane) -> None:
        self.put(key, lane, b"1")
        self.put(key, lane, b"2")

    @rule(key=st.integers(0, 5), lane=st.sampled_from(Lane))
    def remove(self, key: int, lane: Lane) -> None:
        self.source.put(self.now, lane, f"{lane.name}/{key}", None)

    @rule(seconds=st.sampled_from([0.5, 3.0, store.TOMBSTONE_RETENTION + 1.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(number=st.integers(0, 1))
    def sync(self, number: int) -> None:
        self.now = max(self.now, sync(self.relays[number], self.source, self.now))

    @rule(number=st.integers(0, 1))
    def sync_from_an_old_source(self, number: int) -> None:
        if self.dead:
            relay, now = self.relays[number], max(self.now, self.relays[number].due())
            for action in relay.step(now):
                if isinstance(action, SendPoll):
                    relay.step(now, [PollAnswered(action.poll_id, self.dead[-1].answer(now, action.data))])
            self.now = now

    @rule(number=st.integers(0, 1))
    def restart_relay(self, number: int) -> None:
        self.relays[number] = self.new_relay(number)

    @rule()
    def new_epoch(self) -> None:
        self.epoch += 1
        self.dead.append(self.source)
        self.source = Source("d", SOURCE, self.epoch)

    @rule(
        front=st.integers(0, 1),
        relay=st.integers(0, 2),
        fate=st.sampled_from(["comes", "comes", "lost", "spoilt", "twice", "kept"]),
    )
    def ask(self, front: int, relay: int, fate: str) -> None:
        one = self.fronts[front]
        one.now = max(one.now, self.now)
        poll = one.poll()
        self.now = one.now
        server: ChangeServer = self.source if relay == 2 else self.relays[relay]
        data = server.answer(self.now, poll.data)
        assert data
        if fate == "kept":
            self.old.append((front, poll, data))
        if fate in ("lost", "kept"):
            one.step(PollAnswered(poll.poll_id, None))
            return
        if fate == "spoilt":
            data = data[:-1] + bytes([data[-1] ^ 1])
        self.look(data)
        for _ in range(2 if fate == "twice" else 1):
            one.step(PollAnswered(poll.poll_id, data))

    def look(self, data: bytes) -> None:
        try:
            reply = decode_reply("d", data)
        except WireError:
            return
        for part in reply.lanes:
            names = [entry.key for entry in part.changes]
            assert len(names) == len(set(names)), "a key is sent once"

    @precondition(lambda self: self.old)
    @rule()
    def an_old_reply_comes(self) -> None:
        front, poll, data = self.old.pop()
        self.fronts[front].step(PollAnswered(poll.poll_id, data))

    @invariant()
    def nothing_goes_back(self) -> None:
        for front, seen in zip(self.fronts, self.seen):
            for entry in front.delivered:
                if entry.value is not None:
                    assert entry.version > seen.get(entry.key, Version(0, 0)), "back"
                    seen[entry.key] = entry.version
            front.delivered.clear()
        epochs = [front.epoch for front in self.fronts]
        assert all(now >= before for before, now in zip(self.epochs, epochs)), "back to an older epoch"
        self.epochs = epochs

    def end(self) -> None:
        """Once everything works again all have what the source has."""
        for relay in self.relays:
            self.now = sync(relay, self.source, self.now + 20.0)
        for front in self.fronts:
            front.now = self.now + 20.0
            for _ in range(200):
                if front.ask(self.source).has_more is False and front.subscriber.failures == 0:
                    break
            assert front.values == true_values(self.source)
            assert front.epoch == self.epoch


def run(model: type[Model], phases: Collection[Phase] = tuple(Phase)) -> None:
    steps = settings(
        max_examples=120,
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
        database=None,
        phases=phases,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(model, settings=steps)


def test_all_cases_together_against_a_plain_model() -> None:
    run(Model)


class Unfenced(Subscriber):
    """Takes every epoch for the newest."""

    def send_poll(self, now: float) -> None:
        self.epoch = 0
        super().send_poll(now)

    def receive(self, now: float, event: PollAnswered) -> None:
        self.epoch = 0
        super().receive(now, event)


class Gullible(Subscriber):
    """Takes whatever comes, however late or old."""

    def step(self, now: float, events: Iterable[PollAnswered] = ()) -> list[SubscriberAction]:
        found = list(events)
        for event in found:
            self.pending_poll = event.poll_id
        return super().step(now, found)

    def continues_position(self, reply: Reply) -> bool:
        return True

    def apply_reply(self, now: float, reply: Reply) -> None:
        for known in self.lanes.values():
            known.versions = dict.fromkeys(known.versions, Version(0, 0))
        super().apply_reply(now, reply)


class EveryChange(LaneStore):
    """A log without coalescing."""

    def changes_since(self, since: int, max_bytes: int) -> ChangeBatch:  # noqa: ARG002 (it ignores the bound)
        places = range(len(self.log_numbers))
        found = [
            replace_version(self.entries[self.log_keys[place]], self.log_numbers[place])
            for place in places
            if self.log_numbers[place] > since and self.log_keys[place] in self.entries
        ]
        return ChangeBatch(found, self.last_number)


def replace_version(entry: Entry, number: int) -> Entry:
    return Entry(entry.key, Version(entry.version.epoch, number), entry.value)


class NoRemovals(Subscriber):
    """Keeps what a page no longer names."""

    def apply_lane(self, lane: Lane, part: records.LaneChanges) -> None:
        with mock.patch.object(type(self.lanes[lane]), "missing_in_page", lambda *_: []):
            super().apply_lane(lane, part)


@pytest.mark.parametrize(
    "words", [{"kind": Unfenced}, {"kind": Gullible}, {"log": EveryChange}, {"kind": NoRemovals}]
)
def test_wrong_variants_are_caught(words: dict[str, Any]) -> None:
    wrong = type("Wrong", (Model,), words)
    with pytest.raises(AssertionError):
        run(wrong, [Phase.generate])


def test_whole_copies_on_each_return_are_caught_by_their_bytes() -> None:
    """The third wrong variant: what a return costs goes with the keys and not with what is missing."""
    grew = []
    for whole in (False, True):
        source, front = a_source(1000), Front()
        front.ask_until_whole(source)
        before = front.subscriber.bytes_exchanged
        source.put(1.0, S, "k/0001", b"one change")
        if whole:
            front.subscriber.epoch, front.subscriber.lanes[S].position = 0, Position()
        front.ask_until_whole(source)
        grew.append(front.subscriber.bytes_exchanged - before)
    assert grew[0] < 1000 < 20 * grew[0] < grew[1]


def test_virtual_time_is_the_same_every_time() -> None:
    def play() -> tuple[dict[str, int], float]:
        tree = a_tree(links=Links(loss=0.05))
        tree.put(S, "db/0003", b"again")
        tree.run(tree.now + 20)
        return tree.bytes(), worst(tree, S)

    assert play() == play()
    assert math.isfinite(play()[1])
