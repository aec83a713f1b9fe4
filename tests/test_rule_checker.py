"""The rules of the testbed: each is broken once, next to a similar case that is allowed."""

from __future__ import annotations

import unittest
from dataclasses import replace

from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope
from cleatyoke.testbed.checker import ClientRequestRecord, RequestContent, RuleChecker
from cleatyoke.testbed.scenario_file import parse_scenario

FLEET = {"fronts": 2, "boxes": 4, "seconds": 3.0, "limit": 10}
PLAIN = parse_scenario("plain", {"fleet": FLEET, "load": {"rate": 10, "units": 1}})
READ, WRITE = PLAIN.request_classes
KEYED = replace(WRITE, idempotency=Idempotency.KEYED, scope=IdempotencyScope.SHARD, key_memory=1.0)


class RuleCheckerTests(unittest.TestCase):
    """Each rule is broken once, next to a similar case that is allowed."""

    def setUp(self) -> None:
        self.checker = RuleChecker(PLAIN.plans, PLAIN.terms)
        self.checker.on_request("w", ClientRequestRecord(0, 1, WRITE, 2.0, 10.0, 11.5))
        self.checker.on_request("r", ClientRequestRecord(0, 1, READ, 2.0, 10.0, 11.5))

    def rules(self) -> list[str]:
        return [line.partition(":")[0] for line in self.checker.find_violations(1.0)]

    def answer_open_requests(self) -> None:
        for trace in ("w", "r"):
            if self.checker.requests[trace].status is None:
                self.checker.on_answer(trace, 502, b"", 10.5)

    def test_unanswered_request_is_reported_unless_its_front_was_killed(self) -> None:
        self.checker.on_answer("r", 503, b"", 11.9)  # late by less than half a second
        assert self.rules() == ["lost"]
        self.checker.on_front_killed(0, 11.0)
        assert self.rules() == []

    def test_late_second_and_foreign_answers_are_reported(self) -> None:
        self.checker.on_answer("w", 200, b"r s-0 1", 12.1)
        self.checker.on_answer("r", 200, b"r s-0 1", 10.2)
        self.checker.on_answer("r", 200, b"r s-0 1", 10.3)
        assert self.rules() == ["foreign", "answers", "late"]

    def test_write_executed_twice_or_rejected_after_possible_execution_is_reported(self) -> None:
        for trace in ("w", "r"):
            for at in (10.0, 10.2):
                attempt = self.checker.on_attempt(trace, "s-0", at)
                attempt.executed, attempt.ended_at = True, at + 0.1
        self.checker.on_answer("w", 503, b"", 10.4)
        self.answer_open_requests()
        assert self.rules() == ["repeated write", "refused write"]  # the read may be repeated

    def test_write_resent_after_possible_execution_is_reported_even_if_executed_once(self) -> None:
        for at in (10.0, 10.2):
            self.checker.on_attempt("w", "s-0", at).ended_at = at + 0.1
        self.checker.requests["w"].attempts[1].executed = True
        self.answer_open_requests()
        assert self.rules() == ["repeated write"]

    def test_keyed_request_retried_outside_its_scope_or_key_memory_is_reported(self) -> None:
        for trace, backend, shard, at, rules in (
            ("k0", "s-0+", 0, 10.9, []),
            ("k1", "s-1", 1, 10.2, ["key"]),
            ("k2", "s-0", 0, 11.2, ["key"]),
        ):
            self.checker.on_request(trace, ClientRequestRecord(0, 1, KEYED, 2.0, 10.0, 11.5))
            self.checker.on_attempt(trace, "s-0", 10.0, shard=0).ended_at = 10.1
            self.checker.on_attempt(trace, backend, at, shard=shard).ended_at = at + 0.1
            self.checker.on_answer(trace, 502, b"", 11.4)
            self.answer_open_requests()
            assert self.rules() == rules, trace
            del self.checker.requests[trace]
        self.checker.on_request("k3", ClientRequestRecord(0, 1, KEYED, 2.0, 10.0, 11.5))
        self.checker.on_attempt("k3", "s-0", 10.0).ended_at = 10.1
        self.checker.on_answer("k3", 503, b"", 10.2)
        assert self.rules() == ["refused write"]
        self.checker.requests["k3"].request_class = replace(
            KEYED, scope=IdempotencyScope.ALL
        )  # every backend drops the duplicate
        assert self.rules() == []

    def test_modified_request_and_disabled_probe_are_reported(self) -> None:
        request_content = RequestContent("PUT", "/api?block=1", "k", b"scan")
        self.checker.on_request("f", ClientRequestRecord(0, 1, KEYED, 2.0, 10.0, 11.5, request_content))
        self.checker.on_attempt("f", "s-0", 10.0, content=request_content).rejected = True
        self.checker.requests["f"].attempts[0].ended_at = 10.1
        self.checker.on_answer("f", 503, b"", 10.2)
        self.answer_open_requests()
        assert self.rules() == []
        self.checker.on_attempt(
            "f", "s-0", 10.3, content=replace(request_content, idempotency_key=None)
        ).ended_at = 10.4
        self.checker.on_probe("s-0")
        assert self.rules() == ["mangled", "probe", "refused write"]

    def test_rejection_after_proven_non_execution_of_a_write_is_allowed(self) -> None:
        attempt = self.checker.on_attempt("w", "s-0", 10.0)
        attempt.rejected, attempt.ended_at = True, 10.0
        self.checker.on_answer("w", 503, b"", 10.1)
        self.answer_open_requests()
        assert self.rules() == []

    def test_overlapping_attempts_and_more_than_four_attempts_are_reported(self) -> None:
        first = self.checker.on_attempt("r", "s-0", 10.0)
        second = self.checker.on_attempt("r", "s-1", 10.2)
        first.ended_at, second.ended_at = 10.25, 10.3  # within the tolerance for the end
        for at in (10.4, 10.5, 10.6):
            self.checker.on_attempt("r", "s-0", at).ended_at = at
        self.answer_open_requests()
        assert self.rules() == ["attempts"]
        first.ended_at = 10.6
        assert self.rules() == ["twice out", "attempts"]

    def test_attempt_later_than_the_drain_grace_period_is_reported(self) -> None:
        self.checker.on_drain_notice(0, "s-0", 9.0)
        self.checker.on_drain_notice(0, "s-0", 9.9)  # a second notice: the first one counts
        self.checker.on_attempt("r", "s-0", 10.04).ended_at = 10.1
        self.checker.on_attempt("r", "s-0", 10.2).ended_at = 10.3
        self.checker.on_drain_notice(0, "s-0", None)  # it serves again
        self.checker.on_attempt("r", "s-0", 12.0).ended_at = 12.1
        self.answer_open_requests()
        assert self.rules() == ["drain"]

    def test_overloaded_warming_backend_and_exceeded_rate_limit_are_reported(self) -> None:
        for at in (10.0, 10.5, 11.2):
            self.checker.on_warm_up_arrival("s-0", at, 4.0, 8.0)
        self.answer_open_requests()
        assert self.rules() == []
        self.checker.on_warm_up_arrival("s-0", 11.4, 4.0, 8.0)
        for number in range(9):
            trace = f"x{number}"
            self.checker.on_request(trace, ClientRequestRecord(number, 4, READ, 2.0, 10.0, 11.5))
            self.checker.on_attempt(trace, "s-1", 10.0 + number / 100).ended_at = 10.2
            self.checker.on_answer(trace, 502, b"", 10.3)
        assert self.rules() == ["cold", "limit"]
