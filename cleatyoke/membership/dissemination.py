"""Dissemination of updates: piggybacked on every datagram, and gossiped in rounds while any are pending.

As in SWIM (Das, Gupta, Motivala 2002), each update is sent a number of times that grows with the logarithm of
the number of members, and the updates sent least often go first.
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

MAX_PIGGYBACKED = 32  # updates considered for one datagram


class Dissemination(MemberTable):
    """Sends datagrams with piggybacked updates."""

    def __init__(self, identity: OwnIdentity, rng: random.Random, timing: MembershipTiming) -> None:
        super().__init__(identity, rng, timing)
        self.incarnation = 0
        self.settings_checksum = 0  # of the settings that this front runs with; 0 while unknown
        self.is_leaving = False
        self.has_left = False  # the leave has been gossiped; timers no longer run
        self.store: ReplicatedStore | None = None
        self.sequence = 0  # of the last ping

    def own_update(self) -> Update:
        """Return this member's update of itself."""
        state = MemberState.LEFT if self.is_leaving else MemberState.ALIVE
        return Update(
            self.id, self.address, state, self.incarnation, self.owns_address, "", self.settings_checksum
        )

    def update_of(self, member: MemberId) -> Update:
        """Return the latest update of this or another known member."""
        return self.own_update() if member == self.id else self.records[member].update

    def announce_self(self) -> None:
        """Gossip this member's own update again, after a change."""
        self.transmit_counts[self.id] = 0

    def membership_checksum(self) -> int:
        """Return a checksum that is equal where active members and replicated data are equal."""
        replicas = self.store.digest() if self.store else 0
        return self.active_checksum ^ member_checksum(self.own_update()) ^ replicas

    def operator_view_checksum(self) -> int:
        """Return a checksum that is equal on fronts that have the same view of every member.

        Operators compare it between fronts, also of different releases. The names in the text that is hashed
        are therefore fixed and independent of the names in this code. May be called from another thread.
        """
        # Copied first, as the records may change while another thread iterates.
        updates = [record.update for record in list(self.records.values())]
        rows = sorted(
            (update.id, int(update.state), update.incarnation) for update in (*updates, self.own_update())
        )
        texts = [
            f"(Id(name={id.name!r}, boot={id.boot!r}), {state}, {incarnation})"
            for id, state, incarnation in rows
        ]
        return zlib.crc32(f"[{', '.join(texts)}]".encode())

    def select_updates(self, receiver: MemberId | None) -> Iterator[MemberId]:
        """Yield the members whose updates are piggybacked on a datagram.

        The receiver comes first if it is suspected, dead or left, so that it can refute early (Lifeguard's
        buddy system), then those whose updates were sent least often.
        """
        if receiver in self.records and self.records[receiver].update.state is not MemberState.ALIVE:
            yield receiver
        candidates = itertools.islice(self.transmit_counts, 4 * MAX_PIGGYBACKED)
        least_sent = sorted(candidates, key=self.transmit_counts.__getitem__)[:MAX_PIGGYBACKED]
        yield from (
            member
            for member in least_sent
            if member != receiver and (member in self.records or member == self.id)
        )

    def send(self, address: str, body: Body, receiver: MemberId | None = None) -> None:
        """Send a message with piggybacked updates. ``receiver``: the member at this address, if known."""
        selected = list(self.select_updates(receiver))
        updates = [self.update_of(member) for member in selected]
        data, used = encode_datagram(self.deployment, self.own_update(), body, updates)
        self._count_transmissions(selected[:used])
        self.counters.datagrams_out += 1
        self.counters.bytes_out += len(data)
        self.actions.append(SendDatagram(address, data))

    def send_ping(self, member: MemberId) -> int:
        """Ping a known member and return the sequence number."""
        self.sequence += 1
        ping = Ping(self.sequence, member, self.membership_checksum())
        self.send(self.records[member].update.address, ping, member)
        return self.sequence

    def send_lease_message(
        self, receiver: MemberId, message: LeaseRequest | LeaseGrant
    ) -> list[MembershipAction]:
        """Send a quota lease message and return the actions; none if the receiver is not active."""
        self.actions = []
        if receiver in self.active_members and not self.has_left:
            self.send(self.records[receiver].update.address, message)
        return self.actions

    def send_gossip(self) -> None:
        """Send updates to a few random members; completes a leave once all updates have been sent."""
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
