"""What a soak run does beside its scenario, drawn by a seed: signals in series, a crowd, impatient clients.

A soak's values are those of a scenario file, with one table more, ``soak``, so that a run that breaks a rule
can be made shorter and kept as a file.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from cleatyoke.config.table import TableReader
from cleatyoke.testbed.generator import Values, draw
from cleatyoke.testbed.scenario import FRONT_FAULTS, LIST_FAULTS, Scenario
from cleatyoke.testbed.scenario_file import parse_scenario

SOAK_SECONDS = 7.0  # of load
FIRST_SIGNAL_AT = (1.0, 4.5)  # seconds after the load begins, between which a series starts
MAX_RATE = 60.0  # requests a second of the scenario's own load, as persistent clients add theirs
MAX_FRONTS = 5
CROWD_SEED_STEP = 3  # each so many-th seed has a crowd
VIEW_SEED_STEP = 4  # each so many-th seed has fronts with a view and durable state, and a held node
HOLD_AT = 0.5  # seconds after the load begins
SOCKETS_IN_A_CROWD = 160  # descriptors that each front may use where a crowd fills them
MAX_STOPPED_SECONDS = 0.3  # for which a process is stopped around its signals
MAX_CLIENTS = 64  # of a kind, at each front


class SignalSeries(Enum):
    """Series of signals to one front; the values are those of a scenario file."""

    TERM_TWICE = "term twice"
    HANGUP_THEN_TERM = "hangup, term"
    TERM_THEN_HANGUP = "term, hangup"
    HANGUPS = "hangups"  # in quick succession, each with a changed file
    TERM_WHILE_STARTING = "term while starting"
    KILL_AFTER_ACCEPT = "kill after accept"


@dataclass(slots=True, frozen=True)
class SignalEvent:
    """One series at one front. ``stopped_seconds``: SIGSTOP and SIGCONT around its first signal; 0: none."""

    at: float
    front: int
    series: SignalSeries
    stopped_seconds: float


@dataclass(slots=True, frozen=True)
class SoakPlan:
    """A scenario and what is done beside it.

    ``persistent``: clients at each front that send on their connection again and again. ``leaving``: those
    that leave while their request waits. ``stopping``: those that stop in the middle of a request.
    ``crowd``: idle clients that take every connection of each front.
    """

    scenario: Scenario
    signals: list[SignalEvent]
    persistent: int
    leaving: int
    stopping: int
    crowd: bool


def draw_soak(seed: int) -> Values:
    """The values of the soak with this number: the same in every run."""
    rng = random.Random(f"soak:{seed}")
    values = draw("settings" if seed % 2 else "trouble", seed)
    fleet, load = values["fleet"], values["load"]
    fleet["seconds"] = SOAK_SECONDS
    fleet["fronts"] = min(MAX_FRONTS, fleet["fronts"])
    load["hosts"] = min(load["hosts"], fleet["fronts"])
    load["rate"] = min(MAX_RATE, load["rate"])
    # The series end processes themselves, each at its own front.
    faults = [fault for fault in values.get("trouble", []) if fault["kind"] not in FRONT_FAULTS]
    within = (_within(fault, fleet["fronts"]) for fault in faults)
    values["trouble"] = [fault for fault in within if fault.get("of") != []]
    is_crowded = seed % CROWD_SEED_STEP == 0
    if is_crowded and rng.random() < 0.5:
        values["trouble"].append({"at": 1.0, "kind": "silent_lists", "lasts_s": 4.0})
    if seed % VIEW_SEED_STEP == 0:
        values["view"] = {"enabled": True, "durable": True}
        hold = {"at": HOLD_AT, "kind": "hold", "of": [0], "box": rng.randrange(fleet["boxes"])}
        values["trouble"].append({**hold, "lasts_s": SOAK_SECONDS - HOLD_AT})
    values["soak"] = {
        "persistent": rng.randint(1, 3),
        "leaving": rng.randint(0, 2),
        "stopping": rng.randint(0, 2),
        "crowd": is_crowded,
    }
    values["signal"] = [
        {
            "at": round(rng.uniform(*FIRST_SIGNAL_AT), 2),
            "front": front,
            "series": rng.choice(list(SignalSeries)).value,
            "stopped_s": round(rng.uniform(0.05, MAX_STOPPED_SECONDS), 2) if rng.random() < 0.3 else 0.0,
        }
        for front in range(fleet["fronts"])
    ]
    return {key: value for key, value in values.items() if value}


def _within(fault: Values, fronts: int) -> Values:
    """Keep a fault's targets to the fronts that there are; those of backends stay."""
    if fault["kind"] not in LIST_FAULTS or "of" not in fault:
        return fault
    return {**fault, "of": [front for front in fault["of"] if front < fronts]}


def make_soak(name: str, values: Values) -> SoakPlan:
    """Check the values of a soak. Raises ``ConfigError`` naming the first faulty key."""
    rest = {key: value for key, value in values.items() if key not in ("soak", "signal")}
    scenario = parse_scenario(name, rest)
    root = TableReader(values, f"{name}: ")
    soak = root.table("soak", {})
    return SoakPlan(
        scenario=scenario,
        signals=[_read_signal(table, scenario.fronts) for table in root.tables("signal", [])],
        persistent=soak.integer("persistent", 0, MAX_CLIENTS, 0),
        leaving=soak.integer("leaving", 0, MAX_CLIENTS, 0),
        stopping=soak.integer("stopping", 0, MAX_CLIENTS, 0),
        crowd=soak.boolean("crowd"),
    )


def _read_signal(table: TableReader, fronts: int) -> SignalEvent:
    return SignalEvent(
        at=table.amount("at"),
        front=table.integer("front", 0, fronts - 1),
        series=table.one_of("series", {series.value: series for series in SignalSeries}),
        stopped_seconds=table.amount("stopped_s", 0.0),
    )
