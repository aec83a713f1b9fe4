"""Rights: never more in all than there is, whatever the network, the processes and the clocks do; and what
they are for, work where the need is. Random plays and an exhaustive search catch wrong variants."""

from __future__ import annotations

import copy
import pickle
import random
from collections.abc import Collection, Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke.coordination.demand import SPAN_SECONDS, DemandMeters
from cleatyoke.coordination.lease_accounts import ResourceAccount
from cleatyoke.coordination.lease_borrower import Borrower
from cleatyoke.coordination.lease_events import (
    DemandChanged,
    LeaseMessageReceived,
    PeersChanged,
    QuotaFractionChanged,
    SendLeaseMessage,
)
from cleatyoke.coordination.lease_lender import Lender
from cleatyoke.coordination.lease_terms import NEVER_LEASED_PARTS, LeaseTerms
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.emulation.network import Network
from cleatyoke.emulation.quota_leases import RESOURCE, LeaseSimulation
from cleatyoke.membership.wire import HOME, LeaseGrant, LeaseRequest, MemberId


class KeptOverRestart(QuotaLeases):
    """A new life takes its home for whole at once."""

    def __init__(self, began: float, rng: random.Random, terms: LeaseTerms | None = None) -> None:
        super().__init__(began - 3600.0, rng, terms)


class _BorrowerByLendersClock(Borrower):
    def accept_grant(
        self, now: float, account: ResourceAccount | None, lender: MemberId, grant: LeaseGrant
    ) -> None:
        super().accept_grant(now, account, lender, grant)
        assert account
        for lease in account.borrowed.values():
            if lease.number == grant.number:
                lease.expires_at = self.terms.borrower_expiry(now)


class EndsAfterGrant(QuotaLeases):
    """The borrower judges its lease by when the grant came, that is by the lender's clock."""

    def __init__(self, began: float, rng: random.Random, terms: LeaseTerms | None = None) -> None:
        super().__init__(began, rng, terms)
        self.borrower = _BorrowerByLendersClock(self.terms, rng)


class _LenderByMembership(Lender):
    def drop_expired(self, now: float, account: ResourceAccount, peers: Collection[MemberId]) -> None:
        for borrower in [borrower for borrower in account.granted if borrower not in peers]:
            del account.granted[borrower]
        super().drop_expired(now, account, peers)


class SilenceFrees(QuotaLeases):
    """The lender takes back from one that it no longer counts among its peers."""

    def __init__(self, began: float, rng: random.Random, terms: LeaseTerms | None = None) -> None:
        super().__init__(began, rng, terms)
        self.lender = _LenderByMembership(self.terms)


def play(seed: int, make: type[QuotaLeases] = QuotaLeases, seconds: float = 40.0) -> LeaseSimulation:
    """Random needs, restarts, stops, loss, doubles and long delays."""
    rng = random.Random(f"play:{seed}")
    network = Network(
        seed, delay=0.001, jitter=rng.choice((0.01, 0.5, 3.0)), loss=rng.choice((0.0, 0.3)), doubles=0.05
    )
    market = LeaseSimulation(6, seed, network, make=make)
    while market.now < seconds:
        front = rng.randrange(market.size)
        match rng.randrange(6):
            case 0:
                market.start(front)
            case 1:
                market.stop(front, rng.uniform(0.5, 5.0))
            case 2:
                network.cut = {str(one): rng.randrange(2) for one in range(market.size)}
            case 3:
                network.cut = {}
        market.needs = [rng.choice((0.0, 200.0, 900.0, 4000.0)) for _ in range(market.size)]
        market.run(market.now + rng.uniform(0.2, 3.0))
    return market


@settings(deadline=None, derandomize=True, max_examples=25)
@given(st.integers(0, 10**6))
def test_all_together_never_may_use_more_than_the_whole(seed: int) -> None:
    market = play(seed)
    assert market.most <= market.whole()


@pytest.mark.parametrize("make", [KeptOverRestart, EndsAfterGrant])
def test_wrong_variants_are_caught_by_random_plays(make: type[QuotaLeases]) -> None:
    assert any(play(seed, make).most > 6 * HOME for seed in range(12))


def test_the_need_is_met_where_it_is_and_moves_with_it() -> None:
    market = LeaseSimulation(8, 1, Network(1))
    for hot in (0, 5, 2):
        market.needs = [300.0] * market.size
        market.needs[hot] = 3000.0
        market.run(market.now + 1.0)
        assert market.traders[hot].rights.usable_parts(RESOURCE, market.now) >= 3000
        market.run(market.now + 6.0)  # renewed for as long as it lasts
        assert market.traders[hot].rights.usable_parts(RESOURCE, market.now) >= 3000
    market.needs = [300.0] * market.size
    market.run(market.now + 0.5)
    assert not any(one.rights.accounts[RESOURCE].borrowed for one in market.traders.values())  # given back
    assert market.most <= market.whole()


def test_where_all_need_more_each_keeps_its_home() -> None:
    market = LeaseSimulation(5, 1, Network(1))
    market.needs = [2000.0] * 5
    market.run(5.0)
    assert [one.rights.usable_parts(RESOURCE, market.now) for one in market.traders.values()] == [HOME] * 5


def test_a_stopped_borrower_finds_at_wake_that_its_lease_is_over() -> None:
    market = LeaseSimulation(3, 1, Network(1))
    market.needs = [2500.0, 0.0, 0.0]
    market.run(2.5)
    trader = market.traders[0]
    assert trader.rights.usable_parts(RESOURCE, trader.clock(market.now)) > 2 * HOME
    market.stop(0, 3.0)
    market.needs = [0.0, 2500.0, 0.0]
    market.run(5.4)
    lent = market.traders[1].rights.usable_parts(RESOURCE, market.now)
    assert lent > HOME  # the lender has it again, and lent it anew
    assert (
        trader.rights.usable_parts(RESOURCE, trader.clock(5.5)) == HOME
    )  # asked before a use, with no step yet


def test_a_new_life_uses_what_is_never_lent_until_all_loans_before_it_are_over() -> None:
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
    assert rights.usable_parts(RESOURCE, terms.lender_expiry(100.0)) == HOME
    rights.step(
        103.0, [DemandChanged({RESOURCE: 0.0}), QuotaFractionChanged(0.5)]
    )  # beside another process of this front
    [post] = rights.step(103.0, [LeaseMessageReceived(MemberId("b", 1), LeaseRequest(RESOURCE, 2, 500))])
    assert post.message == LeaseGrant(RESOURCE, 2, 0, 0)
    rights.step(104.0, [QuotaFractionChanged(1.0)])
    [post] = rights.step(104.0, [LeaseMessageReceived(MemberId("b", 1), LeaseRequest(RESOURCE, 3, 500))])
    assert post.message == LeaseGrant(RESOURCE, 3, 500, 750)


def test_what_comes_twice_late_or_unasked_changes_nothing() -> None:
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
    assert {later.usable_parts(RESOURCE, at) for at in (1.0, expiry - 1e-6)} == {HOME - 300}
    assert later.usable_parts(RESOURCE, expiry) == HOME
    one.step(1.1, [LeaseMessageReceived(b, LeaseRequest(RESOURCE, 3, 0))])
    assert one.usable_parts(RESOURCE, 1.1) == HOME
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
    assert one.usable_parts(RESOURCE, 1.3) == HOME
    one.step(2.0, [DemandChanged({RESOURCE: 1400.0})])
    debt = one.accounts[RESOURCE].borrowed[b]
    assert debt.pending
    one.step(
        2.1, [LeaseMessageReceived(b, LeaseGrant(RESOURCE, debt.pending.number, 1000, 0))]
    )  # more than was asked for
    assert one.usable_parts(RESOURCE, 2.1) == HOME
    flood = [LeaseMessageReceived(b, LeaseRequest(f"limit:{number}", number, 1)) for number in range(5000)]
    one.step(3.0, flood)
    assert list(one.accounts) == [RESOURCE]  # at home in nothing else
    one.step(4.0, [DemandChanged({f"limit:{number}": 0.0 for number in range(5000)})])
    assert len(one.accounts) == 4096
    assert one.refused_resources > 900


# An exhaustive search of our own states


def steps(lease: float) -> LeaseTerms:
    return LeaseTerms(
        duration=lease,
        clock_drift=0.0,
        margin=0.0,
        demand_headroom=1.0,
        hysteresis_parts=0,
        request_timeout=lease,
        min_lease_parts=1,
    )


State = tuple[list[QuotaLeases], list[tuple[int, int, object]], int, frozenset[str], tuple[int, int]]


def ids(boots: tuple[int, ...] = (1, 1, 1)) -> list[MemberId]:
    return [MemberId(str(front), boot) for front, boot in enumerate(boots)]


def moves(state: State, make: type[QuotaLeases], terms: LeaseTerms, faults: str) -> Iterator[State]:
    """Each state that one more second may bring: messages in flight come or wait; once in all, where it is
    among ``faults``, one is lost and one doubled, one front starts anew and one stands for three seconds."""
    rights, flight, now, done, stopped = state

    def after(flight: list[tuple[int, int, object]], done: frozenset[str], **change: int) -> State:
        fresh, told = copy.deepcopy(rights), list(flight)
        halt = stopped
        if (front := change.get("restart", -1)) >= 0:
            fresh[front] = make(float(now), random.Random(1), terms)
            told = [one for one in told if front not in one[:2]]  # its Id is another: none is its own
        if (front := change.get("stop", -1)) >= 0:
            halt = front, now + 3
        coming, waiting = told[: change.get("come", 0)], told[change.get("come", 0) :]
        hot = 0 if now < 5 else 1
        out = list(waiting)
        for front, one in enumerate(fresh):
            if front == halt[0] and now < halt[1]:
                out += [message for message in coming if message[1] == front]
                continue
            events: list[object] = [
                LeaseMessageReceived(MemberId(str(source), 1), message)
                for source, target, message in coming
                if target == front
            ]  # type: ignore[arg-type]
            events += [
                PeersChanged(tuple(id for id in ids() if id.name != str(front))),
                DemandChanged({RESOURCE: 1500.0 if front == hot else 0.0}),
            ]
            for post in one.step(float(now), events):  # type: ignore[arg-type]
                assert isinstance(post, SendLeaseMessage)
                out.append((front, int(post.receiver.name), post.message))
        return fresh, out, now + 1, done, halt

    open = set(faults.split()) - done
    for come in {len(flight), 0}:
        yield after(flight, done, come=come)
    if flight and "lost" in open:
        yield after(flight[1:], done | {"lost"}, come=len(flight) - 1)
    if flight and "doubled" in open:
        yield after([*flight, flight[0]], done | {"doubled"}, come=len(flight))
    for front in (0, 1, 2):
        for fault in open & {"restart", "stop"}:
            yield after(flight, done | {fault}, come=len(flight), **{fault: front})


def search(make: type[QuotaLeases], lease: float, seconds: int, faults: str) -> tuple[int, int]:
    """How many states there are, and the most parts that all together could use in any."""
    terms = steps(lease)
    first: State = [make(-100.0, random.Random(1), terms) for _ in range(3)], [], 0, frozenset(), (-1, 0)
    layer, count, used = [first], 1, 0
    for _ in range(seconds):
        following: dict[bytes, State] = {}
        for state in layer:
            for after in moves(state, make, terms, faults):
                following.setdefault(pickle.dumps(after), after)
        layer = list(following.values())
        count += len(layer)
        for rights, _, now, _, stopped in layer:
            used = max(
                used,
                sum(
                    one.usable_parts(RESOURCE, float(now))
                    for front, one in enumerate(rights)
                    if front != stopped[0] or now > stopped[1]
                ),
            )
        if used > 3 * HOME:
            break
    return count, used


SEARCHES = ((6.0, 6, "restart lost doubled"), (3.0, 7, "stop lost doubled"))


@pytest.mark.parametrize(("lease", "seconds", "faults"), SEARCHES)
def test_no_state_that_can_be_reached_holds_more_than_the_whole(
    lease: float, seconds: int, faults: str
) -> None:
    states, used = search(QuotaLeases, lease, seconds, faults)
    assert states > 500
    assert used == 3 * HOME


@pytest.mark.parametrize(("make", "place"), [(KeptOverRestart, 0), (EndsAfterGrant, 1)])
def test_the_search_finds_wrong_variants(make: type[QuotaLeases], place: int) -> None:
    assert search(make, *SEARCHES[place])[1] > 3 * HOME


@pytest.mark.parametrize(("make", "left"), [(QuotaLeases, HOME - 700), (SilenceFrees, HOME)])
def test_what_was_lent_to_one_that_the_view_has_lost_is_still_lent(
    make: type[QuotaLeases], left: int
) -> None:
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


def test_what_is_asked_for_by_chance_moves_a_need_less_than_a_change_does() -> None:
    rng, meters, needs = random.Random(2), DemandMeters[int](), list[float]()
    at, now = 0.0, 0.0
    for _ in range(400):  # two requests a second at a home of five units: 400 parts
        now += SPAN_SECONDS
        while at < now:
            meters.record(at, 1, 1.0, 5.0)
            at += rng.expovariate(2.0)
        needs.append(meters.demand(now)[1])
    later = sorted(needs[40:])
    assert 350 < sum(later) / len(later) < 450
    assert later[len(later) // 10] > 100
    assert later[-len(later) // 10] < 800
    for _ in range(8):  # then 28 a second: 5,600 parts
        now += SPAN_SECONDS
        for _ in range(7):
            meters.record(now, 1, 1.0, 5.0)
        need = meters.demand(now)[1]
    assert need > 5000
    for _ in range(8):
        now += SPAN_SECONDS
        need = meters.demand(now)[1]
    assert need < 500


def test_a_loan_that_is_renewed_is_asked_for_more_where_more_is_lacking() -> None:
    rights, b = QuotaLeases(-100.0, random.Random(1)), MemberId("b", 1)
    [post] = rights.step(0.0, [DemandChanged({RESOURCE: 1600.0}), PeersChanged((b,))])
    assert isinstance(post.message, LeaseRequest)
    rights.step(0.0, [LeaseMessageReceived(b, LeaseGrant(RESOURCE, post.message.number, 200, 0))])
    [post] = rights.step(1.2, [DemandChanged({RESOURCE: 1600.0})])
    assert post.message == LeaseRequest(RESOURCE, 2, HOME - NEVER_LEASED_PARTS)
