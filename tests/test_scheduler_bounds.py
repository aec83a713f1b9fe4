"""Settings and events at their bounds: no exception, one answer per request, all slots released."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cleatyoke.config.errors import ConfigError
from cleatyoke.config.settings import read_settings
from cleatyoke.scheduling.actions import FailRequest, Reject, SchedulerAction, SendAttempt, SetTimer
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    QuotaLeaseChanged,
    QuotaShareChanged,
    RequestArrived,
    SchedulerEvent,
    SlowStartLeaseChanged,
    TimerFired,
    UpdateKind,
    UtilizationReported,
)
from cleatyoke.scheduling.scheduler import Scheduler
from cleatyoke.scheduling.settings import SchedulerSettings

AMOUNTS = (0, 0.0, 1e-12, 0.04, 1, 8.5, 1e6, 1e15)  # valid for rates, times and weights of the settings
FRACTIONS = (0, 0.0, 1e-9, 0.3, 1, 1.0)
SECONDS = (0.0, 1e-9, 0.002, 0.05, 0.6, 1.5, 20.0, 70.0)  # between two events
START = 1000.0
NODES = 3

amount = st.sampled_from(AMOUNTS)
unit_fraction = st.sampled_from(FRACTIONS)
seconds = st.sampled_from(SECONDS)


def optional(**keys: st.SearchStrategy[Any]) -> st.SearchStrategy[dict[str, Any]]:
    return st.fixed_dictionaries({}, optional=keys)


def table(
    required: dict[str, st.SearchStrategy[Any]], **keys: st.SearchStrategy[Any]
) -> st.SearchStrategy[dict[str, Any]]:
    return st.fixed_dictionaries(required, optional=keys)


request_class = table(
    {
        "Name": st.just("a"),
        "AimS": st.sampled_from((1e-9, 0.2, 1e6)),
        "Worth": amount,
        "Repeat": st.sampled_from(("repeatable", "by_key", "once")),
    },
    LateShare=unit_fraction,
    MemorySpanS=amount,
    ByArrival=st.booleans(),
    DedupScope=st.sampled_from(("all", "zone", "cell")),
)
volume_plan = table(
    {"Name": st.just("a"), "WorthFactor": amount, "Proportion": amount},
    BaseRate=amount,
    FloorRate=amount,
    Limit=amount,
    LimitBurst=amount,
    CapSlack=amount,
)
platform_settings = table(
    {
        "Lanes": st.lists(request_class, min_size=1, max_size=2),
        "Contracts": st.lists(volume_plan, min_size=1, max_size=2),
        "PolicyLimits": table(
            {"SendCap": st.integers(1, 3)},
            Cancel=st.booleans(),
            Probes=st.booleans(),
            RetryAfter=st.booleans(),
            MaxRetryAfterS=amount,
        ),
    },
    Safety=optional(
        ColdFrom=unit_fraction,
        RampTimeS=amount,
        TipMultiple=amount,
        TipAfterS=amount,
        AskEveryS=amount,
        KeyRestS=amount,
        FreeResends=amount,
        ExtraRatio=amount,
        LookBackS=amount,
    ),
    Extra=optional(
        ColdUnits=amount,
        Largest=amount,
        MeanUnits=amount,
        WithinShare=unit_fraction,
        SaysOthers=st.booleans(),
    ),
    Siblings=st.integers(0, 3),
    Discovery=st.just("subscribe"),
)

index = st.integers(0, 1)
event = st.one_of(
    st.tuples(st.just("arrive"), index, index, st.sampled_from((None, 0, 1, 2)), amount, seconds, index),
    st.tuples(
        st.just("finish"),
        st.sampled_from(list(AttemptOutcome)),
        st.sampled_from((0.0, 1e-9, 0.05, 9.0)),
        amount,
        st.sampled_from((None, 0.0, 1.0, -1.0, 7.0)),
    ),
    st.tuples(st.just("disconnect")),
    st.tuples(st.just("timer")),
    st.tuples(
        st.just("nodes"),
        st.sampled_from(list(UpdateKind)),
        st.lists(st.tuples(st.integers(0, NODES), st.sampled_from(list(EndpointState)), seconds), max_size=3),
    ),
    st.tuples(st.just("share"), unit_fraction),
    st.tuples(st.just("lease"), index, st.sampled_from((0.0, 1e-12, 0.5, 1.0, 40.0))),
    st.tuples(st.just("node lease"), st.integers(0, NODES), st.sampled_from((0.0, 1e-12, 0.5, 1.0, 40.0))),
    st.tuples(st.just("utilization"), unit_fraction),
)
script = st.lists(st.tuples(seconds, st.lists(event, min_size=1, max_size=4)), min_size=1, max_size=25)


class Driver:
    """Drives one scheduler, and tracks its attempts in flight and its answers."""

    def __init__(self, config: SchedulerSettings) -> None:
        self.config = config
        self.scheduler = Scheduler(config)
        self.now = START
        self.count = 0
        self.in_flight: dict[tuple[str, int], int] = {}  # node by request and attempt number
        self.attempts: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.open: dict[str, float] = {}  # deadlines by request
        self.faults: list[BaseException] = []

    def step(self, events: list[SchedulerEvent]) -> None:
        for action in self.scheduler.step(self.now, events):
            self._on_action(action)
        self.faults += [fault.error for fault in self.scheduler.take_faults()]

    def _on_action(self, action: SchedulerAction) -> None:
        match action:
            case SendAttempt(request_id, node_id):
                assert request_id in self.open, "attempt sent for a request that is already answered"
                self.in_flight[request_id, self.attempts[request_id]] = node_id
                self.attempts[request_id] += 1
            case Reject(request_id) | FailRequest(request_id):
                self.answers[request_id] += 1
                self.open.pop(request_id, None)
            case SetTimer(delay):
                assert 0 <= delay < math.inf, "timer delay is negative or infinite"

    def event(self, drawn: tuple[Any, ...]) -> list[SchedulerEvent]:
        kind, *values = drawn
        return getattr(self, "_" + kind.replace(" ", "_"))(*values)  # type: ignore[no-any-return]

    def _arrive(  # noqa: PLR0913 - the generated fields of a request
        self, class_number: int, plan: int, shard: int | None, units: float, wait: float, item: int
    ) -> list[SchedulerEvent]:
        self.count += 1
        request_id = str(self.count)
        self.open[request_id] = self.now + wait
        classes, plans = len(self.config.classes), len(self.config.plans)
        return [
            RequestArrived(
                request_id,
                class_number % classes,
                plan % plans,
                plan,
                (None, 5)[item],
                shard,
                units,
                self.now + wait,
                class_number,
            )
        ]

    def _finish(
        self, outcome: AttemptOutcome, elapsed: float, others: float, utilization: float | None
    ) -> list[SchedulerEvent]:
        if not self.in_flight:
            return []
        request_id, attempt = key = next(iter(self.in_flight))
        node = self.in_flight.pop(key)
        settled = outcome is AttemptOutcome.SERVED
        if settled and self.open.pop(request_id, None) is not None:
            self.answers[request_id] += 1
        return [
            AttemptFinished(request_id, attempt, node, outcome, elapsed, settled, float(others), utilization)
        ]

    def _disconnect(self) -> list[SchedulerEvent]:
        if not self.open:
            return []
        request_id = next(iter(self.open))
        del self.open[request_id]
        self.answers[request_id] += 1
        return [ClientDisconnected(request_id)]

    def _timer(self) -> list[SchedulerEvent]:
        return [TimerFired(0)]

    def _nodes(
        self, kind: UpdateKind, listed: list[tuple[int, EndpointState, float]]
    ) -> list[SchedulerEvent]:
        endpoints = [
            Endpoint(node, node if node < NODES else None, node % 2, state, self.now - age if age else 0.0)
            for node, state, age in listed
        ]
        return [EndpointUpdate(kind, endpoints)]

    def _share(self, fraction: float) -> list[SchedulerEvent]:
        return [QuotaShareChanged(float(fraction))]

    def _lease(self, volume: int, multiplier: float) -> list[SchedulerEvent]:
        return [QuotaLeaseChanged(volume, multiplier)]

    def _node_lease(self, node: int, multiplier: float) -> list[SchedulerEvent]:
        return [SlowStartLeaseChanged(node, multiplier)]

    def _utilization(self, value: float) -> list[SchedulerEvent]:
        return [UtilizationReported(float(value))]

    def finish_all(self) -> None:
        """Let all deadlines pass and all attempts end; nothing may be left afterwards."""
        self.now += 100.0
        self.step([TimerFired(0)])
        while self.open:
            self.step(self._disconnect())
        while self.in_flight:
            self.step(self._finish(AttemptOutcome.CANCELLED, 1.0, 0.0, None))


def run_script(config: SchedulerSettings, steps: list[tuple[float, list[tuple[Any, ...]]]]) -> Driver:
    driver = Driver(config)
    nodes = [Endpoint(node, node, node % 2, EndpointState.LIVE, 0.0) for node in range(NODES)]
    driver.step([EndpointUpdate(UpdateKind.SNAPSHOT, nodes)])
    for after, drawn in steps:
        driver.now += after
        driver.step([created for generated in drawn for created in driver.event(generated)])
    driver.finish_all()
    return driver


def slots_in_use(scheduler: Scheduler) -> int:
    return sum(sum(node.in_flight_by_class) for node in scheduler.nodes.values())


@settings(deadline=None, derandomize=True, max_examples=400, suppress_health_check=[HealthCheck.too_slow])
@given(platform_settings, script)
def test_accepted_settings_and_events_at_bounds_raise_nothing(
    config_table: dict[str, Any], steps: list[tuple[float, list[tuple[Any, ...]]]]
) -> None:
    """Guards against division by 0 and minima of empty lists, after which a front answers nothing in time."""
    try:
        config = read_settings(config_table, 1)
    except ConfigError:
        return  # rejected at startup, with a message that names the key
    driver = run_script(config, steps)
    if driver.faults:
        raise driver.faults[0]
    assert {name: count for name, count in driver.answers.items() if count != 1} == {}
    assert len(driver.answers) == driver.count
    assert slots_in_use(driver.scheduler) == 0
    assert not driver.scheduler.requests
