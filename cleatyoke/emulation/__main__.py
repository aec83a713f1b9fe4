"""``python -m cleatyoke.emulation``: play drawn fault scripts, or one from its line; exit status 1 where
one broke. ``python -m cleatyoke.emulation capacity``: make the capacity page.
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
@click.option("--first", type=int, default=1, help="Number of the first script.")
@click.option("--size", type=click.IntRange(1), default=12, show_default=True, help="Fronts.")
@click.option("--jobs", type=click.IntRange(1), default=1, help="Plays at once.")
@click.option("--line", "one", help="Play this one script, as a failed run printed it.")
@click.pass_context
def commands(ctx: click.Context, scripts: int, first: int, size: int, jobs: int, one: str | None) -> None:
    if ctx.invoked_subcommand is None:
        drawn = [draw_script(seed, size) for seed in range(first, first + scripts)]
        ctx.exit(play_scripts([json.loads(one)] if one else drawn, jobs, shorten=not one))


commands.add_command(capacity)
commands.add_command(distribution)


def play_scripts(scripts: list[dict[str, object]], jobs: int, shorten: bool) -> int:
    """Returns 1 where a rule broke."""
    failed = 0
    with ProcessPoolExecutor(jobs) as pool:
        for script, broken in zip(scripts, pool.map(run_script, scripts)):
            if broken:
                failed += 1
                click.echo(f"{broken[0]}\n  {script_line(script)}")
                if shorten:
                    click.echo(
                        f"  shortest: {script_line(shrink_script(script, broken[0].partition(':')[0]))}"
                    )
    click.echo(f"{len(scripts)} scripts of {scripts[0]['size']} fronts, {failed} broke a rule")
    return int(failed > 0)


def main(words: Sequence[str] | None = None) -> int:
    """Returns the exit status; 2, after one line that begins with the option's name, for a bad option."""
    return run_command(commands, words, "python -m cleatyoke.emulation")


if __name__ == "__main__":
    sys.exit(main())
