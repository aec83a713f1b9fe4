"""Merging of reloaded settings into those in force. No I/O and no clock.

Clients refer to classes and plans by name, the scheduler by index. A name keeps its index for the lifetime of
the process, as requests in flight and per-class and per-plan limits refer to it. A new name gets the next
unused index; the index of a removed name is retired until the name is configured again.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from cleatyoke.scheduling.settings import SchedulerSettings

T = TypeVar("T")
RETIRED_WEIGHT = 1e-9  # priority weight of a removed class, so that it gets practically no share by weight


@dataclass(slots=True, frozen=True)
class IndexAllocator:
    """Assigns indexes to names. ``indexes``: of names in use. ``all_indexes``: also of removed names."""

    indexes: dict[str, int]
    all_indexes: dict[str, int]

    @classmethod
    def for_names(cls, names: Sequence[str]) -> IndexAllocator:
        """Number the names from 0."""
        indexes = {name: index for index, name in enumerate(names)}
        return cls(indexes, dict(indexes))

    def with_names(self, names: Sequence[str]) -> IndexAllocator:
        """Return an allocator with these names in use; names that already had an index keep it."""
        all_indexes = dict(self.all_indexes)
        for name in names:
            all_indexes.setdefault(name, len(all_indexes))
        return IndexAllocator({name: all_indexes[name] for name in names}, all_indexes)

    def retired_indexes(self) -> frozenset[int]:
        """Return the indexes of names that are no longer in use."""
        return frozenset(self.all_indexes.values()) - frozenset(self.indexes.values())

    def arrange(self, old: Sequence[T], new: Sequence[T]) -> list[T]:
        """Return the values by index: ``new``, in the order of the names in use, ``old`` for removed ones."""
        values = [*old, *[None] * (len(self.all_indexes) - len(old))]
        for index, value in zip(self.indexes.values(), new):
            values[index] = value
        # Each index has an old or a new value; the filter is for the type checker only.
        return [value for value in values if value is not None]


def merge_settings(
    old: SchedulerSettings, new: SchedulerSettings, classes: IndexAllocator, plans: IndexAllocator
) -> SchedulerSettings:
    """Return the new settings, with each class and plan at its index.

    Fields that belong to the process, such as its seed and the time since which it is idle, keep their old
    values. ``classes`` and ``plans``: the allocators for the new names.
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
        max_volumes=old.max_volumes,
    )


def merge_changes_data(
    old: Sequence[bool | None],
    old_indexes: Mapping[str, int],
    classes: IndexAllocator,
    new: Sequence[bool | None],
) -> list[bool | None]:
    """Return, by index, whether each class changes data; ``None``: unknown.

    The new list is used only if it has one entry per class. The platform does not update its list when
    classes are added or removed, and its entries would then be assigned to the wrong classes. In that case
    known classes keep their old values, and new ones are unknown. ``old_indexes``: by name, the indexes in
    ``old``.
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
    """Return the paths of all keys in a file; for a list of tables, only the keys that all of them have."""
    if isinstance(value, Mapping):
        paths: set[str] = set()
        for key, item in value.items():
            paths.add(f"{path}{key}")
            paths |= key_paths(item, f"{path}{key}.")
        return frozenset(paths)
    if isinstance(value, list) and value and all(isinstance(item, Mapping) for item in value):
        return frozenset.intersection(*(key_paths(item, path[:-1] + "[].") for item in value))
    return frozenset()


def first_missing_key(old: frozenset[str], new: frozenset[str]) -> str | None:
    """Return the first of the old keys, in alphabetical order, that the new file lacks, if any.

    A file that is incompletely written, or edited by mistake, must not be applied, even if the missing key
    has a default.
    """
    missing = sorted(old - new)
    return missing[0] if missing else None
