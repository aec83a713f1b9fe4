"""Anti-entropy: full-state exchanges over streams, which repair what gossip has missed.

A full state is exchanged with a random member at intervals, with a peer whose checksum still differs after a
period without updates, and with a member that is reachable again after a partition. It includes the
replicated data.
"""

from __future__ import annotations

import math
import random

from cleatyoke.membership.actions import ReplyExchange, StartExchange
from cleatyoke.membership.events import ExchangeAnswered, ExchangeRequested
from cleatyoke.membership.member_records import OwnIdentity, with_state
from cleatyoke.membership.probing import Probing
from cleatyoke.membership.timing import MembershipTiming
from cleatyoke.membership.wire import (
    FullState,
    MemberId,
    MemberState,
    Update,
    decode_full_state,
    encode_full_state,
)
from cleatyoke.transport.encoding import WireError

QUIET_PERIODS = 4  # probe intervals without updates after which differing states are exchanged
FIXED_RATE_MEMBERS = 20  # above this size the exchange interval grows in proportion to the fleet
PUSH_FANOUT = 8  # members per round to which a local change of replicated data is pushed


class AntiEntropy(Probing):
    """Starts and answers full-state exchanges, and merges the received states."""

    def __init__(self, identity: OwnIdentity, rng: random.Random, timing: MembershipTiming) -> None:
        super().__init__(identity, rng, timing)
        self.has_joined = False  # a peer's full state has been received, or there are no other seeds
        self.push_deadline = -math.inf  # local changes are pushed to members that lack them until then

    # Exchanges

    def start_exchange(self, address: str) -> None:
        """Send the full state to a peer; its answer is merged on arrival."""
        data = self.encode_state()
        self.counters.bytes_out += len(data)
        self.actions.append(StartExchange(address, data))

    def encode_state(self) -> bytes:
        """Return the encoded full state: all known members and the replicated data."""
        replicas = self.store.dump() if self.store else b""
        updates = [record.update for record in self.records.values()]
        return encode_full_state(self.deployment, self.own_update(), updates, replicas)

    def handle_exchange_requested(self, event: ExchangeRequested) -> None:
        """Merge a peer's full state and answer with this member's."""
        self.counters.bytes_in += len(event.data)
        state = decode_full_state(self.deployment, event.data)
        self.merge_full_state(state, is_first=not self.has_joined)
        self.load_replicas(state.sender.id, state.replicas)
        answer = self.encode_state()
        self.actions.append(ReplyExchange(event.token, answer))
        self.counters.bytes_out += len(answer)

    def handle_exchange_answered(self, event: ExchangeAnswered) -> None:
        """Merge the full state received in answer, if any."""
        if event.data is None:
            return
        self.counters.bytes_in += len(event.data)
        state = decode_full_state(self.deployment, event.data)
        is_first = not self.has_joined
        self.has_joined = True
        self.merge_full_state(state, is_first=is_first)
        self.load_replicas(state.sender.id, state.replicas)

    def merge_full_state(self, state: FullState, *, is_first: bool) -> None:
        """Merge a full state.

        A member that is dead in it may be unreachable for the sender only, as after a partition. It is
        therefore only suspected here, so that it can refute.
        ``is_first``: this is the first state received. A higher boot number of this member's own name then
        doesn't belong to a successor, as in an upgrade, but shows that its own was read from stale storage.
        """
        sender = state.sender
        if sender.id != self.id:
            self.merge_update(sender)
            if sender.id in self.records:
                self.records[sender.id].last_heard = self.now
        if is_first:
            self._exceed_boot_numbers([sender, *state.members])
        for update in state.members:
            if update.state is MemberState.DEAD and update.id in self.active_members:
                self.merge_update(with_state(update, MemberState.SUSPECT, sender.id.name))
            else:
                self.merge_update(update)

    def _exceed_boot_numbers(self, updates: list[Update]) -> None:
        boot_numbers = [update.id.boot for update in updates if update.id.name == self.id.name]
        highest = max(boot_numbers, default=-1)
        if highest > self.id.boot:
            self.adopt_higher_boot(highest)

    # When to exchange

    def exchange_at_interval(self) -> None:
        """Exchange with a random member.

        The interval grows with the fleet, so that each member's traffic doesn't.
        """
        interval = self.timing.exchange_interval * max(1.0, len(self.records) / FIXED_RATE_MEMBERS)
        self.due_at.exchange = self.now + interval * (0.75 + self.rng.random() / 2)
        if active := self.active_ids():
            self.start_exchange(self.records[self.rng.choice(active)].update.address)

    def exchange_if_allowed(self, address: str) -> None:
        """Exchange outside the regular interval, at most once per ``dead_member_probe_interval``.

        Members that one side believes dead become suspected on the other side, where they can refute.
        """
        if self.now >= self.due_at.extra_exchange:
            self.due_at.extra_exchange = self.now + self.timing.dead_member_probe_interval
            self.start_exchange(address)

    def compare_checksums(self, peer_checksum: int, address: str) -> None:
        """Exchange with a peer whose checksum still differs after a period without updates.

        Repairs what gossip has missed. Most full-state exchanges are started here rather than at fixed
        intervals, so that a member's traffic doesn't grow with the fleet.
        """
        quiet_time = QUIET_PERIODS * self.timing.probe_interval
        if peer_checksum != self.membership_checksum() and self.now >= self.last_change_at + quiet_time:
            self.exchange_if_allowed(address)

    # Replicated data

    def load_replicas(self, sender: MemberId, data: bytes) -> None:
        """Merge replicated data received with a full state; forward new data at once to a few members."""
        if self.store is None or not data or sender == self.id:
            return
        try:
            has_new_data = self.store.load(sender, data)
        except ValueError as error:
            msg = f"copies {error}"
            raise WireError(msg) from error
        if not has_new_data:
            return
        self.last_change_at = self.now
        active = self.active_ids()
        for member in self.rng.sample(active, min(self.timing.gossip_fanout, len(active))):
            if self.store.is_behind(member):
                self.start_exchange(self.records[member].update.address)

    def push_local_change(self) -> None:
        """Start to push locally changed replicated data to all active members, a few per round."""
        self.push_deadline = self.now + self.timing.exchange_interval
        self.last_change_at = self.now
        self.due_at.push = self.now

    def push_replicas(self) -> None:
        """Exchange with some members that lack a local change; stop the push once no member lacks it."""
        assert self.store
        members_behind = [member for member in self.active_members if self.store.is_behind(member)]
        if not members_behind:
            self.push_deadline = -math.inf
            return
        self.due_at.push = self.now + self.timing.ack_timeout
        for member in self.rng.sample(members_behind, min(PUSH_FANOUT, len(members_behind))):
            self.start_exchange(self.records[member].update.address)
