"""The settings with which a scenario's fronts are started.

The keys are those of the platform's settings message (protocol page, Settings).
"""

from __future__ import annotations

from typing import Any

from cleatyoke.config.settings import IDEMPOTENCY_NAMES
from cleatyoke.testbed.scenario import PlanTerms, RequestClassTerms, Scenario

SURPLUS_VALUE_SHARE = 0.35  # value of a unit above its plan's reserve, as a fraction of its full value
IDEMPOTENCY_KEYS = {idempotency: name for name, idempotency in IDEMPOTENCY_NAMES.items()}


def settings_of(scenario: Scenario) -> dict[str, Any]:
    """Return the settings as in the platform's first message."""
    return {
        "Areas": scenario.zones,
        "Contracts": [_contract(plan) for plan in scenario.plans],
        "Lanes": [_lane(request_class) for request_class in scenario.request_classes],
        "PolicyLimits": _policy_limits(scenario),
        "Report": _report(scenario),
        "Safety": _safety(scenario),
        "Extra": _extra(scenario),
        "Siblings": scenario.fronts,
    }


def _contract(plan: PlanTerms) -> dict[str, Any]:
    return {
        "Name": plan.name,
        "BaseRate": plan.rate,
        "FloorRate": plan.reserve,
        "Limit": plan.limit,
        "LimitBurst": plan.burst,
        "CapSlack": plan.slack,
        "Proportion": plan.weight,
        "WorthFactor": plan.value_factor,
    }


def _lane(request_class: RequestClassTerms) -> dict[str, Any]:
    return {
        "Name": request_class.name,
        "AimS": request_class.latency_objective,
        "GiveUpS": request_class.deadline,
        "Worth": request_class.value,
        "LateShare": request_class.late_value_share,
        "Repeat": IDEMPOTENCY_KEYS[request_class.idempotency],
        "DedupScope": request_class.scope.value,
        "MemorySpanS": request_class.key_memory,
    }


def _policy_limits(scenario: Scenario) -> dict[str, Any]:
    terms = scenario.terms
    return {
        "Cancel": terms.cancel,
        "SendCap": terms.max_attempts,
        "DialTimeoutS": terms.dial_timeout,
        "IdleCloseS": terms.idle_timeout,
        "Probes": terms.probes,
        "RetryAfter": terms.max_retry_after > 0,
        "MaxRetryAfterS": terms.max_retry_after,
    }


def _report(scenario: Scenario) -> dict[str, Any]:
    load_report = scenario.terms.load_report
    return {"How": load_report, "Fields": ["queue", "util"] if load_report != "none" else []}


def _safety(scenario: Scenario) -> dict[str, Any]:
    capacity = scenario.backend_capacity
    return {
        "ColdFrom": capacity.initial_share,
        "RampTimeS": capacity.ramp_duration,
        "StopSendingWithinS": scenario.terms.drain_grace,
        "TipMultiple": capacity.overload_factor,
        "TipAfterS": capacity.overload_window,
    }


def _extra(scenario: Scenario) -> dict[str, Any]:
    load = scenario.load
    capacity = scenario.backend_capacity
    initial_rate = capacity.units_per_second * capacity.initial_share
    return {
        "ColdUnits": initial_rate * capacity.overload_window * capacity.overload_factor,
        "Largest": load.max_units,
        "MeanUnits": (load.min_units + load.max_units) / 2,
        "WithinShare": SURPLUS_VALUE_SHARE,
        "ChangesData": [request_class.write for request_class in scenario.request_classes],
        "Shards": scenario.backends,
    }
