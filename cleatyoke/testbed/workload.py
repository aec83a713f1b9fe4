"""The load of a scenario, the same requests in every run and on every clock: who asks for what is drawn from
its seed. No socket, no clock.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from cleatyoke.testbed.scenario import RequestClassTerms, Scenario

STEP = 0x9E3779B97F4A7C15  # from one id to the next: an odd number, so that few meet another's


@dataclass(slots=True, frozen=True)
class GeneratedRequest:
    """One request of a client."""

    at: float  # seconds after the load begins
    trace: str
    block: str
    volume: int
    front: int  # whom it is sent to
    request_class: RequestClassTerms
    units: int
    object_draw: float  # draws whether it writes a new object, or reads one written just before

    def trace_of(self, number: int) -> str:
        """Of its so-manieth try: new with each (protocol page, Clients to fronts)."""
        return f"{(int(self.trace, 16) + number * STEP) % (1 << 64):016x}"


def requests(scenario: Scenario) -> Iterator[GeneratedRequest]:
    load, rng, at = scenario.load, random.Random(scenario.seed), 0.0
    while True:
        surge = load.surge_at <= at < load.surge_at + load.surge_duration
        at += rng.expovariate(load.rate * (load.surge_factor if surge else 1.0))
        if at > scenario.seconds:
            return
        volume = 0 if rng.random() < load.hot_share else rng.randrange(load.volumes)
        place = rng.randrange(load.fronts_per_volume)
        if load.skew_share and volume == 0 and rng.random() < load.skew_share:
            place = int(at / load.skew_period) % load.fronts_per_volume
        front = (volume // scenario.backends + place) % scenario.fronts
        trace, block = (f"{rng.getrandbits(64):016x}" for _ in range(2))
        kind = rng.choices(scenario.request_classes, [one.share for one in scenario.request_classes])[0]
        units = rng.randint(load.min_units, load.max_units)
        yield GeneratedRequest(at, trace, block, volume, front, kind, units, rng.random())
