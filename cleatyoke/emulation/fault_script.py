"""Fault scripts for an emulated fleet: generated from a seed, printed as one line, rerun and shortened.

    {"size": 20, "seed": 7, "loss": 0.1, "steps": [[2.0, "kill", [3]], [4.5, "cut", [0, 1, 2]], ...]}

Steps are ``[seconds, kind, fronts]``. The kinds are ``start``, ``kill``, ``restart``, ``leave``, ``stop``
(for 8 s), ``cut`` (partitions these fronts from the rest), ``deaf`` (the first receives nothing from the
second) and ``heal`` (ends all cuts).
"""

from __future__ import annotations

import json
import random
from typing import Any

from cleatyoke.emulation.fleet import Fleet, MembershipFactory
from cleatyoke.emulation.network import Network
from cleatyoke.membership.members import Membership
from cleatyoke.membership.timing import MembershipTiming

STOP_DURATION_S = 8.0  # seconds for which ``stop`` suspends a process
FAULTS_BEGIN_S = 12.0  # seconds before the first step, enough for the fleet to agree on one view
CHECK_INTERVAL_S = 1.0  # seconds between checks of what each front may conclude
SETTLE_LIMIT_S = 40.0  # seconds from the last fault to agreement on one view, at most, at the default timing
DUPLICATION = 0.02  # fraction of the datagrams duplicated, in each script
CORRUPTION = 0.01  # fraction of the datagrams corrupted, in each script
FAULTS = ("kill", "restart", "leave", "stop", "cut", "deaf", "heal", "start")
PAIRWISE_FAULTS = ("cut", "deaf")  # these affect links; all others affect each front separately

Script = dict[str, Any]


def draw_script(seed: int, size: int, seconds: float = 30.0, max_steps: int = 12) -> Script:
    """Return the script that this seed and size determine; it is the same in every run."""
    rng = random.Random(f"script:{seed}:{size}")
    steps: list[list[Any]] = []
    for _ in range(rng.randint(1, max_steps)):
        kind = rng.choice(FAULTS)
        count = rng.randint(1, max(1, size // (2 if kind == "cut" else 4)))
        fronts = sorted(rng.sample(range(size), 2 if kind == "deaf" else count))
        steps.append([round(rng.uniform(0, seconds), 2), kind, [] if kind == "heal" else fronts])
    loss = rng.choice((0.0, 0.05, 0.15, 0.3))
    return {"size": size, "seed": seed, "loss": loss, "steps": sorted(steps, key=lambda step: step[0])}


def script_line(script: Script) -> str:
    """Return the script as the one line that ``--line`` takes."""
    return json.dumps(script, separators=(", ", ": "))


def _apply(fleet: Fleet, kind: str, fronts: list[int]) -> None:
    match kind:
        case "cut":
            fleet.cut(fronts)
        case "deaf" if len(fronts) == 2:
            fleet.network.cut_one_way.add((fleet.address(fronts[1]), fleet.address(fronts[0])))
        case "heal":
            fleet.end_cuts()
    if kind not in PAIRWISE_FAULTS:
        running = {process.front for process in fleet.running.values()}
        for front in fronts:
            _apply_to_front(fleet, kind, front, is_running=front in running)


def _apply_to_front(fleet: Fleet, kind: str, front: int, *, is_running: bool) -> None:
    match kind:
        case "start" if not is_running:
            fleet.start(front)
        case "restart":
            fleet.start(front)
        case "kill":
            fleet.kill(front)
        case "leave":
            fleet.leave(front)
        case "stop":
            fleet.stop(front, STOP_DURATION_S)


def run_script(
    script: Script, make: MembershipFactory = Membership, timing: MembershipTiming | None = None
) -> list[str]:
    """Run a script; return a line for each violation of a rule.

    Each line begins with the rule's name: ``back``, ``count``, ``stopped`` or ``one view``.
    """
    size = int(script["size"])
    network = Network(script["seed"], loss=script["loss"], duplication=DUPLICATION, corruption=CORRUPTION)
    fleet = Fleet(size, script["seed"], timing, network, make)
    fleet.start_all()
    fleet.run(FAULTS_BEGIN_S)
    for at, kind, fronts in script["steps"]:
        _run_with_checks(fleet, FAULTS_BEGIN_S + at)
        _apply(fleet, kind, fronts)
    fleet.end_cuts()
    fleet.network.loss = 0.0
    fleet.run(fleet.now + STOP_DURATION_S)
    fleet.check_counts()
    if fleet.settle(SETTLE_LIMIT_S, 0.5) is None:
        fleet.broken.append(f"one view: not reached {SETTLE_LIMIT_S:g} s after the last fault")
    return fleet.broken


def _run_with_checks(fleet: Fleet, until: float) -> None:
    while fleet.now + CHECK_INTERVAL_S < until:
        fleet.run(fleet.now + CHECK_INTERVAL_S)
        fleet.check_counts()
    fleet.run(until)


def shrink_script(script: Script, rule: str, make: MembershipFactory = Membership) -> Script:
    """Return the shortest script found that still violates this rule.

    Steps are removed in runs of half the script, then a quarter and so on, and finally one by one.
    """
    size = max(1, len(script["steps"]) // 2)
    while True:
        start = 0
        while start < len(script["steps"]):
            steps = script["steps"][:start] + script["steps"][start + size :]
            shorter = {**script, "steps": steps}
            if any(violation.startswith(rule) for violation in run_script(shorter, make)):
                script = shorter
            else:
                start += size
        if size == 1:
            return script
        size //= 2
