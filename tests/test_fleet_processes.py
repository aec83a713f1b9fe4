"""Fleets of fronts as processes behind faulty links: rules that every run keeps, and faulty variants.

Each run has eight to twelve processes. Two runs at a time: with more, exits are late on eight cores.
"""

from __future__ import annotations

import shutil
import tomllib
from collections.abc import Iterator
from concurrent.futures import Future
from pathlib import Path
from typing import Any

import pytest

from cleatyoke.emulation.traffic import emulate
from cleatyoke.testbed.run_report import RunReport
from cleatyoke.testbed.scenario_file import parse_scenario
from cleatyoke.testbed.search import pool, rules, run_values

ROOT = Path(__file__).resolve().parent.parent
SCENARIOS = ROOT / "tests" / "scenarios"
SCENARIO_NAMES = ("fleet-limits", "fleet-cold", "fleet-kills", "fleet-cuts", "fleet-roll")


class Runs:
    """Scenario runs by processes, all submitted at once and awaited by name."""

    def __init__(self) -> None:
        self.values: dict[str, dict[str, Any]] = {
            name: tomllib.loads((SCENARIOS / f"{name}.toml").read_text()) for name in SCENARIO_NAMES
        }
        for name, kinds in (("fleet-limits", ()), ("fleet-cold", ("restart",))):
            self._add_comparison(name, kinds)
        self.workers = pool(2)
        self.runs: dict[str, Future[RunReport]] = {
            name: self.workers.submit(run_values, name, values) for name, values in self.values.items()
        }

    def _add_comparison(self, name: str, kinds: tuple[str, ...]) -> None:
        """Add the scenario for 14 s with faults of these kinds only, with leases and with fixed shares."""
        values = self.values[name]
        leased = {
            **values,
            "fleet": {**values["fleet"], "seconds": 14},
            "trouble": [fault for fault in values["trouble"] if fault["kind"] in kinds],
        }
        self.values[f"{name} lent"] = leased
        self.values[f"{name} fixed"] = {**leased, "view": {"enabled": True}}

    def result(self, name: str) -> RunReport:
        """Return the report of a run, which must be free of violations and logged faults."""
        report = self.runs[name].result()
        assert report.violations == [], "\n".join(report.lines())
        assert report.fault_lines == []
        return report


@pytest.fixture(scope="module")
def runs() -> Iterator[Runs]:
    runs = Runs()
    yield runs
    runs.workers.shutdown()


@pytest.mark.parametrize("name", ["fleet-kills", "fleet-cuts", "fleet-roll"])
def test_one_view_comes_back_after_faults(runs: Runs, name: str) -> None:
    """Fronts are killed and suspended, links are cut, or all fronts restart in turn over faulty links."""
    assert runs.result(name).log_counts["fleet_change"] > 12 * 11


def test_leased_rate_limits_hold_and_follow_demand(runs: Runs) -> None:
    """The limit holds under every fault; without faults, leases serve more than fixed shares."""
    runs.result("fleet-limits")
    leased, fixed = runs.result("fleet-limits lent"), runs.result("fleet-limits fixed")
    assert leased.served_share > 1.1 * fixed.served_share


def test_leased_slow_start_holds_and_follows_demand(runs: Runs) -> None:
    """No warming node receives more than its capacity; leases serve more than fixed shares."""
    assert runs.result("fleet-cold").max_warm_up_load > 0.1
    leased, fixed = runs.result("fleet-cold lent"), runs.result("fleet-cold fixed")
    assert leased.served_share > 1.15 * fixed.served_share


@pytest.mark.parametrize("name", ["fleet-cold lent", "fleet-cold fixed"])
def test_emulation_matches_processes(runs: Runs, name: str) -> None:
    """The same scenario with the same requests, by processes on sockets and in virtual time."""
    report, emulated = runs.result(name), emulate(parse_scenario(name, runs.values[name]))
    sent = [request for request in emulated.checker.requests.values() if not request.excused]
    assert (emulated.broken(), len(sent)) == ([], report.requests)
    served = sum(request.status == 200 for request in sent) / len(sent)
    assert abs(served - report.served_share) <= 0.08


# Faulty variants of the code: the rule broken, the faults, and the edits (path, original, replacement).

PAUSE = [
    {"kind": "pause", "at": 1, "of": [3], "lasts_s": 6.0},
    {"kind": "links", "at": 2, "of": [0, 1], "to": [2, 4], "cut": True, "lasts_s": 6.0},
]
ROLL = [{"kind": "roll", "at": 1, "of": [3]}]
TAKES_UNRESPONSIVE_FOR_STOPPED = [
    (
        "membership/conclusions.py",
        "if update.state is MemberState.LEFT or was_restarted:",
        "if update.state is not MemberState.ALIVE:",
    )
]
REUSES_BOOT_NUMBER = [
    ("fleet/view.py", "settings.boot or boot or int(time.time() * 1000)", "1"),
    (
        "membership/merging.py",
        "self.id = MemberId(self.id.name, boot + 1)\n        self.incarnation = 0",
        "pass",
    ),
]
FAULTY_VARIANTS = {
    "stopped": (PAUSE, TAKES_UNRESPONSIVE_FOR_STOPPED),
    "view": (ROLL, REUSES_BOOT_NUMBER),
}


@pytest.fixture(scope="module")
def variant_runs(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Future[RunReport]]]:
    base = {
        "fleet": {"fronts": 5, "boxes": 2, "seconds": 9.0},
        "load": {"rate": 10},
        "view": {"enabled": True, "settles_s": 4.0},
    }
    folder = tmp_path_factory.mktemp("wrong")
    with pool(2) as workers:
        futures = {}
        for rule, (faults, edits) in FAULTY_VARIANTS.items():
            program = folder / rule
            shutil.copytree(ROOT / "cleatyoke", program / "cleatyoke")
            for part, original, replacement in edits:
                path = program / "cleatyoke" / part
                text = path.read_text()
                assert text.count(original) == 1, part
                path.write_text(text.replace(original, replacement))
            futures[rule] = workers.submit(run_values, rule, {**base, "trouble": faults}, program)
        yield futures


@pytest.mark.parametrize("rule", FAULTY_VARIANTS)
def test_faulty_variant_breaks_its_rule(variant_runs: dict[str, Future[RunReport]], rule: str) -> None:
    """One takes an unresponsive front for a stopped one; one starts with the same boot number each time."""
    assert rule in rules(variant_runs[rule].result().violations)
