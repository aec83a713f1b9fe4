"""A scenario: the fleet, its load and its troubles, read from a TOML file and checked whole."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cleatyoke.config import BadConfig, Table

BOX_TROUBLES = ("replace", "drain", "restart", "silence", "reset", "lose_answers", "spoil", "slow")
FRONT_TROUBLES = ("roll", "kill", "reload")
LIST_TROUBLES = ("late_lists", "garble_lists", "empty_lists", "silent_lists")


@dataclass(slots=True, frozen=True)
class Load:
    rate: float  # requests a second over all fronts
    writes: float  # part of them that are writes
    volumes: int  # on the limited plan, one in two; over boxes and fronts in turn
    hosts: int  # fronts that the requests of a volume come through
    hot: float  # part of the requests that ask for volume 0, which has a limit
    units: int  # of a request
    surge_at: float  # from then on, for ``surge_s`` seconds, ``surge`` times the rate
    surge_s: float
    surge: float


@dataclass(slots=True, frozen=True)
class BoxPower:
    units: float  # a second, when warm
    queue: int  # requests that wait at the most
    cold_from: float  # part of its power with which a box starts
    ramp: float  # seconds until it is warm
    tip_multiple: float  # times its power at the moment that a cold box bears ...
    tip_after: float  # ... within so many seconds


@dataclass(slots=True, frozen=True)
class Trouble:
    at: float  # seconds after the load begins
    kind: str
    of: list[int]  # numbers of boxes or fronts; for lists, of fronts
    over: float  # seconds over which it reaches them one by one
    lasts: float  # seconds for each
    share: float  # part of the requests that it meets, or for ``slow`` the part of its power that a box keeps


@dataclass(slots=True, frozen=True)
class Scenario:
    name: str
    seconds: float
    seed: int
    fronts: int
    boxes: int
    zones: list[str]
    deadline: float  # seconds that clients wait
    limit: float  # units a second that a limited volume may have passed on, over all fronts
    load: Load
    power: BoxPower
    troubles: list[Trouble]

    def zone_of(self, box: int) -> str:
        return self.zones[box % len(self.zones)]


def read_scenario(path: Path) -> Scenario:
    """Read the file; a ``BadConfig`` names the faulty key."""
    try:
        values = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise BadConfig(f"{path.name}: {error}") from error
    return make_scenario(path.stem, values)


def make_scenario(name: str, values: dict[str, Any]) -> Scenario:
    root = Table(values, f"{name}: ")
    fleet, load, power = root.table("fleet"), root.table("load"), root.table("box", {})
    fronts, boxes = fleet.whole("fronts", 1, 64), fleet.whole("boxes", 1, 256)
    zones = [str(zone) for zone in fleet.rows("zones", ["basement", "second-floor"])] or ["basement"]
    scenario = Scenario(
        name=name,
        seconds=fleet.positive("seconds"),
        seed=fleet.whole("seed", 0, 1 << 31, 1),
        fronts=fronts,
        boxes=boxes,
        zones=zones,
        deadline=fleet.positive("deadline_s", 1.5),
        limit=fleet.number("limit", 0.0),
        load=Load(
            rate=load.positive("rate"),
            writes=load.number("writes", 0.35),
            volumes=load.whole("volumes", 1, 4096, 4 * boxes),
            hosts=load.whole("hosts", 1, fronts, 1),
            hot=load.number("hot", 0.0),
            units=load.whole("units", 1, 64, 2),
            surge_at=load.number("surge_at", 0.0),
            surge_s=load.number("surge_s", 0.0),
            surge=load.positive("surge", 1.0),
        ),
        power=BoxPower(
            units=power.positive("units", 60.0),
            queue=power.whole("queue", 1, 4096, 24),
            cold_from=power.positive("cold_from", 0.2),
            ramp=power.positive("ramp_s", 4.0),
            tip_multiple=power.positive("tip_multiple", 2.0),
            tip_after=power.positive("tip_after_s", 1.0),
        ),
        troubles=[read_trouble(table, fronts, boxes, zones) for table in root.tables("trouble", [])],
    )
    for table in (root, fleet, load, power):
        table.nothing_else()
    return scenario


def read_trouble(table: Table, fronts: int, boxes: int, zones: list[str]) -> Trouble:
    kinds = {kind: kind for kind in (*BOX_TROUBLES, *FRONT_TROUBLES, *LIST_TROUBLES)}
    kind = table.one_of("kind", kinds)
    count = boxes if kind in BOX_TROUBLES else fronts
    chosen = table.rows("of", list(range(count)))
    if kind in BOX_TROUBLES and "zone" in table.values:
        zone = table.one_of("zone", {zone: place for place, zone in enumerate(zones)})
        chosen = [box for box in range(boxes) if box % len(zones) == zone]
    if not all(isinstance(one, int) and 0 <= one < count for one in chosen):
        raise table.fail("of", f"want numbers from 0 to {count - 1}, found {chosen!r}")
    trouble = Trouble(
        at=table.number("at"),
        kind=kind,
        of=chosen,
        over=table.number("over_s", 0.0),
        lasts=table.number("lasts_s", 0.0),
        share=table.number("share", 1.0),
    )
    table.nothing_else()
    return trouble
