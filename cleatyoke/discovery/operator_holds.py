"""Nodes that operators take out of service manually. No I/O and no clock."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import NamedTuple


class HoldChanges(NamedTuple):
    """Names of nodes whose hold has changed."""

    held: list[str]
    released: list[str]


@dataclass(slots=True)
class OperatorHolds:
    """Nodes, by instance id, that receive no requests until they are released.

    Holds are not counted: one release ends any number of holds. A released node counts as restarted and goes
    through slow start, as operators restart nodes while these are held.
    """

    held: dict[str, None] = field(default_factory=dict)  # in the order in which they were held
    released: dict[str, float] = field(default_factory=dict)  # Unix time of the latest release, by name

    def disable(self, name: str, known: bool) -> bool:
        """Hold a node. Return False, and do nothing, if the id was never listed."""
        if not known and name not in self.held:
            return False
        self.held[name] = None
        return True

    def enable(self, name: str, known: bool, now: float) -> bool:
        """Release a node at Unix time ``now``. Return whether the id is known."""
        if name in self.held:
            del self.held[name]
            self.released[name] = now
            return True
        return known

    def is_held(self, name: str) -> bool:
        """Whether the node is held."""
        return name in self.held

    def effective_start(self, name: str, started: float) -> float:
        """Return the Unix time from which slow start counts: the node's start, or a later release."""
        return max(started, self.released.get(name, 0.0))

    def encode(self) -> str:
        """Return the contents of the hold file: JSON ``{"held": [ID], "released": {ID: TIME}}``."""
        return json.dumps({"held": list(self.held), "released": self.released})

    def merge(self, text: str, now: float) -> HoldChanges:
        """Apply a hold file written by another process of this front. Return the changes.

        Malformed text changes nothing.
        """
        try:
            values = json.loads(text)
            held = [str(name) for name in values["held"]]
            released = {str(name): float(when) for name, when in values["released"].items()}
        except (ValueError, OverflowError, KeyError, TypeError, AttributeError):
            return HoldChanges([], [])
        newly_held = [name for name in held if name not in self.held]
        newly_released = [name for name in self.held if name not in held]
        self.held = dict.fromkeys(held)
        for name, when in released.items():
            self.released[name] = max(self.released.get(name, 0.0), when)
        for name in newly_released:
            self.released[name] = max(self.released.get(name, 0.0), now)
        return HoldChanges(newly_held, newly_released)
