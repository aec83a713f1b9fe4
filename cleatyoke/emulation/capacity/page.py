"""Generates the tables and plots of ``docs/CAPACITY.md``.

The tables stand between markers; the text outside the markers is written by hand.
"""

from __future__ import annotations

import importlib
import math
from collections.abc import Iterator, Sequence
from pathlib import Path

from cleatyoke.emulation.capacity.needs import Need, all_needs, workers
from cleatyoke.emulation.capacity.plan import PLAN
from cleatyoke.emulation.capacity.results import Figure, Results
from cleatyoke.emulation.capacity.situations import situations

BEGIN, END = "<!-- table {}: made by the command -->", "<!-- end of table {} -->"
PLOTS = (
    ("node list", ("change", "primary", "rest", "request"), "processor seconds of one front, by nodes"),
    ("node list", ("take_cpu", "again_cpu", "longest_turn", "new_object"), "whole list, new object: seconds"),
    ("members, quiet", ("bytes", "datagrams"), "a member's bytes and datagrams a second, at rest"),
    ("members, a zone lost", ("mean_bytes", "most_bytes"), "bytes in 13 s after a zone is lost"),
    ("members, a region back", ("mean_bytes", "most_bytes"), "bytes in 13 s after a region is back"),
    ("data path", ("cpu",), "processor seconds a second of one front, by requests a second"),
)


def rounded(value: float) -> str:
    """Format a number with three significant digits, and k or M for large ones."""
    if math.isnan(value):
        return "not measured"
    if math.isinf(value):
        return "-"
    if value == 0:
        return "0"
    if abs(value) >= 1e6:
        return f"{value / 1e6:.3g} M"
    if abs(value) >= 1e4:
        return f"{value / 1e3:.3g} k"
    return f"{value:.3g}"


def markdown_table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [f"| {' | '.join(head)} |", f"|{' --- |' * len(head)}"]
    return "\n".join(lines + [f"| {' | '.join(row)} |" for row in rows])


def slopes_table(results: Results) -> str:
    rows = []
    for found in sorted(results.figures.values(), key=lambda one: (one.duty, one.name)):
        low, high = found.range
        rows.append(
            [
                found.duty,
                found.name,
                f"{found.sizes[0]:,} to {found.sizes[-1]:,} {found.sized_by}",
                f"{found.fit.exponent:.2f} ({found.fit.error:.2f})",
                f"{found.fit.residual:.2f}",
                f"{rounded(found.at_design)} ({rounded(low)} to {rounded(high)}) at {found.design:,.0f}",
                format_nearest(found),
                found.kind,
            ]
        )
    head = ("duty", "figure", "sizes", "exponent (error)", "residual", "at the design size (range)")
    return markdown_table((*head, "measured nearest, fit there", "real, hollow, paper"), rows)


def format_nearest(found: Figure) -> str:
    return f"{rounded(found.near)} at {found.near_size:,}, {rounded(found.at(found.near_size))}"


def need_row(need: Need) -> list[str]:
    if not need.mechanism:
        return [need.duty, need.asked, "-", "none carries it", f"nothing: {need.why}", need.kind]
    why = f"; {need.why}" if need.why else ""
    budget = f"{rounded(need.budget)} {need.unit}"
    return [
        need.duty,
        rounded(need.need),
        budget,
        rounded(need.factor),
        need.mechanism + why,
        need.kind,
    ]


def ranking_table(results: Results) -> str:
    rows = [[str(place), *need_row(need)] for place, need in enumerate(all_needs(results), 1)]
    return markdown_table(("", "duty", "need", "budget", "need / budget", "carried by", "figure"), rows)


def situations_table(results: Results) -> str:
    rows = []
    for one in situations(results):
        rows.append(
            [
                one.name,
                f"{rounded(one.bytes)} ({rounded(one.bytes / (13 * PLAN.bytes_s))})",
                f"{rounded(one.cpu)} ({rounded(one.cpu / (13 * PLAN.core))})",
                rounded(one.settles),
                one.missing_duty or "nothing",
                one.kind,
            ]
        )
    head = ("situation", "bytes in the worst 13 s (of 39 KB)", "processor s in them (of 0.53)")
    return markdown_table((*head, "s until in force, at 3 KB/s", "lacks", "figures"), rows)


def workers_table(results: Results) -> str:
    count = workers(results)
    rows = [
        ["requests a second of one process, one core full", rounded(requests_per_core(results))],
        ["processes of a front, at 0.7 of a core each", str(count)],
        ["members, watches, parts of limits, if each process is one", f"{PLAN.fronts * count:,}"],
    ]
    return markdown_table(("data path", "figure"), rows)


def requests_per_core(results: Results) -> float:
    """Return the requests per second that keep one core busy."""
    return PLAN.front_statements / results.at("data path", "cpu")


def tables(results: Results) -> Iterator[tuple[str, str]]:
    yield "ranking", ranking_table(results)
    yield "situations", situations_table(results)
    yield "workers", workers_table(results)
    yield "slopes", slopes_table(results)


def fill_tables(text: str, results: Results) -> str:
    """Return the page with its tables regenerated. Raises ``ValueError`` if a marker is missing."""
    for name, content in tables(results):
        begin, end = BEGIN.format(name), END.format(name)
        before, found, rest = text.partition(begin)
        _, closed, after = rest.partition(end)
        if not found or not closed:
            msg = f"the page lacks the markers of the table {name}"
            raise ValueError(msg)
        text = f"{before}{begin}\n\n{content}\n\n{end}{after}"
    return text


def empty_page() -> str:
    """Return a page with only the markers of the tables, for a folder without a page."""
    blocks = [f"## {name}\n\n{BEGIN.format(name)}\n{END.format(name)}\n" for name, _ in tables(Results([]))]
    return "# Capacity\n\n" + "\n".join(blocks)


def plot(results: Results, out: Path) -> None:
    """Write the plots; needs the extra ``plots``."""
    matplotlib = importlib.import_module("matplotlib")
    matplotlib.use("svg")
    matplotlib.rcParams.update({"svg.hashsalt": "capacity", "svg.fonttype": "none"})
    pyplot = importlib.import_module("matplotlib.pyplot")
    for duty, names, title in PLOTS:
        found = [results.figures[duty, name] for name in names if (duty, name) in results.figures]
        if not found:
            continue
        picture, axes = pyplot.subplots(figsize=(6, 4))
        for one in found:
            points = [
                (row.size, row.value)
                for row in results.rows
                if (row.duty, row.figure) == (duty, one.name) and math.isfinite(row.value)
            ]
            (dots,) = axes.plot(*zip(*points), "o", label=one.name, markersize=4)
            line = [one.sizes[0], max(one.design, one.sizes[-1])]
            axes.plot(line, [one.at(size) for size in line], "--", color=dots.get_color(), linewidth=1)
        axes.axvline(found[0].design, color="grey", linewidth=0.5)
        axes.set(xscale="log", yscale="log", xlabel=found[0].sized_by, title=title)
        axes.legend()
        name = f"{duty}-{names[0]}".replace(", ", "-").replace(" ", "-").replace("_", "-")
        picture.savefig(out / f"capacity-{name}.svg", metadata={"Date": None})
        pyplot.close(picture)
