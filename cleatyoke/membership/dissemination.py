"""Dissemination of updates: piggybacked on every datagram, and in rounds of gossip while there are any.

From SWIM (Das, Gupta, Motivala 2002): an update is sent a number of times that grows with the logarithm of
the members, those sent least first.
"""

from __future__ import annotations

import itertools
import math
import random
import zlib
from collections.abc import Iterator

from cleatyoke.membership.actions import MembershipAction, SendDatagram
from cleatyoke.membership.member_records import OwnIdentity, member_checksum
from cleatyoke.membership.member_table import MemberTable
from cleatyoke.membership.replicated_store import ReplicatedStore
from cleatyoke.membership.timing import MembershipTiming
from cleatyoke.membership.wire import (
    Body,
    Gossip,
    LeaseGrant,
    LeaseRequest,
    MemberId,
    MemberState,
    Ping,
    Update,
    encode_datagram,
)

MAX_PIGGYBACKED = 32  # updates that are considered for one datagram


class Dissemination(MemberTable):
    """Sends datagrams, with updates on them."""

    def __init__(self, identity: OwnIdentity, rng: random.Random, timing: MembershipTiming) -> None:
        super().__init__(identity, rng, timing)
        self.incarnation = 0
        self.settings_checksum = 0  # of the settings that this front runs with; 0: not known yet
        self.is_leaving = False
        self.has_left = False  # nothing more is sent or done
        self.store: ReplicatedStore | None = None
        self.sequence = 0  # of the last ping

    def own_update(self) -> Update:
        """Return what this member says of itself."""
        state = MemberState.LEFT if self.is_leaving else MemberState.ALIVE
        return Update(
            self.id, self.address, state, self.incarnation, self.owns_address, "", self.settings_checksum
        )

    def update_of(self, member: MemberId) -> Update:
        """Return the latest update of a known member or of this one."""
        return self.own_update() if member == self.id else self.records[member].update

    def announce_self(self) -> None:
        """Gossip the own update, which has changed."""
        self.transmit_counts[self.id] = 0

    def membership_checksum(self) -> int:
        """Return a number that is the same where the same members are active and the same data are held."""
        replicas = self.store.digest() if self.store else 0
        return self.active_checksum ^ member_checksum(self.own_update()) ^ replicas

    def operator_view_checksum(self) -> int:
        """Return a number that is the same wherever the same is believed of every member.

        Operators compare it between fronts, also of different releases: the text that is summed up has names
        of its own, which don't follow the names of this code. May be called from another thread.
        """
        every = [record.update for record in list(self.records.values())]  # a copy: other threads may read
        rows = sorted((one.id, int(one.state), one.incarnation) for one in (*every, self.own_update()))
        texts = [
            f"(Id(name={id.name!r}, boot={id.boot!r}), {state}, {incarnation})"
            for id, state, incarnation in rows
        ]
        return zlib.crc32(f"[{', '.join(texts)}]".encode())

    def select_updates(self, receiver: MemberId | None) -> Iterator[MemberId]:
        """Yield whose updates go with a datagram.

        First its receiver's own if that is suspected, dead or left, so that it may refute soon (Lifeguard's
        buddy system); then those sent least.
        """
        if receiver in self.records and self.records[receiver].update.state is not MemberState.ALIVE:
            yield receiver
        candidates = itertools.islice(self.transmit_counts, 4 * MAX_PIGGYBACKED)
        waiting = sorted(candidates, key=self.transmit_counts.__getitem__)[:MAX_PIGGYBACKED]
        yield from (one for one in waiting if one != receiver and (one in self.records or one == self.id))

    def send(self, address: str, body: Body, receiver: MemberId | None = None) -> None:
        """Send a message with updates. ``receiver``: who listens there, where it is known."""
        chosen = list(self.select_updates(receiver))
        updates = [self.update_of(member) for member in chosen]
        data, used = encode_datagram(self.deployment, self.own_update(), body, updates)
        self._count_transmissions(chosen[:used])
        self.counters.datagrams_out += 1
        self.counters.bytes_out += len(data)
        self.actions.append(SendDatagram(address, data))

    def send_ping(self, member: MemberId) -> int:
        """Ping a known member; return the sequence number."""
        self.sequence += 1
        ping = Ping(self.sequence, member, self.membership_checksum())
        self.send(self.records[member].update.address, ping, member)
        return self.sequence

    def send_lease_message(
        self, receiver: MemberId, message: LeaseRequest | LeaseGrant
    ) -> list[MembershipAction]:
        """Send a message of the quota leases; returns the actions, none where the receiver is not active."""
        self.actions = []
        if receiver in self.active_members and not self.has_left:
            self.send(self.records[receiver].update.address, message)
        return self.actions

    def send_gossip(self) -> None:
        """Send updates to a few random members; ends this member if it leaves and has told everything."""
        active = self.active_ids()
        for member in self.rng.sample(active, min(self.timing.gossip_fanout, len(active))):
            if not self.transmit_counts:
                break
            self.send(self.records[member].update.address, Gossip())
        if self.is_leaving and (not self.transmit_counts or not active):
            self.has_left = True
        elif not active:
            self.transmit_counts.pop(self.id, None)

    def _count_transmissions(self, sent: list[MemberId]) -> None:
        limit = math.ceil(self.timing.retransmit_multiplier * math.log10(len(self.records) + 2))
        for member in sent:
            if member in self.transmit_counts:
                self.transmit_counts[member] += 1
                if self.transmit_counts[member] >= limit:
                    del self.transmit_counts[member]
