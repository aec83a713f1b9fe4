"""Quota leases among fronts: connects the scheduler core, the leases and the membership that transports them.

Makes no decisions itself: ``RateLimitLeases`` and ``SlowStartLeases`` determine the demand, ``QuotaLeases``
the grants.
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

LEASE_INTERVAL = 0.05  # seconds between demand updates


class LeaseTrading:
    """Runs the quota leases. ``perform`` executes actions of the membership."""

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
        """Start the leases enabled by the settings. ``node_name`` maps a node number to its fleet-wide id."""
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
        """Return the events that the scheduler processes at ``now``, in place of ``events``.

        Called immediately before each scheduler step, so that leases that have expired since the last one no
        longer count. Endpoint updates come first, because lease changes refer to nodes that they introduce.
        """
        loop_now = self.loop.time()
        if self.rate_limit_leases:
            self.rate_limit_leases.observe(loop_now, events)
        if self.slow_start_leases:
            self.slow_start_leases.observe(loop_now, now, events)
        for event in events:
            if isinstance(event, QuotaShareChanged):
                self._step_leases(QuotaFractionChanged(event.fraction))
        updates = [event for event in events if isinstance(event, EndpointUpdate)]
        others = [event for event in events if not isinstance(event, EndpointUpdate)]
        return [*updates, *self._quota_changes(loop_now), *others]

    def receive(self, action: DeliverLeaseMessage) -> None:
        """Process a peer's message; ignored before ``start``."""
        if self.core:
            self._step_leases(LeaseMessageReceived(action.sender, action.message))

    def update_demand(self) -> None:
        """Pass current demand and live peers to the leases, which request or return quota accordingly."""
        now = self.loop.time()
        demand: dict[str, float] = {}
        for leases in self._enabled_leases():
            demand |= leases.demand(now)
        if demand or self.quota_leases.accounts:
            suspected = self.membership.suspected_members
            live_peers = [member for member in self.membership.active_members if member not in suspected]
            self._step_leases(PeersChanged(tuple(live_peers)), DemandChanged(demand))

    def _enabled_leases(self) -> Iterable[RateLimitLeases | SlowStartLeases]:
        return [leases for leases in (self.rate_limit_leases, self.slow_start_leases) if leases]

    def _quota_changes(self, now: float) -> list[SchedulerEvent]:
        return [event for leases in self._enabled_leases() for event in leases.quota_changes(now)]

    def _step_leases(self, *events: LeaseEvent) -> None:
        now = self.loop.time()
        for outgoing in self.quota_leases.step(now, events):
            for action in self.membership.send_lease_message(outgoing.receiver, outgoing.message):
                self.perform(action)
        if self.core:
            for event in self._quota_changes(now):
                self.core.notify(event)
