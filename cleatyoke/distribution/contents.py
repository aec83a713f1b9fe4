"""What a front makes of the entries that it is handed: whole settings, and nodes that drain or are gone.

Settings come by the keys ``settings``, the whole of them, and ``settings/NAME``, one of their entries, which
wins. A key ``nodes/ID`` holds a node in the form of discovery's lists.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from cleatyoke.distribution.records import Entry, Lane, Version

WHOLE = "settings"
PART = "settings/"
NODE = "nodes/"


class InvalidValueError(ValueError):
    """A value that can't be read; the text begins with its key."""


def lane_of(key: str) -> Lane:
    return Lane.NODES if key.startswith(NODE) else Lane.SETTINGS


def read_value(key: str, value: bytes) -> Any:
    """A JSON value. Raises ``BadValue``."""
    try:
        return json.loads(value)
    except (ValueError, RecursionError) as error:
        msg = f"{key}: no JSON: {error}"
        raise InvalidValueError(msg) from error


@dataclass(slots=True)
class DistributedSettings:
    """The entries of the settings as they came. ``version``: of the newest."""

    entries: dict[str, Entry] = field(default_factory=dict)
    version: Version = field(default_factory=lambda: Version(0, 0))

    def with_entries(self, entries: Iterable[Entry]) -> DistributedSettings:
        """These settings as the entries change them."""
        changed = DistributedSettings(dict(self.entries), self.version)
        for entry in entries:
            changed.version = max(changed.version, entry.version)
            if entry.value is None:
                changed.entries.pop(entry.key, None)
            else:
                changed.entries[entry.key] = entry
        return changed

    def merged(self, base: dict[str, Any]) -> dict[str, Any]:
        """The settings object: ``base`` where the whole did not come. Raises ``BadValue``."""
        values = {key: read_value(key, entry.value or b"") for key, entry in self.entries.items()}
        settings = values.pop(WHOLE, base)
        if not isinstance(settings, dict):
            msg = f"{WHOLE}: want an object"
            raise InvalidValueError(msg)
        return {**settings, **{key.removeprefix(PART): value for key, value in sorted(values.items())}}


def settings_entries(entries: Iterable[Entry]) -> list[Entry]:
    """Those that are about settings, oldest first."""
    ours = [entry for entry in entries if entry.key == WHOLE or entry.key.startswith(PART)]
    return sorted(ours, key=lambda entry: entry.version)


def listed_nodes(entries: Iterable[Entry]) -> tuple[list[Any], list[str]]:
    """Of nodes: entries in the form of discovery's lists, and which keys can't be read."""
    found, bad = [], []
    for entry in entries:
        if not entry.key.startswith(NODE) or entry.value is None:
            continue
        try:
            found.append(read_value(entry.key, entry.value))
        except InvalidValueError:
            bad.append(entry.key)
    return found, bad
