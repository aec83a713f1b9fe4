"""Quota leases among fronts: between the scheduler's core, the leases and the membership that carries them.

No decision is made here: what is needed comes from ``RateLimitLeases`` and ``SlowStartLeases``, what is
granted from ``QuotaLeases``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from cleatyoke.config.fronts_file import FleetSettings
from cleatyoke.coordination.lease_events import (
    DemandChanged,
    LeaseEvent,
    LeaseMessageReceived,
    PeersChanged,
    QuotaFractionChanged,
)
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.coordination.rate_limit_leases import RateLimitLeases
from cleatyoke.coordination.slow_start_leases import SlowStartLeases
from cleatyoke.core import Core
from cleatyoke.membership.actions import DeliverLeaseMessage, MembershipAction
from cleatyoke.membership.members import Membership
from cleatyoke.scheduling.events import EndpointUpdate, QuotaShareChanged, SchedulerEvent

LEASE_INTERVAL = 0.05  # seconds between two checks of what is needed


class LeaseTrading:
    """Drives the quota leases. ``perform`` carries out the membership's actions."""

    def __init__(
        self,
        quota_leases: QuotaLeases,
        membership: Membership,
        perform: Callable[[MembershipAction], None],
    ) -> None:
        self.quota_leases = quota_leases
        self.membership = membership
        self.perform = perform
        self.loop = asyncio.get_running_loop()
        self.core: Core | None = None
        self.rate_limit_leases: RateLimitLeases | None = None
        self.slow_start_leases: SlowStartLeases | None = None

    def start(self, settings: FleetSettings, core: Core, node_name: Callable[[int], str | None]) -> None:
        """Lease from now on, as far as the settings say. ``node_name``: id that all fronts know a node by."""
        self.core = core
        if settings.leases_rate_limits:
            self.rate_limit_leases = RateLimitLeases(self.quota_leases, lambda: core.scheduler.settings.plans)
        if settings.leases_slow_start:
            self.slow_start_leases = SlowStartLeases(
                self.quota_leases, lambda: core.scheduler.settings, node_name
            )
        self.quota_leases.quota_fraction = core.scheduler.settings.initial_quota_share
        core.before_step = self.before_step

    def before_step(self, now: float, events: list[SchedulerEvent]) -> list[SchedulerEvent]:
        """Return the events that the scheduler is to take in at ``now``, in place of ``events``.

        Called directly before each of its steps: leases that have expired meanwhile count no longer. Endpoint
        updates come first, as they name nodes that changes of leases refer to.
        """
        at = self.loop.time()
        if self.rate_limit_leases:
            self.rate_limit_leases.observe(at, events)
        if self.slow_start_leases:
            self.slow_start_leases.observe(at, now, events)
        for event in events:
            if isinstance(event, QuotaShareChanged):
                self._step_leases(QuotaFractionChanged(event.fraction))
        updates = [event for event in events if isinstance(event, EndpointUpdate)]
        others = [event for event in events if not isinstance(event, EndpointUpdate)]
        return [*updates, *self._quota_changes(at), *others]

    def receive(self, action: DeliverLeaseMessage) -> None:
        """Take in a peer's message; ignored before ``start``."""
        if self.core:
            self._step_leases(LeaseMessageReceived(action.sender, action.message))

    def update_demand(self) -> None:
        """Tell the leases what is needed and which peers are alive; they request and return what follows."""
        now = self.loop.time()
        demand: dict[str, float] = {}
        for leases in self._kinds():
            demand |= leases.demand(now)
        if demand or self.quota_leases.accounts:
            suspected = self.membership.suspected_members
            alive = [member for member in self.membership.active_members if member not in suspected]
            self._step_leases(PeersChanged(tuple(alive)), DemandChanged(demand))

    def _kinds(self) -> Iterable[RateLimitLeases | SlowStartLeases]:
        return [leases for leases in (self.rate_limit_leases, self.slow_start_leases) if leases]

    def _quota_changes(self, now: float) -> list[SchedulerEvent]:
        return [event for leases in self._kinds() for event in leases.quota_changes(now)]

    def _step_leases(self, *events: LeaseEvent) -> None:
        now = self.loop.time()
        for sent in self.quota_leases.step(now, events):
            for action in self.membership.send_lease_message(sent.receiver, sent.message):
                self.perform(action)
        if self.core:
            for event in self._quota_changes(now):
                self.core.notify(event)
