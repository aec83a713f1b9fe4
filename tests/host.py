"""Helpers: settings with every rule off, and a policy driven event by event."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from cleatyoke.scheduling import api
from cleatyoke.scheduling.scheduler import Policy


def class_spec(**changes: Any) -> api.ClassSpec:
    spec = api.ClassSpec(
        aim=0.5,
        worth=2.0,
        late_share=0.2,
        repeat=api.Repeat.FREE,
        scope=api.Scope.ALL,
        memory=5.0,
        ordered=False,
    )
    return replace(spec, **changes)


def plan_spec(**changes: Any) -> api.PlanSpec:
    spec = api.PlanSpec(worth=1.0, rate=8.0, reserve=4.0, weight=1.0, limit=0.0, limit_burst=0.0)
    return replace(spec, **changes)


def settings(
    classes: list[api.ClassSpec] | None = None,
    plans: list[api.PlanSpec] | None = None,
    safety: dict[str, Any] | None = None,
    **changes: Any,
) -> api.Settings:
    figures = api.Safety(
        cold_from=0.2,
        ramp=10.0,
        tip_multiple=2.0,
        tip_after=1.0,
        ask_every=None,
        key_rest=0.1,
        extra_free=None,
        extra_ratio=None,
        extra_window=None,
    )
    base = api.Settings(
        classes=classes or [class_spec()],
        plans=plans or [plan_spec()],
        safety=replace(figures, **(safety or {})),
        seed=1,
        hosts=2,
        must_watch=False,
        max_attempts=3,
        cancel=True,
        cold_units=8.0,
        largest=6.0,
        mean=2.0,
        within_share=0.3,
    )
    return replace(base, **changes)


def entry(
    node: int, cell: int, state: api.NodeState = api.NodeState.LIVE, up_since: float = 0.0
) -> api.NodeEntry:
    return api.NodeEntry(node=node, cell=cell, zone=cell % 2, state=state, up_since=up_since)


class Host:
    """One policy, its clock, and what it has out."""

    def __init__(self, config: api.Settings, nodes: list[api.NodeEntry], now: float = 100.0) -> None:
        self.policy = Policy(config)
        self.now = now
        self.log: list[api.Action] = []
        self.shots: dict[str, int] = {}
        self.step(api.NodeList(api.ListKind.OLD_COPY, nodes))

    def step(self, *events: api.Event, at: float | None = None) -> list[api.Action]:
        """Feed a batch; returns its actions without the policy's own wake-ups."""
        if at is not None:
            self.now = at
        actions = self.policy.step(self.now, list(events))
        actions = [action for action in actions if not isinstance(action, api.Wake)]
        for action in actions:
            if isinstance(action, api.Send):
                self.shots[action.request] = self.shots.get(action.request, -1) + 1
        self.log += actions
        return actions

    def run_until(self, end: float) -> list[api.Action]:
        """Let time pass, a tick a step."""
        actions: list[api.Action] = []
        while self.now < end:
            actions += self.step(api.Woken(0), at=min(end, self.now + 0.02))
        return actions

    def ask(self, request: str, **changes: Any) -> list[api.Action]:
        return self.step(self.arrival(request, **changes))

    def arrival(self, request: str, **changes: Any) -> api.Arrival:
        base = api.Arrival(
            request=request,
            class_index=0,
            plan=0,
            volume=1,
            item=None,
            cell=1,
            units=1.0,
            deadline=self.now + 2.0,
            hosts=1,
        )
        return replace(base, **changes)

    def end(
        self, request: str, outcome: api.Outcome, node: int = 1, spent: float = 0.05, **changes: Any
    ) -> list[api.Action]:
        base = api.Ended(
            request=request,
            attempt=self.shots[request],
            node=node,
            outcome=outcome,
            spent=spent,
            settled=outcome is api.Outcome.SERVED,
        )
        return self.step(replace(base, **changes))

    def sent(self) -> list[str]:
        return [action.request for action in self.log if isinstance(action, api.Send)]
