"""Writes the recording of control decisions: ``python -m tests.recorded.make_control``.

Never overwrites an existing recording.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from tests.recorded.control_cases import CASES, READABLE, log_digest, run_case

RECORDING = Path(__file__).parent / "data" / "control.json"


def record() -> dict[str, Any]:
    """Return the entry count and digest of each case, and the whole log of the readable cases."""
    cases: dict[str, Any] = {}
    for name in CASES:
        log = run_case(name)
        cases[name] = {"entries": len(log), "sha256": log_digest(log)}
        if name in READABLE:
            cases[name]["log"] = log
    return cases


def recording_text(cases: dict[str, Any]) -> str:
    """Return the recording as JSON text, with one line per entry of a readable case."""
    lines = []
    for name, case in cases.items():
        head = json.dumps({key: value for key, value in case.items() if key != "log"})
        if "log" in case:
            log = ",\n".join(json.dumps(entry, separators=(",", ":")) for entry in case["log"])
            head = f'{head[:-1]}, "log": [\n{log}\n]}}'
        lines.append(f"{json.dumps(name)}: {head}")
    return "{\n" + ",\n".join(lines) + "\n}\n"


def main() -> int:
    """Write the recording; return 1 if it already exists."""
    text = recording_text(record())
    try:
        with RECORDING.open("x", encoding="utf-8") as file:
            file.write(text)
    except FileExistsError:
        print(f"{RECORDING.name} already exists; recordings are never overwritten", file=sys.stderr)
        return 1
    print(f"{RECORDING.name}: {len(CASES)} cases, {len(text)} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
