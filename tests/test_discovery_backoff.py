"""Tests for the backoff of clients that share a service."""

from __future__ import annotations

import random

from cleatyoke.discovery.backoff import Backoff

PERIOD = 3.6


def fleet(clients: int) -> list[Backoff]:
    return [Backoff(random.Random(seed), clients, 0.075, 4, 0.25, PERIOD) for seed in range(clients)]


def max_calls_per_window(times: list[float], window: float = 1.0) -> int:
    return max(sum(1 for other in times if time <= other < time + window) for time in times)


def test_backoff_after_simultaneous_disconnects_spreads_calls() -> None:
    """Forty clients that lose a service at the same moment must not all call it again at the same moment."""
    delays = [backoff.delay_after_disconnect() for backoff in fleet(40)]
    assert max(delays) <= 3.0
    assert max_calls_per_window(delays) <= 22, (
        "ten to fifteen a second are expected, instead of forty at once"
    )


def test_backoff_after_repeated_failures_grows_within_its_bound() -> None:
    """An overloaded service answers nobody until the rate of failing calls falls.

    But no call may start later than a period after the previous one, as a change then counts as reported.
    """
    next_calls, calls = [0.0] * 40, []
    for client, backoff in enumerate(fleet(40)):
        while next_calls[client] < 60.0:
            delay = backoff.delay_after_failure()
            assert delay <= PERIOD
            next_calls[client] += delay
            calls.append(next_calls[client])
    late_calls = [time for time in calls if 30.0 <= time < 60.0]
    assert 60 <= len(late_calls) <= 400, "every client still calls, but at most once every few seconds"
    assert max_calls_per_window(late_calls) <= 20


def test_backoff_at_its_bound_spreads_one_call_per_client_over_each_period() -> None:
    """New random delays within the same bound would cause twice as many calls."""
    calls = []
    for backoff in fleet(200):
        now = backoff.delay_after_disconnect()
        while now < 60.0:
            calls.append(now)
            now += backoff.delay_after_failure()
    late_calls = [time for time in calls if 30.0 <= time < 60.0]
    assert 200 * 30 / PERIOD - 200 <= len(late_calls) <= 200 * 30 / PERIOD + 200
    assert max_calls_per_window(late_calls) <= 200 / PERIOD * 1.5


def test_backoff_after_a_hung_call_starts_the_next_within_the_same_period() -> None:
    for backoff in fleet(200):
        backoff.delay_after_disconnect()
        for elapsed in (2.2, 0.0, 2.2, 5.0):
            assert abs(max(elapsed, PERIOD) - (elapsed + backoff.delay_after_failure(elapsed))) < 1e-9


def test_backoff_after_a_disconnect_is_reset_and_is_short_for_a_small_fleet() -> None:
    backoff = Backoff(random.Random(1), 40, 0.075, 4, 0.25, 100.0)
    grown = [backoff.delay_after_failure() for _ in range(200)][10:]
    assert max(grown) > 10.0
    assert max(backoff.delay_after_disconnect() for _ in range(200)) <= 3.0
    assert max(backoff.delay_after_disconnect(max_delay=1.3) for _ in range(200)) <= 1.3
    small = Backoff(random.Random(1), 4, 0.075, 4, 0.25, PERIOD)
    assert max(small.delay_after_failure() for _ in range(200)) <= 1.2


def test_backoff_with_unknown_fleet_size_spreads_calls_over_the_whole_period() -> None:
    backoffs = [Backoff(random.Random(seed), float("inf"), 0.075, 4, 0.25, PERIOD) for seed in range(200)]
    for delays in (
        [backoff.delay_after_disconnect() for backoff in backoffs],
        [backoff.delay_after_failure() for backoff in backoffs],
    ):
        assert max(delays) <= PERIOD
    first_delays = [
        Backoff(random.Random(seed), float("inf"), 0.075, 4, 0.25, PERIOD).delay_after_failure()
        for seed in range(200)
    ]
    assert max_calls_per_window(first_delays) <= 200 / PERIOD * 1.5
