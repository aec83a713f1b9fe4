"""Polls of a subscriber: timeouts, failover between relays, and the byte budget."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from cleatyoke.distribution.errors import NoRelayError
from cleatyoke.distribution.relay_selection import RelaySelector
from cleatyoke.distribution.subscriber import Subscriber
from cleatyoke.distribution.subscriber_messages import (
    PollAnswered,
    SubscriberTiming,
)
from tests.distribution import (
    UNLIMITED_TIMING,
    Front,
    exchange,
    make_source,
    source_values,
)


def test_subscriber_with_all_relays_down_polls_each_and_keeps_its_copy() -> None:
    """All relays are down for ten minutes: a front keeps its copy, and polls at a bounded rate."""
    source, front = make_source(), Front(["a", "b"], ["c"], timing=SubscriberTiming())
    front.exchange_with(source)
    started_at, polled = front.now, Counter[str]()
    while front.now < started_at + 600:
        polled[front.poll().relay] += 1
        front.step(PollAnswered(front.subscriber.poll_count, None))
    assert front.values == source_values(source)
    assert set(polled) == {"a", "b", "c"}
    assert 600 / 9 < sum(polled.values()) < 600, "at most 8 s between polls, at a bounded rate"
    assert front.subscriber.age(front.now) > 590


def test_poll_without_an_answer_fails_after_its_timeout() -> None:
    front = Front(["a", "b"])
    front.poll()
    polled_at = front.now
    assert front.subscriber.due() == polled_at + UNLIMITED_TIMING.answer_timeout
    front.now = polled_at + UNLIMITED_TIMING.answer_timeout
    front.step()
    assert front.subscriber.relays.index == 0
    assert front.subscriber.due() <= front.now + UNLIMITED_TIMING.retry_spread
    front.poll()
    front.now += UNLIMITED_TIMING.answer_timeout
    front.step()
    assert front.subscriber.relays.index == 1
    assert front.subscriber.due() <= front.now + UNLIMITED_TIMING.failover_spread


def test_subscriber_avoids_a_failed_relay_while_there_is_another() -> None:
    source, front = make_source(), Front(["a", "b"], ["far"])
    first_poll = front.poll()
    front.step(PollAnswered(first_poll.poll_id, None))
    second_poll = front.poll()
    assert second_poll.relay == first_poll.relay
    front.step(PollAnswered(second_poll.poll_id, None))
    third_poll = front.poll()
    assert third_poll.relay in "ab"
    assert third_poll.relay != first_poll.relay
    front.step(PollAnswered(third_poll.poll_id, None))
    front.step(PollAnswered(front.poll().poll_id, None))
    fourth_poll = front.poll()
    assert fourth_poll.relay == "far", "both relays of the own region have failed"
    front.step(PollAnswered(fourth_poll.poll_id, source.answer(front.now, fourth_poll.data)))
    assert front.values == source_values(source)


def test_subscriber_in_another_region_returns_to_its_own() -> None:
    """A region's relays fail briefly: their subscribers must not load another region's permanently."""
    source, front = make_source(), Front(["home"], ["far"], timing=SubscriberTiming(jitter=0.0))
    for _ in range(2):
        front.step(PollAnswered(front.poll().poll_id, None))
    relays = []
    for _ in range(40):
        poll = front.poll()
        relays.append(poll.relay)
        front.step(PollAnswered(poll.poll_id, source.answer(front.now, poll.data)))
    assert relays[0] == "far"
    assert relays[-1] == "home"


def test_relay_selector_retries_the_own_region_an_interval_after_a_failed_return() -> None:
    """A subscriber returns to its own region while that is still down, and fails over again.

    The interval starts again at the failed return, so that a region that is down is not polled continuously.
    """
    relays = RelaySelector([["home"], ["far"]], random.Random(1))
    relays.fail_over(0.0, 10.0)
    assert relays.current == "far"
    assert not relays.return_to_own_region(59.9, 60.0)
    assert relays.return_to_own_region(60.0, 60.0)
    assert relays.current == "home"
    relays.fail_over(70.0, 10.0)
    assert relays.current == "far"
    assert not relays.return_to_own_region(119.9, 60.0)
    assert relays.return_to_own_region(120.0, 60.0)
    assert relays.current == "home"


def test_subscriber_stays_within_its_byte_budget_in_any_13_seconds() -> None:
    source, front = make_source(2000), Front(timing=SubscriberTiming())
    exchanges: list[tuple[float, int]] = []
    while front.now < 120:
        before = front.subscriber.bytes_exchanged
        poll, data = exchange(front, source)
        front.step(PollAnswered(poll.poll_id, data))
        exchanges.append((front.now, front.subscriber.bytes_exchanged - before))
    for at, _ in exchanges:
        assert sum(size for when, size in exchanges if at <= when < at + 13) <= 39_000


def test_subscriber_without_relays_raises_an_error() -> None:
    with pytest.raises(NoRelayError, match="at least one relay"):
        Subscriber("d", "f", [], random.Random(1))
