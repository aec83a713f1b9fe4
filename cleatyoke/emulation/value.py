"""The value that a run achieved over time, and the value that it could have achieved. No clock.

For each volume and second, units within the reserve are worth the full weight of their class and plan, the
others the fraction ``WITHIN`` of it. A request served in time takes the best units still left of its second;
a late one then takes what remains, at its class's ``late_share`` (protocol page, Score).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from cleatyoke.testbed.front_settings import SURPLUS_VALUE_SHARE
from cleatyoke.testbed.scenario import RequestClassTerms, Scenario

SLOT_S = 0.25  # seconds; the ideal assigns the backends' power in slots of this length


@dataclass(slots=True, frozen=True)
class RequestTemplate:
    """What a client wanted, over all its attempts, and when it got it. Times are in seconds."""

    at: float  # when it was first sent
    volume: int
    kind: RequestClassTerms
    units: float
    served: float | None  # when its answer came; None: it never did

    def is_late(self) -> bool:
        """Return whether it was served, but after its latency objective."""
        return self.served is not None and self.served > self.at + self.kind.latency_objective

    def value(self, scenario: Scenario) -> float:
        """Return the full value of one of its units."""
        return self.kind.value * scenario.plan_of(self.volume).value_factor


@dataclass(slots=True)
class Reserves:
    """Units within the reserve that no request has taken yet, by volume and second."""

    scenario: Scenario
    left: dict[tuple[int, int], float] = field(default_factory=dict)

    @classmethod
    def of(cls, scenario: Scenario, requests: Iterable[RequestTemplate]) -> Reserves:
        """Return the reserves that these requests may take from, all untouched."""
        wanted: defaultdict[tuple[int, int], float] = defaultdict(float)
        for request in requests:
            wanted[_second_of(request)] += request.units
        return cls(
            scenario,
            {second: min(units, scenario.plan_of(second[0]).reserve) for second, units in wanted.items()},
        )

    def unit_value(self, request: RequestTemplate) -> float:
        """Return what a unit of the request is worth on average if it is served in time now."""
        within = min(1.0, self.left.get(_second_of(request), 0.0) / request.units)
        return request.value(self.scenario) * (within + (1 - within) * SURPLUS_VALUE_SHARE)

    def take(self, request: RequestTemplate) -> float:
        """Serve the request from the reserves and return its value."""
        value = self.unit_value(request) * request.units
        second = _second_of(request)
        self.left[second] = max(0.0, self.left.get(second, 0.0) - request.units)
        return value


def _second_of(request: RequestTemplate) -> tuple[int, int]:
    return request.volume, int(request.at)


def achieved_value(scenario: Scenario, requests: Sequence[RequestTemplate]) -> list[float]:
    """Return what each request, by its place in the sequence, contributed to the run's value."""
    reserves = Reserves.of(scenario, requests)
    values = [0.0] * len(requests)
    served = [place for place, request in enumerate(requests) if request.served is not None]
    for place in sorted(served, key=lambda place: (requests[place].is_late(), requests[place].served)):
        request = requests[place]
        values[place] = reserves.take(request) * (request.kind.late_value_share if request.is_late() else 1.0)
    return values


def full_value(scenario: Scenario, requests: Sequence[RequestTemplate]) -> list[float]:
    """Return what each request would contribute if all were served in time, in the order of their arrival."""
    reserves = Reserves.of(scenario, requests)
    values = [0.0] * len(requests)
    for place in sorted(range(len(requests)), key=lambda place: requests[place].at):
        values[place] = reserves.take(requests[place])
    return values


def ideal_value(
    scenario: Scenario, requests: Sequence[RequestTemplate], power: Callable[[int, float], float]
) -> list[float]:
    """Return what each request would contribute under a scheduler that sees everything.

    Of each shard, slot by slot, what its backend can do at that moment goes to the requests with the most
    value a unit that have not missed their latency objective. ``power``: units a second of a shard at a time.
    """
    reserves = Reserves.of(scenario, requests)
    values = [0.0] * len(requests)
    by_shard: defaultdict[int, list[int]] = defaultdict(list)
    for place in sorted(range(len(requests)), key=lambda place: requests[place].at, reverse=True):
        by_shard[requests[place].volume % scenario.backends].append(place)
    for shard, upcoming in by_shard.items():
        waiting: list[int] = []
        slot = 0
        capacity = 0.0
        while upcoming or waiting:
            now = slot * SLOT_S
            while upcoming and requests[upcoming[-1]].at < now + SLOT_S:
                waiting.append(upcoming.pop())
            waiting = [
                one for one in waiting if requests[one].at + requests[one].kind.latency_objective > now
            ]
            capacity = min(0.0, capacity) + power(shard, now + SLOT_S / 2) * SLOT_S
            while waiting and capacity > 0:
                best = max(waiting, key=lambda one: reserves.unit_value(requests[one]))
                waiting.remove(best)
                capacity -= requests[best].units
                values[best] = reserves.take(requests[best])
            slot += 1
    return values


def value_over_time(
    requests: Sequence[RequestTemplate], values: Sequence[float], began: float, step: float = 1.0
) -> list[float]:
    """Return the sums of ``values`` by the step, of ``step`` seconds from ``began`` on, of the first send."""
    sums: defaultdict[int, float] = defaultdict(float)
    for request, value in zip(requests, values):
        sums[int((request.at - began) / step)] += value
    return [sums[place] for place in range(max(sums, default=0) + 1)]
