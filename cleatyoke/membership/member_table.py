"""The members that are known, indexed by state, and the base of all layers of the membership."""

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
    """Records of all other members, by state."""

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
        self.records: dict[MemberId, MemberRecord] = {}  # of all other members; indexes of it:
        self.active_members: dict[MemberId, None] = {}  # alive or suspected
        self.suspected_members: dict[MemberId, MemberRecord] = {}
        self.recheck_at: dict[MemberId, float] = {}  # when each suspected member is pinged once more
        self.dead_members: dict[MemberId, None] = {}  # believed dead
        self.left_members: dict[MemberId, None] = {}  # the first that left first
        self.active_checksum = 0  # of the active members: the same where the same ones are
        self.probe_round: list[MemberId] = []  # who is probed in this round, the next one last
        self.last_change_at = -math.inf  # when something new was heard of anybody
        self.changed_ids: list[MemberId] = []  # members of which this step has brought something new
        self.transmit_counts: dict[MemberId, int] = {}  # updates that are still gossiped: times sent so far

    def active_ids(self) -> list[MemberId]:
        """Return the members that are alive or suspected, the first known first."""
        return list(self.active_members)

    def store_record(self, record: MemberRecord) -> None:
        """Store a record whose update is new: it is gossiped from now on, and found by its state."""
        member = record.update.id
        self.records[member] = record
        self.transmit_counts[member] = 0
        self.changed_ids.append(member)
        self.last_change_at = self.now
        self._sum_up(record)
        self._index_by_state(member, record.update.state)
        self._index_suspicion(record)

    def drop_expired_left_members(self) -> None:
        """Forget who left so long ago that nobody asks for it any more."""
        while self.left_members:
            first = next(iter(self.left_members))
            if self.now < self.records[first].state_since + self.timing.left_retention:
                return
            del self.left_members[first], self.records[first]
            self.transmit_counts.pop(first, None)

    def _sum_up(self, record: MemberRecord) -> None:
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
