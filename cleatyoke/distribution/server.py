"""The answer to a poll, from a store: what a source and a relay do alike. Nothing is kept for a subscriber
but when it last asked, by which a relay bounds how many it takes.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cleatyoke.distribution.records import FORM, Lane, LaneChanges, Poll, Position, Refusal, Reply
from cleatyoke.distribution.store import ChangeStore, LaneStore

LEAVES = 15.0  # seconds after its last poll in which a subscriber counts as one


@dataclass(slots=True)
class PollAdmission:
    """Who may ask: a subscriber that is known, or one more while there is room."""

    most: int
    seen: dict[str, float] = field(default_factory=dict)  # subscriber: when it last asked, the latest last

    def takes(self, now: float, subscriber: str) -> bool:
        while self.seen and now - next(iter(self.seen.values())) > LEAVES:
            del self.seen[next(iter(self.seen))]
        known = self.seen.pop(subscriber, None) is not None
        if not known and len(self.seen) >= self.most:
            return False
        self.seen[subscriber] = now
        return True


def refuse(poll: Poll, source: str, epoch: int, refusal: Refusal) -> Reply:
    return Reply(poll.deployment, FORM, poll.number, source, epoch, 0.0, refusal)


def answer(poll: Poll, source: str, store: ChangeStore, age: float) -> Reply:
    """``age``: of the store, in seconds. Changes go before pages, and nodes before settings, but for pages:
    those of the settings are few.
    """
    if poll.epoch > store.epoch:
        return refuse(poll, source, store.epoch, Refusal.OLDER)
    same = poll.epoch == store.epoch
    if same and any(poll.positions[lane].number > store.lanes[lane].last for lane in Lane):
        return refuse(poll, source, store.epoch, Refusal.BEHIND)
    room, parts = poll.most, {}
    for lane in Lane:
        part = changes_of(store.lanes[lane], poll.positions[lane], same, room)
        room -= sum(entry.size() for entry in part.changes)
        parts[lane] = part
    more = any(part.last < store.lanes[lane].last for lane, part in parts.items())
    for lane in reversed(Lane):
        after = "" if parts[lane].restart else poll.positions[lane].after
        if after is None:
            continue
        if room <= 0:
            more = True
            continue
        page, to = store.lanes[lane].page(after, room, poll.removals)
        room -= sum(entry.size() for entry in page)
        more = more or to is not None
        old = parts[lane]
        parts[lane] = LaneChanges(old.first, old.last, old.floor, old.changes, old.restart, after, to, page)
    ordered = [parts[lane] for lane in Lane]
    return Reply(poll.deployment, FORM, poll.number, source, store.epoch, age, Refusal.NONE, ordered, more)


def changes_of(store: LaneStore, position: Position, same: bool, room: int) -> LaneChanges:
    """A position of another epoch, or from before what is remembered, is of no use: the lane begins anew, by
    pages, and with the changes from now on.
    """
    if not same or position.number < store.floor:
        return LaneChanges(store.last, store.last, store.floor, restart=True)
    if room <= 0:
        return LaneChanges(position.number, position.number, store.floor)
    changes, last = store.changes(position.number, room)
    return LaneChanges(position.number, last, store.floor, changes)
