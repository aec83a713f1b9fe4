"""``python -m cleatyoke.durability``: checks and prints a front's durable state offline.

Needs the extra ``tools``. Never writes to the folder, so it is safe to use while the front runs.
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
    """Inspect the durable state of a front."""


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--front", default="", help="DEPLOYMENT/NAME; default: as stored in the files.")
def check(folder: Path, front: str) -> None:
    """Read both files of FOLDER and print what the front would restore from them.

    Exits with status 1 if a file is missing, or if a file or row would be rejected.
    """
    state = FrontState()
    all_valid = True
    for name in FILE_NAMES:
        rows = _read_rows_from_copy(folder, name)
        if rows is None:
            all_valid = False
            continue
        front = front or _stored_owner(rows)
        loaded = decode_state(rows, front, name)
        state = state.merge(loaded.state)
        _print_file(name, len(rows), front, loaded)
        all_valid = all_valid and not loaded.problems
    for path in sorted(folder.glob("*.doubtful-*")):
        click.echo(f"{path.name}: put aside by an earlier start")
    _print_state(state)
    sys.exit(0 if all_valid else 1)


def _read_rows_from_copy(folder: Path, name: str) -> list[tuple[object, ...]] | None:
    """Return the rows of one file, or print the reason and return None if it can't be used.

    Works on a copy, because SQLite creates WAL files next to a database even when it only reads.
    """
    if not (folder / name).exists():
        click.echo(f"{name}: no file")
        return None
    with tempfile.TemporaryDirectory() as copy_folder:
        for path in folder.glob(f"{name}*"):
            if not path.name.startswith(f"{name}.doubtful"):
                shutil.copy(path, copy_folder)
        try:
            return read_rows(Path(copy_folder) / name)
        except (DurabilityError, sqlite3.Error) as error:
            click.echo(f"{name}: not believed: {error}; a start puts it aside")
            return None


def _stored_owner(rows: list[tuple[object, ...]]) -> str:
    """Return the owner that is stored in the first row."""
    return str(rows[0][2]) if rows and len(rows[0]) > 2 else ""


def _print_file(name: str, row_count: int, front: str, loaded: LoadedState) -> None:
    click.echo(f"{name}: {row_count} rows of {front}, {len(loaded.problems)} not believed")
    for problem in loaded.problems:
        _print_problem(problem)


def _print_problem(problem: StorageProblem) -> None:
    click.echo(f"  {problem.source}: not believed: {problem.reason}")


def _print_state(state: FrontState) -> None:
    held_nodes = state.holds.dots_by_node
    click.echo(f"boot number: {state.boot_number}; the next life begins beyond it, whatever the clock says")
    click.echo(f"held by hand: {len(held_nodes)} boxes; each stays held until somebody releases it")
    for node, dots in sorted(held_nodes.items()):
        placed = [f"{actor.name} (boot {actor.boot}, number {number})" for actor, number in sorted(dots)]
        click.echo(f"  {node}: placed by {', '.join(placed)}")
    click.echo(f"asked first at the next start: {', '.join(state.peers) or 'the seeds alone'}")


if __name__ == "__main__":
    main(prog_name="python -m cleatyoke.durability")
