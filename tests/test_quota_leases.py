"""Quota leases: the whole is never exceeded, and quota goes where the demand is."""

from __future__ import annotations

import copy
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke.coordination.lease_events import (
    DemandChanged,
    LeaseMessageReceived,
    PeersChanged,
    QuotaFractionChanged,
)
from cleatyoke.coordination.lease_terms import NEVER_LEASED_PARTS, LeaseTerms
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.emulation.network import Network
from cleatyoke.emulation.quota_leases import RESOURCE, LeaseSimulation
from cleatyoke.membership.wire import HOME_PARTS, LeaseGrant, LeaseRequest, MemberId
from tests.quota_lease_variants import EndsAfterGrant, KeptOverRestart, SilenceFrees


def simulate(seed: int, make: type[QuotaLeases] = QuotaLeases, seconds: float = 40.0) -> LeaseSimulation:
    """Random demand, restarts, pauses, loss, duplicates and long delays; ends with the last event."""
    rng = random.Random(f"play:{seed}")
    network = Network(
        seed, delay=0.001, jitter=rng.choice((0.01, 0.5, 3.0)), loss=rng.choice((0.0, 0.3)), duplication=0.05
    )
    simulation = LeaseSimulation(6, seed, network, make=make)
    while simulation.now < seconds:
        front = rng.randrange(simulation.size)
        match rng.randrange(6):
            case 0:
                simulation.start(front)
            case 1:
                simulation.stop(front, rng.uniform(0.5, 5.0))
            case 2:
                network.sides = {str(one): rng.randrange(2) for one in range(simulation.size)}
            case 3:
                network.sides = {}
        simulation.demands = [rng.choice((0.0, 200.0, 900.0, 4000.0)) for _ in range(simulation.size)]
        simulation.run(simulation.now + rng.uniform(0.2, 3.0))
    return simulation


@settings(deadline=None, derandomize=True, max_examples=25)
@given(st.integers(0, 10**6))
def test_all_fronts_together_never_may_use_more_than_the_whole(seed: int) -> None:
    """Messages are lost, duplicated and late, fronts are cut off, paused and restarted, clocks run apart.

    At no moment may all fronts together use more than the whole resource.
    """
    simulation = simulate(seed)
    assert simulation.max_usable_parts <= simulation.total_parts()


@pytest.mark.parametrize("make", [KeptOverRestart, EndsAfterGrant])
def test_wrong_variants_are_caught_by_random_faults(make: type[QuotaLeases]) -> None:
    assert any(simulate(seed, make).max_usable_parts > 6 * HOME_PARTS for seed in range(12))


def test_quota_follows_the_demand_and_is_returned() -> None:
    simulation = LeaseSimulation(8, 1, Network(1))
    for hot in (0, 5, 2):
        simulation.demands = [300.0] * simulation.size
        simulation.demands[hot] = 3000.0
        simulation.run(simulation.now + 1.0)
        assert simulation.holders[hot].leases.usable_parts(RESOURCE, simulation.now) >= 3000
        simulation.run(simulation.now + 6.0)  # renewed for as long as it lasts
        assert simulation.holders[hot].leases.usable_parts(RESOURCE, simulation.now) >= 3000
    simulation.demands = [300.0] * simulation.size
    simulation.run(simulation.now + 0.5)
    assert not any(one.leases.accounts[RESOURCE].borrowed for one in simulation.holders.values())
    assert simulation.max_usable_parts <= simulation.total_parts()


def test_where_all_need_more_each_keeps_its_home_quota() -> None:
    simulation = LeaseSimulation(5, 1, Network(1))
    simulation.demands = [2000.0] * 5
    simulation.run(5.0)
    assert [one.leases.usable_parts(RESOURCE, simulation.now) for one in simulation.holders.values()] == [
        HOME_PARTS
    ] * 5


def test_a_paused_borrower_finds_its_lease_expired_when_it_resumes() -> None:
    """A process is paused (SIGSTOP, a stalled machine) beyond the expiry of its lease, then resumes.

    The lender has lent the parts anew meanwhile. The resumed process must not use them, not even once before
    its first step.
    """
    simulation = LeaseSimulation(3, 1, Network(1))
    simulation.demands = [2500.0, 0.0, 0.0]
    simulation.run(2.5)
    borrower = simulation.holders[0]
    assert borrower.leases.usable_parts(RESOURCE, borrower.local_time(simulation.now)) > 2 * HOME_PARTS
    simulation.stop(0, 3.0)
    simulation.demands = [0.0, 2500.0, 0.0]
    simulation.run(5.4)
    lent = simulation.holders[1].leases.usable_parts(RESOURCE, simulation.now)
    assert lent > HOME_PARTS  # the lender has it again, and lent it anew
    assert (
        borrower.leases.usable_parts(RESOURCE, borrower.local_time(5.5)) == HOME_PARTS
    )  # asked before a use, with no step yet


def test_a_new_incarnation_uses_the_parts_never_leased_until_old_leases_have_expired() -> None:
    """A front crashes and starts again, and has forgotten what it had lent.

    Until those leases must have expired, it may use only the parts that are never lent, and lend nothing.
    """
    terms = LeaseTerms()
    rights = QuotaLeases(100.0, random.Random(1), terms)
    assert rights.usable_parts(RESOURCE, 100.0) == NEVER_LEASED_PARTS
    [post] = rights.step(
        101.0,
        [
            DemandChanged({RESOURCE: 0.0}),
            LeaseMessageReceived(MemberId("b", 1), LeaseRequest(RESOURCE, 1, 500)),
        ],
    )
    assert post.message == LeaseGrant(RESOURCE, 1, 0, 0)
    assert rights.usable_parts(RESOURCE, terms.lender_expiry(100.0)) == HOME_PARTS
    rights.step(
        103.0, [DemandChanged({RESOURCE: 0.0}), QuotaFractionChanged(0.5)]
    )  # beside another process of this front
    [post] = rights.step(103.0, [LeaseMessageReceived(MemberId("b", 1), LeaseRequest(RESOURCE, 2, 500))])
    assert post.message == LeaseGrant(RESOURCE, 2, 0, 0)
    rights.step(104.0, [QuotaFractionChanged(1.0)])
    [post] = rights.step(104.0, [LeaseMessageReceived(MemberId("b", 1), LeaseRequest(RESOURCE, 3, 500))])
    assert post.message == LeaseGrant(RESOURCE, 3, 500, 750)


def test_duplicated_late_and_unrequested_messages_change_nothing() -> None:
    """The network duplicates and delays messages, and a peer grants what nobody requested.

    None of it may lengthen a lease, revive one, or add to what may be used.
    """
    one, b = QuotaLeases(-100.0, random.Random(1)), MemberId("b", 1)
    first = one.step(
        0.0,
        [
            PeersChanged((b,)),
            DemandChanged({RESOURCE: 0.0}),
            LeaseMessageReceived(b, LeaseRequest(RESOURCE, 1, 300)),
        ],
    )
    assert (
        one.step(1.0, [LeaseMessageReceived(b, LeaseRequest(RESOURCE, 1, 300))]) == first
    )  # the same loan, no longer one
    expiry, later = LeaseTerms().lender_expiry(0.0), copy.deepcopy(one)
    assert {later.usable_parts(RESOURCE, at) for at in (1.0, expiry - 1e-6)} == {HOME_PARTS - 300}
    assert later.usable_parts(RESOURCE, expiry) == HOME_PARTS
    one.step(1.1, [LeaseMessageReceived(b, LeaseRequest(RESOURCE, 3, 0))])
    assert one.usable_parts(RESOURCE, 1.1) == HOME_PARTS
    assert (
        one.step(
            1.2,
            [
                LeaseMessageReceived(b, LeaseRequest(RESOURCE, 2, 300)),
                LeaseMessageReceived(b, LeaseRequest(RESOURCE, 3, 0)),
            ],
        )
        == []
    )
    for grant in (LeaseGrant(RESOURCE, 9, 500, 0), LeaseGrant("limit:2", 1, 500, 0)):
        one.step(1.3, [LeaseMessageReceived(b, grant)])
    assert one.usable_parts(RESOURCE, 1.3) == HOME_PARTS
    one.step(2.0, [DemandChanged({RESOURCE: 1400.0})])
    debt = one.accounts[RESOURCE].borrowed[b]
    assert debt.pending
    one.step(
        2.1, [LeaseMessageReceived(b, LeaseGrant(RESOURCE, debt.pending.number, 1000, 0))]
    )  # more than was asked for
    assert one.usable_parts(RESOURCE, 2.1) == HOME_PARTS
    flood = [LeaseMessageReceived(b, LeaseRequest(f"limit:{number}", number, 1)) for number in range(5000)]
    one.step(3.0, flood)
    assert list(one.accounts) == [RESOURCE]  # at home in nothing else
    one.step(4.0, [DemandChanged({f"limit:{number}": 0.0 for number in range(5000)})])
    assert len(one.accounts) == 4096
    assert one.refused_resources > 900


@pytest.mark.parametrize(("make", "left"), [(QuotaLeases, HOME_PARTS - 700), (SilenceFrees, HOME_PARTS)])
def test_a_lease_of_a_borrower_that_membership_has_lost_still_counts(
    make: type[QuotaLeases], left: int
) -> None:
    """A borrower disappears behind a partition and goes on using its lease.

    The lender must not use those parts before the lease expires, though the borrower is no peer any more.
    """
    one, b = make(-100.0, random.Random(1)), MemberId("b", 1)
    one.step(
        0.0,
        [
            PeersChanged((b,)),
            DemandChanged({RESOURCE: 0.0}),
            LeaseMessageReceived(b, LeaseRequest(RESOURCE, 1, 700)),
        ],
    )
    one.step(0.1, [PeersChanged(())])  # it may be at work beyond a cut
    assert one.usable_parts(RESOURCE, 0.1) == left


def test_a_renewal_requests_more_where_more_is_lacking() -> None:
    rights, b = QuotaLeases(-100.0, random.Random(1)), MemberId("b", 1)
    [post] = rights.step(0.0, [DemandChanged({RESOURCE: 1600.0}), PeersChanged((b,))])
    assert isinstance(post.message, LeaseRequest)
    rights.step(0.0, [LeaseMessageReceived(b, LeaseGrant(RESOURCE, post.message.number, 200, 0))])
    [post] = rights.step(1.2, [DemandChanged({RESOURCE: 1600.0})])
    assert post.message == LeaseRequest(RESOURCE, 2, HOME_PARTS - NEVER_LEASED_PARTS)
