"""Idempotency: which requests may be sent again after an uncertain outcome, and to which nodes."""

import pytest

from cleatyoke.scheduling.actions import (
    FailRequest,
    Reject,
    SchedulerAction,
    SendAttempt,
)
from cleatyoke.scheduling.events import (
    AttemptOutcome,
)
from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope
from tests.driven_front import DrivenFront, class_spec, endpoint, settings

NOT_IDEMPOTENT_CLASS = class_spec(idempotency=Idempotency.NOT_IDEMPOTENT)


def final_answers(actions: list[SchedulerAction], request: str) -> list[type]:
    types = (Reject, FailRequest)
    return [type(action) for action in actions if isinstance(action, types) and action.request_id == request]


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECTION_RESET]
)
def test_idempotency_non_idempotent_request_fails_once_it_may_have_executed(outcome: AttemptOutcome) -> None:
    """The answer to a write without an idempotency key is lost.

    It may have been applied, so it must not be sent again, and the client must not be told to retry.
    """
    front = DrivenFront(settings([NOT_IDEMPOTENT_CLASS]), [endpoint(1, 1)])
    front.request("a")
    assert final_answers(front.finish("a", outcome), "a") == [FailRequest]
    front.run_until(103.0)
    assert front.sent() == ["a"]


def test_idempotency_request_that_never_executed_is_sent_again() -> None:
    front = DrivenFront(settings([NOT_IDEMPOTENT_CLASS]), [endpoint(1, 1)])
    front.request("a")
    front.finish("a", AttemptOutcome.QUEUE_FULL)
    front.run_until(101.0)
    assert front.sent() == ["a", "a"]


def test_idempotency_keyed_request_is_retried_only_within_its_window() -> None:
    """The answer to a keyed write is lost, and the window in which nodes discard duplicates has ended.

    A retry could apply the write twice.
    """
    keyed = class_spec(idempotency=Idempotency.KEYED, idempotency_window=0.5)
    front = DrivenFront(settings([keyed]), [endpoint(1, 1)])
    front.request("a")
    front.now += 0.6
    front.finish("a", AttemptOutcome.CONNECTION_RESET, elapsed=0.6)
    front.run_until(101.9)
    assert front.sent() == ["a"]


def test_idempotency_keyed_request_stays_in_its_scope() -> None:
    """A keyed write may have executed in one zone, or at one shard.

    Only nodes of that zone or shard know its key, so a retry must go there even if another node is free
    earlier.
    """
    for scope, retry_node in ((IdempotencyScope.ZONE, 3), (IdempotencyScope.SHARD, 1)):
        keyed = class_spec(latency_objective=2.0, idempotency=Idempotency.KEYED, idempotency_scope=scope)
        front = DrivenFront(settings([keyed]), [endpoint(1, 1), endpoint(2, 2), endpoint(3, 3)])
        front.scheduler.nodes[1].queue_delay = 0.001
        for node in (2, 3):
            front.scheduler.nodes[node].paused_until = 101.0
        front.request("a", shard=None)
        assert front.log[-1] == SendAttempt("a", 1)
        front.scheduler.nodes[1].paused_until = 110.0 if scope is IdempotencyScope.ZONE else 101.0
        front.finish("a", AttemptOutcome.CONNECTION_RESET)
        front.run_until(101.2)
        assert front.log[-1] == SendAttempt("a", retry_node)
