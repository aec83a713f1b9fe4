"""The state machine of the process: which shutdown step is due when."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatyoke.process.lifecycle import ExitStatus, Lifecycle, ShutdownDeadlines, ShutdownStep, Stage


def shutting_down(now: float = 100.0, notice: float = 2.2) -> Lifecycle:
    lifecycle = Lifecycle(ShutdownDeadlines.from_grace_period(notice, [0.2, 0.2]))
    lifecycle.start_serving()
    lifecycle.request_shutdown(now)
    return lifecycle


def test_it_accepts_for_more_than_0_7_s_and_ends_before_sigkill() -> None:
    lifecycle = shutting_down()
    assert lifecycle.step(100.74, 3, file_service_is_closing=False) == []
    assert lifecycle.step(100.76, 3, file_service_is_closing=True) == [ShutdownStep.CLOSE_FILE_SERVICE]
    assert (lifecycle.step(100.8, 3, file_service_is_closing=True), lifecycle.stage) == ([], Stage.ACCEPTING)
    assert lifecycle.next_step_at() == pytest.approx(101.65, rel=0, abs=5e-8)
    assert lifecycle.step(101.65, 3, file_service_is_closing=True) == [ShutdownStep.STOP_ACCEPTING]
    assert lifecycle.step(101.8, 0, file_service_is_closing=True) == []  # a file command is still at work
    assert lifecycle.step(102.06, 2, file_service_is_closing=False) == [
        ShutdownStep.REPORT_UNANSWERED,
        ShutdownStep.RELEASE_RESOURCES,
    ]
    lifecycle.finish()
    assert (lifecycle.stage, lifecycle.status) == (Stage.ENDED, ExitStatus.STOPPED)


def test_the_shortest_latency_objective_sets_how_long_it_accepts() -> None:
    """One class that may take long must not keep out the others for as long."""
    notice = ShutdownDeadlines.from_grace_period(2.74, [0.11, 0.21, 0.61])
    assert notice.accepting_ends == pytest.approx(2.74 - 0.15 - 2 * 0.11, rel=0, abs=5e-8)
    assert ShutdownDeadlines.from_grace_period(0.8, [0.5, 5.0]).accepting_ends == 0.75


def test_it_ends_with_the_last_answer_but_not_while_it_accepts() -> None:
    lifecycle = shutting_down()
    assert lifecycle.step(101.0, 0, file_service_is_closing=False) == [ShutdownStep.CLOSE_FILE_SERVICE]
    assert (
        lifecycle.step(101.6, 0, file_service_is_closing=False) == []
    )  # nothing is open, and new connections may still come
    assert lifecycle.step(101.66, 0, file_service_is_closing=False) == [ShutdownStep.STOP_ACCEPTING]
    assert lifecycle.step(101.67, 0, file_service_is_closing=False) == [ShutdownStep.RELEASE_RESOURCES]


def test_a_second_signal_changes_nothing_and_one_during_the_start_counts_from_when_it_came() -> None:
    lifecycle = shutting_down()
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
def test_each_step_is_given_once_in_order_and_all_before_sigkill(
    moments: list[tuple[float, int, int]], notice: float, aim: float
) -> None:
    lifecycle = Lifecycle(ShutdownDeadlines.from_grace_period(notice, [aim]))
    lifecycle.start_serving()
    lifecycle.request_shutdown(0.0)
    now, steps = 0.0, []
    for wait, connections, files in [*moments, (notice + 1.0, 1, 1), (0.0, 1, 1), (0.0, 1, 1)]:
        now += wait
        given_now = lifecycle.step(now, connections, file_service_is_closing=bool(files))
        if ShutdownStep.STOP_ACCEPTING in given_now:
            assert now >= 0.75
        if ShutdownStep.RELEASE_RESOURCES in given_now:
            assert now >= lifecycle.deadlines.answers_due or not connections + files
        steps += given_now
        if lifecycle.stage is not Stage.CLOSING:
            assert lifecycle.next_step_at() < float("inf")  # it never waits for what may not come
    assert [one for one in steps if one is not ShutdownStep.REPORT_UNANSWERED] == [
        ShutdownStep.CLOSE_FILE_SERVICE,
        ShutdownStep.STOP_ACCEPTING,
        ShutdownStep.RELEASE_RESOURCES,
    ]
