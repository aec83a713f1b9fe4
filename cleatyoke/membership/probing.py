"""Failure detection: whom a member probes, and what it makes of a missing answer.

From SWIM: the probe of one member an interval, and the indirect probe by helpers of one that is silent. From
Lifeguard: local health, by which a member that misses answers itself waits longer before it suspects others.
Besides, members believed dead are probed, so that a partition heals with no operator.
"""

from __future__ import annotations

import random

from cleatyoke.membership.member_records import (
    ACTIVE_STATES,
    OwnIdentity,
    Probe,
    RelayedPing,
    with_state,
)
from cleatyoke.membership.merging import UpdateMerging
from cleatyoke.membership.timing import MembershipTiming
from cleatyoke.membership.wire import Ack, MemberId, MemberState, Nack, Ping, PingRequest


class Probing(UpdateMerging):
    """Pings of this member's own, and those that it relays for others."""

    def __init__(self, identity: OwnIdentity, rng: random.Random, timing: MembershipTiming) -> None:
        super().__init__(identity, rng, timing)
        self.pending_probes: dict[int, Probe] = {}  # by sequence number
        self.relayed_pings: dict[int, RelayedPing] = {}  # by our sequence number

    def probe_next_member(self) -> None:
        """Probe one member, each once in a round whose order is drawn anew."""
        while self.probe_round:
            member = self.probe_round.pop()
            record = self.records.get(member)
            if record and record.update.state in ACTIVE_STATES:
                self.send_probe(member)
                return
        self.probe_round = self.active_ids()
        self.rng.shuffle(self.probe_round)
        if self.probe_round:
            self.send_probe(self.probe_round.pop())

    def send_probe(self, member: MemberId) -> None:
        """Ping a member and wait for the answer, the longer the worse this member's health is."""
        health_factor = 1 + self.health_score
        probe = Probe(
            member,
            indirect_at=self.now + self.timing.ack_timeout * health_factor,
            deadline=self.now + self.timing.probe_interval * health_factor,
        )
        self.pending_probes[self.send_ping(member)] = probe

    def check_probes(self) -> None:
        """Go on with the probes that have no answer yet."""
        for sequence, probe in list(self.pending_probes.items()):
            self.check_probe(sequence, probe)

    def check_probe(self, sequence: int, probe: Probe) -> None:
        """Ask helpers, or suspect the member, if it is time for that."""
        record = self.records.get(probe.target)
        if record is None or record.update.state not in ACTIVE_STATES:
            del self.pending_probes[sequence]
        elif self.now >= probe.deadline:
            del self.pending_probes[sequence]
            silent_helpers = probe.helpers_asked - probe.nacks  # we don't hear these: the fault may be ours
            self.worsen_health(silent_helpers if probe.helpers_asked else 1)
            self.counters.suspicions += 1
            self.merge_update(with_state(record.update, MemberState.SUSPECT, self.id.name))
        elif self.now >= probe.indirect_at and not probe.helpers_asked:
            self.request_indirect_probes(sequence, probe, record.update.address)

    def request_indirect_probes(self, sequence: int, probe: Probe, address: str) -> None:
        """Ask random members to ping the target, so that a link that fails one way suspects nobody."""
        helpers = [member for member in self.active_ids() if member != probe.target]
        chosen = self.rng.sample(helpers, min(self.timing.indirect_probes, len(helpers)))
        for member in chosen:
            self.send(self.records[member].update.address, PingRequest(sequence, probe.target, address))
        probe.helpers_asked = len(chosen)
        if not chosen:
            probe.indirect_at = probe.deadline

    def relay_ping(self, requester: str, request: PingRequest) -> None:
        """Ping a member on behalf of another."""
        self.sequence += 1
        self.relayed_pings[self.sequence] = RelayedPing(
            requester,
            request.sequence,
            nack_at=self.now + self.timing.ack_timeout,
            deadline=self.now + self.timing.probe_interval,
        )
        ping = Ping(self.sequence, request.target, self.membership_checksum())
        self.send(request.address, ping)

    def check_relayed_pings(self) -> None:
        """Tell requesters that there is no answer yet, and forget pings that nobody waits for any more."""
        for sequence, relayed in list(self.relayed_pings.items()):
            if self.now >= relayed.deadline:
                del self.relayed_pings[sequence]
            elif self.now >= relayed.nack_at:
                relayed.nack_at = relayed.deadline
                self.send(relayed.requester, Nack(relayed.requester_sequence))

    def handle_ack(self, sequence: int) -> None:
        """End the probe that is answered, or pass the answer on to its requester."""
        if sequence in self.pending_probes:
            del self.pending_probes[sequence]
            self.improve_health()
        elif sequence in self.relayed_pings:
            relayed = self.relayed_pings.pop(sequence)
            self.send(relayed.requester, Ack(relayed.requester_sequence))

    def handle_nack(self, sequence: int) -> None:
        """Count a helper that we hear, though it has no answer of the target."""
        if sequence in self.pending_probes:
            self.pending_probes[sequence].nacks += 1

    def probe_dead_member(self) -> None:
        """Ping one member that is believed dead, or one that left and has no successor at its address.

        Prevents that the two sides of a partition stay apart after it has healed, and that a front that is
        back finds nobody where all seeds are gone. The rate is one member's, however many have failed.
        """
        choices = [choice for choice in (list(self.dead_members), self._left_without_successor()) if choice]
        if choices:
            self.send_ping(self.rng.choice(self.rng.choice(choices)))

    def _left_without_successor(self) -> list[MemberId]:
        if not self.left_members:
            return []
        addresses = {self.records[member].update.address for member in self.active_members}
        addresses.add(self.address)
        return [one for one in self.left_members if self.records[one].update.address not in addresses]
