"""What one life believes of all others: their rumours, found by state, and which are still told on."""

from __future__ import annotations

import math

from cleatyoke.membership.interface import MembershipTiming
from cleatyoke.membership.member_records import ACTIVE_STATES, MemberRecord, member_checksum
from cleatyoke.membership.wire import MemberId, MemberState

SUSPECTORS_FOR_SHORTEST = 3  # independent ones by which a suspicion is as short as it gets


class MemberTable:
    def __init__(self, timing: MembershipTiming) -> None:
        self.timing = timing
        self.now = -math.inf
        self.records: dict[MemberId, MemberRecord] = {}  # of others
        self.active_members: dict[MemberId, None] = {}  # of these, those that are alive or suspected ...
        self.suspected_members: dict[MemberId, MemberRecord] = {}  # ... those that are suspected ...
        self.recheck_at: dict[
            MemberId, float
        ] = {}  # ... when each of these is pinged once more, by who suspects it ...
        self.failed_members: dict[MemberId, None] = {}  # ... those believed dead ...
        self.left_members: dict[MemberId, None] = {}  # ... and those that left, the first to leave first
        self.active_checksum = 0  # of the marks of those that are there: the same where the same ones are
        self.last_change_at = -math.inf  # when something new was heard of anybody
        self.changed_ids: list[MemberId] = []  # of whom this step has brought something new
        self.transmit_counts: dict[
            MemberId, int
        ] = {}  # whose latest rumours are still told, and how often they were

    def active_ids(self) -> list[MemberId]:
        return list(self.active_members)

    def store_record(self, life: MemberRecord) -> None:
        """Its rumour is new: told on from now, and found by its state."""
        id, state = life.update.id, life.update.state
        self.records[id] = life
        self.transmit_counts[id] = 0
        self.changed_ids.append(id)
        self.last_change_at = self.now
        mark = member_checksum(life.update) if state in ACTIVE_STATES else 0
        self.active_checksum ^= life.checksum ^ mark
        life.checksum = mark
        for kept, states in (
            (self.active_members, ACTIVE_STATES),
            (self.failed_members, (MemberState.DEAD,)),
            (self.left_members, (MemberState.LEFT,)),
        ):
            if state in states:
                kept.setdefault(id)
            else:
                kept.pop(id, None)
        if state is MemberState.SUSPECT:
            if id not in self.suspected_members:
                self.recheck_at[id] = self.now + self.timing.probe_interval
            self.suspected_members[id] = life
        else:
            self.suspected_members.pop(id, None)
            self.recheck_at.pop(id, None)

    @staticmethod
    def is_new_suspector(life: MemberRecord, by: str) -> bool:
        """Whether this accuser is a further one that counts."""
        return by not in life.suspectors and len(life.suspectors) < SUSPECTORS_FOR_SHORTEST
