"""The membership views that fronts report, and the rules on them over a whole run. No socket, no clock.

No front that runs is called stopped, no count of fronts is under the true one, boot numbers and incarnations
only rise, and some time after the last fault all fronts have one view.
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
    incarnation: int = 0
    count: int = 0  # fronts that may be running
    digest: str = ""
    lives: dict[tuple[str, int], tuple[str, str]] = field(
        default_factory=dict
    )  # by name and boot number: state, certainty

    def alive(self) -> set[tuple[str, int]]:
        """Return name and boot number of each process that it takes for running, itself included."""
        others = {process for process, (state, _) in self.lives.items() if state == "alive"}
        return others | {(self.name, self.boot)}


def read_view(lines: Collection[str]) -> MembershipView:
    """Read the lines of an answer. Raises ``ConfigError`` for a line that does not belong to one."""
    view = MembershipView()
    for line in lines:
        match line.split():
            case ["fleet.me", name, boot, incarnation, _, _]:
                view.name, view.boot, view.incarnation = name, int(boot), int(incarnation)
            case ["fleet.count", count]:
                view.count = int(count)
            case ["fleet.digest", digest]:
                view.digest = digest
            case ["fleet.life", name, boot, _, _, state, certainty, _]:
                view.lives[name, int(boot)] = state, certainty
            case ["EOT"]:
                pass
            case _:
                msg = f"show-fleet: {line!r}"
                raise ConfigError(msg)
    return view


@dataclass(slots=True)
class MembershipChecker:
    """Collects the views of a run, round by round, and names the rules that they break."""

    faults: list[str] = field(default_factory=list)
    highest: dict[str, tuple[int, int]] = field(default_factory=dict)  # by front: boot number, incarnation
    rounds: list[tuple[float, bool]] = field(default_factory=list)  # when, and whether there was one view
    ends: list[tuple[float, str]] = field(default_factory=list)  # when a fault ended, and its kind

    def seen(self, at: float, views: Mapping[int, MembershipView | None]) -> None:
        """Take one round of views, of every front that ran all through it; None: no answer in time."""
        answers = [view for view in views.values() if view is not None]
        running = {(view.name, view.boot) for view in answers}
        for view in answers:
            if view.count < len(views):
                self.faults.append(f"count: {view.name} counts {view.count} where {len(views)} run")
            for process in sorted(running & view.lives.keys()):
                if view.lives[process][1] == "certainly-stopped":
                    self.faults.append(f"stopped: {view.name} says so of {process[0]}, which runs")
            before = self.highest.get(view.name, (0, 0))
            now = view.boot, view.incarnation
            if now < before:
                self.faults.append(f"back: {view.name} was {before} and says {now}")
            self.highest[view.name] = max(before, now)
        is_one = len(answers) == len(views) and len({view.digest for view in answers}) == 1
        self.rounds.append((at, is_one and all(view.alive() == running for view in answers)))

    def took(self) -> list[tuple[str, float | None]]:
        """Return each fault's kind, and the seconds from its end to the first round of one view, if any."""
        return [
            (kind, next((at - end for at, is_one in self.rounds if is_one and at >= end), None))
            for end, kind in self.ends
        ]

    def settled(self) -> bool:
        """Whether there has been one view since the last fault."""
        last = max((end for end, _ in self.ends), default=0.0)
        return any(is_one for at, is_one in self.rounds if at >= last)

    def broken(self, within: float) -> list[str]:
        """Return each violation as a line; ``within``: seconds in which there had to be one view."""
        out = list(self.faults)
        if not self.settled():
            out.append(f"view: not one of all {within:g} s after the last fault")
        return out
