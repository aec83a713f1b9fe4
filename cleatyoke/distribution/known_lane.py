"""What a subscriber knows of a lane: the versions of its keys, and how far its copy goes.

A lane is an independently versioned key space (settings, nodes), not one of the settings page's ``Lanes``,
which are request classes.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort

from cleatyoke.distribution.records import NO_VERSION, Entry, LaneChanges, Position, Version


class KnownLane:
    """Versions of the known keys of a lane.

    ``compacted_up_to``: up to this number the server may have discarded tombstones.
    """

    def __init__(self) -> None:
        self.versions: dict[str, Version] = {}
        self.keys: list[str] = []  # in order
        self.position = Position()
        self.compacted_up_to = 0

    def is_newer(self, entry: Entry) -> bool:
        """Whether the entry is newer than what is known of its key."""
        return entry.version > self.versions.get(entry.key, NO_VERSION)

    def apply(self, entry: Entry) -> bool:
        """Record an entry if it is newer than what is known; whether it was."""
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
        """Return tombstones of the known keys in a page's range that the page does not name.

        They were removed: a page names all keys of its range as of ``at``. Keys that are known from a newer
        change are left alone.
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
