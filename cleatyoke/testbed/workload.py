"""Load generator: the requests of a scenario, drawn from its seed, so that each run sends the same ones."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from cleatyoke.testbed.scenario import RequestClassTerms, Scenario

TRACE_ID_STEP = 0x9E3779B97F4A7C15  # between the trace ids of a client's attempts; odd, so that few collide


@dataclass(slots=True, frozen=True)
class GeneratedRequest:
    """One request of a client."""

    at: float  # seconds after the load begins
    trace: str
    block: str
    volume: int
    front: int  # number of the front that it is sent to
    request_class: RequestClassTerms
    units: int
    object_draw: float  # from 0 to 1; decides whether it addresses a new or recent object

    def trace_of(self, number: int) -> str:
        """Return the trace id of an attempt; each has its own (protocol page, Clients to fronts)."""
        return f"{(int(self.trace, 16) + number * TRACE_ID_STEP) % (1 << 64):016x}"


def requests(scenario: Scenario) -> Iterator[GeneratedRequest]:
    """Yield the requests of a scenario in order of time.

    The order of the random draws determines the result, so it must not change.
    """
    load = scenario.load
    rng = random.Random(scenario.seed)
    at = 0.0
    while True:
        surge = load.surge_at <= at < load.surge_at + load.surge_duration
        at += rng.expovariate(load.rate * (load.surge_factor if surge else 1.0))
        if at > scenario.seconds:
            return
        volume = 0 if rng.random() < load.hot_share else rng.randrange(load.volumes)
        front_index = rng.randrange(load.fronts_per_volume)
        if load.skew_share and volume == 0 and rng.random() < load.skew_share:
            front_index = int(at / load.skew_period) % load.fronts_per_volume
        front = (volume // scenario.backends + front_index) % scenario.fronts
        trace, block = (f"{rng.getrandbits(64):016x}" for _ in range(2))
        request_class = rng.choices(
            scenario.request_classes, [choice.share for choice in scenario.request_classes]
        )[0]
        units = rng.randint(load.min_units, load.max_units)
        yield GeneratedRequest(at, trace, block, volume, front, request_class, units, rng.random())
