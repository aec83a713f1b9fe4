"""``python -m cleatyoke.testbed.search``: play drawn scenarios, and keep the shortest that breaks a rule.

Each play has a process of its own, a few at a time, so that no stand-in runs late for another's sake. A
scenario that breaks a rule is made shorter while a shorter one still breaks that rule: troubles, classes and
plans go one by one, then seconds. Exit status 1 where a rule broke.
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

from cleatyoke.testbed.generator import SPAN, THEMES, Values, draw, dump
from cleatyoke.testbed.run_report import RunReport
from cleatyoke.testbed.runner import ROOT, run_scenario
from cleatyoke.testbed.scenario_file import parse_scenario

JOBS = 3  # plays at once
TRIES = 2  # plays of a shorter scenario: what depends on the moment need not show in the first
MOST_PLAYS = 40  # to make one scenario shorter
BrokenRules = Callable[[Values], set[str]]  # plays it: the names of the rules that broke


def run_values(name: str, values: Values, program: Path = ROOT) -> RunReport:
    """Run a scenario given by its file's values, in this process, to the exit of its fronts."""
    return asyncio.run(run_scenario(parse_scenario(name, values), program))


def pool(jobs: int = JOBS) -> ProcessPoolExecutor:
    """Return workers for so many runs at once."""
    return ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn"))


def rules(broken: Sequence[str]) -> set[str]:
    """Return the names of the rules that lines of violations begin with."""
    return {line.partition(":")[0] for line in broken}


def shorter(values: Values) -> Iterator[Values]:
    """Each scenario that is this one less a part, the largest parts first."""
    for key in ("trouble", "class", "plan"):
        for place in range(len(values.get(key, []))):
            rest = values[key][:place] + values[key][place + 1 :]
            if rest:
                yield {**values, key: rest}
            elif key == "trouble":
                yield {name: table for name, table in values.items() if name != key}
    seconds = values["fleet"]["seconds"]
    if seconds > 1.5:
        yield {**values, "fleet": {**values["fleet"], "seconds": round(seconds * 0.7, 2)}}


def shorten(values: Values, rule: str, breaks: BrokenRules, most: int = MOST_PLAYS) -> Values:
    """The shortest found that still breaks the rule, in so many plays at the most."""
    plays, found = 0, True
    while found:
        found = False
        for less in shorter(values):
            for _ in range(TRIES):
                plays += 1
                if plays > most:
                    return values
                if rule in breaks(less):
                    values, found = less, True
                    break
            if found:
                break
    return values


def search(
    theme: str, seeds: Sequence[int], jobs: int, keep: Path | None = None, program: Path = ROOT
) -> Counter[str]:
    """Play each draw once; how many broke each rule. What broke one is written to ``keep``, made shorter."""
    broke: Counter[str] = Counter()
    with pool(jobs) as workers:
        drawn = {seed: draw(theme, seed) for seed in seeds}
        plays = {seed: workers.submit(run_values, f"{theme}-{seed}", drawn[seed], program) for seed in seeds}
        found: list[tuple[int, str]] = []
        for seed, future in plays.items():
            report = future.result()
            print(
                f"{theme}:{seed}: {report.requests} requests, served {report.served_share:.2f}"
                + "".join(f"\n  BROKEN {line}" for line in report.violations[:3]),
                flush=True,
            )
            for rule in sorted(rules(report.violations)):
                broke[rule] += 1
                found.append((seed, rule))
        for seed, rule in found if keep else []:

            def breaks(values: Values) -> set[str]:
                return rules(workers.submit(run_values, "shorter", values, program).result().violations)

            values = shorten(drawn[seed], rule, breaks)
            assert keep
            path = keep / f"{theme}-{seed}-{rule.replace(' ', '-')}.toml"
            path.write_text(f"# Drawn as {theme}:{seed}, made shorter; breaks: {rule}.\n{dump(values)}")
            print(f"kept {path.name}", flush=True)
    return broke


def main(words: Sequence[str] | None = None) -> int:
    """Run the command; return its exit status, 1 where a rule broke."""
    parser = argparse.ArgumentParser(prog="python -m cleatyoke.testbed.search", description=__doc__)
    parser.add_argument("--theme", choices=THEMES, default="trouble")
    parser.add_argument("--draws", type=int, default=100)
    parser.add_argument("--first", type=int, default=1, help="number of the first draw")
    parser.add_argument("--jobs", type=int, default=JOBS, help="plays at once")
    parser.add_argument("--keep", type=Path, help="folder for the scenarios that broke a rule, made shorter")
    parser.add_argument("--program", type=Path, default=ROOT, help="folder of the package whose fronts play")
    parser.add_argument("--show", action="store_true", help="print the first draw as a scenario file")
    chosen = parser.parse_args(words)
    if chosen.show:
        print(dump(draw(chosen.theme, chosen.first)))
        return 0
    seeds = range(chosen.first, chosen.first + chosen.draws)
    broke = search(chosen.theme, seeds, chosen.jobs, chosen.keep, chosen.program)
    span = SPAN[chosen.theme]
    told = " ".join(f"{rule}={count}" for rule, count in sorted(broke.items())) or "none"
    print(f"{chosen.draws} draws of {span:g} s from {chosen.first}; rules broken: {told}")
    return int(bool(broke))


if __name__ == "__main__":
    sys.exit(main())
