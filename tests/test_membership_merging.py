"""Merging of updates, reported transitions, and the conclusions drawn from a view."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke.membership.actions import ChangeKind, MembershipChanged
from cleatyoke.membership.conclusions import ObservedMember, conclude
from cleatyoke.membership.events import LeaveRequested
from cleatyoke.membership.members import Membership
from cleatyoke.membership.wire import MemberId, MemberState, Update
from tests.membership_fleets import single_member, update_of

updates = st.builds(
    update_of,
    st.sampled_from("bcd"),
    st.integers(1, 2),
    st.sampled_from(MemberState),
    st.integers(0, 3),
    st.just("x"),
)


@settings(deadline=None, derandomize=True, max_examples=60)
@given(st.lists(updates, max_size=12), st.randoms(use_true_random=False))
def test_merge_update_in_any_order_and_repeated_gives_one_view(
    received: list[Update], rng: random.Random
) -> None:
    checksums = set()
    for sequence in (received, received * 2, rng.sample(received, len(received))):
        membership = single_member()
        membership.step(0.0)
        for update in sequence:
            membership.merge_update(update)
        checksums.add(membership.operator_view_checksum())
    assert len(checksums) == 1


def test_merge_update_reports_each_transition_once() -> None:
    membership = single_member()
    reported: list[MembershipChanged] = []
    for at, state, incarnation in (
        (0.0, 0, 0),
        (0.1, 0, 0),
        (0.2, 1, 0),
        (0.3, 1, 0),
        (0.4, 0, 1),
        (0.5, 3, 1),
    ):
        membership.actions = []
        membership.now = at
        membership.merge_update(update_of("b", 1, MemberState(state), incarnation, "x"))
        reported += [action for action in membership.actions if isinstance(action, MembershipChanged)]
    assert [action.change for action in reported] == [
        ChangeKind.JOINED,
        ChangeKind.SUSPECTED,
        ChangeKind.RETURNED,
        ChangeKind.LEFT,
    ]


def test_leave_completes_when_no_updates_are_left_to_send() -> None:
    """The last update of a leaving member is piggybacked on an answer, so no gossip is pending any more.

    The leave must complete nevertheless. If it waited for another gossip round, the process would not exit.
    """
    membership = single_member()
    membership.step(0.0, [LeaveRequested()])
    membership.transmit_counts.clear()
    membership.step(membership.next_step_at())
    assert membership.has_left


def test_step_after_backward_clock_jump_keeps_timers() -> None:
    """The host's clock jumps back by a minute while the member waits for its seed.

    Its next step must be due as soon as before, it must keep asking its seed, and no member may change state.
    """
    membership = Membership("test", "a", 1, "a:1", ("b:1",), random.Random(1))
    membership.step(100.0)
    due = membership.next_step_at()
    membership.step(40.0)
    assert membership.next_step_at() - 40.0 == pytest.approx(due - 100.0)
    steps = [membership.step(40.0 + tenth / 10) for tenth in range(40)]
    assert sum(map(len, steps)) >= 2  # it still asks its seed
    assert not [action for action in itertools.chain(*steps) if isinstance(action, MembershipChanged)]


def test_conclude_counts_members_as_stopped_only_after_leave_or_restart() -> None:
    """Members become unreachable, leave and restart. An unreachable member may still serve requests.

    If too few fronts were counted, each would use more than its share of the common capacity.
    """
    members = [
        ObservedMember(update_of("b", state=MemberState.DEAD), 0.0),
        ObservedMember(update_of("c", state=MemberState.LEFT), 9.9),
        ObservedMember(update_of("d", 1, MemberState.DEAD), 0.0),
        ObservedMember(update_of("d", 2), 9.9),
        ObservedMember(update_of("e"), 5.0),
    ]
    conclusion = conclude(update_of(), members, 2, 10.0)
    assert conclusion.certainly_stopped == {MemberId("c", 1), MemberId("d", 1)}
    assert conclusion.certainly_up == {MemberId("a", 1), MemberId("d", 2)}
    assert conclusion.perhaps_up == {
        MemberId(name, boot) for name, boot in (("a", 1), ("b", 1), ("d", 2), ("e", 1))
    }
    assert conclusion.front_count == 4
    # Fronts on the other side of a partition may be unknown here, so the configured number is the minimum.
    assert conclude(update_of(), members, 7, 10.0).front_count == 7
    # During an upgrade there are two processes of one name, and the second does not own the address yet.
    successor = Update(MemberId("d", 2), "d:2", MemberState.ALIVE, 0, False)
    upgrade = [ObservedMember(update_of("d", 1), 9.9), ObservedMember(successor, 9.9)]
    during_upgrade = conclude(update_of(), upgrade, 1, 10.0)
    assert during_upgrade.perhaps_up >= {MemberId("d", 1), MemberId("d", 2)}
