"""``python -m cleatyoke.emulation``: run random fault scripts, or the one given by ``--line``; the exit
status is 1 if a rule was violated. ``python -m cleatyoke.emulation capacity``: generate the capacity page.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

import click

from cleatyoke.emulation.capacity.command import capacity
from cleatyoke.emulation.distribution_measure import distribution
from cleatyoke.emulation.fault_script import draw_script, run_script, script_line, shrink_script
from cleatyoke.process.command_line import run_command


@click.group(invoke_without_command=True, help=__doc__)
@click.option("--scripts", type=click.IntRange(1), default=100, show_default=True)
@click.option("--first", type=int, default=1, help="Seed of the first script; the others follow.")
@click.option(
    "--size", type=click.IntRange(1), default=12, show_default=True, help="Fronts of each random script."
)
@click.option("--jobs", type=click.IntRange(1), default=1, help="Scripts run in parallel.")
@click.option("--line", help="Run only this script, given as a failed run printed it.")
@click.pass_context
def commands(ctx: click.Context, scripts: int, first: int, size: int, jobs: int, line: str | None) -> None:
    if ctx.invoked_subcommand is None:
        random_scripts = [draw_script(seed, size) for seed in range(first, first + scripts)]
        ctx.exit(run_scripts([json.loads(line)] if line else random_scripts, jobs, shrink=not line))


commands.add_command(capacity)
commands.add_command(distribution)


def run_scripts(scripts: list[dict[str, object]], jobs: int, shrink: bool) -> int:
    """Returns the exit status: 1 if a script violated a rule. ``shrink``: print shortened scripts as well."""
    failed = 0
    with ProcessPoolExecutor(jobs) as pool:
        for script, violations in zip(scripts, pool.map(run_script, scripts)):
            if violations:
                failed += 1
                click.echo(f"{violations[0]}\n  {script_line(script)}")
                if shrink:
                    click.echo(
                        f"  shortened: {script_line(shrink_script(script, violations[0].partition(':')[0]))}"
                    )
    click.echo(f"{len(scripts)} scripts of {scripts[0]['size']} fronts, {failed} violated a rule")
    return int(failed > 0)


def main(arguments: Sequence[str] | None = None) -> int:
    """Returns the exit status; 2 for a bad option, after one line of error that begins with its name."""
    return run_command(commands, arguments, "python -m cleatyoke.emulation")


if __name__ == "__main__":
    sys.exit(main())
