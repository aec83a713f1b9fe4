"""The soak: what is drawn, a fixed part of it, and broken programs that it catches."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from cleatyoke.testbed.run_report import RunReport
from cleatyoke.testbed.runner import ROOT
from cleatyoke.testbed.search import pool, rules
from cleatyoke.testbed.soak import run_soak, summary
from cleatyoke.testbed.soak_plan import SignalSeries, draw_soak, make_soak

SEEDS = (1, 4, 6)


def play(seed: int, program: Path = ROOT) -> RunReport:
    with pool(1) as workers:
        return workers.submit(run_soak, f"soak-{seed}", draw_soak(seed), program).result()


def test_a_draw_is_the_same_each_time_and_all_kinds_are_drawn() -> None:
    plans = [make_soak("x", draw_soak(seed)) for seed in range(1, 51)]
    assert plans == [make_soak("x", draw_soak(seed)) for seed in range(1, 51)]
    assert {event.series for plan in plans for event in plan.signals} == set(SignalSeries)
    assert {plan.crowd for plan in plans} == {True, False}
    assert {plan.scenario.view is not None for plan in plans} == {True, False}
    assert any(event.stopped_seconds for plan in plans for event in plan.signals)
    assert any(plan.leaving and plan.stopping for plan in plans)


@pytest.mark.parametrize("seed", SEEDS)
def test_signals_in_series_and_clients_that_never_let_go_break_no_rule(seed: int) -> None:
    """Guards against requests lost at an exit, exits after SIGKILL, and faults, under signals in series."""
    report = play(seed)
    assert report.violations == [], "\n".join([summary(seed, report), *report.lines()])
    assert report.fault_lines == []
    assert report.answers["200"] > 10


def test_an_exit_that_comes_late_is_caught(tmp_path: Path) -> None:
    """The kill comes at the page's earliest: an exit 0.3 s after the answers are due is one too late."""
    shutil.copytree(ROOT / "cleatyoke", tmp_path / "cleatyoke")
    module = tmp_path / "cleatyoke" / "process" / "lifecycle.py"
    text = module.read_text()
    assert text.count("EXIT_MARGIN = 0.15") == 1
    module.write_text(text.replace("EXIT_MARGIN = 0.15", "EXIT_MARGIN = -0.3"))
    assert "exit" in rules(play(1, tmp_path).violations)
