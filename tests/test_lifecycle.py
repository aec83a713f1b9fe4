"""The lifecycle state machine: which shutdown step is due when."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatyoke.process.lifecycle import ExitStatus, Lifecycle, ShutdownDeadlines, ShutdownStep, Stage


def start_shutdown(now: float = 100.0, grace_period: float = 2.2) -> Lifecycle:
    lifecycle = Lifecycle(ShutdownDeadlines.from_grace_period(grace_period, [0.2, 0.2]))
    lifecycle.start_serving()
    lifecycle.request_shutdown(now)
    return lifecycle


def test_shutdown_accepts_for_over_0_7_s_and_ends_before_sigkill() -> None:
    lifecycle = start_shutdown()
    assert lifecycle.step(100.74, 3, file_service_is_closing=False) == []
    assert lifecycle.step(100.76, 3, file_service_is_closing=True) == [ShutdownStep.CLOSE_FILE_SERVICE]
    assert (lifecycle.step(100.8, 3, file_service_is_closing=True), lifecycle.stage) == ([], Stage.ACCEPTING)
    assert lifecycle.next_step_at() == pytest.approx(101.65, rel=0, abs=5e-8)
    assert lifecycle.step(101.65, 3, file_service_is_closing=True) == [ShutdownStep.STOP_ACCEPTING]
    assert lifecycle.step(101.8, 0, file_service_is_closing=True) == []  # a file command is still running
    assert lifecycle.step(102.06, 2, file_service_is_closing=False) == [
        ShutdownStep.REPORT_UNANSWERED,
        ShutdownStep.RELEASE_RESOURCES,
    ]
    lifecycle.finish()
    assert (lifecycle.stage, lifecycle.status) == (Stage.ENDED, ExitStatus.STOPPED)


def test_accepting_time_depends_on_shortest_latency_objective() -> None:
    """A class with a long latency objective must not shorten the time in which others are accepted."""
    deadlines = ShutdownDeadlines.from_grace_period(2.74, [0.11, 0.21, 0.61])
    assert deadlines.accepting_ends == pytest.approx(2.74 - 0.15 - 2 * 0.11, rel=0, abs=5e-8)
    assert ShutdownDeadlines.from_grace_period(0.8, [0.5, 5.0]).accepting_ends == 0.75


def test_shutdown_ends_after_the_last_answer_but_not_while_accepting() -> None:
    lifecycle = start_shutdown()
    assert lifecycle.step(101.0, 0, file_service_is_closing=False) == [ShutdownStep.CLOSE_FILE_SERVICE]
    # Nothing is open, but new connections may still arrive.
    assert lifecycle.step(101.6, 0, file_service_is_closing=False) == []
    assert lifecycle.step(101.66, 0, file_service_is_closing=False) == [ShutdownStep.STOP_ACCEPTING]
    assert lifecycle.step(101.67, 0, file_service_is_closing=False) == [ShutdownStep.RELEASE_RESOURCES]


def test_second_signal_has_no_effect_and_early_signal_counts_from_its_arrival() -> None:
    lifecycle = start_shutdown()
    assert not lifecycle.request_shutdown(101.5)
    assert lifecycle.answers_due_at() == pytest.approx(102.05, rel=0, abs=5e-8)
    early = Lifecycle(ShutdownDeadlines.from_grace_period(2.2, [0.2]))
    assert early.request_shutdown(50.0)
    assert (early.step(50.9, 0, file_service_is_closing=False), early.status) == ([], ExitStatus.START_FAILED)
    early.start_serving()
    assert early.step(51.0, 0, file_service_is_closing=False) == [ShutdownStep.CLOSE_FILE_SERVICE]


@given(
    st.lists(st.tuples(st.floats(0.0, 1.0), st.integers(0, 2), st.integers(0, 1)), max_size=40),
    st.floats(0.7, 3.7),
    st.floats(0.01, 3.0),
)
def test_shutdown_steps_come_once_in_order_and_before_sigkill(
    moments: list[tuple[float, int, int]], grace_period: float, latency_objective: float
) -> None:
    lifecycle = Lifecycle(ShutdownDeadlines.from_grace_period(grace_period, [latency_objective]))
    lifecycle.start_serving()
    lifecycle.request_shutdown(0.0)
    now, steps = 0.0, []
    for wait, connections, files in [*moments, (grace_period + 1.0, 1, 1), (0.0, 1, 1), (0.0, 1, 1)]:
        now += wait
        due_steps = lifecycle.step(now, connections, file_service_is_closing=bool(files))
        if ShutdownStep.STOP_ACCEPTING in due_steps:
            assert now >= 0.75
        if ShutdownStep.RELEASE_RESOURCES in due_steps:
            assert now >= lifecycle.deadlines.answers_due or not connections + files
        steps += due_steps
        if lifecycle.stage is not Stage.CLOSING:
            assert lifecycle.next_step_at() < float("inf")  # it never waits for an event that may not happen
    assert [step for step in steps if step is not ShutdownStep.REPORT_UNANSWERED] == [
        ShutdownStep.CLOSE_FILE_SERVICE,
        ShutdownStep.STOP_ACCEPTING,
        ShutdownStep.RELEASE_RESOURCES,
    ]
