"""Whom a life probes, and what it makes of a missing answer: SWIM's probe of one member a period, through
others where it is silent, and Lifeguard's local health.
"""

from __future__ import annotations

import math
import random

from cleatyoke.membership.interface import MembershipTiming
from cleatyoke.membership.member_records import HEARD_OF, MemberRecord, MembershipCounters, Probe, RelayedPing
from cleatyoke.membership.suspicion import ACCUSERS, MemberTable
from cleatyoke.membership.wire import Ack, Body, MemberId, MemberState, Ping, PingRequest, Update

UNHEALTHY = 8  # most that local health counts


class Probing(MemberTable):
    """``send``, ``believe`` and ``there_sum`` are the member's own."""

    def __init__(self, id: MemberId, address: str, rng: random.Random, timing: MembershipTiming) -> None:
        super().__init__(timing)
        self.id, self.address, self.rng = id, address, rng
        self.figures = MembershipCounters()
        self.round: list[MemberId] = []  # whom to probe in this round, the next one last
        self.probes: dict[int, Probe] = {}
        self.relayed: dict[int, RelayedPing] = {}
        self.number = 0
        self.health = 0  # 0: well; more, and this life doubts itself rather than others
        self.next: dict[str, float] = {}

    def send(self, address: str, body: Body, receiver: MemberId | None = None) -> None:
        raise NotImplementedError

    def believe(self, rumour: Update) -> None:
        raise NotImplementedError

    def there_sum(self) -> int:
        raise NotImplementedError

    def probe_next(self) -> None:
        """One member a period, each once in a round whose order is drawn anew."""
        while self.round:
            id = self.round.pop()
            life = self.lives.get(id)
            if life and life.rumour.state in HEARD_OF:
                return self.probe(id)
        self.round = self.there()
        self.rng.shuffle(self.round)
        if self.round:
            self.probe(self.round.pop())

    def probe(self, id: MemberId) -> None:
        self.number += 1
        slack = 1 + self.health
        self.probes[self.number] = Probe(
            id, self.now + self.timing.answer * slack, self.now + self.timing.period * slack
        )
        self.send(self.lives[id].rumour.address, Ping(self.number, id, self.there_sum()), id)

    def look_at_probe(self, number: int, probe: Probe) -> None:
        life = self.lives.get(probe.target)
        if life is None or life.rumour.state not in HEARD_OF:
            del self.probes[number]
        elif self.now >= probe.over_at:
            del self.probes[number]
            missed = probe.asked - probe.nacks  # helpers whom we do not hear either: the fault may be ours
            self.health = min(UNHEALTHY, self.health + (missed if probe.asked else 1))
            self.figures.suspicions += 1
            old = life.rumour
            self.believe(Update(old.id, old.address, MemberState.SUSPECT, old.count, old.alone, self.id.name))
        elif self.now >= probe.ask_at and not probe.asked:
            self.ask_others(number, probe, life.rumour.address)

    def ask_others(self, number: int, probe: Probe, address: str) -> None:
        helpers = [id for id in self.there() if id != probe.target]
        chosen = self.rng.sample(helpers, min(self.timing.helpers, len(helpers)))
        for id in chosen:
            self.send(self.lives[id].rumour.address, PingRequest(number, probe.target, address))
        probe.asked = len(chosen)
        if not chosen:
            probe.ask_at = probe.over_at

    def probe_departed(self) -> None:
        """One of those believed dead: were it a cut that parted us, it heals by this. Or one that left and
        has no successor at its address: it may be back, and its seeds be gone. The rate is one life's,
        however many there are.
        """
        there = {self.lives[id].rumour.address for id in self.present} if self.over else set()
        left = [id for id in self.over if self.lives[id].rumour.address not in {*there, self.address}]
        choices = [choice for choice in (list(self.departed), left) if choice]
        if choices:
            id = self.rng.choice(self.rng.choice(choices))
            self.number += 1
            self.send(self.lives[id].rumour.address, Ping(self.number, id, self.there_sum()), id)

    def look_again(self) -> None:
        """Ping one that has been suspected for a period. Its answer has its count, should its refutation not
        have come by others, as rumours reach nearly all and not all; no answer accuses nobody.
        """
        for id, at in self.looks.items():
            if self.now >= at:
                del self.looks[id]
                self.next["look"] = self.now + self.timing.gossip
                self.number += 1
                self.send(self.lives[id].rumour.address, Ping(self.number, id, self.there_sum()), id)
            return

    def suspicion_ends(self, life: MemberRecord) -> float:
        """Long with one accuser, shorter with each further one (Lifeguard's logarithm)."""
        timing, size = self.timing, len(self.lives) + 1
        least = timing.suspicion * timing.period * max(1.0, math.log10(size))
        most = least * timing.doubt
        sure = math.log(max(1, len(life.accusers))) / math.log(ACCUSERS)
        return life.since + max(least, most - (most - least) * sure)

    def acked(self, number: int) -> None:
        if number in self.probes:
            del self.probes[number]
            self.health = max(0, self.health - 1)
        elif number in self.relayed:
            relayed = self.relayed.pop(number)
            self.send(relayed.address, Ack(relayed.number))
