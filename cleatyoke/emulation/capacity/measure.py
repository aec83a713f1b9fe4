"""The measured duties and their sizes, and the execution of all measurements in several processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass
from enum import Enum
from multiprocessing import get_context

from cleatyoke.emulation.capacity import duties, hollow, nodes, processes
from cleatyoke.emulation.capacity.plan import PLAN

Values = dict[str, float]
Run = Callable[[int, int], Values]  # takes a size and a seed


class Kind(Enum):
    """How a figure was obtained: with real code, with hollow fronts, or by calculation."""

    REAL = "real"
    HOLLOW = "hollow"
    PAPER = "paper"


@dataclass(slots=True, frozen=True)
class Series:
    """One duty at several sizes. ``design``: the planned size; ``near``: size of one more run, as close to
    the planned size as one machine can run, which the fit leaves out.
    """

    duty: str
    sized_by: str
    sizes: tuple[int, ...]
    design: float
    kind: Kind
    run: Run
    near: int = 0


@dataclass(slots=True, frozen=True)
class Row:
    """One measured value. ``fitted``: whether it is a point of the fit."""

    duty: str
    figure: str
    sized_by: str
    kind: str
    size: int
    seed: int
    fitted: bool
    value: float


def node_list(size: int, seed: int) -> Values:
    values = asdict(nodes.measure(size, seed))
    del values["nodes"]
    return values


def quiet_members(size: int, seed: int) -> Values:
    return asdict(hollow.measure_idle(size, seed, 4.0 if size > 2000 else hollow.IDLE_SECONDS))


def zone_lost(size: int, seed: int) -> Values:
    return asdict(hollow.zone_lost(size, seed))


def zone_back(size: int, seed: int) -> Values:
    return asdict(hollow.zone_back(size, seed))


def region_back(size: int, seed: int) -> Values:
    return asdict(hollow.region_back(size, seed))


def power_loss(size: int, seed: int) -> Values:
    return asdict(hollow.power_loss(size, seed))


def whole_view(size: int, seed: int) -> Values:
    return asdict(duties.whole_view(size, seed))


def holds(size: int, seed: int) -> Values:
    return asdict(duties.holds(size, seed))


def leases(size: int, seed: int) -> Values:
    return {"cpu": duties.idle_lease_cpu(size, seed)}


def discovery(size: int, seed: int) -> Values:
    return {"calls": duties.discovery_calls(size, seed)}


def cold_part(size: int, seed: int) -> Values:
    return {"wait": duties.cold_wait(size, seed)}


def limit_part(size: int, seed: int) -> Values:
    return {"wait": duties.limit_wait(size)}


def reload_cpu(size: int, seed: int) -> Values:
    return {"cpu": duties.reload_cpu(size, seed)}


def process_start(size: int, seed: int) -> Values:
    return asdict(asyncio.run(processes.start(size, seed)))


def data_path(size: int, seed: int) -> Values:
    return {"cpu": asyncio.run(processes.cpu_per_second(size, seed))}


def connections(size: int, seed: int) -> Values:
    return {"bytes": asyncio.run(processes.connection_bytes(size, seed))}


def halved_sizes(largest: int) -> tuple[int, ...]:
    return tuple(largest // part for part in (16, 8, 4, 2, 1))


MEMBERS, NODES, HOLLOW, REAL, PAPER = PLAN.fronts, PLAN.nodes, Kind.HOLLOW, Kind.REAL, Kind.PAPER
SERIES = (
    Series("members, quiet", "members", halved_sizes(1600), MEMBERS, HOLLOW, quiet_members, near=MEMBERS),
    Series("members, a region back", "members", halved_sizes(400), MEMBERS, HOLLOW, region_back),
    Series("members, a zone lost", "members", halved_sizes(400), MEMBERS, HOLLOW, zone_lost),
    Series("members, a zone back", "members", halved_sizes(400), MEMBERS, HOLLOW, zone_back),
    Series("members, power loss", "members", halved_sizes(400), MEMBERS, HOLLOW, power_loss),
    Series("node list", "nodes", halved_sizes(25_000), NODES, REAL, node_list),
    Series("start of a front", "nodes", halved_sizes(25_000), NODES, REAL, process_start),
    Series("settings in the policy", "nodes", halved_sizes(25_000), NODES, REAL, reload_cpu),
    Series("data path", "requests/s", halved_sizes(640), PLAN.front_statements, REAL, data_path),
    Series(
        "client connections", "connections", halved_sizes(4800), PLAN.front_connections, REAL, connections
    ),
    Series("whole view", "members", halved_sizes(3200), MEMBERS, REAL, whole_view),
    Series("holds by hand", "holds", halved_sizes(3200), MEMBERS, REAL, holds),
    Series("parts of limits", "members", halved_sizes(3200), MEMBERS, REAL, leases),
    Series("calls at discovery", "fronts", halved_sizes(3200), MEMBERS, REAL, discovery),
    Series("a cold node's part", "fronts", halved_sizes(3200), MEMBERS, REAL, cold_part),
    Series("a limit's part", "fronts", halved_sizes(3200), MEMBERS, PAPER, limit_part),
)


@dataclass(slots=True, frozen=True)
class Job:
    series: Series
    size: int
    seed: int
    fitted: bool


def plan_jobs(series: Sequence[Series], seeds: Sequence[int], sizes: Sequence[int]) -> list[Job]:
    """Return the jobs, the hollow fleets and then the largest sizes first, so that the last ones are short.

    ``sizes``, if any, replace those of each series.
    """
    jobs = []
    for one in series:
        chosen = tuple(sizes) or one.sizes
        jobs += [Job(one, size, seed, True) for size in chosen for seed in seeds]
        if one.near and not sizes:
            jobs.append(Job(one, one.near, seeds[0], False))
    return sorted(jobs, key=lambda job: (job.series.kind is not Kind.HOLLOW, -job.size))


def run_job(job: Job) -> list[Row]:
    values = job.series.run(job.size, job.seed)
    one = job.series
    return [
        Row(one.duty, figure, one.sized_by, one.kind.value, job.size, job.seed, job.fitted, float(value))
        for figure, value in values.items()
    ]


def run_jobs(jobs: Sequence[Job], workers: int, done: Callable[[Job], None]) -> list[Row]:
    """Run the jobs in a new process each, so that the memory of one doesn't count for the next."""
    rows: list[tuple[int, list[Row]]] = []
    with ProcessPoolExecutor(workers, get_context("spawn"), max_tasks_per_child=1) as pool:
        futures: dict[Future[list[Row]], int] = {
            pool.submit(run_job, job): number for number, job in enumerate(jobs)
        }
        for future in as_completed(futures):
            rows.append((futures[future], future.result()))
            done(jobs[futures[future]])
    return sorted(flatten(rows), key=lambda row: (row.duty, row.figure, row.size, row.seed))


def flatten(rows: Iterable[tuple[int, list[Row]]]) -> list[Row]:
    return [row for _, found in sorted(rows, key=lambda one: one[0]) for row in found]
