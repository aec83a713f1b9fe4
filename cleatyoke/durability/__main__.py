"""``python -m cleatyoke.durability``: what a front's disk remembers, read offline, checked and explained.
Wants the extra ``tools``. It writes nothing.
"""

from __future__ import annotations

import shutil
import sqlite3
import sys
import tempfile
from pathlib import Path

import click

from cleatyoke.durability.records import FrontState, decode_state
from cleatyoke.durability.store import FILE_NAMES, UnreadableStoreError, read_rows


def _front_in(rows: list[tuple[object, ...]]) -> str:
    """Whose file it is, as its first row says."""
    return str(rows[0][2]) if rows and len(rows[0]) > 2 else ""


@click.group()
def main() -> None:
    """What a front keeps over a loss of power."""


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--front", default="", help="DEPLOYMENT/NAME; else as the files say.")
def check(folder: Path, front: str) -> None:
    """Read both files of FOLDER and say what a start would believe of them. Exit status 1 where something
    is doubtful or missing.
    """
    memory, good = FrontState(), True
    with tempfile.TemporaryDirectory() as copies:
        for name in FILE_NAMES:
            if not (folder / name).exists():
                click.echo(f"{name}: no file")
                good = False
                continue
            for path in folder.glob(f"{name}*"):  # a copy, as even a reader writes beside the file
                if not path.name.startswith(f"{name}.doubtful"):
                    shutil.copy(path, copies)
            try:
                rows = read_rows(Path(copies) / name)
            except (UnreadableStoreError, sqlite3.Error) as error:
                click.echo(f"{name}: not believed: {error}; a start puts it aside")
                good = False
                continue
            front = front or _front_in(rows)
            found, doubts = decode_state(rows, front, name)
            memory = memory.merge(found)
            click.echo(f"{name}: {len(rows)} rows of {front}, {len(doubts)} not believed")
            for doubt in doubts:
                click.echo(f"  {doubt.source}: not believed: {doubt.reason}")
                good = False
    for path in sorted(folder.glob("*.doubtful-*")):
        click.echo(f"{path.name}: put aside by an earlier start")
    click.echo(f"boot number: {memory.incarnation}; the next life begins beyond it, whatever the clock says")
    click.echo(
        f"held by hand: {len(memory.holds.dots_by_node)} boxes; each stays held until somebody releases it"
    )
    for box, dots in sorted(memory.holds.dots_by_node.items()):
        placed = [f"{life.name} (boot {life.boot}, number {number})" for life, number in sorted(dots)]
        click.echo(f"  {box}: placed by {', '.join(placed)}")
    click.echo(f"asked first at the next start: {', '.join(memory.peers) or 'the seeds alone'}")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main(prog_name="python -m cleatyoke.durability")
