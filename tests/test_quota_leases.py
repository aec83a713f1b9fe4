"""Quota leases: the total is never exceeded, and quota moves to the fronts with demand."""

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
from cleatyoke.membership.wire import HOME_QUOTA_PARTS, LeaseGrant, LeaseRequest, MemberId
from tests.quota_lease_variants import ExpiryFromGrant, FullQuotaAfterRestart, LeasesEndWithMembership


def simulate(
    seed: int, leases_type: type[QuotaLeases] = QuotaLeases, seconds: float = 40.0
) -> LeaseSimulation:
    """Run six fronts with random demand, restarts, pauses, partitions, lost, duplicated and late messages."""
    rng = random.Random(f"play:{seed}")
    network = Network(
        seed, delay=0.001, jitter=rng.choice((0.01, 0.5, 3.0)), loss=rng.choice((0.0, 0.3)), duplication=0.05
    )
    simulation = LeaseSimulation(6, seed, network, make=leases_type)
    while simulation.now < seconds:
        front = rng.randrange(simulation.size)
        match rng.randrange(6):
            case 0:
                simulation.start(front)
            case 1:
                simulation.stop(front, rng.uniform(0.5, 5.0))
            case 2:
                network.sides = {str(number): rng.randrange(2) for number in range(simulation.size)}
            case 3:
                network.sides = {}
        simulation.demands = [rng.choice((0.0, 200.0, 900.0, 4000.0)) for _ in range(simulation.size)]
        simulation.run(simulation.now + rng.uniform(0.2, 3.0))
    return simulation


@settings(deadline=None, derandomize=True, max_examples=25)
@given(st.integers(0, 10**6))
def test_usable_parts_under_random_faults_never_exceed_the_total(seed: int) -> None:
    """Guards against a fleet that exceeds a limit because two fronts use the same parts.

    Messages are lost, duplicated and delayed; fronts are partitioned, paused and restarted; clocks drift.
    """
    simulation = simulate(seed)
    assert simulation.max_usable_parts <= simulation.total_parts()


@pytest.mark.parametrize("leases_type", [FullQuotaAfterRestart, ExpiryFromGrant])
def test_simulation_of_a_faulty_variant_exceeds_the_total(leases_type: type[QuotaLeases]) -> None:
    assert any(simulate(seed, leases_type).max_usable_parts > 6 * HOME_QUOTA_PARTS for seed in range(12))


def test_quota_moves_to_the_busy_front_and_is_returned() -> None:
    simulation = LeaseSimulation(8, 1, Network(1))
    for busy in (0, 5, 2):
        simulation.demands = [300.0] * simulation.size
        simulation.demands[busy] = 3000.0
        simulation.run(simulation.now + 1.0)
        assert simulation.holders[busy].leases.usable_parts(RESOURCE, simulation.now) >= 3000
        simulation.run(simulation.now + 6.0)  # renewed for as long as the demand lasts
        assert simulation.holders[busy].leases.usable_parts(RESOURCE, simulation.now) >= 3000
    simulation.demands = [300.0] * simulation.size
    simulation.run(simulation.now + 0.5)
    assert not any(holder.leases.accounts[RESOURCE].borrowed for holder in simulation.holders.values())
    assert simulation.max_usable_parts <= simulation.total_parts()


def test_fronts_all_short_of_quota_keep_their_home_quota() -> None:
    simulation = LeaseSimulation(5, 1, Network(1))
    simulation.demands = [2000.0] * 5
    simulation.run(5.0)
    assert [
        holder.leases.usable_parts(RESOURCE, simulation.now) for holder in simulation.holders.values()
    ] == [HOME_QUOTA_PARTS] * 5


def test_lease_of_a_paused_borrower_has_expired_when_it_resumes() -> None:
    """Guards against use of an expired lease after a pause of the process (SIGSTOP, a stalled machine).

    The lender has lent the parts to another front meanwhile. The resumed process must not use them, not even
    before its first step.
    """
    simulation = LeaseSimulation(3, 1, Network(1))
    simulation.demands = [2500.0, 0.0, 0.0]
    simulation.run(2.5)
    borrower = simulation.holders[0]
    assert borrower.leases.usable_parts(RESOURCE, borrower.local_time(simulation.now)) > 2 * HOME_QUOTA_PARTS
    simulation.stop(0, 3.0)
    simulation.demands = [0.0, 2500.0, 0.0]
    simulation.run(5.4)
    other_parts = simulation.holders[1].leases.usable_parts(RESOURCE, simulation.now)
    assert other_parts > HOME_QUOTA_PARTS  # the lender has taken the parts back and lent them again
    assert (
        borrower.leases.usable_parts(RESOURCE, borrower.local_time(5.5)) == HOME_QUOTA_PARTS
    )  # checked before a use, without any step since the pause


def test_new_incarnation_uses_only_never_leased_parts_until_old_leases_expire() -> None:
    """Guards against double use after a crash: the new process does not know which leases were granted.

    Until they must have expired, it may use only the parts that are never lent, and must grant nothing. The
    same test covers a front with two processes, which must not lend either.
    """
    terms = LeaseTerms()
    leases = QuotaLeases(100.0, random.Random(1), terms)
    assert leases.usable_parts(RESOURCE, 100.0) == NEVER_LEASED_PARTS
    [sent] = leases.step(
        101.0,
        [
            DemandChanged({RESOURCE: 0.0}),
            LeaseMessageReceived(MemberId("b", 1), LeaseRequest(RESOURCE, 1, 500)),
        ],
    )
    assert sent.message == LeaseGrant(RESOURCE, 1, 0, 0)
    assert leases.usable_parts(RESOURCE, terms.lender_expiry(100.0)) == HOME_QUOTA_PARTS
    leases.step(
        103.0, [DemandChanged({RESOURCE: 0.0}), QuotaFractionChanged(0.5)]
    )  # while another process of this front runs
    [sent] = leases.step(103.0, [LeaseMessageReceived(MemberId("b", 1), LeaseRequest(RESOURCE, 2, 500))])
    assert sent.message == LeaseGrant(RESOURCE, 2, 0, 0)
    leases.step(104.0, [QuotaFractionChanged(1.0)])
    [sent] = leases.step(104.0, [LeaseMessageReceived(MemberId("b", 1), LeaseRequest(RESOURCE, 3, 500))])
    assert sent.message == LeaseGrant(RESOURCE, 3, 500, 750)


def test_duplicated_late_and_unrequested_messages_are_ignored() -> None:
    """Guards against messages that prolong a lease, renew an ended one, or add usable parts.

    The network duplicates and delays messages, and a peer sends grants that were not requested.
    """
    leases, peer = QuotaLeases(-100.0, random.Random(1)), MemberId("b", 1)
    first = leases.step(
        0.0,
        [
            PeersChanged((peer,)),
            DemandChanged({RESOURCE: 0.0}),
            LeaseMessageReceived(peer, LeaseRequest(RESOURCE, 1, 300)),
        ],
    )
    assert (
        leases.step(1.0, [LeaseMessageReceived(peer, LeaseRequest(RESOURCE, 1, 300))]) == first
    )  # the same lease, not a longer one
    expiry, snapshot = LeaseTerms().lender_expiry(0.0), copy.deepcopy(leases)
    assert {snapshot.usable_parts(RESOURCE, at) for at in (1.0, expiry - 1e-6)} == {HOME_QUOTA_PARTS - 300}
    assert snapshot.usable_parts(RESOURCE, expiry) == HOME_QUOTA_PARTS
    leases.step(1.1, [LeaseMessageReceived(peer, LeaseRequest(RESOURCE, 3, 0))])
    assert leases.usable_parts(RESOURCE, 1.1) == HOME_QUOTA_PARTS
    assert (
        leases.step(
            1.2,
            [
                LeaseMessageReceived(peer, LeaseRequest(RESOURCE, 2, 300)),
                LeaseMessageReceived(peer, LeaseRequest(RESOURCE, 3, 0)),
            ],
        )
        == []
    )
    for grant in (LeaseGrant(RESOURCE, 9, 500, 0), LeaseGrant("limit:2", 1, 500, 0)):
        leases.step(1.3, [LeaseMessageReceived(peer, grant)])
    assert leases.usable_parts(RESOURCE, 1.3) == HOME_QUOTA_PARTS
    leases.step(2.0, [DemandChanged({RESOURCE: 1400.0})])
    lease = leases.accounts[RESOURCE].borrowed[peer]
    assert lease.pending
    leases.step(
        2.1, [LeaseMessageReceived(peer, LeaseGrant(RESOURCE, lease.pending.number, 1000, 0))]
    )  # more than was requested
    assert leases.usable_parts(RESOURCE, 2.1) == HOME_QUOTA_PARTS
    requests = [
        LeaseMessageReceived(peer, LeaseRequest(f"limit:{number}", number, 1)) for number in range(5000)
    ]
    leases.step(3.0, requests)
    assert list(leases.accounts) == [RESOURCE]  # this front has no home quota in the other resources
    leases.step(4.0, [DemandChanged({f"limit:{number}": 0.0 for number in range(5000)})])
    assert len(leases.accounts) == 4096
    assert leases.refused_resources > 900


@pytest.mark.parametrize(
    ("leases_type", "expected"),
    [(QuotaLeases, HOME_QUOTA_PARTS - 700), (LeasesEndWithMembership, HOME_QUOTA_PARTS)],
)
def test_lease_of_a_borrower_removed_from_the_membership_still_counts(
    leases_type: type[QuotaLeases], expected: int
) -> None:
    """Guards against double use when a borrower behind a partition goes on using its lease.

    The lender must not use those parts before the lease expires, although the borrower is no longer a peer.
    """
    leases, peer = leases_type(-100.0, random.Random(1)), MemberId("b", 1)
    leases.step(
        0.0,
        [
            PeersChanged((peer,)),
            DemandChanged({RESOURCE: 0.0}),
            LeaseMessageReceived(peer, LeaseRequest(RESOURCE, 1, 700)),
        ],
    )
    leases.step(0.1, [PeersChanged(())])  # it may still run beyond a partition
    assert leases.usable_parts(RESOURCE, 0.1) == expected


def test_renewal_with_a_shortfall_requests_more_parts() -> None:
    leases, peer = QuotaLeases(-100.0, random.Random(1)), MemberId("b", 1)
    [sent] = leases.step(0.0, [DemandChanged({RESOURCE: 1600.0}), PeersChanged((peer,))])
    assert isinstance(sent.message, LeaseRequest)
    leases.step(0.0, [LeaseMessageReceived(peer, LeaseGrant(RESOURCE, sent.message.number, 200, 0))])
    [sent] = leases.step(1.2, [DemandChanged({RESOURCE: 1600.0})])
    assert sent.message == LeaseRequest(RESOURCE, 2, HOME_QUOTA_PARTS - NEVER_LEASED_PARTS)
