"""The only module of the scheduler recording that uses the project: converts recorded values to its types.

After a rename in the project only this module changes; the words in the recorded data stay.
"""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from typing import Any

from cleatyoke import simulator
from cleatyoke.scheduling.actions import (
    CancelAttempt,
    FailRequest,
    Reject,
    SchedulerAction,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from cleatyoke.scheduling.concurrency import arbitrate
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    QuotaLeaseChanged,
    QuotaShareChanged,
    RequestArrived,
    SchedulerEvent,
    SettingsReloaded,
    SlowStartLeaseChanged,
    TimerFired,
    UpdateKind,
    UtilizationReported,
    decode_shard,
)
from cleatyoke.scheduling.load_probes import LoadProber
from cleatyoke.scheduling.node_table import DecayingRates
from cleatyoke.scheduling.regression import fit_slope, mean_of_short_values
from cleatyoke.scheduling.scheduler import Scheduler
from cleatyoke.scheduling.settings import (
    Idempotency,
    IdempotencyScope,
    RequestClass,
    SafetyLimits,
    SchedulerSettings,
    VolumePlan,
)

Row = list[Any]  # one recorded line: the kind of action, then ids and numbers
Plain = dict[str, Any]

REPEATS = {"free": Idempotency.IDEMPOTENT, "keyed": Idempotency.KEYED, "once": Idempotency.NOT_IDEMPOTENT}
SCOPES = {"all": IdempotencyScope.ALL, "zone": IdempotencyScope.ZONE, "cell": IdempotencyScope.SHARD}
OUTCOMES = {
    "served": AttemptOutcome.SERVED,
    "error": AttemptOutcome.ERROR,
    "full": AttemptOutcome.QUEUE_FULL,
    "timeout": AttemptOutcome.TIMEOUT,
    "no connection": AttemptOutcome.CONNECTION_FAILED,
    "reset": AttemptOutcome.CONNECTION_RESET,
    "cancelled": AttemptOutcome.CANCELLED,
    "not sent": AttemptOutcome.NOT_SENT,
}
NODE_STATES = {
    "live": EndpointState.LIVE,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}
LIST_KINDS = {
    "changes": UpdateKind.DELTA,
    "whole": UpdateKind.SNAPSHOT,
    "old copy": UpdateKind.CACHED,
    "lost": UpdateKind.UNAVAILABLE,
}


def every_enum_member_has_word() -> bool:
    """Whether the words above cover every member of the project's enumerations."""
    return (
        set(REPEATS.values()) == set(Idempotency)
        and set(SCOPES.values()) == set(IdempotencyScope)
        and set(OUTCOMES.values()) == set(AttemptOutcome)
        and set(NODE_STATES.values()) == set(EndpointState)
        and set(LIST_KINDS.values()) == set(UpdateKind)
    )


def build_settings(neutral: Plain) -> SchedulerSettings:
    """Build the scheduler's settings."""
    guards = neutral["guards"]
    return SchedulerSettings(
        classes=[
            RequestClass(
                latency_objective=request_class["target"],
                priority_weight=request_class["value"],
                late_value=request_class["late value"],
                idempotency=REPEATS[request_class["repeat"]],
                idempotency_scope=SCOPES[request_class["scope"]],
                idempotency_window=request_class["memory"],
                ordered=request_class["ordered"],
            )
            for request_class in neutral["classes"]
        ],
        plans=[
            VolumePlan(
                priority_weight=plan["value"],
                base_rate=plan["rate"],
                reserved_rate=plan["reserve"],
                fair_share_weight=plan["weight"],
                rate_limit=plan["limit"],
                rate_limit_burst=plan["burst"],
                rate_limit_slack=plan["slack"],
            )
            for plan in neutral["plans"]
        ],
        safety=SafetyLimits(
            slow_start_initial_fraction=guards["cold from"],
            slow_start_duration=guards["ramp"],
            overload_multiple=guards["cold multiple"],
            overload_after=guards["cold span"],
            poll_interval=guards["list period"],
            ordering_pause=guards["key rest"],
            retry_budget_minimum=guards["extra free"],
            retry_budget_ratio=guards["extra ratio"],
            retry_budget_window=guards["extra window"],
        ),
        seed=neutral["seed"],
        front_count=neutral["hosts"],
        watches_endpoints=neutral["watch"],
        max_attempts=neutral["attempts"],
        can_cancel=neutral["cancel"],
        slow_start_units=neutral["cold units"],
        max_request_units=neutral["largest"],
        mean_request_units=neutral["mean"],
        unreserved_value=neutral["value beyond reserve"],
        reports_usage_by_others=neutral["nodes report others"],
        idle_since=neutral["quiet since"],
        initial_quota_share=neutral["limit part"],
        replaces_process=neutral["taken over"],
        max_retry_after=neutral["retry after"],
        load_by_probes=neutral["probes"],
    )


def build_node_list(kind: str, nodes: Sequence[Plain]) -> EndpointUpdate:
    """Build an update of the endpoint list."""
    entries = [
        Endpoint(
            node_id=node["node"],
            shard=decode_shard(node["cell"]),
            zone=node["zone"],
            state=NODE_STATES[node["state"]],
            started_at=node["since"],
        )
        for node in nodes
    ]
    return EndpointUpdate(kind=LIST_KINDS[kind], endpoints=entries)


def build_event(kind: str, neutral: Plain) -> SchedulerEvent:
    """Build one event of the scheduler."""
    if kind == "nodes":
        return build_node_list(neutral["list"], neutral["nodes"])
    if kind == "arrival":
        return RequestArrived(
            request_id=neutral["request"],
            class_index=neutral["class"],
            plan_index=neutral["plan"],
            volume_id=neutral["volume"],
            item=neutral["item"],
            shard=decode_shard(neutral["cell"]),
            units=neutral["units"],
            deadline=neutral["deadline"],
            front_count=neutral["hosts"],
        )
    if kind == "ended":
        return AttemptFinished(
            request_id=neutral["request"],
            attempt=neutral["attempt"],
            node_id=neutral["node"],
            outcome=OUTCOMES[neutral["outcome"]],
            elapsed=neutral["spent"],
            settled=neutral["settled"],
            units_by_others=neutral["elsewhere"],
            utilization=neutral["busy"],
        )
    if kind == "busy":
        return UtilizationReported(utilization=neutral["part"])
    if kind == "withdrawn":
        return ClientDisconnected(request_id=neutral["request"])
    if kind == "timer":
        return TimerFired(token=neutral["token"])
    if kind == "limit part":
        return QuotaShareChanged(fraction=neutral["part"])
    if kind == "volume part":
        return QuotaLeaseChanged(volume_id=neutral["volume"], multiplier=neutral["part"])
    if kind == "node part":
        return SlowStartLeaseChanged(node_id=neutral["node"], multiplier=neutral["part"])
    if kind == "settings":
        return SettingsReloaded(
            settings=build_settings(neutral["settings"]),
            retired_classes=frozenset(neutral["retired classes"]),
        )
    raise ValueError(f"unknown kind of event: {kind}")


def number(value: float) -> float | None:
    """Return the number, or None where it is infinite, as JSON has no such number."""
    return None if math.isinf(value) else value


def describe(now: float, action: SchedulerAction) -> Row:
    """Return the recorded form of one action of the scheduler."""
    if isinstance(action, SendAttempt):
        return ["send", now, action.request_id, action.node_id, number(action.not_after)]
    if isinstance(action, Reject):
        return ["reject", now, action.request_id, number(action.retry_after)]
    if isinstance(action, FailRequest):
        return ["fail", now, action.request_id]
    if isinstance(action, CancelAttempt):
        return ["cancel", now, action.request_id, action.attempt]
    if isinstance(action, SetTimer):
        return ["timer", now, action.delay, action.token]
    if isinstance(action, WatchEndpoints):
        return ["watch", now]
    raise TypeError(f"no recorded word for action {action}")


class RecordedScheduler:
    """A scheduler, driven with recorded values."""

    def __init__(self, settings: Plain) -> None:
        self.scheduler = Scheduler(build_settings(settings))

    def step(self, now: float, events: Sequence[tuple[str, Plain]]) -> list[Row]:
        """Process one batch of events and return the actions in recorded form."""
        actions = self.scheduler.step(now, [build_event(kind, neutral) for kind, neutral in events])
        return [describe(now, action) for action in actions]


class Probes:
    """The load prober, driven with recorded values."""

    def __init__(self, hosts: int, ramp: float, seed: int) -> None:
        self.prober = LoadProber(front_count=hosts, slow_start_duration=ramp, seed=seed)

    def nodes(self, kind: str, nodes: Sequence[Plain]) -> None:
        """Pass an update of the endpoint list."""
        self.prober.on_endpoints(build_node_list(kind, nodes))

    def report(self, node: int, now: float, part: float | None) -> None:
        """Pass the utilization reported by a probe; None without a report."""
        self.prober.on_report(node, now, part)

    def next_node(self, now: float) -> int | None:
        """Return the node to probe now, if any."""
        return self.prober.step(now)

    def next_time(self, now: float) -> float | None:
        """Return the time of the next step, or None."""
        return number(self.prober.next_at(now))

    def load(self, now: float) -> float:
        """Return the mean utilization by the reports."""
        return self.prober.utilization(now)


class Means:
    """The decaying rates by shard, driven with recorded values."""

    def __init__(self) -> None:
        self.rates = DecayingRates()

    def change(self, what: str, cell: int, value: float) -> None:
        """Decay all rates, or add to, freeze or resume the rate of one shard."""
        if what == "fade":
            self.rates.decay(value)
        elif what == "add":
            self.rates.add(cell, value)
        elif what == "keep":
            self.rates.freeze(cell)
        else:
            self.rates.resume(cell)

    def values(self, cell: int) -> list[float]:
        """Return the shard's rate, its rate or by default the mean rate, and the mean rate."""
        return [self.rates.get(cell), self.rates.get_or_mean(cell), self.rates.mean()]


class Simulated:
    """The simulator's adapter, driven with lines of its protocol."""

    def __init__(self) -> None:
        self.adapter = simulator.SimulatorAdapter()

    def reply(self, line: str) -> Plain | None:
        """Return the reply to one batch, or None if the line is rejected as malformed."""
        try:
            reply: Plain = json.loads(json.dumps(self.adapter.reply(line)))
        except simulator.MalformedBatchError:
            return None
        return reply


def fitted_slope(history: list[tuple[float, float]]) -> float | None:
    """Return the slope of performance over concurrency limits."""
    return fit_slope(history)


def running_mean(mean: float, value: float) -> float:
    """Return the updated mean, which follows short values faster."""
    return mean_of_short_values(mean, value)


def divided_bounds(
    bounds: list[float],
    wanted: list[float],
    performance: list[float],
    slopes: list[float | None],
    values: list[float],
) -> list[float]:
    """Return the concurrency limits of the next interval."""
    return arbitrate(bounds, wanted, performance, slopes, values)
