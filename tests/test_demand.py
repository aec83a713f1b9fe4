"""Demand meters: how a front measures the demand for a resource."""

from __future__ import annotations

import random

from cleatyoke.coordination.demand import WINDOW_SECONDS, DemandMeters


def test_demand_after_a_random_burst_moves_less_than_after_a_lasting_change() -> None:
    """Guards against borrowing for random bursts, which takes quota from fronts that need it.

    At low request rates, the counts of two windows can differ several times over by chance alone. A lasting
    change must still take effect at once.
    """
    rng = random.Random(2)
    meters: DemandMeters[int] = DemandMeters()
    measured: list[float] = []
    at = 0.0
    now = 0.0
    for _ in range(400):  # two requests a second at a home quota of five units a second: 400 parts
        now += WINDOW_SECONDS
        while at < now:
            meters.record(at, 1, 1.0, 5.0)
            at += rng.expovariate(2.0)
        measured.append(meters.demand(now)[1])
    settled = sorted(measured[40:])
    assert 350 < sum(settled) / len(settled) < 450
    assert settled[len(settled) // 10] > 100
    assert settled[-len(settled) // 10] < 800
    for _ in range(8):  # then 28 a second: 5,600 parts
        now += WINDOW_SECONDS
        for _ in range(7):
            meters.record(now, 1, 1.0, 5.0)
        demand = meters.demand(now)[1]
    assert demand > 5000
    for _ in range(8):
        now += WINDOW_SECONDS
        demand = meters.demand(now)[1]
    assert demand < 500
