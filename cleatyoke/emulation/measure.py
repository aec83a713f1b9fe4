"""``python -m cleatyoke.emulation.measure --out docs``: what the fleet's view costs and how soon it knows, at
several sizes, against the baselines, in virtual time. Writes ``fleet-view.csv`` and, with the extra
``plots``, ``fleet-view-*.svg``. The same seeds give the same figures.
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
WARM = 15.0  # seconds until the fleet has one view
KILLS = 5
WATCHED = 120.0  # seconds over which false deaths are counted, so that an hour is thirty times as many
LOSSES = (0.0, 0.1, 0.3)
SLOW, BEHIND = 0.1, 2.0  # part of the members that are slow; seconds that each of their messages takes more
HEAL_LIMIT = 60.0
Row = dict[str, Any]


def started(kind: str, size: int, seed: int, loss: float = 0.0) -> Fleet:
    everybody = size if kind == "heartbeats" else 3
    fleet = Fleet(size, seed, network=Network(seed, loss=loss), make=KINDS[kind], seeds=everybody)
    fleet.start_all(over=2.0)
    fleet.run(WARM if kind != "heartbeats" else 2.5)
    return fleet


def load(kind: str, size: int, seed: int) -> Row:
    """Datagrams and bytes that a member sends in a second, with nothing going on."""
    fleet = started(kind, size, seed)
    seconds = 10.0
    before = fleet.traffic()
    fleet.run(fleet.now + seconds)
    after = fleet.traffic()
    return {
        "datagrams/s": (after[0] - before[0]) / size / seconds,
        "bytes/s": (after[1] - before[1]) / size / seconds,
    }


def detection(kind: str, size: int, seed: int) -> Row:
    """Seconds from a kill to the first who suspects it (SWIM's detection), to the first who believes it, and
    to the last: deaths wait for the refutation that may come, the longer the larger the fleet.
    """
    fleet, doubts, firsts, lasts = started(kind, size, seed), [], [], []
    for front in range(size - 1, size - 1 - KILLS, -1):
        id = fleet.running[fleet.address(front)].members.id
        fleet.kill(front)
        fleet.journal.suspected.pop(id, None)
        began, known = fleet.now, len(fleet.journal.deaths)
        while fleet.now < began + 60 and fleet.fraction_knowing_dead(id) < 1.0:
            fleet.run(fleet.now + 0.05)
        of_it = [at for at, _, dead, _ in fleet.journal.deaths[known:] if dead == id]
        doubts.append(fleet.journal.suspected[id] - began)
        firsts.append(min(of_it) - began)
        lasts.append(fleet.now - began)
    return {
        "suspected s": sum(doubts) / KILLS,
        "first s": sum(firsts) / KILLS,
        "last s": sum(lasts) / KILLS,
        "worst last s": max(lasts),
        "spread periods": max(last - first for first, last in zip(firsts, lasts)) / PERIOD,
    }


def false_deaths(kind: str, size: int, seed: int, loss: float, slow: float) -> Row:
    """Deaths of lives that run, as told by each member for itself, in an hour of the whole fleet."""
    fleet = started(kind, size, seed, loss)
    faint = range(size - max(1, int(size * slow)), size) if slow else range(0)
    for front in faint:
        fleet.network.extra_delay[fleet.address(front)] = BEHIND
    fleet.run(fleet.now + 10.0)
    fleet.journal.deaths.clear()
    fleet.run(fleet.now + WATCHED)
    names = {f"front-{front:04d}" for front in faint}
    wrong = [(by, dead) for _, by, dead, true in fleet.journal.deaths if not true]
    hours = WATCHED / 3600
    return {
        "told/h": len(wrong) / hours,
        "of the healthy/h": sum(dead.name not in names for _, dead in wrong) / hours,
        "of the slow/h": sum(dead.name in names for _, dead in wrong) / hours,
    }


def heal(kind: str, size: int, seed: int) -> Row:
    """Seconds from the end of a cut of two to three, which lasted 40 s, to one view of all."""
    fleet = started(kind, size, seed)
    fleet.cut(range(size * 2 // 5))
    fleet.run(fleet.now + 40.0)
    fleet.end_cuts()
    took = fleet.settle(HEAL_LIMIT)
    return {"one view s": math.inf if took is None else took}


def jobs(sizes: Sequence[int]) -> list[tuple[str, Callable[..., Row], str, int, int, tuple[float, ...]]]:
    out: list[tuple[str, Callable[..., Row], str, int, int, tuple[float, ...]]] = []
    for size in sorted(sizes, reverse=True):
        for kind in KINDS:
            beats = kind == "heartbeats"
            for seed in (1, 2) if size <= 200 else (1,):
                if beats and size > 200:
                    continue  # a million datagrams a round: more than this is worth
                out.append(("load", load, kind, size, seed, ()))
                out.append(("detection", detection, kind, size, seed, ()))
                if size <= 200:
                    out.append(("heal", heal, kind, size, seed, ()))
                if size <= 50 or (size <= 200 and kind == "ours"):  # baselines in a storm of false deaths
                    for loss in LOSSES:
                        out.append((f"loss {loss:g}", false_deaths, kind, size, seed, (loss, 0.0)))
                    out.append(("slow", false_deaths, kind, size, seed, (0.0, SLOW)))
    return out


def measure(sizes: Sequence[int], workers: int) -> list[Row]:
    rows = []
    with ProcessPoolExecutor(workers) as pool:
        todo = [(job, pool.submit(job[1], *job[2:5], *job[5])) for job in jobs(sizes)]
        for (what, _, kind, size, seed, _), future in todo:
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
    parser.add_argument("--plot-only", action="store_true", help="of the figures that are in the folder")
    chosen = parser.parse_args(words)
    table = chosen.out / "fleet-view.csv"
    if not chosen.plot_only:
        rows = measure(chosen.sizes, chosen.jobs)
        with table.open("w", newline="") as file:
            writer = csv.DictWriter(file, list(rows[0]))
            writer.writeheader()
            writer.writerows(rows)
    with table.open(newline="") as file:
        plot(list(csv.DictReader(file)), chosen.out)
    return 0


if __name__ == "__main__":
    sys.exit(main())
