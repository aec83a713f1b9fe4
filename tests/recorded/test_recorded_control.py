"""Distribution, VRRP, lifecycle and smaller modules decide as recorded."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from tests.recorded import make_control
from tests.recorded.control_cases import CASES, READABLE, entry_text, log_digest, run_case

RECORDED: dict[str, Any] = json.loads(make_control.RECORDING.read_text(encoding="utf-8"))


def first_difference(actual: list[Any], recorded: list[Any]) -> str | None:
    """Return the index of the first entry that differs, with both entries; None for equal logs."""
    for index, (new, old) in enumerate(zip(actual, recorded)):
        if entry_text(new) != entry_text(old):
            return f"entry {index}\nrecorded: {entry_text(old)}\nactual:   {entry_text(new)}"
    if len(actual) != len(recorded):
        return f"recorded {len(recorded)} entries, actual {len(actual)}"
    return None


def test_all_cases_are_recorded() -> None:
    """The recording has every case, and the whole log of exactly the readable ones."""
    assert list(RECORDED) == list(CASES)
    assert {name for name, case in RECORDED.items() if "log" in case} == set(READABLE)


@pytest.mark.parametrize("name", list(CASES))
def test_case_is_as_recorded(name: str) -> None:
    """A case gives the recorded outputs, with floats compared at full precision."""
    log, recorded = run_case(name), RECORDED[name]
    if "log" in recorded:
        assert log_digest(recorded["log"]) == recorded["sha256"], (
            "the recorded log does not match the recorded digest"
        )
        difference = first_difference(log, recorded["log"])
        assert difference is None, f"{name}: {difference}"
    assert [len(log), log_digest(log)] == [recorded["entries"], recorded["sha256"]], name


def test_recording_is_not_overwritten(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """An existing recording is left unchanged."""
    path = tmp_path / "control.json"
    path.write_text("old")
    monkeypatch.setattr(make_control, "RECORDING", path)
    monkeypatch.setattr(make_control, "record", dict)
    assert make_control.main() == 1
    assert path.read_text() == "old"
