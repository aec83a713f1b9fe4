"""Items in rounds of a random order; to add, remove or take one costs alike however many there are."""

from __future__ import annotations

import random
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)


class RandomRounds(Generic[Item]):
    """Each item comes once in a round; one that is added takes part in the round that is under way."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._items: list[Item] = []  # those taken in this round, then the others
        self._places: dict[Item, int] = {}  # index of each item
        self._taken = 0

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: Item) -> bool:
        return item in self._places

    def __iter__(self) -> Iterator[Item]:
        return iter(self._items)

    def add(self, item: Item) -> None:
        """Add an item; nothing changes where it is there."""
        if item not in self._places:
            self._places[item] = len(self._items)
            self._items.append(item)

    def discard(self, item: Item) -> None:
        """Remove an item if it is there."""
        place = self._places.get(item)
        if place is None:
            return
        if place < self._taken:  # the last one taken fills its place, so that the taken ones stay in front
            self._taken -= 1
            self._exchange(place, self._taken)
            place = self._taken
        self._exchange(place, len(self._items) - 1)
        self._items.pop()
        del self._places[item]

    def take(self) -> Item:
        """Return the next one.

        Raises ``IndexError`` where there is none.
        """
        if self._taken >= len(self._items):
            self._taken = 0
        if not self._items:
            msg = "no items"
            raise IndexError(msg)
        self._exchange(self._taken, self._rng.randrange(self._taken, len(self._items)))
        self._taken += 1
        return self._items[self._taken - 1]

    def _exchange(self, one: int, other: int) -> None:
        items, places = self._items, self._places
        items[one], items[other] = items[other], items[one]
        places[items[one]] = one
        places[items[other]] = other
