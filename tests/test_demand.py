"""Demand meters: how a front measures what it is asked for."""

from __future__ import annotations

import random

from cleatyoke.coordination.demand import SPAN_SECONDS, DemandMeters


def test_a_chance_burst_moves_the_demand_less_than_a_lasting_change() -> None:
    """Where requests are few, chance alone makes one span several times another.

    Borrowing for such a burst takes quota from where it is needed; a real change must still count at once.
    """
    rng = random.Random(2)
    meters: DemandMeters[int] = DemandMeters()
    measured: list[float] = []
    at = 0.0
    now = 0.0
    for _ in range(400):  # two requests a second at a home of five units: 400 parts
        now += SPAN_SECONDS
        while at < now:
            meters.record(at, 1, 1.0, 5.0)
            at += rng.expovariate(2.0)
        measured.append(meters.demand(now)[1])
    later = sorted(measured[40:])
    assert 350 < sum(later) / len(later) < 450
    assert later[len(later) // 10] > 100
    assert later[-len(later) // 10] < 800
    for _ in range(8):  # then 28 a second: 5,600 parts
        now += SPAN_SECONDS
        for _ in range(7):
            meters.record(now, 1, 1.0, 5.0)
        demand = meters.demand(now)[1]
    assert demand > 5000
    for _ in range(8):
        now += SPAN_SECONDS
        demand = meters.demand(now)[1]
    assert demand < 500
