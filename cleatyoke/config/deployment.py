"""The one place where configuration is read, checked and given defaults. Every error names the faulty key."""

from __future__ import annotations

import json
import math
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cleatyoke.config.reload import IndexAllocator, follow_settings, follow_writes, missing, shape
from cleatyoke.http.body_limits import MAX_UPLOAD_BYTES
from cleatyoke.scheduling.settings import (
    Idempotency,
    IdempotencyScope,
    RequestClass,
    SafetyLimits,
    SchedulerSettings,
    VolumePlan,
)

REPEATS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.NOT_IDEMPOTENT,
}
LOADS = ("util", "cpu")  # what a load report may call the part of a box's power in use
MOST_WRITE = 64 * 1024  # bytes of a body, and so of an upload, unless the fronts file says less
MOST_SOCKETS = 1024  # where the file says nothing: the deployment page's most
BODY_SHARE = 0.45  # of the memory, for bodies
LEAST_BODIES = 4 * 1024 * 1024
SPARE_SOCKETS = 56  # listeners, log, discovery twice, files read, connections whose end is still on its way
MOST_SESSIONS = 32
USUAL_GRACE = 1.0  # seconds of the rule on drains where the settings name none
FLEET_TIMES = {"period": 0.5, "answer": 0.15, "gossip": 0.1, "sync": 10.0, "departed": 1.0, "join": 1.0}
FRONTS = Path(__file__).resolve().parent.parent.parent / "deploy" / "fronts.toml"


class ConfigError(ValueError):
    """A value that cannot be used; the text begins with its key."""


@dataclass(slots=True, frozen=True)
class Address:
    host: str
    port: int

    def __str__(self) -> str:
        """As ``read_address`` takes it."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(slots=True, frozen=True)
class VolumePath:
    """Files below ``prefix`` belong to this volume."""

    prefix: str
    volume: int
    plan: int
    cell: int
    hosts: int


@dataclass(slots=True, frozen=True)
class SftpSettings:
    listen: Address
    volumes: list[VolumePath]
    read_class: int
    write_class: int
    box_port: int  # 0: the port that discovery lists
    most_upload: int
    unit_bytes: int
    most_handles: int
    idle: float  # seconds that a client's connection may stand without a command
    deadline: float  # seconds for a command, as the protocol states none


@dataclass(slots=True, frozen=True)
class VrrpSettings:
    listen: Address
    peers: list[Address]
    router: int
    priority: int
    interval: float  # seconds between advertisements
    preempt: bool
    addresses: list[str]


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """Talk among the fronts of one deployment (``docs/fleet-view.md``)."""

    deployment: str
    listen: Address  # datagrams and streams alike
    advertise: Address  # where the others reach it
    seeds: list[Address]
    boot: int  # boot number of this life; 0: by the wall clock
    timing: dict[str, float]  # seconds, by their names in ``fleet.members.Timing``
    limits: bool = False  # parts of limits are lent among the fronts
    cold: bool = False  # parts of what a cold box bears are
    durable: Path | None = None  # folder of what outlives a loss of power, on a disk that lasts


@dataclass(slots=True, frozen=True)
class DistributionSettings:
    """Where distributed configuration is asked for (``docs/distribution.md``)."""

    deployment: str
    relays: list[Address]  # of the own region
    others: list[Address]
    nodes: bool  # nodes that drain or are gone are heard of from there too
    poll: float  # seconds between two polls while there is nothing new
    rate: float  # bytes a second that polls and replies may take


@dataclass(slots=True, frozen=True)
class SocketBudget:
    """How the descriptors of the process are dealt out. A request in work holds a client's connection and at
    most one to a box, so as many are kept for boxes as for clients, and no attempt wants for one.
    """

    clients: int
    crowd: int  # idle ones beyond which each ends with its answer: half of what clients open
    boxes: int
    sessions: int  # of the file front: a client's connection, one at work and an idle one to a box

    @classmethod
    def of(cls, sockets: int, files: bool) -> SocketBudget:
        sessions = min(MOST_SESSIONS, (sockets - SPARE_SOCKETS) // 12) if files else 0
        half = (sockets - SPARE_SOCKETS - 3 * sessions) // 2
        return cls(half, sockets // 6, half, sessions)


@dataclass(slots=True, frozen=True)
class ReloadResult:
    """What a reload took."""

    moved: bool  # discovery is at another address
    waiting: list[str]  # changed keys that count from the next start
    retired: frozenset[int] | None  # places of classes that are gone; None: the settings are as they were


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    shares: SocketBudget
    known: Any  # the old list in discovery's form, decoded by the platform front
    settings: SchedulerSettings
    classes: dict[str, int]
    plans: dict[str, int]
    give_up: list[float]  # by class: seconds that its clients wait at the most; infinite: not said
    body_bytes: int  # of memory, for the bodies of requests
    writes: list[bool | None]  # by class, or empty where nothing is said; None: not of this class
    shards: int  # counted from 0; 0: nothing is said
    zones: dict[str, int]
    dial_timeout: float
    idle_close: float
    drain_grace: float  # seconds after a drain was told in which its box may still be sent to
    file_discovery: Address  # as the file has it, whatever RELAY_DISCOVERY says
    sftp: SftpSettings | None = None
    vrrp: VrrpSettings | None = None
    fleet: FleetSettings | None = None
    distribution: DistributionSettings | None = None
    metrics: Address | None = None  # where the figures are told to Prometheus
    accept_fd: int | None = None  # a listening socket handed down by the platform, in place of ``listen``
    ops: Address | None = None  # the operators' control address
    state_dir: Path = Path("/tmp")  # $TMPDIR: what both processes of an upgrade share
    keys: frozenset[str] = frozenset()  # that the file holds, as paths
    places: tuple[IndexAllocator, IndexAllocator] | None = (
        None  # of classes and plans, once a reload has changed them
    )

    def notice(self) -> float:
        """Seconds from SIGTERM to SIGKILL: the longest deadline, 3 s at the most, and 0.7 s more."""
        return min(3.0, max(self.give_up[place] for place in self.classes.values())) + 0.7

    def reload(self, new: Config) -> ReloadResult:
        """Take what a reload takes: the settings (of classes and plans, attempts, limits), and the address of
        discovery, where the file names a new one. That wins over RELAY_DISCOVERY, as a running process cannot
        be given another. ``known`` and ``seed`` count at a start only. A file that lacks a key that the last
        one had is a ``BadConfig``, and nothing is taken from it.
        """
        if lost := missing(self.keys, new.keys):
            msg = f"{lost}: missing, and the file had it before"
            raise ConfigError(msg)
        kept = (
            "name",
            "listen",
            "accept_fd",
            "ops",
            "state_dir",
            "shares",
            "dial_timeout",
            "idle_close",
            "sftp",
            "vrrp",
            "fleet",
            "distribution",
            "metrics",
        )
        waiting = [key for key in kept if getattr(self, key) != getattr(new, key)]
        self.keys = new.keys
        retired = self.follow(new)
        moved = new.file_discovery != self.file_discovery
        self.file_discovery, self.drain_grace = new.file_discovery, new.drain_grace
        if moved:
            self.discovery = new.file_discovery
        return ReloadResult(moved, waiting, retired)

    def follow(self, new: Config) -> frozenset[int] | None:
        """Take the new settings; the places of classes that are gone, or None where nothing changed."""
        names, plan_names = list(new.classes), list(new.plans)
        old = self.places or (IndexAllocator.of(list(self.classes)), IndexAllocator.of(list(self.plans)))
        classes, plans = old[0].follow(names), old[1].follow(plan_names)
        settings = follow_settings(self.settings, new.settings, classes, names, plans, plan_names)
        give_up = classes.arrange(self.give_up, names, new.give_up)
        writes = follow_writes(self.writes, self.classes, classes, new.writes)
        facts = (settings, classes.live, plans.live, new.shards, give_up, writes)
        if facts == (self.settings, self.classes, self.plans, self.shards, self.give_up, self.writes):
            return None
        self.places = classes, plans
        self.settings, self.classes, self.plans, self.shards, self.give_up, self.writes = facts
        return classes.retired()


@dataclass(slots=True)
class Table:
    """A table of the configuration, with the path that error messages give for its keys."""

    values: Mapping[str, Any]
    path: str
    used: set[str] = field(default_factory=set)

    def fail(self, key: str, why: str) -> ConfigError:
        return ConfigError(f"{self.path}{key}: {why}")

    def get(self, key: str, default: Any = None) -> Any:
        self.used.add(key)
        value = self.values.get(key)
        if value is None and default is None:
            raise self.fail(key, "missing")
        return default if value is None else value

    def number(self, key: str, default: float | None = None) -> float:
        value = self.get(key, default)
        if value is not default and not finite(value):
            raise self.fail(key, f"want a number, found {value!r}")
        return float(value)

    def positive(self, key: str, default: float | None = None) -> float:
        """A span or a count that only a positive number can be: a deadline of 0 would refuse all."""
        value = self.number(key, default)
        if not value > 0:
            raise self.fail(key, f"want a positive number, found {self.values.get(key)!r}")
        return value

    def whole(self, key: str, least: int, most: int, default: int | None = None) -> int:
        value = self.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            raise self.fail(key, f"want a whole number from {least} to {most}, found {value!r}")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        value = self.get(key, default)
        if not isinstance(value, str):
            raise self.fail(key, f"want a text, found {value!r}")
        return value

    def flag(self, key: str, default: bool = False) -> bool:
        value = self.get(key, default)
        if not isinstance(value, bool):
            raise self.fail(key, f"want true or false, found {value!r}")
        return value

    def one_of(self, key: str, choices: Mapping[str, Any], default: str | None = None) -> Any:
        value = self.text(key, default)
        if value not in choices:
            raise self.fail(key, f"want one of {', '.join(choices)}, found {value!r}")
        return choices[value]

    def address(self, key: str) -> Address:
        return read_address(self.text(key), f"{self.path}{key}")

    def table(self, key: str, default: Mapping[str, Any] | None = None) -> Table:
        value = self.get(key, default)
        if not isinstance(value, Mapping):
            raise self.fail(key, "want a table")
        return Table(value, f"{self.path}{key}.")

    def rows(self, key: str, default: list[Any] | None = None) -> list[Any]:
        value = self.get(key, default)
        if not isinstance(value, list):
            raise self.fail(key, "want a list")
        return value

    def tables(self, key: str, default: list[Any] | None = None) -> list[Table]:
        """A list of tables, with one at the least unless the default is none."""
        value = self.get(key, default)
        if not isinstance(value, list) or not all(isinstance(one, Mapping) for one in value):
            raise self.fail(key, "want a list of tables")
        if not value and default is None:
            raise self.fail(key, "want one at the least")
        return [Table(one, f"{self.path}{key}[{place}].") for place, one in enumerate(value)]

    def nothing_else(self) -> None:
        for key in self.values:
            if key not in self.used:
                raise self.fail(key, "unknown key")


def finite(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def read_address(text: str, key: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= 65535:
        msg = f"{key}: want HOST:PORT, found {text!r}"
        raise ConfigError(msg)
    return Address(host.strip("[]"), int(port))


def read_settings(facts: Mapping[str, Any], seed: int) -> SchedulerSettings:
    """Translate the settings: unknown keys are passed over, an absent or null figure is 0."""
    root = Table(facts, "settings.")
    safety, limits, extra = root.table("Safety", {}), root.table("PolicyLimits"), root.table("Extra", {})
    classes = [
        RequestClass(
            latency_objective=lane.positive("AimS"),
            priority_weight=lane.number("Worth"),
            late_value=lane.number("LateShare", 0.0),
            idempotency=lane.one_of("Repeat", REPEATS),
            idempotency_scope=lane.one_of(
                "DedupScope", {scope.value: scope for scope in IdempotencyScope}, "all"
            ),
            idempotency_window=lane.number("MemorySpanS", 0.0),
            ordered=lane.flag("ByArrival"),
        )
        for lane in root.tables("Lanes")
    ]
    plans = [
        VolumePlan(
            priority_weight=plan.number("WorthFactor"),
            base_rate=plan.number("BaseRate", 0.0),
            reserved_rate=plan.number("FloorRate", 0.0),
            fair_share_weight=plan.number("Proportion"),
            rate_limit=plan.number("Limit", 0.0),
            rate_limit_burst=plan.number("LimitBurst", 0.0),
            rate_limit_slack=plan.number("CapSlack", 0.0),
        )
        for plan in root.tables("Contracts")
    ]

    report = root.table("Report", {})
    asked = limits.flag("Probes") and report.text("How", "none") == "probe"

    def optional(key: str) -> float | None:
        return None if safety.values.get(key) is None else safety.number(key)

    return SchedulerSettings(
        classes=classes,
        plans=plans,
        safety=SafetyLimits(
            slow_start_initial_fraction=safety.number("ColdFrom", 0.0),
            slow_start_duration=safety.number("RampTimeS", 0.0),
            overload_multiple=safety.number("TipMultiple", 0.0),
            overload_after=safety.number("TipAfterS", 0.0),
            poll_interval=optional("AskEveryS"),
            ordering_pause=safety.number("KeyRestS", 0.0),
            retry_budget_minimum=optional("FreeResends"),
            retry_budget_ratio=optional("ExtraRatio"),
            retry_budget_window=optional("LookBackS"),
        ),
        seed=seed,
        front_count=int(root.number("Siblings", 0)),
        watches_endpoints=facts.get("Discovery") == "subscribe",
        max_attempts=limits.whole("SendCap", 1, 1000),
        can_cancel=limits.flag("Cancel"),
        slow_start_units=extra.number("ColdUnits", 0.0),
        max_request_units=extra.number("Largest", 0.0),
        mean_request_units=extra.number("MeanUnits", 0.0),
        reports_usage_by_others=extra.flag("SaysOthers"),
        unreserved_value=extra.number("WithinShare", 0.0),
        max_retry_after=limits.number("MaxRetryAfterS", 0.0) if limits.flag("RetryAfter") else 0.0,
        load_by_probes=asked and any(name in report.rows("Fields", []) for name in LOADS),
    )


def names(tables: list[Table], key: str = "Name") -> dict[str, int]:
    return {table.text(key): place for place, table in enumerate(tables)}


def read_config(
    environment: Mapping[str, str], fronts: Path = FRONTS, settings: Callable[[Any], Any] = lambda own: own
) -> Config:
    """All that the daemon is told. RELAY_* variables win over the same keys of the file. ``settings``: of the
    file's settings, those that hold, where others were distributed.
    """
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        msg = "RELAY_CONFIG: missing"
        raise ConfigError(msg)
    try:
        values = json.loads(Path(path).read_bytes())
    except OSError as error:
        msg = f"RELAY_CONFIG: cannot read {path}: {error.strerror}"
        raise ConfigError(msg) from error
    except (ValueError, RecursionError) as error:
        msg = f"RELAY_CONFIG: {path} is no JSON: {error}"
        raise ConfigError(msg) from error
    if not isinstance(values, dict):
        msg = f"RELAY_CONFIG: {path} holds no object"
        raise ConfigError(msg)
    values = {**values, "settings": settings(values.get("settings"))}
    root = Table(values, "")
    seed_text = root.text("seed", "0")
    try:
        seed = int(seed_text, 16)
    except ValueError as error:
        msg = f"seed: want hex digits, found {seed_text!r}"
        raise ConfigError(msg) from error
    facts = root.table("settings")
    limits = facts.table("PolicyLimits")
    lanes, extra = facts.tables("Lanes"), facts.table("Extra", {})
    classes, plans = names(lanes), names(facts.tables("Contracts"))
    sftp, vrrp, metrics, fleet, distribution = read_fronts(fronts, classes, plans)
    sockets = root.table("limits", {}).whole("sockets", 2 * SPARE_SOCKETS, 1 << 20, MOST_SOCKETS)

    def address(variable: str, key: str) -> Address:
        if text := environment.get(variable):
            return read_address(text, variable)
        return root.address(key)

    return Config(
        keys=shape({key: value for key, value in values.items() if key not in ("known", "seed")}),
        name=environment.get("RELAY_NAME") or root.text("name"),
        listen=address("RELAY_LISTEN", "listen"),
        discovery=address("RELAY_DISCOVERY", "discovery"),
        file_discovery=root.address("discovery") if "discovery" in values else Address("", 0),
        seed=seed,
        shares=SocketBudget.of(sockets, sftp is not None),
        known=root.get("known", {}),
        settings=read_settings(facts.values, seed),
        classes=classes,
        plans=plans,
        body_bytes=body_bytes(root.table("limits", {}).number("memory_mb", 0.0)),
        give_up=[lane.positive("GiveUpS", math.inf) for lane in lanes],
        writes=[bool(one) for one in extra.rows("ChangesData", [])],
        shards=extra.whole("Shards", 0, 1 << 31, 0),
        zones={str(zone): place for place, zone in enumerate(facts.rows("Areas", []))},
        dial_timeout=limits.number("DialTimeoutS", 0.25),
        idle_close=limits.number("IdleCloseS", 30.0),
        drain_grace=facts.table("Safety", {}).number("StopSendingWithinS", USUAL_GRACE),
        sftp=sftp,
        vrrp=vrrp,
        fleet=fleet,
        distribution=distribution,
        metrics=metrics,
        accept_fd=read_descriptor(environment.get("RELAY_ACCEPT_FD")),
        ops=address("RELAY_OPS", "ops") if environment.get("RELAY_OPS") or "ops" in values else None,
        state_dir=Path(environment.get("TMPDIR") or "/tmp"),
    )


def body_bytes(memory_mb: float) -> int:
    """What bodies may hold of a front's memory: the process itself takes some 30 MB."""
    if not memory_mb:
        return LEAST_BODIES + MAX_UPLOAD_BYTES
    return max(LEAST_BODIES, int(memory_mb * BODY_SHARE * 1024 * 1024))


def read_descriptor(text: str | None) -> int | None:
    if text is None or text == "":
        return None
    if not text.isascii() or not text.isdecimal() or not 0 <= int(text) < 1 << 20:
        msg = f"RELAY_ACCEPT_FD: want a descriptor number, found {text!r}"
        raise ConfigError(msg)
    return int(text)


def read_fronts(
    path: Path, classes: Mapping[str, int], plans: Mapping[str, int]
) -> tuple[
    SftpSettings | None,
    VrrpSettings | None,
    Address | None,
    FleetSettings | None,
    DistributionSettings | None,
]:
    """The fronts file of the deployment; a front whose table is absent or not ``enabled`` is off."""
    try:
        values = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return None, None, None, None, None
    except (OSError, ValueError) as error:
        msg = f"{path.name}: {error}"
        raise ConfigError(msg) from error
    root = Table(values, f"{path.name}: ")
    sftp = read_sftp(root.table("sftp", {}), classes, plans)
    vrrp = read_vrrp(root.table("vrrp", {}))
    metrics = read_metrics(root.table("metrics", {}))
    fleet = read_fleet(root.table("fleet", {}))
    distribution = read_distribution(root.table("distribution", {}))
    root.nothing_else()
    return sftp, vrrp, metrics, fleet, distribution


def read_distribution(table: Table) -> DistributionSettings | None:
    if not table.flag("enabled"):
        return None
    deployment = table.text("deployment")
    if not 1 <= len(deployment) <= 64:
        msg = "deployment"
        raise table.fail(msg, f"want 1 to 64 letters, found {deployment!r}")
    found = {}
    for key in ("relays", "others"):
        rows = table.rows(key, [])
        if not all(isinstance(one, str) for one in rows):
            raise table.fail(key, "want a list of texts")
        found[key] = [read_address(one, f"{table.path}{key}") for one in rows]
    if not found["relays"]:
        msg = "relays"
        raise table.fail(msg, "want one at the least")
    poll, rate = table.positive("poll_s", 2.0), table.positive("bytes_s", 2300.0)
    if not 0.1 <= poll <= 60:
        msg = "poll_s"
        raise table.fail(msg, f"want 0.1 to 60 seconds, found {poll:g}")
    if not 500 <= rate <= 1e9:
        msg = "bytes_s"
        raise table.fail(msg, f"want 500 to 1e9, found {rate:g}")
    relays = DistributionSettings(
        deployment=deployment,
        relays=found["relays"],
        others=found["others"],
        nodes=table.flag("nodes"),
        poll=poll,
        rate=rate,
    )
    table.nothing_else()
    return relays


def read_fleet(table: Table) -> FleetSettings | None:
    if not table.flag("enabled"):
        return None
    deployment = table.text("deployment")
    if not 1 <= len(deployment) <= 64:
        msg = "deployment"
        raise table.fail(msg, f"want 1 to 64 letters, found {deployment!r}")
    listen, seeds = table.address("listen"), table.rows("seeds")
    if not all(isinstance(one, str) for one in seeds):
        msg = "seeds"
        raise table.fail(msg, "want a list of texts")
    if not listen.port:
        msg = "listen"
        raise table.fail(msg, "want a port, as others have to find it again")
    timing = {}
    for name, usual in FLEET_TIMES.items():
        timing[name] = table.positive(f"{name}_s", usual)
        if not 0.01 <= timing[name] <= 3600:
            msg = f"{name}_s"
            raise table.fail(msg, f"want 0.01 to 3600 seconds, found {timing[name]:g}")
    for name in ("answer", "gossip"):
        if timing[name] >= timing["period"]:
            msg = f"{name}_s"
            raise table.fail(msg, f"want less than period_s, found {timing[name]:g}")
    folder = table.text("durable", "")
    if folder and not Path(folder).is_absolute():
        msg = "durable"
        raise table.fail(msg, f"want an absolute path, found {folder!r}")
    fleet = FleetSettings(
        deployment=deployment,
        listen=listen,
        advertise=table.address("advertise") if "advertise" in table.values else listen,
        seeds=[read_address(seed, f"{table.path}seeds") for seed in seeds],
        boot=table.whole("boot", 0, (1 << 53) - 1, 0),
        timing=timing,
        limits=table.flag("limits"),
        cold=table.flag("cold"),
        durable=Path(folder) if folder else None,
    )
    table.nothing_else()
    return fleet


def read_metrics(table: Table) -> Address | None:
    if not table.flag("enabled"):
        return None
    listen = table.address("listen")
    table.nothing_else()
    return listen


def read_sftp(table: Table, classes: Mapping[str, int], plans: Mapping[str, int]) -> SftpSettings | None:
    enabled = table.flag("enabled")
    if not enabled:
        return None
    volumes = []
    for entry in table.tables("volume"):
        prefix = entry.text("path")
        if not prefix.startswith("/") or prefix != "/" + prefix.strip("/"):
            msg = "path"
            raise entry.fail(msg, f"want an absolute path without a closing slash, found {prefix!r}")
        digits = entry.text("volume")
        try:
            volume = int(digits, 16)
        except ValueError as error:
            msg = "volume"
            raise entry.fail(msg, f"want hex digits, found {digits!r}") from error
        plan, cell = entry.one_of("plan", plans), entry.whole("shard", -1, 1 << 31)
        volumes.append(VolumePath(prefix, volume, plan, cell, entry.whole("hosts", 1, 1 << 16, 1)))
        entry.nothing_else()
    front = SftpSettings(
        listen=table.address("listen"),
        volumes=sorted(volumes, key=lambda volume: -len(volume.prefix)),
        read_class=table.one_of("read_class", classes, "tile-read"),
        write_class=table.one_of("write_class", classes, "record-write"),
        box_port=table.whole("box_port", 0, 65535, 0),
        most_upload=table.whole("most_upload", 1, MOST_WRITE, MOST_WRITE),
        unit_bytes=table.whole("unit_bytes", 1, MOST_WRITE, 8192),
        most_handles=table.whole("most_handles", 1, 1024, 16),
        idle=table.number("idle_s", 60.0),
        deadline=table.number("deadline_s", 1.5),
    )
    table.nothing_else()
    return front


def read_vrrp(table: Table) -> VrrpSettings | None:
    enabled = table.flag("enabled")
    if not enabled:
        return None
    peers, addresses = table.get("peers"), table.get("addresses")
    for key, value in (("peers", peers), ("addresses", addresses)):
        if not isinstance(value, list) or not value or not all(isinstance(one, str) for one in value):
            raise table.fail(key, "want a list of texts")
    vrrp = VrrpSettings(
        listen=table.address("listen"),
        peers=[read_address(peer, f"{table.path}peers") for peer in peers],
        router=table.whole("router", 1, 255),
        priority=table.whole("priority", 1, 255, 100),
        interval=table.whole("interval_cs", 1, 4095, 100) / 100,
        preempt=table.flag("preempt", True),
        addresses=addresses,
    )
    table.nothing_else()
    return vrrp
