"""Retries: the retry budget, the maximum number of attempts, and attempt timeouts."""

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

NOT_IDEMPOTENT_CLASS = class_spec(idempotency=Idempotency.NOT_IDEMPOTENT)


def final_answers(actions: list[SchedulerAction], request: str) -> list[type]:
    types = (Reject, FailRequest)
    return [type(action) for action in actions if isinstance(action, types) and action.request_id == request]


def test_attempt_timeout_overdue_attempt_is_cancelled_and_its_request_rejected() -> None:
    """The answer of an attempt in a front's only slot is lost.

    The attempt must be cancelled once the objective has passed, its request rejected, and the slot freed.
    """
    front = DrivenFront(settings(front_count=8), [endpoint(1, 1)])
    front.request("lost")
    assert front.run_until(front.now + 0.52) == [CancelAttempt("lost", 0)]
    assert front.finish("lost", AttemptOutcome.CANCELLED, elapsed=0.52) == [Reject("lost")]
    assert front.request("next") == [SendAttempt("next", 1)]


@pytest.mark.parametrize(
    ("late_value", "service_time", "timeout"), [(0.1, 0.5, 1.5), (0.2, 0.5, 3.0), (0.0, 0.2, 0.5)]
)
def test_attempt_timeout_grows_with_the_value_of_a_late_answer(
    late_value: float, service_time: float, timeout: float
) -> None:
    front = DrivenFront(settings([class_spec(late_value=late_value)], front_count=8), [endpoint(1, 1)])
    front.scheduler.nodes[1].service_time_per_unit = service_time
    sent_at = front.now
    front.request("slow", deadline=sent_at + 9.0)
    assert front.run_until(sent_at + timeout - 0.1) == []
    assert front.run_until(sent_at + timeout + 0.2) == [CancelAttempt("slow", 0)]


@pytest.mark.parametrize(
    "request_class",
    [
        NOT_IDEMPOTENT_CLASS,
        class_spec(idempotency=Idempotency.KEYED, idempotency_scope=IdempotencyScope.SHARD),
    ],
)
def test_attempt_timeout_attempt_that_cannot_be_retried_is_kept(request_class: RequestClass) -> None:
    front = DrivenFront(settings([request_class]), [endpoint(1, 1)])
    front.request("a")
    assert front.run_until(front.now + 1.9) == []


def test_retries_idempotent_request_is_sent_up_to_max_attempts() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a", deadline=130.0)
    for _ in range(3):
        assert front.scheduler.requests["a"].in_flight
        last = front.finish("a", AttemptOutcome.ERROR)
    assert final_answers(last, "a") == [Reject]
    assert front.sent() == ["a"] * 3


def test_retries_request_never_has_two_attempts_in_flight() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a")
    front.run_until(101.9)
    assert front.sent() == ["a"]


def test_retry_budget_limits_retries() -> None:
    """While every attempt fails, unlimited retries would multiply the load on nodes that are overloaded."""
    budget = {"retry_budget_minimum": 1.0, "retry_budget_ratio": 0.0, "retry_budget_window": 1.0}
    front = DrivenFront(settings([class_spec(latency_objective=2.0)], safety=budget), [endpoint(1, 1)])
    front.step(front.arrival("a"), front.arrival("b"))
    front.finish("a", AttemptOutcome.ERROR)
    front.finish("b", AttemptOutcome.ERROR)
    assert front.sent() == ["a", "b", "a"]
    front.run_until(101.05)
    assert front.sent() == ["a", "b", "a", "b"]


def test_retry_budget_grows_with_accepted_requests() -> None:
    budget = {"retry_budget_minimum": 0.0, "retry_budget_ratio": 0.5, "retry_budget_window": 1.0}
    front = DrivenFront(settings([class_spec(latency_objective=2.0)], safety=budget), [endpoint(1, 1)])
    front.request("a")
    front.finish("a", AttemptOutcome.ERROR)
    assert front.sent() == ["a"]
    front.request("b", shard=9)
    assert front.sent() == ["a", "a"]


def front_with_lost_answer(repeat: Idempotency) -> DrivenFront:
    """Return a front with ``a`` in flight at a node that has answered ``b``, which was sent later."""
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


def test_attempt_timeout_read_with_a_lost_answer_is_cancelled_in_time_for_a_retry() -> None:
    """The answer to a read is lost, as an answer to a later request shows.

    The read must be cancelled early enough for a second attempt within its objective, and the loss must not
    count as a failure of the node.
    """
    front = front_with_lost_answer(Idempotency.IDEMPOTENT)
    limit = front.scheduler.nodes[1].concurrency_limit
    assert CancelAttempt("a", 0) in front.step(at=front.now + LOST_ANSWER_FRACTION * 0.5)
    front.finish("a", AttemptOutcome.CANCELLED, elapsed=0.5)
    assert front.scheduler.nodes[1].concurrency_limit == limit, "a lost answer is no failure of its node"
    assert front.log[-1] == SendAttempt("a", 1)


def test_attempt_timeout_write_with_a_lost_answer_frees_its_slot_and_is_not_retried() -> None:
    """The answer to a write that is not idempotent is lost.

    Its slot must be freed once the objective has passed, and the client told that the request failed.
    """
    front = front_with_lost_answer(Idempotency.NOT_IDEMPOTENT)
    assert front.step(at=front.now + LOST_ANSWER_FRACTION * 0.5) == []
    assert CancelAttempt("a", 0) in front.step(at=front.now + 0.5)
    front.finish("a", AttemptOutcome.CANCELLED, elapsed=0.8)
    assert front.log[-1] == FailRequest("a")
