"""Quota leases for nodes that warm up: what is lent, and what the scheduler makes of it."""

from __future__ import annotations

import random

from cleatyoke.coordination.lease_events import DemandChanged, LeaseMessageReceived, PeersChanged
from cleatyoke.coordination.lease_terms import NEVER_LEASED_PARTS
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.coordination.slow_start_leases import SlowStartLeases, warming_node_resource
from cleatyoke.membership.wire import HOME_PARTS, LeaseGrant, LeaseRequest, MemberId
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
from tests.driven_front import DrivenFront, endpoint, settings

NODE, LIVE, DRAINING = 7, EndpointState.LIVE, EndpointState.DRAINING


def request(name: str, units: float, now: float = 100.0, shard: int = 0) -> RequestArrived:
    return RequestArrived(
        request_id=name,
        class_index=0,
        plan_index=0,
        volume_id=1,
        item=None,
        shard=shard,
        units=units,
        deadline=now + 3.0,
        front_count=1,
    )


def slow_start_leases(leases: QuotaLeases, start: float = 100.0) -> SlowStartLeases:
    warming = SlowStartLeases(
        leases, lambda: settings(front_count=4, slow_start_units=8.0), lambda node: f"s-{node}"
    )
    warming.observe(0.0, 101.0, [EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(NODE, 3, started_at=start)])])
    return warming


def test_a_busy_front_borrows_of_a_warming_node_and_the_scheduler_is_told_before_it_decides() -> None:
    leases = QuotaLeases(-100.0, random.Random(1))
    warming, name = slow_start_leases(leases), warming_node_resource("s-7", 100.0)
    for step in range(1, 9):  # 20 units a second at a home of 2
        warming.observe(step * 0.25, 101.0, [request(f"a{step}", 5.0, shard=3)])
        demand = warming.demand(step * 0.25)
    assert list(demand) == [name]
    assert 8 * HOME_PARTS < demand[name] <= 10 * HOME_PARTS
    [post] = leases.step(2.0, [DemandChanged(demand), PeersChanged((MemberId("b", 1),))])
    assert isinstance(post.message, LeaseRequest)
    assert post.message.parts == HOME_PARTS - NEVER_LEASED_PARTS
    leases.step(
        2.01,
        [
            LeaseMessageReceived(
                MemberId("b", 1), LeaseGrant(name, post.message.number, HOME_PARTS - NEVER_LEASED_PARTS, 0)
            )
        ],
    )
    assert warming.quota_changes(2.02) == [
        SlowStartLeaseChanged(NODE, (2 * HOME_PARTS - NEVER_LEASED_PARTS) / HOME_PARTS)
    ]
    assert warming.quota_changes(2.03) == []
    assert warming.quota_changes(9.0) == [
        SlowStartLeaseChanged(NODE, 1.0)
    ]  # its lease is over, with no step between


def test_a_front_without_requests_for_a_warming_node_lends_and_has_less() -> None:
    leases = QuotaLeases(-100.0, random.Random(1))
    warming = slow_start_leases(leases)
    leases.step(1.0, [DemandChanged(warming.demand(1.0))])
    [post] = leases.step(
        1.0,
        [LeaseMessageReceived(MemberId("b", 1), LeaseRequest(warming_node_resource("s-7", 100.0), 1, 600))],
    )
    assert isinstance(post.message, LeaseGrant)
    assert post.message.parts == 600
    assert warming.quota_changes(1.0) == [SlowStartLeaseChanged(NODE, 0.4)]


def test_only_live_nodes_that_warm_up_are_lent_each_incarnation_by_itself() -> None:
    leases = QuotaLeases(-100.0, random.Random(1))
    for changed in (
        endpoint(NODE, 3, DRAINING, 100.0),
        endpoint(NODE, 3, started_at=0.0),
        endpoint(NODE, 3, started_at=80.0),
    ):
        warming = slow_start_leases(leases)
        warming.observe(0.5, 101.0, [EndpointUpdate(UpdateKind.DELTA, [changed])])
        assert warming.demand(1.0) == {}
    warming = slow_start_leases(leases)
    warming.observe(9.0, 110.5, [])  # warm by now
    assert warming.demand(9.0) == {}
    warming = slow_start_leases(leases)
    warming.observe(1.0, 101.0, [EndpointUpdate(UpdateKind.DELTA, [endpoint(NODE, 3, started_at=100.9)])])
    assert (
        list(warming.demand(1.0))
        == [warming_node_resource("s-7", 100.9)]
        != [warming_node_resource("s-7", 100.0)]
    )
    fresh = slow_start_leases(
        QuotaLeases(0.0, random.Random(1))
    )  # a new life, whose last may have lent: before any step of it
    assert fresh.quota_changes(0.1) == [SlowStartLeaseChanged(NODE, NEVER_LEASED_PARTS / HOME_PARTS)]


def units_sent(host: DrivenFront, seconds: float, part: float | None = None) -> float:
    """Units sent to the one warming node under more demand than it can take; the part changes half way."""
    units, began, halfway = 0.0, host.now, part
    while host.now < began + seconds:
        if halfway is not None and host.now >= began + seconds / 2:
            host.step(SlowStartLeaseChanged(NODE, halfway))
            halfway = None
        name = f"{host.now:.3f}"
        actions = host.step(request(name, 1.0, host.now), at=host.now + 0.02)
        for action in actions:
            if isinstance(action, SendAttempt):
                units += 1.0
                host.step(
                    AttemptFinished(
                        action.request_id, 0, NODE, AttemptOutcome.SERVED, 0.001, True, utilization=1.0
                    )
                )
    return units


def test_the_scheduler_sends_by_its_leased_part_from_the_moment_it_changes() -> None:
    figures = {
        "front_count": 4,
        "slow_start_units": 40.0,
        "safety": {"slow_start_duration": 100.0, "slow_start_initial_fraction": 0.2},
    }

    def host() -> DrivenFront:
        return DrivenFront(settings(**figures), [endpoint(NODE, 0, started_at=100.0)], now=100.0)  # type: ignore[arg-type]

    whole, more, none = units_sent(host(), 4.0), units_sent(host(), 4.0, 3.0), units_sent(host(), 4.0, 0.0)
    assert 38 <= whole <= 46  # 10 a second, as it warms a little
    assert 1.6 * whole <= more <= 2.1 * whole  # for half of the time three times as much
    assert 0.45 * whole <= none <= 0.6 * whole


def test_what_was_refilled_before_a_change_counts_by_the_part_before() -> None:
    config = settings(front_count=4, slow_start_units=40.0, safety={"slow_start_duration": 100.0})
    host = DrivenFront(config, [endpoint(NODE, 0, started_at=100.0)], now=100.0)
    host.step(
        SlowStartLeaseChanged(NODE, 0.0), request("first", 6.0)
    )  # goes, and leaves a debt that nothing pays off
    host.step(SlowStartLeaseChanged(NODE, 6.0), request("next", 1.0), at=100.8)
    assert host.log[-1:] != [SendAttempt("next", NODE)]
    host.step(TimerFired(0), at=100.95)
    assert SendAttempt("next", NODE) in host.log


def test_settings_that_state_no_window_of_a_warming_node_raise_nothing() -> None:
    """Guards against a division by 0 before each step of the scheduler, which lost the step's events."""
    stated = settings(front_count=4, slow_start_units=8.0, safety={"overload_after": 0.0})
    warming = SlowStartLeases(QuotaLeases(-100.0, random.Random(1)), lambda: stated, lambda node: f"s-{node}")
    warming.observe(0.0, 101.0, [EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(NODE, 3, started_at=100.0)])])
    warming.observe(0.25, 101.0, [request("a", 5.0, shard=3)])
    assert list(warming.demand(0.25)) == [warming_node_resource("s-7", 100.0)]
