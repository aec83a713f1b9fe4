"""Fronts as processes under scripted faults: no rule is broken in any of the scenarios."""

from __future__ import annotations

import asyncio
import unittest
from pathlib import Path

from cleatyoke.testbed.run_report import RunReport
from cleatyoke.testbed.runner import run_scenario
from cleatyoke.testbed.scenario_file import read_scenario

SCENARIOS = Path(__file__).resolve().parent / "scenarios"


class ScenarioRunTests(unittest.TestCase):
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
