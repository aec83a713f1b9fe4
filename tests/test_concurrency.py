"""The concurrency control loop: slope fit, arbitration and allocation, with values worked out by hand."""

import pytest

from cleatyoke.scheduling.concurrency import arbitrate
from cleatyoke.scheduling.events import (
    AttemptOutcome,
    EndpointState,
    EndpointUpdate,
    UpdateKind,
)
from cleatyoke.scheduling.regression import fit_slope
from tests.driven_front import DrivenFront, class_spec, endpoint, settings


def total_slots(front: DrivenFront) -> float:
    return sum(node.concurrency_limit for node in front.scheduler.table.holders.values())


def test_fit_slope_returns_performance_over_bound() -> None:
    assert fit_slope([(10.0, 0.5), (12.0, 0.6), (11.0, 0.55)]) == pytest.approx(0.05)


def test_fit_slope_weighs_larger_steps_more() -> None:
    # steps (1, 0.1) and (2, 0.1): (0.1 + 0.2) / (1 + 4)
    assert fit_slope([(1.0, 0.1), (2.0, 0.2), (4.0, 0.3)]) == pytest.approx(0.06)


@pytest.mark.parametrize("history", [[], [(5.0, 0.5)], [(5.0, 0.5), (5.0, 0.9)], [(5.0, 0.5), (6.0, 0.4)]])
def test_fit_slope_without_a_positive_slope_returns_none(history: list[tuple[float, float]]) -> None:
    assert fit_slope(history) is None


def test_arbitrate_shares_that_fit_are_granted_and_the_rest_goes_by_weight() -> None:
    assert arbitrate([0.4, 0.4], [0.35, 0.35], [1, 1], [None, None], [2, 1]) == pytest.approx([0.55, 0.45])


def test_arbitrate_shares_that_sum_to_one_are_granted() -> None:
    assert arbitrate([0.5, 0.5], [0.45, 0.55], [1, 1], [1.0, 1.0], [2, 1]) == pytest.approx([0.45, 0.55])


def test_arbitrate_single_class_has_all_slots() -> None:
    assert arbitrate([1.0], [1.05], [0.5], [0.5], [3]) == pytest.approx([1.0])
    assert arbitrate([1.0], [0.95], [1.2], [0.5], [3]) == pytest.approx([1.0])


def test_arbitrate_overload_equalizes_weighted_shortfalls() -> None:
    # u = 0.5 + (0.4 - e/2)/10 and 0.5 + (0.4 - e)/10 sum to 1 at e = 8/15
    """Two classes request more slots than there are.

    The one with the larger weight must fall short by less: half as much at twice the weight.
    """
    bounds = arbitrate([0.5, 0.5], [0.54, 0.54], [0.6, 0.6], [10.0, 10.0], [2, 1])
    assert bounds == pytest.approx([0.5 + 0.4 / 30, 0.5 - 0.4 / 30], abs=1e-6)
    shortfall = [1 - 0.6 - 10 * (bound - 0.5) for bound in bounds]
    assert 2 * shortfall[0] == pytest.approx(shortfall[1], abs=1e-5)


def test_arbitrate_overload_changes_no_bound_by_more_than_the_step() -> None:
    """A surge makes one class miss its objective tenfold.

    Its bound still changes by only one step per interval, so that one noisy interval does not take all slots
    of the other class.
    """
    bounds = arbitrate([0.5, 0.5], [0.55, 0.55], [0.1, 0.9], [0.5, 0.5], [5, 1])
    assert bounds == pytest.approx([0.55, 0.45])


def test_arbitrate_low_bounds_rise_by_one_step_only() -> None:
    # min(1, sum(c + l)) is 0.9 here
    assert arbitrate([0.4, 0.4], [0.6, 0.6], [0.5, 0.5], [1.0, 1.0], [1, 1]) == pytest.approx([0.45, 0.45])


def test_arbitrate_overload_class_without_a_slope_keeps_its_requested_share() -> None:
    assert arbitrate([0.5, 0.5], [0.52, 0.55], [0.5, 0.5], [None, 1.0], [1, 1]) == pytest.approx([0.52, 0.48])


def test_control_round_without_answers_keeps_the_requested_shares() -> None:
    front = DrivenFront(settings([class_spec(), class_spec()]), [endpoint(1, 1)])
    scheduler = front.scheduler
    scheduler.rules.concurrency.requested_shares = [0.3, 0.4]
    front.run_until(front.now + 2.5)
    assert scheduler.rules.concurrency.requested_shares == [0.3, 0.4]


def test_control_round_requested_share_changes_by_at_most_one_step() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    scheduler = front.scheduler
    total_slots = scheduler.nodes[1].concurrency_limit
    scheduler.rules.concurrency.history[0] = [(total_slots * 0.9, 0.10), (total_slots * 0.95, 0.11)]
    scheduler.rules.concurrency.total_answer_time[0], scheduler.rules.concurrency.closed_requests[0] = (
        4.0,
        1,
    )  # performance 0.125, rising with the bound
    scheduler.rules.concurrency.run_round()
    assert scheduler.rules.concurrency.requested_shares[0] == pytest.approx(1.05)


def test_allocate_without_demand_splits_evenly_over_listed_nodes() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2), endpoint(3, 3)])
    front.scheduler.rules.concurrency.allocate(0, 7.0, front.scheduler.table.nodes_in_use())
    assert [node.class_slots[0] for node in front.scheduler.nodes.values()] == [3, 3, 3]


def test_allocate_splits_by_demand_rounded_up_with_at_least_one() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2), endpoint(3, 3)])
    for node, demand in zip(front.scheduler.nodes.values(), [6.0, 2.0, 0.0]):
        node.class_demand[0] = demand
        front.scheduler.table.touched_nodes[node.id] = node
    front.scheduler.rules.concurrency.allocate(0, 6.0, front.scheduler.table.nodes_in_use())
    assert [node.class_slots[0] for node in front.scheduler.nodes.values()] == [5, 2, 1]


def test_allocate_follows_nodes_that_leave_and_join() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2)])
    assert total_slots(front) == 8.0  # two nodes of eight slots, split between two fronts
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(2, 2, EndpointState.REMOVED)]))
    assert total_slots(front) == 4.0
    front.scheduler.rules.concurrency.allocate(0, 4.0, front.scheduler.table.nodes_in_use())
    assert front.scheduler.nodes[1].class_slots == [4]
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(3, 2)]))
    assert total_slots(front) == 8.0
    front.scheduler.rules.concurrency.allocate(0, 8.0, front.scheduler.table.nodes_in_use())
    assert front.scheduler.nodes[3].class_slots == [4]


def test_answer_time_includes_queueing_at_the_front() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.scheduler.nodes[1].concurrency_limit = 1.0
    front.step(front.arrival("a"), front.arrival("b"))
    front.now += 0.3
    front.finish("a", AttemptOutcome.SERVED, elapsed=0.3)
    front.now += 0.1
    front.finish("b", AttemptOutcome.SERVED, elapsed=0.1)
    assert front.scheduler.rules.concurrency.total_answer_time[0] == pytest.approx(0.3 + 0.4)
