"""Event sequences drawn from fixed seeds, played against the scheduler; what it decides, in plain words.

A change here changes what is recorded: this module has to stay as it was when the recording was written.
"""

from __future__ import annotations

import json
import math
import random
from collections import Counter
from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from typing import Any

from tests.recorded.scheduler_adapter import (
    Means,
    Plain,
    Probes,
    RecordedScheduler,
    Row,
    Simulated,
    divided_bounds,
    fitted_slope,
    running_mean,
)

Reached = Counter[str]
NEVER_STARTED = ("full", "no connection", "not sent")
BAD_OUTCOMES = ("error", "full", "timeout", "no connection", "reset", "cancelled", "not sent")
START = 100.0
MOST_ROWS = 6000
TICK = 0.0005  # least time until a timer goes off

THEMES: dict[str, Plain] = {
    "mixed": {},
    "overload": {"gap": 0.008, "hosts": (1, 1), "bad": 0.02, "classes": 4, "steps": 2000, "target": 0.3},
    "busy": {"gap": 0.02, "hosts": (1, 1), "bad": 0.02, "classes": 3, "steps": 1600, "rate": 300.0},
    "few hosts": {"gap": 0.03, "hosts": (1, 2), "bad": 0.03, "steps": 800},
    "cold": {"gap": 0.015, "restarts": 0.2, "bad": 0.02, "steps": 1200, "quick": True, "idle nodes": True},
    "limits": {"gap": 0.03, "limited": True, "bad": 0.05, "steps": 600, "processes": 0.05},
    "ordered": {"gap": 0.03, "ordered": True, "bad": 0.3, "steps": 600},
    "failing": {"gap": 0.03, "bad": 0.5, "steps": 700, "budget": True},
    "silent": {"gap": 0.02, "silent": 0.12, "bad": 0.05, "steps": 800, "late value": (0.3, 1.0)},
    "others": {"gap": 0.015, "others": True, "bad": 0.02, "steps": 800, "reserve": 60.0, "same hosts": 3},
    "spare": {
        "gap": 0.01,
        "quick": True,
        "bad": 0.0,
        "steps": 1500,
        "rate": 0.4,
        "hosts": (4, 8),
        "cells": 2,
    },
    "settings": {"gap": 0.025, "settings": 0.08, "bad": 0.1, "steps": 800},
    "pauses": {"gap": 0.04, "pauses": 0.03, "bad": 0.1, "steps": 500, "limited": True},
    "many nodes": {"gap": 0.02, "cells": 300, "new": 0.4, "bad": 0.05, "steps": 250},
    "replicas": {"gap": 0.02, "replicas": 3, "cells": 3, "bad": 0.1, "steps": 500, "restarts": 0.1},
    "more classes": {
        "gap": 0.006,
        "hosts": (1, 1),
        "bad": 0.02,
        "classes": 2,
        "steps": 900,
        "settings": 0.15,
        "settings change": "add",
        "cells": 2,
        "rate": 900.0,
        "reserve": 300.0,
    },
    "bursts": {
        "gap": 0.03,
        "pauses": 0.04,
        "pause lengths": (1.5, 2.5),
        "burst": 14,
        "hosts": (1, 1),
        "cells": 2,
        "new": 0.0,
        "classes": 3,
        "bad": 0.0,
        "steps": 400,
        "rate": 300.0,
    },
    "wide": {
        "gap": 0.004,
        "hosts": (1, 1),
        "cells": 10,
        "new": 0.05,
        "classes": 3,
        "bad": 0.0,
        "steps": 2200,
        "rate": 4000.0,
        "reserve": 2000.0,
        "target": 0.2,
    },
    "grid": {
        "gap": 0.06,
        "grid": 1 / 16,
        "targets": (0.25, 0.5, 3.0),
        "ramps": (0.5, 2.0),
        "repeats": (0.25, 0.5, 1.25, 2.0),
        "restarts": 0.15,
        "pauses": 0.03,
        "bad": 0.3,
        "left open": 0.5,
        "steps": 2000,
    },
    "exactly the most": {"gap": 0.02, "cells": 256, "new": 0.6, "bad": 0.05, "steps": 120},
}
SEEDS = 4  # cases of each theme


def draw_class(rng: random.Random, theme: Plain) -> Plain:
    """Draw the settings of one class."""
    low, high = theme.get("late value", (0.0, 0.6))
    return {
        "target": theme.get("target") or rng.choice(theme.get("targets", (0.2, 0.3, 0.5, 1.0))),
        "value": rng.choice([0.5, 1.0, 2.0, 3.5]),
        "late value": rng.choice([low, rng.uniform(low, high), high]),
        "repeat": rng.choice(["free", "free", "keyed", "once"]),
        "scope": rng.choice(["all", "zone", "cell"]),
        "memory": rng.choice([0.4, 0.8, 5.0]),
        "ordered": rng.random() < (0.8 if theme.get("ordered") else 0.2),
    }


def draw_plan(rng: random.Random, theme: Plain) -> Plain:
    """Draw the settings of one plan."""
    limited = rng.random() < (0.9 if theme.get("limited") else 0.2)
    rate = theme.get("rate") or rng.choice([10.0, 60.0, 250.0])
    return {
        "value": rng.choice([0.5, 1.0, 2.0]),
        "rate": rate,
        "reserve": theme.get("reserve", rate * rng.choice([0.0, 0.3, 0.8])),
        "weight": rng.choice([0.5, 1.0, 3.0]),
        "limit": rng.choice([6.0, 20.0, 60.0]) if limited else 0.0,
        "burst": rng.choice([6.0, 24.0]) if limited else 0.0,
        "slack": rng.choice([0.0, 4.0, 18.0]) if limited else 0.0,
    }


def draw_settings(rng: random.Random, theme: Plain) -> Plain:
    """Draw the settings of one case."""
    budget = theme.get("budget") or rng.random() < 0.4
    return {
        "classes": [draw_class(rng, theme) for _ in range(theme.get("classes") or rng.randint(1, 4))],
        "plans": [draw_plan(rng, theme) for _ in range(rng.randint(1, 3))],
        "guards": {
            "cold from": rng.choice([0.0, 0.1, 0.3]),
            "ramp": rng.choice(theme.get("ramps", (2.0, 6.0, 20.0))),
            "cold multiple": rng.choice([1.0, 2.0]),
            "cold span": rng.choice([0.5, 1.0]),
            "list period": rng.choice([None, 0.4, 10.0]),
            "key rest": rng.choice([0.0, 0.05, 0.2]),
            "extra free": rng.choice([None, 1.0, 3.0]) if budget else None,
            "extra ratio": rng.choice([None, 0.05, 0.2]) if budget else None,
            "extra window": rng.choice([0.3, 1.0, 5.0]) if budget else None,
        },
        "seed": rng.randrange(1 << 30),
        "hosts": rng.choice(theme.get("hosts", (0, 1, 1, 2, 3, 40))),
        "watch": rng.random() < 0.5,
        "attempts": rng.choice([1, 2, 3, 6]),
        "cancel": rng.random() < 0.7 or "silent" in theme,
        "cold units": rng.choice([0.5, 8.0, 30.0]),
        "largest": 6.0,
        "mean": 2.0,
        "value beyond reserve": rng.choice([0.1, 0.3, 1.0]),
        "nodes report others": bool(theme.get("others")) or rng.random() < 0.3,
        "quiet since": rng.choice([None, None, START - 40.0, START + 5.0]),
        "limit part": rng.choice([1.0, 1.0, 0.5]),
        "taken over": rng.random() < 0.2,
        "retry after": rng.choice([0.0, 0.5, 30.0]),
        "probes": rng.random() < 0.2,
    }


class Drive:
    """Clients, nodes and discovery around one scheduler; it reacts to what the scheduler decides."""

    def __init__(self, theme: Plain, seed: int, reached: Reached) -> None:
        self.rng = random.Random(seed)
        self.theme, self.reached = theme, reached
        self.settings = draw_settings(self.rng, theme)
        self.retired: set[int] = set()
        self.scheduler = RecordedScheduler(self.settings)
        self.now = START
        self.rows: list[Row] = []
        self.queue: list[tuple[float, int, str, Plain]] = []
        self.queued = self.drawn = 0
        self.timer_at: float | None = None
        self.open: dict[str, Plain] = {}  # requests that are owed an answer
        self.arrivals: dict[str, Plain] = {}  # all requests that ever came
        self.out: dict[tuple[str, int], tuple[int, float, Plain]] = {}  # attempts that have not ended
        self.attempts: Counter[str] = Counter()
        self.due: list[tuple[str, int]] = []  # attempts that are ended with the next batch
        self.nodes: dict[int, Plain] = {}
        self.pace: dict[int, float] = {}
        self.work: dict[int, float] = {}  # node: until when it has something to do
        cells = theme.get("cells") or self.rng.randint(1, 6)
        for cell in range(cells):
            self.add_node(cell, 0.0)
        for replica in range(cells * (theme.get("replicas", 1) - 1)):
            self.add_node(replica % cells, 0.0)
        if self.rng.random() < 0.3:
            self.add_node(-1, 0.0)
        self.cells = cells
        self.push(self.now, "nodes", {"list": "old copy", "nodes": self.listed()})
        self.push(self.now + 0.001, "draw arrival", {})
        self.push(self.now + 0.3, "draw news", {})

    def push(self, at: float, kind: str, plain: Plain) -> None:
        """Schedule something."""
        self.queued += 1
        heappush(self.queue, (self.on_grid(at), self.queued, kind, plain))

    def on_grid(self, at: float) -> float:
        """Return the next time of a grid whose times are exact numbers, where the theme has one."""
        grid = self.theme.get("grid")
        return math.ceil(at / grid) * grid if grid else at

    def add_node(self, cell: int, since: float) -> Plain:
        """Add a node with a pace of its own."""
        node = len(self.nodes) + 1
        slow = self.rng.choice([0.002, 0.005, 0.01, 0.03]) if not self.theme.get("quick") else 0.001
        self.pace[node], self.work[node] = slow, 0.0
        entry = {"node": node, "cell": cell, "zone": max(0, cell) % 2, "state": "live", "since": since}
        self.nodes[node] = entry
        return entry

    def listed(self) -> list[Plain]:
        """Return the nodes that discovery lists."""
        return [dict(one) for one in self.nodes.values() if one["state"] != "gone"]

    def run(self) -> list[Row]:
        """Play the whole case and return what was decided."""
        steps = 0
        while steps < self.theme.get("steps", 500) and len(self.rows) < MOST_ROWS:
            steps += self.step()
        return self.rows

    def step(self) -> int:
        """Pass the next batch: all that is due within a moment that is drawn. Return 1, or 0 for a timer."""
        upto = self.on_grid(self.queue[0][0] + self.rng.choice([0.0, 0.0, 0.002, 0.01]))
        batch: list[tuple[str, Plain]] = []
        if self.timer_at is not None and self.timer_at <= upto:
            self.now, self.timer_at = max(self.now, self.timer_at), None
            batch.append(("timer", {"token": 0}))
            upto = self.now
        else:
            self.now = max(self.now, upto)
        while self.queue and self.queue[0][0] <= upto:
            _, _, kind, plain = heappop(self.queue)
            batch += self.events(kind, plain)
        for kind, plain in batch:
            self.reached[f"event {kind}"] += 1
            if kind == "nodes":
                self.reached[f"list {plain['list']}"] += 1
            if kind == "ended":
                self.reached[f"outcome {plain['outcome']}"] += 1
                self.reached["ended settled" if plain["settled"] else "ended open"] += 1
        for row in self.scheduler.step(self.now, batch):
            self.rows.append(row)
            self.reached[f"action {row[0]}"] += 1
            self.react(row)
        return int(any(kind != "timer" for kind, _ in batch))

    def events(self, kind: str, plain: Plain) -> list[tuple[str, Plain]]:
        """Return what the scheduler is passed of something that is due."""
        if kind == "draw arrival":
            return self.draw_arrivals()
        if kind == "draw news":
            return self.draw_news()
        if kind == "end":
            return self.end_attempt(plain)
        if kind == "withdrawn" and plain["request"] not in self.open:
            return []
        if kind == "withdrawn":
            del self.open[plain["request"]]
        if kind == "arrival":
            self.open[plain["request"]] = plain
        if kind == "nodes" and plain["list"] == "whole":
            plain = {**plain, "nodes": self.listed()}
        return [(kind, plain)]

    def draw_arrivals(self) -> list[tuple[str, Plain]]:
        """Draw some requests that come together."""
        rng, theme = self.rng, self.theme
        pause = rng.random() < theme.get("pauses", 0.0)
        gap = (
            rng.choice(theme.get("pause lengths", (3.0, 35.0, 70.0)))
            if pause
            else rng.expovariate(1 / theme.get("gap", 0.02))
        )
        self.push(self.now + gap, "draw arrival", {})
        arrivals = []
        live = [one for one in range(len(self.settings["classes"])) if one not in self.retired]
        for _ in range(rng.choice([1, 1, 1, theme.get("burst", 4)])):
            self.drawn += 1
            volume = rng.randrange(5)
            arrival = {
                "request": f"r{self.drawn}",
                "class": rng.choice(live),
                "plan": volume % len(self.settings["plans"]),
                "volume": volume,
                "item": rng.randrange(6) if rng.random() < 0.8 else None,
                "cell": -1 if rng.random() < theme.get("new", 0.15) else rng.randrange(self.cells),
                "units": rng.choice([1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 3.5, 6.0, 9.0, 0.02]),
                "deadline": self.now
                + rng.choice([0.3, 0.6, 1.5, 1.5, 4.0, rng.choice([0.0, 0.01, 0.06, 4.0])]),
                "hosts": theme.get("same hosts") or rng.choice([0, 1, 2, 3]),
            }
            self.open[arrival["request"]] = self.arrivals[arrival["request"]] = arrival
            if rng.random() < 0.04:
                left = {"request": arrival["request"]}
                self.push(self.now + rng.choice([0.005, 0.05, 0.3]), "withdrawn", left)
            arrivals.append(("arrival", arrival))
        return arrivals

    def draw_news(self) -> list[tuple[str, Plain]]:
        """Draw what happens beside the requests: nodes, loads, parts that are lent, settings."""
        rng, theme = self.rng, self.theme
        self.push(self.now + rng.choice([0.03, 0.1, 0.25]), "draw news", {})
        chance = rng.random()
        if rng.random() < theme.get("settings", 0.005):
            return [self.change_settings()]
        if rng.random() < theme.get("processes", 0.01):
            return [("limit part", {"part": rng.choice([0.25, 0.5, 1.0])})]
        if rng.random() < (0.3 if theme.get("limited") else 0.05):
            return [
                ("volume part", {"volume": rng.randrange(6), "part": rng.choice([0.0, 0.4, 1.0, 1.7, 3.0])})
            ]
        if rng.random() < (0.3 if theme.get("restarts") else 0.05):
            return [
                (
                    "node part",
                    {"node": rng.randint(1, len(self.nodes) + 1), "part": rng.choice([0.2, 1.0, 3.0])},
                )
            ]
        if rng.random() < (0.3 if theme.get("restarts") else 0.05):
            return [("busy", {"part": rng.choice([0.05, 0.2]) if theme.get("idle nodes") else rng.random()})]
        if chance < theme.get("restarts", 0.06):
            return [self.restart_node()]
        if chance < theme.get("restarts", 0.06) + 0.04:
            return [self.stop_node()]
        if chance < theme.get("restarts", 0.06) + 0.055:
            return [("nodes", {"list": "lost", "nodes": []})]
        if chance > 0.98:
            kind = rng.choice(["whole", "old copy"])
            missing = rng.random() < 0.5
            return [("nodes", {"list": kind, "nodes": self.listed()[1 if missing else 0 :]})]
        if chance > 0.96:  # what the scheduler doesn't know
            return [
                ("withdrawn", {"request": "r0"}),
                ("ended", self.ended("r0", 0, 1, "served", 0.1, True)),
            ]
        return []

    def restart_node(self) -> tuple[str, Plain]:
        """A node starts anew, or another one takes over its cell, or a stopped one comes back."""
        entry = self.rng.choice(list(self.nodes.values()))
        since = max(0.0, self.now - self.rng.choice([0.0, 0.2, 3.0]))
        if self.rng.random() < 0.3:
            entry = self.add_node(entry["cell"], since)
        else:
            entry["state"] = "live"
            entry["since"] = self.rng.choice([since, since, entry["since"]])
        return "nodes", {"list": "changes", "nodes": [dict(entry)]}

    def stop_node(self) -> tuple[str, Plain]:
        """A node drains or is gone, and comes back later."""
        entry = self.rng.choice(list(self.nodes.values()))
        entry["state"] = self.rng.choice(["draining", "gone"])
        back = {**entry, "state": "live"}
        entry_back = self.rng.choice([0.2, 1.0, 5.0])
        self.push(self.now + entry_back, "nodes", {"list": "changes", "nodes": [back]})
        return "nodes", {"list": "changes", "nodes": [dict(entry)]}

    def change_settings(self) -> tuple[str, Plain]:
        """Classes come, go or come back, and figures change."""
        rng, new = self.rng, draw_settings(self.rng, self.theme)
        old, count = self.settings, len(self.settings["classes"])
        classes = [dict(one) for one in old["classes"]]
        choice = self.theme.get("settings change") or rng.choice(["add", "retire", "return", "figures"])
        if choice == "add":
            classes.append(draw_class(rng, self.theme))
        elif choice == "retire" and count - len(self.retired) > 1:
            self.retired.add(rng.choice([one for one in range(count) if one not in self.retired]))
        elif choice == "return" and self.retired:
            self.retired.discard(min(self.retired))
        else:
            classes[rng.randrange(count)] = draw_class(rng, self.theme)
        for place in self.retired:
            classes[place]["value"] = 1e-9
        for place, one in enumerate(classes):
            if place not in self.retired and one["value"] < 1e-6:
                one["value"] = 1.5
        plans = [draw_plan(rng, self.theme) if rng.random() < 0.3 else one for one in old["plans"]]
        plans += [draw_plan(rng, self.theme)] if rng.random() < 0.2 else []
        kept = {key: old[key] for key in ("seed", "quiet since", "limit part", "taken over", "watch")}
        self.settings = {**new, **kept, "classes": classes, "plans": plans}
        self.reached["settings with more classes"] += len(classes) > count
        self.reached["settings with a retired class"] += bool(self.retired)
        return "settings", {"settings": self.settings, "retired classes": sorted(self.retired)}

    def end_attempt(self, plain: Plain) -> list[tuple[str, Plain]]:
        """An attempt ends, unless it has ended before."""
        request, attempt = plain["request"], plain["attempt"]
        if (request, attempt) not in self.out:
            return []
        node, sent, _ = self.out.pop((request, attempt))
        outcome = plain["outcome"]
        settled_at_once = 0.99 if outcome == "served" else 0.0 if outcome in NEVER_STARTED else 0.1
        closed = request not in self.open and self.rng.random() >= self.theme.get("left open", 0.0)
        settled = closed or self.rng.random() < settled_at_once
        if settled:
            self.open.pop(request, None)
        event = self.ended(request, attempt, node, outcome, self.now - sent, settled)
        twice = self.rng.random() < 0.01
        return [("ended", event)] * (2 if twice else 1)

    def ended(
        self, request: str, attempt: int, node: int, outcome: str, spent: float, settled: bool
    ) -> Plain:
        """Return the end of an attempt, with what its node reports."""
        rng = self.rng
        busy = (
            rng.choice([None, 0.02, 0.1])
            if self.theme.get("idle nodes")
            else rng.choice([None, None, 0.4, 1.3])
        )
        return {
            "request": request,
            "attempt": attempt,
            "node": node,
            "outcome": outcome,
            "spent": spent,
            "settled": settled,
            "elsewhere": rng.choice([0.0, 0.5, 3.0]),
            "busy": busy,
        }

    def react(self, row: Row) -> None:
        """Let the world follow one decision."""
        if row[0] == "send":
            self.start_attempt(row[2], row[3])
        elif row[0] in ("reject", "fail"):
            self.open.pop(row[2], None)
            self.come_again(row[2])
        elif row[0] == "cancel":
            if (row[2], row[3]) in self.out:
                plain = {"request": row[2], "attempt": row[3], "outcome": "cancelled"}
                self.push(self.now + self.rng.choice([0.0, 0.003]), "end", plain)
        elif row[0] == "timer":
            self.timer_at = self.on_grid(self.now + max(row[2], TICK))
        else:
            self.push(self.now + 0.02, "nodes", {"list": "whole", "nodes": []})

    def come_again(self, request: str) -> None:
        """Some clients repeat what was turned away, under another id."""
        if self.rng.random() < 0.3:
            self.drawn += 1
            again = {**self.arrivals[request], "request": f"r{self.drawn}", "deadline": self.now + 1.5}
            self.arrivals[again["request"]] = again
            self.push(self.now + self.rng.choice(self.theme.get("repeats", (0.01, 0.1))), "arrival", again)

    def start_attempt(self, request: str, node: int) -> None:
        """Draw how an attempt will end, by the work that its node has."""
        rng = self.rng
        arrival = self.open[request]
        attempt = self.attempts[request]
        self.attempts[request] += 1
        self.out[request, attempt] = node, self.now, arrival
        service = self.pace[node] * (arrival["units"] + 0.5) * (1 + arrival["class"]) * rng.uniform(0.9, 1.1)
        self.work[node] = max(self.work[node], self.now) + service / 4
        ends = self.work[node] + service
        outcome = "served"
        if rng.random() < self.theme.get("bad", 0.2):
            outcome = rng.choice(BAD_OUTCOMES)
            ends = self.now + rng.choice([0.001, 0.02, 0.2, 0.7])
        if rng.random() < self.theme.get("silent", 0.01):
            outcome, ends = "reset", self.now + rng.choice([1.0, 3.0, 8.0])
        if ends > arrival["deadline"]:
            outcome, ends = "timeout", max(self.now, arrival["deadline"])
        self.push(ends, "end", {"request": request, "attempt": attempt, "outcome": outcome})


def play_drive(theme: str, seed: int) -> tuple[list[Row], Reached]:
    """Play one drawn case of a theme."""
    reached: Reached = Counter()
    return Drive(THEMES[theme], seed, reached).run(), reached


def play_functions(seed: int) -> tuple[list[Row], Reached]:
    """Call the pure functions with drawn numbers."""
    rng, rows = random.Random(seed), []
    for _ in range(120):
        history = [(rng.uniform(0, 8), rng.uniform(0, 3)) for _ in range(rng.randint(0, 6))]
        rows.append(["slope", fitted_slope(history)])
        rows.append(["mean", running_mean(rng.uniform(0, 1), rng.uniform(0, 1))])
        count = rng.randint(1, 5)
        bounds = [rng.uniform(0, 2 / count) for _ in range(count)]
        wanted = [rng.uniform(-0.05, 2.2 / count) for _ in range(count)]
        if rng.random() < 0.2:
            count, bounds, wanted = 2, [0.3, 0.7], [0.5, 0.5]
        performance = [rng.uniform(0, 2) for _ in range(count)]
        slopes = [rng.choice([None, rng.uniform(0.01, 30)]) for _ in range(count)]
        values = [rng.choice([1e-9, 0.5, 1.0, 4.0]) for _ in range(count - 1)] + [1.0]
        rows.append(["bounds", *divided_bounds(bounds, wanted, performance, slopes, values)])
    return rows, Counter({"functions": len(rows)})


def play_probes(seed: int) -> tuple[list[Row], Reached]:
    """Drive the load probes with drawn news and reports."""
    rng, rows, now = random.Random(seed), [], START
    ramp = rng.choice([5.0, 20.0])
    probes = Probes(rng.choice([0, 1, 3, 20]), ramp, seed)
    count = rng.choice([2, 5, 30])

    def node(number: int, since: float) -> Plain:
        state = rng.choice(["live"] * 8 + ["draining", "gone"])
        return {"node": number, "cell": number, "zone": 0, "state": state, "since": since}

    probes.nodes("whole", [node(number, 0.0) for number in range(count)])
    gaps = (0.0, 0.25, 0.5, 1.0, 6.0) if seed % 2 else (0.0, 0.03, 0.15, 0.4, 1.0, 1.0, 7.0)
    for _ in range(300):
        now += rng.choice(gaps)
        chance = rng.random()
        if chance < 0.08:
            since = rng.choice([0.0, now, now - ramp / 2])
            probes.nodes("changes", [node(rng.randrange(count + 2), since)])
        elif chance < 0.1:
            kind = rng.choice(["whole", "old copy", "lost"])
            entries = [node(number, rng.choice([0.0, 0.0, now])) for number in range(rng.randint(1, count))]
            probes.nodes(kind, [] if kind == "lost" else entries)
        elif chance < 0.13:
            probes.report(rng.randrange(count), now, rng.choice([None, -0.5, 0.3, 1.5]))
        rows.append(["next", now, probes.next_time(now)])
        probed = probes.next_node(now)
        rows.append(["probe", now, probed])
        if probed is not None and rng.random() < 0.9:
            probes.report(probed, now, rng.choice([None, rng.random(), rng.random()]))
        rows.append(["load", now, probes.load(now)])
    return rows, Counter({"probes": sum(1 for row in rows if row[0] == "probe" and row[2] is not None)})


def play_means(seed: int) -> tuple[list[Row], Reached]:
    """Drive the fading means with drawn changes, down to where their scale is written anew."""
    rng, rows, means = random.Random(seed), [], Means()
    for _ in range(400):
        what = rng.choice(["fade", "add", "add", "keep", "resume"])
        cell = rng.randrange(8)
        value = rng.choice([1.0, 0.98, 0.5, 1e-12, 0.0 if rng.random() < 0.1 else 0.9])
        means.change(what, cell, value if what == "fade" else rng.choice([0.0, rng.uniform(0, 50)]))
        rows.append([what, cell, *means.values(cell), *means.values(rng.randrange(9))])
    return rows, Counter({"means": len(rows)})


class Wire:
    """The other side of the simulator's wire, for two instances."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulated = Simulated()
        self.now, self.number, self.drawn = 5.0, 0, 0
        self.due: list[tuple[float, int, Plain]] = []
        self.queued = 0
        self.shots: Counter[str] = Counter()
        self.owed: dict[str, Plain] = {}
        self.rows: list[Row] = []
        self.reached: Reached = Counter()

    def facts(self) -> Plain:
        """Draw the settings of an instance."""
        rng = self.rng
        lane = {
            "AimS": rng.choice([0.3, 0.5]),
            "DedupScope": rng.choice(["all", "zone", "cell"]),
            "LateShare": rng.choice([0.1, 0.4]),
            "MemorySpanS": 5.0,
            "Worth": 2.0,
        }
        contract = {"BaseRate": 60.0, "FloorRate": 30.0, "Proportion": 1.0, "WorthFactor": 1.0}
        limited = {**contract, "Limit": 9.0, "LimitBurst": 12.0, "CapSlack": 6.0, "Proportion": 2.0}
        return {
            "Contracts": [contract, limited],
            "Discovery": rng.choice(["automatic", "subscribe"]),
            "Extra": {
                "ColdUnits": 9.0,
                "MeanUnits": 2.0,
                "Largest": 6,
                "SaysOthers": rng.random() < 0.5,
                "WithinShare": 0.3,
            },
            "Lanes": [
                {**lane, "Repeat": "once"},
                {**lane, "Repeat": "by_key", "ByArrival": True},
                {**lane, "Repeat": "repeatable", "Worth": 3.0},
            ],
            "PolicyLimits": {
                "Cancel": True,
                "SendCap": 3,
                "Probes": True,
                "RetryAfter": True,
                "MaxRetryAfterS": 2.0,
            },
            "Report": {"How": "probe", "Fields": ["queue", rng.choice(["util", "cpu"])]},
            "Safety": {
                "AskEveryS": 2.0,
                "ColdFrom": 0.2,
                "ExtraRatio": 0.2,
                "FreeResends": 2.0,
                "KeyRestS": 0.1,
                "LookBackS": 1.0,
                "RampTimeS": 9.0,
                "TipAfterS": 1.0,
                "TipMultiple": 2.0,
            },
            "Siblings": 2,
        }

    def later(self, after: float, event: Plain) -> None:
        """Schedule an event."""
        self.queued += 1
        heappush(self.due, (self.now + after, self.queued, event))

    def shelf(self, number: int, since: float | None = None, state: str = "live") -> Plain:
        """Return one node of a list."""
        cell = None if number == 14 else number - 10
        return {"Pack": cell, "UpSinceS": since, "Shelf": number, "Area": number % 2, "StageState": state}

    def catalog(self, slot: int, shelves: list[Plain]) -> Plain:
        """Return a list of nodes."""
        return {"type": "CATALOG", "Slot": slot, "Elements": shelves}

    def births(self) -> list[Plain]:
        """Start both instances."""
        news = [self.catalog(0, [self.shelf(number) for number in range(10, 15)])]
        for head in (0, 1):
            news.append(
                {"type": "BORN", "Head": head, "RngSeed": self.rng.randrange(99), "Facts": self.facts()}
            )
            news.append(
                {"type": "ROSTER_CHANGE", "Head": head, "Slot": 0, "Revision": 1, "Mode": "warm_copy"}
            )
        return news

    def run(self) -> None:
        """Exchange some hundred batches."""
        self.exchange(self.births())
        for number in range(260):
            self.now += self.rng.choice([0.005, 0.02, 0.05])
            news: list[Plain] = []
            while self.due and self.due[0][0] <= self.now:
                event = heappop(self.due)[2]
                stopped = 150 <= number < 160 and event["Head"] == 1
                if not (stopped and event["type"] == "BELL"):  # a stopped instance has no timers
                    news.append(event)
            news += self.requests() if self.rng.random() < 0.8 else []
            news += self.changes(number)
            self.exchange(news)
        for line in ("tea", "[]", '{"TsS":1}', '{"TsS":1,"round":2,"news":[{"type":"TEA","Head":0}]}'):
            self.rows.append(["reply", self.simulated.reply(line)])

    def requests(self) -> Iterator[Plain]:
        """Draw some requests."""
        for _ in range(self.rng.choice([1, 1, 3])):
            self.drawn += 1
            volume = self.rng.randrange(4)
            event = {
                "type": "REQ",
                "Head": self.rng.randrange(2),
                "Req": f"q{self.drawn}",
                "Contract": volume % 2,
                "Profile": self.rng.randrange(3),
                "Item": self.rng.choice([None, 1, 2, 3]),
                "Placement": self.rng.choice([-1, 0, 1, 2, 3]),
                "StoreUser": volume,
                "DeadlineS": self.now + self.rng.choice([0.4, 1.5]),
                "NHosts": self.rng.choice([None, 1, 2]),
                "CostUnits": self.rng.choice([None, 1, 2, 6]),
            }
            self.owed[event["Req"]] = event
            yield event

    def changes(self, number: int) -> list[Plain]:
        """Draw what happens beside the requests."""
        news: list[Plain] = []
        head = self.rng.randrange(2)
        if self.rng.random() < 0.08:
            state = self.rng.choice(["live", "live", "quiescing", "dead"])
            shelf = self.shelf(
                self.rng.randint(10, 14), self.rng.choice([None, self.now, self.now - 2.0]), state
            )
            news.append(self.catalog(1, [shelf]))
            news += [
                {"type": "ROSTER_CHANGE", "Head": one, "Slot": 1, "Revision": number, "Mode": "incr"}
                for one in (0, 1)
            ]
        if self.rng.random() < 0.02:
            news.append({"type": "ROSTER_CHANGE", "Head": head, "Slot": 0, "Revision": 9, "Mode": "total"})
        if self.rng.random() < 0.02:
            news.append({"type": "ROSTER_CHANGE", "Head": head, "Mode": "lost"})
        if self.rng.random() < 0.04 and self.owed:
            event = self.owed.pop(self.rng.choice(list(self.owed)))
            news.append({"type": "ABORTED", "Head": event["Head"], "Req": event["Req"]})
        if number == 150:
            news.append({"type": "SHUTDOWN", "Head": 1})
        if number == 160:
            facts = self.facts()
            news.append({"type": "BORN", "Head": 1, "RngSeed": 7, "Facts": facts})
            news.append({"type": "ROSTER_CHANGE", "Head": 1, "Slot": 0, "Revision": 2, "Mode": "total"})
        if self.rng.random() < 0.05:
            news.append({"type": self.rng.choice(["FIRST", "MAIL"]), "Head": head})
        return news

    def exchange(self, news: list[Plain]) -> None:
        """Send one batch and follow its reply."""
        self.number += 1
        self.reached.update(f"wire {event['type']}" for event in news)
        reply = self.simulated.reply(json.dumps({"TsS": self.now, "round": self.number, "news": news}))
        self.rows.append(["reply", json.dumps(reply)])
        for step in reply["steps"] if reply else ():
            self.reached[f"wire {step['type']}"] += 1
            self.react(step)

    def react(self, step: Plain) -> None:
        """Let the world follow one step of a reply."""
        rng, head = self.rng, step["Head"]
        report = [rng.choice([3, 4]), rng.random()]
        if step["type"] == "ROUTE":
            name = step["Req"]
            outcomes = [
                "errored",
                "saturated",
                "overdue",
                "refused_conn",
                "severed",
                "recalled",
                "superseded",
            ]
            outcome = rng.choice(outcomes) if rng.random() < 0.2 else "completed"
            spent = rng.choice([0.01, 0.03, 0.1, 0.4])
            event = {
                "type": "FINISHED",
                "Head": head,
                "Req": name,
                "Shot": self.shots[name],
                "Shelf": step["Shelf"],
                "Disposition": outcome,
                "SpentS": spent,
                "Settled": outcome == "completed" or rng.choice([None, False, False, True]),
                "OthersGot": rng.choice([None, 0.0, 2]),
                "HealthInfo": rng.choice([None, report]),
            }
            self.shots[name] += 1
            self.later(spent, event)
        elif step["type"] == "TOUCH":
            event = {"type": "HEALTH", "Head": head, "Shelf": step["Shelf"], "SpentS": 0.01}
            event |= {"Disposition": rng.choice(["completed"] * 5 + ["overdue"]), "HealthInfo": report}
            self.later(0.01, event)
        elif step["type"] == "TIMER":
            self.later(step["AfterS"], {"type": "BELL", "Head": head, "Ref": step["Ref"]})
        elif step["type"] == "WATCH":
            news = {"type": "ROSTER_CHANGE", "Head": head, "Slot": 0, "Revision": 3, "Mode": "total"}
            self.later(0.02, news)
        elif step["type"] in ("SAY_NO", "SURRENDER"):
            self.owed.pop(step["Req"], None)


def play_wire(seed: int) -> tuple[list[Row], Reached]:
    """Exchange drawn batches with the simulator's adapter."""
    wire = Wire(seed)
    wire.run()
    return wire.rows, wire.reached


def all_cases() -> dict[str, Callable[[], tuple[list[Row], Reached]]]:
    """Return every case by name, in the order of the recording."""
    cases: dict[str, Callable[[], tuple[list[Row], Reached]]] = {}

    def add(name: str, play: Callable[..., tuple[list[Row], Reached]], *drawn: Any) -> None:
        cases[name] = lambda: play(*drawn)

    for place, theme in enumerate(THEMES):
        for number in range(SEEDS):
            add(f"{theme} {number}", play_drive, theme, 1000 * place + number)
    for number in range(6):
        add(f"functions {number}", play_functions, 50_000 + number)
        add(f"probes {number}", play_probes, 51_000 + number)
        add(f"means {number}", play_means, 52_000 + number)
        add(f"simulator {number}", play_wire, 53_000 + number)
    return cases
