"""The scheduler's work, timers and memory depend on its events, not on node count or running time."""

import pytest

from cleatyoke.scheduling.actions import (
    Reject,
    SchedulerAction,
    SetTimer,
)
from cleatyoke.scheduling.events import (
    AttemptOutcome,
    EndpointState,
    EndpointUpdate,
    TimerFired,
    UpdateKind,
)
from cleatyoke.scheduling.retries import LOST_ANSWER_FRACTION
from cleatyoke.scheduling.scheduler import Scheduler
from cleatyoke.scheduling.state import SEND_MARGIN
from tests.driven_front import DrivenFront, endpoint, settings


def timers_set(actions: list[SchedulerAction]) -> list[SetTimer]:
    return [action for action in actions if isinstance(action, SetTimer)]


def test_idle_front_sets_no_timer() -> None:
    scheduler = Scheduler(settings())
    nodes = [endpoint(node, node) for node in range(45)]
    assert scheduler.step(10.0, [EndpointUpdate(UpdateKind.CACHED, nodes)]) == []


def front_with_full_node(now: float) -> DrivenFront:
    """Return a front whose node 1 has one slot, which is in use, so that the next request is queued."""
    front = DrivenFront(settings(front_count=8), [endpoint(node, node) for node in range(45)], now)
    front.request("first", front_count=8)
    return front


def test_queued_request_sets_one_timer_for_when_it_becomes_late() -> None:
    front = front_with_full_node(10.0)
    assert timers_set(front.scheduler.step(10.0, [front.arrival("a", front_count=8)])) == [], (
        "the timer of the first attempt is due earlier"
    )
    checked_at = 10.0 + LOST_ANSWER_FRACTION * 0.5
    (timer,) = timers_set(front.scheduler.step(checked_at, [TimerFired(0)]))
    assert checked_at + timer.delay == pytest.approx(10.5 - front.scheduler.nodes[1].queue_delay)
    assert front.scheduler.step(checked_at + timer.delay, [TimerFired(0)])[0] == Reject("a")


def test_timer_that_fires_early_is_set_again() -> None:
    """The event loop may fire a timer a fraction of a microsecond early.

    Nothing is due then, and without another timer the queued request would not be answered in time.
    """
    front = front_with_full_node(100.0)
    front.request("a", front_count=8)
    late_at = 100.5 - front.scheduler.nodes[1].queue_delay
    assert timers_set(front.scheduler.step(late_at - 1e-7, [TimerFired(0)])), (
        "without a timer the request is not answered in time"
    )


def test_served_request_leaves_no_timer() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a")
    front.finish("a", AttemptOutcome.SERVED)
    assert front.scheduler.step(101.96, [TimerFired(0)]) == []


def test_dispatch_examines_only_changed_nodes() -> None:
    front = DrivenFront(settings(), [endpoint(node, node) for node in range(45)])
    examined: list[int] = []
    choose = front.scheduler.placement.choose

    def recorded_choose(node):  # type: ignore[no-untyped-def]  # noqa: ANN001, ANN202
        examined.append(node.id)
        return choose(node)

    front.scheduler.placement.choose = recorded_choose  # type: ignore[method-assign]
    front.request("a", shard=7)
    front.finish("a", AttemptOutcome.SERVED, node_id=7)
    assert set(examined) == {7}
    assert len(examined) <= 4


def test_unused_volumes_items_and_nodes_are_dropped() -> None:
    """A front runs for months and sees many volumes, items and nodes.

    The memory for their records must stay bounded.
    """
    front = DrivenFront(settings(), [endpoint(1, 1)])
    for number in range(300):
        front.now += 1.0
        removed = endpoint(number + 10, 1, EndpointState.REMOVED)
        front.step(EndpointUpdate(UpdateKind.DELTA, [removed]))
        front.request(f"r{number}", volume_id=number, item=number)
        front.finish(f"r{number}", AttemptOutcome.SERVED)
    scheduler = front.scheduler
    assert len(scheduler.volumes) < 100
    assert len(scheduler.nodes) < 100
    assert (
        len(scheduler.rules.ordering.open_requests)
        + len(scheduler.rules.ordering.paused_until)
        + len(scheduler.requests)
        < 10
    )
    assert len(scheduler.state.timers) < 10


def test_request_due_at_rounded_time_is_answered() -> None:
    """Times are large numbers, so the sum of two may be rounded to just before the exact time.

    A request that is due at that time must still be answered.
    """
    for power in range(12):
        front = front_with_full_node(2.0**power)
        front.request("a", front_count=8, deadline=front.now + 0.3)
        front.scheduler.nodes[1].queue_delay = SEND_MARGIN
        assert front.scheduler.step(2.0**power + 0.3 - SEND_MARGIN, [TimerFired(0)])
