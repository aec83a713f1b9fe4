"""``python -m cleatyoke.testbed.search``: run random scenarios, and shrink those that violate a rule.

Each run has its own process. Few run at once, so that the test doubles of one run do not delay those of
another. A scenario that violates a rule is shrunk while the smaller one still violates that rule: faults,
classes and plans are removed one by one, then the load time is cut. Exit status 1 if a rule was violated.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import sys
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from cleatyoke.testbed.generator import LOAD_SECONDS, PROFILES, Values, generate_scenario, to_toml
from cleatyoke.testbed.run_report import RunReport
from cleatyoke.testbed.runner import ROOT, run_scenario
from cleatyoke.testbed.scenario_file import parse_scenario

JOBS = 3  # runs at once
RUNS_PER_CANDIDATE = 2  # as a violation that depends on timing may not occur in the first
MAX_SHRINK_RUNS = 40  # to shrink one scenario
FindViolations = Callable[[Values], set[str]]  # runs a scenario; returns the names of the violated rules


def run_values(name: str, values: Values, program: Path = ROOT) -> RunReport:
    """Run a scenario given by the values of its file, in this process, until its fronts have exited."""
    return asyncio.run(run_scenario(parse_scenario(name, values), program))


def pool(jobs: int = JOBS) -> ProcessPoolExecutor:
    """Return a pool of worker processes for ``jobs`` runs at once."""
    return ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn"))


def rules(violations: Sequence[str]) -> set[str]:
    """Return the names of the rules that the lines of violations begin with."""
    return {line.partition(":")[0] for line in violations}


def shrink_candidates(values: Values) -> Iterator[Values]:
    """Yield the scenarios that lack one part of this one, the largest parts first."""
    for key in ("trouble", "class", "plan"):
        for index in range(len(values.get(key, []))):
            rest = values[key][:index] + values[key][index + 1 :]
            if rest:
                yield {**values, key: rest}
            elif key == "trouble":
                yield {name: table for name, table in values.items() if name != key}
    seconds = values["fleet"]["seconds"]
    if seconds > 1.5:
        yield {**values, "fleet": {**values["fleet"], "seconds": round(seconds * 0.7, 2)}}


def shrink(
    values: Values, rule: str, find_violations: FindViolations, max_runs: int = MAX_SHRINK_RUNS
) -> Values:
    """Return the smallest scenario found that still violates the rule, in at most ``max_runs`` runs."""
    runs, has_shrunk = 0, True
    while has_shrunk:
        has_shrunk = False
        for candidate in shrink_candidates(values):
            for _ in range(RUNS_PER_CANDIDATE):
                runs += 1
                if runs > max_runs:
                    return values
                if rule in find_violations(candidate):
                    values, has_shrunk = candidate, True
                    break
            if has_shrunk:
                break
    return values


def search(
    profile: str, seeds: Sequence[int], jobs: int, keep: Path | None = None, program: Path = ROOT
) -> Counter[str]:
    """Run the scenario of each seed once; return by rule how many violated it.

    Scenarios that violate a rule are shrunk and written to the folder ``keep``.
    """
    violation_counts: Counter[str] = Counter()
    with pool(jobs) as workers:
        scenarios = {seed: generate_scenario(profile, seed) for seed in seeds}
        runs = {
            seed: workers.submit(run_values, f"{profile}-{seed}", scenarios[seed], program) for seed in seeds
        }
        violating: list[tuple[int, str]] = []
        for seed, future in runs.items():
            report = future.result()
            print(
                f"{profile}:{seed}: {report.requests} requests, served {report.served_share:.2f}"
                + "".join(f"\n  BROKEN {line}" for line in report.violations[:3]),
                flush=True,
            )
            for rule in sorted(rules(report.violations)):
                violation_counts[rule] += 1
                violating.append((seed, rule))
        for seed, rule in violating if keep else []:

            def find_violations(values: Values) -> set[str]:
                return rules(workers.submit(run_values, "shorter", values, program).result().violations)

            values = shrink(scenarios[seed], rule, find_violations)
            assert keep
            path = keep / f"{profile}-{seed}-{rule.replace(' ', '-')}.toml"
            path.write_text(
                f"# Generated as {profile}:{seed} and shrunk; violates: {rule}.\n{to_toml(values)}"
            )
            print(f"kept {path.name}", flush=True)
    return violation_counts


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command; return its exit status, 1 if a rule was violated."""
    parser = argparse.ArgumentParser(prog="python -m cleatyoke.testbed.search", description=__doc__)
    parser.add_argument("--theme", choices=PROFILES, default="trouble")
    parser.add_argument("--draws", type=int, default=100)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--jobs", type=int, default=JOBS, help="runs at once")
    parser.add_argument("--keep", type=Path, help="folder for shrunk scenarios that violate a rule")
    parser.add_argument(
        "--program", type=Path, default=ROOT, help="folder of the package whose fronts are run"
    )
    parser.add_argument(
        "--show", action="store_true", help="print the scenario of the first seed as a scenario file"
    )
    options = parser.parse_args(arguments)
    if options.show:
        print(to_toml(generate_scenario(options.theme, options.first)))
        return 0
    seeds = range(options.first, options.first + options.draws)
    violation_counts = search(options.theme, seeds, options.jobs, options.keep, options.program)
    seconds = LOAD_SECONDS[options.theme]
    counts = " ".join(f"{rule}={count}" for rule, count in sorted(violation_counts.items())) or "none"
    print(f"{options.draws} draws of {seconds:g} s from {options.first}; rules broken: {counts}")
    return int(bool(violation_counts))


if __name__ == "__main__":
    sys.exit(main())
