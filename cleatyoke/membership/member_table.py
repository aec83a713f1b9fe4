"""Table of known members, indexed by state; the base class of all membership layers."""

from __future__ import annotations

import math
import random

from cleatyoke.membership.actions import MembershipAction
from cleatyoke.membership.member_records import (
    ACTIVE_STATES,
    MemberRecord,
    MembershipCounters,
    OwnIdentity,
    member_checksum,
)
from cleatyoke.membership.timing import DueTimes, MembershipTiming
from cleatyoke.membership.wire import MemberId, MemberState


class MemberTable:
    """Records of all other members, with an index per state."""

    def __init__(self, identity: OwnIdentity, rng: random.Random, timing: MembershipTiming) -> None:
        self.deployment = identity.deployment
        self.id = MemberId(identity.name, identity.boot)
        self.address = identity.address
        self.owns_address = identity.owns_address
        self.rng = rng
        self.timing = timing
        self.now = -math.inf
        self.has_started = False  # the first step has set the due times
        self.due_at = DueTimes()
        self.actions: list[MembershipAction] = []  # of the current step
        self.counters = MembershipCounters()
        self.records: dict[MemberId, MemberRecord] = {}  # all other members; the next five index it
        self.active_members: dict[MemberId, None] = {}  # alive or suspected
        self.suspected_members: dict[MemberId, MemberRecord] = {}
        self.recheck_at: dict[MemberId, float] = {}  # when each suspected member is pinged once more
        self.dead_members: dict[MemberId, None] = {}  # believed dead
        self.left_members: dict[MemberId, None] = {}  # in the order in which they left
        self.active_checksum = 0  # equal on members with the same active members
        self.probe_round: list[MemberId] = []  # members still to be probed in this round, the next one last
        self.last_change_at = -math.inf  # when a record or the replicated data last changed
        self.changed_ids: list[MemberId] = []  # members whose records this step has changed
        self.transmit_counts: dict[MemberId, int] = {}  # times sent, for each update that is still gossiped

    def active_ids(self) -> list[MemberId]:
        """Return the members that are alive or suspected, in the order in which they became active."""
        return list(self.active_members)

    def store_record(self, record: MemberRecord) -> None:
        """Store a record with a new update, start to gossip the update, and refresh the indexes."""
        member = record.update.id
        self.records[member] = record
        self.transmit_counts[member] = 0
        self.changed_ids.append(member)
        self.last_change_at = self.now
        self._update_active_checksum(record)
        self._index_by_state(member, record.update.state)
        self._index_suspicion(record)

    def drop_expired_left_members(self) -> None:
        """Remove members that left longer than ``left_retention`` ago."""
        while self.left_members:
            oldest = next(iter(self.left_members))
            if self.now < self.records[oldest].state_since + self.timing.left_retention:
                return
            del self.left_members[oldest], self.records[oldest]
            self.transmit_counts.pop(oldest, None)

    def _update_active_checksum(self, record: MemberRecord) -> None:
        is_active = record.update.state in ACTIVE_STATES
        checksum = member_checksum(record.update) if is_active else 0
        self.active_checksum ^= record.checksum ^ checksum
        record.checksum = checksum

    def _index_by_state(self, member: MemberId, state: MemberState) -> None:
        for index, states in (
            (self.active_members, ACTIVE_STATES),
            (self.dead_members, (MemberState.DEAD,)),
            (self.left_members, (MemberState.LEFT,)),
        ):
            if state in states:
                index.setdefault(member)
            else:
                index.pop(member, None)

    def _index_suspicion(self, record: MemberRecord) -> None:
        member = record.update.id
        if record.update.state is not MemberState.SUSPECT:
            self.suspected_members.pop(member, None)
            self.recheck_at.pop(member, None)
            return
        if member not in self.suspected_members:
            self.recheck_at[member] = self.now + self.timing.probe_interval
        self.suspected_members[member] = record
