"""The testbed: its checker and models by themselves, and fronts as processes under scripted faults."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from cleatyoke.config.errors import ConfigError
from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope
from cleatyoke.testbed.backend import TestBackend
from cleatyoke.testbed.backend_model import BackendModel, RequestFate, chance
from cleatyoke.testbed.checker import ClientRequestRecord, RequestContent, RuleChecker
from cleatyoke.testbed.discovery_agent import DiscoveryAgent, Registry
from cleatyoke.testbed.run_report import RunReport
from cleatyoke.testbed.runner import run_scenario
from cleatyoke.testbed.scenario import BackendCapacity, make_scenario, read_scenario

SCENARIOS = Path(__file__).resolve().parent / "scenarios"
FLEET = {"fronts": 2, "boxes": 4, "seconds": 3.0, "limit": 10}
PLAIN = make_scenario("plain", {"fleet": FLEET, "load": {"rate": 10, "units": 1}})
READ, WRITE = PLAIN.kinds
KEYED = replace(WRITE, repeat=Idempotency.KEYED, scope=IdempotencyScope.SHARD, memory=1.0)


class JudgeCase(unittest.TestCase):
    """Each rule is broken once, and beside it what only looks like it."""

    def setUp(self) -> None:
        self.checker = RuleChecker(PLAIN.plans, PLAIN.terms)
        self.checker.on_request("w", ClientRequestRecord(0, 1, WRITE, 2.0, 10.0, 11.5))
        self.checker.on_request("r", ClientRequestRecord(0, 1, READ, 2.0, 10.0, 11.5))

    def rules(self) -> list[str]:
        return [line.partition(":")[0] for line in self.checker.find_violations(1.0)]

    def end(self) -> None:
        for trace in ("w", "r"):
            if self.checker.requests[trace].status is None:
                self.checker.on_answer(trace, 502, b"", 10.5)

    def test_a_request_without_an_answer_is_lost_unless_its_front_was_killed(self) -> None:
        self.checker.on_answer("r", 503, b"", 11.9)  # late by less than half a second
        assert self.rules() == ["lost"]
        self.checker.on_front_killed(0, 11.0)
        assert self.rules() == []

    def test_late_second_and_foreign_answers_are_told(self) -> None:
        self.checker.on_answer("w", 200, b"r s-0 1", 12.1)
        self.checker.on_answer("r", 200, b"r s-0 1", 10.2)
        self.checker.on_answer("r", 200, b"r s-0 1", 10.3)
        assert self.rules() == ["foreign", "answers", "late"]

    def test_a_write_that_ran_twice_or_was_refused_after_it_may_have_run(self) -> None:
        for trace in ("w", "r"):
            for at in (10.0, 10.2):
                made = self.checker.on_attempt(trace, "s-0", at)
                made.executed, made.ended_at = True, at + 0.1
        self.checker.on_answer("w", 503, b"", 10.4)
        self.end()
        assert self.rules() == ["repeated write", "refused write"]  # the read may repeat

    def test_a_write_that_may_have_run_goes_nowhere_again_even_if_it_ran_once(self) -> None:
        for at in (10.0, 10.2):
            self.checker.on_attempt("w", "s-0", at).ended_at = at + 0.1
        self.checker.requests["w"].attempts[1].executed = True
        self.end()
        assert self.rules() == ["repeated write"]

    def test_a_keyed_request_stays_in_its_group_and_window(self) -> None:
        for trace, box, cell, at, rules in (
            ("k0", "s-0+", 0, 10.9, []),
            ("k1", "s-1", 1, 10.2, ["key"]),
            ("k2", "s-0", 0, 11.2, ["key"]),
        ):
            self.checker.on_request(trace, ClientRequestRecord(0, 1, KEYED, 2.0, 10.0, 11.5))
            self.checker.on_attempt(trace, "s-0", 10.0, shard=0).ended_at = 10.1
            self.checker.on_attempt(trace, box, at, shard=cell).ended_at = at + 0.1
            self.checker.on_answer(trace, 502, b"", 11.4)
            self.end()
            assert self.rules() == rules, trace
            del self.checker.requests[trace]
        self.checker.on_request("k3", ClientRequestRecord(0, 1, KEYED, 2.0, 10.0, 11.5))
        self.checker.on_attempt("k3", "s-0", 10.0).ended_at = 10.1
        self.checker.on_answer("k3", 503, b"", 10.2)
        assert self.rules() == ["refused write"]
        self.checker.requests["k3"].request_class = replace(
            KEYED, scope=IdempotencyScope.ALL
        )  # every box drops its repeat
        assert self.rules() == []

    def test_a_request_that_is_not_as_its_client_sent_it_and_a_probe_that_is_not_allowed(self) -> None:
        form = RequestContent("PUT", "/api?block=1", "k", b"scan")
        self.checker.on_request("f", ClientRequestRecord(0, 1, KEYED, 2.0, 10.0, 11.5, form))
        self.checker.on_attempt("f", "s-0", 10.0, content=form).rejected = True
        self.checker.requests["f"].attempts[0].ended_at = 10.1
        self.checker.on_answer("f", 503, b"", 10.2)
        self.end()
        assert self.rules() == []
        self.checker.on_attempt("f", "s-0", 10.3, content=replace(form, idempotency_key=None)).ended_at = 10.4
        self.checker.on_probe("s-0")
        assert self.rules() == ["mangled", "probe", "refused write"]

    def test_a_refusal_that_its_box_proved_is_none_of_a_write_that_ran(self) -> None:
        made = self.checker.on_attempt("w", "s-0", 10.0)
        made.rejected, made.ended_at = True, 10.0
        self.checker.on_answer("w", 503, b"", 10.1)
        self.end()
        assert self.rules() == []

    def test_two_attempts_out_and_more_than_four(self) -> None:
        first = self.checker.on_attempt("r", "s-0", 10.0)
        second = self.checker.on_attempt("r", "s-1", 10.2)
        first.ended_at, second.ended_at = 10.25, 10.3  # its end was on the way
        for at in (10.4, 10.5, 10.6):
            self.checker.on_attempt("r", "s-0", at).ended_at = at
        self.end()
        assert self.rules() == ["attempts"]
        first.ended_at = 10.6
        assert self.rules() == ["twice out", "attempts"]

    def test_a_box_that_drains_hears_nothing_later_than_a_second_after_the_word(self) -> None:
        self.checker.on_drain_notice(0, "s-0", 9.0)
        self.checker.on_drain_notice(0, "s-0", 9.9)  # told again: the first word counts
        self.checker.on_attempt("r", "s-0", 10.04).ended_at = 10.1
        self.checker.on_attempt("r", "s-0", 10.2).ended_at = 10.3
        self.checker.on_drain_notice(0, "s-0", None)  # it serves again
        self.checker.on_attempt("r", "s-0", 12.0).ended_at = 12.1
        self.end()
        assert self.rules() == ["drain"]

    def test_a_cold_box_is_held_to_its_window_and_a_volume_to_its_limit(self) -> None:
        for at in (10.0, 10.5, 11.2):
            self.checker.on_warm_up_arrival("s-0", at, 4.0, 8.0)
        self.end()
        assert self.rules() == []
        self.checker.on_warm_up_arrival("s-0", 11.4, 4.0, 8.0)
        for number in range(9):
            trace = f"x{number}"
            self.checker.on_request(trace, ClientRequestRecord(number, 4, READ, 2.0, 10.0, 11.5))
            self.checker.on_attempt(trace, "s-1", 10.0 + number / 100).ended_at = 10.2
            self.checker.on_answer(trace, 502, b"", 10.3)
        assert self.rules() == ["cold", "limit"]


class ModelCase(unittest.TestCase):
    power = BackendCapacity(units=20.0, queue=2, cold_from=0.2, ramp=4.0, tip_multiple=2.0, tip_after=1.0)

    def test_a_cold_box_works_slowly_and_a_full_one_turns_away(self) -> None:
        warm, cold = BackendModel(self.power, None), BackendModel(self.power, 10.0)
        self.assertAlmostEqual(warm.take(10.0, "a", 2.0).ends, 10.1)
        self.assertAlmostEqual(cold.take(10.0, "a", 2.0).ends, 10.5)
        self.assertAlmostEqual(cold.rate(12.0), 12.0)
        fates = [warm.take(10.0, str(number), 2.0).fate for number in range(4)]
        assert fates == [RequestFate.ANSWERED, RequestFate.ANSWERED, RequestFate.FULL, RequestFate.FULL]

    def test_what_waits_can_be_withdrawn_and_what_works_cannot(self) -> None:
        box = BackendModel(self.power, None)
        first, second = box.take(10.0, "a", 2.0), box.take(10.0, "b", 2.0)
        assert not box.withdraw(10.01, first)
        assert box.withdraw(10.01, second)
        self.assertAlmostEqual(box.free_at, 10.1)

    def test_the_same_ids_meet_the_same_troubles_in_every_run(self) -> None:
        box = BackendModel(self.power, None, seed=3)
        box.ailing["lose_answers"] = 0.25
        fates = [box.take(float(number), f"t{number}", 1.0).fate for number in range(400)]
        assert fates.count(RequestFate.LOST) == sum(chance(3, f"t{n}") < 0.25 for n in range(400))
        assert 60 < fates.count(RequestFate.LOST) < 140


class SilenceCase(unittest.IsolatedAsyncioTestCase):
    """What is written to a box that is cut off never comes; to one that stands still, it came then."""

    async def write(self, **during: Any) -> list[float]:
        """When two requests came: one written amid the trouble and given up, and one written after it."""
        checker, clock = RuleChecker(PLAIN.plans, PLAIN.terms), asyncio.get_running_loop().time
        box = TestBackend("s-0", 0, "basement", checker, clock)
        await box.live(BackendModel(PLAIN.power, None))
        self.addCleanup(box.stop)
        began = clock()
        if during.get("cut"):
            box.silence(True)
        else:
            stall = asyncio.ensure_future(box.stall(0.3))
            self.addCleanup(stall.cancel)
        for trace in ("amid", "after"):
            form = RequestContent("GET", f"/api?block={trace}", None, b"")
            checker.on_request(trace, ClientRequestRecord(0, 0, READ, 1.0, began, began + 1.5, form))
            reader, writer = await asyncio.open_connection("127.0.0.1", box.port)
            writer.write(f"GET {form.target} HTTP/1.1\r\nX-Trace-Id: {trace}\r\n\r\n".encode())
            if trace == "amid":
                await asyncio.sleep(0.1)
                writer.close()  # its front gives it up
                await asyncio.sleep(0.3)
                box.silence(False) if during.get("cut") else None
            else:
                await reader.readline()
                writer.close()
        return [made.arrived_at - began for one in checker.requests.values() for made in one.attempts]

    async def test_a_box_that_is_cut_off(self) -> None:
        (after,) = await self.write(cut=True)
        assert after > 0.35

    async def test_a_box_that_stands_still(self) -> None:
        amid, after = await self.write()
        assert amid < 0.25
        assert after > 0.35


class AgentCase(unittest.IsolatedAsyncioTestCase):
    async def test_a_line_for_a_watch_that_the_front_has_closed_tells_it_nothing(self) -> None:
        """Lists late by more than the front waits: it asks again, and only what it could read counts."""
        registry, told = Registry(), list[tuple[int, str]]()
        await registry.set("s-0", lifecycle="SERVING")
        checker = mock.Mock()
        checker.on_drain_notice = lambda front, name, at: told.append((front, name))
        agent = DiscoveryAgent(0, registry, checker, asyncio.get_running_loop().time)
        agent.late = 0.2
        await agent.start()
        for stays in (False, True):
            reader, writer = await asyncio.open_connection("127.0.0.1", agent.port)
            writer.write(b"GET /discovery/hosts?watch=1&after=0 HTTP/1.1\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            if not stays:
                writer.close()
            await asyncio.sleep(0.4)
            assert told == [(0, "s-0")] * stays
            writer.close()
        agent.stop()


class ScenarioCase(unittest.TestCase):
    def test_faults_are_named(self) -> None:
        good = {"fleet": {"fronts": 2, "boxes": 4, "seconds": 3.0}, "load": {"rate": 10}}
        assert make_scenario("x", good).load.volumes == 16
        for change, word in (
            ({"load": {"rate": 0}}, "x: load.rate: want a positive"),
            ({"load": {"rate": 5, "speed": 1}}, "x: load.speed: unknown key"),
            ({"trouble": [{"at": 1, "kind": "flood"}]}, "kind: want one of"),
            ({"trouble": [{"at": 1, "kind": "slow", "of": [4]}]}, "of: want numbers from 0 to 3"),
            ({"trouble": [{"at": 1, "kind": "slow", "zone": "attic"}]}, "zone: want one of"),
            ({"class": [{"name": "a", "repeat": "twice"}]}, r"class\[0\].repeat: want one of"),
            ({"plan": [{"name": "p"}, {"name": "q", "limits": 3}]}, r"plan\[1\].limits: unknown key"),
            ({"terms": {"attempts": 0}}, "terms.attempts: want a whole number"),
        ):
            with pytest.raises(ConfigError, match=word):
                make_scenario("x", {**good, **change})


class Plays(unittest.TestCase):
    """Fronts as real processes; the same requests and troubles in every run."""

    def run_file(self, name: str) -> RunReport:
        report = asyncio.run(run_scenario(read_scenario(SCENARIOS / f"{name}.toml")))
        assert report.violations == [], "\n".join(report.lines())
        assert report.max_executions_of_a_write <= 1
        assert report.log_counts["left"] == report.log_counts["leaving"]
        assert [event for event in report.log_counts if event.endswith("_fault")] == []
        return report

    def test_a_roll_with_replaced_boxes_a_reload_and_spoilt_lists(self) -> None:
        report = self.run_file("roll")
        assert (report.front_starts, report.log_counts["leaving"], report.log_counts["reloaded"]) == (
            10,
            10,
            5,
        )
        assert report.log_counts["discovery_line_skipped"] > 0  # the trouble was met
        assert report.served_share > 0.55

    def test_a_zone_that_is_lost_and_returns_cold_amid_a_surge(self) -> None:
        report = self.run_file("zone")
        assert report.backend_outcomes["spoilt"] > 10
        assert report.answers["503"] > 100  # what a lost zone's data is asked for, at once
        assert report.served_share > 0.35

    def test_a_split_with_late_lists_lost_answers_resets_and_killed_fronts(self) -> None:
        report = self.run_file("split")
        assert (report.front_starts, report.log_counts["leaving"]) == (7, 5)
        for fate in ("lost", "reset", "unread"):
            assert report.backend_outcomes[fate] > 3, fate
        assert report.served_share > 0.5

    def test_a_zone_cut_off_while_fronts_are_killed_and_rolled_with_late_lists(self) -> None:
        report = self.run_file("cut-and-kill")
        assert (report.front_starts, report.log_counts["leaving"]) == (16, 12)
        assert report.served_share > 0.5
