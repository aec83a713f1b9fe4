"""``python -m cleatyoke.emulation.recovery --out docs``: measure the value earned per second after a loss of
all power, in virtual time and with real processes, and how much of a rate limit is used under a skewed load.
Writes ``recovery.csv`` and, with the extra ``plots``, plots. The same seeds give the same results, except for
those of real processes.
"""

from __future__ import annotations

import argparse
import csv
import dataclasses
import importlib
import logging
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import structlog

from cleatyoke.core import Core
from cleatyoke.emulation import value as earnings
from cleatyoke.emulation.traffic import Emulation, emulate
from cleatyoke.emulation.value import LogicalRequest
from cleatyoke.emulation.virtual_backend import UNIX_TIME_AT_START
from cleatyoke.emulation.virtual_front import make_core
from cleatyoke.scheduling.settings import SchedulerSettings
from cleatyoke.testbed.scenario import Scenario
from cleatyoke.testbed.scenario_file import parse_scenario
from cleatyoke.testbed.search import run_values

# Seconds of the power loss and of the return of the fronts; the backends return 0.3 s before the fronts.
POWER_LOST_AT, POWER_BACK_AT = 5, 9
COLD_SECONDS = range(POWER_BACK_AT, 22)  # seconds in which the backends are cold
RECOVERED_SHARES = (0.5, 0.9, 0.99)
Values = dict[str, Any]
Row = dict[str, Any]


def power_loss_scenario(fronts: int, seed: int, view: bool) -> Values:
    """Return a scenario with a loss of all power: three backends per ten fronts, loaded to two thirds of
    their capacity. Clients retry once, and for 10 s after the return of power the load is 1.6 times as high.
    """
    backend_count = max(2, fronts * 3 // 10)
    return {
        "fleet": {"fronts": fronts, "boxes": backend_count, "seconds": 30.0, "seed": seed},
        "box": {"ramp_s": 12.0},
        "load": {
            "rate": 21.7 * backend_count,
            "hosts": min(4, fronts),
            "units": 1,
            "units_most": 3,
            "retries": 1,
            "volumes": 4 * backend_count,
            "surge_at": float(POWER_BACK_AT),
            "surge_s": 10.0,
            "surge": 1.6,
        },
        "class": [
            {"name": "read", "share": 0.65, "worth": 3.0},
            {"name": "write", "share": 0.35, "worth": 2.0, "repeat": "once", "write": True},
        ],
        "plan": [
            {"name": "public", "reserve": 3.0},
            {"name": "research", "rate": 12.0, "reserve": 6.0, "weight": 2.0},
        ],
        "trouble": [
            {"kind": "powercut", "at": POWER_LOST_AT, "lasts_s": POWER_BACK_AT - POWER_LOST_AT},
            {"kind": "restart", "at": POWER_LOST_AT, "lasts_s": POWER_BACK_AT - POWER_LOST_AT - 0.3},
        ],
        "view": {"enabled": True, "cold": True} if view else {},
    }


def skewed_load_scenario(fronts: int, seed: int, lend: bool) -> Values:
    """Return a scenario whose load exceeds a rate limit and is skewed: one front receives ten times as much
    as each of the others, and which front it is changes every 7 s. The plans' rates are so large that only
    the limit binds: reserved and spare rates are divided evenly among fronts too, and are not lent.
    """
    return {
        "fleet": {"fronts": fronts, "boxes": 4, "seconds": 42.0, "seed": seed},
        "box": {"units": 20.0 * fronts},
        "load": {
            "rate": 6.5 * fronts,
            "volumes": 8,
            "hosts": fronts,
            "hot": 0.85,
            "skew": 10 / (9 + fronts),
            "skew_s": 7.0,
            "units": 1,
        },
        "plan": [{"name": "public", "rate": 100.0 * fronts, "limit": 5.0 * fronts}, {"name": "research"}],
        "view": {"enabled": True, "limits": lend},
    }


def core_without_slow_start(settings: SchedulerSettings) -> Core:
    """Make a core without slow start, which treats every backend as warm."""
    settings.safety = dataclasses.replace(settings.safety, slow_start_duration=0.0)
    return Core(settings, UNIX_TIME_AT_START)


def row(fleet: str, kind: str, seed: int, figure: str, value: float | None) -> Row:
    text = "never" if value is None else f"{value:.4g}"
    return {"fleet": fleet, "kind": kind, "seed": seed, "figure": figure, "value": text}


def reached(earned: Sequence[float], share: float) -> float | None:
    """Return the seconds from the power loss until the mean of two seconds is this share of the value earned
    per second before the loss; None if that is never reached.
    """
    before = sum(earned[1:POWER_LOST_AT]) / (POWER_LOST_AT - 1)
    for second in range(POWER_BACK_AT, len(earned) - 2):
        if sum(earned[second : second + 2]) / 2 >= share * before:
            return float(second - POWER_LOST_AT)
    return None


def recovery_rows(
    fleet: str, kind: str, seed: int, earned: Sequence[float], ideal: Sequence[float]
) -> list[Row]:
    rows = [row(fleet, kind, seed, f"second {place}", value) for place, value in enumerate(earned)]
    rows += [
        row(fleet, kind, seed, f"s to {share:.0%}", reached(earned, share)) for share in RECOVERED_SHARES
    ]
    if ideal:
        fraction = sum(earned[second] for second in COLD_SECONDS) / sum(
            ideal[second] for second in COLD_SECONDS
        )
        rows.append(row(fleet, kind, seed, "part of the reachable while cold", fraction))
    return rows


def value_per_second(scenario: Scenario, requests: Sequence[LogicalRequest], began: float) -> list[float]:
    return earnings.value_over_time(requests, earnings.achieved_value(scenario, requests), began)


def silence_logs() -> None:
    """Suppress log lines below CRITICAL."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


def recover(kind: str, fronts: int, seed: int) -> list[Row]:
    """Measure the recovery from the power loss in virtual time."""
    silence_logs()
    scenario, fleet = (
        parse_scenario("loss", power_loss_scenario(fronts, seed, kind == "ours")),
        f"{fronts} in virtual time",
    )
    outcome = emulate(scenario, core_without_slow_start if kind == "at once" else make_core)
    ideal = earnings.value_over_time(
        outcome.requests, earnings.ideal_value(scenario, outcome.requests, outcome.power), outcome.began
    )
    rows = recovery_rows(
        fleet, kind, seed, value_per_second(scenario, outcome.requests, outcome.began), ideal
    )
    if kind == "ours":
        rows += recovery_rows(fleet, "sees all", seed, ideal, [])
    return rows + rule_rows(fleet, kind, seed, outcome)


def rule_rows(fleet: str, kind: str, seed: int, outcome: Emulation) -> list[Row]:
    return [
        row(
            fleet,
            kind,
            seed,
            "most at a cold box",
            outcome.checker.max_warm_up_load(outcome.scenario.backend_capacity.overload_window),
        ),
        row(fleet, kind, seed, "boxes that fell", sum(box.has_crashed for box in outcome.backends)),
        row(fleet, kind, seed, "rules broken", len(outcome.broken())),
    ]


def recover_processes(kind: str, fronts: int, seed: int) -> list[Row]:
    """Measure the recovery from the power loss with real processes."""
    values, fleet = power_loss_scenario(fronts, seed, kind == "ours"), f"{fronts} processes"
    report = run_values("loss", values)
    earned = value_per_second(parse_scenario("loss", values), report.logical_requests, report.load_started_at)
    return [
        *recovery_rows(fleet, kind, seed, earned, []),
        row(fleet, kind, seed, "most at a cold box", report.max_warm_up_load),
        row(fleet, kind, seed, "rules broken", len(report.violations)),
    ]


def count_admitted(scenario: Scenario, requests: Sequence[LogicalRequest]) -> int:
    """Return how many requests a single rate limiter shared by all fronts without delay would admit."""
    plan, level, last, passed = scenario.plans[0], scenario.plans[0].burst, 0.0, 0
    for request in sorted(
        (request for request in requests if request.volume == 0), key=lambda request: request.at
    ):
        level, last = min(plan.burst, level + plan.limit * (request.at - last)), request.at
        if level >= request.units - plan.slack:
            level, passed = level - request.units, passed + 1
    return passed


def share(kind: str, fronts: int, seed: int) -> list[Row]:
    """Measure the used fraction of a rate limit, relative to a single shared rate limiter."""
    silence_logs()
    scenario, fleet = (
        parse_scenario("skew", skewed_load_scenario(fronts, seed, kind == "lent")),
        f"{fronts} in virtual time",
    )
    outcome = emulate(scenario)
    later = [dataclasses.replace(request, at=request.at - outcome.began) for request in outcome.requests]
    steady = [request for request in later if request.at >= POWER_BACK_AT]
    served = sum(request.volume == 0 and request.served is not None for request in steady)
    fraction = served / max(1, count_admitted(scenario, steady))
    return [
        row(fleet, kind, seed, "part of the limit used", fraction),
        *rule_rows(fleet, kind, seed, outcome),
    ]


Job = tuple[Callable[[str, int, int], list[Row]], str, int, int]


def jobs(sizes: Sequence[int], seeds: Sequence[int]) -> list[Job]:
    """Return the runs, the longest first."""
    out: list[Job] = []
    for size in sorted(sizes, reverse=True):
        for seed in seeds if size <= 50 else seeds[:1]:
            out += [(recover, kind, size, seed) for kind in ("ours", "apart", "at once")]
    for size in (8, 24):
        out += [(share, kind, size, seed) for kind in ("lent", "even") for seed in seeds]
    return out


def plot(rows: list[Row], out: Path) -> None:
    matplotlib = importlib.import_module("matplotlib")
    matplotlib.use("svg")
    matplotlib.rcParams.update({"svg.hashsalt": "recovery", "svg.fonttype": "none"})
    pyplot = importlib.import_module("matplotlib.pyplot")
    for fleet in dict.fromkeys(one["fleet"] for one in rows):
        lines: dict[str, list[tuple[int, float]]] = {}
        for one in rows:
            if one["fleet"] == fleet and one["seed"] in (1, "1") and one["figure"].startswith("second"):
                second = int(one["figure"].split()[1])
                lines.setdefault(one["kind"], []).append((second, float(one["value"])))
        if not lines:
            continue
        picture, axes = pyplot.subplots(figsize=(7, 4))
        for kind, points in lines.items():
            axes.plot(*zip(*sorted(points)[:-1]), label=kind)
        axes.axvspan(POWER_LOST_AT, POWER_BACK_AT, color="0.9")
        axes.set(xlabel="seconds", title=f"worth earned a second, {fleet}", ylim=(0, None))
        axes.legend()
        picture.savefig(out / f"recovery-{fleet.replace(' ', '-')}.svg", metadata={"Date": None})
        pyplot.close(picture)


def main(words: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m cleatyoke.emulation.recovery", description=__doc__)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--sizes", type=int, nargs="+", default=(40, 200))
    parser.add_argument("--seeds", type=int, nargs="+", default=(1, 2))
    parser.add_argument("--jobs", type=int, default=6)
    chosen = parser.parse_args(words)
    rows: list[Row] = []
    with ProcessPoolExecutor(chosen.jobs) as pool:
        plan = jobs(chosen.sizes, chosen.seeds)
        futures = [pool.submit(act, kind, size, seed) for act, kind, size, seed in plan]
        for future in futures:
            rows += future.result()
    for kind in ("ours", "apart"):  # one at a time, as they run in real time
        rows += recover_processes(kind, 8, 1)
    table = chosen.out / "recovery.csv"
    with table.open("w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
    for one in rows:
        if not one["figure"].startswith("second"):
            print(*one.values(), sep=", ")
    plot(rows, chosen.out)
    return 0


if __name__ == "__main__":
    sys.exit(main())
