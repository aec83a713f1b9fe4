"""Scenarios drawn by a seed: the same number gives the same one in every run, as values of a scenario file.

``trouble``: the fleet that the platform promises, with limits that bind and two to five troubles of any kind.
``settings``: a deployment nobody has seen, drawn within the ranges of the protocol page (a class's repeats
and scope, plans with and without limits, attempts, grace, how load is told), with up to three troubles,
beside answers that leave open whether their requests ran. One class at the least is a keyed write.
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

MOST_RATE = 130.0  # requests a second: what the stand-ins of one play can serve without running late
BOX_UNITS = (10.0, 20.0, 40.0)  # a second, of a warm box
TIP_MULTIPLE = 2.0  # times its power that a cold box bears
COLD_LARGEST = 2.5  # largest requests that a cold box bears in any case: the least seen in settings
DOUBTS = ("reset", "lose_answers", "spoil")  # what leaves it open whether a request has run
STALLS = (0.06, 0.6)  # seconds that a box stands still: the briefs' pauses
SPAN = {"trouble": 7.0, "settings": 3.0}  # seconds of load
THEMES = tuple(SPAN)

Values = dict[str, Any]


def draw(theme: str, seed: int) -> Values:
    """The values of the scenario with this number: a ``ValueError`` for an unknown theme."""
    if theme not in SPAN:
        msg = f"want one of {', '.join(THEMES)}, found {theme!r}"
        raise ValueError(msg)
    rng, seconds = random.Random(f"{theme}:{seed}"), SPAN[theme]
    fronts, boxes = rng.randint(2, 6), rng.randint(1, 20)
    if theme == "trouble":
        fronts, boxes = rng.randint(2, 8), rng.randint(2, 12)
    zones = rng.choice((["basement"], ["basement", "second-floor"], ["a", "b", "c"]))
    hosts = rng.randint(1, min(3, fronts))
    least = rng.choice((1, 2))
    largest = rng.choice((least, 4, 8))
    cold_from, tip_after = round(rng.uniform(0.16, 0.4), 2), rng.choice((1.0, 1.5, 2.0))
    borne = TIP_MULTIPLE * cold_from * tip_after  # of a second's power
    power = max(rng.choice(BOX_UNITS), math.ceil(COLD_LARGEST * largest / borne))
    cells = boxes * power / ((least + largest) / 2)  # requests a second that the boxes could serve
    values: Values = {
        "fleet": {"fronts": fronts, "boxes": boxes, "zones": zones, "seconds": seconds, "seed": seed},
        "load": {
            "rate": round(min(MOST_RATE, cells * rng.uniform(0.4, 1.3)), 1),
            "hosts": hosts,
            "volumes": boxes * rng.randint(2, 5),
            "hot": round(rng.uniform(0, 0.4), 2),
            "units": least,
            "units_most": largest,
            "fresh": rng.choice((0.0, 0.3, 0.8)),
            "reread": rng.choice((0.0, 0.4)),
        },
        "box": {
            "units": power,
            "cold_from": cold_from,
            "tip_multiple": TIP_MULTIPLE,
            "ramp_s": round(rng.uniform(3, 8), 1),
            "tip_after_s": tip_after,
        },
        "class": classes(rng) if theme == "settings" else [],
        "plan": plans(rng, hosts, largest, theme == "trouble"),
        "terms": terms(rng) if theme == "settings" else {},
        "trouble": [],
    }
    most = rng.randint(2, 5) if theme == "trouble" else rng.randint(0, 3)
    values["trouble"] = [trouble(rng, fronts, boxes, seconds) for _ in range(most)]
    if theme == "settings":  # repeats are what settings differ in most
        doubt = {"at": 0.3, "kind": rng.choice(DOUBTS), "lasts_s": seconds, "share": 0.25}
        values["trouble"].append(doubt)
    return {key: value for key, value in values.items() if value}


def classes(rng: random.Random) -> list[Values]:
    """Draw one to six classes; the window of a keyed one may be shorter than its deadline."""
    out: list[Values] = []
    for number in range(rng.randint(1, 6)):
        aim = round(rng.uniform(0.1, 2.0), 2)
        out.append(
            {
                "name": f"kind-{number}",
                "share": round(rng.uniform(0.1, 1.0), 2),
                "aim_s": aim,
                "deadline_s": round(max(0.2, min(8.0, aim * rng.uniform(1.0, 6.0))), 2),
                "worth": float(rng.randint(1, 5)),
                "late": round(rng.uniform(0, 0.3), 2),
                "repeat": rng.choice(list(IDEMPOTENCY_NAMES)) if number else "by_key",
                "scope": rng.choice([scope.value for scope in IdempotencyScope]),
                "memory_s": round(rng.uniform(0.3, 6.0), 1),
                "write": not number or rng.random() < 0.5,
            }
        )
    return out


def plans(rng: random.Random, hosts: int, largest: int, limited: bool) -> list[Values]:
    """Draw one to three plans.

    Where there is a limit, its burst holds two largest requests for each front at the least (brief, This kind
    of system), and its slack one.
    """
    out: list[Values] = []
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
            burst = max(2.0 * largest * hosts, round(limit * rng.uniform(1, 2), 1))
            plan |= {"limit": limit, "burst": burst, "slack": max(float(largest), 0.1 * burst)}
        out.append(plan)
    return out


def terms(rng: random.Random) -> Values:
    """Draw what the deployment allows."""
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


def trouble(rng: random.Random, fronts: int, boxes: int, seconds: float) -> Values:
    """Draw one fault."""
    kind = rng.choice((*BACKEND_FAULTS, "replace", "restart", *FRONT_FAULTS, *LIST_FAULTS))
    count = boxes if kind in BACKEND_FAULTS else fronts
    chosen = sorted(rng.sample(range(count), rng.randint(1, count)))
    lasts = round(rng.uniform(*STALLS) if kind == "stall" else rng.uniform(0.3, seconds * 0.6), 2)
    made: Values = {"at": round(rng.uniform(0.2, seconds * 0.8), 2), "kind": kind, "of": chosen}
    if kind not in ("roll", "kill", "replace"):
        made["lasts_s"] = lasts
    if kind not in LIST_FAULTS:
        made["over_s"] = rng.choice((0.0, round(rng.uniform(0, 3), 2)))
    if kind in (*DOUBTS, "late_lists"):
        made["share"] = round(rng.uniform(0.05, 0.5) if kind != "late_lists" else rng.uniform(0.3, 3), 2)
    elif kind == "slow":
        made["share"] = round(rng.uniform(0.1, 0.5), 2)
    return made


def dump(values: Values) -> str:
    """As a scenario file: JSON's numbers, texts and lists are TOML's too."""
    lines = []
    for name, table in values.items():
        for one in table if isinstance(table, list) else [table]:
            lines.append(f"[[{name}]]" if isinstance(table, list) else f"[{name}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in one.items()]
            lines.append("")
    return "\n".join(lines)
