"""The latest entry of each key of a lane, in the order of versions (the log) and in the order of keys.

A key that changed ten times stands in the log once, so that a slow reader gets it once, and the store grows
with the keys and not with the changes. Tombstones of removed keys are retained for a while, as a reader that
was away has to learn of them; then compaction discards them.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from cleatyoke.distribution.records import MAX_ENTRIES_PER_LANE, Entry, Lane

TOMBSTONE_RETENTION = 7200.0  # seconds
MAX_TOMBSTONES = 50_000
MAX_STALE_SLOTS = 64  # of the log until it is rebuilt, in addition to as many as there are keys


class ChangeBatch(NamedTuple):
    """Entries in the order of their numbers, and the number up to which these are all changes."""

    entries: list[Entry]
    up_to: int


class Page(NamedTuple):
    """Entries in the order of their keys, and the key up to which these are all; None at the end."""

    entries: list[Entry]
    up_to: str | None


class LaneStore:
    """The entries of one lane.

    ``last_number``: the highest number that is known. ``compacted_up_to``: up to this number, tombstones may
    have been discarded, so that a reader from before it needs pages.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}  # tombstones too
        self.keys: list[str] = []  # in order
        self.log_numbers: list[int] = []  # in order ...
        self.log_keys: list[str] = []  # ... and their keys; a slot is stale where the key has changed since
        self.tombstones: deque[tuple[float, Entry]] = deque()  # with the times of their removal
        self.last_number = 0
        self.compacted_up_to = 0

    def put(self, now: float, entry: Entry) -> bool:
        """Store an entry that is newer than all others of its lane; False, and no change, if it is not."""
        number = entry.version.number
        if number <= self.last_number:
            return False
        self._insert(now, entry)
        slot = bisect_right(self.log_numbers, number)  # the end, unless a copy had newer entries already
        self.log_numbers.insert(slot, number)
        self.log_keys.insert(slot, entry.key)
        self.last_number = number
        if len(self.log_keys) > 2 * len(self.entries) + MAX_STALE_SLOTS:
            self._rebuild_log()
        return True

    def load(self, now: float, entries: Iterable[Entry], last_number: int, compacted_up_to: int) -> None:
        """Store a complete copy, in any order."""
        for entry in entries:
            self._insert(now, entry)
        self.last_number = last_number
        self.compacted_up_to = max(self.compacted_up_to, compacted_up_to)
        self._rebuild_log()

    def changes_since(self, since: int, max_bytes: int) -> ChangeBatch:
        """Return the entries with numbers over ``since``, within so many bytes but at least one."""
        found: list[Entry] = []
        size = 0
        for slot in range(bisect_right(self.log_numbers, since), len(self.log_numbers)):
            entry = self.entries.get(self.log_keys[slot])
            if entry is None or entry.version.number != self.log_numbers[slot]:
                continue  # stale: the key has changed since, or its tombstone is discarded
            size += entry.wire_size()
            if found and (size > max_bytes or len(found) >= MAX_ENTRIES_PER_LANE):
                return ChangeBatch(found, found[-1].version.number)
            found.append(entry)
        return ChangeBatch(found, self.last_number)

    def page_after(self, after: str, max_bytes: int, *, with_tombstones: bool) -> Page:
        """Return the entries of the keys over ``after``, within so many bytes but at least one."""
        found: list[Entry] = []
        size = 0
        for place in range(bisect_right(self.keys, after) if after else 0, len(self.keys)):
            entry = self.entries[self.keys[place]]
            if entry.value is None and not with_tombstones:
                continue
            size += entry.wire_size()
            if found and (size > max_bytes or len(found) >= MAX_ENTRIES_PER_LANE):
                return Page(found, found[-1].key)
            found.append(entry)
        return Page(found, None)

    def _insert(self, now: float, entry: Entry) -> None:
        if entry.key not in self.entries:
            insort(self.keys, entry.key)
        self.entries[entry.key] = entry
        if entry.value is None:
            self.tombstones.append((now, entry))
            self._compact(now)

    def _rebuild_log(self) -> None:
        ordered = sorted((entry.version.number, key) for key, entry in self.entries.items())
        self.log_numbers = [number for number, _ in ordered]
        self.log_keys = [key for _, key in ordered]

    def _compact(self, now: float) -> None:
        """Discard tombstones that are old or too many, so that a long life of removals fills no memory."""
        while self.tombstones:
            removed_at, entry = self.tombstones[0]
            if now - removed_at <= TOMBSTONE_RETENTION and len(self.tombstones) <= MAX_TOMBSTONES:
                return
            self.tombstones.popleft()
            if self.entries.get(entry.key) is entry:
                del self.entries[entry.key]
                del self.keys[bisect_right(self.keys, entry.key) - 1]
                self.compacted_up_to = max(self.compacted_up_to, entry.version.number)


class ChangeStore:
    """All lanes of one epoch of the source."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.lanes = {lane: LaneStore() for lane in Lane}
