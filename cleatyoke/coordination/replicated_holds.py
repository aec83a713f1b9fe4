"""Replicated data types (CRDTs) for operator holds and other data that all fronts share.

Copies of one type can be merged in any order and any number of times, and converge. Data from a peer can only
restrict a front: a hold names a node to avoid, never one to use. Each type fails to its safe side: a hold
that is kept for too long leaves a node idle, while a lost hold would send requests to a node under repair.

- ``HoldSet``: an add-wins set with causal dots (optimised OR-set: Bieniusa and others, 2012; dots: Almeida
  and others, 2014).
- ``LatestValues``: a last-writer-wins register for each origin.
- ``MaximumValues``: a max register for each key.

Fronts exchange only holds so far; the two registers are not used yet. ``docs/replication.md`` specifies the
MessagePack encoding; ``name=`` gives a field's name on the wire.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Annotated, Any, NamedTuple

import msgspec

from cleatyoke.membership.wire import MemberId
from cleatyoke.transport.encoding import Count, Text

MAX_NODES = 4096  # entries in a copy; a larger copy is rejected
MAX_ACTORS = 4096  # process runs in a copy
MAX_VALUE_BYTES = 1024  # of an origin's value

Dot = tuple[MemberId, Count]
"""The identity of one hold operation: the process run that performed it, and its sequence number, from 1."""

_DotsByNode = Annotated[dict[Text, frozenset[Dot]], msgspec.Meta(max_length=MAX_NODES)]
_VersionVector = Annotated[dict[MemberId, Count], msgspec.Meta(max_length=MAX_ACTORS)]


class HoldSet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The nodes that operators disabled ("hold"): an add-wins set.

    ``clock``: a version vector: for each process run, the number of its dots that this copy knows of, held or
    released. ``dots_by_node``: the dots of each held node. A node without a dot is not held.

    A release removes only the holds that its front knew of. So a partition cannot lose a hold, and a
    concurrent hold and release leave the node held.
    """

    clock: _VersionVector = {}
    dots_by_node: _DotsByNode = msgspec.field(default_factory=dict, name="held")

    def held_nodes(self) -> frozenset[str]:
        """Return the ids of all held nodes."""
        return frozenset(self.dots_by_node)

    def hold(self, actor: MemberId, node: str) -> HoldSet:
        """Hold a node. The new dot replaces all dots of the node in this copy."""
        number = self.clock.get(actor, 0) + 1
        dots_by_node = {**self.dots_by_node, node: frozenset({(actor, number)})}
        return HoldSet({**self.clock, actor: number}, dots_by_node)

    def release(self, node: str) -> HoldSet:
        """Remove the node's dots from this copy; the version vector still records that they were known."""
        remaining = {other: dots for other, dots in self.dots_by_node.items() if other != node}
        return HoldSet(self.clock, remaining)

    def knows(self, dot: Dot) -> bool:
        """Return whether this copy has, or has ever had, the dot."""
        actor, number = dot
        return self.clock.get(actor, 0) >= number

    def merge(self, other: HoldSet) -> HoldSet:
        """Keep a dot that both copies have, or that one copy has and the other has never known."""
        clock = dict(self.clock)
        for actor, number in other.clock.items():
            clock[actor] = max(clock.get(actor, 0), number)
        merged: dict[str, frozenset[Dot]] = {}
        for node in self.dots_by_node.keys() | other.dots_by_node.keys():
            own_dots = self.dots_by_node.get(node, frozenset())
            other_dots = other.dots_by_node.get(node, frozenset())
            dots = (own_dots & other_dots) | {dot for dot in own_dots - other_dots if not other.knows(dot)}
            dots |= {dot for dot in other_dots - own_dots if not self.knows(dot)}
            if dots:
                merged[node] = frozenset(dots)
        return HoldSet(clock, merged)

    def includes(self, other: HoldSet) -> bool:
        """Return whether this copy knows all dots that ``other`` knows."""
        return all(self.clock.get(actor, 0) >= number for actor, number in other.clock.items())

    def forget_actors(self, stopped: Collection[MemberId], copies: Collection[HoldSet]) -> HoldSet:
        """Remove processes that have certainly stopped from the version vector.

        A process is removed if none of its holds is left and all of its dots are known to each of ``copies``,
        which must include every copy that may still be merged. If an older copy is merged all the same, the
        node that it holds is held again, which is the safe side. No front calls this yet: the version vector
        grows with each process run that ever placed a hold, up to ``MAX_ACTORS``.
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
    """One value written by an origin.

    ``number`` increases with each write of its process run and orders the values. ``at`` is the origin's Unix
    time, for display; it decides only between values that are otherwise equal.
    """

    number: Count
    value: Annotated[str, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
    at: float = 0.0


class LatestValues(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A last-writer-wins register for each origin, written only by that origin."""

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
        """Keep the value with the highest number for each origin.

        A correct origin never writes two values with one number. If it happens, the greater value wins, so
        that all copies agree.
        """
        values = dict(self.values)
        for origin, new in other.values.items():
            old = values.get(origin)
            if old is None or (new.number, new.value, new.at) > (old.number, old.value, old.at):
                values[origin] = new
        return LatestValues(values)


class MaximumValues(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A max register for each key."""

    values: Annotated[dict[Text, Count], msgspec.Meta(max_length=MAX_NODES)] = msgspec.field(
        default_factory=dict,
        name="numbers",  # wire format
    )

    def raise_to(self, key: str, number: int) -> MaximumValues:
        """Raise a key's value to ``number``, unless it is higher already."""
        return MaximumValues({**self.values, key: max(number, self.values.get(key, 0))})

    def merge(self, other: MaximumValues) -> MaximumValues:
        """Keep the greatest value for each key."""
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
"""By kind: the type of a copy, and the function that merges two copies."""


def decode(kind: str, data: bytes) -> Any:
    """Decode a copy of this kind; an invalid copy is rejected as a whole.

    Raises ``ValueError`` with one of a few fixed texts, which operators see and which label the counters of
    rejected copies.
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
    """Reject a copy with a held node that has no dot, or a dot that the version vector does not cover."""
    for dots in holds.dots_by_node.values():
        if not dots or not all(holds.knows(dot) for dot in dots):
            msg = "holds without their numbers"
            raise ValueError(msg)


def merge(kind: str, one: Any, other: Any) -> Any:
    """Merge two copies of this kind."""
    return REPLICATED_TYPES[kind].merge(one, other)
