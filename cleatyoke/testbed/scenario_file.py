"""Reads scenario files: maps their keys (``docs/standin.md``) to the fields of ``Scenario``."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from cleatyoke.config.errors import ConfigError
from cleatyoke.config.settings import IDEMPOTENCY_NAMES
from cleatyoke.config.table import TableReader
from cleatyoke.scheduling.settings import IdempotencyScope
from cleatyoke.testbed.scenario import (
    BACKEND_FAULTS,
    CALL_FAULTS,
    FRONT_FAULTS,
    LINK_FAULTS,
    LIST_FAULTS,
    BackendCapacity,
    DeploymentTerms,
    FaultEvent,
    LinkFault,
    LoadProfile,
    PlanTerms,
    RequestClassTerms,
    Scenario,
    ViewTerms,
)

LOAD_REPORTS = {name: name for name in ("answers", "probe", "none")}
DEFAULT_ZONES = ["basement", "second-floor"]
MAX_COUNT = 1024  # fronts, and backends
MAX_UNITS = 64  # of a request


def read_scenario(path: Path) -> Scenario:
    """Read a scenario file; ``ConfigError`` names the file or the first invalid key."""
    try:
        values = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        msg = f"{path.name}: {error}"
        raise ConfigError(msg) from error
    return parse_scenario(path.stem, values)


def parse_scenario(name: str, values: dict[str, Any]) -> Scenario:
    """Validate the contents of a scenario file and convert them; ``docs/standin.md`` describes each key.

    Raises ``ConfigError`` naming the first invalid key. The order of the reads below decides which is first.
    """
    root = TableReader(values, f"{name}: ")
    fleet, load, capacity = root.table("fleet"), root.table("load"), root.table("box", {})
    fronts = fleet.integer("fronts", 1, MAX_COUNT)
    backends = fleet.integer("boxes", 1, MAX_COUNT)
    zones = [str(zone) for zone in fleet.items("zones", DEFAULT_ZONES)] or DEFAULT_ZONES[:1]
    deadline = fleet.positive("deadline_s", 1.5)
    limit = fleet.number("limit", 0.0)
    writes = load.number("writes", 0.35)
    min_units = load.integer("units", 1, MAX_UNITS, 2)
    class_tables = root.tables("class", _default_classes(writes))
    request_classes = [_read_request_class(table, deadline) for table in class_tables]
    plans = [_read_plan(table, min_units) for table in root.tables("plan", _default_plans(limit))]
    terms, view = root.table("terms", {}), root.table("view", {})
    scenario = Scenario(
        name=name,
        seconds=fleet.positive("seconds"),
        seed=fleet.integer("seed", 0, 1 << 31, 1),
        fronts=fronts,
        backends=backends,
        zones=zones,
        request_classes=request_classes,
        plans=plans,
        terms=_read_terms(terms),
        load=_read_load(load, fronts, backends, writes, min_units),
        backend_capacity=_read_capacity(capacity),
        faults=[_read_fault(table, fronts, backends, zones) for table in root.tables("trouble", [])],
        view=_read_view_terms(view, fronts),
    )
    _require_view(root, scenario)
    for table in (root, fleet, load, capacity, terms, view):
        table.reject_unknown_keys()
    return scenario


def _require_view(root: TableReader, scenario: Scenario) -> None:
    """Link faults and operators' holds require fronts that keep a membership view."""
    if scenario.view is not None:
        return
    for fault in scenario.faults:
        if fault.kind in (*LINK_FAULTS, *CALL_FAULTS):
            key = "trouble"
            raise root.error(key, f"{fault.kind} wants a view of the fleet")


def _read_load(table: TableReader, fronts: int, backends: int, writes: float, min_units: int) -> LoadProfile:
    return LoadProfile(
        rate=table.positive("rate"),
        writes=writes,
        volumes=table.integer("volumes", 1, 4096, 4 * backends),
        fronts_per_volume=table.integer("hosts", 1, fronts, 1),
        hot_share=table.number("hot", 0.0),
        min_units=min_units,
        max_units=table.integer("units_most", min_units, MAX_UNITS, min_units),
        new_object_share=table.number("fresh", 0.0),
        reread_share=table.number("reread", 0.0),
        skew_share=table.number("skew", 0.0),
        skew_period=table.positive("skew_s", 7.0),
        surge_at=table.number("surge_at", 0.0),
        surge_duration=table.number("surge_s", 0.0),
        surge_factor=table.positive("surge", 1.0),
        retries=table.integer("retries", 0, 99, 0),
        retry_delay=table.positive("retry_s", 0.5),
    )


def _read_capacity(table: TableReader) -> BackendCapacity:
    return BackendCapacity(
        units_per_second=table.positive("units", 60.0),
        max_queue=table.integer("queue", 1, 4096, 24),
        initial_share=table.positive("cold_from", 0.2),
        ramp_duration=table.positive("ramp_s", 4.0),
        overload_factor=table.positive("tip_multiple", 2.0),
        overload_window=table.positive("tip_after_s", 1.0),
    )


def _default_classes(writes: float) -> list[dict[str, Any]]:
    read = {"name": "tile-read", "share": 1 - writes, "worth": 3.0}
    write = {"name": "record-write", "share": writes, "worth": 2.0, "repeat": "once", "write": True}
    return [read, write]


def _default_plans(limit: float) -> list[dict[str, Any]]:
    return [{"name": "public", "limit": limit}, {"name": "research"}]


def _read_request_class(table: TableReader, deadline: float) -> RequestClassTerms:
    request_class = RequestClassTerms(
        name=table.text("name"),
        share=table.number("share", 1.0),
        latency_objective=table.positive("aim_s", 0.3),
        deadline=table.positive("deadline_s", deadline),
        value=table.positive("worth", 1.0),
        late_value_share=table.number("late", 0.1),
        idempotency=table.one_of("repeat", IDEMPOTENCY_NAMES, "repeatable"),
        scope=table.one_of("scope", {scope.value: scope for scope in IdempotencyScope}, "all"),
        key_memory=table.number("memory_s", 5.0),
        write=table.boolean("write"),
    )
    table.reject_unknown_keys()
    return request_class


def _read_plan(table: TableReader, units: int) -> PlanTerms:
    limit = table.number("limit", 0.0)
    plan = PlanTerms(
        name=table.text("name"),
        rate=table.number("rate", 8.0),
        reserve=table.number("reserve", 4.0),
        weight=table.positive("weight", 1.0),
        value_factor=table.positive("worth", 1.0),
        limit=limit,
        burst=table.number("burst", limit),
        slack=table.number("slack", 2.0 * units),
    )
    table.reject_unknown_keys()
    return plan


def _read_terms(table: TableReader) -> DeploymentTerms:
    return DeploymentTerms(
        max_attempts=table.integer("attempts", 1, 16, 4),
        drain_grace=table.positive("drain_grace_s", 1.0),
        cancel=table.boolean("cancel", True),
        load_report=table.one_of("report", LOAD_REPORTS, "answers"),
        probes=table.boolean("probes"),
        dial_timeout=table.positive("dial_s", 0.25),
        idle_timeout=table.positive("idle_s", 30.0),
        max_retry_after=table.number("retry_after_s", 5.0),
    )


def _read_view_terms(table: TableReader, fronts: int) -> ViewTerms | None:
    if not table.boolean("enabled"):
        return None
    return ViewTerms(
        probe_period=table.positive("period_s", 0.2),
        convergence_timeout=table.positive("settles_s", 10.0),
        seeds=_read_numbers(table, "seeds", fronts, list(range(min(3, fronts)))),
        shares_limits=table.boolean("limits"),
        shares_warm_up=table.boolean("cold"),
        durable=table.boolean("durable"),
    )


def _read_numbers(table: TableReader, key: str, count: int, default: list[int]) -> list[int]:
    numbers = table.items(key, default)
    if not all(isinstance(number, int) and 0 <= number < count for number in numbers):
        raise table.error(key, f"want numbers from 0 to {count - 1}, found {numbers!r}")
    return numbers


def _read_links(table: TableReader, fronts: int, targets: list[int]) -> LinkFault:
    return LinkFault(
        to=_read_numbers(table, "to", fronts, [front for front in range(fronts) if front not in targets]),
        one_way=table.boolean("one_way"),
        cut=table.boolean("cut"),
        loss=table.number("loss", 0.0),
        duplicates=table.number("doubles", 0.0),
        corruption=table.number("garbles", 0.0),
        delay=table.number("delay_s", 0.0),
        jitter=table.number("jitter_s", 0.0),
    )


def _read_fault(table: TableReader, fronts: int, backends: int, zones: list[str]) -> FaultEvent:
    all_kinds = *BACKEND_FAULTS, *FRONT_FAULTS, *LIST_FAULTS, *LINK_FAULTS, *CALL_FAULTS
    kinds = {kind: kind for kind in all_kinds}
    kind = table.one_of("kind", kinds)
    count = backends if kind in BACKEND_FAULTS else fronts
    targets = table.items("of", list(range(count)))
    if kind in BACKEND_FAULTS and "zone" in table.values:
        zone = table.one_of("zone", {zone: index for index, zone in enumerate(zones)})
        targets = [backend for backend in range(backends) if backend % len(zones) == zone]
    targets = _read_numbers(TableReader({"of": targets}, table.path), "of", count, [])
    fault = FaultEvent(
        at=table.number("at"),
        kind=kind,
        targets=targets,
        spread=table.number("over_s", 0.0),
        duration=table.number("lasts_s", 0.0),
        share=table.number("share", 1.0),
        held_backend=table.integer("box", 0, backends - 1, 0) if kind in CALL_FAULTS else 0,
        links=_read_links(table, fronts, targets) if kind in LINK_FAULTS else None,
    )
    table.reject_unknown_keys()
    return fault
