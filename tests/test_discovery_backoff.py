"""When a client calls again a service that its whole fleet shares."""

from __future__ import annotations

import random

from cleatyoke.discovery.backoff import Backoff

PERIOD = 3.6


def fleet(clients: int) -> list[Backoff]:
    return [Backoff(random.Random(seed), clients, 0.075, 4, 0.25, PERIOD) for seed in range(clients)]


def busiest(times: list[float], window: float = 1.0) -> int:
    return max(sum(1 for other in times if time <= other < time + window) for time in times)


def test_a_fleet_that_lost_its_service_at_once_calls_again_spread_out() -> None:
    """Forty clients lose a service at the same moment, and would all call it again at the same moment."""
    delays = [backoff.delay_after_disconnect() for backoff in fleet(40)]
    assert max(delays) <= 3.0
    assert busiest(delays) <= 22, "some ten to fifteen a second, of forty at once"


def test_delays_grow_with_failures_and_stay_bounded() -> None:
    """An overloaded service answers nobody until calls that fail become fewer.

    But no call may begin later than a period after the one before, as a change then counts as reported.
    """
    at, calls = [0.0] * 40, []
    for client, backoff in enumerate(fleet(40)):
        while at[client] < 60.0:
            delay = backoff.delay_after_failure()
            assert delay <= PERIOD
            at[client] += delay
            calls.append(at[client])
    late = [time for time in calls if 30.0 <= time < 60.0]
    assert 60 <= len(late) <= 400, "every client still asks, and each at most every few seconds"
    assert busiest(late) <= 20


def test_at_the_bound_a_large_fleet_calls_once_a_period_each_and_evenly() -> None:
    """Delays drawn anew within the same bound make twice the calls."""
    calls = []
    for backoff in fleet(200):
        at = backoff.delay_after_disconnect()
        while at < 60.0:
            calls.append(at)
            at += backoff.delay_after_failure()
    late = [time for time in calls if 30.0 <= time < 60.0]
    assert 200 * 30 / PERIOD - 200 <= len(late) <= 200 * 30 / PERIOD + 200
    assert busiest(late) <= 200 / PERIOD * 1.5


def test_a_call_that_hung_is_followed_within_the_same_period() -> None:
    for backoff in fleet(200):
        backoff.delay_after_disconnect()
        for spent in (2.2, 0.0, 2.2, 5.0):
            assert abs(max(spent, PERIOD) - (spent + backoff.delay_after_failure(spent))) < 1e-9


def test_an_answer_ends_the_growth_and_a_small_fleet_hardly_waits() -> None:
    backoff = Backoff(random.Random(1), 40, 0.075, 4, 0.25, 100.0)
    grown = [backoff.delay_after_failure() for _ in range(200)][10:]
    assert max(grown) > 10.0
    assert max(backoff.delay_after_disconnect() for _ in range(200)) <= 3.0
    assert max(backoff.delay_after_disconnect(max_delay=1.3) for _ in range(200)) <= 1.3
    small = Backoff(random.Random(1), 4, 0.075, 4, 0.25, PERIOD)
    assert max(small.delay_after_failure() for _ in range(200)) <= 1.2


def test_clients_that_do_not_know_their_number_are_spread_over_the_whole_period() -> None:
    backoffs = [Backoff(random.Random(seed), float("inf"), 0.075, 4, 0.25, PERIOD) for seed in range(200)]
    for delays in (
        [backoff.delay_after_disconnect() for backoff in backoffs],
        [backoff.delay_after_failure() for backoff in backoffs],
    ):
        assert max(delays) <= PERIOD
    fresh = [
        Backoff(random.Random(seed), float("inf"), 0.075, 4, 0.25, PERIOD).delay_after_failure()
        for seed in range(200)
    ]
    assert busiest(fresh) <= 200 / PERIOD * 1.5
