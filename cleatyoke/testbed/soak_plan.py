"""Plan of a soak run, drawn from a seed: a scenario with series of signals and clients in addition.

The values of a soak are those of a scenario file with two more tables, ``soak`` and ``signal``, so that a run
that violates a rule can be shrunk and kept as a file.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from cleatyoke.config.table import TableReader
from cleatyoke.testbed.generator import Values, generate_scenario
from cleatyoke.testbed.scenario import FRONT_FAULTS, LIST_FAULTS, Scenario
from cleatyoke.testbed.scenario_file import parse_scenario

SOAK_SECONDS = 7.0  # of load
FIRST_SIGNAL_AT = (1.0, 4.5)  # range of starts of a series, in seconds after the load begins
MAX_RATE = 60.0  # requests a second of the scenario's load, to which persistent clients add theirs
MAX_FRONTS = 5
SATURATION_SEED_STEP = 3  # seeds that are multiples of it have saturated fronts
VIEW_SEED_STEP = 4  # multiples of it have fronts with a view and durable state, and a held node
HOLD_AT = 0.5  # seconds after the load begins
SATURATED_SOCKET_LIMIT = 160  # descriptors that a front may use if clients are to fill them
MAX_STOPPED_SECONDS = 0.3  # for which a process is stopped around its signals
MAX_CLIENTS = 64  # of each kind, at each front


class SignalSeries(Enum):
    """Series of signals to one front; the values are used in soak files."""

    TERM_TWICE = "term twice"
    HANGUP_THEN_TERM = "hangup, term"
    TERM_THEN_HANGUP = "term, hangup"
    HANGUPS = "hangups"  # in quick succession, each with a changed file
    TERM_WHILE_STARTING = "term while starting"
    KILL_AFTER_ACCEPT = "kill after accept"


@dataclass(slots=True, frozen=True)
class SignalEvent:
    """One series of signals to one front.

    ``stopped_seconds`` is the time from a SIGSTOP right before its SIGTERM to a SIGCONT; 0: neither is sent.
    """

    at: float
    front: int
    series: SignalSeries
    stopped_seconds: float


@dataclass(slots=True, frozen=True)
class SoakPlan:
    """A scenario, and the signals and clients added to it.

    ``persistent_clients`` at each front keep sending on one connection. ``leaving_clients`` disconnect while
    their request waits. ``stalling_clients`` stop in the middle of a request. With ``saturates_connections``,
    idle clients take every connection of each front.
    """

    scenario: Scenario
    signals: list[SignalEvent]
    persistent_clients: int
    leaving_clients: int
    stalling_clients: int
    saturates_connections: bool


def generate_soak(seed: int) -> Values:
    """Return the values of the soak with this seed, the same in every run."""
    rng = random.Random(f"soak:{seed}")
    values = generate_scenario("settings" if seed % 2 else "trouble", seed)
    fleet, load = values["fleet"], values["load"]
    fleet["seconds"] = SOAK_SECONDS
    fleet["fronts"] = min(MAX_FRONTS, fleet["fronts"])
    load["hosts"] = min(load["hosts"], fleet["fronts"])
    load["rate"] = min(MAX_RATE, load["rate"])
    # Front faults are left out, as the series of signals end the fronts' processes.
    faults = [fault for fault in values.get("trouble", []) if fault["kind"] not in FRONT_FAULTS]
    restricted = (_restrict_targets(fault, fleet["fronts"]) for fault in faults)
    values["trouble"] = [fault for fault in restricted if fault.get("of") != []]
    saturates_connections = seed % SATURATION_SEED_STEP == 0
    if saturates_connections and rng.random() < 0.5:
        values["trouble"].append({"at": 1.0, "kind": "silent_lists", "lasts_s": 4.0})
    if seed % VIEW_SEED_STEP == 0:
        values["view"] = {"enabled": True, "durable": True}
        hold = {"at": HOLD_AT, "kind": "hold", "of": [0], "box": rng.randrange(fleet["boxes"])}
        values["trouble"].append({**hold, "lasts_s": SOAK_SECONDS - HOLD_AT})
    values["soak"] = {
        "persistent": rng.randint(1, 3),
        "leaving": rng.randint(0, 2),
        "stopping": rng.randint(0, 2),
        "crowd": saturates_connections,
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


def _restrict_targets(fault: Values, fronts: int) -> Values:
    """Remove targets beyond the number of fronts from a list fault; other faults stay unchanged."""
    if fault["kind"] not in LIST_FAULTS or "of" not in fault:
        return fault
    return {**fault, "of": [front for front in fault["of"] if front < fronts]}


def make_soak(name: str, values: Values) -> SoakPlan:
    """Parse the values of a soak. Raises ``ConfigError`` that names the first faulty key."""
    scenario_values = {key: value for key, value in values.items() if key not in ("soak", "signal")}
    scenario = parse_scenario(name, scenario_values)
    root = TableReader(values, f"{name}: ")
    soak = root.table("soak", {})
    return SoakPlan(
        scenario=scenario,
        signals=[_read_signal(table, scenario.fronts) for table in root.tables("signal", [])],
        persistent_clients=soak.integer("persistent", 0, MAX_CLIENTS, 0),
        leaving_clients=soak.integer("leaving", 0, MAX_CLIENTS, 0),
        stalling_clients=soak.integer("stopping", 0, MAX_CLIENTS, 0),
        saturates_connections=soak.boolean("crowd"),
    )


def _read_signal(table: TableReader, fronts: int) -> SignalEvent:
    return SignalEvent(
        at=table.amount("at"),
        front=table.integer("front", 0, fronts - 1),
        series=table.one_of("series", {series.value: series for series in SignalSeries}),
        stopped_seconds=table.amount("stopped_s", 0.0),
    )
