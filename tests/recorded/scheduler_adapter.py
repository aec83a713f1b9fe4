"""The only access of the scheduler recording to the project's types: plain values in, plain values out.

After a rename only this module changes. Its words are those of the recording and stay as they are.
"""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from typing import Any

from cleatyoke import simulator as simhost
from cleatyoke.scheduling.actions import (
    CancelAttempt,
    FailRequest,
    Reject,
    SchedulerAction,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
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
)
from cleatyoke.scheduling.load_probes import LoadProber
from cleatyoke.scheduling.node_table import FadingMeans
from cleatyoke.scheduling.regression import fit, short_mean
from cleatyoke.scheduling.scheduler import Scheduler, arbitrate
from cleatyoke.scheduling.settings import (
    Idempotency,
    IdempotencyScope,
    RequestClass,
    SafetyLimits,
    SchedulerSettings,
    VolumePlan,
)

Row = list[Any]  # one recorded line: a word, then ids and numbers
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


def every_member_is_named() -> bool:
    """Whether the words above stand for every member of the project's enumerations."""
    return (
        set(REPEATS.values()) == set(Idempotency)
        and set(SCOPES.values()) == set(IdempotencyScope)
        and set(OUTCOMES.values()) == set(AttemptOutcome)
        and set(NODE_STATES.values()) == set(EndpointState)
        and set(LIST_KINDS.values()) == set(UpdateKind)
    )


def build_settings(plain: Plain) -> SchedulerSettings:
    """Build the scheduler's settings."""
    guards = plain["guards"]
    return SchedulerSettings(
        classes=[
            RequestClass(
                latency_objective=one["target"],
                priority_weight=one["value"],
                late_value=one["late value"],
                idempotency=REPEATS[one["repeat"]],
                idempotency_scope=SCOPES[one["scope"]],
                idempotency_window=one["memory"],
                ordered=one["ordered"],
            )
            for one in plain["classes"]
        ],
        plans=[
            VolumePlan(
                priority_weight=one["value"],
                base_rate=one["rate"],
                reserved_rate=one["reserve"],
                fair_share_weight=one["weight"],
                rate_limit=one["limit"],
                rate_limit_burst=one["burst"],
                rate_limit_slack=one["slack"],
            )
            for one in plain["plans"]
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
        seed=plain["seed"],
        front_count=plain["hosts"],
        watches_endpoints=plain["watch"],
        max_attempts=plain["attempts"],
        can_cancel=plain["cancel"],
        slow_start_units=plain["cold units"],
        max_request_units=plain["largest"],
        mean_request_units=plain["mean"],
        unreserved_value=plain["value beyond reserve"],
        reports_usage_by_others=plain["nodes report others"],
        idle_since=plain["quiet since"],
        initial_quota_share=plain["limit part"],
        replaces_process=plain["taken over"],
        max_retry_after=plain["retry after"],
        load_by_probes=plain["probes"],
    )


def build_node_list(kind: str, nodes: Sequence[Plain]) -> EndpointUpdate:
    """Build news of the nodes."""
    entries = [
        Endpoint(
            node_id=one["node"],
            shard=one["cell"],
            zone=one["zone"],
            state=NODE_STATES[one["state"]],
            started_at=one["since"],
        )
        for one in nodes
    ]
    return EndpointUpdate(kind=LIST_KINDS[kind], endpoints=entries)


def build_event(kind: str, plain: Plain) -> SchedulerEvent:
    """Build one event of the scheduler."""
    if kind == "nodes":
        return build_node_list(plain["list"], plain["nodes"])
    if kind == "arrival":
        return RequestArrived(
            request_id=plain["request"],
            class_index=plain["class"],
            plan_index=plain["plan"],
            volume_id=plain["volume"],
            item=plain["item"],
            shard=plain["cell"],
            units=plain["units"],
            deadline=plain["deadline"],
            front_count=plain["hosts"],
        )
    if kind == "ended":
        return AttemptFinished(
            request_id=plain["request"],
            attempt=plain["attempt"],
            node_id=plain["node"],
            outcome=OUTCOMES[plain["outcome"]],
            elapsed=plain["spent"],
            settled=plain["settled"],
            units_by_others=plain["elsewhere"],
            utilization=plain["busy"],
        )
    if kind == "busy":
        return UtilizationReported(utilization=plain["part"])
    if kind == "withdrawn":
        return ClientDisconnected(request_id=plain["request"])
    if kind == "timer":
        return TimerFired(token=plain["token"])
    if kind == "limit part":
        return QuotaShareChanged(fraction=plain["part"])
    if kind == "volume part":
        return QuotaLeaseChanged(volume_id=plain["volume"], multiplier=plain["part"])
    if kind == "node part":
        return SlowStartLeaseChanged(node_id=plain["node"], multiplier=plain["part"])
    if kind == "settings":
        return SettingsReloaded(
            settings=build_settings(plain["settings"]), retired_classes=frozenset(plain["retired classes"])
        )
    raise ValueError(f"no such event: {kind}")


def number(value: float) -> float | None:
    """Return the number, or None where it is infinite, as JSON has no such number."""
    return None if math.isinf(value) else value


def describe(now: float, action: SchedulerAction) -> Row:
    """Translate one action of the scheduler."""
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
    raise TypeError("an action that the recording has no word for")


class RecordedScheduler:
    """One scheduler of the project, driven with plain values."""

    def __init__(self, settings: Plain) -> None:
        self.policy = Scheduler(build_settings(settings))

    def step(self, now: float, events: Sequence[tuple[str, Plain]]) -> list[Row]:
        """Pass one batch of events and return the translated actions."""
        actions = self.policy.step(now, [build_event(kind, plain) for kind, plain in events])
        return [describe(now, action) for action in actions]


class Probes:
    """One state machine of the load probes, driven with plain values."""

    def __init__(self, hosts: int, ramp: float, seed: int) -> None:
        self.prober = LoadProber(hosts=hosts, ramp=ramp, seed=seed)

    def nodes(self, kind: str, nodes: Sequence[Plain]) -> None:
        """Pass news of the nodes."""
        self.prober.listed(build_node_list(kind, nodes))

    def report(self, node: int, now: float, part: float | None) -> None:
        """Pass what a probe brought."""
        self.prober.told(node, now, part)

    def next_node(self, now: float) -> int | None:
        """Return the node to probe now, if any."""
        return self.prober.step(now)

    def next_time(self, now: float) -> float | None:
        """Return when there is something to do, or None."""
        return number(self.prober.next_at(now))

    def load(self, now: float) -> float:
        """Return the mean load by the reports."""
        return self.prober.busy(now)


class Means:
    """The fading means by cell, driven with plain values."""

    def __init__(self) -> None:
        self.means = FadingMeans()

    def change(self, what: str, cell: int, value: float) -> None:
        """Apply one change: all fade, or one cell is added to, kept or resumed."""
        if what == "fade":
            self.means.fade(value)
        elif what == "add":
            self.means.add(cell, value)
        elif what == "keep":
            self.means.keep(cell)
        else:
            self.means.resume(cell)

    def values(self, cell: int) -> list[float]:
        """Return the cell's mean, the same with the common mean as default, and the common mean."""
        return [self.means.get(cell), self.means.get_or_mean(cell), self.means.mean()]


class Simulated:
    """The simulator's adapter, driven with lines of its wire."""

    def __init__(self) -> None:
        self.gateway = simhost.SimulatorAdapter()

    def reply(self, line: str) -> Plain | None:
        """Return the reply to one batch, or None where the line is rejected as malformed."""
        try:
            reply: Plain = json.loads(json.dumps(self.gateway.reply(line)))
        except simhost.MalformedBatchError:
            return None
        return reply


def fitted_slope(history: list[tuple[float, float]]) -> float | None:
    """Return the slope of performance over bounds."""
    return fit(history)


def running_mean(mean: float, value: float) -> float:
    """Return the mean that follows short answers faster."""
    return short_mean(mean, value)


def divided_bounds(
    bounds: list[float],
    wanted: list[float],
    performance: list[float],
    slopes: list[float | None],
    values: list[float],
) -> list[float]:
    """Return the bounds of the next interval."""
    return arbitrate(bounds, wanted, performance, slopes, values)
