"""Tests of the emulation of backends and traffic.

They cover the virtual clock, reproducibility from a seed, the rule checks, and the computation of value.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Iterator

import pytest
import structlog

from cleatyoke.core import Core
from cleatyoke.emulation import recovery, value
from cleatyoke.emulation.clock import DeadlockError, run
from cleatyoke.emulation.traffic import Emulation, emulate
from cleatyoke.emulation.value import LogicalRequest
from cleatyoke.emulation.virtual_backend import UNIX_TIME_AT_START
from cleatyoke.scheduling.settings import SchedulerSettings
from cleatyoke.testbed.scenario import Scenario
from cleatyoke.testbed.scenario_file import parse_scenario


@pytest.fixture(autouse=True)
def critical_log_level() -> Iterator[None]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


def scenario(faults: list[dict[str, object]], **changes: dict[str, object]) -> Scenario:
    values: dict[str, dict[str, object]] = {
        "fleet": {"fronts": 6, "boxes": 4, "seconds": 8},
        "load": {"rate": 90, "hosts": 2},
    }
    tables = {name: {**values.get(name, {}), **table} for name, table in {**values, **changes}.items()}
    plans = [{"name": "p", "reserve": 4, "worth": 2}]
    return parse_scenario("emulated", {**tables, "trouble": faults, "plan": plans})


def test_virtual_clock_while_all_tasks_wait_advances() -> None:
    async def main() -> tuple[float, list[int]]:
        loop, order = asyncio.get_running_loop(), list[int]()

        async def append_after_delay(number: int, after: float) -> None:
            await asyncio.sleep(after)
            order.append(number)

        async with asyncio.TaskGroup() as group:
            for number, after in enumerate((7200.0, 0.5, 3600.0)):
                group.create_task(append_after_delay(number, after))
        return loop.time(), order

    assert run(main()) == (7200.0, [1, 2, 0])

    async def wait_forever() -> None:
        await asyncio.get_running_loop().create_future()

    with pytest.raises(DeadlockError):
        run(wait_forever())


def answers(finished: Emulation) -> list[tuple[str, int | None, float | None]]:
    return [
        (trace, request.status, request.answered_at) for trace, request in finished.checker.requests.items()
    ]


def test_emulation_with_mixed_faults_keeps_rules_and_is_reproducible() -> None:
    fault_lines = (
        "roll 1 0 2",
        "roll 2 1 0",
        "powercut 3 2 1",
        "replace 2 0 0",
        "restart 4 1 0.5",
        "reset 1 1 3",
        "lose_answers 1 2 3",
        "spoil 1 3 3",
        "slow 5 2 1",
        "silence 5 3 1",
        "drain 6 2 1",
    )
    faults: list[dict[str, object]] = [
        {"kind": kind, "at": int(at), "of": [int(of)], "lasts_s": float(lasts), "share": 0.3}
        for kind, at, of, lasts in map(str.split, fault_lines)
    ]
    first, second = emulate(scenario(faults)), emulate(scenario(faults))
    assert first.broken() == []
    assert answers(first) == answers(second)
    assert {status for _, status, _ in answers(first)} == {200, 502, 503, None}


def make_core_without_slow_start(settings: SchedulerSettings) -> Core:
    """Create a core that treats every backend as warm."""
    settings.safety = dataclasses.replace(settings.safety, slow_start_duration=0.0)
    return Core(settings, UNIX_TIME_AT_START)


def test_backends_after_power_loss_crash_only_without_slow_start() -> None:
    power_loss = scenario(
        [{"kind": "powercut", "at": 1, "lasts_s": 1.3}, {"kind": "restart", "at": 1, "lasts_s": 1}],
        load={"rate": 170, "hosts": 6, "retries": 2},
        box={"ramp_s": 5, "cold_from": 0.1},
    )
    regular, without_slow_start = emulate(power_loss), emulate(power_loss, make_core_without_slow_start)
    assert regular.broken() == []
    assert not any(backend.has_crashed for backend in regular.backends)
    assert any(backend.has_crashed for backend in without_slow_start.backends)
    assert any(line.startswith("cold:") for line in without_slow_start.broken())
    sums = [
        sum(value.achieved_value(power_loss, finished.requests)) for finished in (without_slow_start, regular)
    ]
    ideal = sum(value.ideal_value(power_loss, regular.requests, regular.power))
    assert sums[0] < sums[1] < ideal <= 1.001 * sum(value.full_value(power_loss, regular.requests))


def test_warming_backend_with_leased_quotas_serves_more_requests() -> None:
    skewed_load = {"rate": 60, "hosts": 6, "hot": 0.8, "skew": 0.9, "volumes": 4}
    restarts: list[dict[str, object]] = [{"kind": "restart", "at": 1, "of": [0], "lasts_s": 0.2}]
    unleased = emulate(scenario(restarts, load=skewed_load, view={"enabled": True}))
    leased = emulate(scenario(restarts, load=skewed_load, view={"enabled": True, "cold": True}))
    assert unleased.broken() == leased.broken() == []
    served = [
        sum(request.status == 200 for request in finished.checker.requests.values())
        for finished in (unleased, leased)
    ]
    assert served[1] > 1.1 * served[0]


def test_value_counts_reserve_first_and_requests_in_time_before_late_ones() -> None:
    small = scenario([])
    kind = small.request_classes[0]
    requests = [
        LogicalRequest(0.1, 0, kind, 2.0, 0.2),
        LogicalRequest(0.2, 0, kind, 2.0, 0.2 + kind.latency_objective + 0.1),
        LogicalRequest(0.3, 0, kind, 4.0, 0.4),
        LogicalRequest(1.3, 0, kind, 4.0, None),
    ]
    unit = kind.value * 2
    late = 2 * 0.35 * unit * kind.late_value_share  # the two in time use all of the reserve in this second
    assert value.achieved_value(small, requests) == pytest.approx(
        [2 * unit, late, (2 + 2 * 0.35) * unit, 0.0]
    )
    assert sum(value.full_value(small, requests)) == pytest.approx((4 + 4 * 0.35 + 4) * unit)
    assert value.ideal_value(small, requests, lambda _shard, _at: 0.0) == [0.0] * 4
    # One unit per slot, in the first second only.
    limited = value.ideal_value(small, requests, lambda _shard, at: 4.0 if at < 1 else 0.0)
    assert limited[3] == 0.0
    assert 4 * unit <= sum(limited) < sum(value.full_value(small, requests[:3]))
    assert value.value_over_time(requests, [1.0, 2.0, 3.0, 4.0], 0.0) == [6.0, 4.0]


def test_recovery_measurement_returns_figures_of_all_parts() -> None:
    figures = {
        (row["kind"], row["figure"]): row["value"]
        for kind in ("ours", "apart", "at once")
        for row in recovery.recover(kind, 4, 1)
    }
    assert figures["ours", "rules broken"] == figures["apart", "rules broken"] == "0"
    assert 0 < float(figures["apart", "part of the reachable while cold"]) < 1
    assert float(figures["sees all", "s to 90%"]) <= float(figures["ours", "s to 90%"])
    highest = [float(figures[kind, "most at a cold box"]) for kind in ("ours", "at once")]
    assert highest[0] < highest[1]
    lent, even = (recovery.share(kind, 6, 1) for kind in ("lent", "even"))
    assert float(even[0]["value"]) < float(lent[0]["value"]) < 1
    assert recovery.reached([0.0, 8.0, 8.0, 8.0, 8.0, *[0.0] * 5, 4.0, 4.0, 8.0, 8.0, 8.0, 8.0], 0.5) == 5.0
