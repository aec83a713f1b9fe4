"""The emulation of backends and traffic.

Virtual time, the same run for the same seed, the rules checked as on sockets, and the value that is counted.
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
from cleatyoke.emulation.clock import Idle, run
from cleatyoke.emulation.traffic import Emulation, emulate
from cleatyoke.emulation.value import RequestTemplate
from cleatyoke.emulation.virtual_backend import UNIX_TIME_AT_START
from cleatyoke.scheduling.settings import SchedulerSettings
from cleatyoke.testbed.scenario import Scenario
from cleatyoke.testbed.scenario_file import make_scenario


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


def scenario(troubles: list[dict[str, object]], **changes: dict[str, object]) -> Scenario:
    values: dict[str, dict[str, object]] = {
        "fleet": {"fronts": 6, "boxes": 4, "seconds": 8},
        "load": {"rate": 90, "hosts": 2},
    }
    tables = {name: {**values.get(name, {}), **table} for name, table in {**values, **changes}.items()}
    plans = [{"name": "p", "reserve": 4, "worth": 2}]
    return make_scenario("emulated", {**tables, "trouble": troubles, "plan": plans})


def test_virtual_time_passes_only_while_every_task_waits() -> None:
    async def main() -> tuple[float, list[int]]:
        loop, order = asyncio.get_running_loop(), list[int]()

        async def one(number: int, after: float) -> None:
            await asyncio.sleep(after)
            order.append(number)

        async with asyncio.TaskGroup() as group:
            for number, after in enumerate((7200.0, 0.5, 3600.0)):
                group.create_task(one(number, after))
        return loop.time(), order

    assert run(main()) == (7200.0, [1, 2, 0])

    async def forever() -> None:
        await asyncio.get_running_loop().create_future()

    with pytest.raises(Idle):
        run(forever())


def answers(finished: Emulation) -> list[tuple[str, int | None, float | None]]:
    return [(trace, one.status, one.answered_at) for trace, one in finished.checker.requests.items()]


def test_a_run_keeps_the_rules_and_repeats_itself() -> None:
    met = (
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
    troubles: list[dict[str, object]] = [
        {"kind": kind, "at": int(at), "of": [int(of)], "lasts_s": float(lasts), "share": 0.3}
        for kind, at, of, lasts in map(str.split, met)
    ]
    one, other = emulate(scenario(troubles)), emulate(scenario(troubles))
    assert one.broken() == []
    assert answers(one) == answers(other)
    assert {status for _, status, _ in answers(one)} == {200, 502, 503, None}


def make_core_without_slow_start(settings: SchedulerSettings) -> Core:
    """A front that takes every backend for warm."""
    settings.safety = dataclasses.replace(settings.safety, slow_start_duration=0.0)
    return Core(settings, UNIX_TIME_AT_START)


def test_backends_fall_after_a_power_loss_only_if_fronts_skip_the_slow_start() -> None:
    loss = scenario(
        [{"kind": "powercut", "at": 1, "lasts_s": 1.3}, {"kind": "restart", "at": 1, "lasts_s": 1}],
        load={"rate": 170, "hosts": 6, "retries": 2},
        box={"ramp_s": 5, "cold_from": 0.1},
    )
    ours, wrong = emulate(loss), emulate(loss, make_core_without_slow_start)
    assert ours.broken() == []
    assert not any(box.has_fallen for box in ours.backends)
    assert any(box.has_fallen for box in wrong.backends)
    assert any(line.startswith("cold:") for line in wrong.broken())
    sums = [sum(value.achieved_value(loss, finished.requests)) for finished in (wrong, ours)]
    best = sum(value.ideal_value(loss, ours.requests, ours.power))
    assert sums[0] < sums[1] < best <= 1.001 * sum(value.full_value(loss, ours.requests))


def test_fronts_lease_quotas_of_a_warming_backend_in_virtual_time() -> None:
    hot = {"rate": 60, "hosts": 6, "hot": 0.8, "skew": 0.9, "volumes": 4}
    restarts: list[dict[str, object]] = [{"kind": "restart", "at": 1, "of": [0], "lasts_s": 0.2}]
    unleased = emulate(scenario(restarts, load=hot, view={"enabled": True}))
    leased = emulate(scenario(restarts, load=hot, view={"enabled": True, "cold": True}))
    assert unleased.broken() == leased.broken() == []
    served = [
        sum(one.status == 200 for one in finished.checker.requests.values())
        for finished in (unleased, leased)
    ]
    assert served[1] > 1.1 * served[0]


def test_value_goes_to_the_reserve_first_and_to_requests_in_time() -> None:
    small = scenario([])
    kind = small.request_classes[0]
    requests = [
        RequestTemplate(0.1, 0, kind, 2.0, 0.2),
        RequestTemplate(0.2, 0, kind, 2.0, 0.2 + kind.latency_objective + 0.1),
        RequestTemplate(0.3, 0, kind, 4.0, 0.4),
        RequestTemplate(1.3, 0, kind, 4.0, None),
    ]
    unit = kind.value * 2
    late = 2 * 0.35 * unit * kind.late_value_share  # all of its second's reserve is taken by the two in time
    assert value.achieved_value(small, requests) == pytest.approx(
        [2 * unit, late, (2 + 2 * 0.35) * unit, 0.0]
    )
    assert sum(value.full_value(small, requests)) == pytest.approx((4 + 4 * 0.35 + 4) * unit)
    assert value.ideal_value(small, requests, lambda _shard, _at: 0.0) == [0.0] * 4
    few = value.ideal_value(small, requests, lambda _shard, at: 4.0 if at < 1 else 0.0)  # a unit a slot
    assert few[3] == 0.0
    assert 4 * unit <= sum(few) < sum(value.full_value(small, requests[:3]))
    assert value.value_over_time(requests, [1.0, 2.0, 3.0, 4.0], 0.0) == [6.0, 4.0]


def test_each_part_of_the_measurement_ends_with_its_figures() -> None:
    figures = {
        (one["kind"], one["figure"]): one["value"]
        for kind in ("ours", "apart", "at once")
        for one in recovery.recover(kind, 4, 1)
    }
    assert figures["ours", "rules broken"] == figures["apart", "rules broken"] == "0"
    assert 0 < float(figures["apart", "part of the reachable while cold"]) < 1
    assert float(figures["sees all", "s to 90%"]) <= float(figures["ours", "s to 90%"])
    most = [float(figures[kind, "most at a cold box"]) for kind in ("ours", "at once")]
    assert most[0] < most[1]
    lent, even = (recovery.share(kind, 6, 1) for kind in ("lent", "even"))
    assert float(even[0]["value"]) < float(lent[0]["value"]) < 1
    assert recovery.reached([0.0, 8.0, 8.0, 8.0, 8.0, *[0.0] * 5, 4.0, 4.0, 8.0, 8.0, 8.0, 8.0], 0.5) == 5.0
