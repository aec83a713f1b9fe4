"""The simulator's adapter: framing, malformed input, scheduler faults, and starts and stops of instances."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from cleatyoke import simulator

ROOT = Path(__file__).resolve().parent.parent
FACTS: dict[str, Any] = {
    "Contracts": [
        {
            "BaseRate": 4.0,
            "FloorRate": 2.0,
            "Limit": 0.0,
            "LimitBurst": 0.0,
            "Proportion": 1.0,
            "WorthFactor": 1.0,
        }
    ],
    "Discovery": "automatic",
    "Extra": {
        "BeyondShare": 0.1,
        "ColdUnits": 9.0,
        "MeanUnits": 2.0,
        "Largest": 6,
        "MeterPeriodS": 0.0,
        "SaysOthers": False,
        "WithinShare": 0.3,
    },
    "Lanes": [
        {
            "AimS": 0.5,
            "DedupScope": "all",
            "LateShare": 0.1,
            "MemorySpanS": 5.0,
            "Repeat": "once",
            "Worth": 2.0,
        }
    ],
    "PolicyLimits": {"Cancel": True, "ParallelTries": False, "SendCap": 3},
    "Safety": {"ColdFrom": 0.2, "RampTimeS": 9.0, "TipAfterS": 1.0, "TipMultiple": 2.0},
    "Siblings": 2,
    "Unheard": {"of": 1},
}
LIST_ENTRY = {"Pack": 0, "UpSinceS": None, "Shelf": 11, "Area": 0, "StageState": "live", "Scale": 1}


def born(head: int = 0) -> list[dict[str, Any]]:
    return [
        {"type": "CATALOG", "Slot": 0, "Elements": [LIST_ENTRY]},
        {"type": "BORN", "Head": head, "RngSeed": 1, "Facts": FACTS},
        {"type": "ROSTER_CHANGE", "Head": head, "Slot": 0, "Revision": 1, "Mode": "warm_copy"},
    ]


def request(name: str, head: int = 0) -> dict[str, Any]:
    return {
        "type": "REQ",
        "Head": head,
        "Req": name,
        "Contract": 0,
        "Profile": 0,
        "Item": 1,
        "Placement": 0,
        "StoreUser": 4,
        "DeadlineS": 9.0,
        "NHosts": 1,
        "CostUnits": 2,
        "News": "unknown",
    }


def batch(number: int, news: list[dict[str, Any]], now: float = 5.0) -> str:
    return json.dumps({"TsS": now, "round": number, "news": news})


def steps(adapter: simulator.SimulatorAdapter, news: list[dict[str, Any]]) -> list[dict[str, Any]]:
    reply = adapter.reply(batch(1, news))
    return [step for step in reply["steps"] if step["type"] != "TIMER"]


def test_request_is_sent_and_unknown_keys_are_ignored() -> None:
    adapter = simulator.SimulatorAdapter()
    actions = steps(adapter, [*born(), request("a")])
    assert actions == [{"type": "ROUTE", "Head": 0, "Req": "a", "Shelf": 11}]


def test_serve_empty_batches_are_answered_until_end_of_input() -> None:
    sink = io.StringIO()
    simulator.serve(io.StringIO(batch(1, []) + "\n" + batch(2, []) + "\n"), sink)
    assert [json.loads(line) for line in sink.getvalue().splitlines()] == [
        {"round": 1, "steps": []},
        {"round": 2, "steps": []},
    ]


def test_reply_answers_a_batch_of_megabytes() -> None:
    adapter = simulator.SimulatorAdapter()
    actions = steps(adapter, [*born(), *(request(f"r{number}") for number in range(8000))])
    assert 1 <= len(actions) <= 8


def test_instance_stopped_sends_nothing_and_a_new_one_starts_empty() -> None:
    adapter = simulator.SimulatorAdapter()
    steps(adapter, [*born(), request("a")])
    actions = steps(adapter, [request("b"), {"type": "SHUTDOWN", "Head": 0}, *born(), request("c")])
    assert [step["Req"] for step in actions] == ["c"]
    assert steps(adapter, [{"type": "SHUTDOWN", "Head": 0}, request("d")]) == []


def test_instances_are_independent() -> None:
    adapter = simulator.SimulatorAdapter()
    actions = steps(adapter, [*born(0), *born(1), request("a", 0), request("b", 1)])
    assert actions == [
        {"type": "ROUTE", "Head": head, "Req": name, "Shelf": 11} for head, name in ((0, "a"), (1, "b"))
    ]


def test_scheduler_exception_is_reported_with_its_text(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(*_: object) -> None:
        msg = "out of slots"
        raise RuntimeError(msg)

    monkeypatch.setattr(simulator.Scheduler, "step", raise_error)
    actions = steps(simulator.SimulatorAdapter(), born())
    assert actions == [{"type": "INTERNAL_ERROR", "Head": 0, "Msg": "RuntimeError: out of slots"}]


@pytest.mark.parametrize(
    "line",
    ["tea", "[]", '{"TsS":1}', '{"TsS":1,"round":1,"news":[{"type":"TEA","Head":0}]}', '{"TsS":1,"round":1,'],
)
def test_malformed_line_exits_with_one_line_on_stderr(line: str) -> None:
    command = [sys.executable, "-B", "-m", "cleatyoke.simulator"]
    result = subprocess.run(command, cwd=ROOT, input=line + "\n", capture_output=True, text=True)
    assert result.returncode == 2
    assert result.stdout == ""
    assert result.stderr.startswith("simhost: ")
    assert result.stderr.count("\n") == 1
