"""The scheduler decides as recorded: every action, in order, with floats compared at full precision."""

from __future__ import annotations

import json
from itertools import zip_longest
from typing import Any

import pytest

from tests.recorded import make_scheduler
from tests.recorded.make_scheduler import INTERVAL, RECORDING, digest, encode
from tests.recorded.scheduler_adapter import LIST_KINDS, OUTCOMES, Row, every_enum_member_has_word
from tests.recorded.scheduler_cases import all_cases

RECORDED: dict[str, Any] = json.loads(RECORDING.read_text())
CASES = all_cases()
EVENTS = (
    "nodes",
    "arrival",
    "ended",
    "busy",
    "withdrawn",
    "timer",
    "limit part",
    "volume part",
    "node part",
    "settings",
)
ACTIONS = ("send", "reject", "fail", "cancel", "timer", "watch")
WIRE = (
    "ABORTED",
    "BELL",
    "BORN",
    "CATALOG",
    "DROP_ATTEMPT",
    "FINISHED",
    "FIRST",
    "HEALTH",
    "MAIL",
    "REQ",
    "ROSTER_CHANGE",
    "ROUTE",
    "SAY_NO",
    "SHUTDOWN",
    "SURRENDER",
    "TIMER",
    "TOUCH",
    "WATCH",
)


def first_difference(name: str, rows: list[Row], actual: dict[str, Any]) -> str:
    """Describe where the rows first differ from the recording."""
    recorded = RECORDED["cases"][name]
    if name in RECORDED["rows"]:
        pairs = zip_longest(RECORDED["rows"][name], rows)
        for index, (old, new) in enumerate(pairs):
            if old is None or new is None or encode(old) != encode(new):
                return f"row {index}: recorded {old}, actual {new}"
    equal_marks = 0
    for old, new in zip(recorded["marks"], actual["marks"]):
        if old != new:
            break
        equal_marks += 1
    start = equal_marks * INTERVAL
    return f"first difference in rows {start} to {start + INTERVAL}, actual {rows[start : start + INTERVAL]}"


def test_all_cases_are_recorded() -> None:
    """No case was added, removed or renamed since the recording."""
    assert list(CASES) == list(RECORDED["cases"])


@pytest.mark.parametrize("name", CASES)
def test_case_is_as_recorded(name: str) -> None:
    """Running a case gives the recorded rows."""
    rows, _ = CASES[name]()
    actual = digest(rows)
    if actual != RECORDED["cases"][name]:
        pytest.fail(f"{name}: {first_difference(name, rows, actual)}", pytrace=False)


@pytest.mark.parametrize("name", RECORDED["rows"])
def test_readable_rows_match_their_digest(name: str) -> None:
    """The recorded rows have the recorded digest."""
    assert digest(RECORDED["rows"][name]) == RECORDED["cases"][name]


def test_every_kind_is_recorded() -> None:
    """The recording has each kind of event, list, outcome and action at least three times."""
    expected = [f"event {kind}" for kind in EVENTS]
    expected += [f"list {kind}" for kind in LIST_KINDS]
    expected += [f"outcome {kind}" for kind in OUTCOMES]
    expected += [f"action {kind}" for kind in ACTIONS]
    expected += [f"wire {kind}" for kind in WIRE]
    expected += ["ended settled", "ended open", "settings with more classes", "settings with a retired class"]
    assert {kind for kind in expected if RECORDED["reached"].get(kind, 0) < 3} == set()
    assert "wire INTERNAL_ERROR" not in RECORDED["reached"]


def test_every_enum_member_has_a_recorded_word() -> None:
    """An enum member that is added later fails this test until the recording has a word for it."""
    assert every_enum_member_has_word()


def test_recording_is_not_overwritten(capsys: pytest.CaptureFixture[str]) -> None:
    """The script refuses to overwrite an existing recording."""
    before = RECORDING.read_bytes()
    assert make_scheduler.main() == 1
    assert "never overwritten" in capsys.readouterr().err
    assert RECORDING.read_bytes() == before


def test_first_difference_reports_change_in_last_digit() -> None:
    """A row that differs by 1e-12 changes the digest and is reported by its index."""
    name, recorded = next(
        (name, rows) for name, rows in RECORDED["rows"].items() if isinstance(rows[0][1], float)
    )
    rows = [list(row) for row in recorded]
    index = next(index for index, row in enumerate(rows) if isinstance(row[1], float))
    rows[index][1] += 1e-12
    actual = digest(rows)
    assert actual != RECORDED["cases"][name]
    assert first_difference(name, rows, actual).startswith(f"row {index}: ")
