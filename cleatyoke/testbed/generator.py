"""Random scenarios, as values of a scenario file.

The same profile and seed give the same scenario in every run.

Profiles:

``trouble``: a fleet as the platform specifies it, with binding rate limits and two to five faults.
``settings``: an arbitrary deployment within the ranges of the protocol page (idempotency and scope of each
class, plans with and without limits, attempts, drain grace, load reports), with up to three faults, and one
more that leaves open whether requests were executed. At least one class is a write with idempotency keys.
"""

from __future__ import annotations

import json
import math
import random
from typing import Any

from cleatyoke.config.settings import IDEMPOTENCY_NAMES
from cleatyoke.scheduling.settings import IdempotencyScope
from cleatyoke.testbed.scenario import BACKEND_FAULTS, FRONT_FAULTS, LIST_FAULTS
from cleatyoke.testbed.scenario_file import LOAD_REPORTS

MAX_REQUEST_RATE = 130.0  # requests a second that the test doubles of one run can serve without running late
BACKEND_RATES = (10.0, 20.0, 40.0)  # units a second, of a warm backend
OVERLOAD_FACTOR = 2.0  # times its current rate that a warming backend bears
# Requests of the largest size that a cold backend bears at least: the lowest value seen in settings.
MIN_COLD_REQUESTS = 2.5
AMBIGUOUS_FAULTS = ("reset", "lose_answers", "spoil")  # faults that leave open whether a request was executed
STALL_DURATIONS = (0.06, 0.6)  # seconds that a backend stalls: the range of pauses in the briefs
LOAD_SECONDS = {"trouble": 7.0, "settings": 3.0}  # seconds of load
PROFILES = tuple(LOAD_SECONDS)

Values = dict[str, Any]


def generate_scenario(profile: str, seed: int) -> Values:
    """Return the values of the scenario with this seed. Raises ``ValueError`` for an unknown profile."""
    if profile not in LOAD_SECONDS:
        msg = f"profile: expected one of {', '.join(PROFILES)}, got {profile!r}"
        raise ValueError(msg)
    rng, seconds = random.Random(f"{profile}:{seed}"), LOAD_SECONDS[profile]
    fronts, backends = rng.randint(2, 6), rng.randint(1, 20)
    if profile == "trouble":
        fronts, backends = rng.randint(2, 8), rng.randint(2, 12)
    zones = rng.choice((["basement"], ["basement", "second-floor"], ["a", "b", "c"]))
    fronts_per_volume = rng.randint(1, min(3, fronts))
    min_units = rng.choice((1, 2))
    max_units = rng.choice((min_units, 4, 8))
    cold_from, tip_after = round(rng.uniform(0.16, 0.4), 2), rng.choice((1.0, 1.5, 2.0))
    overload_allowance = OVERLOAD_FACTOR * cold_from * tip_after  # seconds of work at full rate
    backend_rate = max(
        rng.choice(BACKEND_RATES), math.ceil(MIN_COLD_REQUESTS * max_units / overload_allowance)
    )
    # Requests a second that all backends together can serve.
    service_rate = backends * backend_rate / ((min_units + max_units) / 2)
    values: Values = {
        "fleet": {"fronts": fronts, "boxes": backends, "zones": zones, "seconds": seconds, "seed": seed},
        "load": {
            "rate": round(min(MAX_REQUEST_RATE, service_rate * rng.uniform(0.4, 1.3)), 1),
            "hosts": fronts_per_volume,
            "volumes": backends * rng.randint(2, 5),
            "hot": round(rng.uniform(0, 0.4), 2),
            "units": min_units,
            "units_most": max_units,
            "fresh": rng.choice((0.0, 0.3, 0.8)),
            "reread": rng.choice((0.0, 0.4)),
        },
        "box": {
            "units": backend_rate,
            "cold_from": cold_from,
            "tip_multiple": OVERLOAD_FACTOR,
            "ramp_s": round(rng.uniform(3, 8), 1),
            "tip_after_s": tip_after,
        },
        "class": generate_classes(rng) if profile == "settings" else [],
        "plan": generate_plans(rng, fronts_per_volume, max_units, profile == "trouble"),
        "terms": generate_terms(rng) if profile == "settings" else {},
        "trouble": [],
    }
    fault_count = rng.randint(2, 5) if profile == "trouble" else rng.randint(0, 3)
    values["trouble"] = [generate_fault(rng, fronts, backends, seconds) for _ in range(fault_count)]
    if profile == "settings":  # deployments differ most in how they treat repeated requests
        ambiguous_fault = {"at": 0.3, "kind": rng.choice(AMBIGUOUS_FAULTS), "lasts_s": seconds, "share": 0.25}
        values["trouble"].append(ambiguous_fault)
    return {key: value for key, value in values.items() if value}


def generate_classes(rng: random.Random) -> list[Values]:
    """Draw one to six classes. Keys may be remembered for a shorter time than the deadline."""
    drawn: list[Values] = []
    for number in range(rng.randint(1, 6)):
        latency_objective = round(rng.uniform(0.1, 2.0), 2)
        drawn.append(
            {
                "name": f"kind-{number}",
                "share": round(rng.uniform(0.1, 1.0), 2),
                "aim_s": latency_objective,
                "deadline_s": round(max(0.2, min(8.0, latency_objective * rng.uniform(1.0, 6.0))), 2),
                "worth": float(rng.randint(1, 5)),
                "late": round(rng.uniform(0, 0.3), 2),
                "repeat": rng.choice(list(IDEMPOTENCY_NAMES)) if number else "by_key",
                "scope": rng.choice([scope.value for scope in IdempotencyScope]),
                "memory_s": round(rng.uniform(0.3, 6.0), 1),
                "write": not number or rng.random() < 0.5,
            }
        )
    return drawn


def generate_plans(rng: random.Random, fronts_per_volume: int, max_units: int, limited: bool) -> list[Values]:
    """Draw one to three plans.

    The burst of a rate limit holds at least two requests of the largest size for each front (brief, This kind
    of system), and its slack holds at least one.
    """
    drawn: list[Values] = []
    for number in range(rng.randint(1, 3)):
        rate = round(rng.uniform(3, 12), 1)
        plan: Values = {
            "name": f"plan-{number}",
            "rate": rate,
            "reserve": round(rate * rng.choice((0.0, 0.5, 0.8, 1.0)), 2),
            "weight": float(rng.randint(1, 3)),
            "worth": round(rng.uniform(0.8, 1.5), 2),
        }
        if (limited and number == 0) or rng.random() < 0.4:
            limit = round(rate * rng.uniform(1, 4), 1)
            burst = max(2.0 * max_units * fronts_per_volume, round(limit * rng.uniform(1, 2), 1))
            plan |= {"limit": limit, "burst": burst, "slack": max(float(max_units), 0.1 * burst)}
        drawn.append(plan)
    return drawn


def generate_terms(rng: random.Random) -> Values:
    """Draw the terms of the deployment."""
    report = rng.choice(list(LOAD_REPORTS))
    return {
        "attempts": rng.randint(1, 6),
        "drain_grace_s": round(rng.uniform(0.2, 2.0), 2),
        "cancel": rng.random() < 0.8,
        "report": report,
        "probes": report == "probe" or rng.random() < 0.5,
        "dial_s": rng.choice((0.1, 0.25, 0.5)),
        "idle_s": rng.choice((2.0, 15.0, 30.0)),
        "retry_after_s": rng.choice((0.0, 0.5, 5.0)),
    }


def generate_fault(rng: random.Random, fronts: int, backends: int, seconds: float) -> Values:
    """Draw one fault."""
    kind = rng.choice((*BACKEND_FAULTS, "replace", "restart", *FRONT_FAULTS, *LIST_FAULTS))
    count = backends if kind in BACKEND_FAULTS else fronts
    chosen = sorted(rng.sample(range(count), rng.randint(1, count)))
    duration = round(rng.uniform(*STALL_DURATIONS) if kind == "stall" else rng.uniform(0.3, seconds * 0.6), 2)
    fault: Values = {"at": round(rng.uniform(0.2, seconds * 0.8), 2), "kind": kind, "of": chosen}
    if kind not in ("roll", "kill", "replace"):
        fault["lasts_s"] = duration
    if kind not in LIST_FAULTS:
        fault["over_s"] = rng.choice((0.0, round(rng.uniform(0, 3), 2)))
    if kind in (*AMBIGUOUS_FAULTS, "late_lists"):
        fault["share"] = round(rng.uniform(0.05, 0.5) if kind != "late_lists" else rng.uniform(0.3, 3), 2)
    elif kind == "slow":
        fault["share"] = round(rng.uniform(0.1, 0.5), 2)
    return fault


def to_toml(values: Values) -> str:
    """Format values as a scenario file; JSON numbers, strings and lists are valid TOML too."""
    lines = []
    for name, table in values.items():
        for entry in table if isinstance(table, list) else [table]:
            lines.append(f"[[{name}]]" if isinstance(table, list) else f"[{name}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in entry.items()]
            lines.append("")
    return "\n".join(lines)
