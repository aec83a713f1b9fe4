"""What the fleet's members are measured against, on the same wire and in the same virtual time: plain SWIM,
and a heartbeat to everybody. Both are our own, written from the papers.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import Any

from cleatyoke.membership.interface import DatagramReceived, MembershipTiming, SendDatagram
from cleatyoke.membership.member_records import MemberRecord
from cleatyoke.membership.members import Membership
from cleatyoke.membership.wire import (
    Datagram,
    Gossip,
    MemberState,
    Update,
    WireError,
    decode_datagram,
    encode_datagram,
)

MISSED = 4.0  # periods of silence after which a heartbeat's absence is a death; a suspicion of SWIM lasts
# as long times the logarithm (to 10) of the members, which is the least that our own lasts


class PlainSwim(Membership):
    """SWIM with suspicion (Das, Gupta, Motivala 2002): no local health, no suspicion that accusers shorten,
    nobody told first, no second look, nothing that reaches those believed dead.
    """

    def suspicion_ends(self, life: MemberRecord) -> float:
        timing = self.timing
        return life.since + timing.suspicion * timing.period * max(1.0, math.log10(len(self.lives) + 1))

    def work(self) -> None:
        self.health = 0
        super().work()
        self.health = 0

    def warn(self, life: MemberRecord, sender: Update) -> None:
        pass

    def swap(self, address: str) -> None:
        pass

    def look_again(self) -> None:
        self.next["look"] = self.now + 3600.0

    def probe_departed(self) -> None:
        pass

    def wake(self, now: float, gap: float) -> None:
        self.next = {name: max(at, now) for name, at in self.next.items()}


class Heartbeats(Membership):
    """Everybody tells everybody, once a period, that it is there. ``seeds`` are all of them."""

    def __init__(
        self,
        deployment: str,
        name: str,
        boot: int,
        address: str,
        seeds: Sequence[str],
        rng: random.Random,
        timing: MembershipTiming | None = None,
        alone: bool = False,
    ) -> None:
        super().__init__(deployment, name, boot, address, seeds, rng, timing, alone)
        self.everybody = self.other_seeds()

    def work(self) -> None:
        now = self.now
        if now >= self.next["probe"]:
            self.next["probe"] = now + self.timing.period
            data, _ = encode_datagram(self.deployment, self.me(), Gossip(), [])
            for address in self.everybody:
                self.beat(address, data)
        for id in [id for id in self.present if now >= self.lives[id].heard + MISSED * self.timing.period]:
            old = self.lives[id].rumour
            self.believe(Update(id, old.address, MemberState.DEAD, old.count, old.alone))

    def beat(self, address: str, data: bytes) -> None:
        self.figures.datagrams_out += 1
        self.figures.bytes_out += len(data)
        self.actions.append(SendDatagram(address, data))

    def next_at(self) -> float:
        silent = min((self.lives[id].heard for id in self.present), default=math.inf)
        return max(self.now, min(self.next["probe"], silent + MISSED * self.timing.period))

    def take(self, event: Any) -> None:
        if isinstance(event, DatagramReceived):
            try:
                self.hear(decode_datagram(self.deployment, event.data))
            except WireError:
                self.figures.refused["any"] = self.figures.refused.get("any", 0) + 1

    def hear(self, message: Datagram) -> None:
        sender = message.sender
        life = self.lives.get(sender.id)
        if life is None:
            self.believe(sender)
            life = self.lives[sender.id]
        elif life.rumour.state is not MemberState.ALIVE:
            self.changed(life, life.rumour, sender)
        life.heard = self.now
