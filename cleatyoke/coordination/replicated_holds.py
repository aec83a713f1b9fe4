"""Replicated data types (CRDTs) for operator holds and other facts that all fronts share.

Copies of one type merge in any order and any number of times, and then are equal everywhere. What a peer says
only ever restricts: a hold names a node to avoid, never one to use. Each type errs to its safe side: a hold
that is believed for too long leaves a node idle, a hold that is lost sends requests to a node under repair.

- ``HoldSet``: an add-wins set by causal dots (optimised OR-set: Bieniusa and others, 2012; dots: Almeida and
  others, 2014).
- ``LatestValues``: a last-writer-wins register for each origin.
- ``MaximumValues``: a max register for each key.

Fronts exchange holds alone so far; the two registers have their merge rule and no user yet.
The MessagePack form is that of ``docs/replication.md``; field names on the wire are given by ``name=``.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Annotated, Any, NamedTuple

import msgspec

from cleatyoke.membership.wire import MemberId
from cleatyoke.transport.encoding import Count, Text

MAX_NODES = 4096  # entries of a copy; a larger one is rejected as a whole
MAX_ACTORS = 4096  # process runs in a copy
MAX_VALUE_BYTES = 1024  # of an origin's value

Dot = tuple[MemberId, Count]
"""One hold that was placed: the process run that placed it, and its count of holds by then, from 1."""

_Dots = Annotated[dict[Text, frozenset[Dot]], msgspec.Meta(max_length=MAX_NODES)]
_Clock = Annotated[dict[MemberId, Count], msgspec.Meta(max_length=MAX_ACTORS)]


class HoldSet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The nodes that operators disabled ("hold"): an add-wins set.

    ``clock``: a version vector, by process run how many of its dots this copy knows of, held or released.
    ``dots_by_node``: the dots that hold a node. A node without a dot is not held.

    A hold that was placed without knowledge of a release outlives it, and a release takes away only the
    holds that it knew of. So a partition can't lose a hold; concurrent hold and release leave the node held.
    """

    clock: _Clock = {}
    dots_by_node: _Dots = msgspec.field(default_factory=dict, name="held")

    def held_nodes(self) -> frozenset[str]:
        """The ids of all nodes that are held."""
        return frozenset(self.dots_by_node)

    def hold(self, actor: MemberId, node: str) -> HoldSet:
        """Hold a node. The new dot replaces all dots of this node that are known here."""
        number = self.clock.get(actor, 0) + 1
        dots_by_node = {**self.dots_by_node, node: frozenset({(actor, number)})}
        return HoldSet({**self.clock, actor: number}, dots_by_node)

    def release(self, node: str) -> HoldSet:
        """Take away the node's dots that are known here; the clock still tells that they were known."""
        remaining = {other: dots for other, dots in self.dots_by_node.items() if other != node}
        return HoldSet(self.clock, remaining)

    def knows(self, dot: Dot) -> bool:
        """Whether this copy has ever had the dot."""
        actor, number = dot
        return self.clock.get(actor, 0) >= number

    def merge(self, other: HoldSet) -> HoldSet:
        """Keep a dot that both copies have, or that one has and the other has never known."""
        clock = dict(self.clock)
        for actor, number in other.clock.items():
            clock[actor] = max(clock.get(actor, 0), number)
        merged: dict[str, frozenset[Dot]] = {}
        for node in self.dots_by_node.keys() | other.dots_by_node.keys():
            mine = self.dots_by_node.get(node, frozenset())
            theirs = other.dots_by_node.get(node, frozenset())
            dots = (mine & theirs) | {dot for dot in mine - theirs if not other.knows(dot)}
            dots |= {dot for dot in theirs - mine if not self.knows(dot)}
            if dots:
                merged[node] = frozenset(dots)
        return HoldSet(clock, merged)

    def includes(self, other: HoldSet) -> bool:
        """Whether this copy knows all dots that the other one knows."""
        return all(self.clock.get(actor, 0) >= number for actor, number in other.clock.items())

    def forget_actors(self, stopped: Collection[MemberId], copies: Collection[HoldSet]) -> HoldSet:
        """Shorten the clock by processes that have certainly stopped.

        One is dropped where no hold of it is left and each of ``copies``, all that may still be merged,
        knows its dots. Should an older copy come back nevertheless, what was released there is held again,
        which is the safe side. No front calls it yet: clocks grow with each process run that ever placed
        a hold, up to ``MAX_ACTORS``.
        """
        holding = {actor for dots in self.dots_by_node.values() for actor, _ in dots}
        dropped = {
            actor
            for actor in stopped
            if actor in self.clock
            and actor not in holding
            and all(copy.clock.get(actor, 0) >= self.clock[actor] for copy in copies)
        }
        clock = {actor: number for actor, number in self.clock.items() if actor not in dropped}
        return HoldSet(clock, self.dots_by_node)


class TimestampedValue(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What an origin says.

    ``number`` rises with each value of its process run and decides. ``at`` is the origin's Unix time, which
    is shown to people and decides only between values that are otherwise equal.
    """

    number: Count
    value: Annotated[str, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
    at: float = 0.0


class LatestValues(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A last-writer-wins register for each origin, which only the origin writes."""

    values: Annotated[dict[MemberId, TimestampedValue], msgspec.Meta(max_length=MAX_ACTORS)] = msgspec.field(
        default_factory=dict,
        name="words",  # wire format
    )

    def assign(self, origin: MemberId, value: str, at: float) -> LatestValues:
        """Write the origin's next value. ``at``: Unix time."""
        before = self.values.get(origin)
        number = before.number + 1 if before else 1
        return LatestValues({**self.values, origin: TimestampedValue(number, value, at)})

    def merge(self, other: LatestValues) -> LatestValues:
        """Keep of each origin the value with the highest number.

        Two values of one number come from no correct origin; the greater one wins, so that all copies agree.
        """
        values = dict(self.values)
        for origin, theirs in other.values.items():
            mine = values.get(origin)
            if mine is None or (theirs.number, theirs.value, theirs.at) > (mine.number, mine.value, mine.at):
                values[origin] = theirs
        return LatestValues(values)


class MaximumValues(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A max register for each key."""

    values: Annotated[dict[Text, Count], msgspec.Meta(max_length=MAX_NODES)] = msgspec.field(
        default_factory=dict,
        name="numbers",  # wire format
    )

    def raise_to(self, key: str, number: int) -> MaximumValues:
        """Raise a key's value to ``number``, or leave it where it is higher."""
        return MaximumValues({**self.values, key: max(number, self.values.get(key, 0))})

    def merge(self, other: MaximumValues) -> MaximumValues:
        """Keep of each key the greatest value."""
        keys = self.values.keys() | other.values.keys()
        return MaximumValues({key: max(self.values.get(key, 0), other.values.get(key, 0)) for key in keys})


class _ReplicatedType(NamedTuple):
    type: type[Any]
    merge: Callable[[Any, Any], Any]


REPLICATED_TYPES: dict[str, _ReplicatedType] = {
    "holds": _ReplicatedType(HoldSet, HoldSet.merge),
    "latest": _ReplicatedType(LatestValues, LatestValues.merge),
    "highest": _ReplicatedType(MaximumValues, MaximumValues.merge),
}
"""By kind: the type of its copies, and the one rule by which two copies merge."""


def decode(kind: str, data: bytes) -> Any:
    """Decode a copy of this kind, complete or not at all.

    Raises ``ValueError``; its text is one of a few short reasons, which operators see and counters name.
    """
    if kind not in REPLICATED_TYPES:
        msg = "unknown kind"
        raise ValueError(msg)
    try:
        copy = msgspec.msgpack.decode(data, type=REPLICATED_TYPES[kind].type)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        msg = "unreadable"
        raise ValueError(msg) from error
    if isinstance(copy, HoldSet):
        _check_dots(copy)
    return copy


def _check_dots(holds: HoldSet) -> None:
    """Reject a copy that holds a node by no dot, or by a dot that its own clock lacks."""
    for dots in holds.dots_by_node.values():
        if not dots or not all(holds.knows(dot) for dot in dots):
            msg = "holds without their numbers"
            raise ValueError(msg)


def merge(kind: str, one: Any, other: Any) -> Any:
    """Merge two copies of this kind."""
    return REPLICATED_TYPES[kind].merge(one, other)
