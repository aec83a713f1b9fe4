"""Failure detection by direct and indirect probes.

From SWIM: one member is probed per interval, and one that doesn't answer is probed indirectly by helpers.
From Lifeguard: local health, by which a member that misses answers waits longer before it suspects others.
In addition, members believed dead are probed, so that the fleet merges after a partition without an operator.
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
    """Sends this member's own probes, and relays pings for others."""

    def __init__(self, identity: OwnIdentity, rng: random.Random, timing: MembershipTiming) -> None:
        super().__init__(identity, rng, timing)
        self.pending_probes: dict[int, Probe] = {}  # by sequence number
        self.relayed_pings: dict[int, RelayedPing] = {}  # by the sequence number of the relayed ping

    def probe_next_member(self) -> None:
        """Probe the next member of the round; each round covers all active members in random order."""
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
        """Ping a member and await the answer, with timeouts that grow with this member's health score."""
        health_factor = 1 + self.health_score
        probe = Probe(
            member,
            indirect_at=self.now + self.timing.ack_timeout * health_factor,
            deadline=self.now + self.timing.probe_interval * health_factor,
        )
        self.pending_probes[self.send_ping(member)] = probe

    def check_probes(self) -> None:
        """Advance all probes that have not been answered yet."""
        for sequence, probe in list(self.pending_probes.items()):
            self.check_probe(sequence, probe)

    def check_probe(self, sequence: int, probe: Probe) -> None:
        """Ask helpers or suspect the target, once the respective time has passed."""
        record = self.records.get(probe.target)
        if record is None or record.update.state not in ACTIVE_STATES:
            del self.pending_probes[sequence]
        elif self.now >= probe.deadline:
            del self.pending_probes[sequence]
            silent_helpers = probe.helpers_asked - probe.nacks  # no nack either: the fault may be local
            self.worsen_health(silent_helpers if probe.helpers_asked else 1)
            self.counters.suspicions += 1
            self.merge_update(with_state(record.update, MemberState.SUSPECT, self.id.name))
        elif self.now >= probe.indirect_at and not probe.helpers_asked:
            self.request_indirect_probes(sequence, probe, record.update.address)

    def request_indirect_probes(self, sequence: int, probe: Probe, address: str) -> None:
        """Ask random members to ping the target, so that a failed link alone raises no suspicion."""
        candidates = [member for member in self.active_ids() if member != probe.target]
        helpers = self.rng.sample(candidates, min(self.timing.indirect_probes, len(candidates)))
        for member in helpers:
            self.send(self.records[member].update.address, PingRequest(sequence, probe.target, address))
        probe.helpers_asked = len(helpers)
        if not helpers:
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
        """Send nacks for relayed pings without an answer, and drop those whose deadline has passed."""
        for sequence, relayed in list(self.relayed_pings.items()):
            if self.now >= relayed.deadline:
                del self.relayed_pings[sequence]
            elif self.now >= relayed.nack_at:
                relayed.nack_at = relayed.deadline
                self.send(relayed.requester, Nack(relayed.requester_sequence))

    def handle_ack(self, sequence: int) -> None:
        """Complete the probe that is answered, or forward the answer to the requester."""
        if sequence in self.pending_probes:
            del self.pending_probes[sequence]
            self.improve_health()
        elif sequence in self.relayed_pings:
            relayed = self.relayed_pings.pop(sequence)
            self.send(relayed.requester, Ack(relayed.requester_sequence))

    def handle_nack(self, sequence: int) -> None:
        """Count a helper that is reachable, though it has no answer from the target."""
        if sequence in self.pending_probes:
            self.pending_probes[sequence].nacks += 1

    def probe_dead_member(self) -> None:
        """Ping one member that is believed dead, or one that left and has no successor at its address.

        Without this, the two sides of a partition would stay separate after it has healed, and a front that
        returns while all seeds are down would find nobody. One member is pinged at a time, however many have
        failed.
        """
        choices = [group for group in (list(self.dead_members), self._left_without_successor()) if group]
        if choices:
            self.send_ping(self.rng.choice(self.rng.choice(choices)))

    def _left_without_successor(self) -> list[MemberId]:
        if not self.left_members:
            return []
        used_addresses = {self.records[member].update.address for member in self.active_members}
        used_addresses.add(self.address)
        return [
            member
            for member in self.left_members
            if self.records[member].update.address not in used_addresses
        ]
