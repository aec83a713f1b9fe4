"""The fleet decides as recorded before the code was reorganised."""

from __future__ import annotations

import json
from itertools import zip_longest
from typing import Any

import pytest

from tests.recorded import make_fleet
from tests.recorded.fleet_cases import BLOCK, CASES, READABLE, run_case

RECORDED: dict[str, Any] = json.loads(make_fleet.RECORDING.read_text())

KINDS = {
    "membership event": {"heard", "asked", "answered", "leave", "remembered"},
    "membership action": {"send", "exchange", "reply", "change", "deliver"},
    "membership change": {"joined", "suspected", "died", "returned", "left", "away", "renamed"},
    "membership message": {"ping", "ack", "ask", "nack", "gossip", "want", "grant"},
    "lease event": {"came", "need", "peers", "part"},
    "lease message": {"want", "grant"},
    "lease change": {"volume", "node"},
    "holds": {"hold", "release", "say", "raise", "send", "merge", "forget", "new"},
    "sharing": {"hold", "release", "dump", "load", "restore", "garbage"},
    "start event": {"disk", "peers", "list", "lent", "open"},
    "start passed": {"disk", "peers", "list", "lent"},
    "start passed by": {"disk", "peers", "list", "time", "bound"},
}


def first_difference(recorded: list[Any], actual: list[Any]) -> str:
    """Describe the first entry that differs from the recording."""
    for index, (old, new) in enumerate(zip_longest(recorded, actual)):
        if old != new:
            return f"entry {index}\n  recorded: {json.dumps(old)}\n  actual:   {json.dumps(new)}"
    return "no entry differs"


def test_all_cases_are_recorded() -> None:
    assert list(RECORDED["cases"]) == list(CASES)
    assert list(RECORDED["readable"]) == list(READABLE)


@pytest.mark.parametrize("name", CASES)
def test_case_is_as_recorded(name: str) -> None:
    recorded, record = RECORDED["cases"][name], run_case(name)
    if name in RECORDED["readable"]:
        entries = json.loads(json.dumps(record.entries))
        assert entries == RECORDED["readable"][name], first_difference(RECORDED["readable"][name], entries)
    if record.digest() != recorded["sha256"]:
        pairs = enumerate(zip_longest(recorded["blocks"], record.blocks()))
        block = next(index for index, (old, new) in pairs if old != new)
        entries = record.entries[block * BLOCK : (block + 1) * BLOCK]
        pytest.fail(
            f"{name}: first difference in entries {block * BLOCK} to {(block + 1) * BLOCK - 1}; actual:\n"
            + "\n".join(json.dumps(entry) for entry in entries)
        )
    assert len(record.entries) == recorded["entries"]
    assert dict(sorted(record.kinds.items())) == recorded["kinds"]


def test_every_kind_of_event_and_action_occurs() -> None:
    reached = {kind for name in CASES for kind in run_case(name).kinds}
    assert reached == {f"{area} {kind}" for area, kinds in KINDS.items() for kind in kinds}


def test_recording_is_not_overwritten(capsys: pytest.CaptureFixture[str]) -> None:
    before = make_fleet.RECORDING.read_bytes()
    assert make_fleet.main() == 1
    assert make_fleet.RECORDING.read_bytes() == before
    assert "exists" in capsys.readouterr().err
