"""What all fronts together send a warming node, by their decisions alone.

It is never more than N + 2 x root of N + 2 requests of mean size within the time after which overload fails a
node, where N is what the settings allow the node then.
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

MEAN, POWER, VOLUMES = 2.0, 50.0, 24  # units of a request, units a second of a warm node, volumes on it
INITIAL_FRACTION, SLOW_START, MULTIPLE, WINDOW = 0.16, 14.0, 2.0, 2.0  # of the rule
TICK, SPAN = 0.01, 14.0
SIZES = (1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 3.0, 3.0, 4.0)  # units, two in the mean


class Fleet:
    """Fronts whose volumes come unevenly through one to three of them, and the node that all of them use.

    ``stated``: how many fronts the settings name. ``known``: fronts served the node before it started anew;
    else they start with it. ``restarts``: of each front while the node warms up. ``rejected_fraction``: of
    the warming node's answers, those that say that it never executed the request.
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
        rate = load * POWER / VOLUMES
        rule = {
            "slow_start_initial_fraction": INITIAL_FRACTION,
            "slow_start_duration": SLOW_START,
            "overload_multiple": MULTIPLE,
            "overload_after": WINDOW,
        }
        self.settings = settings(
            [class_spec(latency_objective=0.2, late_value=0.1)],
            [plan_spec(base_rate=rate, reserved_rate=0.8 * rate)],
            rule,
            front_count=fronts if stated is None else stated,
            slow_start_units=0.9 * MULTIPLE * INITIAL_FRACTION * POWER * WINDOW,
            mean_request_units=MEAN,
            max_request_units=8.0,
            max_attempts=4,
            unreserved_value=0.35,
        )
        every = range(fronts)
        self.routes = [self.rng.sample(every, min(fronts, self.rng.randint(1, 3))) for _ in range(VOLUMES)]
        self.leads = [[self.rng.random() ** 3 + 0.02 for _ in route] for route in self.routes]
        self.started = math.inf
        self.schedulers = [self.fresh(0.0) for _ in range(fronts)]
        self.wakes = [math.inf] * fronts
        self.units: dict[str, float] = {}
        self.attempts: dict[tuple[int, str], int] = {}
        self.ends: list[tuple[float, int, str, int]] = []
        self.sends: list[tuple[float, float]] = []  # to the warming node: when, units

    def fresh(self, started_at: float) -> Scheduler:
        scheduler = Scheduler(replace(self.settings, seed=self.rng.randrange(10**6)))
        scheduler.step(
            self.now, [EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(1, 1, started_at=started_at)])]
        )
        return scheduler

    def feed(self, front: int, events: list[SchedulerEvent]) -> None:
        for action in self.schedulers[front].step(self.now, events):
            if isinstance(action, SetTimer):
                self.wakes[front] = self.now + action.delay
            elif isinstance(action, SendAttempt):
                made = front, action.request_id
                self.attempts[made] = self.attempts.get(made, -1) + 1
                if self.now >= self.started:
                    self.sends.append((self.now, self.units[action.request_id]))
                at = self.now + self.rng.uniform(0.03, 0.06)
                heapq.heappush(self.ends, (at, *made, self.attempts[made]))

    def begin_slow_start(self) -> None:
        self.started = self.now
        for front in range(self.fronts):
            if self.known:
                self.feed(front, [EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, started_at=self.now)])])
            else:
                self.schedulers[front] = self.fresh(self.now)

    def restart(self, front: int) -> None:
        """What the process before has sent is unknown to the new one."""
        self.schedulers[front], self.wakes[front] = self.fresh(self.started), math.inf
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
                ran = not (is_warming and self.rng.random() < self.rejected_fraction)
                outcome = AttemptOutcome.SERVED if ran else AttemptOutcome.QUEUE_FULL
                ended = AttemptFinished(name, attempt, 1, outcome, 0.04, ran, utilization=self.load)
                due.setdefault(front, []).append(ended)
        if self.rng.random() < self.load * POWER / MEAN * (self.surge if is_warming else 1.0) * TICK:
            volume, name = self.rng.randrange(VOLUMES), str(len(self.units))
            front = self.rng.choices(self.routes[volume], self.leads[volume])[0]
            self.units[name] = self.rng.choice(SIZES)
            asked = RequestArrived(
                name, 0, 0, volume, None, 1, self.units[name], self.now + 1.5, len(self.routes[volume])
            )
            due.setdefault(front, []).append(asked)
        for front, wake in enumerate(self.wakes):
            if wake <= self.now:
                self.wakes[front] = math.inf
                due.setdefault(front, []).append(TimerFired(0))
            if front in due:
                self.feed(front, due[front])

    def over(self) -> float:
        """The most that is sent beyond N in any window, in parts of what is put down to chance."""
        begin, most = self.now + (30.0 if self.known else 0.0), -math.inf
        while self.now < begin + SPAN:
            self.now += TICK
            if self.started == math.inf and self.now >= begin:
                self.begin_slow_start()
            self.step()
        for at, _ in self.sends:
            sent = sum(units for when, units in self.sends if at - WINDOW < when <= at) / MEAN
            share = INITIAL_FRACTION + (1 - INITIAL_FRACTION) * min(1.0, (at - self.started) / SLOW_START)
            allowed = MULTIPLE * share * POWER * WINDOW / MEAN
            most = max(most, (sent - allowed) / (2 * math.sqrt(allowed) + 2))
        return most


FLEETS = pytest.mark.parametrize("fronts", [1, 5, 20, 30, 200])


@FLEETS
@pytest.mark.parametrize("known", [True, False])
def test_fronts_that_know_their_number_never_overload_a_warming_node(fronts: int, known: bool) -> None:
    for seed in (1, 2):
        fleet = Fleet(fronts, seed, known=known)
        assert fleet.over() <= 1.0
        assert len(fleet.sends) > 40, "and the node is used"


@FLEETS
def test_fronts_that_restart_while_the_node_warms_up_never_overload_it(fronts: int) -> None:
    for seed in (1, 2):
        assert Fleet(fronts, seed, restarts=2.0).over() <= 1.0


@FLEETS
def test_retries_never_overload_a_warming_node(fronts: int) -> None:
    for seed in (1, 2):
        assert Fleet(fronts, seed, rejected_fraction=0.3).over() <= 1.0


@FLEETS
@pytest.mark.parametrize("known", [True, False])
def test_fronts_of_unknown_number_never_overload_a_warming_node(fronts: int, known: bool) -> None:
    for seed in (1, 2):
        fleet = Fleet(fronts, seed, stated=0, known=known)
        assert fleet.over() <= 1.0
        assert len(fleet.sends) > 40, "and the node is used"


@FLEETS
@pytest.mark.parametrize("known", [True, False])
def test_four_times_as_many_fronts_as_stated_never_overload_a_warming_node(fronts: int, known: bool) -> None:
    for seed in (1, 2):
        assert Fleet(fronts, seed, stated=max(1, fronts // 4), known=known, restarts=1.0).over() <= 1.0


def test_a_rate_limit_holds_for_fronts_of_unknown_number() -> None:
    """Each request says how many its volume comes through; its part is by that alone then."""
    limited = plan_spec(rate_limit=10.0, rate_limit_burst=20.0)
    schedulers = [Scheduler(settings(plans=[limited], front_count=0, seed=seed)) for seed in range(3)]
    sent = 0.0
    for front, scheduler in enumerate(schedulers):
        scheduler.step(0.0, [EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(1, 1)])])
        for number in range(400):
            now = 100.0 + number * 0.05
            name = f"{front}-{number}"
            asked = RequestArrived(name, 0, 0, 1, None, 1, 1.0, now + 2.0, 3)
            for action in scheduler.step(now, [asked]):
                if isinstance(action, SendAttempt):
                    sent += 1.0
                    scheduler.step(
                        now, [AttemptFinished(action.request_id, 0, 1, AttemptOutcome.SERVED, 0.02, True)]
                    )
    assert sent <= 10.0 * 20.0 + 20.0 + 3
