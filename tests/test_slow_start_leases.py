"""Quota leases for warming nodes: what is lent, and how the scheduler applies the leased quota."""

from __future__ import annotations

import random

from cleatyoke.coordination.lease_events import DemandChanged, LeaseMessageReceived, PeersChanged
from cleatyoke.coordination.lease_terms import NEVER_LEASED_PARTS
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.coordination.slow_start_leases import SlowStartLeases, warming_node_resource
from cleatyoke.membership.wire import HOME_QUOTA_PARTS, LeaseGrant, LeaseRequest, MemberId
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


def test_busy_front_borrows_for_a_warming_node_and_reports_the_quota_to_the_scheduler() -> None:
    leases = QuotaLeases(-100.0, random.Random(1))
    warming, name = slow_start_leases(leases), warming_node_resource("s-7", 100.0)
    for step in range(1, 9):  # 20 units a second at a home quota of 2 units a second
        warming.observe(step * 0.25, 101.0, [request(f"a{step}", 5.0, shard=3)])
        demand = warming.demand(step * 0.25)
    assert list(demand) == [name]
    assert 8 * HOME_QUOTA_PARTS < demand[name] <= 10 * HOME_QUOTA_PARTS
    [sent] = leases.step(2.0, [DemandChanged(demand), PeersChanged((MemberId("b", 1),))])
    assert isinstance(sent.message, LeaseRequest)
    assert sent.message.parts == HOME_QUOTA_PARTS - NEVER_LEASED_PARTS
    leases.step(
        2.01,
        [
            LeaseMessageReceived(
                MemberId("b", 1),
                LeaseGrant(name, sent.message.number, HOME_QUOTA_PARTS - NEVER_LEASED_PARTS, 0),
            )
        ],
    )
    assert warming.quota_changes(2.02) == [
        SlowStartLeaseChanged(NODE, (2 * HOME_QUOTA_PARTS - NEVER_LEASED_PARTS) / HOME_QUOTA_PARTS)
    ]
    assert warming.quota_changes(2.03) == []
    assert warming.quota_changes(9.0) == [
        SlowStartLeaseChanged(NODE, 1.0)
    ]  # the lease has expired, without a step in between


def test_front_without_requests_for_a_warming_node_lends_and_reports_less_quota() -> None:
    leases = QuotaLeases(-100.0, random.Random(1))
    warming = slow_start_leases(leases)
    leases.step(1.0, [DemandChanged(warming.demand(1.0))])
    [sent] = leases.step(
        1.0,
        [LeaseMessageReceived(MemberId("b", 1), LeaseRequest(warming_node_resource("s-7", 100.0), 1, 600))],
    )
    assert isinstance(sent.message, LeaseGrant)
    assert sent.message.parts == 600
    assert warming.quota_changes(1.0) == [SlowStartLeaseChanged(NODE, 0.4)]


def test_only_live_warming_nodes_are_resources_one_per_incarnation() -> None:
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
    warming.observe(9.0, 110.5, [])  # the slow start is over
    assert warming.demand(9.0) == {}
    warming = slow_start_leases(leases)
    warming.observe(1.0, 101.0, [EndpointUpdate(UpdateKind.DELTA, [endpoint(NODE, 3, started_at=100.9)])])
    assert (
        list(warming.demand(1.0))
        == [warming_node_resource("s-7", 100.9)]
        != [warming_node_resource("s-7", 100.0)]
    )
    restarted = slow_start_leases(
        QuotaLeases(0.0, random.Random(1))
    )  # a new process whose predecessor may have granted leases, before its first step
    assert restarted.quota_changes(0.1) == [
        SlowStartLeaseChanged(NODE, NEVER_LEASED_PARTS / HOME_QUOTA_PARTS)
    ]


def units_sent(front: DrivenFront, seconds: float, fraction: float | None = None) -> float:
    """Return the units sent to the one warming node under more demand than it can take.

    The leased fraction changes to ``fraction`` after half of the time.
    """
    units, started_at, halfway_fraction = 0.0, front.now, fraction
    while front.now < started_at + seconds:
        if halfway_fraction is not None and front.now >= started_at + seconds / 2:
            front.step(SlowStartLeaseChanged(NODE, halfway_fraction))
            halfway_fraction = None
        name = f"{front.now:.3f}"
        actions = front.step(request(name, 1.0, front.now), at=front.now + 0.02)
        for action in actions:
            if isinstance(action, SendAttempt):
                units += 1.0
                front.step(
                    AttemptFinished(
                        action.request_id, 0, NODE, AttemptOutcome.SERVED, 0.001, True, utilization=1.0
                    )
                )
    return units


def test_scheduler_applies_a_changed_lease_at_once() -> None:
    overrides = {
        "front_count": 4,
        "slow_start_units": 40.0,
        "safety": {"slow_start_duration": 100.0, "slow_start_initial_fraction": 0.2},
    }

    def new_front() -> DrivenFront:
        return DrivenFront(settings(**overrides), [endpoint(NODE, 0, started_at=100.0)], now=100.0)  # type: ignore[arg-type]

    unchanged, tripled, zeroed = (
        units_sent(new_front(), 4.0),
        units_sent(new_front(), 4.0, 3.0),
        units_sent(new_front(), 4.0, 0.0),
    )
    assert 38 <= unchanged <= 46  # about 10 a second; rises a little as the node warms up
    assert 1.6 * unchanged <= tripled <= 2.1 * unchanged  # three times the rate for half of the time
    assert 0.45 * unchanged <= zeroed <= 0.6 * unchanged


def test_refill_before_a_lease_change_uses_the_previous_fraction() -> None:
    config = settings(front_count=4, slow_start_units=40.0, safety={"slow_start_duration": 100.0})
    front = DrivenFront(config, [endpoint(NODE, 0, started_at=100.0)], now=100.0)
    front.step(
        SlowStartLeaseChanged(NODE, 0.0), request("first", 6.0)
    )  # sent, and leaves a debt that a rate of 0 never repays
    front.step(SlowStartLeaseChanged(NODE, 6.0), request("next", 1.0), at=100.8)
    assert front.log[-1:] != [SendAttempt("next", NODE)]
    front.step(TimerFired(0), at=100.95)
    assert SendAttempt("next", NODE) in front.log


def test_demand_with_settings_without_an_overload_window_raises_nothing() -> None:
    """Guards against a division by 0 before a scheduler step, which lost the events of that step."""
    config = settings(front_count=4, slow_start_units=8.0, safety={"overload_after": 0.0})
    warming = SlowStartLeases(QuotaLeases(-100.0, random.Random(1)), lambda: config, lambda node: f"s-{node}")
    warming.observe(0.0, 101.0, [EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(NODE, 3, started_at=100.0)])])
    warming.observe(0.25, 101.0, [request("a", 5.0, shard=3)])
    assert list(warming.demand(0.25)) == [warming_node_resource("s-7", 100.0)]
