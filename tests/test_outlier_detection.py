"""Outlier detection: concurrency limits, service and queue estimates, and pauses after failures."""

import pytest

from cleatyoke.scheduling.events import (
    AttemptOutcome,
)
from cleatyoke.scheduling.records import Request
from tests.driven_front import DrivenFront, class_spec, endpoint, settings


def test_the_concurrency_limit_rises_with_fast_answers_and_falls_with_slow_ones() -> None:
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


def test_the_surplus_rate_falls_with_slow_answers_at_one_slot_and_recovers_with_fast_ones() -> None:
    """A node turns slow with a concurrency limit of one, so only the surplus rate can relieve it."""
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


def test_a_client_with_a_short_deadline_is_no_failure_of_the_node() -> None:
    """Clients give up after a tenth of a second.

    The node is healthy, and keeps its concurrency limit; an attempt that took longer than the objective
    halves it.
    """
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


def test_long_service_is_not_taken_for_a_queue() -> None:
    """Requests take long at a node because they are large, not because it has a queue.

    Its surplus rate must not fall for that; half a second of real queueing must be seen.
    """
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


def test_a_first_answer_that_queued_is_not_taken_for_service() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2)])
    for number in range(20):
        front.request(f"r{number}")
        front.finish(f"r{number}", AttemptOutcome.SERVED, elapsed=0.02)
    front.request("far", shard=2)
    front.finish("far", AttemptOutcome.SERVED, node_id=2, elapsed=0.9)
    assert front.scheduler.nodes[2].service_time_per_unit < 0.07


def test_service_is_told_from_queueing_by_class() -> None:
    """Classes whose units take three times the work must not be taken for a queue, nor for late."""
    front = DrivenFront(settings([class_spec(), class_spec()]), [endpoint(1, 1)])
    for number in range(60):
        heavy = number % 2
        front.request(f"r{number}", class_index=heavy, deadline=front.now + 2.0)
        front.now += 0.5
        front.finish(f"r{number}", AttemptOutcome.SERVED, elapsed=0.12 if heavy else 0.04)
    node = front.scheduler.nodes[1]
    assert node.queue_delay < 0.01
    light, heavy_one = (
        Request(
            front.arrival("x", class_index=index),
            front.scheduler.settings.classes[index],
            1,
            front.scheduler.volumes[1],
            front.now,
        )
        for index in (0, 1)
    )
    assert front.scheduler.rules.estimates.answer_time(light, node) == pytest.approx(0.04, abs=0.01)
    assert front.scheduler.rules.estimates.answer_time(heavy_one, node) == pytest.approx(0.12, abs=0.02)


def test_a_node_that_rejects_again_and_again_is_paused_longer() -> None:
    """A node is dead but still listed.

    Each refused connection would use up an attempt of a request, so the pause grows with each.
    """
    front = DrivenFront(settings(max_attempts=99), [endpoint(1, 1)])
    front.request("a", deadline=130.0)
    for _ in range(6):
        front.finish("a", AttemptOutcome.CONNECTION_FAILED)
        front.run_until(front.now + 1.0)
    tries = len(front.sent())
    front.finish("a", AttemptOutcome.CONNECTION_FAILED)
    front.run_until(front.now + 0.45)
    assert len(front.sent()) == tries


def test_failures_in_a_row_count_as_queueing_and_a_lost_answer_does_not() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    node = front.scheduler.nodes[1]
    queued = []
    for number in range(3):
        front.request(f"r{number}")
        front.now += 0.6
        front.finish(f"r{number}", AttemptOutcome.CANCELLED, elapsed=0.6)
        queued.append(node.queue_delay)
    assert queued[0] == front.scheduler.state.queue_delay_target / 2
    assert queued[1] > 2 * queued[0]
    assert queued[2] > queued[1]
