"""``python -m cleatyoke.durability``: read a front's durable state offline, check it and explain it.

Needs the extra ``tools``. It writes nothing in the folder, also while the front runs.
"""

from __future__ import annotations

import shutil
import sqlite3
import sys
import tempfile
from pathlib import Path

import click

from cleatyoke.durability.errors import DurabilityError
from cleatyoke.durability.records import FrontState, LoadedState, StorageProblem, decode_state
from cleatyoke.durability.store import FILE_NAMES, read_rows


@click.group()
def main() -> None:
    """What a front keeps over a loss of power."""


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--front", default="", help="DEPLOYMENT/NAME; else as the files say.")
def check(folder: Path, front: str) -> None:
    """Read both files of FOLDER and say what a start would trust.

    Exit status 1 where something is not trusted or missing.
    """
    state = FrontState()
    is_good = True
    for name in FILE_NAMES:
        rows = _rows_of_copy(folder, name)
        if rows is None:
            is_good = False
            continue
        front = front or _front_in(rows)
        loaded = decode_state(rows, front, name)
        state = state.merge(loaded.state)
        _print_file(name, len(rows), front, loaded)
        is_good = is_good and not loaded.problems
    for path in sorted(folder.glob("*.doubtful-*")):
        click.echo(f"{path.name}: put aside by an earlier start")
    _print_state(state)
    sys.exit(0 if is_good else 1)


def _rows_of_copy(folder: Path, name: str) -> list[tuple[object, ...]] | None:
    """The rows of one file; None, with the reason printed, where there are none to trust.

    The file is copied first, as even a reader of sqlite writes beside the file.
    """
    if not (folder / name).exists():
        click.echo(f"{name}: no file")
        return None
    with tempfile.TemporaryDirectory() as copies:
        for path in folder.glob(f"{name}*"):
            if not path.name.startswith(f"{name}.doubtful"):
                shutil.copy(path, copies)
        try:
            return read_rows(Path(copies) / name)
        except (DurabilityError, sqlite3.Error) as error:
            click.echo(f"{name}: not believed: {error}; a start puts it aside")
            return None


def _front_in(rows: list[tuple[object, ...]]) -> str:
    """Whose file it is, as its first row says."""
    return str(rows[0][2]) if rows and len(rows[0]) > 2 else ""


def _print_file(name: str, row_count: int, front: str, loaded: LoadedState) -> None:
    click.echo(f"{name}: {row_count} rows of {front}, {len(loaded.problems)} not believed")
    for problem in loaded.problems:
        _print_problem(problem)


def _print_problem(problem: StorageProblem) -> None:
    click.echo(f"  {problem.source}: not believed: {problem.reason}")


def _print_state(state: FrontState) -> None:
    held = state.holds.dots_by_node
    click.echo(f"boot number: {state.boot_number}; the next life begins beyond it, whatever the clock says")
    click.echo(f"held by hand: {len(held)} boxes; each stays held until somebody releases it")
    for node, dots in sorted(held.items()):
        placed = [f"{actor.name} (boot {actor.boot}, number {number})" for actor, number in sorted(dots)]
        click.echo(f"  {node}: placed by {', '.join(placed)}")
    click.echo(f"asked first at the next start: {', '.join(state.peers) or 'the seeds alone'}")


if __name__ == "__main__":
    main(prog_name="python -m cleatyoke.durability")
