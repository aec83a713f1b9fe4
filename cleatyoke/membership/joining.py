"""How a member joins and leaves the fleet, and announces a change of its own address or settings."""

from __future__ import annotations

import random
from collections.abc import Sequence

from cleatyoke.membership.anti_entropy import AntiEntropy
from cleatyoke.membership.member_records import OwnIdentity
from cleatyoke.membership.timing import MembershipTiming
from cleatyoke.membership.wire import Gossip

LEAVE_FANOUT = 8  # members that are told at once of one that leaves


class Joining(AntiEntropy):
    """``seeds``: addresses of members that are asked for the others."""

    def __init__(
        self, identity: OwnIdentity, seeds: Sequence[str], rng: random.Random, timing: MembershipTiming
    ) -> None:
        super().__init__(identity, rng, timing)
        self.seeds = list(seeds)

    def other_seeds(self) -> list[str]:
        """Return the seeds that are not this member itself."""
        return [seed for seed in self.seeds if seed != self.address]

    def join(self) -> None:
        """Exchange full states with a seed at whose address no active member is known.

        Goes on for ever, if slowly: two groups that formed around two seeds, each down when the other's first
        member asked, would otherwise never meet.
        """
        active = {self.records[member].update.address for member in self.active_members}
        seeds = self.other_seeds()
        unknown = [seed for seed in seeds if seed not in active]
        is_isolated = not self.has_joined or not active
        interval = self.timing.join_interval if is_isolated else self.timing.exchange_interval
        self.due_at.join = self.now + interval * (0.5 + self.rng.random())
        if unknown or (is_isolated and seeds):
            self.start_exchange(self.rng.choice(unknown or seeds))

    def leave(self) -> None:
        """Shut down: tell several members at once, as the process may end directly after; then by gossip."""
        self.is_leaving = True
        self.transmit_counts = {self.id: 0}
        self.due_at.gossip = self.now
        active = self.active_ids()
        for member in self.rng.sample(active, min(LEAVE_FANOUT, len(active))):
            self.send(self.records[member].update.address, Gossip())
        self.transmit_counts = {self.id: 0}

    def change_address(self, address: str, *, owns_address: bool) -> None:
        """Others reach this member elsewhere from now on."""
        self.address = address
        self.owns_address = owns_address
        self._announce_change()

    def announce_settings(self, checksum: int) -> None:
        """Say which settings this front runs with, by their checksum; they themselves never travel."""
        has_changed = checksum != self.settings_checksum
        self.settings_checksum = checksum
        if has_changed and self.has_started:  # others may know an earlier checksum
            self._announce_change()

    def fronts_with_other_settings(self) -> list[str]:
        """Return the names of active members that run with other settings than this one.

        May be called from another thread.
        """
        known = [
            self.records[member].update for member in list(self.active_members) if member in self.records
        ]
        return sorted(
            {one.id.name for one in known if one.settings_checksum not in (0, self.settings_checksum)}
        )

    def _announce_change(self) -> None:
        self.incarnation += 1
        self.announce_self()
        self.due_at.gossip = self.now
