"""All hard cases of the distribution together against a plain model, and wrong programs that it catches."""

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
    Front,
    S,
    a_source,
    sync,
    true_values,
)


class Model(RuleBasedStateMachine):
    """Sources, two relays and two fronts, whose exchanges fail in every way.

    The model is what the sources had. Of no key a front ever goes back, and in the end it has what the last
    source has.
    """

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
        fate=st.sampled_from(["comes", "comes", "lost", "malformed", "twice", "kept"]),
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
        if fate == "malformed":
            data = data[:-1] + bytes([data[-1] ^ 1])
        self.check_each_key_once(data)
        for _ in range(2 if fate == "twice" else 1):
            one.step(PollAnswered(poll.poll_id, data))

    def check_each_key_once(self, data: bytes) -> None:
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
                if front.exchange_with(self.source).has_more is False and front.subscriber.failures == 0:
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


def test_fronts_and_relays_agree_with_a_plain_model() -> None:
    run(Model)


class Unfenced(Subscriber):
    """Accepts every epoch as the newest."""

    def send_poll(self, now: float) -> None:
        self.epoch = 0
        super().send_poll(now)

    def receive(self, now: float, event: PollAnswered) -> None:
        self.epoch = 0
        super().receive(now, event)


class Unchecked(Subscriber):
    """Applies whatever comes, however late or old."""

    def step(self, now: float, events: Iterable[PollAnswered] = ()) -> list[SubscriberAction]:
        found = list(events)
        for event in found:
            self.pending_poll = event.poll_id
        return super().step(now, found)

    def continues_position(self, reply: Reply) -> bool:  # noqa: ARG002 (it believes any)
        return True

    def apply_reply(self, now: float, reply: Reply) -> None:
        for known in self.lanes.values():
            known.versions = dict.fromkeys(known.versions, Version(0, 0))
        super().apply_reply(now, reply)


class EveryChange(LaneStore):
    """A log without coalescing."""

    def changes_since(self, since: int, max_bytes: int) -> ChangeBatch:  # noqa: ARG002 (it has no bound)
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
    """Keeps the keys that a page no longer names."""

    def apply_lane(self, lane: Lane, part: records.LaneChanges) -> None:
        with mock.patch.object(type(self.lanes[lane]), "missing_in_page", return_value=[]):
            super().apply_lane(lane, part)


@pytest.mark.parametrize(
    "words", [{"kind": Unfenced}, {"kind": Unchecked}, {"log": EveryChange}, {"kind": NoRemovals}]
)
def test_wrong_programs_are_caught(words: dict[str, Any]) -> None:
    wrong = type("Wrong", (Model,), words)
    with pytest.raises(AssertionError):
        run(wrong, [Phase.generate])


def test_complete_copies_on_each_return_are_caught_by_their_bytes() -> None:
    """A fifth wrong program: what a return costs goes with the keys, and not with what is missing."""
    grew = []
    for whole in (False, True):
        source, front = a_source(1000), Front()
        front.exchange_until_complete(source)
        before = front.subscriber.bytes_exchanged
        source.put(1.0, S, "k/0001", b"one change")
        if whole:
            front.subscriber.epoch, front.subscriber.lanes[S].position = 0, Position()
        front.exchange_until_complete(source)
        grew.append(front.subscriber.bytes_exchanged - before)
    assert grew[0] < 1000 < 20 * grew[0] < grew[1]
