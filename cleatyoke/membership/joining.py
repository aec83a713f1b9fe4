"""Joining and leaving the fleet, and announcing changes of this member's address or settings."""

from __future__ import annotations

import random
from collections.abc import Sequence

from cleatyoke.membership.anti_entropy import AntiEntropy
from cleatyoke.membership.member_records import OwnIdentity
from cleatyoke.membership.timing import MembershipTiming
from cleatyoke.membership.wire import Gossip

LEAVE_FANOUT = 8  # members that a leaving member notifies immediately


class Joining(AntiEntropy):
    """Joins through ``seeds``: addresses of members that are asked for the rest of the fleet."""

    def __init__(
        self, identity: OwnIdentity, seeds: Sequence[str], rng: random.Random, timing: MembershipTiming
    ) -> None:
        super().__init__(identity, rng, timing)
        self.seeds = list(seeds)

    def other_seeds(self) -> list[str]:
        """Return the seeds other than this member itself."""
        return [seed for seed in self.seeds if seed != self.address]

    def join(self) -> None:
        """Exchange full states with a seed at whose address no active member is known.

        Repeated indefinitely, at a longer interval once joined. Otherwise two groups that formed around two
        seeds, each of which was down when the other group's first member asked it, would never merge.
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
        """Begin to leave: notify several members at once, as the process may exit soon, then gossip it."""
        self.is_leaving = True
        self.transmit_counts = {self.id: 0}
        self.due_at.gossip = self.now
        active = self.active_ids()
        for member in self.rng.sample(active, min(LEAVE_FANOUT, len(active))):
            self.send(self.records[member].update.address, Gossip())
        self.transmit_counts = {self.id: 0}

    def change_address(self, address: str, *, owns_address: bool) -> None:
        """Set and announce the address at which others reach this member from now on."""
        self.address = address
        self.owns_address = owns_address
        self._announce_change()

    def announce_settings(self, checksum: int) -> None:
        """Announce the checksum of the settings this front runs with; the settings are never sent."""
        has_changed = checksum != self.settings_checksum
        self.settings_checksum = checksum
        if has_changed and self.has_started:  # others may have an earlier checksum
            self._announce_change()

    def fronts_with_other_settings(self) -> list[str]:
        """Return the names of active members whose settings differ from this member's.

        May be called from another thread.
        """
        updates = [
            self.records[member].update for member in list(self.active_members) if member in self.records
        ]
        return sorted(
            {
                update.id.name
                for update in updates
                if update.settings_checksum not in (0, self.settings_checksum)
            }
        )

    def _announce_change(self) -> None:
        self.incarnation += 1
        self.announce_self()
        self.due_at.gossip = self.now
