"""A scenario: the fleet, its load and its troubles, read from a TOML file and checked whole."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cleatyoke.config.errors import ConfigError
from cleatyoke.config.settings import IDEMPOTENCY_NAMES
from cleatyoke.config.table import TableReader
from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope

BACKEND_FAULTS = ("replace", "drain", "restart", "silence", "stall", "reset", "lose_answers", "spoil", "slow")
FRONT_FAULTS = ("roll", "kill", "reload", "pause", "powercut")
LINK_FAULTS = ("links",)
CALL_FAULTS = ("hold",)
WITHIN = 0.35  # part of its worth that a unit beyond its reserve earns
KILL = 0.7  # seconds more than the longest deadline, from SIGTERM to SIGKILL
REPORTS = {one: one for one in ("answers", "probe", "none")}
NAMES = {repeat: name for name, repeat in IDEMPOTENCY_NAMES.items()}
LIST_FAULTS = ("late_lists", "garble_lists", "empty_lists", "silent_lists")


@dataclass(slots=True, frozen=True)
class LoadProfile:
    rate: float  # requests a second over all fronts
    writes: float  # part of them that are writes
    volumes: int  # on the limited plan, one in two; over boxes and fronts in turn
    hosts: int  # fronts that the requests of a volume come through
    hot: float  # part of the requests that ask for volume 0, which has a limit
    units: int  # of a request, at the least
    units_most: int  # of a request, at the most
    fresh: float  # part of the writes that write new objects, which any box may take
    reread: float  # part of the reads that go to objects written just before, wherever they were put
    skew: float  # part of the requests for volume 0 that come through one front of it ...
    skew_s: float  # ... which is another one after so many seconds
    surge_at: float  # from then on, for ``surge_s`` seconds, ``surge`` times the rate
    surge_s: float
    surge: float
    retries: int  # times that a client asks again where it was turned away or its front was not there ...
    retry_s: float  # ... after so many seconds, or as it is told


@dataclass(slots=True, frozen=True)
class RequestKind:
    """A class of requests."""

    name: str
    share: float  # of the requests, against the other classes
    aim: float  # seconds
    deadline: float  # seconds that clients wait
    worth: float
    late_share: float
    repeat: Idempotency
    scope: IdempotencyScope  # of the boxes that drop a repeat, where it is keyed ...
    memory: float  # ... for so many seconds
    write: bool


@dataclass(slots=True, frozen=True)
class PlanTerms:
    """A plan of volumes: figures in units a second over all fronts; a limit of 0 means none."""

    name: str
    rate: float
    reserve: float
    weight: float
    worth: float
    limit: float
    burst: float  # units that the limit's store holds
    slack: float  # units that it may go below nothing


@dataclass(slots=True, frozen=True)
class DeploymentTerms:
    """What the settings of the deployment allow."""

    attempts: int  # for a request, at the most
    drain_grace: float  # seconds after which nothing more goes to a box that drains or is gone
    cancel: bool
    report: str  # how boxes tell their load: ``answers``, ``probe`` or ``none``
    probes: bool
    dial: float  # seconds in which a connection has to come up
    idle: float  # seconds after which a box ends an idle connection
    retry_after: float  # longest time that clients heed; 0: they are not told


@dataclass(slots=True, frozen=True)
class BackendCapacity:
    units: float  # a second, when warm
    queue: int  # requests that wait at the most
    cold_from: float  # part of its power with which a box starts
    ramp: float  # seconds until it is warm
    tip_multiple: float  # times its power at the moment that a cold box bears ...
    tip_after: float  # ... within so many seconds


@dataclass(slots=True, frozen=True)
class LinkFault:
    """Faults of the links among fronts; shares from 0 to 1, seconds."""

    to: list[int]
    one_way: bool
    cut: bool
    loss: float
    doubles: float
    garbles: float
    delay: float
    jitter: float


@dataclass(slots=True, frozen=True)
class ViewTerms:
    """Fronts that keep a view of one another."""

    period: float  # seconds between two probes; the other intervals go with it
    settles: float  # seconds after the last trouble within which there has to be one view
    seeds: list[int]
    limits: bool  # they lend one another parts of limits
    cold: bool  # and of what cold boxes bear
    durable: bool  # what outlives a loss of power stands in a folder of each front


@dataclass(slots=True, frozen=True)
class FaultEvent:
    at: float  # seconds after the load begins
    kind: str
    of: list[int]  # numbers of boxes or fronts; for lists, of fronts
    over: float  # seconds over which it reaches them one by one
    lasts: float  # seconds for each
    share: float  # part of the requests that it meets, or for ``slow`` the part of its power that a box keeps
    box: int = 0  # of ``hold``: the box that is held
    links: LinkFault | None = None  # of ``links``: what messages from ``of`` meet there


@dataclass(slots=True, frozen=True)
class Scenario:
    name: str
    seconds: float
    seed: int
    fronts: int
    boxes: int
    zones: list[str]
    kinds: list[RequestKind]
    plans: list[PlanTerms]  # of the volumes in turn, by their numbers
    terms: DeploymentTerms
    load: LoadProfile
    power: BackendCapacity
    troubles: list[FaultEvent]
    view: ViewTerms | None = None

    def zone_of(self, box: int) -> str:
        return self.zones[box % len(self.zones)]

    def plan_of(self, volume: int) -> PlanTerms:
        return self.plans[volume % len(self.plans)]

    def notice(self) -> float:
        """Seconds from SIGTERM to SIGKILL (protocol page, Figures: a planned restart)."""
        return min(3.0, max(kind.deadline for kind in self.kinds)) + KILL


def read_scenario(path: Path) -> Scenario:
    """Read the file; a ``BadConfig`` names the faulty key."""
    try:
        values = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        msg = f"{path.name}: {error}"
        raise ConfigError(msg) from error
    return make_scenario(path.stem, values)


def make_scenario(name: str, values: dict[str, Any]) -> Scenario:
    """Check ``values``, as a file holds them, whole; ``docs/standin.md`` has the form key by key."""
    root = TableReader(values, f"{name}: ")
    fleet, load, power = root.table("fleet"), root.table("load"), root.table("box", {})
    fronts, boxes = fleet.integer("fronts", 1, 1024), fleet.integer("boxes", 1, 1024)
    zones = [str(zone) for zone in fleet.items("zones", ["basement", "second-floor"])] or ["basement"]
    deadline, limit = fleet.positive("deadline_s", 1.5), fleet.number("limit", 0.0)
    writes, units = load.number("writes", 0.35), load.integer("units", 1, 64, 2)
    kinds = [read_kind(table, deadline) for table in root.tables("class", default_kinds(writes))]
    plans = [read_plan(table, units) for table in root.tables("plan", default_plans(limit))]
    terms, view = root.table("terms", {}), root.table("view", {})
    scenario = Scenario(
        name=name,
        seconds=fleet.positive("seconds"),
        seed=fleet.integer("seed", 0, 1 << 31, 1),
        fronts=fronts,
        boxes=boxes,
        zones=zones,
        kinds=kinds,
        plans=plans,
        terms=read_terms(terms),
        load=LoadProfile(
            rate=load.positive("rate"),
            writes=writes,
            volumes=load.integer("volumes", 1, 4096, 4 * boxes),
            hosts=load.integer("hosts", 1, fronts, 1),
            hot=load.number("hot", 0.0),
            units=units,
            units_most=load.integer("units_most", units, 64, units),
            fresh=load.number("fresh", 0.0),
            reread=load.number("reread", 0.0),
            skew=load.number("skew", 0.0),
            skew_s=load.positive("skew_s", 7.0),
            surge_at=load.number("surge_at", 0.0),
            surge_s=load.number("surge_s", 0.0),
            surge=load.positive("surge", 1.0),
            retries=load.integer("retries", 0, 99, 0),
            retry_s=load.positive("retry_s", 0.5),
        ),
        power=BackendCapacity(
            units=power.positive("units", 60.0),
            queue=power.integer("queue", 1, 4096, 24),
            cold_from=power.positive("cold_from", 0.2),
            ramp=power.positive("ramp_s", 4.0),
            tip_multiple=power.positive("tip_multiple", 2.0),
            tip_after=power.positive("tip_after_s", 1.0),
        ),
        troubles=[read_trouble(table, fronts, boxes, zones) for table in root.tables("trouble", [])],
        view=read_view_terms(view, fronts),
    )
    for one in scenario.troubles if scenario.view is None else []:
        if one.kind in (*LINK_FAULTS, *CALL_FAULTS):
            msg = "trouble"
            raise root.error(msg, f"{one.kind} wants a view of the fleet")
    for table in (root, fleet, load, power, terms, view):
        table.reject_unknown_keys()
    return scenario


def default_kinds(writes: float) -> list[dict[str, Any]]:
    read = {"name": "tile-read", "share": 1 - writes, "worth": 3.0}
    write = {"name": "record-write", "share": writes, "worth": 2.0, "repeat": "once", "write": True}
    return [read, write]


def default_plans(limit: float) -> list[dict[str, Any]]:
    return [{"name": "public", "limit": limit}, {"name": "research"}]


def read_kind(table: TableReader, deadline: float) -> RequestKind:
    kind = RequestKind(
        name=table.text("name"),
        share=table.number("share", 1.0),
        aim=table.positive("aim_s", 0.3),
        deadline=table.positive("deadline_s", deadline),
        worth=table.positive("worth", 1.0),
        late_share=table.number("late", 0.1),
        repeat=table.one_of("repeat", IDEMPOTENCY_NAMES, "repeatable"),
        scope=table.one_of("scope", {scope.value: scope for scope in IdempotencyScope}, "all"),
        memory=table.number("memory_s", 5.0),
        write=table.boolean("write"),
    )
    table.reject_unknown_keys()
    return kind


def read_plan(table: TableReader, units: int) -> PlanTerms:
    limit = table.number("limit", 0.0)
    plan = PlanTerms(
        name=table.text("name"),
        rate=table.number("rate", 8.0),
        reserve=table.number("reserve", 4.0),
        weight=table.positive("weight", 1.0),
        worth=table.positive("worth", 1.0),
        limit=limit,
        burst=table.number("burst", limit),
        slack=table.number("slack", 2.0 * units),
    )
    table.reject_unknown_keys()
    return plan


def read_terms(table: TableReader) -> DeploymentTerms:
    return DeploymentTerms(
        attempts=table.integer("attempts", 1, 16, 4),
        drain_grace=table.positive("drain_grace_s", 1.0),
        cancel=table.boolean("cancel", True),
        report=table.one_of("report", REPORTS, "answers"),
        probes=table.boolean("probes"),
        dial=table.positive("dial_s", 0.25),
        idle=table.positive("idle_s", 30.0),
        retry_after=table.number("retry_after_s", 5.0),
    )


def read_view_terms(table: TableReader, fronts: int) -> ViewTerms | None:
    if not table.boolean("enabled"):
        return None
    return ViewTerms(
        period=table.positive("period_s", 0.2),
        settles=table.positive("settles_s", 10.0),
        seeds=numbers(table, "seeds", fronts, list(range(min(3, fronts)))),
        limits=table.boolean("limits"),
        cold=table.boolean("cold"),
        durable=table.boolean("durable"),
    )


def numbers(table: TableReader, key: str, count: int, default: list[int]) -> list[int]:
    chosen = table.items(key, default)
    if not all(isinstance(one, int) and 0 <= one < count for one in chosen):
        raise table.error(key, f"want numbers from 0 to {count - 1}, found {chosen!r}")
    return chosen


def read_links(table: TableReader, fronts: int, chosen: list[int]) -> LinkFault:
    return LinkFault(
        to=numbers(table, "to", fronts, [one for one in range(fronts) if one not in chosen]),
        one_way=table.boolean("one_way"),
        cut=table.boolean("cut"),
        loss=table.number("loss", 0.0),
        doubles=table.number("doubles", 0.0),
        garbles=table.number("garbles", 0.0),
        delay=table.number("delay_s", 0.0),
        jitter=table.number("jitter_s", 0.0),
    )


def read_trouble(table: TableReader, fronts: int, boxes: int, zones: list[str]) -> FaultEvent:
    every = *BACKEND_FAULTS, *FRONT_FAULTS, *LIST_FAULTS, *LINK_FAULTS, *CALL_FAULTS
    kinds = {kind: kind for kind in every}
    kind = table.one_of("kind", kinds)
    count = boxes if kind in BACKEND_FAULTS else fronts
    chosen = table.items("of", list(range(count)))
    if kind in BACKEND_FAULTS and "zone" in table.values:
        zone = table.one_of("zone", {zone: place for place, zone in enumerate(zones)})
        chosen = [box for box in range(boxes) if box % len(zones) == zone]
    chosen = numbers(TableReader({"of": chosen}, table.path), "of", count, [])
    trouble = FaultEvent(
        at=table.number("at"),
        kind=kind,
        of=chosen,
        over=table.number("over_s", 0.0),
        lasts=table.number("lasts_s", 0.0),
        share=table.number("share", 1.0),
        box=table.integer("box", 0, boxes - 1, 0) if kind in CALL_FAULTS else 0,
        links=read_links(table, fronts, chosen) if kind in LINK_FAULTS else None,
    )
    table.reject_unknown_keys()
    return trouble


def settings_of(scenario: Scenario) -> dict[str, Any]:
    """The settings that the platform's first message would give."""
    power, terms = scenario.power, scenario.terms
    mean = (scenario.load.units + scenario.load.units_most) / 2
    retry = {"RetryAfter": terms.retry_after > 0, "MaxRetryAfterS": terms.retry_after}
    return {
        "Areas": scenario.zones,
        "Contracts": [
            {
                "Name": plan.name,
                "BaseRate": plan.rate,
                "FloorRate": plan.reserve,
                "Limit": plan.limit,
                "LimitBurst": plan.burst,
                "CapSlack": plan.slack,
                "Proportion": plan.weight,
                "WorthFactor": plan.worth,
            }
            for plan in scenario.plans
        ],
        "Lanes": [
            {
                "Name": kind.name,
                "AimS": kind.aim,
                "GiveUpS": kind.deadline,
                "Worth": kind.worth,
                "LateShare": kind.late_share,
                "Repeat": NAMES[kind.repeat],
                "DedupScope": kind.scope.value,
                "MemorySpanS": kind.memory,
            }
            for kind in scenario.kinds
        ],
        "PolicyLimits": {
            "Cancel": terms.cancel,
            "SendCap": terms.attempts,
            "DialTimeoutS": terms.dial,
            "IdleCloseS": terms.idle,
            "Probes": terms.probes,
            **retry,
        },
        "Report": {"How": terms.report, "Fields": ["queue", "util"] if terms.report != "none" else []},
        "Safety": {
            "ColdFrom": power.cold_from,
            "RampTimeS": power.ramp,
            "StopSendingWithinS": terms.drain_grace,
            "TipMultiple": power.tip_multiple,
            "TipAfterS": power.tip_after,
        },
        "Extra": {
            "ColdUnits": power.units * power.cold_from * power.tip_after * power.tip_multiple,
            "Largest": scenario.load.units_most,
            "MeanUnits": mean,
            "WithinShare": WITHIN,
            "ChangesData": [kind.write for kind in scenario.kinds],
            "Shards": scenario.boxes,
        },
        "Siblings": scenario.fronts,
    }
