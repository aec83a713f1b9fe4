"""Replies to polls from a store, for both sources and relays.

The only state of a subscriber is when it last polled, which is used to limit the number of subscribers.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cleatyoke.distribution.records import (
    FORMAT_VERSION,
    Entry,
    Lane,
    LaneChanges,
    Poll,
    Position,
    Rejection,
    Reply,
)
from cleatyoke.distribution.store import ChangeStore, LaneStore

SUBSCRIBER_TIMEOUT = 15.0  # seconds after its last poll until a subscriber no longer counts


@dataclass(slots=True)
class PollAdmission:
    """Limits the subscribers of a relay, so that it is not overloaded by those of relays that have failed.

    A known subscriber is always admitted. ``last_polled_at``: time by subscriber, in ascending order.
    """

    max_subscribers: int
    last_polled_at: dict[str, float] = field(default_factory=dict)

    def admit(self, now: float, subscriber: str) -> bool:
        """Return whether the subscriber's poll may be answered, and record the poll if so."""
        while self.last_polled_at and now - next(iter(self.last_polled_at.values())) > SUBSCRIBER_TIMEOUT:
            del self.last_polled_at[next(iter(self.last_polled_at))]
        is_known = self.last_polled_at.pop(subscriber, None) is not None
        if not is_known and len(self.last_polled_at) >= self.max_subscribers:
            return False
        self.last_polled_at[subscriber] = now
        return True


def reject_poll(poll: Poll, source: str, epoch: int, rejection: Rejection) -> Reply:
    """Return the reply that rejects a poll."""
    return Reply(poll.deployment, FORMAT_VERSION, poll.poll_id, source, epoch, 0.0, rejection)


def answer_poll(poll: Poll, source: str, store: ChangeStore, age: float) -> Reply:
    """Return the reply to a poll. ``age``: seconds since the store is known to have been up to date.

    Changes come before pages, and changes of nodes before those of settings. Of the pages, those of settings
    come first, as they are few.
    """
    if poll.epoch > store.epoch:
        return reject_poll(poll, source, store.epoch, Rejection.OLDER_EPOCH)
    is_same_epoch = poll.epoch == store.epoch
    if is_same_epoch and any(poll.positions[lane].number > store.lanes[lane].last_number for lane in Lane):
        return reject_poll(poll, source, store.epoch, Rejection.BEHIND)
    remaining = poll.max_bytes
    lanes: dict[Lane, LaneChanges] = {}
    for lane in Lane:
        lanes[lane] = _lane_changes(
            store.lanes[lane], poll.positions[lane], remaining, is_same_epoch=is_same_epoch
        )
        remaining -= _wire_size(lanes[lane].changes)
    has_more = any(changes.up_to < store.lanes[lane].last_number for lane, changes in lanes.items())
    for lane in reversed(Lane):
        cursor = "" if lanes[lane].restarts else poll.positions[lane].cursor
        if cursor is None:
            continue
        if remaining <= 0:
            has_more = True
            continue
        page = store.lanes[lane].page_after(cursor, remaining, with_tombstones=poll.wants_tombstones)
        remaining -= _wire_size(page.entries)
        has_more = has_more or page.up_to is not None
        lanes[lane] = _with_page(lanes[lane], cursor, page.up_to, page.entries)
    ordered = [lanes[lane] for lane in Lane]
    return Reply(
        poll.deployment,
        FORMAT_VERSION,
        poll.poll_id,
        source,
        store.epoch,
        age,
        Rejection.NONE,
        ordered,
        has_more,
    )


def _wire_size(entries: list[Entry]) -> int:
    return sum(entry.wire_size() for entry in entries)


def _with_page(changes: LaneChanges, after: str, to: str | None, page: list[Entry]) -> LaneChanges:
    return LaneChanges(
        changes.since,
        changes.up_to,
        changes.compacted_up_to,
        changes.changes,
        changes.restarts,
        after,
        to,
        page,
    )


def _lane_changes(
    store: LaneStore, position: Position, remaining_bytes: int, *, is_same_epoch: bool
) -> LaneChanges:
    """Return a lane's changes after a subscriber's position.

    A position of another epoch, or from before the compaction, can't be continued: the lane is then copied
    again by pages, with the changes from now on.
    """
    if not is_same_epoch or position.number < store.compacted_up_to:
        return LaneChanges(store.last_number, store.last_number, store.compacted_up_to, restarts=True)
    if remaining_bytes <= 0:
        return LaneChanges(position.number, position.number, store.compacted_up_to)
    batch = store.changes_since(position.number, remaining_bytes)
    return LaneChanges(position.number, batch.up_to, store.compacted_up_to, batch.entries)
