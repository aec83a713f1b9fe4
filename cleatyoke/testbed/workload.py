"""The load of a scenario, the same requests in every run and on every clock: who asks for what is drawn from
its seed. No socket, no clock.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from cleatyoke.testbed.scenario import RequestKind, Scenario

STEP = 0x9E3779B97F4A7C15  # from one id to the next: an odd number, so that few meet another's


@dataclass(slots=True, frozen=True)
class GeneratedRequest:
    """One request of a client."""

    at: float  # seconds after the load begins
    trace: str
    block: str
    volume: int
    front: int  # whom it is sent to
    kind: RequestKind
    units: int
    moves: float  # draws whether it writes a new object, or reads one written just before

    def trace_of(self, number: int) -> str:
        """Of its so-manieth try: new with each (protocol page, Clients to fronts)."""
        return f"{(int(self.trace, 16) + number * STEP) % (1 << 64):016x}"


def requests(scenario: Scenario) -> Iterator[GeneratedRequest]:
    load, rng, at = scenario.load, random.Random(scenario.seed), 0.0
    while True:
        surge = load.surge_at <= at < load.surge_at + load.surge_s
        at += rng.expovariate(load.rate * (load.surge if surge else 1.0))
        if at > scenario.seconds:
            return
        volume = 0 if rng.random() < load.hot else rng.randrange(load.volumes)
        place = rng.randrange(load.hosts)
        if load.skew and volume == 0 and rng.random() < load.skew:
            place = int(at / load.skew_s) % load.hosts
        front = (volume // scenario.boxes + place) % scenario.fronts
        trace, block = (f"{rng.getrandbits(64):016x}" for _ in range(2))
        kind = rng.choices(scenario.kinds, [one.share for one in scenario.kinds])[0]
        units = rng.randint(load.units, load.units_most)
        yield GeneratedRequest(at, trace, block, volume, front, kind, units, rng.random())
