"""Fault scripts for the virtual fleet: drawn by a seed, told in one line, played again from it, made
shorter.

    {"size": 20, "seed": 7, "loss": 0.1, "steps": [[2.0, "kill", [3]], [4.5, "cut", [0, 1, 2]], ...]}

Steps are ``[seconds, what, fronts]``; ``start``, ``kill``, ``restart``, ``leave``, ``stop`` (8 s),
``cut`` (these from the rest), ``deaf`` (the first does not hear the second) and ``heal``.
"""

from __future__ import annotations

import json
import random
from typing import Any

from cleatyoke.emulation.fleet import Fleet, Make
from cleatyoke.emulation.network import Network
from cleatyoke.membership.members import Membership
from cleatyoke.membership.timing import MembershipTiming

STOP = 8.0  # seconds that a stopped process stands
START = 12.0  # seconds until the fleet has one view, and faults begin
LOOK = 1.0  # seconds between looks at what each may conclude
SETTLES = 40.0  # seconds after the last fault in which there has to be one view again, at the default timing
FAULTS = ("kill", "restart", "leave", "stop", "cut", "deaf", "heal", "start")

Script = dict[str, Any]


def draw(seed: int, size: int, seconds: float = 30.0, most: int = 12) -> Script:
    """The script of this number; the same in every run."""
    rng = random.Random(f"script:{seed}:{size}")
    steps: list[list[Any]] = []
    for _ in range(rng.randint(1, most)):
        what = rng.choice(FAULTS)
        few = rng.randint(1, max(1, size // (2 if what == "cut" else 4)))
        fronts = sorted(rng.sample(range(size), 2 if what == "deaf" else few))
        steps.append([round(rng.uniform(0, seconds), 2), what, [] if what == "heal" else fronts])
    loss = rng.choice((0.0, 0.05, 0.15, 0.3))
    return {"size": size, "seed": seed, "loss": loss, "steps": sorted(steps, key=lambda step: step[0])}


def line(script: Script) -> str:
    return json.dumps(script, separators=(", ", ": "))


def act(fleet: Fleet, what: str, fronts: list[int]) -> None:
    running = {process.front for process in fleet.running.values()}
    for front in fronts if what not in ("cut", "deaf") else []:
        match what:
            case "start" if front not in running:
                fleet.start(front)
            case "restart":
                fleet.start(front)
            case "kill":
                fleet.kill(front)
            case "leave":
                fleet.leave(front)
            case "stop":
                fleet.stop(front, STOP)
    match what:
        case "cut":
            fleet.cut(fronts)
        case "deaf" if len(fronts) == 2:
            fleet.network.cut_one_way.add((fleet.address(fronts[1]), fleet.address(fronts[0])))
        case "heal":
            fleet.end_cuts()


def play(script: Script, make: Make = Membership, timing: MembershipTiming | None = None) -> list[str]:
    """What broke, each beginning with its rule: ``back``, ``count``, ``stopped`` or ``one view``."""
    size = int(script["size"])
    network = Network(script["seed"], loss=script["loss"], duplication=0.02, corruption=0.01)
    fleet = Fleet(size, script["seed"], timing, network, make)
    fleet.start_all()
    fleet.run(START)
    for at, what, fronts in script["steps"]:
        while fleet.now + LOOK < START + at:
            fleet.run(fleet.now + LOOK)
            fleet.check_counts()
        fleet.run(START + at)
        act(fleet, what, fronts)
    fleet.end_cuts()
    fleet.network.loss = 0.0
    fleet.run(fleet.now + STOP)
    fleet.check_counts()
    if fleet.settle(SETTLES, 0.5) is None:
        fleet.broken.append(f"one view: none {SETTLES:g} s after the last fault")
    return fleet.broken


def shrink(script: Script, rule: str, make: Make = Membership) -> Script:
    """The shortest script found that still breaks this rule: steps go in halves, then one by one."""
    size = max(1, len(script["steps"]) // 2)
    while True:
        place = 0
        while place < len(script["steps"]):
            steps = script["steps"][:place] + script["steps"][place + size :]
            less = {**script, "steps": steps}
            if any(broken.startswith(rule) for broken in play(less, make)):
                script = less
            else:
                place += size
        if size == 1:
            return script
        size //= 2
