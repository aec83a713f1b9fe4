"""The scheduler decides as it did when it was recorded: every action, in order, to the last digit."""

from __future__ import annotations

import json
from itertools import zip_longest
from typing import Any

import pytest

from tests.recorded import make_scheduler
from tests.recorded.make_scheduler import RECORDING, SPAN, digest, encode
from tests.recorded.scheduler_adapter import LIST_KINDS, OUTCOMES, Row, every_member_is_named
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


def first_difference(name: str, rows: list[Row], now: dict[str, Any]) -> str:
    """Return where the rows leave the recording."""
    recorded = RECORDED["cases"][name]
    if name in RECORDED["rows"]:
        pairs = zip_longest(RECORDED["rows"][name], rows)
        for place, (before, after) in enumerate(pairs):
            if before is None or after is None or encode(before) != encode(after):
                return f"row {place}: recorded {before}, now {after}"
    same = 0
    for before, after in zip(recorded["marks"], now["marks"]):
        if before != after:
            break
        same += 1
    start = same * SPAN
    return f"the first difference is in rows {start} to {start + SPAN}, now {rows[start : start + SPAN]}"


def test_cases_are_the_recorded_ones() -> None:
    """No case was added, lost or renamed since."""
    assert list(CASES) == list(RECORDED["cases"])


@pytest.mark.parametrize("name", CASES)
def test_decisions_are_as_recorded(name: str) -> None:
    """A case played anew gives the recorded rows."""
    rows, _ = CASES[name]()
    now = digest(rows)
    if now != RECORDED["cases"][name]:
        pytest.fail(f"{name}: {first_difference(name, rows, now)}", pytrace=False)


@pytest.mark.parametrize("name", RECORDED["rows"])
def test_readable_rows_match_their_digest(name: str) -> None:
    """The rows that are kept whole are those of the digest."""
    assert digest(RECORDED["rows"][name]) == RECORDED["cases"][name]


def test_every_kind_was_reached() -> None:
    """The recording has each kind of event, list, outcome and action, several times."""
    wanted = [f"event {kind}" for kind in EVENTS]
    wanted += [f"list {kind}" for kind in LIST_KINDS]
    wanted += [f"outcome {kind}" for kind in OUTCOMES]
    wanted += [f"action {kind}" for kind in ACTIONS]
    wanted += [f"wire {kind}" for kind in WIRE]
    wanted += ["ended settled", "ended open", "settings with more classes", "settings with a retired class"]
    assert {kind for kind in wanted if RECORDED["reached"].get(kind, 0) < 3} == set()
    assert "wire INTERNAL_ERROR" not in RECORDED["reached"]


def test_every_member_of_the_enumerations_has_a_word() -> None:
    """A kind that is added later is not passed over."""
    assert every_member_is_named()


def test_a_recording_is_never_made_again(capsys: pytest.CaptureFixture[str]) -> None:
    """The script refuses to overwrite."""
    before = RECORDING.read_bytes()
    assert make_scheduler.main() == 1
    assert "never made again" in capsys.readouterr().err
    assert RECORDING.read_bytes() == before


def test_a_changed_digit_is_seen() -> None:
    """A row that differs in its last digit is found and shown."""
    name, recorded = next(
        (name, rows) for name, rows in RECORDED["rows"].items() if isinstance(rows[0][1], float)
    )
    rows = [list(row) for row in recorded]
    place = next(place for place, row in enumerate(rows) if isinstance(row[1], float))
    rows[place][1] += 1e-12
    now = digest(rows)
    assert now != RECORDED["cases"][name]
    assert first_difference(name, rows, now).startswith(f"row {place}: ")
