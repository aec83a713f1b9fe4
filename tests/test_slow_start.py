"""Slow start: what a warming node is sent, by one front and by all together."""

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
    """Units sent to node 1 while more is always requested than it bears; each is answered at once."""
    start, end = len(front.sent()), front.now + seconds
    while front.now < end:
        front.step(front.arrival(f"at{front.now:.2f}", units=units), at=front.now + 0.02)
        for name in [name for name, held in front.scheduler.requests.items() if held.in_flight]:
            front.finish(name, AttemptOutcome.SERVED, elapsed=0.02)
    return units * (len(front.sent()) - start)


def test_many_fronts_together_send_a_warming_node_no_more_than_the_stated_units() -> None:
    """Each front's even share is smaller than a request, and none knows a rate of its own there."""
    total_slots = 0.0
    for seed in range(60):
        front = DrivenFront(
            settings(front_count=60, seed=seed, slow_start_units=12.0, mean_request_units=2.0),
            [endpoint(1, 1, started_at=99.9)],
        )
        total_slots += units_sent_while_warming(front, 1.0)
    assert 0.0 < total_slots <= 24.0  # 12 in a second are borne in any case; chance counts


def test_a_warming_node_is_sent_a_part_of_the_usual_rate_and_soon_all_of_it() -> None:
    front = DrivenFront(settings(safety={"slow_start_duration": 10.0}), [endpoint(1, 1)])
    usual = units_sent_while_warming(front, 20.0) / 20
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, started_at=front.now)]))
    assert 0.0 < units_sent_while_warming(front, 1.0) <= usual * 0.2 * 2.0 + 2.0 * 2
    front.now += 9.0
    assert units_sent_while_warming(front, 1.0) > usual * 0.8


def units_sent_by_utilization(busy: float, known: bool = True) -> float:
    """Units that a front sends a warming node in its first seconds, where nodes report so much in use."""
    front = DrivenFront(settings(safety={"slow_start_duration": 10.0}), [endpoint(1, 1), endpoint(2, 2)])
    for _ in range(20 * 20):  # two units in every 0.05 s, to the other node where this one is to be unknown
        front.now += 0.05
        name = f"warm{front.now:.2f}"
        node = 1 if known else 2
        front.request(name, shard=node, units=2.0)
        if name in front.scheduler.requests:
            front.finish(name, AttemptOutcome.SERVED, node_id=node, elapsed=0.02, utilization=busy)
    if not known:
        front.scheduler.table.usual_rate.known.discard(1)
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, started_at=front.now)]))
    return units_sent_while_warming(front, 3.0)


def test_load_reports_tell_how_much_more_than_usual_a_warming_node_may_be_sent() -> None:
    """Guards a fleet against starving a box that came back:

    all fronts' usual rates are far from its power.
    """
    full, half = units_sent_by_utilization(1.0), units_sent_by_utilization(0.5)
    assert full * 1.5 <= half <= full * 4
    assert units_sent_by_utilization(0.01) <= half * 1.2, "idle nodes do not free it altogether"


def test_a_front_that_knows_no_rate_at_a_warming_node_takes_its_mean_one() -> None:
    """A front that was restarted itself knows of no warming node from before."""
    assert units_sent_by_utilization(0.5, known=False) >= units_sent_by_utilization(0.5) / 3


def test_the_usual_rate_does_not_change_while_a_node_warms_up() -> None:
    """A node restarts a second time.

    What it was sent while it warmed up was little, and must not be taken for its usual rate, or it would be
    sent ever less.
    """
    front = DrivenFront(settings(safety={"slow_start_duration": 10.0}), [endpoint(1, 1)])
    units_sent_while_warming(front, 10.0)
    usual = front.scheduler.table.usual_rate.get(1)
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, started_at=front.now)]))
    front.run_until(front.now + 8.0)
    front.request("a")
    assert front.scheduler.table.usual_rate.get(1) >= usual * 0.9


def test_a_restart_in_the_list_begins_another_slow_start() -> None:
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
    assert times[1] - times[0] > 0.8  # a unit each, of one unit a second that grows as the node warms


def test_a_warm_node_is_not_held_back() -> None:
    front = DrivenFront(settings(slow_start_units=2.0), [endpoint(1, 1, started_at=89.0)])
    front.step(front.arrival("a"), front.arrival("b"))
    assert front.sent() == ["a", "b"]


def fleet_at_a_warming_node(forget: bool = False) -> list[tuple[float, float]]:
    """When and how many units 40 fronts send to a node that came up as they all started anew.

    Its volumes come through 10 of them, ask for their reserves in bunches, and those add up to four fifths of
    its 50.
    """
    rng, start, sends = random.Random(7), 100.0, []
    plan = plan_spec(reserved_rate=40.0 / 20, base_rate=2.5)
    figures = {"slow_start_duration": 14.0, "overload_after": 2.0, "slow_start_initial_fraction": 0.16}
    fronts = [
        DrivenFront(
            settings(
                None,
                [plan],
                figures,
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
    asks = sorted(
        (start + rng.random() * 12.0, rng.randrange(20), number) for number in range(240)
    )  # of 20 volumes, two units each: 40 a second
    while fronts[0].now < start + 12.0:
        for front in fronts:
            front.step(TimerFired(0), at=front.now + 0.02)
            if forget:
                front.scheduler.table.reserved_rate = DecayingRates()
        now = fronts[0].now
        while asks and asks[0][0] <= now:
            _, volume, number = asks.pop(0)
            fronts[volume % 10].request(f"r{number}", volume_id=volume, units=2.0, deadline=now + 1.0)
        for front in fronts:
            for name in [name for name, held in front.scheduler.requests.items() if held.in_flight]:
                sends.append((now, 2.0))
                front.finish(name, AttemptOutcome.SERVED, elapsed=0.04)
    return sends


def test_fronts_that_restarted_together_use_a_warming_node_more_and_never_overload_it() -> None:
    """All fronts restart at once. With the stated units alone, the warming nodes would stay unused."""
    sends = fleet_at_a_warming_node()
    for at, _ in sends:
        units = sum(one for when, one in sends if at - 2.0 < when <= at)
        power = 50.0 * (0.16 + 0.84 * (at - 100.0) / 14.0)
        assert units <= 2.0 * power * 2.0, at
    late = sum(units for when, units in sends if when > 106.0)
    alone = sum(units for when, units in fleet_at_a_warming_node(forget=True) if when > 106.0)
    assert late > 1.3 * alone > 0


def test_a_single_front_has_all_that_a_warming_node_bears() -> None:
    front = DrivenFront(settings(front_count=1), [endpoint(1, 1, started_at=99.9)])
    front.request("a")
    front.run_until(101.9)
    assert front.sent() == ["a"]


@pytest.mark.parametrize("fronts", [0, -1])
def test_an_unknown_number_of_fronts_is_not_one(fronts: int) -> None:
    """Nobody says how many fronts there are, so this one knows no share of what a warming node bears.

    A warm node is sent to at once. A warming one is sent what comes within reserves: all fronts' reserves add
    up to what it serves.
    """
    front = DrivenFront(settings(front_count=fronts), [endpoint(1, 1), endpoint(2, 2, started_at=99.9)])
    assert front.request("warm") == [SendAttempt("warm", 1)]
    front.request("warming", shard=2)
    front.run_until(100.4)
    assert front.sent() == ["warm"]
    for number in range(100):
        front.request(f"r{number}", shard=2, units=1.0)
        front.run_until(front.now + 0.1)
        for name in [name for name, held in front.scheduler.requests.items() if held.in_flight]:
            front.finish(name, AttemptOutcome.SERVED, node_id=2)
    assert 10 <= len(front.sent()) < 100
