"""``python -m cleatyoke.emulation.recovery --out docs``: what is earned from a loss of all power on, in
virtual time and by processes, and what of a limit is used under a skewed load. Writes ``recovery.csv`` and,
with the extra ``plots``, pictures. The same seeds give the same figures, but for the processes' own.
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
from cleatyoke.emulation.value import RequestTemplate
from cleatyoke.emulation.virtual_backend import UNIX_TIME_AT_START
from cleatyoke.emulation.virtual_front import make_core
from cleatyoke.scheduling.settings import SchedulerSettings
from cleatyoke.testbed.scenario import Scenario
from cleatyoke.testbed.scenario_file import make_scenario
from cleatyoke.testbed.search import run_values

LOST, BACK = 5, 9  # seconds: the power is lost, and the fronts are back; the boxes a little sooner
COLD = range(BACK, 22)  # seconds while boxes are cold
SHARES = (0.5, 0.9, 0.99)
Values = dict[str, Any]
Row = dict[str, Any]


def loss(fronts: int, seed: int, view: bool) -> Values:
    """Three boxes for ten fronts, at two thirds of what they can do; clients ask once more, and for 10 s
    after the return half as much again comes.
    """
    boxes = max(2, fronts * 3 // 10)
    return {
        "fleet": {"fronts": fronts, "boxes": boxes, "seconds": 30.0, "seed": seed},
        "box": {"ramp_s": 12.0},
        "load": {
            "rate": 21.7 * boxes,
            "hosts": min(4, fronts),
            "units": 1,
            "units_most": 3,
            "retries": 1,
            "volumes": 4 * boxes,
            "surge_at": float(BACK),
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
            {"kind": "powercut", "at": LOST, "lasts_s": BACK - LOST},
            {"kind": "restart", "at": LOST, "lasts_s": BACK - LOST - 0.3},
        ],
        "view": {"enabled": True, "cold": True} if view else {},
    }


def skewed(fronts: int, seed: int, lend: bool) -> Values:
    """A limit that more is asked of than it allows, through one front ten times as much as through another,
    and which one it is changes every 7 s. Plans are sized so large that nothing but the limit binds: reserves
    and spare rates are even parts too, which are not lent.
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


def at_once(settings: SchedulerSettings) -> Core:
    """A front that takes every box for warm."""
    settings.safety = dataclasses.replace(settings.safety, slow_start_duration=0.0)
    return Core(settings, UNIX_TIME_AT_START)


def row(fleet: str, kind: str, seed: int, figure: str, value: float | None) -> Row:
    told = "never" if value is None else f"{value:.4g}"
    return {"fleet": fleet, "kind": kind, "seed": seed, "figure": figure, "value": told}


def reached(earned: Sequence[float], share: float) -> float | None:
    """Seconds from the loss until two seconds earn this share of what was earned before it."""
    before = sum(earned[1:LOST]) / (LOST - 1)
    for second in range(BACK, len(earned) - 2):
        if sum(earned[second : second + 2]) / 2 >= share * before:
            return float(second - LOST)
    return None


def rows_of(fleet: str, kind: str, seed: int, earned: Sequence[float], best: Sequence[float]) -> list[Row]:
    rows = [row(fleet, kind, seed, f"second {place}", value) for place, value in enumerate(earned)]
    rows += [row(fleet, kind, seed, f"s to {share:.0%}", reached(earned, share)) for share in SHARES]
    if best:
        part = sum(earned[second] for second in COLD) / sum(best[second] for second in COLD)
        rows.append(row(fleet, kind, seed, "part of the reachable while cold", part))
    return rows


def over_time(scenario: Scenario, requests: Sequence[RequestTemplate], began: float) -> list[float]:
    return earnings.value_over_time(requests, earnings.achieved_value(scenario, requests), began)


def quiet() -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


def recover(kind: str, fronts: int, seed: int) -> list[Row]:
    """In virtual time."""
    quiet()
    scenario, fleet = make_scenario("loss", loss(fronts, seed, kind == "ours")), f"{fronts} in virtual time"
    played = emulate(scenario, at_once if kind == "at once" else make_core)
    best = earnings.value_over_time(
        played.requests, earnings.ideal_value(scenario, played.requests, played.power), played.began
    )
    rows = rows_of(fleet, kind, seed, over_time(scenario, played.requests, played.began), best)
    if kind == "ours":
        rows += rows_of(fleet, "sees all", seed, best, [])
    return rows + kept(fleet, kind, seed, played)


def kept(fleet: str, kind: str, seed: int, played: Emulation) -> list[Row]:
    return [
        row(
            fleet,
            kind,
            seed,
            "most at a cold box",
            played.checker.max_warm_up_load(played.scenario.backend_capacity.overload_window),
        ),
        row(fleet, kind, seed, "boxes that fell", sum(box.has_fallen for box in played.backends)),
        row(fleet, kind, seed, "rules broken", len(played.broken())),
    ]


def processes(kind: str, fronts: int, seed: int) -> list[Row]:
    """The same with real processes."""
    values, fleet = loss(fronts, seed, kind == "ours"), f"{fronts} processes"
    report = run_values("loss", values)
    earned = over_time(make_scenario("loss", values), report.request_templates, report.load_started_at)
    return [
        *rows_of(fleet, kind, seed, earned, []),
        row(fleet, kind, seed, "most at a cold box", report.max_warm_up_load),
        row(fleet, kind, seed, "rules broken", len(report.violations)),
    ]


def allowed(scenario: Scenario, requests: Sequence[RequestTemplate]) -> int:
    """How many requests one counter that all see at once would let through."""
    plan, level, last, passed = scenario.plans[0], scenario.plans[0].burst, 0.0, 0
    for request in sorted(
        (request for request in requests if request.volume == 0), key=lambda request: request.at
    ):
        level, last = min(plan.burst, level + plan.limit * (request.at - last)), request.at
        if level >= request.units - plan.slack:
            level, passed = level - request.units, passed + 1
    return passed


def share(kind: str, fronts: int, seed: int) -> list[Row]:
    """What of a limit is used, against one counter that all see."""
    quiet()
    scenario, fleet = make_scenario("skew", skewed(fronts, seed, kind == "lent")), f"{fronts} in virtual time"
    played = emulate(scenario)
    later = [dataclasses.replace(request, at=request.at - played.began) for request in played.requests]
    steady = [request for request in later if request.at >= BACK]
    served = sum(request.volume == 0 and request.served is not None for request in steady)
    part = served / max(1, allowed(scenario, steady))
    return [row(fleet, kind, seed, "part of the limit used", part), *kept(fleet, kind, seed, played)]


Job = tuple[Callable[[str, int, int], list[Row]], str, int, int]


def jobs(sizes: Sequence[int], seeds: Sequence[int]) -> list[Job]:
    """The longest first."""
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
        axes.axvspan(LOST, BACK, color="0.9")
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
    for kind in ("ours", "apart"):  # by themselves, as they run in real time
        rows += processes(kind, 8, 1)
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
