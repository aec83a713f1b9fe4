"""When a host comes back to a service that its whole fleet shares."""

from __future__ import annotations

import random

from cleatyoke.recovery import Backoff


def fleet(hosts: int) -> list[Backoff]:
    return [Backoff(random.Random(seed), hosts, 0.075, 4, 0.25) for seed in range(hosts)]


def busiest(times: list[float], window: float = 1.0) -> int:
    return max(sum(1 for other in times if time <= other < time + window) for time in times)


def test_a_fleet_that_lost_its_service_at_once_comes_back_spread_out() -> None:
    waits = [backoff.broke() for backoff in fleet(40)]
    assert max(waits) <= 3.0 and busiest(waits) <= 22, "some ten to fifteen a second, of forty at once"


def test_waits_grow_with_failures_and_stay_bounded() -> None:
    """Calls that fail must thin out until the service keeps up: a fixed pause kept it overbooked for good."""
    at, calls = [0.0] * 40, []
    for host, backoff in enumerate(fleet(40)):
        while at[host] < 60.0:
            at[host] += backoff.failed()
            calls.append(at[host])
    late = [time for time in calls if 30.0 <= time < 60.0]
    assert 60 <= len(late) <= 400, "every host still asks, and each at most every few seconds"
    assert busiest(late) <= 20


def test_an_answer_ends_the_growth_and_a_small_fleet_hardly_waits() -> None:
    backoff = Backoff(random.Random(1), 40, 0.075, 4, 0.25)
    grown = [backoff.failed() for _ in range(200)][10:]
    assert max(grown) > 10.0
    assert max(backoff.broke() for _ in range(200)) <= 3.0
    small = Backoff(random.Random(1), 4, 0.075, 4, 0.25)
    assert max(small.failed() for _ in range(200)) <= 1.2
