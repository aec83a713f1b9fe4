"""The value that a run achieved over time, and the value that it could have achieved. Uses no clock.

For each volume and second, units within the plan's reserve have the full value of their class and plan, all
others the fraction ``SURPLUS_VALUE_SHARE`` of it. Requests served in time are counted against the reserve of
their second first; late ones get what remains of it, at the ``late_value_share`` of their class (protocol
page, Score).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from cleatyoke.testbed.front_settings import SURPLUS_VALUE_SHARE
from cleatyoke.testbed.scenario import RequestClassTerms, Scenario

SLOT_S = 0.25  # seconds; the ideal schedule assigns the backends' capacity in slots of this length


@dataclass(slots=True, frozen=True)
class LogicalRequest:
    """A client's request over all its retries, and when it was served. Times are in seconds."""

    at: float  # when it was first sent
    volume: int
    kind: RequestClassTerms
    units: float
    served: float | None  # when its answer arrived; None if it was never served

    def is_late(self) -> bool:
        """Return whether it was served, but after its latency objective."""
        return self.served is not None and self.served > self.at + self.kind.latency_objective

    def value(self, scenario: Scenario) -> float:
        """Return the full value of one unit."""
        return self.kind.value * scenario.plan_of(self.volume).value_factor


@dataclass(slots=True)
class Reserves:
    """Units of the reserves that no request has used yet, by volume and second."""

    scenario: Scenario
    remaining: dict[tuple[int, int], float] = field(default_factory=dict)

    @classmethod
    def of(cls, scenario: Scenario, requests: Iterable[LogicalRequest]) -> Reserves:
        """Return the unused reserves for the volumes and seconds of these requests."""
        demand: defaultdict[tuple[int, int], float] = defaultdict(float)
        for request in requests:
            demand[_second_of(request)] += request.units
        return cls(
            scenario,
            {second: min(units, scenario.plan_of(second[0]).reserve) for second, units in demand.items()},
        )

    def unit_value(self, request: LogicalRequest) -> float:
        """Return the mean value of the request's units if it is served in time and next."""
        within = min(1.0, self.remaining.get(_second_of(request), 0.0) / request.units)
        return request.value(self.scenario) * (within + (1 - within) * SURPLUS_VALUE_SHARE)

    def take(self, request: LogicalRequest) -> float:
        """Count the request against the reserves and return its value."""
        value = self.unit_value(request) * request.units
        second = _second_of(request)
        self.remaining[second] = max(0.0, self.remaining.get(second, 0.0) - request.units)
        return value


def _second_of(request: LogicalRequest) -> tuple[int, int]:
    return request.volume, int(request.at)


def achieved_value(scenario: Scenario, requests: Sequence[LogicalRequest]) -> list[float]:
    """Return the value that each request contributed to the run, in the order of ``requests``."""
    reserves = Reserves.of(scenario, requests)
    values = [0.0] * len(requests)
    served = [index for index, request in enumerate(requests) if request.served is not None]
    for index in sorted(served, key=lambda index: (requests[index].is_late(), requests[index].served)):
        request = requests[index]
        values[index] = reserves.take(request) * (request.kind.late_value_share if request.is_late() else 1.0)
    return values


def full_value(scenario: Scenario, requests: Sequence[LogicalRequest]) -> list[float]:
    """Return the value of each request if all were served in time and in the order of their arrival."""
    reserves = Reserves.of(scenario, requests)
    values = [0.0] * len(requests)
    for index in sorted(range(len(requests)), key=lambda index: requests[index].at):
        values[index] = reserves.take(requests[index])
    return values


def ideal_value(
    scenario: Scenario, requests: Sequence[LogicalRequest], power: Callable[[int, float], float]
) -> list[float]:
    """Return the value of each request under a scheduler with complete knowledge.

    In each slot, the capacity of a shard's backend goes to the waiting requests with the highest value per
    unit that have not missed their latency objective. ``power``: the capacity of a shard at a time, units per
    second.
    """
    reserves = Reserves.of(scenario, requests)
    values = [0.0] * len(requests)
    by_shard: defaultdict[int, list[int]] = defaultdict(list)
    for index in sorted(range(len(requests)), key=lambda index: requests[index].at, reverse=True):
        by_shard[requests[index].volume % scenario.backends].append(index)
    for shard, upcoming in by_shard.items():
        waiting: list[int] = []
        slot = 0
        capacity = 0.0
        while upcoming or waiting:
            now = slot * SLOT_S
            while upcoming and requests[upcoming[-1]].at < now + SLOT_S:
                waiting.append(upcoming.pop())
            waiting = [
                index
                for index in waiting
                if requests[index].at + requests[index].kind.latency_objective > now
            ]
            capacity = min(0.0, capacity) + power(shard, now + SLOT_S / 2) * SLOT_S
            while waiting and capacity > 0:
                best = max(waiting, key=lambda index: reserves.unit_value(requests[index]))
                waiting.remove(best)
                capacity -= requests[best].units
                values[best] = reserves.take(requests[best])
            slot += 1
    return values


def value_over_time(
    requests: Sequence[LogicalRequest], values: Sequence[float], began: float, step: float = 1.0
) -> list[float]:
    """Return the sums of ``values`` by the time of first sending, per ``step`` seconds from ``began`` on."""
    sums: defaultdict[int, float] = defaultdict(float)
    for request, value in zip(requests, values):
        sums[int((request.at - began) / step)] += value
    return [sums[index] for index in range(max(sums, default=0) + 1)]
