"""What one life believes of all others: their rumours, found by state, and which are still told on."""

from __future__ import annotations

import math

from cleatyoke.membership.interface import MembershipTiming
from cleatyoke.membership.member_records import HEARD_OF, MemberRecord, mark_of
from cleatyoke.membership.wire import MemberId, MemberState

ACCUSERS = 3  # independent ones by which a suspicion is as short as it gets


class MemberTable:
    def __init__(self, timing: MembershipTiming) -> None:
        self.timing = timing
        self.now = -math.inf
        self.lives: dict[MemberId, MemberRecord] = {}  # of others
        self.present: dict[MemberId, None] = {}  # of these, those that are alive or suspected ...
        self.doubted: dict[MemberId, MemberRecord] = {}  # ... those that are suspected ...
        self.looks: dict[
            MemberId, float
        ] = {}  # ... when each of these is pinged once more, by who suspects it ...
        self.departed: dict[MemberId, None] = {}  # ... those believed dead ...
        self.over: dict[MemberId, None] = {}  # ... and those that left, the first to leave first
        self.sum = 0  # of the marks of those that are there: the same where the same ones are
        self.news_at = -math.inf  # when something new was heard of anybody
        self.news: list[MemberId] = []  # of whom this step has brought something new
        self.queue: dict[MemberId, int] = {}  # whose latest rumours are still told, and how often they were

    def there(self) -> list[MemberId]:
        return list(self.present)

    def keep(self, life: MemberRecord) -> None:
        """Its rumour is new: told on from now, and found by its state."""
        id, state = life.rumour.id, life.rumour.state
        self.lives[id] = life
        self.queue[id] = 0
        self.news.append(id)
        self.news_at = self.now
        mark = mark_of(life.rumour) if state in HEARD_OF else 0
        self.sum ^= life.mark ^ mark
        life.mark = mark
        for kept, states in (
            (self.present, HEARD_OF),
            (self.departed, (MemberState.DEAD,)),
            (self.over, (MemberState.LEFT,)),
        ):
            if state in states:
                kept.setdefault(id)
            else:
                kept.pop(id, None)
        if state is MemberState.SUSPECT:
            if id not in self.doubted:
                self.looks[id] = self.now + self.timing.period
            self.doubted[id] = life
        else:
            self.doubted.pop(id, None)
            self.looks.pop(id, None)

    @staticmethod
    def accuses(life: MemberRecord, by: str) -> bool:
        """Whether this accuser is a further one that counts."""
        return by not in life.accusers and len(life.accusers) < ACCUSERS
