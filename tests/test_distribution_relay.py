"""What a relay serves, and whom it accepts."""

from __future__ import annotations

import random

import pytest

from cleatyoke.distribution.records import (
    FORMAT_VERSION,
    Poll,
    Position,
    Rejection,
    encode,
)
from cleatyoke.distribution.relay import Relay, Source
from cleatyoke.distribution.server import PollAdmission
from cleatyoke.distribution.subscriber_messages import (
    PollAnswered,
    RelayChanged,
    SendPoll,
    SubscriberTiming,
)
from cleatyoke.emulation.distribution import SOURCE
from tests.distribution import (
    Front,
    S,
    a_source,
    relay_of,
    sync,
    true_values,
)


def test_a_relay_serves_nothing_before_it_has_a_complete_copy() -> None:
    relay, front = Relay("d", "relay", [[SOURCE]], random.Random(1)), Front(["a", "b"])
    assert front.exchange_with(relay).rejection is Rejection.NOT_READY
    assert front.subscriber.relays.index == 1
    sync(relay, a_source(), 0.0)
    assert front.exchange_with(relay).rejection is Rejection.NONE


def test_a_relay_forwards_changes_removals_and_its_age() -> None:
    source, front = a_source(), Front()
    relay = relay_of(source)
    front.exchange_with(relay)
    source.put(1.0, S, "k/0001", None)
    source.put(1.0, S, "k/0002", b"new")
    sync(relay, source, 5.0)
    front.now = 9.0
    reply = front.exchange_with(relay)
    assert front.values == true_values(source)
    assert reply.age == pytest.approx(front.now - relay.subscriber.current_as_of)
    assert front.subscriber.age(front.now) == pytest.approx(reply.age)


def test_a_restarted_relay_sends_a_subscriber_only_what_it_lacks() -> None:
    """A relay restarts: if that made its hundred subscribers copy all, their bytes would not suffice."""
    source = a_source(100)
    front = Front(["a", "b"])
    front.exchange_with(relay_of(source))
    source.put(1.0, S, "k/0001", b"new")
    source.put(1.0, S, "k/0050", None)
    source.put(1.0, S, "brief", b"")
    source.put(1.0, S, "brief", None)
    reply = front.exchange_with(relay_of(source, "fresh", 2.0))
    assert not reply.lanes[S].restarts
    assert len(reply.lanes[S].changes) == 3
    assert front.values == true_values(source)


def test_a_key_made_and_removed_between_two_polls_of_a_relay_is_removed_below_it() -> None:
    source, front = a_source(), Front(["a", "b"])
    late = relay_of(source, "late")
    source.put(1.0, S, "brief", b"x")
    front.exchange_with(relay_of(source, "early", 1.0))
    assert "brief" in front.values
    source.put(2.0, S, "brief", None)
    sync(late, source, 3.0)
    front.exchange_with(late)
    assert front.values == true_values(source)


def test_a_relay_goes_on_serving_its_epoch_until_the_next_copy_is_complete() -> None:
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
    assert serving
    assert serving.epoch == 5
    assert relay.next_store, "not complete yet"
    sync(relay, new, now)
    serving = relay.served_store()
    assert serving
    assert serving.epoch == 6
    assert len(serving.lanes[S].entries) == 4000


def test_a_relay_back_with_an_older_copy_takes_nobody_back() -> None:
    """A relay was cut off and returns with an older copy than its subscribers have."""
    source = a_source()
    relay, front = relay_of(source), Front(["a", "b"])
    source.put(1.0, S, "k/0000", b"newer")
    front.exchange_with(source)
    reply = front.exchange_with(relay)
    assert reply.rejection is Rejection.BEHIND
    assert front.values == true_values(source)
    sync(relay, source, front.now + 5)
    front.now += 5
    assert front.exchange_with(relay).rejection is Rejection.NONE


def test_two_relays_of_differing_epochs_leave_a_subscriber_with_the_newer() -> None:
    old, new = relay_of(a_source(5, epoch=5), "old"), relay_of(a_source(4, epoch=6), "new")
    front = Front(["a", "b"])
    for relay in (old, new, old, old, new, old):
        front.exchange_with(relay)
    assert front.epoch == 6
    assert len(front.values) == 4


def test_a_relay_admits_a_limited_number_and_those_that_left_free_capacity() -> None:
    admission = PollAdmission(2)
    assert admission.admit(0.0, "a")
    assert admission.admit(0.0, "b")
    assert not admission.admit(1.0, "c")
    assert admission.admit(10.0, "a")
    assert admission.admit(16.0, "c"), "b has not asked for long"
    assert not admission.admit(16.0, "d")
    assert len(admission.last_polled_at) == 2


def test_a_subscriber_that_a_full_relay_rejects_polls_the_next() -> None:
    source = a_source()
    full, front = Source("d", "full", 5, max_subscribers=0), Front(["a", "b"])
    assert front.exchange_with(full).rejection is Rejection.FULL
    assert isinstance(front.actions[-1], RelayChanged)
    front.exchange_with(source)
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
