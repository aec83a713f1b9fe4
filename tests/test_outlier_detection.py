"""Outlier detection: concurrency limits, service time and queue delay estimates, and node pauses."""

import pytest

from cleatyoke.scheduling.events import (
    AttemptOutcome,
)
from cleatyoke.scheduling.records import Request
from tests.driven_front import DrivenFront, class_spec, endpoint, settings


def test_concurrency_limit_rises_with_fast_answers_and_falls_with_slow_ones() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    node = front.scheduler.nodes[1]
    for elapsed, limit, rounds in ((0.02, 8.0, 60), (0.9, 1.0, 20)):
        for number in range(rounds):
            front.now += 1.0
            node.surplus_rate = 1e6
            front.step(*[front.arrival(f"{elapsed}-{number}-{extra}") for extra in range(8)])
            for name in [name for name, request in front.scheduler.requests.items() if request.in_flight]:
                front.finish(name, AttemptOutcome.SERVED, elapsed=elapsed)
        assert node.concurrency_limit == limit


def test_surplus_rate_falls_with_slow_answers_at_one_slot_and_recovers_with_fast_ones() -> None:
    """A slow node already has a concurrency limit of one, so only the surplus rate can reduce its load."""
    front = DrivenFront(settings(front_count=8), [endpoint(1, 1)])
    node = front.scheduler.nodes[1]
    node.surplus_rate = 64.0
    surplus_rates = [node.surplus_rate]
    for number, elapsed in enumerate([0.02] + [0.9] * 3 + [0.02] * 12):
        front.now += 1.0
        front.request(f"r{number}", volume_id=number)
        front.finish(f"r{number}", AttemptOutcome.SERVED, elapsed=elapsed)
        surplus_rates.append(node.surplus_rate)
    assert min(surplus_rates[2:]) < max(surplus_rates) / 4
    assert surplus_rates[-1] > max(surplus_rates) / 2


def test_concurrency_limit_is_not_reduced_by_short_client_deadlines() -> None:
    """Clients with a deadline of 0.1 s must not reduce the concurrency limit of a healthy node.

    An attempt that took longer than the objective halves it.
    """
    front = DrivenFront(settings(), [endpoint(1, 1)])
    limit = front.scheduler.nodes[1].concurrency_limit
    for number in range(4):
        front.request(f"r{number}", deadline=front.now + 0.1)
        front.now += 0.1
        front.finish(f"r{number}", AttemptOutcome.TIMEOUT, elapsed=0.1)
    assert front.scheduler.nodes[1].concurrency_limit == limit
    front.request("slow")
    front.now += 2.0
    front.finish("slow", AttemptOutcome.TIMEOUT, elapsed=2.0)
    assert front.scheduler.nodes[1].concurrency_limit == limit / 2


def test_queue_delay_excludes_long_service_times() -> None:
    """Requests take long at a node because they are large, not because it has a queue.

    This must not reduce its surplus rate, but half a second of real queueing must be detected.
    """
    front = DrivenFront(settings(), [endpoint(1, 1)])
    node = front.scheduler.nodes[1]
    for number in range(40):  # 0.2 s per unit, even with only one request in flight
        front.now += 1.0
        units = 1.0 + number % 3
        front.request(f"r{number}", units=units, deadline=front.now + 5)
        front.finish(f"r{number}", AttemptOutcome.SERVED, elapsed=0.2 * units)
    assert node.queue_delay < 0.01
    assert node.surplus_rate > front.scheduler.state.base_surplus_rate
    for number in range(3):  # 0.5 s of queueing on top
        front.now += 1.0
        front.request(f"q{number}", deadline=front.now + 5)
        front.finish(f"q{number}", AttemptOutcome.SERVED, elapsed=0.7)
    assert node.queue_delay > front.scheduler.state.queue_delay_target


def test_service_time_excludes_queueing_of_a_first_answer() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2)])
    for number in range(20):
        front.request(f"r{number}")
        front.finish(f"r{number}", AttemptOutcome.SERVED, elapsed=0.02)
    front.request("far", shard=2)
    front.finish("far", AttemptOutcome.SERVED, node_id=2, elapsed=0.9)
    assert front.scheduler.nodes[2].service_time_per_unit < 0.07


def test_service_time_is_estimated_by_class() -> None:
    """A class whose units take three times as long must not look like a queue, or as if it were late."""
    front = DrivenFront(settings([class_spec(), class_spec()]), [endpoint(1, 1)])
    for number in range(60):
        heavy = number % 2
        front.request(f"r{number}", class_index=heavy, deadline=front.now + 2.0)
        front.now += 0.5
        front.finish(f"r{number}", AttemptOutcome.SERVED, elapsed=0.12 if heavy else 0.04)
    node = front.scheduler.nodes[1]
    assert node.queue_delay < 0.01
    light_request, heavy_request = (
        Request(
            front.arrival("x", class_index=index),
            front.scheduler.settings.classes[index],
            1,
            front.scheduler.volumes[1],
            front.now,
        )
        for index in (0, 1)
    )
    assert front.scheduler.rules.estimates.answer_time(light_request, node) == pytest.approx(0.04, abs=0.01)
    assert front.scheduler.rules.estimates.answer_time(heavy_request, node) == pytest.approx(0.12, abs=0.02)


def test_node_pause_grows_with_consecutive_failures() -> None:
    """A dead node is still listed.

    Each refused connection would use up an attempt of a request, so the pause must grow with each one.
    """
    front = DrivenFront(settings(max_attempts=99), [endpoint(1, 1)])
    front.request("a", deadline=130.0)
    for _ in range(6):
        front.finish("a", AttemptOutcome.CONNECTION_FAILED)
        front.run_until(front.now + 1.0)
    attempts = len(front.sent())
    front.finish("a", AttemptOutcome.CONNECTION_FAILED)
    front.run_until(front.now + 0.45)
    assert len(front.sent()) == attempts


def test_queue_delay_rises_with_consecutive_failures_but_not_with_one() -> None:
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
