"""Placement: which queued request a node is sent next, and where a new object goes."""

from cleatyoke.scheduling.actions import (
    SendAttempt,
)
from cleatyoke.scheduling.events import (
    AttemptOutcome,
)
from tests.driven_front import DrivenFront, class_spec, endpoint, settings


def test_placement_class_beyond_its_slots_uses_idle_ones() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.scheduler.nodes[1].class_slots = [1]
    for number in range(6):
        front.request(f"r{number}")
    assert front.sent() == ["r0", "r1", "r2", "r3"]


def test_placement_class_within_its_slots_goes_first() -> None:
    """A high-priority class has used its slots and has more requests queued.

    A request of the other class, which has a slot left, must not wait for them.
    """
    front = DrivenFront(
        settings([class_spec(priority_weight=9.0), class_spec(priority_weight=1.0)]), [endpoint(1, 1)]
    )
    front.scheduler.nodes[1].concurrency_limit = 2.0
    front.scheduler.nodes[1].class_slots = [1, 1]
    front.step(front.arrival("a"), front.arrival("b"), front.arrival("c", class_index=1))
    assert front.sent() == ["a", "c"]


def test_placement_new_objects_go_to_the_node_that_answers_soonest() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2)])
    front.scheduler.nodes[1].queue_delay, front.scheduler.nodes[2].queue_delay = 0.2, 0.05
    front.step(front.arrival("a", shard=None), front.arrival("b", shard=None))
    assert [action.node_id for action in front.log if isinstance(action, SendAttempt)] == [2, 2]


def test_placement_requests_within_the_reserve_go_before_more_valuable_ones_beyond_it() -> None:
    front = DrivenFront(
        settings([class_spec(priority_weight=2.0), class_spec(priority_weight=3.0)]), [endpoint(1, 1)]
    )
    node = front.scheduler.nodes[1]
    node.concurrency_limit, node.class_slots = 1.0, [1, 1]
    front.request("out")
    front.scheduler.volumes[1].reserve.level = 0.0
    front.step(front.arrival("valuable", class_index=1), front.arrival("reserved", volume_id=2))
    front.finish("out", AttemptOutcome.SERVED)
    assert front.sent()[:2] == ["out", "reserved"]


def test_placement_late_requests_wait_for_those_still_in_time() -> None:
    """A request whose answer will be late must not delay a newer one that can still be in time."""
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.scheduler.nodes[1].concurrency_limit = 1.0
    front.request("out")
    front.request("late", volume_id=2)
    front.now += 0.45
    front.request("fresh", volume_id=3)
    front.finish("out", AttemptOutcome.SERVED)
    assert front.sent()[:2] == ["out", "fresh"]
