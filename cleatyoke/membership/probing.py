"""Whom a life probes, and what it makes of a missing answer: SWIM's probe of one member a period, through
others where it is silent, and Lifeguard's local health.
"""

from __future__ import annotations

import math
import random

from cleatyoke.membership.interface import MembershipTiming
from cleatyoke.membership.member_records import (
    ACTIVE_STATES,
    MemberRecord,
    MembershipCounters,
    Probe,
    RelayedPing,
)
from cleatyoke.membership.suspicion import SUSPECTORS_FOR_SHORTEST, MemberTable
from cleatyoke.membership.wire import Ack, Body, MemberId, MemberState, Ping, PingRequest, Update

MAX_HEALTH_SCORE = 8  # most that local health counts


class Probing(MemberTable):
    """``send``, ``believe`` and ``there_sum`` are the member's own."""

    def __init__(self, id: MemberId, address: str, rng: random.Random, timing: MembershipTiming) -> None:
        super().__init__(timing)
        self.id, self.address, self.rng = id, address, rng
        self.counters = MembershipCounters()
        self.probe_round: list[MemberId] = []  # whom to probe in this round, the next one last
        self.pending_probes: dict[int, Probe] = {}
        self.relayed_pings: dict[int, RelayedPing] = {}
        self.sequence = 0
        self.health_score = 0  # 0: well; more, and this life doubts itself rather than others
        self.due_at: dict[str, float] = {}

    def send(self, address: str, body: Body, receiver: MemberId | None = None) -> None:
        raise NotImplementedError

    def merge_update(self, rumour: Update) -> None:
        raise NotImplementedError

    def membership_checksum(self) -> int:
        raise NotImplementedError

    def probe_next_member(self) -> None:
        """One member a period, each once in a round whose order is drawn anew."""
        while self.probe_round:
            id = self.probe_round.pop()
            life = self.records.get(id)
            if life and life.update.state in ACTIVE_STATES:
                return self.send_probe(id)
        self.probe_round = self.active_ids()
        self.rng.shuffle(self.probe_round)
        if self.probe_round:
            self.send_probe(self.probe_round.pop())

    def send_probe(self, id: MemberId) -> None:
        self.sequence += 1
        slack = 1 + self.health_score
        self.pending_probes[self.sequence] = Probe(
            id, self.now + self.timing.ack_timeout * slack, self.now + self.timing.probe_interval * slack
        )
        self.send(self.records[id].update.address, Ping(self.sequence, id, self.membership_checksum()), id)

    def check_probe(self, number: int, probe: Probe) -> None:
        life = self.records.get(probe.target)
        if life is None or life.update.state not in ACTIVE_STATES:
            del self.pending_probes[number]
        elif self.now >= probe.deadline:
            del self.pending_probes[number]
            missed = (
                probe.helpers_asked - probe.nacks
            )  # helpers whom we do not hear either: the fault may be ours
            self.health_score = min(
                MAX_HEALTH_SCORE, self.health_score + (missed if probe.helpers_asked else 1)
            )
            self.counters.suspicions += 1
            old = life.update
            self.merge_update(
                Update(
                    old.id, old.address, MemberState.SUSPECT, old.incarnation, old.owns_address, self.id.name
                )
            )
        elif self.now >= probe.indirect_at and not probe.helpers_asked:
            self.request_indirect_probes(number, probe, life.update.address)

    def request_indirect_probes(self, number: int, probe: Probe, address: str) -> None:
        helpers = [id for id in self.active_ids() if id != probe.target]
        chosen = self.rng.sample(helpers, min(self.timing.indirect_probes, len(helpers)))
        for id in chosen:
            self.send(self.records[id].update.address, PingRequest(number, probe.target, address))
        probe.helpers_asked = len(chosen)
        if not chosen:
            probe.indirect_at = probe.deadline

    def probe_failed_member(self) -> None:
        """One of those believed dead: were it a cut that parted us, it heals by this. Or one that left and
        has no successor at its address: it may be back, and its seeds be gone. The rate is one life's,
        however many there are.
        """
        there = (
            {self.records[id].update.address for id in self.active_members} if self.left_members else set()
        )
        left = [
            id for id in self.left_members if self.records[id].update.address not in {*there, self.address}
        ]
        choices = [choice for choice in (list(self.failed_members), left) if choice]
        if choices:
            id = self.rng.choice(self.rng.choice(choices))
            self.sequence += 1
            self.send(
                self.records[id].update.address, Ping(self.sequence, id, self.membership_checksum()), id
            )

    def recheck_suspect(self) -> None:
        """Ping one that has been suspected for a period. Its answer has its count, should its refutation not
        have come by others, as rumours reach nearly all and not all; no answer accuses nobody.
        """
        for id, at in self.recheck_at.items():
            if self.now >= at:
                del self.recheck_at[id]
                self.due_at["look"] = self.now + self.timing.gossip_interval
                self.sequence += 1
                self.send(
                    self.records[id].update.address, Ping(self.sequence, id, self.membership_checksum()), id
                )
            return

    def suspicion_deadline(self, life: MemberRecord) -> float:
        """Long with one accuser, shorter with each further one (Lifeguard's logarithm)."""
        timing, size = self.timing, len(self.records) + 1
        least = timing.suspicion_multiplier * timing.probe_interval * max(1.0, math.log10(size))
        most = least * timing.max_suspicion_multiplier
        sure = math.log(max(1, len(life.suspectors))) / math.log(SUSPECTORS_FOR_SHORTEST)
        return life.state_since + max(least, most - (most - least) * sure)

    def handle_ack(self, number: int) -> None:
        if number in self.pending_probes:
            del self.pending_probes[number]
            self.health_score = max(0, self.health_score - 1)
        elif number in self.relayed_pings:
            relayed = self.relayed_pings.pop(number)
            self.send(relayed.requester, Ack(relayed.requester_sequence))
