"""Iteration over items in rounds of random order; adding, removing and taking an item are O(1)."""

from __future__ import annotations

import random
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)


class RandomRounds(Generic[Item]):
    """Yields each item once per round, in random order; an added item takes part in the current round."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._items: list[Item] = []  # first those taken in this round, then the others
        self._indexes: dict[Item, int] = {}  # index in ``_items`` of each item
        self._taken = 0  # number of items taken in this round

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: Item) -> bool:
        return item in self._indexes

    def __iter__(self) -> Iterator[Item]:
        return iter(self._items)

    def add(self, item: Item) -> None:
        """Add an item if it is not present."""
        if item not in self._indexes:
            self._indexes[item] = len(self._items)
            self._items.append(item)

    def discard(self, item: Item) -> None:
        """Remove an item if it is present."""
        index = self._indexes.get(item)
        if index is None:
            return
        if index < self._taken:  # swap with the last taken item, so that taken items stay contiguous
            self._taken -= 1
            self._swap(index, self._taken)
            index = self._taken
        self._swap(index, len(self._items) - 1)
        self._items.pop()
        del self._indexes[item]

    def take(self) -> Item:
        """Return the next item of the round, starting a new round if all were taken.

        Raises ``IndexError`` if there are no items.
        """
        if self._taken >= len(self._items):
            self._taken = 0
        if not self._items:
            msg = "no items"
            raise IndexError(msg)
        self._swap(self._taken, self._rng.randrange(self._taken, len(self._items)))
        self._taken += 1
        return self._items[self._taken - 1]

    def _swap(self, first: int, second: int) -> None:
        items, indexes = self._items, self._indexes
        items[first], items[second] = items[second], items[first]
        indexes[items[first]] = first
        indexes[items[second]] = second
