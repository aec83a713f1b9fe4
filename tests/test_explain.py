"""The scheduler names the rule that delays or rejects a request, and until when it applies at least."""

from __future__ import annotations

import pytest

from cleatyoke.scheduling.actions import FailRequest, Reject, SchedulerAction
from cleatyoke.scheduling.events import AttemptOutcome
from cleatyoke.scheduling.settings import Idempotency
from cleatyoke.scheduling.verdict import NEVER, Rule
from tests.driven_front import DrivenFront, class_spec, endpoint, plan_spec, settings


def explained(front: DrivenFront, request_id: str) -> tuple[Rule | None, float]:
    """Return the rule that delays a request, and in how many seconds it may allow it."""
    verdict = front.scheduler.explain(request_id)
    assert verdict is not None
    return verdict.rule, pytest.approx(verdict.allowed_at - front.now)


def rejected_by(actions: list[SchedulerAction]) -> list[Rule | None]:
    return [action.rule for action in actions if isinstance(action, Reject | FailRequest)]


def test_request_in_flight_or_unknown_is_not_explained() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a")
    assert front.scheduler.explain("a") is None
    assert front.scheduler.explain("never seen") is None


def test_request_for_full_node_is_delayed_by_concurrency_limit() -> None:
    front = DrivenFront(settings(front_count=8), [endpoint(1, 1)])
    front.step(front.arrival("a", front_count=8), front.arrival("b", front_count=8))
    assert explained(front, "b") == (Rule.CONCURRENCY_LIMIT, NEVER)


def test_retry_beyond_budget_is_delayed_by_retry_budget() -> None:
    """Operators have to be able to see why retries have stopped."""
    budget = {"retry_budget_minimum": 0.0, "retry_budget_ratio": 0.0, "retry_budget_window": 1.0}
    front = DrivenFront(settings([class_spec(latency_objective=2.0)], safety=budget), [endpoint(1, 1)])
    front.request("a")
    front.finish("a", AttemptOutcome.ERROR)
    assert explained(front, "a") == (Rule.RETRY_BUDGET, NEVER)


def test_retry_at_node_that_refused_connection_is_delayed_by_node_pause() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a")
    front.finish("a", AttemptOutcome.CONNECTION_FAILED)
    paused_until = front.scheduler.nodes[1].paused_until
    assert paused_until > front.now
    assert explained(front, "a") == (Rule.NODE_PAUSED, paused_until - front.now)


def test_request_of_limited_volume_is_delayed_by_rate_limit() -> None:
    limited = plan_spec(rate_limit=4.0, rate_limit_burst=12.0)
    front = DrivenFront(settings([class_spec(latency_objective=2.0)], [limited]), [endpoint(1, 1)])
    front.request("a", units=2.0, front_count=2)
    assert explained(front, "a") == (Rule.RATE_LIMIT, 1.0)


def test_request_for_warming_node_is_delayed_by_slow_start() -> None:
    front = DrivenFront(settings(slow_start_units=2.0), [endpoint(1, 1, started_at=99.5)])
    front.request("a")
    assert explained(front, "a")[0] is Rule.SLOW_START


def test_second_request_of_ordered_item_is_delayed_by_key_order() -> None:
    front = DrivenFront(settings([class_spec(ordered=True)]), [endpoint(1, 1)])
    front.step(front.arrival("a", item=5), front.arrival("b", item=5))
    assert explained(front, "b") == (Rule.KEY_ORDER, NEVER)


def test_rejection_names_its_rule() -> None:
    front = DrivenFront(settings(max_attempts=1), [endpoint(1, 1)])
    assert rejected_by(front.request("nowhere", shard=9)) == [Rule.NO_NODE]
    front.request("a")
    assert rejected_by(front.finish("a", AttemptOutcome.ERROR)) == [Rule.MAX_ATTEMPTS]
    not_idempotent = class_spec(idempotency=Idempotency.NOT_IDEMPOTENT)
    front = DrivenFront(settings([not_idempotent]), [endpoint(1, 1)])
    front.request("b")
    assert rejected_by(front.finish("b", AttemptOutcome.TIMEOUT)) == [Rule.IDEMPOTENCY]


def test_rejection_of_late_request_names_rule_that_delayed_it() -> None:
    limited = plan_spec(rate_limit=0.1, rate_limit_burst=12.0)
    front = DrivenFront(settings(plans=[limited]), [endpoint(1, 1)])
    front.request("a", units=2.0)
    assert rejected_by(front.run_until(front.now + 0.6)) == [Rule.RATE_LIMIT]
