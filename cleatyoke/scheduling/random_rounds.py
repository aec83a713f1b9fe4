"""Items in rounds of a random order; to add, remove or take one costs alike however many there are."""

from __future__ import annotations

import random
from collections.abc import Iterator


class RandomRounds:
    """Each item comes once in a round; one that is added takes part in the round that is under way."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.items: list[int] = []  # those taken in this round, then the others
        self.places: dict[int, int] = {}  # item: its index
        self.taken = 0

    def __len__(self) -> int:
        return len(self.items)

    def __contains__(self, item: int) -> bool:
        return item in self.places

    def __iter__(self) -> Iterator[int]:
        return iter(self.items)

    def add(self, item: int) -> None:
        if item not in self.places:
            self.places[item] = len(self.items)
            self.items.append(item)

    def discard(self, item: int) -> None:
        place = self.places.get(item)
        if place is None:
            return
        if place < self.taken:  # the last one taken fills its place, so that the taken ones stay in front
            self.taken -= 1
            self.swap(place, self.taken)
            place = self.taken
        self.swap(place, len(self.items) - 1)
        self.items.pop()
        del self.places[item]

    def take(self) -> int:
        """The next one. Raises ``IndexError`` where there is none."""
        if self.taken >= len(self.items):
            self.taken = 0
        if not self.items:
            msg = "no items"
            raise IndexError(msg)
        self.swap(self.taken, self.rng.randrange(self.taken, len(self.items)))
        self.taken += 1
        return self.items[self.taken - 1]

    def swap(self, one: int, other: int) -> None:
        items, places = self.items, self.places
        items[one], items[other] = items[other], items[one]
        places[items[one]], places[items[other]] = one, other
