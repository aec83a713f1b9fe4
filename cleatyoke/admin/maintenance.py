"""Boxes held out of service by hand, and what an operator's call is owed. No input, output or clock."""

from __future__ import annotations

import json
from dataclasses import dataclass, field


@dataclass(slots=True)
class OperatorHolds:
    """Boxes by instance id that nothing is sent to until they are released. A hold is not counted: two calls
    to disable need one call back. A released box comes back as one started anew, so it is paced as cold.
    """

    held: dict[str, None] = field(default_factory=dict)
    released: dict[str, float] = field(default_factory=dict)  # id: when it was released, in Unix time

    def disable(self, name: str, known: bool) -> bool:
        """Whether the call is owed a yes: only an id that anybody listed can be held."""
        if not known and name not in self.held:
            return False
        self.held[name] = None
        return True

    def enable(self, name: str, known: bool, now: float) -> bool:
        if name in self.held:
            del self.held[name]
            self.released[name] = now
            return True
        return known

    def holds(self, name: str) -> bool:
        return name in self.held

    def started(self, name: str, started: float) -> float:
        """When the box counts as started: one that was released was restarted by its operators meanwhile."""
        return max(started, self.released.get(name, 0.0))

    def encode(self) -> str:
        return json.dumps({"held": list(self.held), "released": self.released})

    def adopt(self, text: str, now: float) -> tuple[list[str], list[str]]:
        """Take the holds that another process of this front wrote; returns the ids newly held and released.
        Text that cannot be read changes nothing.
        """
        try:
            values = json.loads(text)
            held = [str(name) for name in values["held"]]
            released = {str(name): float(when) for name, when in values["released"].items()}
        except (ValueError, KeyError, TypeError, AttributeError):
            return [], []
        taken = [name for name in held if name not in self.held]
        freed = [name for name in self.held if name not in held]
        self.held = dict.fromkeys(held)
        for name, when in released.items():
            self.released[name] = max(self.released.get(name, 0.0), when)
        for name in freed:
            self.released[name] = max(self.released.get(name, 0.0), now)
        return taken, freed


@dataclass(slots=True)
class FrontDrain:
    """A front that drains says no to ``GET /up``, ends each answer with its connection, keeps no idle one."""

    draining: bool = False

    def start(self) -> None:
        self.draining = True

    def resume(self) -> None:
        self.draining = False

    def says_up(self, ready: bool) -> bool:
        return ready and not self.draining
