"""How updates merge, which transitions are reported, and what may be concluded from the result."""

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
def test_updates_merge_to_one_view_in_any_order_any_number_of_times(
    received: list[Update], rng: random.Random
) -> None:
    digests = set()
    for order in (received, received * 2, rng.sample(received, len(received))):
        one = single_member()
        one.step(0.0)
        for update in order:
            one.merge_update(update)
        digests.add(one.operator_view_checksum())
    assert len(digests) == 1


def test_each_transition_is_reported_once() -> None:
    one = single_member()
    reported: list[MembershipChanged] = []
    for at, state, count in ((0.0, 0, 0), (0.1, 0, 0), (0.2, 1, 0), (0.3, 1, 0), (0.4, 0, 1), (0.5, 3, 1)):
        one.actions = []
        one.now = at
        one.merge_update(update_of("b", 1, MemberState(state), count, "x"))
        reported += [action for action in one.actions if isinstance(action, MembershipChanged)]
    assert [each.change for each in reported] == [
        ChangeKind.JOINED,
        ChangeKind.SUSPECTED,
        ChangeKind.RETURNED,
        ChangeKind.LEFT,
    ]


def test_a_member_that_leaves_ends_once_all_its_updates_have_been_sent() -> None:
    """A member leaves, and its last update goes out on an answer, so that no gossip is left to be sent.

    It has to end all the same: waiting for a round of gossip that never comes, its process would not stop.
    """
    one = single_member()
    one.step(0.0, [LeaveRequested()])
    one.transmit_counts.clear()
    one.step(one.next_step_at())
    assert one.has_left


def test_a_clock_that_jumps_back_costs_nothing() -> None:
    """The host's clock jumps back by a minute while the member waits for its seed.

    Its next step has to be due as soon as before, and it asks its seed on; no member changes state by it.
    """
    one = Membership("test", "a", 1, "a:1", ("b:1",), random.Random(1))
    one.step(100.0)
    due = one.next_step_at()
    one.step(40.0)
    assert one.next_step_at() - 40.0 == pytest.approx(due - 100.0)
    steps = [one.step(40.0 + tenth / 10) for tenth in range(40)]
    assert sum(map(len, steps)) >= 2  # it still asks its seed
    assert not [action for action in itertools.chain(*steps) if isinstance(action, MembershipChanged)]


def test_only_its_own_leave_or_restart_proves_that_a_member_is_over() -> None:
    """Members fall silent, leave and restart. Silence proves nothing, as a silent one may still be at work.

    Counting too few fronts would let each take more than its share of what they have in common.
    """
    members = [
        ObservedMember(update_of("b", state=MemberState.DEAD), 0.0),
        ObservedMember(update_of("c", state=MemberState.LEFT), 9.9),
        ObservedMember(update_of("d", 1, MemberState.DEAD), 0.0),
        ObservedMember(update_of("d", 2), 9.9),
        ObservedMember(update_of("e"), 5.0),
    ]
    found = conclude(update_of(), members, 2, 10.0)
    assert found.certainly_stopped == {MemberId("c", 1), MemberId("d", 1)}
    assert found.certainly_up == {MemberId("a", 1), MemberId("d", 2)}
    assert found.perhaps_up == {
        MemberId(name, boot) for name, boot in (("a", 1), ("b", 1), ("d", 2), ("e", 1))
    }
    assert found.front_count == 4
    assert conclude(update_of(), members, 7, 10.0).front_count == 7  # one beyond a cut is in nobody's view
    # An upgrade: two processes of one name, of which the second does not own the address.
    beside = Update(MemberId("d", 2), "d:2", MemberState.ALIVE, 0, False)
    upgrade = [ObservedMember(update_of("d", 1), 9.9), ObservedMember(beside, 9.9)]
    both = conclude(update_of(), upgrade, 1, 10.0)
    assert both.perhaps_up >= {MemberId("d", 1), MemberId("d", 2)}
