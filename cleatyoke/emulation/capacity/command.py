"""``python -m cleatyoke.emulation capacity --out docs``: measure, fit, and make the capacity page again."""

from __future__ import annotations

import importlib.util
import os
import re
from pathlib import Path

import click

PAGE, TABLE, SPREADS = "CAPACITY.md", "capacity.csv", "distribution.csv"
MOST_JOBS = 64
MOST_SIZE = 1_000_000


class Sizes(click.ParamType[tuple[int, ...]]):
    """Whole numbers with commas between them, each above 0, at least two that differ."""

    name = "sizes"

    def convert(
        self, value: str | tuple[int, ...], param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, ...]:
        if isinstance(value, tuple):
            return value
        words = [word.strip() for word in value.split(",")]
        if not all(re.fullmatch(r"[0-9]{1,7}", word) and 1 < int(word) <= MOST_SIZE for word in words):
            self.fail(f"want whole numbers from 2 to {MOST_SIZE}, found {value!r}", param, ctx)
        if len(set(words)) < 2:
            self.fail(f"want two sizes at the least, found {value!r}", param, ctx)
        return tuple(sorted({int(word) for word in words}))


class BadOption(click.ClickException):
    """Its message is one line that begins with the option's name."""


def checked_folder(out: Path) -> Path:
    if not out.is_dir():
        msg = f"--out: {out} is no folder"
        raise BadOption(msg)
    if not os.access(out, os.W_OK):
        msg = f"--out: {out} can't be written"
        raise BadOption(msg)
    return out


@click.command("capacity")
@click.option("--sizes", type=Sizes(), default=(), help="In place of each duty's own: 100,200,400,800.")
@click.option("--seed", "seeds", type=click.IntRange(0), multiple=True, default=(1, 2, 3), show_default=True)
@click.option("--jobs", type=click.IntRange(1, MOST_JOBS), default=4, show_default=True, help="At once.")
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder of the page.")
@click.option(
    "--duty", "chosen", multiple=True, help="Only these duties; the others stay as they are in the table."
)
@click.option("--page-only", is_flag=True, help="Make the page of the table that is there.")
def capacity(
    sizes: tuple[int, ...],
    seeds: tuple[int, ...],
    jobs: int,
    out: Path,
    chosen: tuple[str, ...],
    page_only: bool,
) -> None:
    """Measure what each duty costs at several sizes, and make CAPACITY.md, its table and its plots again."""
    from cleatyoke.emulation.capacity import measure, results

    checked_folder(out)
    duties = [one.duty for one in measure.SERIES]
    if unknown := [name for name in chosen if name not in duties]:
        msg = f"--duty: {unknown[0]!r} is none of {', '.join(duties)}"
        raise BadOption(msg)
    if page_only:
        if not (out / TABLE).is_file():
            msg = f"--page-only: {out / TABLE} is not there"
            raise BadOption(msg)
        write_page(results.Results(results.read_rows(out / TABLE), results.read_spreads(out / SPREADS)), out)
        return
    series = [one for one in measure.SERIES if not chosen or one.duty in chosen]
    todo = measure.plan_jobs(series, seeds, sizes)
    with click.progressbar(length=len(todo), label="measuring") as bar:
        rows = measure.run_jobs(todo, jobs, lambda job: bar.update(1))
    if chosen and (out / TABLE).is_file():
        rows += [row for row in results.read_rows(out / TABLE) if row.duty not in chosen]
        rows.sort(key=lambda row: (row.duty, row.figure, row.size, row.seed))
    results.write_rows(rows, out / TABLE)
    write_page(results.Results(rows, results.read_spreads(out / SPREADS)), out)


def write_page(found: object, out: Path) -> None:
    from cleatyoke.emulation.capacity import page, results

    assert isinstance(found, results.Results)
    path = out / PAGE
    text = page.fill(path.read_text() if path.is_file() else page.blank_page(), found)
    path.write_text(text)
    if importlib.util.find_spec("matplotlib"):
        page.plot(found, out)
    else:
        click.echo("no plots: they want the extra `plots`", err=True)
