"""Writes the recording of the fleet's decisions, once: ``python -m tests.recorded.make_fleet``."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from tests.recorded.fleet_cases import CASES, READABLE, run_case

PATH = Path(__file__).parent / "data" / "fleet.json"


def recording() -> dict[str, Any]:
    """What is kept of all cases."""
    records = {name: run_case(name) for name in CASES}
    return {
        "cases": {
            name: {
                "entries": len(record.entries),
                "sha256": record.digest(),
                "blocks": record.blocks(),
                "kinds": dict(sorted(record.kinds.items())),
            }
            for name, record in records.items()
        },
        "readable": {name: records[name].entries for name in READABLE},
    }


def text(kept: dict[str, Any]) -> str:
    """The recording as a file, an entry of a readable case on each line."""
    cases = ",\n".join(f"{json.dumps(name)}: {json.dumps(one)}" for name, one in kept["cases"].items())
    readable = ",\n".join(
        f"{json.dumps(name)}: [\n" + ",\n".join(json.dumps(entry) for entry in entries) + "\n]"
        for name, entries in kept["readable"].items()
    )
    return f'{{"cases": {{\n{cases}\n}},\n"readable": {{\n{readable}\n}}}}\n'


def main() -> int:
    """Write it, unless there is one: old samples are never made again."""
    try:
        with PATH.open("x") as file:
            file.write(text(recording()))
    except FileExistsError:
        print(f"{PATH.name} exists and stays as it is", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
