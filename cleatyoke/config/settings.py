"""Conversion of the platform's settings to the scheduler's and the front's.

This module is the only place that knows the keys of the platform's settings page (``Lanes``, ``AimS`` and so
on). Unknown keys are ignored. A key that is read without a default is mandatory; the defaults of optional
keys are defined here.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cleatyoke.config.table import TableReader
from cleatyoke.scheduling.settings import (
    Idempotency,
    IdempotencyScope,
    RequestClass,
    SafetyLimits,
    SchedulerSettings,
    VolumePlan,
)

IDEMPOTENCY_NAMES = {  # values of ``Repeat`` on the settings page
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.NOT_IDEMPOTENT,
}
IDEMPOTENCY_SCOPE_NAMES = {scope.value: scope for scope in IdempotencyScope}  # values of ``DedupScope``
LOAD_FIELDS = ("util", "cpu")  # fields of a load report that may contain a node's utilization
DEFAULT_DRAIN_GRACE = 1.0  # seconds, unless ``StopSendingWithinS`` is set
DEFAULT_CONNECT_TIMEOUT = 0.25  # seconds, unless ``DialTimeoutS`` is set
DEFAULT_IDLE_TIMEOUT = 30.0  # seconds, unless ``IdleCloseS`` is set


@dataclass(slots=True, frozen=True)
class ClassAndPlanIndexes:
    """The scheduler's indexes of request classes and volume plans, by name."""

    classes: dict[str, int]
    plans: dict[str, int]


@dataclass(slots=True, frozen=True)
class FrontSettings:
    """The settings of the front outside its scheduler; see ``deployment.Config``."""

    client_timeouts: list[float]
    changes_data: list[bool | None]
    shard_count: int
    zones: dict[str, int]
    connect_timeout: float
    idle_timeout: float
    drain_grace: float


def read_indexes(settings: TableReader) -> ClassAndPlanIndexes:
    """Read the names of classes and plans; check the types of tables that are read later."""
    settings.table("PolicyLimits")
    classes = settings.tables("Lanes")
    settings.table("Extra", {})
    return ClassAndPlanIndexes(index_by_name(classes), index_by_name(settings.tables("Contracts")))


def index_by_name(tables: list[TableReader]) -> dict[str, int]:
    """Return the index of each table in the list, by its ``Name``."""
    return {table.text("Name"): index for index, table in enumerate(tables)}


def read_settings(settings: Mapping[str, Any], seed: int) -> SchedulerSettings:
    """Read the scheduler's settings. Raises ``ConfigError``."""
    root = TableReader(settings, "settings.")
    safety = root.table("Safety", {})
    limits = root.table("PolicyLimits")
    extra = root.table("Extra", {})
    classes = [_read_class(table) for table in root.tables("Lanes")]
    plans = [_read_plan(table) for table in root.tables("Contracts")]
    report = root.table("Report", {})
    has_load_probes = limits.boolean("Probes") and report.text("How", "none") == "probe"
    return SchedulerSettings(
        classes=classes,
        plans=plans,
        safety=_read_safety_limits(safety),
        seed=seed,
        front_count=int(root.amount("Siblings", 0)),
        watches_endpoints=settings.get("Discovery") == "subscribe",
        max_attempts=limits.integer("SendCap", 1, 1000),
        can_cancel=limits.boolean("Cancel"),
        slow_start_units=extra.amount("ColdUnits", 0.0),
        max_request_units=extra.amount("Largest", 0.0),
        mean_request_units=extra.amount("MeanUnits", 0.0),
        reports_usage_by_others=extra.boolean("SaysOthers"),
        unreserved_value=extra.amount("WithinShare", 0.0),
        max_retry_after=limits.amount("MaxRetryAfterS", 0.0) if limits.boolean("RetryAfter") else 0.0,
        load_by_probes=has_load_probes and any(name in report.items("Fields", []) for name in LOAD_FIELDS),
    )


def _read_class(table: TableReader) -> RequestClass:
    return RequestClass(
        latency_objective=table.positive("AimS"),
        priority_weight=table.amount("Worth"),
        late_value=table.amount("LateShare", 0.0),
        idempotency=table.one_of("Repeat", IDEMPOTENCY_NAMES),
        idempotency_scope=table.one_of("DedupScope", IDEMPOTENCY_SCOPE_NAMES, "all"),
        idempotency_window=table.amount("MemorySpanS", 0.0),
        ordered=table.boolean("ByArrival"),
    )


def _read_plan(table: TableReader) -> VolumePlan:
    return VolumePlan(
        priority_weight=table.amount("WorthFactor"),
        base_rate=table.amount("BaseRate", 0.0),
        reserved_rate=table.amount("FloorRate", 0.0),
        fair_share_weight=table.amount("Proportion"),
        rate_limit=table.amount("Limit", 0.0),
        rate_limit_burst=table.amount("LimitBurst", 0.0),
        rate_limit_slack=table.amount("CapSlack", 0.0),
    )


def _read_safety_limits(table: TableReader) -> SafetyLimits:
    def optional(key: str) -> float | None:
        return None if table.values.get(key) is None else table.amount(key)

    return SafetyLimits(
        slow_start_initial_fraction=table.amount("ColdFrom", 0.0),
        slow_start_duration=table.amount("RampTimeS", 0.0),
        overload_multiple=table.amount("TipMultiple", 0.0),
        overload_after=table.amount("TipAfterS", 0.0),
        poll_interval=optional("AskEveryS"),
        ordering_pause=table.amount("KeyRestS", 0.0),
        retry_budget_minimum=optional("FreeResends"),
        retry_budget_ratio=optional("ExtraRatio"),
        retry_budget_window=optional("LookBackS"),
    )


def read_front_settings(settings: TableReader) -> FrontSettings:
    """Read the settings of the front outside its scheduler. Raises ``ConfigError``."""
    limits = settings.table("PolicyLimits")
    extra = settings.table("Extra", {})
    return FrontSettings(
        client_timeouts=[table.positive("GiveUpS", math.inf) for table in settings.tables("Lanes")],
        changes_data=[bool(value) for value in extra.items("ChangesData", [])],
        shard_count=extra.integer("Shards", 0, 1 << 31, 0),
        zones={str(zone): index for index, zone in enumerate(settings.items("Areas", []))},
        connect_timeout=limits.amount("DialTimeoutS", DEFAULT_CONNECT_TIMEOUT),
        idle_timeout=limits.amount("IdleCloseS", DEFAULT_IDLE_TIMEOUT),
        drain_grace=settings.table("Safety", {}).amount("StopSendingWithinS", DEFAULT_DRAIN_GRACE),
    )
