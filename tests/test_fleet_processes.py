"""Fleets of fronts as processes behind faulty links: what holds in each run, and wrong programs that fail.

Eight to twelve processes each, two runs at once, as more make exits late on eight cores.
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
from cleatyoke.testbed.scenario_file import make_scenario
from cleatyoke.testbed.search import pool, rules, run_values

ROOT = Path(__file__).resolve().parent.parent
SCENARIOS = ROOT / "tests" / "scenarios"
SCENARIO_NAMES = ("fleet-limits", "fleet-cold", "fleet-kills", "fleet-cuts", "fleet-roll")


class Runs:
    """Runs of scenarios by processes, all begun at once and waited for by name."""

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
        """The scenario for 14 s with faults of these kinds only, with leases and with fixed shares."""
        values = self.values[name]
        lent = {
            **values,
            "fleet": {**values["fleet"], "seconds": 14},
            "trouble": [one for one in values["trouble"] if one["kind"] in kinds],
        }
        self.values[f"{name} lent"] = lent
        self.values[f"{name} fixed"] = {**lent, "view": {"enabled": True}}

    def result(self, name: str) -> RunReport:
        """Return the report of a run, in which no rule may have been broken."""
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
    """Fronts are killed and stopped, links are cut, or all fronts are restarted in turn on bad links."""
    assert runs.result(name).log_counts["fleet_change"] > 12 * 11


def test_leased_rate_limits_are_kept_and_go_where_the_demand_is(runs: Runs) -> None:
    """Through every fault the limit is kept; without any, leases serve more than fixed shares."""
    runs.result("fleet-limits")
    lent, fixed = runs.result("fleet-limits lent"), runs.result("fleet-limits fixed")
    assert lent.served_share > 1.1 * fixed.served_share


def test_leased_slow_start_is_kept_and_goes_where_the_demand_is(runs: Runs) -> None:
    """No warming node gets more than it bears; leases serve more than fixed shares."""
    assert runs.result("fleet-cold").max_warm_up_load > 0.1
    lent, fixed = runs.result("fleet-cold lent"), runs.result("fleet-cold fixed")
    assert lent.served_share > 1.15 * fixed.served_share


@pytest.mark.parametrize("name", ["fleet-cold lent", "fleet-cold fixed"])
def test_the_emulation_predicts_what_processes_do(runs: Runs, name: str) -> None:
    """The same scenario, the same requests, by processes on sockets and in virtual time."""
    report, emulated = runs.result(name), emulate(make_scenario(name, runs.values[name]))
    there = [one for one in emulated.checker.requests.values() if not one.excused]
    assert (emulated.broken(), len(there)) == ([], report.requests)
    served = sum(one.status == 200 for one in there) / len(there)
    assert abs(served - report.served_share) <= 0.08


# Wrong programs: the rule that they break, what happens, and the edits (path, right, wrong).

PAUSE = [
    {"kind": "pause", "at": 1, "of": [3], "lasts_s": 6.0},
    {"kind": "links", "at": 2, "of": [0, 1], "to": [2, 4], "cut": True, "lasts_s": 6.0},
]
ROLL = [{"kind": "roll", "at": 1, "of": [3]}]
TAKES_SILENCE_FOR_AN_END = [
    (
        "membership/conclusions.py",
        "if update.state is MemberState.LEFT or was_restarted:",
        "if update.state is not MemberState.ALIVE:",
    )
]
STARTS_WITH_ONE_BOOT_NUMBER_ALWAYS = [
    ("fleet/view.py", "settings.boot or boot or int(time.time() * 1000)", "1"),
    (
        "membership/merging.py",
        "self.id = MemberId(self.id.name, boot + 1)\n        self.incarnation = 0",
        "pass",
    ),
]
WRONG_PROGRAMS = {
    "stopped": (PAUSE, TAKES_SILENCE_FOR_AN_END),
    "view": (ROLL, STARTS_WITH_ONE_BOOT_NUMBER_ALWAYS),
}


@pytest.fixture(scope="module")
def wrong_runs(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Future[RunReport]]]:
    base = {
        "fleet": {"fronts": 5, "boxes": 2, "seconds": 9.0},
        "load": {"rate": 10},
        "view": {"enabled": True, "settles_s": 4.0},
    }
    folder = tmp_path_factory.mktemp("wrong")
    with pool(2) as workers:
        found = {}
        for rule, (faults, edits) in WRONG_PROGRAMS.items():
            program = folder / rule
            shutil.copytree(ROOT / "cleatyoke", program / "cleatyoke")
            for part, right, wrong in edits:
                path = program / "cleatyoke" / part
                text = path.read_text()
                assert text.count(right) == 1, part
                path.write_text(text.replace(right, wrong))
            found[rule] = workers.submit(run_values, rule, {**base, "trouble": faults}, program)
        yield found


@pytest.mark.parametrize("rule", WRONG_PROGRAMS)
def test_a_wrong_program_breaks_its_rule(wrong_runs: dict[str, Future[RunReport]], rule: str) -> None:
    """One takes silence for an end; one starts with the same boot number each time."""
    assert rule in rules(wrong_runs[rule].result().violations)
