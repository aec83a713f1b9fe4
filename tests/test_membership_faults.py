"""A fleet in virtual time through single faults. Each rule has a variant without it, which fails."""

from __future__ import annotations

import itertools

import pytest

from cleatyoke.emulation.fleet import Fleet
from cleatyoke.membership.members import Membership
from cleatyoke.membership.timing import MembershipTiming
from cleatyoke.membership.wire import MemberState, Update
from tests.membership_fleets import (
    HEAL_SECONDS,
    SETTLE_SECONDS,
    SIZE,
    ForgetsBoot,
    NeverProbesDeadMembers,
    NeverProbesIndirectly,
    NeverRefutes,
    NotifiesWithoutBound,
    count_false_deaths,
    membership_of,
    started_fleet,
)


@pytest.mark.parametrize("dead", [[5], [1, 4, 7, 10], [0, 1, 2]])
def test_killed_members_are_known_to_all_and_nobody_else_is_believed_dead(dead: list[int]) -> None:
    """One front, a third of all, or all seeds are killed at once."""
    fleet = started_fleet()
    assert fleet.has_one_view()
    for front in dead:
        fleet.kill(front)
    assert fleet.settle(SETTLE_SECONDS) is not None
    assert count_false_deaths(fleet) == 0
    fleet.check_counts()
    assert not fleet.broken


@pytest.mark.parametrize(("make", "caught"), [(Membership, False), (NeverRefutes, True)])
def test_a_stopped_process_is_counted_and_comes_back_by_itself(make: type[Membership], caught: bool) -> None:
    """A process is stopped for 16 s, so that all others believe it dead, and goes on.

    It must be counted all the while, as it may be at work. It notices its pause and says that it is alive
    under a new incarnation; without that nothing would bring it back.
    """
    fleet = started_fleet(make=make)
    id = membership_of(fleet, 3).id
    fleet.stop(3, 16.0)
    fleet.run(fleet.now + 15.9)
    assert fleet.fraction_knowing_dead(id) > 0.5
    fleet.check_counts()  # it is counted all the same
    fleet.run(fleet.now + 0.2)
    assert membership_of(fleet, 3).incarnation > 0  # and went beyond what was said of it, unasked
    if caught:
        membership_of(fleet, 3).incarnation = 0  # without its own message nothing brings it back
    assert (fleet.settle(HEAL_SECONDS) is None) == caught
    assert not fleet.broken


@pytest.mark.parametrize(("make", "most"), [(Membership, 0), (NeverProbesIndirectly, 10**6)])
def test_a_link_that_fails_one_way_is_bridged_by_helpers(make: type[Membership], most: int) -> None:
    """One front does not hear another for a minute; helpers that hear both keep it from suspicion."""
    fleet = started_fleet(make=make)
    fleet.network.cut_one_way.add((fleet.address(4), fleet.address(7)))
    fleet.run(fleet.now + 60.0)
    raised = membership_of(fleet, 4).counters.suspicions + membership_of(fleet, 7).counters.suspicions
    assert count_false_deaths(fleet) == 0
    assert (raised > 0) == (most > 0)


@pytest.mark.parametrize(("make", "caught"), [(Membership, False), (NeverProbesDeadMembers, True)])
def test_a_group_that_was_cut_off_is_one_fleet_again(make: type[Membership], caught: bool) -> None:
    """Five fronts are cut off for 30 s, and each side believes the other dead. No seed helps.

    Members believed dead are probed now and then; without that the two sides would stay apart for good.
    """
    fleet = started_fleet(make=make)
    for process in fleet.running.values():
        process.members.seeds.clear()  # nobody outside helps
    fleet.cut([0, 1, 2, 3, 4])
    for _ in range(30):
        fleet.run(fleet.now + 1.0)
        fleet.check_counts()
    assert len(membership_of(fleet, 0).dead_members) == 7
    assert len(membership_of(fleet, 11).dead_members) == 5
    fleet.end_cuts()
    assert (fleet.settle(HEAL_SECONDS) is None) == caught
    assert not fleet.broken


def test_a_member_that_sees_both_sides_of_a_cut_holds_them_together() -> None:
    """Two groups don't hear each other for 30 s, and one front hears both: it must declare nobody dead."""
    fleet = started_fleet()
    for here, there in itertools.product((1, 2, 3, 4, 5), (6, 7, 8, 9, 10, 11)):
        one, other = fleet.address(here), fleet.address(there)
        fleet.network.cut_one_way |= {(one, other), (other, one)}
    fleet.run(fleet.now + 30.0)
    fleet.check_counts()
    assert membership_of(fleet, 0).counters.deaths == 0
    fleet.end_cuts()
    # What was suspected just before may still be declared dead, and be taken back: 0.1 to 3.4 s over 8 seeds.
    assert fleet.settle(2 * HEAL_SECONDS) is not None
    assert not fleet.broken


def test_a_rolling_restart_leaves_in_order_and_makes_nobody_suspected() -> None:
    """Each front leaves and starts again in turn: no death is declared, and all remember who left."""
    fleet = started_fleet()
    for front in range(SIZE):
        fleet.leave(front)
        fleet.run(fleet.now + 1.0)
        assert fleet.address(front) not in fleet.running
        fleet.start(front)
        fleet.run(fleet.now + 1.0)
    assert fleet.settle(HEAL_SECONDS) is not None
    assert not fleet.journal.deaths
    assert not fleet.broken
    assert all(len(membership_of(fleet, front).left_members) == SIZE for front in range(SIZE - 1))


@pytest.mark.parametrize("loss", [0.3])
def test_heavy_loss_leaves_one_view(loss: float) -> None:
    """Links lose three datagrams of ten, double some and garble some for a minute."""
    fleet = started_fleet(loss=loss, duplication=0.02, corruption=0.02)
    fleet.run(fleet.now + 60.0)
    assert fleet.settle(SETTLE_SECONDS) is not None
    assert not fleet.broken


def test_seeds_that_are_down_part_nobody_for_good() -> None:
    """Fronts start and leave while seeds are down, until no seed is left but one that has been away.

    Members look for those that are believed dead or left, so that each finds the fleet in the end.
    """
    fleet = Fleet(SIZE, 2)
    for front in range(2, SIZE):
        fleet.start(front)
    assert fleet.settle(SETTLE_SECONDS) is not None
    fleet.kill(2)
    fleet.run(fleet.now + 20.0)
    fleet.start(7)  # no seed is left; the others look for members that they believe dead
    assert fleet.settle(SETTLE_SECONDS) is not None
    fleet.start(0)
    assert fleet.settle(SETTLE_SECONDS) is not None
    for front in (0, 1, 5):
        fleet.leave(front)
    fleet.run(fleet.now + 5.0)
    fleet.start(5)  # it left in order, and is back where all the seeds have left
    assert fleet.settle(SETTLE_SECONDS) is not None


@pytest.mark.parametrize(("make", "caught"), [(Membership, False), (ForgetsBoot, True)])
def test_a_front_with_an_old_boot_number_takes_a_higher_one(make: type[Membership], caught: bool) -> None:
    """A front restarts from an old disk, under a boot number that it has used and left before.

    Leaving is final for a boot number, so that all others would ignore it: it has to go beyond.
    """
    fleet = started_fleet(make=make)
    fleet.leave(6)
    fleet.run(fleet.now + 2.0)
    fleet.start(6, boot=1)
    assert (fleet.settle(HEAL_SECONDS) is None) == caught
    if not caught:
        assert membership_of(fleet, 6).id.boot == 2
    fleet.check_counts()
    assert not [broken for broken in fleet.broken if broken.startswith("count")]


@pytest.mark.parametrize(("make", "most"), [(Membership, 200), (NotifiesWithoutBound, 10**9)])
def test_two_that_believe_each_other_dead_don_t_answer_without_end(make: type[Membership], most: int) -> None:
    """Two members believe each other dead, and neither refutes.

    Each notifies the other of that at each message; without a bound each notice would be answered by another
    one, and the two would fill their link.
    """
    mute = type("Mute", (make,), {"refute": NeverRefutes.refute})
    fleet = started_fleet(2, make=mute)
    for front in (0, 1):
        other = membership_of(fleet, 1 - front).own_update()
        dead = Update(other.id, other.address, MemberState.DEAD, other.incarnation, True)
        membership_of(fleet, front).merge_update(dead)
    before = fleet.traffic()[0]
    fleet.run(fleet.now + 10.0)
    sent = fleet.traffic()[0] - before
    assert (sent <= 200) == (most == 200)


def test_states_that_differ_without_news_are_exchanged_and_others_are_not() -> None:
    """Gossip has left one member out of one front's view, and exchanges by the clock are off.

    Equal views must not be exchanged, as a full state grows with the fleet; the differing one must be, or the
    front would never learn of the member.
    """
    fleet = started_fleet()
    one, lost = membership_of(fleet, 2), membership_of(fleet, 9).id
    one.timing = MembershipTiming(exchange_interval=3600.0)  # the clock does not help
    one.due_at.exchange = one.due_at.join = 3600.0
    for process in fleet.running.values():
        process.members.due_at.exchange = process.members.due_at.join = 3600.0
    before = [process.members.counters.bytes_out for process in fleet.running.values()]
    fleet.run(fleet.now + 10.0)
    spent = [process.members.counters.bytes_out for process in fleet.running.values()]
    assert max(after - was for was, after in zip(before, spent)) < 5000  # no full state among them
    record = one.records.pop(lost)  # gossip has left one out
    one.active_checksum ^= record.checksum
    del one.active_members[lost]
    assert fleet.settle(SETTLE_SECONDS) is not None
