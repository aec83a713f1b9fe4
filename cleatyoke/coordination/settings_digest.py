"""The settings digest, by which fronts detect that they run with different settings. No I/O.

Fronts compare the digest in membership messages. The text that it is computed from is therefore part of the
wire format: fronts of older releases compute it from the same text. The names in that text are those of the
format and differ from the names in this code.
"""

from __future__ import annotations

import zlib
from enum import Enum

from cleatyoke.scheduling.settings import (
    Idempotency,
    IdempotencyScope,
    RequestClass,
    SafetyLimits,
    SchedulerSettings,
    VolumePlan,
)

_ENUM_TEXT: dict[Enum, str] = {
    Idempotency.IDEMPOTENT: "<Repeat.FREE: 'free'>",
    Idempotency.KEYED: "<Repeat.KEYED: 'keyed'>",
    Idempotency.NOT_IDEMPOTENT: "<Repeat.ONCE: 'once'>",
    IdempotencyScope.ALL: "<Scope.ALL: 'all'>",
    IdempotencyScope.ZONE: "<Scope.ZONE: 'zone'>",
    IdempotencyScope.SHARD: "<Scope.CELL: 'cell'>",
}


def settings_digest(settings: SchedulerSettings) -> int:
    """Return the CRC-32 of the settings that all fronts of a fleet share.

    It is the ``settings_checksum`` of the membership messages. Settings of a single process have fixed
    values in it: seed, start time, quota fraction, and whether the process replaces another one.
    """
    return zlib.crc32(_settings_text(settings).encode())


def _settings_text(settings: SchedulerSettings) -> str:
    fields = {
        "classes": _list_text([_class_text(request_class) for request_class in settings.classes]),
        "plans": _list_text([_plan_text(plan) for plan in settings.plans]),
        "safety": _safety_text(settings.safety),
        "seed": "0",
        "hosts": repr(settings.front_count),
        "must_watch": repr(settings.watches_endpoints),
        "max_attempts": repr(settings.max_attempts),
        "cancel": repr(settings.can_cancel),
        "cold_units": repr(settings.slow_start_units),
        "largest": repr(settings.max_request_units),
        "mean": repr(settings.mean_request_units),
        "within_share": repr(settings.unreserved_value),
        "tells_others": repr(settings.reports_usage_by_others),
        "quiet_since": "None",
        "limit_share": "1.0",
        "taken_over": "False",
        "retry_after": repr(settings.max_retry_after),
        "probes": repr(settings.load_by_probes),
    }
    return _record_text("Settings", fields)


def _class_text(request_class: RequestClass) -> str:
    fields = {
        "aim": repr(request_class.latency_objective),
        "worth": repr(request_class.priority_weight),
        "late_share": repr(request_class.late_value),
        "repeat": _ENUM_TEXT[request_class.idempotency],
        "scope": _ENUM_TEXT[request_class.idempotency_scope],
        "memory": repr(request_class.idempotency_window),
        "ordered": repr(request_class.ordered),
    }
    return _record_text("ClassSpec", fields)


def _plan_text(plan: VolumePlan) -> str:
    fields = {
        "worth": repr(plan.priority_weight),
        "rate": repr(plan.base_rate),
        "reserve": repr(plan.reserved_rate),
        "weight": repr(plan.fair_share_weight),
        "limit": repr(plan.rate_limit),
        "limit_burst": repr(plan.rate_limit_burst),
        "limit_slack": repr(plan.rate_limit_slack),
    }
    return _record_text("PlanSpec", fields)


def _safety_text(safety: SafetyLimits) -> str:
    fields = {
        "cold_from": repr(safety.slow_start_initial_fraction),
        "ramp": repr(safety.slow_start_duration),
        "tip_multiple": repr(safety.overload_multiple),
        "tip_after": repr(safety.overload_after),
        "ask_every": repr(safety.poll_interval),
        "key_rest": repr(safety.ordering_pause),
        "extra_free": repr(safety.retry_budget_minimum),
        "extra_ratio": repr(safety.retry_budget_ratio),
        "extra_window": repr(safety.retry_budget_window),
    }
    return _record_text("Safety", fields)


def _record_text(name: str, fields: dict[str, str]) -> str:
    return f"{name}({', '.join(f'{field}={value}' for field, value in fields.items())})"


def _list_text(items: list[str]) -> str:
    return f"[{', '.join(items)}]"
