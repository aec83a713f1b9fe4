"""Replicated data types: merge properties, and holds compared with a reference model.

Also the replication of holds among the members of a simulated fleet.
"""

from __future__ import annotations

from typing import Any
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke.coordination import replicated_holds
from cleatyoke.coordination.hold_replication import HoldReplication
from cleatyoke.coordination.replicated_holds import HoldSet, LatestValues, MaximumValues
from cleatyoke.emulation.fleet import Fleet
from cleatyoke.membership import wire
from cleatyoke.membership.events import ExchangeRequested
from cleatyoke.membership.members import Membership
from cleatyoke.membership.wire import MemberId, MemberState, Update

INCARNATIONS = [MemberId(name, boot) for name in "abc" for boot in (1, 2)]
Step = tuple[str, int, int, str]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("hold", "release", "merge", "assign", "raise")),
        st.integers(0, 2),
        st.integers(0, 2),
        st.sampled_from(("s-1", "s-2")),
    ),
    max_size=25,
)


class ReleaseWins(HoldSet, frozen=True):
    """A faulty set that ignores dots: a release also removes holds that it did not know of."""

    def merge(self, other: HoldSet) -> HoldSet:
        merged = super().merge(other)
        common = self.dots_by_node.keys() & other.dots_by_node.keys()
        return ReleaseWins(
            merged.clock, {node: dots for node, dots in merged.dots_by_node.items() if node in common}
        )


def apply_steps(
    steps: list[Step], empty: HoldSet
) -> tuple[list[HoldSet], list[LatestValues], list[MaximumValues], bool]:
    """Apply the steps to the copies of three fronts and to a reference model.

    In the model, a front knows hold operations by number. A hold is in effect at a front unless the front
    knows of a release that knew of that hold. The last result is whether each front's held nodes were those
    of the model after every step.
    """
    holds, latest, highest = [empty] * 3, [LatestValues()] * 3, [MaximumValues()] * 3
    known: list[set[int]] = [set(), set(), set()]  # by front: numbers of the holds that it knows of
    released: list[set[int]] = [set(), set(), set()]  # by front: those of them that it knows to be released
    node_of: list[str] = []  # by number of the hold
    matches_model = True
    for operation, front, other, node in steps:
        match operation:
            case "hold":
                # The new hold replaces those that the front knows of.
                released[front] |= {number for number in known[front] if node_of[number] == node}
                known[front].add(len(node_of))
                node_of.append(node)
                holds[front] = holds[front].hold(INCARNATIONS[front], node)
            case "release":
                released[front] |= {number for number in known[front] if node_of[number] == node}
                holds[front] = holds[front].release(node)
            case "merge":
                known[front] |= known[other]
                released[front] |= released[other]
                holds[front] = holds[front].merge(holds[other])
                latest[front] = latest[front].merge(latest[other])
                highest[front] = highest[front].merge(highest[other])
            case "assign":
                latest[front] = latest[front].assign(INCARNATIONS[front], node, 1.0)
            case "raise":
                highest[front] = highest[front].raise_to(node, other)
        model = {node_of[number] for number in known[front] - released[front]}
        matches_model = matches_model and holds[front].held_nodes() == model
    return holds, latest, highest, matches_model


@settings(deadline=None, derandomize=True, max_examples=200)
@given(STEPS)
def test_hold_is_in_effect_until_a_release_that_knew_of_it_is_merged(steps: list[Step]) -> None:
    assert apply_steps(steps, HoldSet())[3]


def test_concurrent_hold_and_release_leave_the_node_held_unlike_a_set_without_dots() -> None:
    """Guards against requests to a node under repair after a concurrent hold and release.

    One operator releases the node while another holds it again at another front, before either front has
    received the other's change. If the release won, the node would be used.
    """
    concurrent: list[Step] = [
        ("hold", 0, 0, "s-1"),
        ("merge", 1, 0, ""),
        ("release", 1, 0, "s-1"),
        ("hold", 0, 0, "s-1"),
        ("merge", 0, 1, ""),
        ("merge", 1, 0, ""),
    ]
    holds, _, _, matches_model = apply_steps(concurrent, HoldSet())
    assert matches_model
    assert [copy.held_nodes() for copy in holds[:2]] == [{"s-1"}, {"s-1"}]
    assert not apply_steps(concurrent, ReleaseWins())[3]


@settings(deadline=None, derandomize=True, max_examples=100)
@given(STEPS)
def test_merge_is_commutative_associative_and_idempotent(steps: list[Step]) -> None:
    for copies in apply_steps(steps, HoldSet())[:3]:
        kind = {HoldSet: "holds", LatestValues: "latest", MaximumValues: "highest"}[type(copies[0])]
        a, b, c = copies
        merged = replicated_holds.merge(kind, a, b)
        assert merged == replicated_holds.merge(kind, b, a)
        assert replicated_holds.merge(kind, merged, c) == replicated_holds.merge(
            kind, a, replicated_holds.merge(kind, b, c)
        )
        assert replicated_holds.merge(kind, merged, b) == merged
        assert replicated_holds.decode(kind, msgspec.msgpack.encode(merged)) == merged


def test_forget_actors_keeps_an_actor_until_every_copy_knows_its_dots() -> None:
    a, b = INCARNATIONS[0], INCARNATIONS[2]
    current, behind = HoldSet().hold(a, "s-1").release("s-1").hold(b, "s-2"), HoldSet().hold(b, "s-2")
    assert current.includes(behind)
    assert not behind.includes(current)
    assert current.forget_actors([a, b], [current, behind]) == current  # ``behind`` lacks a dot of a
    assert current.forget_actors([a, b], [current]).clock == {b: 1}  # a hold of b is left
    assert current.forget_actors([], [current]) == current


@pytest.mark.parametrize(
    ("kind", "value", "reason"),
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
def test_decode_of_a_malformed_copy_raises_its_reason(kind: str, value: object, reason: str) -> None:
    with pytest.raises(ValueError, match=f"^{reason}$"):
        replicated_holds.decode(kind, msgspec.msgpack.encode(value))


# Replication among the members of a fleet, in virtual time


class ReplicatingFleet:
    """A fleet in virtual time whose fronts restore their holds in the next incarnation.

    ``keeps_copies``: whether a front restores its whole copy, or only the ids of the held nodes.
    """

    def __init__(self, size: int = 12, keeps_copies: bool = True) -> None:
        self.replications: dict[str, HoldReplication] = {}

        def make(deployment: str, name: str, boot: int, address: str, *rest: Any, **more: Any) -> Membership:
            membership = Membership(deployment, name, boot, address, *rest, **more)
            membership.store = replication = HoldReplication(lambda: membership.id)
            if before := self.replications.get(address):
                replication.restore(before.dump() if keeps_copies else b"", before.holds.held_nodes())
            self.replications[address] = replication
            return membership

        self.simulation = Fleet(size, 1, make=make)  # type: ignore[arg-type]
        self.simulation.start_all()
        self.simulation.run(12.0)

    def set_hold(self, front: int, node: str, hold: bool) -> None:
        address = self.simulation.address(front)
        (self.replications[address].hold if hold else self.replications[address].release)(node)
        self.simulation.running[address].members.push_local_change()
        self.simulation.step(address)

    def run(self, seconds: float) -> None:
        self.simulation.run(self.simulation.now + seconds)

    def held_at_fronts(self) -> set[frozenset[str]]:
        return {self.replications[address].holds.held_nodes() for address in self.simulation.running}


def test_hold_reaches_all_fronts_within_a_second_though_its_front_is_killed() -> None:
    """Guards against a hold that is lost because the front that accepted it is killed 30 ms later.

    A front must also know which members do not have a change yet.
    """
    fleet = ReplicatingFleet()
    fleet.set_hold(3, "s-1", True)
    origin = fleet.simulation.running[fleet.simulation.address(3)].members
    assert all(origin.store.is_behind(id) for id in origin.active_members)  # type: ignore[union-attr]
    fleet.run(0.03)
    fleet.simulation.kill(3)  # 30 ms after the hold
    fleet.run(1.0)
    assert fleet.held_at_fronts() == {frozenset({"s-1"})}
    fleet.set_hold(4, "s-1", False)
    fleet.run(1.0)
    assert fleet.held_at_fronts() == {frozenset()}
    other = fleet.simulation.running[fleet.simulation.address(4)].members
    lacking = {id.name for id in other.active_members if other.store.is_behind(id)}  # type: ignore[union-attr]
    assert lacking <= {"front-0003"}  # killed, which no front has detected yet


def test_merge_after_a_partition_keeps_a_concurrent_hold_and_applies_other_releases() -> None:
    """Guards against a hold lost by a merge, and against a release without effect.

    One side of a partition holds a node again; the other side releases that node and another one.
    """
    fleet = ReplicatingFleet()
    for node in ("s-1", "s-2"):
        fleet.set_hold(0, node, True)
    fleet.run(2.0)
    fleet.simulation.cut([0, 1, 2, 3, 4])
    fleet.run(1.0)
    fleet.set_hold(1, "s-1", True)  # held again on one side
    fleet.set_hold(9, "s-1", False)  # released on the other side, which knows only of the first hold
    fleet.set_hold(9, "s-2", False)
    fleet.run(20.0)
    fleet.simulation.end_cuts()
    fleet.run(6.0)
    assert fleet.held_at_fronts() == {frozenset({"s-1"})}


@pytest.mark.parametrize(("keeps_copies", "held"), [(True, frozenset()), (False, frozenset({"s-1"}))])
def test_missed_release_takes_effect_after_a_restart_only_with_a_restored_copy(
    keeps_copies: bool, held: frozenset[str]
) -> None:
    """Guards against a release that is undone because a front was down when it was made.

    If the restarted front restores its copy, the release takes effect there. If it has only the ids of held
    nodes, the node is held again at all fronts, which is the safe side.
    """
    fleet = ReplicatingFleet(keeps_copies=keeps_copies)
    fleet.set_hold(0, "s-1", True)
    fleet.run(2.0)
    fleet.simulation.kill(7)
    fleet.run(20.0)
    fleet.set_hold(2, "s-1", False)
    fleet.run(40.0)
    fleet.simulation.start(7)
    fleet.run(6.0)
    assert fleet.held_at_fronts() == {held}


def test_full_state_with_a_malformed_copy_counts_the_rejection_and_applies_its_members() -> None:
    """Covers a peer's holds that cannot be decoded, and a dot that their version vector does not cover."""
    fleet = ReplicatingFleet(4)
    membership = fleet.simulation.running[fleet.simulation.address(0)].members
    new_member = Update(MemberId("z", 1), "z:1", MemberState.ALIVE, 0)
    for malformed in (b"\xc1", msgspec.msgpack.encode({"held": {"s": [[["a", 1], 9]]}})):
        membership.step(
            fleet.simulation.now,
            [ExchangeRequested(1, wire.encode_full_state("test", new_member, [], malformed))],
        )
    assert membership.counters.rejected == {"copies unreadable": 1, "copies holds without their numbers": 1}
    assert new_member.id in membership.records
    assert fleet.held_at_fronts() == {frozenset()}


def test_digest_is_computed_once_per_change() -> None:
    """Guards against a digest computed for every probe, which would take 20 ms at 3,200 holds."""
    replication = HoldReplication(lambda: MemberId("a", 1))
    calls: list[int] = []
    compute = HoldReplication.compute_digest
    with mock.patch.object(
        HoldReplication, "compute_digest", lambda self: (calls.append(1), compute(self))[1]
    ):
        before = [replication.digest() for _ in range(5)]
        replication.hold("s-1")
        after = [replication.digest() for _ in range(5)]
    assert len(calls) == 2
    assert len(set(before)) == len(set(after)) == 1
    assert before != after
