"""Parts of what cold boxes bear, lent among fronts: what is lent, and what the policy makes of it."""

from __future__ import annotations

import random

from cleatyoke.coordination.lease_events import DemandChanged, LeaseMessageReceived, PeersChanged
from cleatyoke.coordination.lease_terms import NEVER_LEASED_PARTS
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.coordination.slow_start_leases import SlowStartLeases, warming_node_resource
from cleatyoke.membership.wire import HOME, LeaseGrant, LeaseRequest, MemberId
from cleatyoke.scheduling.actions import SendAttempt
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    SlowStartLeaseChanged,
    TimerFired,
    UpdateKind,
)
from tests.host import Host, entry, settings

BOX, LIVE, DRAINING = 7, EndpointState.LIVE, EndpointState.DRAINING


def asks(name: str, units: float, now: float = 100.0, cell: int = 0) -> RequestArrived:
    return RequestArrived(
        request_id=name,
        class_index=0,
        plan_index=0,
        volume_id=1,
        item=None,
        shard=cell,
        units=units,
        deadline=now + 3.0,
        front_count=1,
    )


def cold(rights: QuotaLeases, start: float = 100.0) -> SlowStartLeases:
    shares = SlowStartLeases(
        rights, lambda: settings(front_count=4, slow_start_units=8.0), lambda node: f"s-{node}"
    )
    shares.observe(0.0, 101.0, [EndpointUpdate(UpdateKind.SNAPSHOT, [entry(BOX, 3, up_since=start)])])
    return shares


def test_a_cold_box_is_lent_by_who_needs_it_least_and_the_policy_hears_before_it_decides() -> None:
    terms = QuotaLeases(-100.0, random.Random(1))
    shares, name = cold(terms), warming_node_resource("s-7", 100.0)
    for step in range(1, 9):  # 20 units a second at a home of 2
        shares.observe(step * 0.25, 101.0, [asks(f"a{step}", 5.0, cell=3)])
        needs = shares.demand(step * 0.25)
    assert list(needs) == [name]
    assert 8 * HOME < needs[name] <= 10 * HOME
    [post] = terms.step(2.0, [DemandChanged(needs), PeersChanged((MemberId("b", 1),))])
    assert isinstance(post.message, LeaseRequest)
    assert post.message.parts == HOME - NEVER_LEASED_PARTS
    terms.step(
        2.01,
        [
            LeaseMessageReceived(
                MemberId("b", 1), LeaseGrant(name, post.message.number, HOME - NEVER_LEASED_PARTS, 0)
            )
        ],
    )
    assert shares.quota_changes(2.02) == [SlowStartLeaseChanged(BOX, (2 * HOME - NEVER_LEASED_PARTS) / HOME)]
    assert shares.quota_changes(2.03) == []
    assert shares.quota_changes(9.0) == [
        SlowStartLeaseChanged(BOX, 1.0)
    ]  # its lease is over, with no step between


def test_one_asked_for_nothing_there_lends_and_has_less() -> None:
    rights = QuotaLeases(-100.0, random.Random(1))
    shares = cold(rights)
    rights.step(1.0, [DemandChanged(shares.demand(1.0))])
    [post] = rights.step(
        1.0,
        [LeaseMessageReceived(MemberId("b", 1), LeaseRequest(warming_node_resource("s-7", 100.0), 1, 600))],
    )
    assert isinstance(post.message, LeaseGrant)
    assert post.message.parts == 600
    assert shares.quota_changes(1.0) == [SlowStartLeaseChanged(BOX, 0.4)]


def test_only_boxes_in_the_same_life_that_are_cold_and_serve_are_lent() -> None:
    rights = QuotaLeases(-100.0, random.Random(1))
    for news in (entry(BOX, 3, DRAINING, 100.0), entry(BOX, 3, up_since=0.0), entry(BOX, 3, up_since=80.0)):
        shares = cold(rights)
        shares.observe(0.5, 101.0, [EndpointUpdate(UpdateKind.DELTA, [news])])
        assert shares.demand(1.0) == {}
    shares = cold(rights)
    shares.observe(9.0, 110.5, [])  # warm by now
    assert shares.demand(9.0) == {}
    shares = cold(rights)
    shares.observe(1.0, 101.0, [EndpointUpdate(UpdateKind.DELTA, [entry(BOX, 3, up_since=100.9)])])
    assert (
        list(shares.demand(1.0))
        == [warming_node_resource("s-7", 100.9)]
        != [warming_node_resource("s-7", 100.0)]
    )
    fresh = cold(
        QuotaLeases(0.0, random.Random(1))
    )  # a new life, whose last may have lent: before any step of it
    assert fresh.quota_changes(0.1) == [SlowStartLeaseChanged(BOX, NEVER_LEASED_PARTS / HOME)]


def sent_in(host: Host, seconds: float, part: float | None = None) -> float:
    """Units sent to the one cold box, asked for all it could ever take; the part changes half way."""
    units, began, halfway = 0.0, host.now, part
    while host.now < began + seconds:
        if halfway is not None and host.now >= began + seconds / 2:
            host.step(SlowStartLeaseChanged(BOX, halfway))
            halfway = None
        name = f"{host.now:.3f}"
        actions = host.step(asks(name, 1.0, host.now), at=host.now + 0.02)
        for action in actions:
            if isinstance(action, SendAttempt):
                units += 1.0
                host.step(
                    AttemptFinished(
                        action.request_id, 0, BOX, AttemptOutcome.SERVED, 0.001, True, utilization=1.0
                    )
                )
    return units


def test_the_policy_sends_by_its_part_from_the_moment_it_changes() -> None:
    figures = {
        "front_count": 4,
        "slow_start_units": 40.0,
        "safety": {"slow_start_duration": 100.0, "slow_start_initial_fraction": 0.2},
    }

    def host() -> Host:
        return Host(settings(**figures), [entry(BOX, 0, up_since=100.0)], now=100.0)  # type: ignore[arg-type]

    whole, more, none = sent_in(host(), 4.0), sent_in(host(), 4.0, 3.0), sent_in(host(), 4.0, 0.0)
    assert 38 <= whole <= 46  # 10 a second, as it warms a little
    assert 1.6 * whole <= more <= 2.1 * whole  # for half of the time three times as much
    assert 0.45 * whole <= none <= 0.6 * whole


def test_what_is_paid_off_before_a_change_counts_by_the_part_before() -> None:
    config = settings(front_count=4, slow_start_units=40.0, safety={"slow_start_duration": 100.0})
    host = Host(config, [entry(BOX, 0, up_since=100.0)], now=100.0)
    host.step(
        SlowStartLeaseChanged(BOX, 0.0), asks("first", 6.0)
    )  # goes, and leaves a debt that nothing pays off
    host.step(SlowStartLeaseChanged(BOX, 6.0), asks("next", 1.0), at=100.8)
    assert host.log[-1:] != [SendAttempt("next", BOX)]
    host.step(TimerFired(0), at=100.95)
    assert SendAttempt("next", BOX) in host.log
