"""Copies of what every front should know, as state that merges in any order, any number of times.

``MERGES`` is the one rule for copies that differ, for each kind. Word from a peer only ever restricts: a hold
or a drain says which box to avoid, never which to use. Each kind errs on its safe side: a hold that is
believed too long leaves a box idle, one that is lost lets work in on a box under repair.

- ``Holds``: an add/remove set by causal dots (Almeida, Bieniusa and others: optimised OR-sets). A hold that
  was placed without knowledge of a release outlives it; a release takes away only holds that it knew of.
- ``Latest``: of each origin its newest word, by a number that only the origin raises.
- ``Highest``: of each key the greatest number that anybody told.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Annotated, Any

import msgspec

from cleatyoke.membership.wire import MemberId
from cleatyoke.transport.encoding import Count, Text

MOST_BOXES = 4096  # entries of a copy; what is over it is refused as a whole
MOST_ACTORS = 4096
MOST_WORD = 1024  # bytes of an origin's word

Dot = tuple[MemberId, Count]


class HoldSet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``clock``: how many dots of each life this copy knows of; ``held``: by box the dots of its holds."""

    clock: Annotated[dict[MemberId, Count], msgspec.Meta(max_length=MOST_ACTORS)] = {}
    held: Annotated[dict[Text, frozenset[Dot]], msgspec.Meta(max_length=MOST_BOXES)] = {}

    def boxes(self) -> frozenset[str]:
        return frozenset(self.held)

    def hold(self, me: MemberId, box: str) -> HoldSet:
        """Hold a box. The new dot stands for all holds of it that are known here."""
        number = self.clock.get(me, 0) + 1
        return HoldSet({**self.clock, me: number}, {**self.held, box: frozenset({(me, number)})})

    def release(self, box: str) -> HoldSet:
        """Take away the holds of it that are known here."""
        return HoldSet(self.clock, {other: dots for other, dots in self.held.items() if other != box})

    def covers(self, dot: Dot) -> bool:
        return self.clock.get(dot[0], 0) >= dot[1]

    def merge(self, other: HoldSet) -> HoldSet:
        """A dot stands where both have it, or where one has it and the other has never heard of it."""
        clock = dict(self.clock)
        for life, number in other.clock.items():
            clock[life] = max(clock.get(life, 0), number)
        held: dict[str, frozenset[Dot]] = {}
        for box in self.held.keys() | other.held.keys():
            mine, theirs = self.held.get(box, frozenset()), other.held.get(box, frozenset())
            stands = (mine & theirs) | {dot for dot in mine - theirs if not other.covers(dot)}
            stands |= {dot for dot in theirs - mine if not self.covers(dot)}
            if stands:
                held[box] = frozenset(stands)
        return HoldSet(clock, held)

    def has(self, other: HoldSet) -> bool:
        """Whether all that the other copy knows is known here."""
        return all(self.clock.get(life, 0) >= number for life, number in other.clock.items())

    def forget(self, stopped: Collection[MemberId], everywhere: Collection[HoldSet]) -> HoldSet:
        """Drop the numbers of lives that are certainly over, of which no hold is left and whose dots every
        copy that may still be merged has. Should an older copy come back all the same, what was released
        there is held again, which is the safe side.
        """
        left = {life for dots in self.held.values() for life, _ in dots}
        gone = {
            life
            for life in stopped
            if life in self.clock
            and life not in left
            and all(copy.clock.get(life, 0) >= self.clock[life] for copy in everywhere)
        }
        return HoldSet({life: number for life, number in self.clock.items() if life not in gone}, self.held)


class TimestampedValue(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What an origin says; ``number`` rises with each word of its life, and ``at`` is its wall clock, told to
    people only.
    """

    number: Count
    value: Annotated[str, msgspec.Meta(max_length=MOST_WORD)]
    at: float = 0.0


class LatestValues(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    words: Annotated[dict[MemberId, TimestampedValue], msgspec.Meta(max_length=MOST_ACTORS)] = {}

    def say(self, me: MemberId, value: str, at: float) -> LatestValues:
        before = self.words.get(me)
        return LatestValues(
            {**self.words, me: TimestampedValue(before.number + 1 if before else 1, value, at)}
        )

    def merge(self, other: LatestValues) -> LatestValues:
        words = dict(self.words)
        for origin, word in other.words.items():
            mine = words.get(origin)
            # Two words of one number are no honest origin's; the greater value, so that all settle alike.
            if mine is None or (word.number, word.value, word.at) > (mine.number, mine.value, mine.at):
                words[origin] = word
        return LatestValues(words)


class MaximumValues(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    numbers: Annotated[dict[Text, Count], msgspec.Meta(max_length=MOST_BOXES)] = {}

    def raised(self, key: str, number: int) -> MaximumValues:
        return MaximumValues({**self.numbers, key: max(number, self.numbers.get(key, 0))})

    def merge(self, other: MaximumValues) -> MaximumValues:
        keys = self.numbers.keys() | other.numbers.keys()
        return MaximumValues({key: max(self.numbers.get(key, 0), other.numbers.get(key, 0)) for key in keys})


MERGES: dict[str, tuple[type[Any], Callable[[Any, Any], Any]]] = {
    "holds": (HoldSet, HoldSet.merge),
    "latest": (LatestValues, LatestValues.merge),
    "highest": (MaximumValues, MaximumValues.merge),
}


def decode(kind: str, data: bytes) -> Any:
    """A copy of this kind. Raises ``ValueError`` with a reason of few words, and takes nothing of it then."""
    if kind not in MERGES:
        msg = "unknown kind"
        raise ValueError(msg)
    try:
        copy = msgspec.msgpack.decode(data, type=MERGES[kind][0])
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        msg = "unreadable"
        raise ValueError(msg) from error
    if isinstance(copy, HoldSet):
        for dots in copy.held.values():
            if not dots or not all(copy.covers(dot) for dot in dots):
                msg = "holds without their numbers"
                raise ValueError(msg)
    return copy


def merge(kind: str, one: Any, other: Any) -> Any:
    return MERGES[kind][1](one, other)
