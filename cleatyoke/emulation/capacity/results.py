"""The measured rows, their fits, and the values extrapolated to the design size."""

from __future__ import annotations

import csv
import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from statistics import fmean

from cleatyoke.emulation.capacity.fit import Fit, fit
from cleatyoke.emulation.capacity.measure import SERIES, Row


@dataclass(slots=True, frozen=True)
class Figure:
    """One figure of one duty. ``near``: mean of the values measured at ``near_size``, the largest size."""

    duty: str
    name: str
    sized_by: str
    kind: str
    fit: Fit
    sizes: tuple[int, ...]
    design: float
    near_size: int
    near: float
    unfinished: int  # runs without a finite value

    def at(self, size: float) -> float:
        return self.fit.at(size)

    @property
    def at_design(self) -> float:
        return self.fit.at(self.design)

    @property
    def range(self) -> tuple[float, float]:
        return self.fit.range_at(self.design, self.sizes[-1])


@dataclass(slots=True, frozen=True)
class PropagationResult:
    """The distribution of changes to all fronts in one situation (``emulation.distribution_measure``):
    seconds from a change until a front knows it, over all changes and fronts; mean bytes per second of a
    front, and the most bytes of one front in a window of 13 s.
    """

    what: str
    lane: str
    changes: int
    p50: float
    p99: float
    worst: float
    mean_bytes: float
    worst_window: float


class Results:
    """``propagation``: results of the distribution; empty if it was not measured."""

    def __init__(self, rows: Sequence[Row], propagation: Sequence[PropagationResult] = ()) -> None:
        self.rows, self.propagation = list(rows), list(propagation)
        self.figures: dict[tuple[str, str], Figure] = {}
        designs = {one.duty: one.design for one in SERIES}
        groups: defaultdict[tuple[str, str], list[Row]] = defaultdict(list)
        for row in self.rows:
            groups[row.duty, row.figure].append(row)
        for key, group in groups.items():
            if found := read_group(group, designs[key[0]]):
                self.figures[key] = found

    def __getitem__(self, key: tuple[str, str]) -> Figure:
        return self.figures[key]

    def at(self, duty: str, figure: str, size: float | None = None) -> float:
        """Return the fitted value at ``size``, by default the design size; NaN if it was not measured."""
        found = self.figures.get((duty, figure))
        if found is None:
            return math.nan
        return found.at_design if size is None else found.at(size)


def read_group(rows: Sequence[Row], design: float) -> Figure | None:
    """Return the figure of these rows; None if fewer than two sizes have a finite value."""
    finite = [row for row in rows if math.isfinite(row.value)]
    fitted = [(float(row.size), row.value) for row in finite if row.fitted]
    if len({size for size, _ in fitted}) < 2:
        return None
    largest = max(row.size for row in finite)
    near = fmean(row.value for row in finite if row.size == largest)
    sizes = tuple(sorted({row.size for row in rows if row.fitted}))
    first = rows[0]
    return Figure(
        duty=first.duty,
        name=first.figure,
        sized_by=first.sized_by,
        kind=first.kind,
        fit=fit(fitted),
        sizes=sizes,
        design=design,
        near_size=largest,
        near=near,
        unfinished=len(rows) - len(finite),
    )


def read_propagation(path: Path) -> list[PropagationResult]:
    """Return the rows of the file; an empty list if it doesn't exist."""
    if not path.is_file():
        return []
    with path.open(newline="") as file:
        return [
            PropagationResult(
                row["what"],
                row["lane"],
                int(row["changes"]),
                *(float(row[name]) for name in ("p50", "p99", "worst", "mean_bytes", "worst_window")),
            )
            for row in csv.DictReader(file)
        ]


def write_rows(rows: Iterable[Row], path: Path) -> None:
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, [one.name for one in fields(Row)])
        writer.writeheader()
        for row in rows:
            writer.writerow({**asdict(row), "value": f"{row.value:.6g}"})


def read_rows(path: Path) -> list[Row]:
    with path.open(newline="") as file:
        return [
            Row(
                duty=row["duty"],
                figure=row["figure"],
                sized_by=row["sized_by"],
                kind=row["kind"],
                size=int(row["size"]),
                seed=int(row["seed"]),
                fitted=row["fitted"] == "True",
                value=float(row["value"]),
            )
            for row in csv.DictReader(file)
        ]
