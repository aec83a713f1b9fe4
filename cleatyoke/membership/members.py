"""SWIM-style fleet membership, as the state machine of one member.

The interface is ``step(now, events) -> actions``; time, randomness and messages are passed in. ``Membership``
is the last class of an inheritance chain of layers, each with one responsibility and using only the layers
before it:

- ``member_table`` (``MemberTable``): the records of all members, by state;
- ``dissemination`` (``Dissemination``): piggybacked updates and gossip;
- ``suspicion`` (``Suspicion``): suspicion timeouts, and notifying suspected members;
- ``merging`` (``UpdateMerging``): merging updates by precedence (``merge_rules``), and refutation;
- ``probing`` (``Probing``): failure detection by direct and indirect pings;
- ``anti_entropy`` (``AntiEntropy``): exchanges of full states and of replicated data;
- ``joining`` (``Joining``): joining through seeds, leaving, announcing changes.

This module has the step, its timers and the message dispatch. Sources: SWIM (Das, Gupta, Motivala 2002),
Lifeguard (Dadgar, Phillips, Currey 2017); see also ``fleet-view.md``.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence

from cleatyoke.membership.actions import (
    ChangeKind,
    DeliverLeaseMessage,
    MembershipAction,
    MembershipChanged,
)
from cleatyoke.membership.events import (
    BootNumberRecovered,
    DatagramReceived,
    ExchangeAnswered,
    ExchangeRequested,
    LeaveRequested,
    MembershipEvent,
)
from cleatyoke.membership.joining import Joining
from cleatyoke.membership.member_records import OwnIdentity
from cleatyoke.membership.merging import MAX_HEALTH_SCORE
from cleatyoke.membership.timing import DueTimes, MembershipTiming
from cleatyoke.membership.wire import (
    Ack,
    Body,
    Datagram,
    Gossip,
    LeaseGrant,
    LeaseRequest,
    Nack,
    Ping,
    PingRequest,
    Update,
    decode_datagram,
)
from cleatyoke.transport.encoding import WireError

REJOIN_PROBES = 3  # probes of dead members sent at once when one has returned


class Membership(Joining):
    """One member's view of the fleet."""

    def __init__(  # noqa: PLR0913 - plain settings, passed by these names in many places
        self,
        deployment: str,
        name: str,
        boot: int,
        address: str,
        seeds: Sequence[str],
        rng: random.Random,
        timing: MembershipTiming | None = None,
        owns_address: bool = False,
    ) -> None:
        identity = OwnIdentity(deployment, name, boot, address, owns_address)
        super().__init__(identity, seeds, rng, timing or MembershipTiming())
        self.expected_step_at = -math.inf  # on the corrected clock, like self.now
        self.clock_correction = 0.0  # seconds by which the caller's clock has jumped backwards

    # The step

    def step(self, now: float, events: Iterable[MembershipEvent] = ()) -> list[MembershipAction]:
        """Handle events, run the timers that are due, and return the resulting actions.

        ``now`` comes from a monotonic clock. If it jumps backwards nevertheless, the jump is corrected for,
        so that time here never decreases.
        """
        self.actions = []
        self.changed_ids = []
        self.clock_correction = max(self.clock_correction, self.now - now)
        now += self.clock_correction
        if not self.has_started:
            self.start_timers(now)
        elif now > self.expected_step_at + self.timing.pause_threshold:
            self.resume_after_pause(now, now - self.expected_step_at)
        self.now = now
        for event in events:
            self.handle_event(event)
        if not self.has_left:
            self.run_timers()
        self.expected_step_at = self.next_step_at() + self.clock_correction
        return self.actions

    def next_step_at(self) -> float:
        """Return when the next step is due if no event arrives, by the caller's clock."""
        if self.has_left:
            return math.inf
        due_at = self.due_at
        earliest = min(due_at.probe, due_at.exchange, due_at.dead_member_probe, due_at.join)
        if self.transmit_counts or self.is_leaving:
            earliest = min(earliest, due_at.gossip)
        if self.now < self.push_deadline:
            earliest = min(earliest, due_at.push)
        for probe in self.pending_probes.values():
            earliest = min(earliest, probe.deadline if probe.helpers_asked else probe.indirect_at)
        for relayed in self.relayed_pings.values():
            earliest = min(earliest, relayed.nack_at)
        first_recheck_at = next(iter(self.recheck_at.values()), math.inf)
        earliest = min(earliest, max(first_recheck_at, due_at.recheck))
        deadlines = map(self.suspicion_deadline, self.suspected_members.values())
        return max(self.now, min(earliest, min(deadlines, default=math.inf))) - self.clock_correction

    def start_timers(self, now: float) -> None:
        """Start the timers at random phases, so that members started together don't act in lockstep."""
        timing = self.timing
        draw = self.rng.random
        self.now = now
        self.has_started = True
        self.has_joined = not self.other_seeds()
        self.due_at = DueTimes(
            probe=now + draw() * timing.probe_interval,
            gossip=now + draw() * timing.gossip_interval,
            exchange=now + draw() * timing.exchange_interval,
            dead_member_probe=now + draw() * timing.dead_member_probe_interval,
            join=math.inf if self.has_joined else now,
            push=now,
            extra_exchange=now,
            recheck=now,
        )

    def resume_after_pause(self, now: float, gap: float) -> None:
        """Resume after this process was suspended for ``gap`` seconds (SIGSTOP, a frozen machine).

        Messages missed meanwhile say nothing about other members, and those may believe this one dead. It
        therefore suspects nobody for the gap, sets its own health score to the worst, and announces at once
        under a new incarnation that it is alive.
        """
        self.pending_probes.clear()
        self.relayed_pings.clear()
        for record in self.suspected_members.values():
            record.state_since += gap
        self.due_at.postpone(now)
        self.health_score = MAX_HEALTH_SCORE
        self.now = now
        self.incarnation += 1
        self.announce_self()
        self.actions.append(MembershipChanged(ChangeKind.PAUSED, self.id))
        self.due_at.gossip = self.due_at.exchange = now

    def run_timers(self) -> None:
        """Run everything that is due at ``now``, in this order."""
        self.check_probes()
        self.check_relayed_pings()
        self.declare_expired_suspects_dead()
        self.drop_expired_left_members()
        now = self.now
        if now >= self.due_at.join:
            self.join()
        if now >= self.due_at.probe:
            self.due_at.probe = now + self.timing.probe_interval * (1 + self.health_score)
            self.probe_next_member()
        if now >= self.due_at.recheck:
            self.recheck_suspect()
        if self.due_at.push <= now < self.push_deadline:
            self.push_replicas()
        if now >= self.due_at.dead_member_probe:
            self.due_at.dead_member_probe = now + self.timing.dead_member_probe_interval
            self.probe_dead_member()
        if now >= self.due_at.exchange:
            self.exchange_at_interval()
        if now >= self.due_at.gossip and (self.transmit_counts or self.is_leaving):
            self.due_at.gossip = now + self.timing.gossip_interval
            self.send_gossip()

    # Messages

    def handle_event(self, event: MembershipEvent) -> None:
        """Handle one event; a rejected message is counted by its reason and changes nothing."""
        try:
            self._dispatch(event)
        except WireError as error:
            reason = str(error)
            self.counters.rejected[reason] = self.counters.rejected.get(reason, 0) + 1

    def _dispatch(self, event: MembershipEvent) -> None:
        match event:
            case DatagramReceived(data):
                self.counters.datagrams_in += 1
                self.counters.bytes_in += len(data)
                self.handle_datagram(decode_datagram(self.deployment, data))
            case ExchangeRequested():
                self.handle_exchange_requested(event)
            case ExchangeAnswered():
                self.handle_exchange_answered(event)
            case LeaveRequested():
                self.leave()
            case BootNumberRecovered(boot):
                if boot >= self.id.boot:
                    self.adopt_higher_boot(boot)

    def handle_datagram(self, message: Datagram) -> None:
        """Merge a datagram's updates and handle its body."""
        sender = message.sender
        if sender.id == self.id:
            return
        was_dead = sender.id in self.dead_members
        incarnation = self.incarnation
        self.merge_update(sender)
        record = self.records.get(sender.id)
        if record is None:
            return
        record.last_heard = self.now
        if was_dead and sender.id in self.active_members:
            self._rejoin(sender.address)
        for update in message.updates:
            self.merge_update(update)
        if self.incarnation > incarnation:  # an update said we were suspected or dead: refute it at once
            self.send(sender.address, Gossip(), sender.id)
        self._handle_body(sender, message.body)
        self.notify_suspect(record, sender)

    def _rejoin(self, address: str) -> None:
        """Reconnect after a partition: probe more dead members, and exchange full states with this one."""
        for _ in range(REJOIN_PROBES):
            self.probe_dead_member()
        self.exchange_if_allowed(address)

    def _handle_body(self, sender: Update, body: Body) -> None:
        match body:
            case Ping():
                self._handle_ping(sender, body)
            case PingRequest():
                self.relay_ping(sender.address, body)
            case Nack(sequence):
                self.handle_nack(sequence)
            case Ack(sequence):
                self.handle_ack(sequence)
            case LeaseRequest() | LeaseGrant():
                self.actions.append(DeliverLeaseMessage(sender.id, body))

    def _handle_ping(self, sender: Update, ping: Ping) -> None:
        if ping.target != self.id:  # meant for an earlier process at this address: introduce ourselves
            self.send(sender.address, Gossip(), sender.id)
            return
        self.send(sender.address, Ack(ping.sequence), sender.id)
        self.compare_checksums(ping.membership_checksum, sender.address)
