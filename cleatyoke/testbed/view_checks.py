"""What the fronts say of their fleet, and the fleet's own rules, as a judge of a whole play sees them.

From the frame of the fleet: nobody who runs is called stopped, no count is under the true one, boot numbers
and counts only rise, and a while after the last trouble there is one view. No socket, no clock.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from cleatyoke.config.errors import ConfigError


@dataclass(slots=True)
class MembershipView:
    """A front's answer to ``show-fleet``."""

    name: str = ""
    boot: int = 0
    raised: int = 0  # its own count
    count: int = 0  # fronts that may be at work
    digest: str = ""
    lives: dict[tuple[str, int], tuple[str, str]] = field(default_factory=dict)  # name, boot: state, sure

    def alive(self) -> set[tuple[str, int]]:
        others = {life for life, (state, _) in self.lives.items() if state == "alive"}
        return others | {(self.name, self.boot)}


def read_view(lines: Collection[str]) -> MembershipView:
    """Raises ``BadConfig`` for a line that is none of it."""
    view = MembershipView()
    for line in lines:
        match line.split():
            case ["fleet.me", name, boot, raised, _, _]:
                view.name, view.boot, view.raised = name, int(boot), int(raised)
            case ["fleet.count", count]:
                view.count = int(count)
            case ["fleet.digest", digest]:
                view.digest = digest
            case ["fleet.life", name, boot, _, _, state, sure, _]:
                view.lives[name, int(boot)] = state, sure
            case ["EOT"]:
                pass
            case _:
                msg = f"show-fleet: {line!r}"
                raise ConfigError(msg)
    return view


@dataclass(slots=True)
class MembershipChecker:
    faults: list[str] = field(default_factory=list)
    lives: dict[str, tuple[int, int]] = field(default_factory=dict)  # front: highest boot and count told
    rounds: list[tuple[float, bool]] = field(default_factory=list)  # when, and whether there was one view
    ends: list[tuple[float, str]] = field(default_factory=list)  # when a trouble ended, and which

    def seen(self, at: float, views: Mapping[int, MembershipView | None]) -> None:
        """One round of asking everybody who ran before it and runs after it; None: no answer in time."""
        told = [view for view in views.values() if view is not None]
        up = {(view.name, view.boot) for view in told}
        for view in told:
            if view.count < len(views):
                self.faults.append(f"count: {view.name} counts {view.count} where {len(views)} run")
            for life in sorted(up & view.lives.keys()):
                if view.lives[life][1] == "certainly-stopped":
                    self.faults.append(f"stopped: {view.name} says so of {life[0]}, which runs")
            was = self.lives.get(view.name, (0, 0))
            if (view.boot, view.raised) < was:
                self.faults.append(f"back: {view.name} was {was} and says {(view.boot, view.raised)}")
            self.lives[view.name] = max(was, (view.boot, view.raised))
        one = len(told) == len(views) and len({view.digest for view in told}) == 1
        self.rounds.append((at, one and all(view.alive() == up for view in told)))

    def took(self) -> list[tuple[str, float | None]]:
        """Of each trouble, the seconds from its end to the first round of one view; None: there was none."""
        return [
            (kind, next((at - end for at, one in self.rounds if one and at >= end), None))
            for end, kind in self.ends
        ]

    def settled(self) -> bool:
        """Whether there has been one view since the last trouble."""
        last = max((end for end, _ in self.ends), default=0.0)
        return any(one for at, one in self.rounds if at >= last)

    def broken(self, within: float) -> list[str]:
        out = list(self.faults)
        if not self.settled():
            out.append(f"view: not one of all {within:g} s after the last trouble")
        return out
