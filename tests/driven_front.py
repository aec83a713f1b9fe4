"""Test helpers: settings without the optional limits, and a scheduler that is driven event by event."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from cleatyoke.scheduling.actions import SchedulerAction, SendAttempt, SetTimer
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    SchedulerEvent,
    TimerFired,
    UpdateKind,
)
from cleatyoke.scheduling.scheduler import Scheduler
from cleatyoke.scheduling.settings import (
    Idempotency,
    IdempotencyScope,
    RequestClass,
    SafetyLimits,
    SchedulerSettings,
    VolumePlan,
)


def class_spec(**changes: Any) -> RequestClass:
    spec = RequestClass(
        latency_objective=0.5,
        priority_weight=2.0,
        late_value=0.2,
        idempotency=Idempotency.IDEMPOTENT,
        idempotency_scope=IdempotencyScope.ALL,
        idempotency_window=5.0,
        ordered=False,
    )
    return replace(spec, **changes)


def plan_spec(**changes: Any) -> VolumePlan:
    spec = VolumePlan(
        priority_weight=1.0,
        base_rate=8.0,
        reserved_rate=4.0,
        fair_share_weight=1.0,
        rate_limit=0.0,
        rate_limit_burst=0.0,
    )
    return replace(spec, **changes)


def settings(
    classes: list[RequestClass] | None = None,
    plans: list[VolumePlan] | None = None,
    safety: dict[str, Any] | None = None,
    **changes: Any,
) -> SchedulerSettings:
    limits = SafetyLimits(
        slow_start_initial_fraction=0.2,
        slow_start_duration=10.0,
        overload_multiple=2.0,
        overload_after=1.0,
        poll_interval=None,
        ordering_pause=0.1,
        retry_budget_minimum=None,
        retry_budget_ratio=None,
        retry_budget_window=None,
    )
    base = SchedulerSettings(
        classes=classes or [class_spec()],
        plans=plans or [plan_spec()],
        safety=replace(limits, **(safety or {})),
        seed=1,
        front_count=2,
        watches_endpoints=False,
        max_attempts=3,
        can_cancel=True,
        slow_start_units=8.0,
        max_request_units=6.0,
        mean_request_units=2.0,
        unreserved_value=0.3,
    )
    return replace(base, **changes)


def endpoint(
    node_id: int, shard: int | None, state: EndpointState = EndpointState.LIVE, started_at: float = 0.0
) -> Endpoint:
    return Endpoint(
        node_id=node_id,
        shard=shard,
        zone=(-1 if shard is None else shard) % 2,
        state=state,
        started_at=started_at,
    )


class DrivenFront:
    """The scheduler of one front, with its clock and the attempts that it has sent."""

    def __init__(self, config: SchedulerSettings, nodes: list[Endpoint], now: float = 100.0) -> None:
        self.scheduler = Scheduler(config)
        self.now = now
        self.log: list[SchedulerAction] = []
        self.attempts: dict[str, int] = {}  # number of the latest attempt by request
        self.step(EndpointUpdate(UpdateKind.CACHED, nodes))

    def step(self, *events: SchedulerEvent, at: float | None = None) -> list[SchedulerAction]:
        """Pass events to the scheduler; return its actions except for ``SetTimer``."""
        if at is not None:
            self.now = at
        actions = self.scheduler.step(self.now, list(events))
        actions = [action for action in actions if not isinstance(action, SetTimer)]
        for action in actions:
            if isinstance(action, SendAttempt):
                self.attempts[action.request_id] = self.attempts.get(action.request_id, -1) + 1
        self.log += actions
        return actions

    def run_until(self, end: float) -> list[SchedulerAction]:
        """Advance the clock to ``end``, one step for each 20 ms."""
        actions: list[SchedulerAction] = []
        while self.now < end:
            actions += self.step(TimerFired(0), at=min(end, self.now + 0.02))
        return actions

    def request(self, request: str, **changes: Any) -> list[SchedulerAction]:
        return self.step(self.arrival(request, **changes))

    def arrival(self, request: str, **changes: Any) -> RequestArrived:
        base = RequestArrived(
            request_id=request,
            class_index=0,
            plan_index=0,
            volume_id=1,
            item=None,
            shard=1,
            units=1.0,
            deadline=self.now + 2.0,
            front_count=1,
        )
        return replace(base, **changes)

    def finish(
        self, request: str, outcome: AttemptOutcome, node: int = 1, duration: float = 0.05, **changes: Any
    ) -> list[SchedulerAction]:
        base = AttemptFinished(
            request_id=request,
            attempt=self.attempts[request],
            node_id=node,
            outcome=outcome,
            elapsed=duration,
            settled=outcome is AttemptOutcome.SERVED,
        )
        return self.step(replace(base, **changes))

    def sent(self) -> list[str]:
        return [action.request_id for action in self.log if isinstance(action, SendAttempt)]
