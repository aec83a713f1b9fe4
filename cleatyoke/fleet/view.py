"""One front's participation in its fleet: runs membership and its users on sockets and the event loop.

Makes no decisions itself. ``FleetView`` owns the parts and their timers: the membership's state machine, its
sockets (``sockets``) and streams (``streams``), the replication of holds (``hold_sharing``), the quota leases
(``lease_trading``) and the status for operators (``status``). Imported only if the fleet is enabled.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import structlog

from cleatyoke.config.fronts_file import FleetSettings
from cleatyoke.coordination.hold_replication import HoldReplication
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.coordination.settings_digest import settings_digest
from cleatyoke.core import Core
from cleatyoke.fleet import status
from cleatyoke.fleet.hold_sharing import HoldSharing, ReplicationProgress, wait_until_replicated
from cleatyoke.fleet.lease_trading import LEASE_INTERVAL, LeaseTrading
from cleatyoke.fleet.sockets import FleetSockets, format_address
from cleatyoke.fleet.streams import ExchangeStreams
from cleatyoke.membership.actions import (
    ChangeKind,
    DeliverLeaseMessage,
    MembershipAction,
    MembershipChanged,
    ReplyExchange,
    SendDatagram,
    StartExchange,
)
from cleatyoke.membership.conclusions import Conclusion, ObservedMember, conclude
from cleatyoke.membership.events import (
    BootNumberRecovered,
    DatagramReceived,
    ExchangeAnswered,
    LeaveRequested,
    MembershipEvent,
)
from cleatyoke.membership.members import Membership
from cleatyoke.membership.timing import MembershipTiming
from cleatyoke.process.faults import Faults, PeriodicCall
from cleatyoke.process.hold_file import HoldFile
from cleatyoke.scheduling.settings import SchedulerSettings

if TYPE_CHECKING:
    from cleatyoke.durability.records import FrontState
    from cleatyoke.fleet.restore import DurableState

SETTINGS_INTERVAL = 1.0  # seconds between checks that all fronts run with the same settings
MAX_RESTORED_PEERS = 8  # peers from durable state that are contacted in addition to the seeds
log = structlog.get_logger()


class FleetView:
    """One front's view of its fleet and its participation in it. Must be created on the running event loop.

    ``front_count``: as configured. ``boot``: boot number of this process from durable state, or 0 if unknown.
    """

    def __init__(  # noqa: PLR0913 - all parameters are plain settings
        self,
        settings: FleetSettings,
        name: str,
        front_count: int,
        seed: int,
        faults: Faults,
        boot: int = 0,
    ) -> None:
        self.settings = settings
        self.front_count = front_count
        self.faults = faults
        self.loop = asyncio.get_running_loop()
        boot = settings.boot or boot or int(time.time() * 1000)
        self.membership = _make_membership(settings, name, boot, seed)
        self.hold_replication = HoldReplication(lambda: self.membership.id)
        self.membership.store = self.hold_replication
        # "rights" is part of the random seed: changing it would change the random sequence.
        self.quota_leases = QuotaLeases(self.loop.time(), random.Random(f"rights:{seed}:{name}:{boot}"))
        self.lease_trading = LeaseTrading(self.quota_leases, self.membership, self.perform)
        self.dropped: Counter[str] = Counter()  # rejected and unsent messages, by reason
        self.streams = ExchangeStreams(settings.listen.host, self.step, self._handle_answer, self.dropped)
        self.sockets = FleetSockets(
            settings.listen,
            faults,
            self.dropped,
            on_datagram=self.handle_datagram,
            on_stream=self.streams.accept,
            on_claimed=self._use_configured_address,
        )
        self.step_timer: asyncio.TimerHandle | None = None
        self.settings_timer = PeriodicCall(faults, "fleet_settings", SETTINGS_INTERVAL, self.check_settings)
        self.lease_timer = PeriodicCall(
            faults, "fleet_limits", LEASE_INTERVAL, self.lease_trading.update_demand
        )
        self.differing_fronts: list[str] = []  # fronts with other settings, as last logged
        self.durable_state: DurableState | None = None  # set if enabled, even before it is read
        self._stored_boot_number = 0  # kept until the sockets are open
        self.peer_state_received = asyncio.Event()

    # Start and stop

    async def start(self) -> None:
        """Bind the configured port, or a temporary one while a previous process of this front holds it.

        Raises ``OSError`` if neither can be bound.
        """
        if not await self.sockets.open():
            self.membership.address = self.sockets.bound_address()
            self.membership.owns_address = False
            log.info("fleet_address_in_use", address=self.membership.address)
            self.sockets.start_claiming()
        self.settings_timer.start()
        self.step()
        self.raise_boot_number(self._stored_boot_number)

    def stop(self, seconds_left: float = math.inf) -> None:
        """Announce to the peers that this process leaves, and stop all parts; final.

        ``seconds_left``: until the process has to exit; limits the wait for the last write to disk.
        """
        with self.faults.contain("fleet_leave"):
            self.step(LeaveRequested())
        if self.durable_state:
            self.durable_state.stop(seconds_left)
        if self.step_timer:
            self.step_timer.cancel()
        for timer in (self.lease_timer, self.settings_timer):
            timer.stop()
        self.streams.cancel()
        self.sockets.stop_claiming()
        self.close_sockets()

    def close_sockets(self) -> None:
        """Close both sockets, if they are open."""
        self.sockets.close()

    async def wait_for_peer(self) -> None:
        """Wait until the full state of a peer is received, if any other seed is configured."""
        if self.membership.other_seeds():
            await self.peer_state_received.wait()

    def describe_peer(self) -> str | None:
        """Return a log text for why the wait for a peer is over, or None while it is not."""
        if self.peer_state_received.is_set():
            return "a peer"
        return None if self.membership.other_seeds() else "nobody to ask"

    # Incoming messages

    def handle_datagram(self, data: bytes) -> None:
        """Process a datagram."""
        self.step(DatagramReceived(data))

    def _use_configured_address(self) -> None:
        self.membership.change_address(format_address(self.settings.advertise), owns_address=True)
        log.info("fleet_address_claimed", address=self.membership.address)
        self.step()

    def _handle_answer(self, event: ExchangeAnswered) -> None:
        self.step(event)
        if event.data is not None and self.membership.has_joined:
            self.peer_state_received.set()

    # Membership steps

    def step(self, *events: MembershipEvent) -> None:
        """Run a membership step with these events, perform its actions and schedule the next step."""
        try:
            for action in self.membership.step(self.loop.time(), events):
                self.perform(action)
        except Exception as error:  # noqa: BLE001 - otherwise a fault would end the step timer for good
            self.faults.report("fleet_fault", error)
        if self.step_timer:
            self.step_timer.cancel()
        if not self.membership.has_left:
            self.step_timer = self.loop.call_at(self.membership.next_step_at(), self.step)

    def perform(self, action: MembershipAction) -> None:
        """Execute one action of the membership."""
        match action:
            case SendDatagram(address, data):
                self.sockets.send(address, data)
            case StartExchange(address, data):
                self.streams.start_exchange(address, data)
            case ReplyExchange(token, data):
                self.streams.reply(token, data)
            case DeliverLeaseMessage():
                self.lease_trading.receive(action)
            case MembershipChanged(change, member, suspected_by):
                if change is ChangeKind.BOOT_NUMBER_RAISED and self.durable_state:
                    self.durable_state.save()
                log.info(
                    "fleet_change",
                    change=change.value,
                    member=member.name,
                    boot=member.boot,
                    suspected_by=suspected_by,
                )

    # Holds and durable state

    def replicate_holds(self, hold_file: HoldFile, folder: Path) -> None:
        """Start to synchronize operators' holds with the other fronts. ``folder``: the state directory."""
        HoldSharing(
            self.hold_replication,
            hold_file,
            folder,
            self.faults,
            on_local_change=self._push_holds,
            save_state=self.save_state,
        ).start()

    def _push_holds(self) -> None:
        self.membership.push_local_change()
        self.step()

    def save_state(self) -> None:
        """Schedule a write of changed state, if durable state is enabled."""
        if self.durable_state:
            self.durable_state.save()

    def restore_state(self, state: FrontState) -> None:
        """Apply the stored holds and peers, possibly after startup.

        Peers known before the restart are contacted too, because the seeds may be down.
        """
        self.hold_replication.holds = self.hold_replication.holds.merge(state.holds)
        seeds = self.membership.seeds
        seeds += [peer for peer in state.peers if peer not in seeds][:MAX_RESTORED_PEERS]
        self.hold_replication.on_change(self.hold_replication.holds.held_nodes(), frozenset())

    def raise_boot_number(self, boot_number: int) -> None:
        """Raise the boot number above the stored one, possibly after startup."""
        self._stored_boot_number = boot_number
        if boot_number > self.membership.id.boot and self.sockets.is_open():
            self.step(BootNumberRecovered(boot_number))

    def state_to_save(self, previous: FrontState) -> FrontState:
        """Return the state that must survive a power loss. ``previous``: the one saved last."""
        records = self.membership.records
        peers = sorted(records[member].update.address for member in self.membership.active_members)
        return dataclasses.replace(
            previous,
            holds=self.hold_replication.holds,
            boot_number=self.membership.id.boot,
            peers=tuple(peers) or previous.peers,
        )

    def holds_are_on_disk(self) -> bool:
        """Whether all known holds are on disk or durable state is disabled. Callable from any thread."""
        return self.durable_state is None or self.durable_state.has_written(self.hold_replication.holds)

    def wait_until_replicated(self, node_name: str, is_held: bool, timeout: float) -> ReplicationProgress:
        """Wait until all fronts and the disk have a hold, or its release, that was made at this front.

        Called on the operators' thread, which it blocks for at most ``timeout`` seconds.
        """
        return wait_until_replicated(self, node_name, is_held=is_held, timeout=timeout)

    # Settings

    def announce_settings(self, settings: SchedulerSettings) -> None:
        """Announce a checksum of the active settings to the peers, so that differences are detected."""
        self.membership.announce_settings(settings_digest(settings))

    def check_settings(self) -> None:
        """Log changes in which fronts run with different settings; no settings are changed."""
        differing = self.membership.fronts_with_other_settings()
        if differing == self.differing_fronts:
            return
        self.differing_fronts = differing
        if differing:
            log.warning("fleet_settings_differ", fronts=differing)
        else:
            log.info("fleet_settings_match")

    # Quota leases

    def start_leasing(self, core: Core, node_name: Callable[[int], str | None]) -> None:
        """Start to lease shares of rate limits and of warming nodes to and from other fronts.

        ``node_name`` maps a node number to its fleet-wide id.
        """
        self.lease_trading.start(self.settings, core, node_name)
        self.lease_timer.start()

    # Status for operators, called on the operators' thread

    def conclusion(self) -> Conclusion:
        """Return the conclusions that the current view allows."""
        membership = self.membership
        members = [
            ObservedMember(record.update, record.last_heard) for record in list(membership.records.values())
        ]
        return conclude(membership.own_update(), members, self.front_count, membership.now)

    def status_lines(self) -> list[str]:
        """Return the answer to ``show-fleet``."""
        return status.fleet_lines(self)

    def replica_lines(self) -> list[str]:
        """Return the answer to ``show-replica``."""
        return status.replica_lines(self)

    def metric_lines(self) -> list[str]:
        """Return the fleet's metrics."""
        return status.metric_lines(self)


def _make_membership(settings: FleetSettings, name: str, boot: int, seed: int) -> Membership:
    return Membership(
        settings.deployment,
        name,
        boot,
        format_address(settings.advertise),
        [format_address(address) for address in settings.seeds],
        random.Random(f"{seed}:{name}:{boot}"),
        _membership_timing(settings),
        owns_address=True,
    )


def _membership_timing(settings: FleetSettings) -> MembershipTiming:
    """Return the intervals configured in ``[fleet]``."""
    seconds = settings.timing
    return MembershipTiming(
        probe_interval=seconds["period"],
        ack_timeout=seconds["answer"],
        gossip_interval=seconds["gossip"],
        exchange_interval=seconds["sync"],
        dead_member_probe_interval=seconds["departed"],
        join_interval=seconds["join"],
    )
