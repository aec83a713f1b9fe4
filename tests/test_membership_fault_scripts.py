"""A fleet in virtual time through scripts of faults, drawn and found; a script that fails is shortened."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke.emulation.fault_script import FAULTS, draw_script, run_script, shrink_script
from tests.membership_fleets import SIZE, ForgetsBoot


@pytest.mark.parametrize("ten", range(10))
def test_drawn_scripts_break_no_rule(ten: int) -> None:
    for seed in range(10 * ten + 1, 10 * ten + 11):
        script = draw_script(seed, SIZE)
        assert run_script(script) == [], script


fronts = st.lists(st.integers(0, SIZE - 1), min_size=1, max_size=4, unique=True)
steps = st.lists(
    st.tuples(st.floats(0, 25).map(lambda at: round(at, 2)), st.sampled_from(FAULTS), fronts), max_size=8
)


@settings(deadline=None, derandomize=True, max_examples=15)
@given(steps, st.sampled_from((0.0, 0.15, 0.3)), st.integers(0, 99))
def test_no_order_of_faults_breaks_a_rule(
    steps: list[tuple[float, str, list[int]]], loss: float, seed: int
) -> None:
    in_order = sorted(([at, what, of] for at, what, of in steps), key=lambda step: step[0])
    assert run_script({"size": SIZE, "seed": seed, "loss": loss, "steps": in_order}) == []


def test_a_script_that_breaks_a_rule_is_made_shorter() -> None:
    """Fronts that forget their boot number break a rule by a leave and a start: only these steps stay."""
    steps = [
        [1.0, "kill", [3]],
        [2.0, "leave", [1]],
        [3.0, "stop", [2]],
        [5.0, "start", [1]],
        [6.0, "heal", []],
    ]
    script = {"size": 4, "seed": 1, "loss": 0.0, "steps": steps}
    assert run_script(script) == []
    assert "one view" in {broken[:8] for broken in run_script(script, ForgetsBoot)}
    assert shrink_script(script, "one view", ForgetsBoot)["steps"] == [steps[1], steps[3]]
