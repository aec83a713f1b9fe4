"""The membership views that fronts report, and the rules on them over a whole run. No socket, no clock.

No running front is reported as certainly stopped, no reported count of fronts is below the actual one, boot
numbers and incarnations never decrease, and within a time after the last fault all views agree.
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
        """Return name and boot number of each process that the front considers alive, itself included."""
        others = {process for process, (state, _) in self.lives.items() if state == "alive"}
        return others | {(self.name, self.boot)}


def read_view(lines: Collection[str]) -> MembershipView:
    """Parse the lines of an answer. Raises ``ConfigError`` for a malformed line."""
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
                msg = f"show-fleet: malformed line {line!r}"
                raise ConfigError(msg)
    return view


@dataclass(slots=True)
class MembershipChecker:
    """Collects the views of a run, poll by poll, and reports the rules that they break."""

    violations: list[str] = field(default_factory=list)
    max_incarnations: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # by front: boot number, incarnation
    polls: list[tuple[float, bool]] = field(default_factory=list)  # time, and whether all views agreed
    fault_ends: list[tuple[float, str]] = field(
        default_factory=list
    )  # time at which a fault ended, and its kind

    def on_poll(self, at: float, views: Mapping[int, MembershipView | None]) -> None:
        """Record one poll of every front that ran throughout it; None: no answer in time."""
        answers = [view for view in views.values() if view is not None]
        running = {(view.name, view.boot) for view in answers}
        for view in answers:
            if view.count < len(views):
                self.violations.append(
                    f"count: {view.name} counts {view.count} fronts where {len(views)} run"
                )
            for process in sorted(running & view.lives.keys()):
                if view.lives[process][1] == "certainly-stopped":
                    self.violations.append(
                        f"stopped: {view.name} reports {process[0]} as stopped, which is running"
                    )
            previous = self.max_incarnations.get(view.name, (0, 0))
            current = view.boot, view.incarnation
            if current < previous:
                self.violations.append(f"back: {view.name} went from {previous} to {current}")
            self.max_incarnations[view.name] = max(previous, current)
        has_one_digest = len(answers) == len(views) and len({view.digest for view in answers}) == 1
        self.polls.append((at, has_one_digest and all(view.alive() == running for view in answers)))

    def times_to_convergence(self) -> list[tuple[str, float | None]]:
        """Return each fault's kind, and the seconds from its end to the first agreeing poll, or None."""
        return [
            (kind, next((at - end for at, has_agreed in self.polls if has_agreed and at >= end), None))
            for end, kind in self.fault_ends
        ]

    def has_converged(self) -> bool:
        """Whether all views have agreed in a poll since the last fault."""
        last_end = max((end for end, _ in self.fault_ends), default=0.0)
        return any(has_agreed for at, has_agreed in self.polls if at >= last_end)

    def find_violations(self, timeout: float) -> list[str]:
        """Return each violation as a line; ``timeout``: seconds within which the views had to agree."""
        found = list(self.violations)
        if not self.has_converged():
            found.append(f"view: the views had not agreed {timeout:g} s after the last fault")
        return found
