"""What a play earned over time, and what could have been earned by one that sees everything. No clock.

For each volume and second, units within the reserve earn the full worth of their class and plan, the rest
the settings' part of it. A request that is served in time takes the best that is still due of its second, a
late one what is then left, at its class's part (protocol page, Score).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from cleatyoke.testbed.front_settings import SURPLUS_VALUE_SHARE
from cleatyoke.testbed.scenario import RequestClassTerms, Scenario

SLOT = 0.25  # seconds, of the ideal's time


@dataclass(slots=True, frozen=True)
class RequestTemplate:
    """What a client wants, over all its tries."""

    at: float  # of its first try
    volume: int
    kind: RequestClassTerms
    units: float
    served: float | None  # when it got its answer

    def late(self) -> bool:
        return self.served is not None and self.served > self.at + self.kind.latency_objective

    def value(self, scenario: Scenario) -> float:
        """Of a unit that is due in full."""
        return self.kind.value * scenario.plan_of(self.volume).value_factor


@dataclass(slots=True)
class Reserves:
    """Units that are due in full and not taken yet, by volume and second."""

    scenario: Scenario
    left: dict[tuple[int, int], float] = field(default_factory=dict)

    @classmethod
    def of(cls, scenario: Scenario, wishes: Iterable[RequestTemplate]) -> Reserves:
        asked: defaultdict[tuple[int, int], float] = defaultdict(float)
        for wish in wishes:
            asked[wish.volume, int(wish.at)] += wish.units
        return cls(
            scenario,
            {second: min(units, scenario.plan_of(second[0]).reserve) for second, units in asked.items()},
        )

    def density(self, wish: RequestTemplate) -> float:
        """What a unit of it would earn, if it were served in time now."""
        full = min(1.0, self.left.get((wish.volume, int(wish.at)), 0.0) / wish.units)
        return wish.value(self.scenario) * (full + (1 - full) * SURPLUS_VALUE_SHARE)

    def take(self, wish: RequestTemplate) -> float:
        worth, second = self.density(wish) * wish.units, (wish.volume, int(wish.at))
        self.left[second] = max(0.0, self.left.get(second, 0.0) - wish.units)
        return worth


def earned(scenario: Scenario, wishes: Sequence[RequestTemplate]) -> list[float]:
    """By place, what each of them earned."""
    reserves, out = Reserves.of(scenario, wishes), [0.0] * len(wishes)
    served = [place for place, wish in enumerate(wishes) if wish.served is not None]
    for place in sorted(served, key=lambda place: (wishes[place].late(), wishes[place].served)):
        wish = wishes[place]
        out[place] = reserves.take(wish) * (wish.kind.late_value_share if wish.late() else 1.0)
    return out


def due(scenario: Scenario, wishes: Sequence[RequestTemplate]) -> list[float]:
    """By place, what each would earn if all were served in time, in the order in which they came."""
    reserves, out = Reserves.of(scenario, wishes), [0.0] * len(wishes)
    for place in sorted(range(len(wishes)), key=lambda place: wishes[place].at):
        out[place] = reserves.take(wishes[place])
    return out


def ideal(
    scenario: Scenario, wishes: Sequence[RequestTemplate], power: Callable[[int, float], float]
) -> list[float]:
    """By place, what one that sees everything earns: of each cell, slot by slot, what its box can do at that
    moment goes to what earns most a unit, as long as it is not late. ``power``: units a second of a cell.
    """
    reserves, out = Reserves.of(scenario, wishes), [0.0] * len(wishes)
    cells: defaultdict[int, list[int]] = defaultdict(list)
    for place in sorted(range(len(wishes)), key=lambda place: wishes[place].at, reverse=True):
        cells[wishes[place].volume % scenario.backends].append(place)
    for cell, upcoming in cells.items():
        waiting: list[int] = []
        slot, room = 0, 0.0
        while upcoming or waiting:
            now = slot * SLOT
            while upcoming and wishes[upcoming[-1]].at < now + SLOT:
                waiting.append(upcoming.pop())
            waiting = [one for one in waiting if wishes[one].at + wishes[one].kind.latency_objective > now]
            room = min(0.0, room) + power(cell, now + SLOT / 2) * SLOT
            while waiting and room > 0:
                best = max(waiting, key=lambda one: reserves.density(wishes[one]))
                waiting.remove(best)
                room -= wishes[best].units
                out[best] = reserves.take(wishes[best])
            slot += 1
    return out


def over_time(
    wishes: Sequence[RequestTemplate], worth: Sequence[float], began: float, step: float = 1.0
) -> list[float]:
    """Sums of worth by the step of time, from ``began`` on, in which clients first asked."""
    steps: defaultdict[int, float] = defaultdict(float)
    for wish, value in zip(wishes, worth):
        steps[int((wish.at - began) / step)] += value
    return [steps[step] for step in range(max(steps, default=0) + 1)]
