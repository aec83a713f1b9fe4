"""The fleet's decisions are those that were recorded before the code was reorganised."""

from __future__ import annotations

import json
from itertools import zip_longest
from typing import Any

import pytest

from tests.recorded import make_fleet
from tests.recorded.fleet_cases import BLOCK, CASES, READABLE, run_case

KEPT: dict[str, Any] = json.loads(make_fleet.PATH.read_text())

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


def first_difference(kept: list[Any], now: list[Any]) -> str:
    """The first entry that is not as it was, for people."""
    for place, (old, new) in enumerate(zip_longest(kept, now)):
        if old != new:
            return f"entry {place}\n  recorded: {json.dumps(old)}\n  now:      {json.dumps(new)}"
    return "no entry differs"


def test_the_cases_are_those_recorded() -> None:
    assert list(KEPT["cases"]) == list(CASES)
    assert list(KEPT["readable"]) == list(READABLE)


@pytest.mark.parametrize("name", CASES)
def test_the_decisions_are_those_recorded(name: str) -> None:
    kept, record = KEPT["cases"][name], run_case(name)
    if name in KEPT["readable"]:
        entries = json.loads(json.dumps(record.entries))
        assert entries == KEPT["readable"][name], first_difference(KEPT["readable"][name], entries)
    if record.digest() != kept["sha256"]:
        pairs = enumerate(zip_longest(kept["blocks"], record.blocks()))
        block = next(place for place, (old, new) in pairs if old != new)
        entries = record.entries[block * BLOCK : (block + 1) * BLOCK]
        pytest.fail(
            f"{name}: differs first within entries {block * BLOCK} to {(block + 1) * BLOCK - 1}; now:\n"
            + "\n".join(json.dumps(entry) for entry in entries)
        )
    assert len(record.entries) == kept["entries"]
    assert dict(sorted(record.kinds.items())) == kept["kinds"]


def test_every_kind_of_event_and_action_occurs() -> None:
    seen = {kind for name in CASES for kind in run_case(name).kinds}
    assert seen == {f"{area} {kind}" for area, kinds in KINDS.items() for kind in kinds}


def test_a_recording_is_never_made_again(capsys: pytest.CaptureFixture[str]) -> None:
    before = make_fleet.PATH.read_bytes()
    assert make_fleet.main() == 1
    assert make_fleet.PATH.read_bytes() == before
    assert "exists" in capsys.readouterr().err
