"""What the fleet's members are measured against, on the same wire and in the same virtual time: plain SWIM,
and a heartbeat to everybody. Both are our own, written from the papers.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import Any

from cleatyoke.membership.actions import SendDatagram
from cleatyoke.membership.events import DatagramReceived
from cleatyoke.membership.member_records import MemberRecord
from cleatyoke.membership.members import Membership
from cleatyoke.membership.timing import MembershipTiming
from cleatyoke.membership.wire import Datagram, Gossip, MemberState, Update, decode_datagram, encode_datagram
from cleatyoke.transport.encoding import WireError

MISSED = 4.0  # periods of silence after which a heartbeat's absence is a death; a suspicion of SWIM lasts
# as long times the logarithm (to 10) of the members, which is the least that our own lasts


class PlainSwim(Membership):
    """SWIM with suspicion (Das, Gupta, Motivala 2002): no local health, no suspicion that accusers shorten,
    nobody told first, no second look, nothing that reaches those believed dead.
    """

    def suspicion_deadline(self, life: MemberRecord) -> float:
        timing = self.timing
        return life.state_since + timing.suspicion_multiplier * timing.probe_interval * max(
            1.0, math.log10(len(self.records) + 1)
        )

    def run_timers(self) -> None:
        self.health_score = 0
        super().run_timers()
        self.health_score = 0

    def notify_suspect(self, life: MemberRecord, sender: Update) -> None:
        pass

    def exchange_if_allowed(self, address: str) -> None:
        pass

    def recheck_suspect(self) -> None:
        self.due_at.recheck = self.now + 3600.0

    def probe_dead_member(self) -> None:
        pass

    def resume_after_pause(self, now: float, gap: float) -> None:
        self.due_at.postpone(now)


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
        owns_address: bool = False,
    ) -> None:
        super().__init__(deployment, name, boot, address, seeds, rng, timing, owns_address)
        self.everybody = self.other_seeds()

    def run_timers(self) -> None:
        now = self.now
        if now >= self.due_at.probe:
            self.due_at.probe = now + self.timing.probe_interval
            data, _ = encode_datagram(self.deployment, self.own_update(), Gossip(), [])
            for address in self.everybody:
                self.beat(address, data)
        for id in [
            id
            for id in self.active_members
            if now >= self.records[id].last_heard + MISSED * self.timing.probe_interval
        ]:
            old = self.records[id].update
            self.merge_update(Update(id, old.address, MemberState.DEAD, old.incarnation, old.owns_address))

    def beat(self, address: str, data: bytes) -> None:
        self.counters.datagrams_out += 1
        self.counters.bytes_out += len(data)
        self.actions.append(SendDatagram(address, data))

    def next_step_at(self) -> float:
        silent = min((self.records[id].last_heard for id in self.active_members), default=math.inf)
        return max(self.now, min(self.due_at.probe, silent + MISSED * self.timing.probe_interval))

    def handle_event(self, event: Any) -> None:
        if isinstance(event, DatagramReceived):
            try:
                self.handle_datagram(decode_datagram(self.deployment, event.data))
            except WireError:
                self.counters.rejected["any"] = self.counters.rejected.get("any", 0) + 1

    def handle_datagram(self, message: Datagram) -> None:
        sender = message.sender
        life = self.records.get(sender.id)
        if life is None:
            self.merge_update(sender)
            life = self.records[sender.id]
        elif life.update.state is not MemberState.ALIVE:
            self.apply_update(life, life.update, sender)
        life.last_heard = self.now
