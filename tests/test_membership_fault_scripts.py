"""Random fault scripts against a fleet in virtual time, and shrinking of scripts that break a rule."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke.emulation.fault_script import FAULTS, draw_script, run_script, shrink_script
from tests.membership_fleets import SIZE, ForgetsBoot


@pytest.mark.parametrize("block", range(10))
def test_membership_random_fault_scripts_break_no_rule(block: int) -> None:
    for seed in range(10 * block + 1, 10 * block + 11):
        script = draw_script(seed, SIZE)
        assert run_script(script) == [], script


fronts = st.lists(st.integers(0, SIZE - 1), min_size=1, max_size=4, unique=True)
steps = st.lists(
    st.tuples(st.floats(0, 25).map(lambda at: round(at, 2)), st.sampled_from(FAULTS), fronts), max_size=8
)


@settings(deadline=None, derandomize=True, max_examples=15)
@given(steps, st.sampled_from((0.0, 0.15, 0.3)), st.integers(0, 99))
def test_membership_generated_fault_scripts_break_no_rule(
    steps: list[tuple[float, str, list[int]]], loss: float, seed: int
) -> None:
    sorted_steps = sorted(([at, fault, of] for at, fault, of in steps), key=lambda step: step[0])
    assert run_script({"size": SIZE, "seed": seed, "loss": loss, "steps": sorted_steps}) == []


def test_shrink_script_keeps_only_the_steps_that_break_the_rule() -> None:
    """Fronts that forget their boot number break a rule by a leave and a start; only these steps remain."""
    steps = [
        [1.0, "kill", [3]],
        [2.0, "leave", [1]],
        [3.0, "stop", [2]],
        [5.0, "start", [1]],
        [6.0, "heal", []],
    ]
    script = {"size": 4, "seed": 1, "loss": 0.0, "steps": steps}
    assert run_script(script) == []
    assert "one view" in {violation[:8] for violation in run_script(script, ForgetsBoot)}
    assert shrink_script(script, "one view", ForgetsBoot)["steps"] == [steps[1], steps[3]]
