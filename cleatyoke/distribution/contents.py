"""Decoding of delivered entries into settings, and into nodes that drain or are gone.

The key ``settings`` holds the complete settings object; ``settings/NAME`` holds one member, which overrides
the same member of the complete object. A key ``nodes/ID`` holds a node in the format of discovery's lists.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from cleatyoke.distribution.errors import InvalidValueError
from cleatyoke.distribution.records import NO_VERSION, Entry, Lane, Version

SETTINGS_KEY = "settings"
SETTINGS_PREFIX = "settings/"
NODES_PREFIX = "nodes/"


class ListedNodes(NamedTuple):
    """Nodes in the format of discovery's lists, and the keys whose values can't be decoded."""

    values: list[Any]
    invalid_keys: list[str]


def lane_of(key: str) -> Lane:
    """Return the lane that a key's changes belong to."""
    return Lane.NODES if key.startswith(NODES_PREFIX) else Lane.SETTINGS


def decode_value(key: str, value: bytes) -> Any:
    """Decode a JSON value. Raises ``InvalidValueError``."""
    try:
        return json.loads(value)
    except (ValueError, RecursionError) as error:
        msg = f"{key}: no JSON: {error}"
        raise InvalidValueError(msg) from error


@dataclass(slots=True)
class DistributedSettings:
    """Settings entries as delivered, by key. ``version``: that of the newest entry."""

    entries: dict[str, Entry] = field(default_factory=dict)
    version: Version = NO_VERSION

    def with_entries(self, entries: Iterable[Entry]) -> DistributedSettings:
        """Return a copy of these settings with the entries applied."""
        changed = DistributedSettings(dict(self.entries), self.version)
        for entry in entries:
            changed.version = max(changed.version, entry.version)
            if entry.value is None:
                changed.entries.pop(entry.key, None)
            else:
                changed.entries[entry.key] = entry
        return changed

    def merged(self, base: dict[str, Any]) -> dict[str, Any]:
        """Return the settings object, built on ``base`` if no complete object was delivered.

        Raises ``InvalidValueError``.
        """
        values = {key: decode_value(key, entry.value or b"") for key, entry in self.entries.items()}
        settings = values.pop(SETTINGS_KEY, base)
        if not isinstance(settings, dict):
            msg = f"{SETTINGS_KEY}: want an object"
            raise InvalidValueError(msg)
        overrides = {key.removeprefix(SETTINGS_PREFIX): value for key, value in sorted(values.items())}
        return {**settings, **overrides}


def settings_entries(entries: Iterable[Entry]) -> list[Entry]:
    """Return the entries with settings keys, oldest first."""
    selected = [
        entry for entry in entries if entry.key == SETTINGS_KEY or entry.key.startswith(SETTINGS_PREFIX)
    ]
    return sorted(selected, key=lambda entry: entry.version)


def listed_nodes(entries: Iterable[Entry]) -> ListedNodes:
    """Return the nodes among the entries; removed keys are skipped."""
    values, invalid_keys = [], []
    for entry in entries:
        if not entry.key.startswith(NODES_PREFIX) or entry.value is None:
            continue
        try:
            values.append(decode_value(entry.key, entry.value))
        except InvalidValueError:
            invalid_keys.append(entry.key)
    return ListedNodes(values, invalid_keys)
