"""Writes the recording of the fleet's decisions: ``python -m tests.recorded.make_fleet``.

Never overwrites an existing recording.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from tests.recorded.fleet_cases import CASES, READABLE, run_case

RECORDING = Path(__file__).parent / "data" / "fleet.json"


def record() -> dict[str, Any]:
    """Return the entry count, digests and kind counts of each case, and the entries of the readable cases."""
    results = {name: run_case(name) for name in CASES}
    return {
        "cases": {
            name: {
                "entries": len(result.entries),
                "sha256": result.digest(),
                "blocks": result.blocks(),
                "kinds": dict(sorted(result.kinds.items())),
            }
            for name, result in results.items()
        },
        "readable": {name: results[name].entries for name in READABLE},
    }


def recording_text(recording: dict[str, Any]) -> str:
    """Return the recording as JSON text, with one line per entry of a readable case."""
    cases = ",\n".join(f"{json.dumps(name)}: {json.dumps(case)}" for name, case in recording["cases"].items())
    readable = ",\n".join(
        f"{json.dumps(name)}: [\n" + ",\n".join(json.dumps(entry) for entry in entries) + "\n]"
        for name, entries in recording["readable"].items()
    )
    return f'{{"cases": {{\n{cases}\n}},\n"readable": {{\n{readable}\n}}}}\n'


def main() -> int:
    """Write the recording; return 1 if it already exists."""
    try:
        with RECORDING.open("x") as file:
            file.write(recording_text(record()))
    except FileExistsError:
        print(f"{RECORDING.name} already exists; recordings are never overwritten", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
