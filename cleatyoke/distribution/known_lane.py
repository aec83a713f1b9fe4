"""A subscriber's state of a lane: the versions of its keys, and how much of the lane is copied.

A lane is an independently versioned key space (settings or nodes). It is unrelated to ``Lanes`` in the
settings, which are request classes.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort

from cleatyoke.distribution.records import NO_VERSION, Entry, LaneChanges, Position, Version


class KnownLane:
    """Versions of the known keys of a lane, and the subscriber's position in it.

    ``compacted_up_to``: the server may have discarded tombstones with numbers up to this one.
    """

    def __init__(self) -> None:
        self.versions: dict[str, Version] = {}
        self.keys: list[str] = []  # sorted
        self.position = Position()
        self.compacted_up_to = 0

    def is_newer(self, entry: Entry) -> bool:
        """Whether the entry is newer than the known version of its key."""
        return entry.version > self.versions.get(entry.key, NO_VERSION)

    def apply(self, entry: Entry) -> bool:
        """Record an entry if it is newer than the known version of its key; return whether it was."""
        if not self.is_newer(entry):
            return False
        if entry.value is None:
            self.remove(entry.key)
        else:
            if entry.key not in self.versions:
                insort(self.keys, entry.key)
            self.versions[entry.key] = entry.version
        return True

    def remove(self, key: str) -> None:
        """Remove a key, if it is known."""
        if key in self.versions:
            del self.versions[key]
            del self.keys[bisect_left(self.keys, key)]

    def missing_in_page(self, changes: LaneChanges, at: Version) -> list[Entry]:
        """Return tombstones for the known keys in a page's range that the page does not list.

        These keys were removed, as a page lists all keys of its range as of ``at``. Keys with a change newer
        than ``at`` are not included.
        """
        assert changes.page_after is not None
        first = bisect_right(self.keys, changes.page_after) if changes.page_after else 0
        end = len(self.keys) if changes.page_to is None else bisect_right(self.keys, changes.page_to)
        named = {entry.key for entry in changes.page}
        return [
            Entry(key, at, None)
            for key in self.keys[first:end]
            if key not in named and self.versions[key] <= at
        ]
