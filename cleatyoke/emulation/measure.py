"""``python -m cleatyoke.emulation.measure --out docs``: measure the traffic and the detection times of the
membership at several fleet sizes, against the baselines, in virtual time. Writes ``fleet-view.csv`` and, with
the extra ``plots``, ``fleet-view-*.svg``. The same seeds give the same results.
"""

from __future__ import annotations

import argparse
import csv
import importlib
import math
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from cleatyoke.emulation.baselines import Heartbeats, PlainSwim
from cleatyoke.emulation.fleet import Fleet
from cleatyoke.emulation.network import Network
from cleatyoke.membership.members import Membership
from cleatyoke.membership.timing import MembershipTiming

KINDS: dict[str, type[Membership]] = {"ours": Membership, "plain SWIM": PlainSwim, "heartbeats": Heartbeats}
SIZES = (10, 50, 200, 1000)
PERIOD = MembershipTiming().probe_interval
JOIN_SECONDS = 15.0  # seconds until all members have the same view
KILL_COUNT = 5
FALSE_DEATH_SECONDS = 120.0  # observation time for false deaths; an hour is thirty times as long
LOSS_RATES = (0.0, 0.1, 0.3)
SLOW_FRACTION, SLOW_DELAY = 0.1, 2.0  # of the members; seconds of extra delay of their messages
HEAL_LIMIT = 60.0
Row = dict[str, Any]


def start_fleet(kind: str, size: int, seed: int, loss: float = 0.0) -> Fleet:
    """Return a fleet whose members have joined and have the same view."""
    seed_count = size if kind == "heartbeats" else 3
    fleet = Fleet(size, seed, network=Network(seed, loss=loss), make=KINDS[kind], seeds=seed_count)
    fleet.start_all(over=2.0)
    fleet.run(JOIN_SECONDS if kind != "heartbeats" else 2.5)
    return fleet


def load(kind: str, size: int, seed: int) -> Row:
    """Return the datagrams and bytes that a member sends per second while no member changes."""
    fleet = start_fleet(kind, size, seed)
    seconds = 10.0
    before = fleet.traffic()
    fleet.run(fleet.now + seconds)
    after = fleet.traffic()
    return {
        "datagrams/s": (after[0] - before[0]) / size / seconds,
        "bytes/s": (after[1] - before[1]) / size / seconds,
    }


def detection(kind: str, size: int, seed: int) -> Row:
    """Measure the seconds from a kill to the first suspicion (SWIM's detection time), to the first
    declaration of death, and until every member knows of the death. A suspicion becomes a death only once the
    time for a refutation has passed, and that time grows with the size of the fleet.
    """
    fleet, suspected_after, first_known_after, last_known_after = start_fleet(kind, size, seed), [], [], []
    for front in range(size - 1, size - 1 - KILL_COUNT, -1):
        id = fleet.running[fleet.address(front)].members.id
        fleet.kill(front)
        fleet.journal.suspected.pop(id, None)
        started_at, known = fleet.now, len(fleet.journal.deaths)
        while fleet.now < started_at + 60 and fleet.fraction_knowing_dead(id) < 1.0:
            fleet.run(fleet.now + 0.05)
        death_times = [at for at, _, dead, _ in fleet.journal.deaths[known:] if dead == id]
        suspected_after.append(fleet.journal.suspected[id] - started_at)
        first_known_after.append(min(death_times) - started_at)
        last_known_after.append(fleet.now - started_at)
    return {
        "suspected s": sum(suspected_after) / KILL_COUNT,
        "first s": sum(first_known_after) / KILL_COUNT,
        "last s": sum(last_known_after) / KILL_COUNT,
        "worst last s": max(last_known_after),
        "spread periods": max(last - first for first, last in zip(first_known_after, last_known_after))
        / PERIOD,
    }


def false_deaths(kind: str, size: int, seed: int, loss: float, slow: float) -> Row:
    """Return how many deaths of running incarnations are declared per hour, summed over all members: each
    member that declares the same death counts.
    """
    fleet = start_fleet(kind, size, seed, loss)
    slow_members = range(size - max(1, int(size * slow)), size) if slow else range(0)
    for front in slow_members:
        fleet.network.extra_delay[fleet.address(front)] = SLOW_DELAY
    fleet.run(fleet.now + 10.0)
    fleet.journal.deaths.clear()
    fleet.run(fleet.now + FALSE_DEATH_SECONDS)
    slow_names = {f"front-{front:04d}" for front in slow_members}
    false_reports = [(by, dead) for _, by, dead, true in fleet.journal.deaths if not true]
    hours = FALSE_DEATH_SECONDS / 3600
    return {
        "told/h": len(false_reports) / hours,
        "of the healthy/h": sum(dead.name not in slow_names for _, dead in false_reports) / hours,
        "of the slow/h": sum(dead.name in slow_names for _, dead in false_reports) / hours,
    }


def heal(kind: str, size: int, seed: int) -> Row:
    """Return the seconds from the end of a 40 s partition (2 to 3) until all members have the same view."""
    fleet = start_fleet(kind, size, seed)
    fleet.cut(range(size * 2 // 5))
    fleet.run(fleet.now + 40.0)
    fleet.end_cuts()
    elapsed = fleet.settle(HEAL_LIMIT)
    return {"one view s": math.inf if elapsed is None else elapsed}


def jobs(sizes: Sequence[int]) -> list[tuple[str, Callable[..., Row], str, int, int, tuple[float, ...]]]:
    out: list[tuple[str, Callable[..., Row], str, int, int, tuple[float, ...]]] = []
    for size in sorted(sizes, reverse=True):
        for kind in KINDS:
            is_heartbeats = kind == "heartbeats"
            for seed in (1, 2) if size <= 200 else (1,):
                if is_heartbeats and size > 200:
                    continue  # heartbeats from all to all: a million datagrams a round at 1000 members
                out.append(("load", load, kind, size, seed, ()))
                out.append(("detection", detection, kind, size, seed, ()))
                if size <= 200:
                    out.append(("heal", heal, kind, size, seed, ()))
                # In larger fleets the baselines declare false deaths en masse.
                if size <= 50 or (size <= 200 and kind == "ours"):
                    for loss in LOSS_RATES:
                        out.append((f"loss {loss:g}", false_deaths, kind, size, seed, (loss, 0.0)))
                    out.append(("slow", false_deaths, kind, size, seed, (0.0, SLOW_FRACTION)))
    return out


def measure(sizes: Sequence[int], workers: int) -> list[Row]:
    rows = []
    with ProcessPoolExecutor(workers) as pool:
        pending = [(job, pool.submit(job[1], *job[2:5], *job[5])) for job in jobs(sizes)]
        for (what, _, kind, size, seed, _), future in pending:
            for figure, value in future.result().items():
                rows.append(
                    {
                        "what": what,
                        "kind": kind,
                        "size": size,
                        "seed": seed,
                        "figure": figure,
                        "value": f"{value:.4g}",
                    }
                )
            print(what, kind, size, seed, future.result(), flush=True)
    return sorted(rows, key=lambda row: (row["what"], row["figure"], row["kind"], row["size"], row["seed"]))


PLOTS = (
    ("load", "bytes/s", "bytes a member sends in a second"),
    ("detection", "suspected s", "seconds to the first who suspects a dead one"),
    ("detection", "first s", "seconds to the first who knows of a death"),
    ("detection", "worst last s", "seconds to the last who knows, worst of five"),
    ("heal", "one view s", "seconds to one view after a heal"),
    ("slow", "of the healthy/h", "false deaths of healthy ones in an hour, a tenth slow"),
)


def plot(rows: list[Row], out: Path) -> None:
    matplotlib = importlib.import_module("matplotlib")
    matplotlib.use("svg")
    matplotlib.rcParams.update({"svg.hashsalt": "fleet", "svg.fonttype": "none"})
    pyplot = importlib.import_module("matplotlib.pyplot")
    for what, figure, title in PLOTS:
        picture, axes = pyplot.subplots(figsize=(6, 4))
        for kind in KINDS:
            values: dict[int, list[float]] = {}
            for row in rows:
                if (row["what"], row["figure"], row["kind"]) == (what, figure, kind):
                    values.setdefault(int(row["size"]), []).append(float(row["value"]))
            points = [(size, sum(found) / len(found)) for size, found in sorted(values.items())]
            points = [point for point in points if math.isfinite(point[1])]
            if points:
                axes.plot(*zip(*points), marker="o", label=kind)
        axes.set(xscale="log", xlabel="members", title=title)
        axes.set(**{"yscale": "log"} if what == "load" else {"ylim": (0, None)})
        if axes.lines:
            axes.legend()
        name = f"fleet-view-{what}-{figure.split()[0].replace('/', '-')}.svg"
        picture.savefig(out / name, metadata={"Date": None})
        pyplot.close(picture)


def main(words: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m cleatyoke.emulation.measure", description=__doc__)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--plot-only", action="store_true", help="plot the CSV file that is in the folder")
    options = parser.parse_args(words)
    table = options.out / "fleet-view.csv"
    if not options.plot_only:
        rows = measure(options.sizes, options.jobs)
        with table.open("w", newline="") as file:
            writer = csv.DictWriter(file, list(rows[0]))
            writer.writeheader()
            writer.writerows(rows)
    with table.open(newline="") as file:
        plot(list(csv.DictReader(file)), options.out)
    return 0


if __name__ == "__main__":
    sys.exit(main())
