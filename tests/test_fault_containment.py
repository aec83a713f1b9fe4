"""Fault containment: an exception in the scheduler affects only the event or request that raised it."""

from __future__ import annotations

import asyncio
from unittest import mock

import pytest

from cleatyoke.core import AttemptResult, Core, MayBegin, Rejected, Served
from cleatyoke.scheduling.actions import FailRequest, Reject, SendAttempt, SetTimer
from cleatyoke.scheduling.events import (
    AttemptOutcome,
    EndpointUpdate,
    QuotaShareChanged,
    RequestArrived,
    UpdateKind,
)
from cleatyoke.scheduling.records import Node, Request
from cleatyoke.scheduling.rules import Rules
from cleatyoke.scheduling.service_estimates import ServiceEstimates
from cleatyoke.scheduling.settings import Idempotency
from cleatyoke.scheduling.verdict import Rule, Verdict
from tests.driven_front import DrivenFront, class_spec, endpoint, plan_spec, settings

unpatched_check = Rules.check


def check_failing_for_b(rules: Rules, request: Request, node: Node) -> Verdict:
    if request.id == "b":
        raise ZeroDivisionError
    return unpatched_check(rules, request, node)


def test_rule_failure_for_one_request_leaves_other_attempts_unaffected() -> None:
    """Guards against one exception that loses other events, and attempts that were already decided."""
    front = DrivenFront(settings(), [endpoint(1, 0), endpoint(2, 1)])
    with mock.patch.object(Rules, "check", check_failing_for_b):
        actions = front.step(*(front.arrival(name, shard=shard) for name, shard in zip("abc", (0, 0, 1))))
    assert {action.request_id for action in actions if isinstance(action, SendAttempt)} == {"a", "c"}
    [rejected] = [action for action in actions if isinstance(action, Reject)]
    assert (rejected.request_id, rejected.rule) == ("b", Rule.FAULT)
    assert [fault.subject for fault in front.scheduler.take_faults()] == ["request"]
    assert sum(sum(node.in_flight_by_class) for node in front.scheduler.nodes.values()) == 2


def test_event_failure_leaves_other_events_and_timer_unaffected() -> None:
    """Guards against a front that is never called again: the step ended before its timer was set."""
    front = DrivenFront(settings(), [endpoint(1, 0)])
    events = [
        front.arrival("a", plan_index=9, shard=0),
        front.arrival("b", shard=None, deadline=front.now + 5),
    ]
    front.step(EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(1, 0, started_at=front.now)]))
    actions = front.scheduler.step(front.now, list(events))
    assert next(action.request_id for action in actions if isinstance(action, Reject)) == "a"
    assert [action for action in actions if isinstance(action, SetTimer)]
    assert [fault.subject for fault in front.scheduler.take_faults()] == ["RequestArrived"]
    assert "a" not in front.scheduler.requests


@pytest.mark.parametrize(
    ("idempotency", "outcome", "answer"),
    [
        (Idempotency.IDEMPOTENT, AttemptOutcome.CONNECTION_RESET, Reject),
        (Idempotency.NOT_IDEMPOTENT, AttemptOutcome.CONNECTION_RESET, FailRequest),
        (Idempotency.NOT_IDEMPOTENT, AttemptOutcome.QUEUE_FULL, Reject),
        (Idempotency.IDEMPOTENT, AttemptOutcome.SERVED, None),
    ],
)
def test_failed_handling_of_finished_attempt_frees_slot_and_answers_request(
    idempotency: Idempotency, outcome: AttemptOutcome, answer: type[Reject | FailRequest] | None
) -> None:
    """Guards against slots that stay taken, and later requests of an ordered item that wait forever."""
    front = DrivenFront(settings([class_spec(idempotency=idempotency, ordered=True)]), [endpoint(1, 0)])
    front.request("a", shard=0, item=7)
    failing_handler = mock.Mock(side_effect=ZeroDivisionError)
    with mock.patch.object(front.scheduler.rules.outliers, "on_attempt_finished", failing_handler):
        actions = front.finish("a", outcome)
    assert [type(action) for action in actions] == ([answer] if answer else [])
    assert front.scheduler.nodes[1].in_flight_by_class == [0]
    assert "a" not in front.scheduler.requests
    sent = [action for action in front.request("b", shard=0, item=7) if isinstance(action, SendAttempt)]
    assert [action.request_id for action in sent] == ["b"]


def test_queued_request_is_sent_when_quota_share_returns() -> None:
    """Guards against a request that stays queued although its quota is back, as nothing offers it again."""
    plan = plan_spec(rate_limit=100.0, rate_limit_burst=100.0)
    front = DrivenFront(settings(plans=[plan]), [endpoint(1, 0)])
    front.step(QuotaShareChanged(0.0))
    assert not front.request("a", shard=0, units=4.0)
    front.step(QuotaShareChanged(1.0))
    sent = [action for action in front.run_until(front.now + 0.2) if isinstance(action, SendAttempt)]
    assert [action.request_id for action in sent] == ["a"]


def arrival(core: Core, shard: int) -> RequestArrived:
    return RequestArrived(core.new_id(), 0, 0, 1, None, shard, 1.0, core.now() + 0.5, 1)


async def serve(_node: int, _may_begin: MayBegin) -> AttemptResult[str]:
    return AttemptResult(AttemptOutcome.SERVED, "done")


def test_core_with_persistent_fault_answers_at_once_and_logs_once_a_second() -> None:
    """Guards against answers only at the deadline, and a log flooded with traces, while a fault persists."""

    async def run() -> tuple[list[object], int]:
        core = Core(settings())
        core.notify(EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(1, 0), endpoint(2, 1)]))
        answer_time = ServiceEstimates.answer_time

        def failing_answer_time(estimates: ServiceEstimates, request: Request, node: Node) -> float:
            if node.id == 2:
                raise ZeroDivisionError
            return answer_time(estimates, request, node)

        started_at = core.loop.time()
        with (
            mock.patch.object(ServiceEstimates, "answer_time", failing_answer_time),
            mock.patch("cleatyoke.core.log") as log,
        ):
            answers: list[object] = list(
                await asyncio.gather(*(core.serve(arrival(core, number % 2), serve) for number in range(8)))
            )
        assert core.loop.time() - started_at < 0.4
        return answers, log.error.call_count

    answers, lines = asyncio.run(run(), debug=True)
    assert [type(answer) for answer in answers] == [Served, Rejected] * 4
    assert lines == 1
