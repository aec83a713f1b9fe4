"""Replicated data types: merging in any order, holds against a model that sees who knew of what.

Also holds as they spread among the members of a fleet.
"""

from __future__ import annotations

from typing import Any
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke.coordination import replicated_holds as replicas
from cleatyoke.coordination.hold_replication import HoldReplication
from cleatyoke.coordination.replicated_holds import HoldSet, LatestValues, MaximumValues
from cleatyoke.emulation.fleet import Fleet
from cleatyoke.membership import wire
from cleatyoke.membership.events import ExchangeRequested
from cleatyoke.membership.members import Membership
from cleatyoke.membership.wire import MemberId, MemberState, Update

LIVES = [MemberId(name, boot) for name in "abc" for boot in (1, 2)]
Step = tuple[str, int, int, str]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("hold", "release", "merge", "say", "raise")),
        st.integers(0, 2),
        st.integers(0, 2),
        st.sampled_from(("s-1", "s-2")),
    ),
    max_size=25,
)


class ReleaseWins(HoldSet, frozen=True):
    """A set without dots: a release takes away holds that it never knew."""

    def merge(self, other: HoldSet) -> HoldSet:
        merged = super().merge(other)
        both = self.dots_by_node.keys() & other.dots_by_node.keys()
        return ReleaseWins(
            merged.clock, {box: dots for box, dots in merged.dots_by_node.items() if box in both}
        )


def apply_steps(
    steps: list[Step], empty: HoldSet
) -> tuple[list[HoldSet], list[LatestValues], list[MaximumValues], bool]:
    """Take three fronts through these steps, beside a model that sees who knew of what.

    By the model a hold stands at a front unless a release that knew of it is known there. The last result
    says whether each front's holds were as the model has them, after every step.
    """
    holds, latest, highest = [empty] * 3, [LatestValues()] * 3, [MaximumValues()] * 3
    known: list[set[int]] = [set(), set(), set()]  # of each front: numbers of the holds that it knows of ...
    dead: list[set[int]] = [set(), set(), set()]  # ... and of those that it knows to be released
    box_of: list[str] = []
    right = True
    for what, front, other, box in steps:
        match what:
            case "hold":
                dead[front] |= {number for number in known[front] if box_of[number] == box}  # the new one's
                known[front].add(len(box_of))
                box_of.append(box)
                holds[front] = holds[front].hold(LIVES[front], box)
            case "release":
                dead[front] |= {number for number in known[front] if box_of[number] == box}
                holds[front] = holds[front].release(box)
            case "merge":
                known[front] |= known[other]
                dead[front] |= dead[other]
                holds[front] = holds[front].merge(holds[other])
                latest[front] = latest[front].merge(latest[other])
                highest[front] = highest[front].merge(highest[other])
            case "say":
                latest[front] = latest[front].assign(LIVES[front], box, 1.0)
            case "raise":
                highest[front] = highest[front].raise_to(box, other)
        model = {box_of[number] for number in known[front] - dead[front]}
        right = right and holds[front].held_nodes() == model
    return holds, latest, highest, right


@settings(deadline=None, derandomize=True, max_examples=200)
@given(STEPS)
def test_a_hold_stands_until_a_release_that_knew_of_it_is_known(steps: list[Step]) -> None:
    assert apply_steps(steps, HoldSet())[3]


def test_a_hold_wins_over_a_concurrent_release_and_a_set_without_dots_is_caught() -> None:
    """One operator releases a node while another holds it anew at another front, before the two hear of it.

    Were the release to win, requests would go to a node under repair.
    """
    split: list[Step] = [
        ("hold", 0, 0, "s-1"),
        ("merge", 1, 0, ""),
        ("release", 1, 0, "s-1"),
        ("hold", 0, 0, "s-1"),
        ("merge", 0, 1, ""),
        ("merge", 1, 0, ""),
    ]
    holds, _, _, right = apply_steps(split, HoldSet())
    assert right
    assert [copy.held_nodes() for copy in holds[:2]] == [{"s-1"}, {"s-1"}]
    assert not apply_steps(split, ReleaseWins())[3]


@settings(deadline=None, derandomize=True, max_examples=100)
@given(STEPS)
def test_merges_commute_associate_and_repeat_harmlessly(steps: list[Step]) -> None:
    for copies in apply_steps(steps, HoldSet())[:3]:
        kind = {HoldSet: "holds", LatestValues: "latest", MaximumValues: "highest"}[type(copies[0])]
        a, b, c = copies
        both = replicas.merge(kind, a, b)
        assert both == replicas.merge(kind, b, a)
        assert replicas.merge(kind, both, c) == replicas.merge(kind, a, replicas.merge(kind, b, c))
        assert replicas.merge(kind, both, b) == both
        assert replicas.decode(kind, msgspec.msgpack.encode(both)) == both


def test_an_actor_is_forgotten_only_when_every_copy_knows_its_dots() -> None:
    a, b = LIVES[0], LIVES[2]
    one, behind = HoldSet().hold(a, "s-1").release("s-1").hold(b, "s-2"), HoldSet().hold(b, "s-2")
    assert one.includes(behind)
    assert not behind.includes(one)
    assert one.forget_actors([a, b], [one, behind]) == one  # a copy that may still come in lacks them
    assert one.forget_actors([a, b], [one]).clock == {b: 1}  # of b a hold is left
    assert one.forget_actors([], [one]) == one


@pytest.mark.parametrize(
    ("kind", "value", "why"),
    [
        ("rights", {}, "unknown kind"),
        ("holds", {"clock": {}, "more": 1}, "unreadable"),
        ("holds", [], "unreadable"),
        ("holds", {"held": {"s-1": [[["a", 1], 3]]}}, "holds without their numbers"),
        ("holds", {"held": {"s-1": []}}, "holds without their numbers"),
        ("latest", {"words": {}, "x": {}}, "unreadable"),
        ("highest", {"numbers": {"s": -1}}, "unreadable"),
        ("highest", {"numbers": {str(number): 1 for number in range(5000)}}, "unreadable"),
    ],
)
def test_a_malformed_copy_is_rejected_as_a_whole(kind: str, value: object, why: str) -> None:
    with pytest.raises(ValueError, match=f"^{why}$"):
        replicas.decode(kind, msgspec.msgpack.encode(value))


# Among the members of a fleet, in virtual time


class Shared:
    """A fleet in virtual time whose fronts keep their copies from one incarnation to the next."""

    def __init__(self, size: int = 12, keeps: bool = True) -> None:
        self.copies: dict[str, HoldReplication] = {}

        def make(deployment: str, name: str, boot: int, address: str, *rest: Any, **more: Any) -> Membership:
            life = Membership(deployment, name, boot, address, *rest, **more)
            life.store = sharing = HoldReplication(lambda: life.id)
            if before := self.copies.get(address):
                sharing.restore(before.dump() if keeps else b"", before.holds.held_nodes())
            self.copies[address] = sharing
            return life

        self.fleet = Fleet(size, 1, make=make)  # type: ignore[arg-type]
        self.fleet.start_all()
        self.fleet.run(12.0)

    def call(self, front: int, box: str, hold: bool) -> None:
        address = self.fleet.address(front)
        (self.copies[address].hold if hold else self.copies[address].release)(box)
        self.fleet.running[address].members.push_local_change()
        self.fleet.step(address)

    def run(self, seconds: float) -> None:
        self.fleet.run(self.fleet.now + seconds)

    def held(self) -> set[frozenset[str]]:
        return {self.copies[address].holds.held_nodes() for address in self.fleet.running}


def test_a_hold_reaches_all_within_a_second_and_its_front_knows_who_has_it() -> None:
    """An operator holds a node, and the front that took the call is killed 30 ms later.

    The hold must reach all other fronts all the same.
    """
    shared = Shared()
    shared.call(3, "s-1", True)
    origin = shared.fleet.running[shared.fleet.address(3)].members
    assert all(origin.store.is_behind(id) for id in origin.active_members)  # type: ignore[union-attr]
    shared.run(0.03)
    shared.fleet.kill(3)  # 30 ms after the call
    shared.run(1.0)
    assert shared.held() == {frozenset({"s-1"})}
    shared.call(4, "s-1", False)
    shared.run(1.0)
    assert shared.held() == {frozenset()}
    other = shared.fleet.running[shared.fleet.address(4)].members
    lacking = {id.name for id in other.active_members if other.store.is_behind(id)}  # type: ignore[union-attr]
    assert lacking <= {"front-0003"}  # which nobody knows to be over yet


def test_after_a_partition_the_concurrent_hold_stands_and_a_plain_release_counts() -> None:
    """A fleet is cut in two. One side holds a node anew, the other releases that node and another one."""
    shared = Shared()
    for box in ("s-1", "s-2"):
        shared.call(0, box, True)
    shared.run(2.0)
    shared.fleet.cut([0, 1, 2, 3, 4])
    shared.run(1.0)
    shared.call(1, "s-1", True)  # again, on one side
    shared.call(9, "s-1", False)  # while the other releases what it knows of
    shared.call(9, "s-2", False)
    shared.run(20.0)
    shared.fleet.end_cuts()
    shared.run(6.0)
    assert shared.held() == {frozenset({"s-1"})}


@pytest.mark.parametrize(("keeps", "held"), [(True, frozenset()), (False, frozenset({"s-1"}))])
def test_a_release_that_a_front_missed_counts_if_it_kept_its_copy(keeps: bool, held: frozenset[str]) -> None:
    """A front is down while a node is released, and comes back.

    With its copy it learns of the release. Without, what its own record holds is held again by all: the safe
    side.
    """
    shared = Shared(keeps=keeps)
    shared.call(0, "s-1", True)
    shared.run(2.0)
    shared.fleet.kill(7)
    shared.run(20.0)
    shared.call(2, "s-1", False)
    shared.run(40.0)
    shared.fleet.start(7)
    shared.run(6.0)
    assert shared.held() == {held}


def test_malformed_copies_are_rejected_and_counted_and_the_members_that_came_along_count() -> None:
    """A peer sends a full state whose copy of the holds is garbage, or holds a node by an unknown dot."""
    shared = Shared(4)
    one = shared.fleet.running[shared.fleet.address(0)].members
    stranger = Update(MemberId("z", 1), "z:1", MemberState.ALIVE, 0)
    for bad in (b"\xc1", msgspec.msgpack.encode({"held": {"s": [[["a", 1], 9]]}})):
        one.step(shared.fleet.now, [ExchangeRequested(1, wire.encode_full_state("test", stranger, [], bad))])
    assert one.counters.rejected == {"copies unreadable": 1, "copies holds without their numbers": 1}
    assert stranger.id in one.records
    assert shared.held() == {frozenset()}


def test_a_digest_is_computed_once_for_each_change() -> None:
    """Every probe asks for the digest: computed each time, it would take 20 ms at 3,200 holds."""
    sharing = HoldReplication(lambda: MemberId("a", 1))
    sums: list[int] = []
    real = HoldReplication.compute_digest
    with mock.patch.object(HoldReplication, "compute_digest", lambda self: (sums.append(1), real(self))[1]):
        first = [sharing.digest() for _ in range(5)]
        sharing.hold("s-1")
        second = [sharing.digest() for _ in range(5)]
    assert len(sums) == 2
    assert len(set(first)) == len(set(second)) == 1
    assert first != second
