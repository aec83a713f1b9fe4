"""Load shedding and final answers: each request has exactly one, at once if it cannot be served in time."""

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
    ClientDisconnected,
)
from cleatyoke.scheduling.settings import Idempotency
from tests.driven_front import DrivenFront, class_spec, endpoint, plan_spec, settings

NOT_IDEMPOTENT_CLASS = class_spec(idempotency=Idempotency.NOT_IDEMPOTENT)


def final_answers(actions: list[SchedulerAction], request: str) -> list[type]:
    types = (Reject, FailRequest)
    return [type(action) for action in actions if isinstance(action, types) and action.request_id == request]


def test_shedding_request_that_cannot_be_in_time_on_arrival_is_rejected_at_once() -> None:
    """No node holds the shard, the deadline is too near, or the queue too long.

    Waiting would be useless, so the client must be told at once rather than at its deadline.
    """
    front = DrivenFront(settings(max_retry_after=0.5), [endpoint(1, 1)])
    assert front.request("no node", shard=9) == [Reject("no node", 0.5)]
    assert final_answers(front.request("no time", deadline=front.now + 0.001), "no time") == [Reject]
    front.step(*[front.arrival(f"r{number}") for number in range(8)])
    front.scheduler.nodes[1].queue_delay = 0.1
    assert final_answers(front.request("no slot", deadline=front.now + 0.06), "no slot") == [Reject]
    assert "no time" not in front.sent()


def test_shedding_queued_request_is_rejected_once_it_would_be_late() -> None:
    """A request waits behind an attempt that does not end.

    It must be rejected as soon as its answer would be late, not at its deadline seconds later.
    """
    front = DrivenFront(settings(front_count=8), [endpoint(1, 1)])
    front.step(front.arrival("a", front_count=8), front.arrival("b", front_count=8))
    late = front.now + 0.5 - front.scheduler.nodes[1].queue_delay
    assert not front.run_until(late - 0.001)
    assert front.run_until(late + 0.02) == [Reject("b")]
    assert not final_answers(front.run_until(104.0), "b")


def test_shedding_request_that_can_be_in_time_is_kept_and_sent() -> None:
    front = DrivenFront(settings(front_count=8), [endpoint(1, 1)])
    front.step(front.arrival("a", front_count=8), front.arrival("b", front_count=8))
    assert not front.run_until(front.now + 0.4)
    assert front.finish("a", AttemptOutcome.SERVED) == [SendAttempt("b", 1)]


def test_rejection_retry_after_follows_the_surplus_rate() -> None:
    for level, wait in ((-1.0, 0.5), (-10.0, 0.8)):
        front = DrivenFront(
            settings(plans=[plan_spec(reserved_rate=0.0)], max_retry_after=0.8), [endpoint(1, 1)]
        )
        front.request("a")
        front.finish("a", AttemptOutcome.SERVED)
        front.now += 0.001
        bucket = front.scheduler.volumes[1].surplus[1]
        bucket.level, bucket.filled_at, front.scheduler.nodes[1].surplus_rate = level, front.now, 2.0
        assert front.request("b", deadline=front.now + 0.03) == [Reject("b", pytest.approx(wait))]


def test_rejection_without_max_retry_after_has_none() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    assert front.request("a", shard=9) == [Reject("a", 0.0)]


def test_timeout_at_the_deadline_is_answered_in_the_same_step() -> None:
    front = DrivenFront(settings([NOT_IDEMPOTENT_CLASS]), [endpoint(1, 1)])
    front.request("a")
    front.now += 2.0
    assert final_answers(front.finish("a", AttemptOutcome.TIMEOUT), "a") == [FailRequest]


def test_attempt_that_ends_after_a_disconnect_is_not_answered() -> None:
    """A client disconnects, and its attempt is cancelled and ends later.

    Neither the end of the attempt nor a second disconnect event may produce an answer.
    """
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a")
    assert front.step(ClientDisconnected("a")) == [CancelAttempt("a", 0)]
    assert front.finish("a", AttemptOutcome.CANCELLED, settled=True) == []
    assert front.step(ClientDisconnected("a")) == []


def test_shedding_request_that_cannot_meet_its_deadline_is_rejected_unsent() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.scheduler.nodes[1].queue_delay = 0.1
    assert front.request("short", deadline=front.now + 0.1) == [Reject("short")]
    assert front.request("long", deadline=front.now + 0.2) == [SendAttempt("long", 1)]
