"""Merging of updates into the member table, refutation of updates about this member, and local health."""

from __future__ import annotations

import random

from cleatyoke.membership.actions import ChangeKind, MembershipChanged
from cleatyoke.membership.member_records import ACTIVE_STATES, MemberRecord, OwnIdentity, with_state
from cleatyoke.membership.merge_rules import precedence
from cleatyoke.membership.suspicion import Suspicion
from cleatyoke.membership.timing import MembershipTiming
from cleatyoke.membership.wire import MemberId, MemberState, Update

MAX_HEALTH_SCORE = 8  # at this score, probe intervals and timeouts are nine times as long
CHANGE_BY_STATE = {
    MemberState.ALIVE: ChangeKind.RETURNED,
    MemberState.SUSPECT: ChangeKind.SUSPECTED,
    MemberState.DEAD: ChangeKind.DEAD,
    MemberState.LEFT: ChangeKind.LEFT,
}


class UpdateMerging(Suspicion):
    """Merges updates; raises this member's incarnation or boot number if others have a wrong view of it."""

    def __init__(self, identity: OwnIdentity, rng: random.Random, timing: MembershipTiming) -> None:
        super().__init__(identity, rng, timing)
        self.health_score = 0  # Lifeguard's local health multiplier: 0 is healthy, more means longer timeouts

    def merge_update(self, update: Update) -> None:
        """Merge one update, and gossip it if it is new."""
        if update.id == self.id:
            self.refute(update)
            return
        record = self.records.get(update.id)
        if record is None:
            self._add_member(update)
            return
        current = record.update
        if update.incarnation < current.incarnation and update.state is not MemberState.LEFT:
            return  # outdated: by far the most frequent case
        if precedence(update) > precedence(current):
            self.apply_update(record, current, update)
        elif (
            precedence(update) == precedence(current)
            and update.state is MemberState.SUSPECT
            and self.is_new_suspector(record, update.suspected_by)
        ):
            record.suspectors.add(update.suspected_by)  # gossiped, as it shortens the suspicion timeout
            record.update = update
            self.store_record(record)

    def apply_update(self, record: MemberRecord, current: Update, update: Update) -> None:
        """Replace the current update of a known member by one of higher precedence."""
        record.update = update
        self.store_record(record)
        if update.state is MemberState.SUSPECT and current.state is MemberState.SUSPECT:
            record.suspectors = {update.suspected_by}
            record.state_since = self.now
            return
        if update.state is current.state:
            return
        record.state_since = self.now
        record.suspectors = {update.suspected_by} if update.state is MemberState.SUSPECT else set()
        if current.state is MemberState.DEAD and update.state in ACTIVE_STATES:
            self.counters.false_deaths += 1
        if update.state in ACTIVE_STATES and current.state not in ACTIVE_STATES:
            self._add_to_probe_round(update.id)
        change = CHANGE_BY_STATE[update.state]
        self.actions.append(MembershipChanged(change, update.id, update.suspected_by))

    def refute(self, update: Update) -> None:
        """Refute an update about this member that is not current, by taking a higher incarnation.

        An incarnation that this process never used belongs to an earlier process whose state was lost; it is
        exceeded too.
        """
        if self.is_leaving:
            return
        if update.state is MemberState.ALIVE and update.incarnation <= self.incarnation:
            return
        if update.state is MemberState.LEFT:  # of an earlier process with this boot number; a leave is final
            self.adopt_higher_boot(self.id.boot)
            return
        if update.incarnation >= self.incarnation:
            self.incarnation = update.incarnation + 1
            self.announce_self()
            self.counters.refutations += 1
            self.worsen_health(1)

    def adopt_higher_boot(self, boot: int) -> None:
        """Take a boot number above ``boot``, which another process of the same name has used.

        Otherwise this process would be mistaken for an earlier one that has ended, for example after its disk
        was replaced by an old copy, and its messages would be ignored forever. The old number is announced as
        having left.
        """
        left = Update(self.id, self.address, MemberState.LEFT, self.incarnation, self.owns_address)
        self.store_record(MemberRecord(left, self.now))
        self.id = MemberId(self.id.name, boot + 1)
        self.incarnation = 0
        self.announce_self()
        self.actions.append(MembershipChanged(ChangeKind.BOOT_NUMBER_RAISED, self.id))

    def declare_expired_suspects_dead(self) -> None:
        """Declare suspected members dead that have not refuted in time."""
        for record in list(self.suspected_members.values()):
            if self.now >= self.suspicion_deadline(record):
                self.counters.deaths += 1
                self.merge_update(with_state(record.update, MemberState.DEAD))

    def worsen_health(self, by: int) -> None:
        """Raise the health score: this member missed messages, so it may itself be slow or partitioned."""
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + by)

    def improve_health(self) -> None:
        """Lower the health score after an answer came in time."""
        self.health_score = max(0, self.health_score - 1)

    def _add_member(self, update: Update) -> None:
        record = MemberRecord(update, self.now)
        self.store_record(record)
        if update.state is MemberState.SUSPECT:
            record.suspectors.add(update.suspected_by)
        if update.state in ACTIVE_STATES:
            self.actions.append(MembershipChanged(ChangeKind.JOINED, update.id, update.suspected_by))
            self._add_to_probe_round(update.id)

    def _add_to_probe_round(self, member: MemberId) -> None:
        self.probe_round.insert(self.rng.randrange(len(self.probe_round) + 1), member)
