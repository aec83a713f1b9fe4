"""Store of the latest entry of each key of a lane, ordered by version (the log) and by key.

The log is coalesced: a key that changed ten times is in it once, so that a slow reader gets it once, and the
store grows with the number of keys and not of changes. Tombstones of removed keys are retained for a time, so
that readers that were disconnected get them; compaction then discards them.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from cleatyoke.distribution.records import MAX_ENTRIES_PER_LANE, Entry, Lane

TOMBSTONE_RETENTION = 7200.0  # seconds
MAX_TOMBSTONES = 50_000
MAX_STALE_SLOTS = 64  # the log is rebuilt when it has more stale slots than this plus one per key


class ChangeBatch(NamedTuple):
    """Entries in order of their numbers, and the number up to which they are complete."""

    entries: list[Entry]
    up_to: int


class Page(NamedTuple):
    """Entries in order of their keys, and the key up to which they are complete; None at the end."""

    entries: list[Entry]
    up_to: str | None


class LaneStore:
    """The entries of one lane.

    ``last_number``: the highest known change number. ``compacted_up_to``: tombstones with numbers up to this
    one may have been discarded, so a reader with a lower position has to copy the lane by pages.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}  # including tombstones
        self.keys: list[str] = []  # sorted
        self.log_numbers: list[int] = []  # sorted ...
        self.log_keys: list[str] = []  # ... and their keys; a slot is stale where the key has changed since
        self.tombstones: deque[tuple[float, Entry]] = deque()  # with the time of removal, oldest first
        self.last_number = 0
        self.compacted_up_to = 0

    def put(self, now: float, entry: Entry) -> bool:
        """Store an entry if it is newer than all others of its lane; return whether it was."""
        number = entry.version.number
        if number <= self.last_number:
            return False
        self._insert(now, entry)
        slot = bisect_right(self.log_numbers, number)  # the end, unless a loaded copy had newer entries
        self.log_numbers.insert(slot, number)
        self.log_keys.insert(slot, entry.key)
        self.last_number = number
        if len(self.log_keys) > 2 * len(self.entries) + MAX_STALE_SLOTS:
            self._rebuild_log()
        return True

    def load(self, now: float, entries: Iterable[Entry], last_number: int, compacted_up_to: int) -> None:
        """Store a complete copy, with entries in any order."""
        for entry in entries:
            self._insert(now, entry)
        self.last_number = last_number
        self.compacted_up_to = max(self.compacted_up_to, compacted_up_to)
        self._rebuild_log()

    def changes_since(self, since: int, max_bytes: int) -> ChangeBatch:
        """Return entries with numbers above ``since``: at most ``max_bytes``, but at least one entry."""
        selected: list[Entry] = []
        size = 0
        for slot in range(bisect_right(self.log_numbers, since), len(self.log_numbers)):
            entry = self.entries.get(self.log_keys[slot])
            if entry is None or entry.version.number != self.log_numbers[slot]:
                continue  # stale: the key has changed since, or its tombstone was discarded
            size += entry.wire_size()
            if selected and (size > max_bytes or len(selected) >= MAX_ENTRIES_PER_LANE):
                return ChangeBatch(selected, selected[-1].version.number)
            selected.append(entry)
        return ChangeBatch(selected, self.last_number)

    def page_after(self, after: str, max_bytes: int, *, with_tombstones: bool) -> Page:
        """Return entries with keys after ``after``: at most ``max_bytes``, but at least one entry."""
        selected: list[Entry] = []
        size = 0
        for index in range(bisect_right(self.keys, after) if after else 0, len(self.keys)):
            entry = self.entries[self.keys[index]]
            if entry.value is None and not with_tombstones:
                continue
            size += entry.wire_size()
            if selected and (size > max_bytes or len(selected) >= MAX_ENTRIES_PER_LANE):
                return Page(selected, selected[-1].key)
            selected.append(entry)
        return Page(selected, None)

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
        """Discard tombstones that are too old or too many, so that removals don't use unbounded memory."""
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
    """The lanes of one epoch of the source."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.lanes = {lane: LaneStore() for lane in Lane}
