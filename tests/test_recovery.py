"""When a host comes back to a service that its whole fleet shares."""

from __future__ import annotations

import random

from cleatyoke.discovery.backoff import Backoff

PERIOD = 3.6


def fleet(hosts: int) -> list[Backoff]:
    return [Backoff(random.Random(seed), hosts, 0.075, 4, 0.25, PERIOD) for seed in range(hosts)]


def busiest(times: list[float], window: float = 1.0) -> int:
    return max(sum(1 for other in times if time <= other < time + window) for time in times)


def test_a_fleet_that_lost_its_service_at_once_comes_back_spread_out() -> None:
    waits = [pace.broke() for pace in fleet(40)]
    assert max(waits) <= 3.0 and busiest(waits) <= 22, "some ten to fifteen a second, of forty at once"


def test_waits_grow_with_failures_and_stay_bounded() -> None:
    """Calls that fail must thin out until the service keeps up: a fixed pause kept it overbooked for good.
    But no call may begin later than a period after the one before, as a change then counts as told."""
    at, calls = [0.0] * 40, []
    for host, pace in enumerate(fleet(40)):
        while at[host] < 60.0:
            wait = pace.failed()
            assert wait <= PERIOD
            at[host] += wait
            calls.append(at[host])
    late = [time for time in calls if 30.0 <= time < 60.0]
    assert 60 <= len(late) <= 400, "every host still asks, and each at most every few seconds"
    assert busiest(late) <= 20


def test_at_the_bound_a_large_fleet_calls_once_a_period_each_and_evenly() -> None:
    """Waits drawn anew within the same bound make twice the calls."""
    calls = []
    for pace in fleet(200):
        at = pace.broke()
        while at < 60.0:
            calls.append(at)
            at += pace.failed()
    late = [time for time in calls if 30.0 <= time < 60.0]
    assert 200 * 30 / PERIOD - 200 <= len(late) <= 200 * 30 / PERIOD + 200
    assert busiest(late) <= 200 / PERIOD * 1.5


def test_a_call_that_hung_is_followed_within_the_same_period() -> None:
    for pace in fleet(200):
        pace.broke()
        for spent in (2.2, 0.0, 2.2, 5.0):
            assert abs(max(spent, PERIOD) - (spent + pace.failed(spent))) < 1e-9


def test_an_answer_ends_the_growth_and_a_small_fleet_hardly_waits() -> None:
    pace = Backoff(random.Random(1), 40, 0.075, 4, 0.25, 100.0)
    grown = [pace.failed() for _ in range(200)][10:]
    assert max(grown) > 10.0
    assert max(pace.broke() for _ in range(200)) <= 3.0
    assert max(pace.broke(within=1.3) for _ in range(200)) <= 1.3
    small = Backoff(random.Random(1), 4, 0.075, 4, 0.25, PERIOD)
    assert max(small.failed() for _ in range(200)) <= 1.2


def test_hosts_that_do_not_know_their_number_come_back_spread_over_the_whole_period() -> None:
    paces = [Backoff(random.Random(seed), float("inf"), 0.075, 4, 0.25, PERIOD) for seed in range(200)]
    for waits in ([pace.broke() for pace in paces], [pace.failed() for pace in paces]):
        assert max(waits) <= PERIOD
    fresh = [
        Backoff(random.Random(seed), float("inf"), 0.075, 4, 0.25, PERIOD).failed() for seed in range(200)
    ]
    assert busiest(fresh) <= 200 / PERIOD * 1.5
