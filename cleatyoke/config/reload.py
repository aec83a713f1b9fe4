"""Settings that change while a front runs: which of two settings holds for what. No input, output or clock.

Classes and plans are known to clients by name and to the policy by place. A name keeps its place for the life
of the process, as requests under way and bounds hang on it; a new name takes the next one, and one that goes
leaves its place retired until it comes back.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from cleatyoke.scheduling.settings import SchedulerSettings

T = TypeVar("T")
RETIRED = 1e-9  # worth of a class that is gone: it takes no part in what is shared out by worth


@dataclass(slots=True, frozen=True)
class IndexAllocator:
    """Names with their places, and all names that ever had one."""

    live: dict[str, int]
    ever: dict[str, int]

    @classmethod
    def of(cls, names: Sequence[str]) -> IndexAllocator:
        places = {name: place for place, name in enumerate(names)}
        return cls(places, dict(places))

    def follow(self, names: Sequence[str]) -> IndexAllocator:
        ever = dict(self.ever)
        for name in names:
            ever.setdefault(name, len(ever))
        return IndexAllocator({name: ever[name] for name in names}, ever)

    def retired(self) -> frozenset[int]:
        return frozenset(self.ever.values()) - frozenset(self.live.values())

    def arrange(self, old: Sequence[T], names: Sequence[str], new: Sequence[T]) -> list[T]:
        """Values by place: the new ones for their names, the old ones where a name is gone."""
        rows = [*old, *[None] * (len(self.ever) - len(old))]
        for name, value in zip(names, new):
            rows[self.live[name]] = value
        return [row for row in rows if row is not None]


def follow_settings(
    old: SchedulerSettings,
    new: SchedulerSettings,
    classes: IndexAllocator,
    class_names: Sequence[str],
    plans: IndexAllocator,
    plan_names: Sequence[str],
) -> SchedulerSettings:
    """The settings that hold from now on: the new ones with every class and plan at its place, and what
    belongs to this life of the process (its seed, when it began) as it was.
    """
    kinds = classes.arrange(old.classes, class_names, new.classes)
    for place in classes.retired():
        kinds[place] = replace(kinds[place], priority_weight=RETIRED)
    return replace(
        new,
        classes=kinds,
        plans=plans.arrange(old.plans, plan_names, new.plans),
        seed=old.seed,
        idle_since=old.idle_since,
        initial_quota_share=old.initial_quota_share,
        replaces_process=old.replaces_process,
    )


def follow_writes(
    old: Sequence[bool | None], had: Mapping[str, int], classes: IndexAllocator, new: Sequence[bool | None]
) -> list[bool | None]:
    """Which classes change data, by place. A new list counts where it names as many as there are classes. The
    platform's stays as it was while classes come and go, and would then be read for the wrong ones: a class
    keeps what was said of it, and of a new one nothing is known.
    """
    out: list[bool | None] = [None] * len(classes.ever)
    if len(new) == len(classes.live):
        for place, value in zip(classes.live.values(), new):
            out[place] = value
    elif old:
        for name, place in had.items():
            out[classes.ever[name]] = old[place]
    return out if any(value is not None for value in out) else []


def shape(value: Any, path: str = "") -> frozenset[str]:
    """The paths of all keys that a file holds; of a list's tables, those that every one of them has."""
    if isinstance(value, Mapping):
        found: set[str] = set()
        for key, one in value.items():
            found.add(f"{path}{key}")
            found |= shape(one, f"{path}{key}.")
        return frozenset(found)
    if isinstance(value, list) and value and all(isinstance(one, Mapping) for one in value):
        return frozenset.intersection(*(shape(one, path[:-1] + "[].") for one in value))
    return frozenset()


def missing(old: frozenset[str], new: frozenset[str]) -> str | None:
    """The first key that the file had and has no more: a file that is written halfway, or by a faulty hand,
    must change nothing, even where the key has a default.
    """
    lost = sorted(old - new)
    return lost[0] if lost else None
