"""Retries: the budget, the most attempts, and timeouts of attempts."""

import pytest

from cleatyoke.scheduling.actions import (
    CancelAttempt,
    FailRequest,
    Reject,
    SchedulerAction,
    SendAttempt,
)
from cleatyoke.scheduling.events import (
    AttemptOutcome,
)
from cleatyoke.scheduling.retries import LOST_ANSWER_FRACTION
from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope, RequestClass
from tests.driven_front import DrivenFront, class_spec, endpoint, plan_spec, settings

ONCE = class_spec(idempotency=Idempotency.NOT_IDEMPOTENT)


def answers(actions: list[SchedulerAction], request: str) -> list[type]:
    finals = (Reject, FailRequest)
    return [type(action) for action in actions if isinstance(action, finals) and action.request_id == request]


def test_an_overdue_attempt_is_cancelled_and_its_request_rejected() -> None:
    """An answer is lost at a front's only slot.

    The attempt is cancelled when the objective has passed, its request is rejected, and the slot serves the
    next request.
    """
    front = DrivenFront(settings(front_count=8), [endpoint(1, 1)])
    front.request("lost")
    assert front.run_until(front.now + 0.52) == [CancelAttempt("lost", 0)]
    assert front.finish("lost", AttemptOutcome.CANCELLED, elapsed=0.52) == [Reject("lost")]
    assert front.request("next") == [SendAttempt("next", 1)]


@pytest.mark.parametrize(("late", "pace", "until"), [(0.1, 0.5, 1.5), (0.2, 0.5, 3.0), (0.0, 0.2, 0.5)])
def test_a_slow_answer_is_waited_for_by_what_it_is_worth(late: float, pace: float, until: float) -> None:
    front = DrivenFront(settings([class_spec(late_value=late)], front_count=8), [endpoint(1, 1)])
    front.scheduler.nodes[1].service_time_per_unit = pace
    began = front.now
    front.request("slow", deadline=began + 9.0)
    assert front.run_until(began + until - 0.1) == []
    assert front.run_until(began + until + 0.2) == [CancelAttempt("slow", 0)]


@pytest.mark.parametrize(
    "kind", [ONCE, class_spec(idempotency=Idempotency.KEYED, idempotency_scope=IdempotencyScope.SHARD)]
)
def test_no_attempt_is_cancelled_that_could_not_be_retried(kind: RequestClass) -> None:
    front = DrivenFront(settings([kind]), [endpoint(1, 1)])
    front.request("a")
    assert front.run_until(front.now + 1.9) == []


def test_an_idempotent_request_is_retried_up_to_the_most_attempts() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a", deadline=130.0)
    for _ in range(3):
        assert front.scheduler.requests["a"].in_flight
        last = front.finish("a", AttemptOutcome.ERROR)
    assert answers(last, "a") == [Reject]
    assert front.sent() == ["a"] * 3


def test_a_request_never_has_two_attempts_in_flight() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a")
    front.run_until(101.9)
    assert front.sent() == ["a"]


def test_retries_stay_within_the_budget() -> None:
    """Every attempt fails.

    Without a budget the fleet would be sent each request several times, just when it bears least.
    """
    budget = {"retry_budget_minimum": 1.0, "retry_budget_ratio": 0.0, "retry_budget_window": 1.0}
    front = DrivenFront(settings([class_spec(latency_objective=2.0)], safety=budget), [endpoint(1, 1)])
    front.step(front.arrival("a"), front.arrival("b"))
    front.finish("a", AttemptOutcome.ERROR)
    front.finish("b", AttemptOutcome.ERROR)
    assert front.sent() == ["a", "b", "a"]
    front.run_until(101.05)
    assert front.sent() == ["a", "b", "a", "b"]


def test_the_retry_budget_grows_with_accepted_requests() -> None:
    budget = {"retry_budget_minimum": 0.0, "retry_budget_ratio": 0.5, "retry_budget_window": 1.0}
    front = DrivenFront(settings([class_spec(latency_objective=2.0)], safety=budget), [endpoint(1, 1)])
    front.request("a")
    front.finish("a", AttemptOutcome.ERROR)
    assert front.sent() == ["a"]
    front.request("b", shard=9)
    assert front.sent() == ["a", "a"]


def front_with_lost_answer(repeat: Idempotency) -> DrivenFront:
    """``a`` is out at a node that has answered ``b``, which was sent later."""
    front = DrivenFront(
        settings([class_spec(idempotency=repeat)], [plan_spec(base_rate=80.0, reserved_rate=80.0)]),
        [endpoint(1, 1)],
    )
    front.request("a")
    front.step(at=front.now + 0.01)
    front.request("b")
    front.step(at=front.now + 0.01)
    front.finish("b", AttemptOutcome.SERVED, elapsed=0.01)
    return front


def test_a_read_whose_answer_is_lost_is_cancelled_in_time_for_a_retry() -> None:
    """The answer to a read is lost, as an answer to a later request shows.

    The read is cancelled early enough for a second attempt within its objective, and the node is not blamed.
    """
    front = front_with_lost_answer(Idempotency.IDEMPOTENT)
    depth = front.scheduler.nodes[1].concurrency_limit
    assert CancelAttempt("a", 0) in front.step(at=front.now + LOST_ANSWER_FRACTION * 0.5)
    front.finish("a", AttemptOutcome.CANCELLED, elapsed=0.5)
    assert front.scheduler.nodes[1].concurrency_limit == depth, "a lost answer is no failure of its node"
    assert front.log[-1] == SendAttempt("a", 1)


def test_a_write_whose_answer_is_lost_gives_its_slot_back_and_is_not_retried() -> None:
    """The answer to a write that must not repeat is lost.

    Its slot is given back once the objective has passed, and the client is told that it failed.
    """
    front = front_with_lost_answer(Idempotency.NOT_IDEMPOTENT)
    assert front.step(at=front.now + LOST_ANSWER_FRACTION * 0.5) == []
    assert CancelAttempt("a", 0) in front.step(at=front.now + 0.5)
    front.finish("a", AttemptOutcome.CANCELLED, elapsed=0.8)
    assert front.log[-1] == FailRequest("a")
