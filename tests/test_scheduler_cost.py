"""Work, timers and memory of the scheduler follow what happens, not its nodes or the time it runs."""

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


def test_an_idle_front_sets_no_timer() -> None:
    policy = Scheduler(settings())
    nodes = [endpoint(node, node) for node in range(45)]
    assert policy.step(10.0, [EndpointUpdate(UpdateKind.CACHED, nodes)]) == []


def front_with_full_node(now: float) -> DrivenFront:
    """A node of one slot that is taken, so that the next request is held."""
    front = DrivenFront(settings(front_count=8), [endpoint(node, node) for node in range(45)], now)
    front.request("first", front_count=8)
    return front


def test_a_queued_request_sets_one_timer_for_when_it_turns_late() -> None:
    front = front_with_full_node(10.0)
    assert timers_set(front.scheduler.step(10.0, [front.arrival("a", front_count=8)])) == [], (
        "a look comes before"
    )
    looked = 10.0 + LOST_ANSWER_FRACTION * 0.5
    (wake,) = timers_set(front.scheduler.step(looked, [TimerFired(0)]))
    assert looked + wake.delay == pytest.approx(10.5 - front.scheduler.nodes[1].queue_delay)
    assert front.scheduler.step(looked + wake.delay, [TimerFired(0)])[0] == Reject("a")


def test_a_timer_that_fires_a_little_early_is_set_again() -> None:
    """The event loop fires a timer a fraction of a microsecond early.

    Nothing is due yet, and without another timer the queued request would not be answered in time.
    """
    front = front_with_full_node(100.0)
    front.request("a", front_count=8)
    late = 100.5 - front.scheduler.nodes[1].queue_delay
    assert timers_set(front.scheduler.step(late - 1e-7, [TimerFired(0)])), (
        "nothing else would answer it in time"
    )


def test_a_served_request_leaves_no_timer_behind() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a")
    front.finish("a", AttemptOutcome.SERVED)
    assert front.scheduler.step(101.96, [TimerFired(0)]) == []


def test_only_nodes_where_something_changed_choose() -> None:
    front = DrivenFront(settings(), [endpoint(node, node) for node in range(45)])
    looked: list[int] = []
    choose = front.scheduler.placement.choose

    def count(node):  # type: ignore[no-untyped-def]  # noqa: ANN001, ANN202
        looked.append(node.id)
        return choose(node)

    front.scheduler.placement.choose = count  # type: ignore[method-assign]
    front.request("a", shard=7)
    front.finish("a", AttemptOutcome.SERVED, node_id=7)
    assert set(looked) == {7}
    assert len(looked) <= 4


def test_volumes_keys_and_nodes_are_forgotten_in_time() -> None:
    """A front runs for months and sees many volumes, items and nodes.

    What is kept of them must not grow with that.
    """
    front = DrivenFront(settings(), [endpoint(1, 1)])
    for number in range(300):
        front.now += 1.0
        gone = endpoint(number + 10, 1, EndpointState.REMOVED)
        front.step(EndpointUpdate(UpdateKind.DELTA, [gone]))
        front.request(f"r{number}", volume_id=number, item=number)
        front.finish(f"r{number}", AttemptOutcome.SERVED)
    policy = front.scheduler
    assert len(policy.volumes) < 100
    assert len(policy.nodes) < 100
    assert (
        len(policy.rules.ordering.open_requests)
        + len(policy.rules.ordering.paused_until)
        + len(policy.requests)
        < 10
    )
    assert len(policy.state.timers) < 10


def test_rounding_does_not_lose_an_answer() -> None:
    """Times are large numbers, so a sum of two may round to just before the moment it stands for.

    A request that is due then must still be answered.
    """
    for power in range(12):
        front = front_with_full_node(2.0**power)
        front.request("a", front_count=8, deadline=front.now + 0.3)
        front.scheduler.nodes[1].queue_delay = SEND_MARGIN
        assert front.scheduler.step(2.0**power + 0.3 - SEND_MARGIN, [TimerFired(0)])
