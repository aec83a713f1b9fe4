"""Stateful test of the distribution against a model, and faulty implementations that it must detect."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from typing import Any
from unittest import mock

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
from cleatyoke.distribution.records import (
    Entry,
    Lane,
    Position,
    Reply,
    Version,
    decode_reply,
)
from cleatyoke.distribution.relay import ChangeServer, Relay, Source
from cleatyoke.distribution.store import ChangeBatch, LaneStore
from cleatyoke.distribution.subscriber import Subscriber
from cleatyoke.distribution.subscriber_messages import (
    PollAnswered,
    SendPoll,
    SubscriberAction,
)
from cleatyoke.emulation.distribution import SOURCE
from cleatyoke.transport.encoding import WireError
from tests.distribution import (
    SETTINGS,
    Front,
    make_source,
    source_values,
    sync_relay,
)


class Model(RuleBasedStateMachine):
    """Sources, two relays and two fronts whose exchanges are lost, corrupted, duplicated or delayed.

    The model is the content of the sources. A front must never get an older version of a key, and in the end
    it must have the content of the last source.
    """

    kind: type[Subscriber] = Subscriber
    log: type[LaneStore] = LaneStore

    def __init__(self) -> None:
        super().__init__()
        self.patch = mock.patch.object(store, "LaneStore", self.log)
        self.patch.start()
        self.now, self.epoch, self.stopped_sources = 0.0, 1, list[Source]()
        self.source = Source("d", SOURCE, 1)
        self.relays = [self.new_relay(0), self.new_relay(1)]
        self.fronts = [Front(["a", "b"], kind=self.kind) for _ in range(2)]
        self.delivered_versions: list[dict[str, Version]] = [{}, {}]
        self.epochs = [0, 0]
        self.held_replies: list[tuple[int, SendPoll, bytes]] = []

    def teardown(self) -> None:
        try:
            self.check_convergence()
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
    def sync_relay(self, number: int) -> None:
        self.now = max(self.now, sync_relay(self.relays[number], self.source, self.now))

    @rule(number=st.integers(0, 1))
    def sync_relay_from_old_source(self, number: int) -> None:
        if self.stopped_sources:
            relay, now = self.relays[number], max(self.now, self.relays[number].due())
            for action in relay.step(now):
                if isinstance(action, SendPoll):
                    relay.step(
                        now, [PollAnswered(action.poll_id, self.stopped_sources[-1].answer(now, action.data))]
                    )
            self.now = now

    @rule(number=st.integers(0, 1))
    def restart_relay(self, number: int) -> None:
        self.relays[number] = self.new_relay(number)

    @rule()
    def new_epoch(self) -> None:
        self.epoch += 1
        self.stopped_sources.append(self.source)
        self.source = Source("d", SOURCE, self.epoch)

    @rule(
        front=st.integers(0, 1),
        relay=st.integers(0, 2),
        delivery=st.sampled_from(["delivered", "delivered", "lost", "malformed", "duplicated", "held"]),
    )
    def attempt_exchange(self, front: int, relay: int, delivery: str) -> None:
        client = self.fronts[front]
        client.now = max(client.now, self.now)
        poll = client.poll()
        self.now = client.now
        server: ChangeServer = self.source if relay == 2 else self.relays[relay]
        data = server.answer(self.now, poll.data)
        assert data
        if delivery == "held":
            self.held_replies.append((front, poll, data))
        if delivery in ("lost", "held"):
            client.step(PollAnswered(poll.poll_id, None))
            return
        if delivery == "malformed":
            data = data[:-1] + bytes([data[-1] ^ 1])
        self.check_each_key_once(data)
        for _ in range(2 if delivery == "duplicated" else 1):
            client.step(PollAnswered(poll.poll_id, data))

    def check_each_key_once(self, data: bytes) -> None:
        try:
            reply = decode_reply("d", data)
        except WireError:
            return
        for lane_changes in reply.lanes:
            names = [entry.key for entry in lane_changes.changes]
            assert len(names) == len(set(names)), "a key is sent twice in a reply"

    @precondition(lambda self: self.held_replies)
    @rule()
    def answer_late(self) -> None:
        front, poll, data = self.held_replies.pop()
        self.fronts[front].step(PollAnswered(poll.poll_id, data))

    @invariant()
    def versions_never_decrease(self) -> None:
        for front, delivered_versions in zip(self.fronts, self.delivered_versions):
            for entry in front.delivered:
                if entry.value is not None:
                    assert entry.version > delivered_versions.get(entry.key, Version(0, 0)), (
                        "older version delivered"
                    )
                    delivered_versions[entry.key] = entry.version
            front.delivered.clear()
        epochs = [front.epoch for front in self.fronts]
        assert all(now >= before for before, now in zip(self.epochs, epochs)), "epoch has decreased"
        self.epochs = epochs

    def check_convergence(self) -> None:
        """Check that all have the content of the source once all exchanges succeed."""
        for relay in self.relays:
            self.now = sync_relay(relay, self.source, self.now + 20.0)
        for front in self.fronts:
            front.now = self.now + 20.0
            for _ in range(200):
                if front.exchange_with(self.source).has_more is False and front.subscriber.failures == 0:
                    break
            assert front.values == source_values(self.source)
            assert front.epoch == self.epoch


def run_model(model: type[Model], phases: Collection[Phase] = tuple(Phase)) -> None:
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


def test_fronts_and_relays_agree_with_the_model() -> None:
    run_model(Model)


class AcceptsEveryEpoch(Subscriber):
    """Faulty subscriber that accepts every epoch as the newest."""

    def send_poll(self, now: float) -> None:
        self.epoch = 0
        super().send_poll(now)

    def receive(self, now: float, event: PollAnswered) -> None:
        self.epoch = 0
        super().receive(now, event)


class AppliesEveryReply(Subscriber):
    """Faulty subscriber that applies every reply, however late or old."""

    def step(self, now: float, events: Iterable[PollAnswered] = ()) -> list[SubscriberAction]:
        received = list(events)
        for event in received:
            self.pending_poll = event.poll_id
        return super().step(now, received)

    def continues_position(self, reply: Reply) -> bool:  # noqa: ARG002 (accepts every reply)
        return True

    def apply_reply(self, now: float, reply: Reply) -> None:
        for known in self.lanes.values():
            known.versions = dict.fromkeys(known.versions, Version(0, 0))
        super().apply_reply(now, reply)


class UncoalescedLog(LaneStore):
    """Faulty store whose log is not coalesced."""

    def changes_since(self, since: int, max_bytes: int) -> ChangeBatch:  # noqa: ARG002 (has no limit)
        slots = range(len(self.log_numbers))
        versions_since = [
            replace_version(self.entries[self.log_keys[slot]], self.log_numbers[slot])
            for slot in slots
            if self.log_numbers[slot] > since and self.log_keys[slot] in self.entries
        ]
        return ChangeBatch(versions_since, self.last_number)


def replace_version(entry: Entry, number: int) -> Entry:
    return Entry(entry.key, Version(entry.version.epoch, number), entry.value)


class IgnoresRemovals(Subscriber):
    """Faulty subscriber that keeps keys that a page no longer lists."""

    def apply_lane(self, lane: Lane, changes: records.LaneChanges) -> None:
        with mock.patch.object(type(self.lanes[lane]), "missing_in_page", return_value=[]):
            super().apply_lane(lane, changes)


@pytest.mark.parametrize(
    "words",
    [
        {"kind": AcceptsEveryEpoch},
        {"kind": AppliesEveryReply},
        {"log": UncoalescedLog},
        {"kind": IgnoresRemovals},
    ],
)
def test_model_detects_faulty_implementations(words: dict[str, Any]) -> None:
    faulty = type("Wrong", (Model,), words)
    with pytest.raises(AssertionError):
        run_model(faulty, [Phase.generate])


def test_subscriber_that_copies_again_uses_more_bytes_than_the_missing_changes() -> None:
    """A subscriber that copies all keys again has the right content, so only its bytes show the fault.

    After a disconnection, the bytes must depend on the missing changes and not on the number of keys.
    """
    used = []
    for copies_again in (False, True):
        source, front = make_source(1000), Front()
        front.exchange_until_up_to_date(source)
        before = front.subscriber.bytes_exchanged
        source.put(1.0, SETTINGS, "k/0001", b"one change")
        if copies_again:
            front.subscriber.epoch, front.subscriber.lanes[SETTINGS].position = 0, Position()
        front.exchange_until_up_to_date(source)
        used.append(front.subscriber.bytes_exchanged - before)
    assert used[0] < 1000 < 20 * used[0] < used[1]
