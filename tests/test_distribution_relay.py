"""Tests of relays: the copies that they serve, and the subscribers that they admit."""

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
    SETTINGS,
    Front,
    make_source,
    make_synced_relay,
    source_values,
    sync_relay,
)


def test_relay_without_a_complete_copy_rejects_polls() -> None:
    relay, front = Relay("d", "relay", [[SOURCE]], random.Random(1)), Front(["a", "b"])
    assert front.exchange_with(relay).rejection is Rejection.NOT_READY
    assert front.subscriber.relays.index == 1
    sync_relay(relay, make_source(), 0.0)
    assert front.exchange_with(relay).rejection is Rejection.NONE


def test_relay_forwards_changes_removals_and_its_age() -> None:
    source, front = make_source(), Front()
    relay = make_synced_relay(source)
    front.exchange_with(relay)
    source.put(1.0, SETTINGS, "k/0001", None)
    source.put(1.0, SETTINGS, "k/0002", b"new")
    sync_relay(relay, source, 5.0)
    front.now = 9.0
    reply = front.exchange_with(relay)
    assert front.values == source_values(source)
    assert reply.age == pytest.approx(front.now - relay.subscriber.current_as_of)
    assert front.subscriber.age(front.now) == pytest.approx(reply.age)


def test_restarted_relay_sends_only_missing_changes() -> None:
    """If a relay's restart made its hundred subscribers copy everything, they would exceed their bytes."""
    source = make_source(100)
    front = Front(["a", "b"])
    front.exchange_with(make_synced_relay(source))
    source.put(1.0, SETTINGS, "k/0001", b"new")
    source.put(1.0, SETTINGS, "k/0050", None)
    source.put(1.0, SETTINGS, "brief", b"")
    source.put(1.0, SETTINGS, "brief", None)
    reply = front.exchange_with(make_synced_relay(source, "fresh", 2.0))
    assert not reply.lanes[SETTINGS].restarts
    assert len(reply.lanes[SETTINGS].changes) == 3
    assert front.values == source_values(source)


def test_key_removed_before_a_relay_polls_is_removed_at_its_subscribers() -> None:
    source, front = make_source(), Front(["a", "b"])
    late = make_synced_relay(source, "late")
    source.put(1.0, SETTINGS, "brief", b"x")
    front.exchange_with(make_synced_relay(source, "early", 1.0))
    assert "brief" in front.values
    source.put(2.0, SETTINGS, "brief", None)
    sync_relay(late, source, 3.0)
    front.exchange_with(late)
    assert front.values == source_values(source)


def test_relay_serves_its_epoch_until_the_next_copy_is_complete() -> None:
    old, new = make_source(4000, epoch=5), make_source(4000, epoch=6)
    relay = make_synced_relay(old)
    relay.subscriber.timing = SubscriberTiming(bytes_per_second=50_000, burst_bytes=50_000)
    relay.subscriber.budget.level = 50_000
    for _ in range(3):
        now = relay.due()
        for action in relay.step(now):
            if isinstance(action, SendPoll):
                data = new.answer(now, action.data)
                relay.step(now, [PollAnswered(action.poll_id, data)])
    served = relay.served_store()
    assert served
    assert served.epoch == 5
    assert relay.next_store, "the next copy is not complete yet"
    sync_relay(relay, new, now)
    served = relay.served_store()
    assert served
    assert served.epoch == 6
    assert len(served.lanes[SETTINGS].entries) == 4000


def test_relay_with_an_older_copy_rejects_subscribers_that_are_ahead() -> None:
    """A relay was disconnected and returns with an older copy than its subscribers have."""
    source = make_source()
    relay, front = make_synced_relay(source), Front(["a", "b"])
    source.put(1.0, SETTINGS, "k/0000", b"newer")
    front.exchange_with(source)
    reply = front.exchange_with(relay)
    assert reply.rejection is Rejection.BEHIND
    assert front.values == source_values(source)
    sync_relay(relay, source, front.now + 5)
    front.now += 5
    assert front.exchange_with(relay).rejection is Rejection.NONE


def test_subscriber_of_two_relays_with_different_epochs_keeps_the_newer() -> None:
    old, new = (
        make_synced_relay(make_source(5, epoch=5), "old"),
        make_synced_relay(make_source(4, epoch=6), "new"),
    )
    front = Front(["a", "b"])
    for relay in (old, new, old, old, new, old):
        front.exchange_with(relay)
    assert front.epoch == 6
    assert len(front.values) == 4


def test_poll_admission_limits_subscribers_and_frees_expired_ones() -> None:
    admission = PollAdmission(2)
    assert admission.admit(0.0, "a")
    assert admission.admit(0.0, "b")
    assert not admission.admit(1.0, "c")
    assert admission.admit(10.0, "a")
    assert admission.admit(16.0, "c"), "b has not polled within the timeout"
    assert not admission.admit(16.0, "d")
    assert len(admission.last_polled_at) == 2


def test_subscriber_rejected_by_a_full_relay_polls_the_next() -> None:
    source = make_source()
    full, front = Source("d", "full", 5, max_subscribers=0), Front(["a", "b"])
    assert front.exchange_with(full).rejection is Rejection.FULL
    assert isinstance(front.actions[-1], RelayChanged)
    front.exchange_with(source)
    assert front.values == source_values(source)


def test_relay_store_does_not_grow_with_subscribers() -> None:
    source = make_source(200)
    relay = make_synced_relay(source)
    lane = relay.store.lanes[SETTINGS] if relay.store else None
    assert lane
    before = len(lane.log_numbers), len(lane.entries)
    for number in range(2000):
        poll = Poll("d", FORMAT_VERSION, f"f{number % 500}", 1, 0, [Position(), Position()], 300)
        relay.answer(number * 0.001, encode(poll))
    assert (len(lane.log_numbers), len(lane.entries)) == before
    assert len(relay.admission.last_polled_at) <= 160
