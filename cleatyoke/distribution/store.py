"""The latest entry of each key of a lane, in the order of their versions and in the order of their keys.

A key that changed ten times stands once in the log, so that a slow reader gets it once, and the store grows
with the keys and not with the changes. Keys that are gone are kept for a while, as a reader that was away has
to hear of them; ``floor`` says up to which number some may be forgotten.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import deque
from collections.abc import Iterable

from cleatyoke.distribution.records import MOST_ENTRIES, Entry, Lane

KEEP = 7200.0  # seconds for which a key that is gone is remembered
MOST_REMOVED = 50_000  # keys that are gone and remembered
SLACK = 64  # places of the log that may be void before it is written anew, beside as many as there are keys


class LaneStore:
    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}  # those that are gone too
        self.keys: list[str] = []  # in order
        self.numbers: list[int] = []  # the log: numbers in order ...
        self.logged: list[str] = []  # ... and their keys; void where the key has changed since
        self.removed: deque[tuple[float, Entry]] = deque()  # when, what
        self.last = 0  # the highest number that is known
        self.floor = 0

    def put(self, now: float, entry: Entry) -> bool:
        """Take an entry that is newer than all others of its lane; False where it is not, and changes
        nothing.
        """
        number = entry.version.number
        if number <= self.last:
            return False
        self.insert(now, entry)
        place = bisect_right(self.numbers, number)  # the end, but where a copy held newer entries already
        self.numbers.insert(place, number)
        self.logged.insert(place, entry.key)
        self.last = number
        if len(self.logged) > 2 * len(self.entries) + SLACK:
            self.write_log()
        return True

    def insert(self, now: float, entry: Entry) -> None:
        if entry.key not in self.entries:
            insort(self.keys, entry.key)
        self.entries[entry.key] = entry
        if entry.value is None:
            self.removed.append((now, entry))
            self.forget(now)

    def load(self, now: float, entries: Iterable[Entry], last: int, floor: int) -> None:
        """Take a whole copy, in any order."""
        for entry in entries:
            self.insert(now, entry)
        self.last, self.floor = last, max(self.floor, floor)
        self.write_log()

    def write_log(self) -> None:
        ordered = sorted((entry.version.number, key) for key, entry in self.entries.items())
        self.numbers = [number for number, _ in ordered]
        self.logged = [key for _, key in ordered]

    def forget(self, now: float) -> None:
        """Compaction: of keys that are gone for long, or are too many, nothing is left."""
        while self.removed and (now - self.removed[0][0] > KEEP or len(self.removed) > MOST_REMOVED):
            _, entry = self.removed.popleft()
            if self.entries.get(entry.key) is entry:
                del self.entries[entry.key]
                del self.keys[bisect_right(self.keys, entry.key) - 1]
                self.floor = max(self.floor, entry.version.number)

    def changes(self, since: int, most: int) -> tuple[list[Entry], int]:
        """The entries with numbers over ``since``, oldest first, within so many bytes but one at the least;
        and up to which number these are all.
        """
        out: list[Entry] = []
        size = 0
        for place in range(bisect_right(self.numbers, since), len(self.numbers)):
            entry = self.entries.get(self.logged[place])
            if entry is None or entry.version.number != self.numbers[place]:
                continue  # the key has changed since, or is forgotten
            size += entry.size()
            if out and (size > most or len(out) >= MOST_ENTRIES):
                return out, out[-1].version.number
            out.append(entry)
        return out, self.last

    def page(self, after: str, most: int, removals: bool) -> tuple[list[Entry], str | None]:
        """The entries of the keys over ``after``, within so many bytes but one at the least; and up to which
        key these are all, or None at the end.
        """
        out: list[Entry] = []
        size = 0
        for place in range(bisect_right(self.keys, after) if after else 0, len(self.keys)):
            entry = self.entries[self.keys[place]]
            if entry.value is None and not removals:
                continue
            size += entry.size()
            if out and (size > most or len(out) >= MOST_ENTRIES):
                return out, out[-1].key
            out.append(entry)
        return out, None


class ChangeStore:
    """All lanes of one epoch."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.lanes = {lane: LaneStore() for lane in Lane}

    @property
    def last(self) -> int:
        return max(lane.last for lane in self.lanes.values())
