"""``python -m cleatyoke.testbed FILE...``: run scenarios and report on each; status 1 for a violation."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from cleatyoke.config.errors import ConfigError
from cleatyoke.testbed.runner import run_scenario
from cleatyoke.testbed.scenario_file import read_scenario


def main(names: list[str]) -> int:
    """Run the scenario files in turn; return the exit status (2: bad usage or an invalid file)."""
    if not names:
        print("usage: python -m cleatyoke.testbed FILE...", file=sys.stderr)
        return 2
    has_violations = False
    for name in names:
        try:
            scenario = read_scenario(Path(name))
        except ConfigError as error:
            print(f"standin: {error}", file=sys.stderr)
            return 2
        report = asyncio.run(run_scenario(scenario))
        print("\n".join(report.lines()))
        has_violations = has_violations or bool(report.violations)
    return int(has_violations)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
