"""``python -m cleatyoke.emulation capacity --out docs``: measure, fit, and regenerate the capacity page."""

from __future__ import annotations

import importlib.util
import os
import re
from pathlib import Path

import click

PAGE, TABLE, PROPAGATION_TABLE = "CAPACITY.md", "capacity.csv", "distribution.csv"
MAX_JOBS = 64
MAX_SIZE = 1_000_000


class Sizes(click.ParamType[tuple[int, ...]]):
    """Comma-separated whole numbers from 2 to ``MAX_SIZE``, at least two different ones."""

    name = "sizes"

    def convert(
        self, value: str | tuple[int, ...], param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, ...]:
        if isinstance(value, tuple):
            return value
        words = [word.strip() for word in value.split(",")]
        if not all(re.fullmatch(r"[0-9]{1,7}", word) and 1 < int(word) <= MAX_SIZE for word in words):
            self.fail(f"want whole numbers from 2 to {MAX_SIZE}, found {value!r}", param, ctx)
        if len(set(words)) < 2:
            self.fail(f"want at least two different sizes, found {value!r}", param, ctx)
        return tuple(sorted({int(word) for word in words}))


class OptionError(click.ClickException):
    """An invalid option. The message is one line that begins with the name of the option."""


def require_writable_folder(out: Path) -> Path:
    """Return the folder. Raises ``OptionError`` if it doesn't exist or is not writable."""
    if not out.is_dir():
        msg = f"--out: {out} is not a folder"
        raise OptionError(msg)
    if not os.access(out, os.W_OK):
        msg = f"--out: {out} is not writable"
        raise OptionError(msg)
    return out


@click.command("capacity")
@click.option(
    "--sizes",
    type=Sizes(),
    default=(),
    help="Sizes to measure in place of each duty's own, such as 100,200,400,800.",
)
@click.option("--seed", "seeds", type=click.IntRange(0), multiple=True, default=(1, 2, 3), show_default=True)
@click.option(
    "--jobs", type=click.IntRange(1, MAX_JOBS), default=4, show_default=True, help="Parallel processes."
)
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder of the page.")
@click.option(
    "--duty",
    "chosen",
    multiple=True,
    help="Measure only this duty (repeatable); the table keeps the rows of the others.",
)
@click.option(
    "--page-only", is_flag=True, help="Generate the page from the existing table, without measuring."
)
def capacity(
    sizes: tuple[int, ...],
    seeds: tuple[int, ...],
    jobs: int,
    out: Path,
    chosen: tuple[str, ...],
    page_only: bool,
) -> None:
    """Measure the cost of each duty at several sizes; regenerate CAPACITY.md, its table and its plots."""
    from cleatyoke.emulation.capacity import measure, results

    require_writable_folder(out)
    duties = [one.duty for one in measure.SERIES]
    if unknown := [name for name in chosen if name not in duties]:
        msg = f"--duty: {unknown[0]!r} is not one of {', '.join(duties)}"
        raise OptionError(msg)
    if page_only:
        if not (out / TABLE).is_file():
            msg = f"--page-only: {out / TABLE} does not exist"
            raise OptionError(msg)
        write_page(
            results.Results(
                results.read_rows(out / TABLE), results.read_propagation(out / PROPAGATION_TABLE)
            ),
            out,
        )
        return
    series = [one for one in measure.SERIES if not chosen or one.duty in chosen]
    todo = measure.plan_jobs(series, seeds, sizes)
    with click.progressbar(length=len(todo), label="measuring") as bar:
        rows = measure.run_jobs(todo, jobs, lambda job: bar.update(1))
    if chosen and (out / TABLE).is_file():
        rows += [row for row in results.read_rows(out / TABLE) if row.duty not in chosen]
        rows.sort(key=lambda row: (row.duty, row.figure, row.size, row.seed))
    results.write_rows(rows, out / TABLE)
    write_page(results.Results(rows, results.read_propagation(out / PROPAGATION_TABLE)), out)


def write_page(found: object, out: Path) -> None:
    from cleatyoke.emulation.capacity import page, results

    assert isinstance(found, results.Results)
    path = out / PAGE
    text = page.fill_tables(path.read_text() if path.is_file() else page.empty_page(), found)
    path.write_text(text)
    if importlib.util.find_spec("matplotlib"):
        page.plot(found, out)
    else:
        click.echo("no plots: the extra `plots` is not installed", err=True)
