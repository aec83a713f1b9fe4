"""Upper bound on what all fronts together send a warming node, checked on their schedulers alone.

Within the time after which overload makes a node fail, it is sent at most N + 2 * sqrt(N) + 2 requests of
mean size, where N is the number that the settings allow at that time.
"""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import replace

import pytest

from cleatyoke.scheduling.actions import SendAttempt, SetTimer
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    EndpointUpdate,
    RequestArrived,
    SchedulerEvent,
    TimerFired,
    UpdateKind,
)
from cleatyoke.scheduling.scheduler import Scheduler
from tests.driven_front import class_spec, endpoint, plan_spec, settings

MEAN_UNITS, CAPACITY, VOLUMES = 2.0, 50.0, 24  # units per request, units a second of a warm node
INITIAL_FRACTION, SLOW_START, MULTIPLE, WINDOW = 0.16, 14.0, 2.0, 2.0  # safety limits of slow start
TICK, SPAN = 0.01, 14.0
SIZES = (1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 3.0, 3.0, 4.0)  # units; the mean is two


class Fleet:
    """Fronts and the one node that they share; each volume uses one to three fronts unevenly.

    ``stated``: number of fronts in the settings. ``known``: whether the fronts sent the node requests before
    it restarted; otherwise they start together with it. ``restarts``: mean number of restarts of each front
    while the node warms up. ``rejected_fraction``: fraction of the warming node's answers that reject the
    request without executing it.
    """

    def __init__(
        self,
        fronts: int,
        seed: int,
        *,
        stated: int | None = None,
        known: bool = True,
        surge: float = 1.8,
        restarts: float = 0.0,
        rejected_fraction: float = 0.0,
        load: float = 0.6,
    ) -> None:
        self.rng, self.fronts, self.known, self.surge = random.Random(seed), fronts, known, surge
        self.restarts, self.rejected_fraction, self.load, self.now = restarts, rejected_fraction, load, 100.0
        rate = load * CAPACITY / VOLUMES
        limits = {
            "slow_start_initial_fraction": INITIAL_FRACTION,
            "slow_start_duration": SLOW_START,
            "overload_multiple": MULTIPLE,
            "overload_after": WINDOW,
        }
        self.settings = settings(
            [class_spec(latency_objective=0.2, late_value=0.1)],
            [plan_spec(base_rate=rate, reserved_rate=0.8 * rate)],
            limits,
            front_count=fronts if stated is None else stated,
            slow_start_units=0.9 * MULTIPLE * INITIAL_FRACTION * CAPACITY * WINDOW,
            mean_request_units=MEAN_UNITS,
            max_request_units=8.0,
            max_attempts=4,
            unreserved_value=0.35,
        )
        indexes = range(fronts)
        self.routes = [self.rng.sample(indexes, min(fronts, self.rng.randint(1, 3))) for _ in range(VOLUMES)]
        self.route_weights = [[self.rng.random() ** 3 + 0.02 for _ in route] for route in self.routes]
        self.started = math.inf
        self.schedulers = [self.new_scheduler(0.0) for _ in range(fronts)]
        self.timers = [math.inf] * fronts
        self.units: dict[str, float] = {}
        self.attempts: dict[tuple[int, str], int] = {}
        self.ends: list[tuple[float, int, str, int]] = []
        self.sends: list[tuple[float, float]] = []  # to the warming node: time, units

    def new_scheduler(self, started_at: float) -> Scheduler:
        scheduler = Scheduler(replace(self.settings, seed=self.rng.randrange(10**6)))
        scheduler.step(
            self.now, [EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(1, 1, started_at=started_at)])]
        )
        return scheduler

    def run_step(self, front: int, events: list[SchedulerEvent]) -> None:
        for action in self.schedulers[front].step(self.now, events):
            if isinstance(action, SetTimer):
                self.timers[front] = self.now + action.delay
            elif isinstance(action, SendAttempt):
                key = front, action.request_id
                self.attempts[key] = self.attempts.get(key, -1) + 1
                if self.now >= self.started:
                    self.sends.append((self.now, self.units[action.request_id]))
                at = self.now + self.rng.uniform(0.03, 0.06)
                heapq.heappush(self.ends, (at, *key, self.attempts[key]))

    def begin_slow_start(self) -> None:
        self.started = self.now
        for front in range(self.fronts):
            if self.known:
                self.run_step(
                    front, [EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, started_at=self.now)])]
                )
            else:
                self.schedulers[front] = self.new_scheduler(self.now)

    def restart(self, front: int) -> None:
        """Replace a front's scheduler by a new one, which does not know what the old one sent."""
        self.schedulers[front], self.timers[front] = self.new_scheduler(self.started), math.inf
        self.ends = [end for end in self.ends if end[1] != front]
        heapq.heapify(self.ends)

    def step(self) -> None:
        is_warming = self.now >= self.started
        if is_warming and self.rng.random() < self.restarts * self.fronts * TICK / SPAN:
            self.restart(self.rng.randrange(self.fronts))
        due: dict[int, list[SchedulerEvent]] = {}
        while self.ends and self.ends[0][0] <= self.now:
            _, front, name, attempt = heapq.heappop(self.ends)
            if name in self.schedulers[front].requests:
                executed = not (is_warming and self.rng.random() < self.rejected_fraction)
                outcome = AttemptOutcome.SERVED if executed else AttemptOutcome.QUEUE_FULL
                ended = AttemptFinished(name, attempt, 1, outcome, 0.04, executed, utilization=self.load)
                due.setdefault(front, []).append(ended)
        if self.rng.random() < self.load * CAPACITY / MEAN_UNITS * (self.surge if is_warming else 1.0) * TICK:
            volume, name = self.rng.randrange(VOLUMES), str(len(self.units))
            front = self.rng.choices(self.routes[volume], self.route_weights[volume])[0]
            self.units[name] = self.rng.choice(SIZES)
            arrival = RequestArrived(
                name, 0, 0, volume, None, 1, self.units[name], self.now + 1.5, len(self.routes[volume])
            )
            due.setdefault(front, []).append(arrival)
        for front, timer in enumerate(self.timers):
            if timer <= self.now:
                self.timers[front] = math.inf
                due.setdefault(front, []).append(TimerFired(0))
            if front in due:
                self.run_step(front, due[front])

    def max_excess(self) -> float:
        """Return the largest excess over N in any window, as a fraction of the tolerance 2 * sqrt(N) + 2."""
        begin, largest = self.now + (30.0 if self.known else 0.0), -math.inf
        while self.now < begin + SPAN:
            self.now += TICK
            if self.started == math.inf and self.now >= begin:
                self.begin_slow_start()
            self.step()
        for at, _ in self.sends:
            sent = sum(units for when, units in self.sends if at - WINDOW < when <= at) / MEAN_UNITS
            share = INITIAL_FRACTION + (1 - INITIAL_FRACTION) * min(1.0, (at - self.started) / SLOW_START)
            allowed = MULTIPLE * share * CAPACITY * WINDOW / MEAN_UNITS
            largest = max(largest, (sent - allowed) / (2 * math.sqrt(allowed) + 2))
        return largest


FLEETS = pytest.mark.parametrize("fronts", [1, 5, 20, 30, 200])


@FLEETS
@pytest.mark.parametrize("known", [True, False])
def test_slow_start_known_front_count_never_overloads_the_node(fronts: int, known: bool) -> None:
    for seed in (1, 2):
        fleet = Fleet(fronts, seed, known=known)
        assert fleet.max_excess() <= 1.0
        assert len(fleet.sends) > 40, "and the node is used"


@FLEETS
def test_slow_start_front_restarts_never_overload_the_node(fronts: int) -> None:
    for seed in (1, 2):
        assert Fleet(fronts, seed, restarts=2.0).max_excess() <= 1.0


@FLEETS
def test_slow_start_retries_never_overload_the_node(fronts: int) -> None:
    for seed in (1, 2):
        assert Fleet(fronts, seed, rejected_fraction=0.3).max_excess() <= 1.0


@FLEETS
@pytest.mark.parametrize("known", [True, False])
def test_slow_start_unknown_front_count_never_overloads_the_node(fronts: int, known: bool) -> None:
    for seed in (1, 2):
        fleet = Fleet(fronts, seed, stated=0, known=known)
        assert fleet.max_excess() <= 1.0
        assert len(fleet.sends) > 40, "and the node is used"


@FLEETS
@pytest.mark.parametrize("known", [True, False])
def test_slow_start_four_times_the_stated_fronts_never_overload_the_node(fronts: int, known: bool) -> None:
    for seed in (1, 2):
        assert Fleet(fronts, seed, stated=max(1, fronts // 4), known=known, restarts=1.0).max_excess() <= 1.0


def test_rate_limit_holds_for_an_unknown_front_count() -> None:
    """With no configured number of fronts, each front's share follows the count that requests state."""
    limited = plan_spec(rate_limit=10.0, rate_limit_burst=20.0)
    schedulers = [Scheduler(settings(plans=[limited], front_count=0, seed=seed)) for seed in range(3)]
    sent = 0.0
    for front, scheduler in enumerate(schedulers):
        scheduler.step(0.0, [EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(1, 1)])])
        for number in range(400):
            now = 100.0 + number * 0.05
            name = f"{front}-{number}"
            arrival = RequestArrived(name, 0, 0, 1, None, 1, 1.0, now + 2.0, 3)
            for action in scheduler.step(now, [arrival]):
                if isinstance(action, SendAttempt):
                    sent += 1.0
                    scheduler.step(
                        now, [AttemptFinished(action.request_id, 0, 1, AttemptOutcome.SERVED, 0.02, True)]
                    )
    assert sent <= 10.0 * 20.0 + 20.0 + 3
