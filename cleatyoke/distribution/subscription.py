"""Subscription of a front: applies delivered settings, and reports nodes that drain or are gone."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import structlog

from cleatyoke.config.fronts_file import DistributionSettings
from cleatyoke.discovery.directory import EndpointList
from cleatyoke.discovery.errors import InvalidListError
from cleatyoke.discovery.listings import read_instance
from cleatyoke.distribution.contents import DistributedSettings, listed_nodes, settings_entries
from cleatyoke.distribution.network import RelayPoller
from cleatyoke.distribution.records import Entry, Lane
from cleatyoke.distribution.status import SubscriptionStatus
from cleatyoke.distribution.subscriber import Subscriber
from cleatyoke.distribution.subscriber_messages import (
    DeliverChanges,
    LaneRestarted,
    SubscriberAction,
    SubscriberTiming,
)
from cleatyoke.process.faults import Faults, run_forever
from cleatyoke.scheduling.events import EndpointState

AGE_CHECK_INTERVAL = 1.0  # seconds
log = structlog.get_logger()


class Subscription:
    """A front's part of the distribution. A front serves requests without waiting for it.

    ``apply_settings`` puts settings in force, as SIGHUP does, and returns why they are not valid, or "".
    ``notify_nodes`` is called with nodes that drain or are gone, as changes to the endpoint list.
    """

    def __init__(  # noqa: PLR0913 (settings, identity and collaborators)
        self,
        distribution_settings: DistributionSettings,
        name: str,
        seed: int,
        faults: Faults,
        apply_settings: Callable[[DistributedSettings], str],
        notify_nodes: Callable[[EndpointList], None],
    ) -> None:
        tiers = [
            [str(one) for one in tier]
            for tier in (distribution_settings.relays, distribution_settings.other_relays)
            if tier
        ]
        timing = SubscriberTiming(
            poll_interval=distribution_settings.poll_interval,
            bytes_per_second=distribution_settings.max_bytes_per_second,
        )
        rng = random.Random(f"distribution:{seed}:{name}")
        self.subscriber = Subscriber(distribution_settings.deployment, name, tiers, rng, timing)
        self.status = SubscriptionStatus(self.subscriber)
        self.uses_nodes = distribution_settings.watches_nodes
        self.apply_settings = apply_settings
        self.notify_nodes = notify_nodes
        self.settings = DistributedSettings()
        self.poller = RelayPoller(self.subscriber, self.handle_action, faults)
        self.faults = faults
        self._age_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start polling."""
        self.poller.step()
        self._age_task = asyncio.create_task(
            run_forever(self.faults, "config_age", self._log_staleness, lambda: AGE_CHECK_INTERVAL)
        )

    def stop(self) -> None:
        """Stop polling; settings stay in force."""
        self.poller.stop()
        if self._age_task:
            self._age_task.cancel()

    def lines(self) -> list[str]:
        """Return the lines of ``show-config``; safe to call from the control listener's thread."""
        return self.status.lines(self.poller.loop.time())

    def gauges(self) -> dict[str, float]:
        """Return the values of metrics by name."""
        return self.status.gauges(self.poller.loop.time())

    def handle_action(self, action: SubscriberAction) -> None:
        """Apply the subscriber's action."""
        match action:
            case DeliverChanges(Lane.SETTINGS, entries):
                self._apply_entries(entries)
            case DeliverChanges(Lane.NODES, entries) if self.uses_nodes:
                self._report_nodes(entries)
            case LaneRestarted(lane, epoch):
                log.info("config_restarted", lane=lane.name.lower(), epoch=epoch)

    async def _log_staleness(self) -> None:
        while True:
            await asyncio.sleep(AGE_CHECK_INTERVAL)
            is_stale = self.status.check_staleness(self.poller.loop.time())
            if is_stale is None:
                continue
            level = log.warning if is_stale else log.info
            in_force = self.status.in_force
            level(
                "config_old" if is_stale else "config_fresh",
                epoch=in_force.epoch,
                number=in_force.number,
                source=self.subscriber.source_name,
            )

    def _apply_entries(self, entries: list[Entry]) -> None:
        """Put all settings that arrived together in force, or one by one if together they are not valid.

        An invalid change is thereby rejected by its key, and does not delay others.
        """
        changes = settings_entries(entries)
        if not changes or not self._try_entries(changes):
            return
        for entry in changes:
            if reason := self._try_entries([entry]):
                version = entry.version
                self.status.settings_rejected(entry.key, version, reason)
                log.error(
                    "config_refused",
                    key=entry.key,
                    epoch=version.epoch,
                    number=version.number,
                    reason=reason,
                )

    def _try_entries(self, entries: list[Entry]) -> str:
        """Put the settings with these entries in force; return why they are not valid, or ""."""
        changed = self.settings.with_entries(entries)
        if reason := self.apply_settings(changed):
            return reason
        self.settings = changed
        version = changed.version
        self.status.settings_applied(version, [entry.key for entry in entries])
        source = self.subscriber.source_name
        log.info("config_in_force", epoch=version.epoch, number=version.number, source=source)
        return ""

    def _report_nodes(self, entries: list[Entry]) -> None:
        """Report nodes that drain or are gone.

        Other nodes are ignored: only discovery may add nodes that requests are sent to.
        """
        values, invalid = listed_nodes(entries)
        parsed = []
        for value in values:
            try:
                parsed.append(read_instance(value))
            except InvalidListError as error:
                invalid.append(str(error))
        if invalid:
            log.warning("config_nodes_refused", reason=invalid[0], count=len(invalid))
        if not_live := [instance for instance in parsed if instance.state is not EndpointState.LIVE]:
            # 0: relays don't have discovery's version, which only a watch uses in its requests.
            self.notify_nodes(EndpointList(0, is_complete=False, instances=not_live))
