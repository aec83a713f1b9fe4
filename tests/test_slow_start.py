"""Slow start: how much a warming node is sent by one front and by all fronts together."""

import random

import pytest

from cleatyoke.scheduling.actions import (
    SendAttempt,
)
from cleatyoke.scheduling.events import (
    AttemptOutcome,
    EndpointUpdate,
    TimerFired,
    UpdateKind,
)
from cleatyoke.scheduling.node_table import DecayingRates
from tests.driven_front import DrivenFront, endpoint, plan_spec, settings


def units_sent_while_warming(front: DrivenFront, seconds: float, units: float = 2.0) -> float:
    """Return the units sent to node 1 under constant excess demand; each attempt is answered at once."""
    start, end = len(front.sent()), front.now + seconds
    while front.now < end:
        front.step(front.arrival(f"at{front.now:.2f}", units=units), at=front.now + 0.02)
        for name in [name for name, request in front.scheduler.requests.items() if request.in_flight]:
            front.finish(name, AttemptOutcome.SERVED, elapsed=0.02)
    return units * (len(front.sent()) - start)


def test_slow_start_many_fronts_send_no_more_than_the_configured_units() -> None:
    """Each front's even share is smaller than a request, and none has sent the node anything before."""
    total_units = 0.0
    for seed in range(60):
        front = DrivenFront(
            settings(front_count=60, seed=seed, slow_start_units=12.0, mean_request_units=2.0),
            [endpoint(1, 1, started_at=99.9)],
        )
        total_units += units_sent_while_warming(front, 1.0)
    assert 0.0 < total_units <= 24.0  # 12 a second are allowed; the rest is tolerance for random variation


def test_slow_start_rate_grows_from_a_fraction_of_the_usual_rate_to_all_of_it() -> None:
    front = DrivenFront(settings(safety={"slow_start_duration": 10.0}), [endpoint(1, 1)])
    usual = units_sent_while_warming(front, 20.0) / 20
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, started_at=front.now)]))
    assert 0.0 < units_sent_while_warming(front, 1.0) <= usual * 0.2 * 2.0 + 2.0 * 2
    front.now += 9.0
    assert units_sent_while_warming(front, 1.0) > usual * 0.8


def units_sent_by_utilization(utilization: float, has_usual_rate: bool = True) -> float:
    """Return the units that a front sends a warming node in its first seconds at a reported utilization."""
    front = DrivenFront(settings(safety={"slow_start_duration": 10.0}), [endpoint(1, 1), endpoint(2, 2)])
    for _ in range(20 * 20):  # two units every 0.05 s; to the other node if this one's rate is to be unknown
        front.now += 0.05
        name = f"warm{front.now:.2f}"
        node = 1 if has_usual_rate else 2
        front.request(name, shard=node, units=2.0)
        if name in front.scheduler.requests:
            front.finish(name, AttemptOutcome.SERVED, node_id=node, elapsed=0.02, utilization=utilization)
    if not has_usual_rate:
        front.scheduler.table.usual_rate.known.discard(1)
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, started_at=front.now)]))
    return units_sent_while_warming(front, 3.0)


def test_slow_start_rate_grows_as_reported_utilization_falls() -> None:
    """A restarted node must not be underused where the fronts' usual rates are far below its capacity."""
    full, half = units_sent_by_utilization(1.0), units_sent_by_utilization(0.5)
    assert full * 1.5 <= half <= full * 4
    assert units_sent_by_utilization(0.01) <= half * 1.2, "the factor for idle nodes is bounded"


def test_slow_start_without_a_usual_rate_uses_the_mean_one() -> None:
    """A front that was itself restarted has no usual rate of a warming node."""
    assert units_sent_by_utilization(0.5, has_usual_rate=False) >= units_sent_by_utilization(0.5) / 3


def test_slow_start_does_not_change_the_usual_rate() -> None:
    """A node that restarts repeatedly must not be sent ever less.

    That would happen if the low rate during a slow start were taken for the node's usual rate.
    """
    front = DrivenFront(settings(safety={"slow_start_duration": 10.0}), [endpoint(1, 1)])
    units_sent_while_warming(front, 10.0)
    usual = front.scheduler.table.usual_rate.get(1)
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, started_at=front.now)]))
    front.run_until(front.now + 8.0)
    front.request("a")
    assert front.scheduler.table.usual_rate.get(1) >= usual * 0.9


def test_slow_start_begins_again_at_a_listed_restart() -> None:
    front = DrivenFront(settings(slow_start_units=2.0), [endpoint(1, 1)])
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, started_at=99.5)]))
    front.step(front.arrival("a"), front.arrival("b"))
    assert front.sent() == []
    times = []
    for number in range(200):
        front.request(f"r{number}")
        times += [front.now] * len(
            [a for a in front.run_until(front.now + 0.02) if isinstance(a, SendAttempt)]
        )
    assert times[1] - times[0] > 0.8  # one unit each, at a rate of one unit a second that grows with time


def test_slow_start_does_not_limit_a_warm_node() -> None:
    front = DrivenFront(settings(slow_start_units=2.0), [endpoint(1, 1, started_at=89.0)])
    front.step(front.arrival("a"), front.arrival("b"))
    assert front.sent() == ["a", "b"]


def sends_to_a_warming_node(without_reserved_rates: bool = False) -> list[tuple[float, float]]:
    """Return time and units of each send to a node that starts together with all of its 40 fronts.

    The node's volumes use 10 of the fronts, and request their reserves in bursts. The reserves add up to four
    fifths of the node's capacity of 50 units a second.
    """
    rng, start, sends = random.Random(7), 100.0, []
    plan = plan_spec(reserved_rate=40.0 / 20, base_rate=2.5)
    limits = {"slow_start_duration": 14.0, "overload_after": 2.0, "slow_start_initial_fraction": 0.16}
    fronts = [
        DrivenFront(
            settings(
                None,
                [plan],
                limits,
                front_count=40,
                seed=seed,
                slow_start_units=16.0,
                mean_request_units=2.0,
            ),
            [endpoint(1, 1, started_at=start)],
            now=start,
        )
        for seed in range(10)
    ]
    arrivals = sorted(
        (start + rng.random() * 12.0, rng.randrange(20), number) for number in range(240)
    )  # of 20 volumes, two units each: 40 units a second
    while fronts[0].now < start + 12.0:
        for front in fronts:
            front.step(TimerFired(0), at=front.now + 0.02)
            if without_reserved_rates:
                front.scheduler.table.reserved_rate = DecayingRates()
        now = fronts[0].now
        while arrivals and arrivals[0][0] <= now:
            _, volume, number = arrivals.pop(0)
            fronts[volume % 10].request(f"r{number}", volume_id=volume, units=2.0, deadline=now + 1.0)
        for front in fronts:
            for name in [name for name, request in front.scheduler.requests.items() if request.in_flight]:
                sends.append((now, 2.0))
                front.finish(name, AttemptOutcome.SERVED, elapsed=0.04)
    return sends


def test_slow_start_fronts_restarted_together_use_reserved_rates_without_overload() -> None:
    """After a restart of all fronts, warming nodes would be underused at the configured units alone."""
    sends = sends_to_a_warming_node()
    for at, _ in sends:
        units = sum(size for when, size in sends if at - 2.0 < when <= at)
        capacity = 50.0 * (0.16 + 0.84 * (at - 100.0) / 14.0)
        assert units <= 2.0 * capacity * 2.0, at
    late = sum(units for when, units in sends if when > 106.0)
    without_reserves = sum(
        units for when, units in sends_to_a_warming_node(without_reserved_rates=True) if when > 106.0
    )
    assert late > 1.3 * without_reserves > 0


def test_slow_start_single_front_may_use_all_configured_units() -> None:
    front = DrivenFront(settings(front_count=1), [endpoint(1, 1, started_at=99.9)])
    front.request("a")
    front.run_until(101.9)
    assert front.sent() == ["a"]


@pytest.mark.parametrize("fronts", [0, -1])
def test_slow_start_unknown_front_count_is_not_taken_for_one(fronts: int) -> None:
    """The number of fronts is unknown, so a front has no share of a warming node's configured units.

    A warm node is sent requests at once. A warming one is sent requests within reserves only, as the reserves
    of all fronts add up to what the node serves.
    """
    front = DrivenFront(settings(front_count=fronts), [endpoint(1, 1), endpoint(2, 2, started_at=99.9)])
    assert front.request("warm") == [SendAttempt("warm", 1)]
    front.request("warming", shard=2)
    front.run_until(100.4)
    assert front.sent() == ["warm"]
    for number in range(100):
        front.request(f"r{number}", shard=2, units=1.0)
        front.run_until(front.now + 0.1)
        for name in [name for name, request in front.scheduler.requests.items() if request.in_flight]:
            front.finish(name, AttemptOutcome.SERVED, node_id=2)
    assert 10 <= len(front.sent()) < 100
