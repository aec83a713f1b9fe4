"""Single faults in a fleet in virtual time. Most rules are also tested with a member that lacks the rule."""

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


@pytest.mark.parametrize("killed", [[5], [1, 4, 7, 10], [0, 1, 2]])
def test_membership_killed_fronts_are_detected_without_false_deaths(killed: list[int]) -> None:
    """One front, a third of all fronts, or all seeds are killed at the same time."""
    fleet = started_fleet()
    assert fleet.has_one_view()
    for front in killed:
        fleet.kill(front)
    assert fleet.settle(SETTLE_SECONDS) is not None
    assert count_false_deaths(fleet) == 0
    fleet.check_counts()
    assert not fleet.broken


@pytest.mark.parametrize(("membership_class", "fails"), [(Membership, False), (NeverRefutes, True)])
def test_membership_suspended_process_is_counted_and_returns(
    membership_class: type[Membership], fails: bool
) -> None:
    """A process is suspended for 16 s, so that all others believe it dead, and then resumes.

    It must be counted throughout, as it may still serve requests. It detects the pause and announces under a
    new incarnation that it is alive; without that it would stay dead for the others.
    """
    fleet = started_fleet(membership_class=membership_class)
    id = membership_of(fleet, 3).id
    fleet.stop(3, 16.0)
    fleet.run(fleet.now + 15.9)
    assert fleet.fraction_knowing_dead(id) > 0.5
    fleet.check_counts()  # it is still counted
    fleet.run(fleet.now + 0.2)
    assert membership_of(fleet, 3).incarnation > 0  # raised before any message about it arrived
    if fails:
        membership_of(fleet, 3).incarnation = 0  # as if it had not announced itself
    assert (fleet.settle(HEAL_SECONDS) is None) == fails
    assert not fleet.broken


@pytest.mark.parametrize(
    ("membership_class", "max_suspicions"), [(Membership, 0), (NeverProbesIndirectly, 10**6)]
)
def test_probing_one_way_link_failure_raises_no_suspicion(
    membership_class: type[Membership], max_suspicions: int
) -> None:
    """A link fails in one direction for a minute; helpers that reach both ends prevent a suspicion."""
    fleet = started_fleet(membership_class=membership_class)
    fleet.network.cut_one_way.add((fleet.address(4), fleet.address(7)))
    fleet.run(fleet.now + 60.0)
    suspicions = membership_of(fleet, 4).counters.suspicions + membership_of(fleet, 7).counters.suspicions
    assert count_false_deaths(fleet) == 0
    assert (suspicions > 0) == (max_suspicions > 0)


@pytest.mark.parametrize(("membership_class", "fails"), [(Membership, False), (NeverProbesDeadMembers, True)])
def test_membership_healed_partition_merges_into_one_view(
    membership_class: type[Membership], fails: bool
) -> None:
    """Five fronts are partitioned for 30 s, each side believes the other dead, and there are no seeds.

    Members believed dead are probed at intervals; without that the two sides would stay separate forever.
    """
    fleet = started_fleet(membership_class=membership_class)
    for process in fleet.running.values():
        process.members.seeds.clear()  # so that the sides cannot find each other through a seed
    fleet.cut([0, 1, 2, 3, 4])
    for _ in range(30):
        fleet.run(fleet.now + 1.0)
        fleet.check_counts()
    assert len(membership_of(fleet, 0).dead_members) == 7
    assert len(membership_of(fleet, 11).dead_members) == 5
    fleet.end_cuts()
    assert (fleet.settle(HEAL_SECONDS) is None) == fails
    assert not fleet.broken


def test_membership_front_that_reaches_both_sides_of_a_partition_declares_no_deaths() -> None:
    """Two groups are partitioned from each other for 30 s, and one front still reaches both."""
    fleet = started_fleet()
    for front_a, front_b in itertools.product((1, 2, 3, 4, 5), (6, 7, 8, 9, 10, 11)):
        address_a, address_b = fleet.address(front_a), fleet.address(front_b)
        fleet.network.cut_one_way |= {(address_a, address_b), (address_b, address_a)}
    fleet.run(fleet.now + 30.0)
    fleet.check_counts()
    assert membership_of(fleet, 0).counters.deaths == 0
    fleet.end_cuts()
    # Members suspected just before may still be declared dead and return: 0.1 to 3.4 s over 8 seeds.
    assert fleet.settle(2 * HEAL_SECONDS) is not None
    assert not fleet.broken


def test_membership_rolling_restart_declares_no_deaths() -> None:
    """Each front leaves and restarts in turn: no death is declared, and all fronts remember who left."""
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
def test_membership_heavy_loss_keeps_one_view(loss: float) -> None:
    """Links lose 30 % of the datagrams and duplicate and corrupt some, for a minute."""
    fleet = started_fleet(loss=loss, duplication=0.02, corruption=0.02)
    fleet.run(fleet.now + 60.0)
    assert fleet.settle(SETTLE_SECONDS) is not None
    assert not fleet.broken


def test_joining_while_seeds_are_down_reaches_one_view() -> None:
    """Fronts start and leave while seeds are down, until the last seed has left as well.

    Members probe those that are believed dead or left, so that each front still finds the fleet.
    """
    fleet = Fleet(SIZE, 2)
    for front in range(2, SIZE):
        fleet.start(front)
    assert fleet.settle(SETTLE_SECONDS) is not None
    fleet.kill(2)
    fleet.run(fleet.now + 20.0)
    fleet.start(7)  # restarts while no seed is up
    assert fleet.settle(SETTLE_SECONDS) is not None
    fleet.start(0)
    assert fleet.settle(SETTLE_SECONDS) is not None
    for front in (0, 1, 5):
        fleet.leave(front)
    fleet.run(fleet.now + 5.0)
    fleet.start(5)  # left before, and returns after all seeds have left
    assert fleet.settle(SETTLE_SECONDS) is not None


@pytest.mark.parametrize(("membership_class", "fails"), [(Membership, False), (ForgetsBoot, True)])
def test_membership_reused_boot_number_is_replaced_by_a_higher_one(
    membership_class: type[Membership], fails: bool
) -> None:
    """A front restarts from an old disk, under a boot number under which it has left before.

    A leave is final for a boot number, so all others would ignore the front: it has to take a higher one.
    """
    fleet = started_fleet(membership_class=membership_class)
    fleet.leave(6)
    fleet.run(fleet.now + 2.0)
    fleet.start(6, boot=1)
    assert (fleet.settle(HEAL_SECONDS) is None) == fails
    if not fails:
        assert membership_of(fleet, 6).id.boot == 2
    fleet.check_counts()
    assert not [violation for violation in fleet.broken if violation.startswith("count")]


@pytest.mark.parametrize(
    ("membership_class", "max_datagrams"), [(Membership, 200), (NotifiesWithoutBound, 10**9)]
)
def test_suspicion_mutually_dead_members_exchange_few_notifications(
    membership_class: type[Membership], max_datagrams: int
) -> None:
    """Two members believe each other dead, and neither refutes.

    Each notifies the other at each message; without a minimum interval each notification would be answered
    by another one, and the two would saturate their link.
    """
    mute_class = type("Mute", (membership_class,), {"refute": NeverRefutes.refute})
    fleet = started_fleet(2, membership_class=mute_class)
    for front in (0, 1):
        other = membership_of(fleet, 1 - front).own_update()
        dead = Update(other.id, other.address, MemberState.DEAD, other.incarnation, True)
        membership_of(fleet, front).merge_update(dead)
    before = fleet.traffic()[0]
    fleet.run(fleet.now + 10.0)
    sent = fleet.traffic()[0] - before
    assert (sent <= 200) == (max_datagrams == 200)


def test_anti_entropy_exchanges_states_only_where_they_differ() -> None:
    """Gossip has missed one member in one front's view, and periodic exchanges are disabled.

    Equal views must not be exchanged, as a full state grows with the fleet. A differing view must be, or the
    front would never learn of the member.
    """
    fleet = started_fleet()
    incomplete, missing = membership_of(fleet, 2), membership_of(fleet, 9).id
    incomplete.timing = MembershipTiming(exchange_interval=3600.0)  # no periodic exchanges
    incomplete.due_at.exchange = incomplete.due_at.join = 3600.0
    for process in fleet.running.values():
        process.members.due_at.exchange = process.members.due_at.join = 3600.0
    before = [process.members.counters.bytes_out for process in fleet.running.values()]
    fleet.run(fleet.now + 10.0)
    after = [process.members.counters.bytes_out for process in fleet.running.values()]
    assert max(end - begin for begin, end in zip(before, after)) < 5000  # no full state was sent
    record = incomplete.records.pop(missing)  # as if gossip had missed this member
    incomplete.active_checksum ^= record.checksum
    del incomplete.active_members[missing]
    assert fleet.settle(SETTLE_SECONDS) is not None
