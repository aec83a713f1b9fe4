"""Admission by volume: rate limits, reserved rates and surplus rates."""

import pytest

from cleatyoke.scheduling.actions import (
    Reject,
    SendAttempt,
)
from cleatyoke.scheduling.events import (
    AttemptOutcome,
)
from tests.driven_front import DrivenFront, class_spec, endpoint, plan_spec, settings


def test_surplus_rate_delays_requests_beyond_the_reserve() -> None:
    front = DrivenFront(settings([class_spec(latency_objective=20.0)]), [endpoint(1, 1)])
    node = front.scheduler.nodes[1]
    node.surplus_rate = 0.5  # units a second; at most one second of it accumulates
    front.step(*[front.arrival(f"r{number}", units=5.0, deadline=front.now + 20) for number in range(4)])
    assert front.sent() == ["r0", "r1", "r2"]  # two within the reserve, one on the initial credit
    for name in ("r0", "r1", "r2"):
        front.finish(name, AttemptOutcome.SERVED)
    front.request("reserved", volume_id=2)
    assert front.sent()[3:] == ["reserved"]
    front.finish("reserved", AttemptOutcome.SERVED)
    node.surplus_rate = 0.6
    front.run_until(front.now + 7.0)  # a debt of 4.5 units takes 7.5 s to pay off
    assert "r3" not in front.sent()
    front.run_until(front.now + 1.0)
    assert front.sent()[4:] == ["r3"]


def test_surplus_rate_is_shared_by_plan_weight() -> None:
    front = DrivenFront(settings(plans=[plan_spec(), plan_spec(fair_share_weight=4.0)]), [endpoint(1, 1)])
    front.scheduler.nodes[1].surplus_rate = 1.0
    front.scheduler.nodes[1].concurrency_limit = 8.0
    for number in range(40):
        front.step(
            front.arrival(f"light{number}"), front.arrival(f"heavy{number}", volume_id=2, plan_index=1)
        )
    for volume in front.scheduler.volumes.values():
        volume.reserved_left.clear()
    start = len(front.sent())
    for _ in range(200):
        front.run_until(front.now + 0.02)
        for name in [name for name, request in front.scheduler.requests.items() if request.in_flight]:
            front.finish(name, AttemptOutcome.SERVED, elapsed=0.01)
        front.scheduler.nodes[1].surplus_rate = 1.0
    later = front.sent()[start:]
    light = sum(name.startswith("light") for name in later)
    assert 2 * light < len(later) - light


def test_surplus_rate_requests_of_lower_value_cost_more() -> None:
    charged = []
    for weight in (4.0, 1.0):
        front = DrivenFront(
            settings([class_spec(priority_weight=weight), class_spec(priority_weight=4.0)]), [endpoint(1, 1)]
        )
        front.scheduler.nodes[1].surplus_rate = 8.0
        front.step(front.arrival("a", units=6.0), front.arrival("b", units=6.0))
        charged.append(8.0 - front.scheduler.volumes[1].surplus[1].level)
    assert charged[1] == pytest.approx(4 * charged[0])


def test_reserve_client_retry_draws_once_and_keeps_its_objective() -> None:
    """A client retries a request that was not served.

    The retry is the same piece of work, so it must neither draw from the volume's reserve again nor get a new
    latency objective.
    """
    front = DrivenFront(settings([class_spec(latency_objective=0.5)]), [endpoint(1, 1)])
    front.request("first", item=7, units=4.0, deadline=front.now + 0.2)
    level = front.scheduler.volumes[1].reserve.level
    front.now += 0.2
    front.finish("first", AttemptOutcome.TIMEOUT, elapsed=0.2)
    front.request("again", item=7, units=4.0)
    again = front.scheduler.requests["again"]
    assert again.objective_at == pytest.approx(front.now + 0.3)
    filled = level + 4.0 * 0.2
    assert front.scheduler.volumes[1].reserve.level == pytest.approx(filled), "the reserve is drawn once"
    assert again.volume.reserved_left[int(again.arrived_at)] == pytest.approx(0.0)
    assert again.reserved_units == pytest.approx(4.0)
    front.finish("again", AttemptOutcome.SERVED)
    front.request("new", item=7, units=1.0)
    assert front.scheduler.requests["new"].objective_at == pytest.approx(front.now + 0.5)


def test_surplus_rate_class_with_a_larger_bound_is_charged_less() -> None:
    charged = []
    for bounds in ([0.5, 0.5], [0.8, 0.2]):
        front = DrivenFront(settings([class_spec(), class_spec()]), [endpoint(1, 1)])
        front.scheduler.rules.concurrency.slot_shares, front.scheduler.nodes[1].surplus_rate = bounds, 8.0
        front.step(front.arrival("a", units=6.0), front.arrival("b", units=6.0))
        charged.append(8.0 - front.scheduler.volumes[1].surplus[1].level)
    assert charged[0] == pytest.approx(charged[1] * 0.8 / 0.5)


def test_surplus_rate_at_its_minimum_many_fronts_send_no_more_than_one() -> None:
    """Sixteen fronts each see a free slot at a slow node. Together they must not send more than one would."""

    def sends(fronts: int) -> float:
        front = DrivenFront(
            settings(plans=[plan_spec(reserved_rate=0.0, base_rate=2.0)], front_count=fronts),
            [endpoint(1, 1)],
        )
        front.scheduler.nodes[1].concurrency_limit, front.scheduler.nodes[1].service_time_per_unit = 8.0, 0.02
        for number in range(100):
            front.request(f"r{number}", front_count=fronts)
            front.run_until(front.now + 0.2)
            for name in [name for name, request in front.scheduler.requests.items() if request.in_flight]:
                front.finish(
                    name, AttemptOutcome.SERVED, elapsed=0.6
                )  # slower than the objective: the rate stays at its minimum
        return len(front.sent())

    assert sends(16) <= sends(1) / 4


def test_surplus_rate_new_objects_share_one_rate_over_all_nodes_and_are_never_sent_late() -> None:
    def sends(nodes: int) -> int:
        config = settings(plans=[plan_spec(reserved_rate=0.0, base_rate=2.0)])
        front = DrivenFront(config, [endpoint(node, node) for node in range(1, nodes + 1)])
        for number in range(100):
            for node in front.scheduler.nodes.values():
                node.surplus_rate = 2.0
            front.request(f"r{number}", shard=None, units=2.0)
            front.run_until(front.now + 0.2)
            for name in [name for name, request in front.scheduler.requests.items() if request.in_flight]:
                front.finish(name, AttemptOutcome.SERVED, node_id=1, elapsed=0.05)
        return len(front.sent())

    assert sends(8) <= sends(1) + 8
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.scheduler.nodes[1].queue_delay = 0.6
    assert front.request("held here", shard=1) == [SendAttempt("held here", 1)]
    assert front.request("late", shard=None) == []
    assert Reject("late") in front.run_until(front.now + 0.52)


def test_rate_limit_is_drawn_once_per_request_from_this_fronts_share() -> None:
    limited = plan_spec(rate_limit=4.0, rate_limit_burst=12.0)
    front = DrivenFront(
        settings([class_spec(latency_objective=2.0), class_spec()], [limited]), [endpoint(1, 1)]
    )
    front.step(front.arrival("a", units=2.0, front_count=2), front.arrival("b", units=2.0, front_count=2))
    assert front.sent() == []
    front.run_until(101.05)
    assert front.sent() == ["a"]
    front.finish("a", AttemptOutcome.QUEUE_FULL)
    front.run_until(101.5)
    assert front.sent() == ["a", "a"]
    front.run_until(102.0)
    assert front.sent() == ["a", "a"]


def test_rate_limit_bucket_fills_from_the_process_start() -> None:
    """After a restart of the front, empty buckets would leave every volume short for some seconds."""
    limited = plan_spec(rate_limit=4.0, rate_limit_burst=12.0, rate_limit_slack=4.0)
    config = settings([class_spec(latency_objective=2.0), class_spec()], [limited], idle_since=99.0)
    front = DrivenFront(config, [endpoint(1, 1)])
    front.step(front.arrival("a", units=2.0, front_count=2), front.arrival("b", units=2.0, front_count=2))
    assert front.sent() == ["a"], "one second of the rate and half of the slack, split over two fronts"
    front.run_until(100.55)
    assert front.sent() == ["a", "b"]
    front.run_until(103.0)
    for name, units in (("c", 6.0), ("d", 2.0)):
        front.step(front.arrival(name, units=units, front_count=2, volume_id=2))
    assert front.sent() == ["a", "b", "c"], "a volume used later has its accumulated share, and no more"


def test_reserve_front_gets_what_nodes_report_as_unused_by_others() -> None:
    def front_share(reports: bool, by_others: float) -> float:
        """Return one of two fronts' final share of a reserve of 8 units a second."""
        front = DrivenFront(
            settings(plans=[plan_spec(reserved_rate=8.0)], reports_usage_by_others=reports), [endpoint(1, 1)]
        )
        for number in range(40):
            front.request(f"r{number}", front_count=2)
            front.step(at=front.now + 0.1)
            front.finish(f"r{number}", AttemptOutcome.SERVED, elapsed=0.1, units_by_others=by_others)
        return front.scheduler.rules.reserves.local_share(1, 8.0, 2)

    assert front_share(False, 0.0) == 4.0
    assert 7.5 < front_share(True, 0.0) <= 8.0  # the other front is idle
    assert 5.5 < front_share(True, 0.2) < 6.5  # the other front uses two units a second
    assert front_share(True, 2.0) == 4.0  # the other front exceeds its share: an even one is left
