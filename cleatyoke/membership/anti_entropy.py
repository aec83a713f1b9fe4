"""Anti-entropy: exchanges of full states by stream, which repair what gossip has missed.

A full state goes to a random member now and then, to a peer whose checksum differs although nothing new has
been heard for a while, and to one that is back after a partition. Replicated data travel with it.
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

QUIET_PERIODS = 4  # probe intervals without news, after which states that differ are exchanged
FIXED_RATE_MEMBERS = 20  # up to which full states go at the stated interval; beyond, as much less often
PUSH_FANOUT = 8  # members at once to which a local change of replicated data is pushed


class AntiEntropy(Probing):
    """Starts and answers exchanges, and merges what they bring."""

    def __init__(self, identity: OwnIdentity, rng: random.Random, timing: MembershipTiming) -> None:
        super().__init__(identity, rng, timing)
        self.has_joined = False  # a peer's full state has come, or there is nobody to ask
        self.push_deadline = -math.inf  # until when a local change is pushed to members that lack it

    # Exchanges

    def start_exchange(self, address: str) -> None:
        """Send the full state, and merge the peer's once it comes."""
        data = self.encode_state()
        self.counters.bytes_out += len(data)
        self.actions.append(StartExchange(address, data))

    def encode_state(self) -> bytes:
        """Return all that this member knows, as a message."""
        replicas = self.store.dump() if self.store else b""
        updates = [record.update for record in self.records.values()]
        return encode_full_state(self.deployment, self.own_update(), updates, replicas)

    def handle_exchange_requested(self, event: ExchangeRequested) -> None:
        """Merge a peer's full state, and answer with our own."""
        self.counters.bytes_in += len(event.data)
        state = decode_full_state(self.deployment, event.data)
        self.merge_full_state(state, is_first=not self.has_joined)
        self.load_replicas(state.sender.id, state.replicas)
        answer = self.encode_state()
        self.actions.append(ReplyExchange(event.token, answer))
        self.counters.bytes_out += len(answer)

    def handle_exchange_answered(self, event: ExchangeAnswered) -> None:
        """Merge the full state that answers ours, if one came."""
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

        Who is dead in it may be so for its sender only, as after a partition: it is suspected here, and
        may refute.
        ``is_first``: nobody has told us anything before, so that a higher boot number of our name is not a
        successor's, as in an upgrade, but says that ours comes from an old memory.
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
        boots = [update.id.boot for update in updates if update.id.name == self.id.name]
        highest = max(boots, default=-1)
        if highest > self.id.boot:
            self.adopt_higher_boot(highest)

    # When to exchange

    def exchange_at_interval(self) -> None:
        """Exchange with a random member; in large fleets less often, so that the load of each stays flat."""
        interval = self.timing.exchange_interval * max(1.0, len(self.records) / FIXED_RATE_MEMBERS)
        self.due_at.exchange = self.now + interval * (0.75 + self.rng.random() / 2)
        if active := self.active_ids():
            self.start_exchange(self.records[self.rng.choice(active)].update.address)

    def exchange_if_allowed(self, address: str) -> None:
        """Exchange outside the regular interval, at most once per ``dead_member_probe_interval``.

        What each side believes dead is suspected on the other, where it can refute.
        """
        if self.now >= self.due_at.extra_exchange:
            self.due_at.extra_exchange = self.now + self.timing.dead_member_probe_interval
            self.start_exchange(address)

    def compare_checksums(self, theirs: int, address: str) -> None:
        """Exchange with a peer that believes others active than we, though nothing new came for a while.

        Repairs what gossip has left out. Full states go by this and hardly by the clock, so that what a
        member sends doesn't grow with the fleet.
        """
        quiet = QUIET_PERIODS * self.timing.probe_interval
        if theirs != self.membership_checksum() and self.now >= self.last_change_at + quiet:
            self.exchange_if_allowed(address)

    # Replicated data

    def load_replicas(self, sender: MemberId, data: bytes) -> None:
        """Merge replicated data that came with a full state; news are passed on at once, to a few."""
        if self.store is None or not data or sender == self.id:
            return
        try:
            has_news = self.store.load(sender, data)
        except ValueError as error:
            msg = f"copies {error}"
            raise WireError(msg) from error
        if not has_news:
            return
        self.last_change_at = self.now
        active = self.active_ids()
        for member in self.rng.sample(active, min(self.timing.gossip_fanout, len(active))):
            if self.store.is_behind(member):
                self.start_exchange(self.records[member].update.address)

    def push_local_change(self) -> None:
        """Push replicated data that were changed here to all active members, some at a time."""
        self.push_deadline = self.now + self.timing.exchange_interval
        self.last_change_at = self.now
        self.due_at.push = self.now

    def push_replicas(self) -> None:
        """Exchange with some members that lack a change made here; ends the push where none is left."""
        assert self.store
        lacking = [member for member in self.active_members if self.store.is_behind(member)]
        if not lacking:
            self.push_deadline = -math.inf
            return
        self.due_at.push = self.now + self.timing.ack_timeout
        for member in self.rng.sample(lacking, min(PUSH_FANOUT, len(lacking))):
            self.start_exchange(self.records[member].update.address)
