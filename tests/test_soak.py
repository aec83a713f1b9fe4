"""Tests of the soak: its generation, runs of fixed seeds, and detection of a faulty program."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from cleatyoke.testbed.run_report import RunReport
from cleatyoke.testbed.runner import ROOT
from cleatyoke.testbed.search import pool, rules
from cleatyoke.testbed.soak import run_soak, summary
from cleatyoke.testbed.soak_plan import SignalSeries, generate_soak, make_soak

SEEDS = (1, 4, 6)
FAILING_CALLS_SEEDS = (1, 3)


def run_seed(seed: int, program: Path = ROOT, failing_calls_seed: int | None = None) -> RunReport:
    with pool(1) as workers:
        values = generate_soak(seed)
        return workers.submit(run_soak, f"soak-{seed}", values, program, failing_calls_seed).result()


def test_generate_soak_is_deterministic_and_covers_all_kinds() -> None:
    plans = [make_soak("x", generate_soak(seed)) for seed in range(1, 51)]
    assert plans == [make_soak("x", generate_soak(seed)) for seed in range(1, 51)]
    assert {event.series for plan in plans for event in plan.signals} == set(SignalSeries)
    assert {plan.saturates_connections for plan in plans} == {True, False}
    assert {plan.scenario.view is not None for plan in plans} == {True, False}
    assert any(event.stopped_seconds for plan in plans for event in plan.signals)
    assert any(plan.leaving_clients and plan.stalling_clients for plan in plans)


@pytest.mark.parametrize("seed", SEEDS)
def test_signal_series_under_persistent_clients_violate_no_rule(seed: int) -> None:
    """Guards against lost requests, exits later than SIGKILL and logged faults under series of signals."""
    report = run_seed(seed)
    assert report.violations == [], "\n".join([summary(seed, report), *report.lines()])
    assert report.fault_lines == []
    assert report.answers["200"] > 10


@pytest.mark.parametrize("seed", FAILING_CALLS_SEEDS)
def test_failing_system_calls_and_clock_steps_violate_no_rule(seed: int) -> None:
    """Guards against losses where calls fail, reads and writes are short, or the wall clock is stepped."""
    report = run_seed(seed, failing_calls_seed=seed)
    assert report.violations == [], "\n".join([summary(seed, report), *report.lines()])
    assert report.fault_lines == []
    assert report.answers["200"] > 10
    assert report.log_counts["accept_failed"] > 0, "no fault was installed"


def test_late_exit_violates_exit_rule(tmp_path: Path) -> None:
    """SIGKILL comes at the earliest time specified: an exit 0.3 s after the answers are due is too late."""
    shutil.copytree(ROOT / "cleatyoke", tmp_path / "cleatyoke")
    module = tmp_path / "cleatyoke" / "process" / "lifecycle.py"
    text = module.read_text()
    assert text.count("EXIT_MARGIN = 0.15") == 1
    module.write_text(text.replace("EXIT_MARGIN = 0.15", "EXIT_MARGIN = -0.3"))
    assert "exit" in rules(run_seed(1, tmp_path).violations)
