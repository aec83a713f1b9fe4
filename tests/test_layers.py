"""The design's three layers, with figures worked by hand."""

import pytest

from cleatyoke.scheduling.actions import Reject, SendAttempt
from cleatyoke.scheduling.concurrency import arbitrate
from cleatyoke.scheduling.events import AttemptOutcome, EndpointState, EndpointUpdate, UpdateKind
from cleatyoke.scheduling.regression import fit_slope
from tests.host import DrivenFront, class_spec, endpoint, plan_spec, settings


def total(front: DrivenFront) -> float:
    return sum(node.concurrency_limit for node in front.scheduler.table.holders.values())


def test_fit_finds_the_slope_of_performance_over_bound() -> None:
    assert fit_slope([(10.0, 0.5), (12.0, 0.6), (11.0, 0.55)]) == pytest.approx(0.05)


def test_fit_weighs_larger_steps_more() -> None:
    # steps (1, 0.1) and (2, 0.1): (0.1 + 0.2) / (1 + 4)
    assert fit_slope([(1.0, 0.1), (2.0, 0.2), (4.0, 0.3)]) == pytest.approx(0.06)


@pytest.mark.parametrize("history", [[], [(5.0, 0.5)], [(5.0, 0.5), (5.0, 0.9)], [(5.0, 0.5), (6.0, 0.4)]])
def test_no_positive_slope_no_fit(history: list[tuple[float, float]]) -> None:
    assert fit_slope(history) is None


def test_asks_that_fit_are_granted_and_spare_goes_by_worth() -> None:
    assert arbitrate([0.4, 0.4], [0.35, 0.35], [1, 1], [None, None], [2, 1]) == pytest.approx([0.55, 0.45])


def test_asks_exactly_at_the_cap_are_granted_as_they_are() -> None:
    assert arbitrate([0.5, 0.5], [0.45, 0.55], [1, 1], [1.0, 1.0], [2, 1]) == pytest.approx([0.45, 0.55])


def test_one_class_has_the_whole_cap() -> None:
    assert arbitrate([1.0], [1.05], [0.5], [0.5], [3]) == pytest.approx([1.0])
    assert arbitrate([1.0], [0.95], [1.2], [0.5], [3]) == pytest.approx([1.0])


def test_overload_evens_worth_times_shortfall() -> None:
    # u = 0.5 + (0.4 - e/2)/10 and 0.5 + (0.4 - e)/10 sum to 1 at e = 8/15
    bounds = arbitrate([0.5, 0.5], [0.54, 0.54], [0.6, 0.6], [10.0, 10.0], [2, 1])
    assert bounds == pytest.approx([0.5 + 0.4 / 30, 0.5 - 0.4 / 30], abs=1e-6)
    shortfall = [1 - 0.6 - 10 * (bound - 0.5) for bound in bounds]
    assert 2 * shortfall[0] == pytest.approx(shortfall[1], abs=1e-5)


def test_overload_moves_no_bound_by_more_than_the_step() -> None:
    bounds = arbitrate([0.5, 0.5], [0.55, 0.55], [0.1, 0.9], [0.5, 0.5], [5, 1])
    assert bounds == pytest.approx([0.55, 0.45])


def test_bounds_far_under_the_cap_rise_by_the_step_only() -> None:
    # min(1, sum(c + l)) is 0.9 here
    assert arbitrate([0.4, 0.4], [0.6, 0.6], [0.5, 0.5], [1.0, 1.0], [1, 1]) == pytest.approx([0.45, 0.45])


def test_class_without_slope_keeps_its_ask_in_overload_while_the_others_give() -> None:
    assert arbitrate([0.5, 0.5], [0.52, 0.55], [0.5, 0.5], [None, 1.0], [1, 1]) == pytest.approx([0.52, 0.48])


def test_no_answers_in_an_interval_keep_the_ask() -> None:
    front = DrivenFront(settings([class_spec(), class_spec()]), [endpoint(1, 1)])
    policy = front.scheduler
    policy.rules.concurrency.asks = [0.3, 0.4]
    front.run_until(front.now + 2.5)
    assert policy.rules.concurrency.asks == [0.3, 0.4]


def test_ask_moves_at_most_a_step_towards_the_aim() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    policy = front.scheduler
    total = policy.nodes[1].concurrency_limit
    policy.rules.concurrency.history[0] = [(total * 0.9, 0.10), (total * 0.95, 0.11)]
    policy.rules.concurrency.total_answer_time[0], policy.rules.concurrency.closed_requests[0] = (
        4.0,
        1,
    )  # performance 0.125, still rising with the bound
    policy.rules.concurrency.run_round()
    assert policy.rules.concurrency.asks[0] == pytest.approx(1.05)


def test_zero_demand_splits_evenly_over_listed_nodes() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2), endpoint(3, 3)])
    front.scheduler.rules.concurrency.allocate(0, 7.0, front.scheduler.table.nodes_in_use())
    assert [node.class_slots[0] for node in front.scheduler.nodes.values()] == [3, 3, 3]


def test_split_follows_demand_rounded_up_with_a_floor_of_one() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2), endpoint(3, 3)])
    for node, demand in zip(front.scheduler.nodes.values(), [6.0, 2.0, 0.0]):
        node.class_demand[0] = demand
        front.scheduler.table.active[node.id] = node
    front.scheduler.rules.concurrency.allocate(0, 6.0, front.scheduler.table.nodes_in_use())
    assert [node.class_slots[0] for node in front.scheduler.nodes.values()] == [5, 2, 1]


def test_leaving_and_joining_nodes_change_the_total_and_the_split() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2)])
    assert total(front) == 8.0  # the default of eight a node, halved between two fronts
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(2, 2, EndpointState.REMOVED)]))
    assert total(front) == 4.0
    front.scheduler.rules.concurrency.allocate(0, 4.0, front.scheduler.table.nodes_in_use())
    assert front.scheduler.nodes[1].class_slots == [4]
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(3, 2)]))
    assert total(front) == 8.0
    front.scheduler.rules.concurrency.allocate(0, 8.0, front.scheduler.table.nodes_in_use())
    assert front.scheduler.nodes[3].class_slots == [4]


def test_idle_slots_are_lent_beyond_the_split() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.scheduler.nodes[1].class_slots = [1]
    for number in range(6):
        front.request(f"r{number}")
    assert front.sent() == ["r0", "r1", "r2", "r3"]


def test_a_class_within_its_split_goes_before_a_loan() -> None:
    front = DrivenFront(
        settings([class_spec(priority_weight=9.0), class_spec(priority_weight=1.0)]), [endpoint(1, 1)]
    )
    front.scheduler.nodes[1].concurrency_limit = 2.0
    front.scheduler.nodes[1].class_slots = [1, 1]
    front.step(front.arrival("a"), front.arrival("b"), front.arrival("c", class_index=1))
    assert front.sent() == ["a", "c"]


def test_latency_counts_held_time() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.scheduler.nodes[1].concurrency_limit = 1.0
    front.step(front.arrival("a"), front.arrival("b"))
    front.now += 0.3
    front.finish("a", AttemptOutcome.SERVED, elapsed=0.3)
    front.now += 0.1
    front.finish("b", AttemptOutcome.SERVED, elapsed=0.1)
    assert front.scheduler.rules.concurrency.total_answer_time[0] == pytest.approx(0.3 + 0.4)


def test_new_objects_go_where_they_are_answered_soonest() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2)])
    front.scheduler.nodes[1].queue_delay, front.scheduler.nodes[2].queue_delay = 0.2, 0.05
    front.step(front.arrival("a", shard=None), front.arrival("b", shard=None))
    assert [action.node_id for action in front.log if isinstance(action, SendAttempt)] == [2, 2]


def test_depth_rises_while_answers_are_short_and_falls_while_long() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    node = front.scheduler.nodes[1]
    for spent, depth, rounds in ((0.02, 8.0, 60), (0.9, 1.0, 20)):
        for number in range(rounds):
            front.now += 1.0
            node.surplus_rate = 1e6
            front.step(*[front.arrival(f"{spent}-{number}-{extra}") for extra in range(8)])
            for request in [name for name, held in front.scheduler.requests.items() if held.in_flight]:
                front.finish(request, AttemptOutcome.SERVED, elapsed=spent)
        assert node.concurrency_limit == depth


def test_spare_rate_falls_with_long_answers_at_one_slot_and_recovers_with_short_ones() -> None:
    front = DrivenFront(settings(front_count=8), [endpoint(1, 1)])
    node = front.scheduler.nodes[1]
    node.surplus_rate = 64.0
    spares = [node.surplus_rate]
    for number, spent in enumerate([0.02] + [0.9] * 3 + [0.02] * 12):
        front.now += 1.0
        front.request(f"r{number}", volume_id=number)
        front.finish(f"r{number}", AttemptOutcome.SERVED, elapsed=spent)
        spares.append(node.surplus_rate)
    assert min(spares[2:]) < max(spares) / 4
    assert spares[-1] > max(spares) / 2


def test_what_is_beyond_the_reserve_waits_for_its_part_of_the_spare_rate() -> None:
    front = DrivenFront(settings([class_spec(latency_objective=20.0)]), [endpoint(1, 1)])
    node = front.scheduler.nodes[1]
    node.surplus_rate = 0.5  # units a second, and no more than a second of it at once
    front.step(*[front.arrival(f"r{number}", units=5.0, deadline=front.now + 20) for number in range(4)])
    assert front.sent() == ["r0", "r1", "r2"]  # two in the reserve, one on the first credit
    for name in ("r0", "r1", "r2"):
        front.finish(name, AttemptOutcome.SERVED)
    front.request("reserved", volume_id=2)
    assert front.sent()[3:] == ["reserved"]
    front.finish("reserved", AttemptOutcome.SERVED)
    node.surplus_rate = 0.6
    front.run_until(front.now + 7.0)  # in debt by 4.5 units: seven and a half seconds
    assert "r3" not in front.sent()
    front.run_until(front.now + 1.0)
    assert front.sent()[4:] == ["r3"]


def test_heavier_plans_have_more_of_the_spare_rate() -> None:
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
        for name in [name for name, held in front.scheduler.requests.items() if held.in_flight]:
            front.finish(name, AttemptOutcome.SERVED, elapsed=0.01)
        front.scheduler.nodes[1].surplus_rate = 1.0
    later = front.sent()[start:]
    light = sum(name.startswith("light") for name in later)
    assert 2 * light < len(later) - light


def test_what_earns_less_pays_more_of_the_spare_rate() -> None:
    paid = []
    for worth in (4.0, 1.0):
        front = DrivenFront(
            settings([class_spec(priority_weight=worth), class_spec(priority_weight=4.0)]), [endpoint(1, 1)]
        )
        front.scheduler.nodes[1].surplus_rate = 8.0
        front.step(front.arrival("a", units=6.0), front.arrival("b", units=6.0))
        paid.append(8.0 - front.scheduler.volumes[1].surplus[1].level)
    assert paid[1] == pytest.approx(4 * paid[0])


def test_requests_inside_the_reserve_go_before_dearer_ones_beyond_it() -> None:
    front = DrivenFront(
        settings([class_spec(priority_weight=2.0), class_spec(priority_weight=3.0)]), [endpoint(1, 1)]
    )
    node = front.scheduler.nodes[1]
    node.concurrency_limit, node.class_slots = 1.0, [1, 1]
    front.request("out")
    front.scheduler.volumes[1].reserve.level = 0.0
    front.step(front.arrival("dear", class_index=1), front.arrival("reserved", volume_id=2))
    front.finish("out", AttemptOutcome.SERVED)
    assert front.sent()[:2] == ["out", "reserved"]


def test_late_requests_wait_for_those_that_can_still_be_in_time() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.scheduler.nodes[1].concurrency_limit = 1.0
    front.request("out")
    front.request("late", volume_id=2)
    front.now += 0.45
    front.request("fresh", volume_id=3)
    front.finish("out", AttemptOutcome.SERVED)
    assert front.sent()[:2] == ["out", "fresh"]


def test_a_repeat_belongs_to_its_first_try() -> None:
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


def test_a_hurried_client_is_no_fault_of_the_node() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    depth = front.scheduler.nodes[1].concurrency_limit
    for number in range(4):
        front.request(f"r{number}", deadline=front.now + 0.1)
        front.now += 0.1
        front.finish(f"r{number}", AttemptOutcome.TIMEOUT, elapsed=0.1)
    assert front.scheduler.nodes[1].concurrency_limit == depth
    front.request("slow")
    front.now += 2.0
    front.finish("slow", AttemptOutcome.TIMEOUT, elapsed=2.0)
    assert front.scheduler.nodes[1].concurrency_limit == depth / 2


def test_a_class_with_a_larger_bound_draws_more_of_the_spare_rate() -> None:
    paid = []
    for bounds in ([0.5, 0.5], [0.8, 0.2]):
        front = DrivenFront(settings([class_spec(), class_spec()]), [endpoint(1, 1)])
        front.scheduler.rules.concurrency.bounds, front.scheduler.nodes[1].surplus_rate = bounds, 8.0
        front.step(front.arrival("a", units=6.0), front.arrival("b", units=6.0))
        paid.append(8.0 - front.scheduler.volumes[1].surplus[1].level)
    assert paid[0] == pytest.approx(paid[1] * 0.8 / 0.5)


def test_many_hosts_together_send_no_more_at_the_least_spare_rate_than_one() -> None:
    def sends(fronts: int) -> float:
        front = DrivenFront(
            settings(plans=[plan_spec(reserved_rate=0.0, base_rate=2.0)], front_count=fronts),
            [endpoint(1, 1)],
        )
        front.scheduler.nodes[1].concurrency_limit, front.scheduler.nodes[1].service_time_per_unit = 8.0, 0.02
        for number in range(100):
            front.request(f"r{number}", front_count=fronts)
            front.run_until(front.now + 0.2)
            for name in [name for name, held in front.scheduler.requests.items() if held.in_flight]:
                front.finish(
                    name, AttemptOutcome.SERVED, elapsed=0.6
                )  # over the aim: the rate stays at its least
        return len(front.sent())

    assert sends(16) <= sends(1) / 4


def test_long_service_is_not_taken_for_a_queue() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    node = front.scheduler.nodes[1]
    for number in range(40):  # a fifth of a second each unit, however little is out
        front.now += 1.0
        units = 1.0 + number % 3
        front.request(f"r{number}", units=units, deadline=front.now + 5)
        front.finish(f"r{number}", AttemptOutcome.SERVED, elapsed=0.2 * units)
    assert node.queue_delay < 0.01
    assert node.surplus_rate > front.scheduler.state.base_surplus_rate
    for number in range(3):  # half a second of queue on top
        front.now += 1.0
        front.request(f"q{number}", deadline=front.now + 5)
        front.finish(f"q{number}", AttemptOutcome.SERVED, elapsed=0.7)
    assert node.queue_delay > front.scheduler.state.queue_delay_target


def test_a_first_answer_out_of_a_queue_is_not_taken_for_service() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2)])
    for number in range(20):
        front.request(f"r{number}")
        front.finish(f"r{number}", AttemptOutcome.SERVED, elapsed=0.02)
    front.request("far", shard=2)
    front.finish("far", AttemptOutcome.SERVED, node_id=2, elapsed=0.9)
    assert front.scheduler.nodes[2].service_time_per_unit < 0.07


def test_new_objects_have_their_spare_rate_at_all_nodes_together_and_never_go_late() -> None:
    def sends(nodes: int) -> int:
        config = settings(plans=[plan_spec(reserved_rate=0.0, base_rate=2.0)])
        front = DrivenFront(config, [endpoint(node, node) for node in range(1, nodes + 1)])
        for number in range(100):
            for node in front.scheduler.nodes.values():
                node.surplus_rate = 2.0
            front.request(f"r{number}", shard=None, units=2.0)
            front.run_until(front.now + 0.2)
            for name in [name for name, held in front.scheduler.requests.items() if held.in_flight]:
                front.finish(name, AttemptOutcome.SERVED, node_id=1, elapsed=0.05)
        return len(front.sent())

    assert sends(8) <= sends(1) + 8
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.scheduler.nodes[1].queue_delay = 0.6
    assert front.request("held here", shard=1) == [SendAttempt("held here", 1)]
    assert front.request("late", shard=None) == []
    assert Reject("late") in front.run_until(front.now + 0.52)
