"""Baseline protocols that the fleet membership is measured against, on the same wire format and in the same
virtual time: plain SWIM and all-to-all heartbeats. Both were implemented for this project from the papers.
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

# Probe intervals without a heartbeat after which a member is declared dead. A suspicion of SWIM lasts as
# long, multiplied by the decimal logarithm of the member count; this is also the minimum of the fleet
# membership.
MISSED_PERIODS = 4.0


class PlainSwim(Membership):
    """SWIM with suspicion (Das, Gupta, Motivala 2002), without the extensions of the fleet membership: no
    local health score, no suspicion time-out shortened by further accusers, no direct notification of a
    suspect, no recheck of suspects and no probes of members believed dead.
    """

    def suspicion_deadline(self, record: MemberRecord) -> float:
        timing = self.timing
        return record.state_since + timing.suspicion_multiplier * timing.probe_interval * max(
            1.0, math.log10(len(self.records) + 1)
        )

    def run_timers(self) -> None:
        self.health_score = 0
        super().run_timers()
        self.health_score = 0

    def notify_suspect(self, record: MemberRecord, sender: Update) -> None:
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
    """All-to-all heartbeats: each member sends one to every other once per probe interval.

    ``seeds`` must hold the addresses of all members.
    """

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
        self.other_addresses = self.other_seeds()

    def run_timers(self) -> None:
        now = self.now
        if now >= self.due_at.probe:
            self.due_at.probe = now + self.timing.probe_interval
            data, _ = encode_datagram(self.deployment, self.own_update(), Gossip(), [])
            for address in self.other_addresses:
                self.send_heartbeat(address, data)
        for id in [
            id
            for id in self.active_members
            if now >= self.records[id].last_heard + MISSED_PERIODS * self.timing.probe_interval
        ]:
            last = self.records[id].update
            self.merge_update(Update(id, last.address, MemberState.DEAD, last.incarnation, last.owns_address))

    def send_heartbeat(self, address: str, data: bytes) -> None:
        self.counters.datagrams_out += 1
        self.counters.bytes_out += len(data)
        self.actions.append(SendDatagram(address, data))

    def next_step_at(self) -> float:
        oldest = min((self.records[id].last_heard for id in self.active_members), default=math.inf)
        return max(self.now, min(self.due_at.probe, oldest + MISSED_PERIODS * self.timing.probe_interval))

    def handle_event(self, event: Any) -> None:
        if isinstance(event, DatagramReceived):
            try:
                self.handle_datagram(decode_datagram(self.deployment, event.data))
            except WireError:
                self.counters.rejected["any"] = self.counters.rejected.get("any", 0) + 1

    def handle_datagram(self, message: Datagram) -> None:
        sender = message.sender
        record = self.records.get(sender.id)
        if record is None:
            self.merge_update(sender)
            record = self.records[sender.id]
        elif record.update.state is not MemberState.ALIVE:
            self.apply_update(record, record.update, sender)
        record.last_heard = self.now
