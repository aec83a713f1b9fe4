"""Fronts as processes under scripted faults: no scenario breaks a rule."""

from __future__ import annotations

import asyncio
import unittest
from pathlib import Path

from cleatyoke.testbed.run_report import RunReport
from cleatyoke.testbed.runner import run_scenario
from cleatyoke.testbed.scenario_file import read_scenario

SCENARIOS = Path(__file__).resolve().parent / "scenarios"


class ScenarioRunTests(unittest.TestCase):
    """Fronts as real processes, with the same requests and faults in every run."""

    def run_file(self, name: str) -> RunReport:
        report = asyncio.run(run_scenario(read_scenario(SCENARIOS / f"{name}.toml")))
        assert report.violations == [], "\n".join(report.lines())
        assert report.max_executions_of_a_write <= 1
        assert report.log_counts["left"] == report.log_counts["leaving"]
        assert [event for event in report.log_counts if event.endswith("_fault")] == []
        return report

    def test_rolling_restart_with_replaced_backends_reload_and_malformed_lists(self) -> None:
        report = self.run_file("roll")
        assert (report.front_starts, report.log_counts["leaving"], report.log_counts["reloaded"]) == (
            10,
            10,
            5,
        )
        assert report.log_counts["discovery_line_skipped"] > 0  # the malformed lists were received
        assert report.served_share > 0.55

    def test_zone_lost_and_restarted_cold_during_a_surge(self) -> None:
        report = self.run_file("zone")
        assert report.backend_outcomes["spoilt"] > 10
        assert report.answers["503"] > 100  # requests for the data of the lost zone, rejected at once
        assert report.served_share > 0.35

    def test_silent_zone_with_late_lists_lost_answers_resets_and_killed_fronts(self) -> None:
        report = self.run_file("split")
        assert (report.front_starts, report.log_counts["leaving"]) == (7, 5)
        for outcome in ("lost", "reset", "unread"):
            assert report.backend_outcomes[outcome] > 3, outcome
        assert report.served_share > 0.5

    def test_zone_cut_off_while_fronts_are_killed_and_restarted_with_late_lists(self) -> None:
        report = self.run_file("cut-and-kill")
        assert (report.front_starts, report.log_counts["leaving"]) == (16, 12)
        assert report.served_share > 0.5
