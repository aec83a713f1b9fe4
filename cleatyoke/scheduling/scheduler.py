"""The scheduler of one front: decides which request goes to which node and when, and which is rejected.

It does no I/O and has no clock of its own: ``Scheduler.step`` takes the time and the events, and returns the
actions. Events, actions and settings are defined in the modules of these names. ``rules`` lists the rules,
and the module of each rule says what it prevents. ``docs/design.md`` names the sources of the design.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any

from cleatyoke.scheduling.actions import SchedulerAction, SetTimer, WatchEndpoints
from cleatyoke.scheduling.endpoint_updates import EndpointUpdates
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    ClientDisconnected,
    EndpointUpdate,
    QuotaLeaseChanged,
    QuotaShareChanged,
    RequestArrived,
    SchedulerEvent,
    SettingsReloaded,
    SlowStartLeaseChanged,
    TimerFired,
    UtilizationReported,
)
from cleatyoke.scheduling.fault_containment import FaultContainment, SchedulerFault
from cleatyoke.scheduling.node_table import NodeTable
from cleatyoke.scheduling.placement import Placement
from cleatyoke.scheduling.records import Node, Request, Volume
from cleatyoke.scheduling.regression import RISING_GAIN, clamp
from cleatyoke.scheduling.request_lifecycle import RequestLifecycle
from cleatyoke.scheduling.retries import NEVER_EXECUTED
from cleatyoke.scheduling.rules import Rules
from cleatyoke.scheduling.settings import SchedulerSettings
from cleatyoke.scheduling.shedding import LoadShedding
from cleatyoke.scheduling.state import SchedulerState
from cleatyoke.scheduling.timers import IMMEDIATELY, Poll, TimerSubject
from cleatyoke.scheduling.verdict import Rule, Verdict

TIMER_TOKEN = 0  # token of the scheduler's only timer


class Scheduler:
    """The state machine of one front; owns its state and rules."""

    def __init__(self, settings: SchedulerSettings) -> None:
        self.state = SchedulerState(settings)
        self.rules = Rules(self.state)
        self.lifecycle = RequestLifecycle(self.rules)
        self.shedding = LoadShedding(self.rules, self.lifecycle)
        self._containment = FaultContainment(self.state, self.lifecycle)
        self.placement = Placement(self.rules, self._containment)
        self._endpoints = EndpointUpdates(self.rules)
        self._timer_at = math.inf  # when the current timer fires
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            RequestArrived: self.lifecycle.open,
            AttemptFinished: self._on_attempt_finished,
            ClientDisconnected: self._on_disconnected,
            TimerFired: self._on_timer,
            EndpointUpdate: self._endpoints.apply,
            UtilizationReported: self._on_utilization,
            QuotaShareChanged: self._on_quota_share,
            QuotaLeaseChanged: self.rules.rate_limits.on_lease_changed,
            SlowStartLeaseChanged: self.rules.slow_start.on_lease_changed,
            SettingsReloaded: self._on_settings_reloaded,
        }
        if settings.watches_endpoints:
            self.state.timers.add(IMMEDIATELY, Poll.ENDPOINTS)

    @property
    def settings(self) -> SchedulerSettings:
        """The settings in force."""
        return self.state.settings

    @property
    def table(self) -> NodeTable:
        """The nodes, the holder of each shard, and rates by shard."""
        return self.state.table

    @property
    def nodes(self) -> Mapping[int, Node]:
        """Nodes by id."""
        return self.state.table.nodes

    @property
    def requests(self) -> Mapping[str, Request]:
        """Requests by id that have no final answer yet, or have attempts in flight."""
        return self.state.requests

    @property
    def volumes(self) -> Mapping[int, Volume]:
        """Recently used volumes by id."""
        return self.state.volumes

    def step(self, now: float, events: list[SchedulerEvent]) -> list[SchedulerAction]:
        """Process the events up to ``now`` (seconds), and return the actions to perform.

        An unforeseen exception ends the handling of one event, timer or request only; see ``take_faults``.
        """
        state = self.state
        state.now = now
        state.actions = []
        if not state.has_started:
            state.start()
            self.rules.concurrency.start()
        if self.rules.concurrency.is_due():
            self._containment.run("control round", self.rules.concurrency.run_round)
            self._containment.run("forget idle", self.forget_idle)
        for event in events:
            self._handle(event)
        while state.timers.next_at() <= now:
            self._containment.run("timer", self._fire_next_timer)
        self._containment.run("dispatch", self.placement.dispatch)
        self._review()
        self._set_timer()
        return state.actions

    def take_faults(self) -> list[SchedulerFault]:
        """Return the exceptions contained since the last call, which the caller has to report."""
        return self._containment.take()

    def _handle(self, event: SchedulerEvent) -> None:
        try:
            self._handlers[type(event)](event)
        except Exception as error:  # noqa: BLE001 - the other events are still handled
            self._containment.on_event_failed(event, error)

    def explain(self, request_id: str) -> Verdict | None:
        """Return the rule that keeps a request queued, and until when at least; ``None`` if it is not queued.

        The reason for a rejection or failure is part of the action, see ``Reject.rule``.
        """
        request = self.state.requests.get(request_id)
        if request is None or request.is_closed or request.in_flight:
            return None
        return self.placement.explain(request)

    def _on_disconnected(self, event: ClientDisconnected) -> None:
        if request := self.state.requests.get(event.request_id):
            self.lifecycle.close(request, None)

    def _on_timer(self, _: TimerFired) -> None:
        self._timer_at = math.inf

    def _on_utilization(self, event: UtilizationReported) -> None:
        self.state.utilization = event.utilization

    def _on_quota_share(self, event: QuotaShareChanged) -> None:
        has_grown = event.fraction > self.state.quota_clock.fraction
        self.state.quota_clock.change(event.fraction, self.state.now)
        if has_grown:
            self.state.offer_all()  # while the share was 0, no timer was set for the queued requests

    def _on_attempt_finished(self, event: AttemptFinished) -> None:
        state, rules = self.state, self.rules
        request = state.requests.get(event.request_id)
        if request is None or event.attempt not in request.in_flight:
            return
        node, sent_at = request.in_flight.pop(event.attempt)
        node.in_flight_by_class[request.class_index] -= 1
        rules.outliers.on_attempt_finished(node, event, request, sent_at)
        if event.utilization is not None:
            reported = clamp(event.utilization, 0.0, 1.0)
            state.utilization += RISING_GAIN * (reported - state.utilization)
        is_served = event.outcome is AttemptOutcome.SERVED
        if is_served:
            rules.reserves.on_usage_by_others(request, node, event.units_by_others)
        state.offer(node.shard)
        if not is_served:
            rules.reserves.on_not_served(request)
            if event.outcome not in NEVER_EXECUTED:
                rules.idempotency.note_may_have_executed(request, node, sent_at)
                rules.ordering.pause_key(request)
        if event.settled:
            self.lifecycle.close(request, None, served=is_served)
        elif not request.is_closed and not request.in_flight:
            self._queue_retry(request, node, event.outcome)
        self.lifecycle.forget_if_done(request)

    def _queue_retry(self, request: Request, node: Node, outcome: AttemptOutcome) -> None:
        """Queue a request whose attempt was not served, or close it if it must not be retried."""
        state = self.state
        state.enqueue(request)
        if rule := self._rule_against_retry(request, node, outcome):
            self.shedding.close_unserved(request, rule)
        state.to_review.append(request)

    def _rule_against_retry(self, request: Request, node: Node, outcome: AttemptOutcome) -> Rule | None:
        if self.rules.idempotency.must_not_repeat(request):
            return Rule.IDEMPOTENCY
        if outcome is AttemptOutcome.CANCELLED and not self.rules.estimates.meets_objective(request, node):
            return Rule.LATENCY_OBJECTIVE
        if request.attempts >= self.settings.max_attempts:
            return Rule.MAX_ATTEMPTS
        return None

    def _on_settings_reloaded(self, event: SettingsReloaded) -> None:
        added = len(event.settings.classes) - len(self.rules.concurrency.slot_shares)
        self.state.apply_settings(event.settings)
        self.rules.concurrency.change_classes(event)
        self.rules.estimates.add_classes(added)
        self.state.table.add_classes(added)

    def _fire_next_timer(self) -> None:
        """Fire the earliest timer, which is due."""
        self._on_timer_due(self.state.timers.take())

    def _on_timer_due(self, subject: TimerSubject) -> None:
        """Poll the endpoint list, cancel overdue attempts or offer queued requests, by the subject."""
        if subject is Poll.ENDPOINTS:
            self.state.actions.append(WatchEndpoints())
        elif isinstance(subject, Node):
            self.state.offer(subject.shard)
        elif subject.in_flight:
            self.rules.attempt_timeouts.cancel_overdue(subject)
        else:
            self.state.offer(subject.shard)
            self.state.to_review.append(subject)

    def _review(self) -> None:
        """Reject those of this step's requests for which waiting has become useless."""
        state = self.state
        to_review = [
            request for request in state.to_review if not request.is_closed and not request.in_flight
        ]
        for request in to_review:
            try:
                self.shedding.reject_if_waiting_is_useless(request)
            except Exception as error:  # noqa: BLE001 - the other requests are still reviewed
                self._containment.on_request_failed(request, error)
        state.to_review = []

    def _set_timer(self) -> None:
        """Set the timer if something is due before the current one fires; an idle front sets none."""
        due = self.state.timers.next_at()
        if due < self._timer_at:
            self._timer_at = due
            self.state.actions.append(SetTimer(due - self.state.now, TIMER_TOKEN))

    def forget_idle(self) -> None:
        """Drop records that no longer matter, to bound the memory of a long-running process."""
        longest = max(spec.latency_objective for spec in self.settings.classes)
        oldest = self.state.now - longest - 1
        self.state.forget_idle(oldest)
        self.lifecycle.recent_failures.forget(oldest)
        self.rules.ordering.forget_idle()
