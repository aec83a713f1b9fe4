"""Settings that change while a front runs: which of two settings holds for what. No input, output or clock.

Classes and plans are known to clients by name and to the scheduler by index. A name keeps its index for the
life of the process, as requests in flight and limits per class and plan refer to it; a new name takes the
next one, and one that is removed leaves its index retired until it comes back.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from cleatyoke.scheduling.settings import SchedulerSettings

T = TypeVar("T")
RETIRED_WEIGHT = 1e-9  # priority weight of a removed class: it takes no part in what is shared by weight


@dataclass(slots=True, frozen=True)
class IndexAllocator:
    """Indexes of names. ``indexes``: of those in use. ``all_indexes``: of all names that ever had one."""

    indexes: dict[str, int]
    all_indexes: dict[str, int]

    @classmethod
    def for_names(cls, names: Sequence[str]) -> IndexAllocator:
        """Number the names from 0."""
        indexes = {name: index for index, name in enumerate(names)}
        return cls(indexes, dict(indexes))

    def with_names(self, names: Sequence[str]) -> IndexAllocator:
        """Return the allocator for other names; those that had an index keep it."""
        all_indexes = dict(self.all_indexes)
        for name in names:
            all_indexes.setdefault(name, len(all_indexes))
        return IndexAllocator({name: all_indexes[name] for name in names}, all_indexes)

    def retired_indexes(self) -> frozenset[int]:
        """Indexes of names that are not in use."""
        return frozenset(self.all_indexes.values()) - frozenset(self.indexes.values())

    def arrange(self, old: Sequence[T], new: Sequence[T]) -> list[T]:
        """Return values by index: ``new``, in order of the names in use, and old ones of removed names."""
        values = [*old, *[None] * (len(self.all_indexes) - len(old))]
        for index, value in zip(self.indexes.values(), new):
            values[index] = value
        # Each index has an old or a new value; the filter only tells the type checker so.
        return [value for value in values if value is not None]


def merge_settings(
    old: SchedulerSettings, new: SchedulerSettings, classes: IndexAllocator, plans: IndexAllocator
) -> SchedulerSettings:
    """Return the settings that hold from now on.

    These are the new ones with every class and plan at its index, and what belongs to this process (its seed,
    when it began) as it was. ``classes`` and ``plans``: the allocators for the new names.
    """
    specs = classes.arrange(old.classes, new.classes)
    for index in classes.retired_indexes():
        specs[index] = replace(specs[index], priority_weight=RETIRED_WEIGHT)
    return replace(
        new,
        classes=specs,
        plans=plans.arrange(old.plans, new.plans),
        seed=old.seed,
        idle_since=old.idle_since,
        initial_quota_share=old.initial_quota_share,
        replaces_process=old.replaces_process,
    )


def merge_changes_data(
    old: Sequence[bool | None],
    old_indexes: Mapping[str, int],
    classes: IndexAllocator,
    new: Sequence[bool | None],
) -> list[bool | None]:
    """Return by index which classes change data; ``None``: not known.

    A new list counts where it names as many as there are classes. The platform's stays as it was while
    classes come and go, and would then be read for the wrong ones: a class keeps what was said of it, and
    of a new one nothing is known. ``old_indexes``: the indexes by name that ``old`` goes by.
    """
    merged: list[bool | None] = [None] * len(classes.all_indexes)
    if len(new) == len(classes.indexes):
        for index, value in zip(classes.indexes.values(), new):
            merged[index] = value
    elif old:
        for name, index in old_indexes.items():
            merged[classes.all_indexes[name]] = old[index]
    return merged if any(value is not None for value in merged) else []


def key_paths(value: Any, path: str = "") -> frozenset[str]:
    """Return the paths of all keys that a file holds; of a list's tables, those that all of them have."""
    if isinstance(value, Mapping):
        found: set[str] = set()
        for key, one in value.items():
            found.add(f"{path}{key}")
            found |= key_paths(one, f"{path}{key}.")
        return frozenset(found)
    if isinstance(value, list) and value and all(isinstance(one, Mapping) for one in value):
        return frozenset.intersection(*(key_paths(one, path[:-1] + "[].") for one in value))
    return frozenset()


def first_missing_key(old: frozenset[str], new: frozenset[str]) -> str | None:
    """Return the first key that the file had and has no more, if any.

    A file that is written halfway, or by mistake, must change nothing, even where the key has a default.
    """
    lost = sorted(old - new)
    return lost[0] if lost else None
