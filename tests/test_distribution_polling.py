"""Whom a subscriber polls and when: timeouts, failover between relays, and the byte budget."""

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
    AMPLE,
    Front,
    a_source,
    exchange,
    true_values,
)


def test_with_all_relays_down_each_is_polled_in_turn_and_the_copy_stays() -> None:
    """All relays are down for ten minutes: fronts serve on by what they have, and send no storm of polls."""
    source, front = a_source(), Front(["a", "b"], ["c"], timing=SubscriberTiming())
    front.exchange_with(source)
    began, asked = front.now, Counter[str]()
    while front.now < began + 600:
        asked[front.poll().relay] += 1
        front.step(PollAnswered(front.subscriber.poll_count, None))
    assert front.values == true_values(source)
    assert set(asked) == {"a", "b", "c"}
    assert 600 / 9 < sum(asked.values()) < 600, "8 s at the most between two, and no storm"
    assert front.subscriber.age(front.now) > 590


def test_a_poll_without_an_answer_fails_after_its_timeout() -> None:
    front = Front(["a", "b"])
    front.poll()
    asked = front.now
    assert front.subscriber.due() == asked + AMPLE.answer_timeout
    front.now = asked + AMPLE.answer_timeout
    front.step()
    assert front.subscriber.relays.index == 0
    assert front.subscriber.due() <= front.now + AMPLE.retry_spread
    front.poll()
    front.now += AMPLE.answer_timeout
    front.step()
    assert front.subscriber.relays.index == 1
    assert front.subscriber.due() <= front.now + AMPLE.failover_spread


def test_a_relay_that_failed_is_avoided_while_there_is_another() -> None:
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


def test_a_subscriber_of_another_region_returns_to_its_own() -> None:
    """A region's relays fail for a moment: their subscribers must not load another's for good."""
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


def test_a_subscriber_whose_return_fails_tries_again_an_interval_after_that_return() -> None:
    """A subscriber returns to its own region while that is still down, and goes back to the other one.

    The interval counts from the return that failed, so that a region that is down is not polled all the time.
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


def test_a_subscriber_without_relays_is_an_error() -> None:
    with pytest.raises(NoRelayError, match="at least one relay"):
        Subscriber("d", "f", [], random.Random(1))
