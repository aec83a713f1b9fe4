"""``python -m cleatyoke.emulation distribution --out docs``: measure the latency and the cost of the
distribution of configuration at the planned size, with hollow subscribers in virtual time and a real relay on
loopback.
"""

from __future__ import annotations

import asyncio
import contextlib
import csv
import importlib
import importlib.util
import random
import sys
import tempfile
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass, fields
from pathlib import Path

import click

from cleatyoke.distribution.records import FORMAT_VERSION, Lane, Poll, Position, decode_reply, encode
from cleatyoke.distribution.subscriber_messages import SubscriberTiming
from cleatyoke.emulation.capacity.command import OptionError, require_writable_folder
from cleatyoke.emulation.capacity.page import BEGIN, END, markdown_table, rounded
from cleatyoke.emulation.capacity.plan import HOUR, PLAN
from cleatyoke.emulation.capacity.processes import ProcessUsage
from cleatyoke.emulation.capacity.results import PropagationResult
from cleatyoke.emulation.distribution import LatencySamples, Tree
from cleatyoke.testbed.runner import ROOT
from cleatyoke.transport.framing import read_message, write_message

SETTINGS, NODES = 1000, 200  # keys that every front has before a measurement begins
VALUE = 200  # bytes of a changed value
UNLIMITED_TIMING = SubscriberTiming(bytes_per_second=1e9, burst_bytes=1e9)  # for the initial complete copy
WINDOW = 13.0
RELAY_SECONDS = 10.0
PAGE, TABLE = "distribution.md", "distribution.csv"


def settled_tree(fronts: int, relays: int, regions: int, seed: int) -> Tree:
    """Return a tree whose subscribers all have a complete copy, with the usual byte budget from here on."""
    tree = Tree(fronts, relays, regions, seed, timing=UNLIMITED_TIMING)
    for number in range(SETTINGS):
        tree.put(Lane.SETTINGS, f"db/{number:05d}", tree.rng.randbytes(VALUE))
    for number in range(NODES):
        tree.put(Lane.NODES, f"nodes/{number:05d}", tree.rng.randbytes(150))
    if tree.settle(120.0, 1.0) is None:
        msg = "not all fronts have a complete copy within 120 s"
        raise RuntimeError(msg)
    for front in tree.subscribers.values():
        front.timing = SubscriberTiming()
        front.budget.level = 0.0
    tree.run(tree.now + 5.0)
    tree.measured = LatencySamples()
    return tree


def percentile(values: Sequence[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * part))]


def measure_bytes(tree: Tree, seconds: float) -> tuple[float, float]:
    """Let time pass; return the mean bytes per second of a front, and the most bytes of one in a window."""
    began, first, most = tree.now, tree.bytes(), 0
    before = first
    while tree.now < began + seconds:
        tree.run(min(tree.now + WINDOW, began + seconds))
        now = tree.bytes()
        most = max(most, *(now[name] - before[name] for name in now))
        before = now
    growth = [before[name] - first[name] for name in first]
    return sum(growth) / len(growth) / seconds, most


def summarize(what: str, tree: Tree, seconds: float) -> Iterator[PropagationResult]:
    mean, most = measure_bytes(tree, seconds)
    for lane in Lane:
        found = tree.measured.latencies[lane]
        if found:
            changes = len(found) // len(tree.subscribers)
            yield PropagationResult(
                *(what, lane.name.lower(), changes, percentile(found, 0.5), percentile(found, 0.99)),
                *(max(found), mean, most),
            )


def measure_latencies(fronts: int, relays: int, regions: int, seed: int) -> list[PropagationResult]:
    tree = settled_tree(fronts, relays, regions, seed)
    keys = [f"db/{number:05d}" for number in range(SETTINGS)]
    nodes = [f"nodes/{number:05d}" for number in range(NODES)]
    gaps = [tree.now + number / PLAN.config_rate for number in range(50)]
    tree.put_at(gaps, Lane.SETTINGS, keys, VALUE)
    found = list(summarize("mean rate", tree, 98.0))
    tree.run(tree.now + 10)
    tree.measured = LatencySamples()
    step = PLAN.burst_seconds / PLAN.burst_changes
    tree.put_at(
        [tree.now + step * number for number in range(PLAN.burst_changes)], Lane.SETTINGS, keys, VALUE
    )
    tree.put_at([tree.now + 10.0 * number for number in range(6)], Lane.NODES, nodes, 150)
    found += summarize("burst, 500 in 60 s", tree, 91.0)
    tree.run(tree.now + 10)
    tree.measured = LatencySamples()
    lost = tree.relay_names[:3]
    for name in lost:
        tree.kill_relay(name)
    tree.put_at([tree.now + 2.0 * number for number in range(10)], Lane.NODES, nodes, 150)
    found += summarize("changes of primary, 3 of the relays just killed", tree, 39.0)
    return found


def measure_catch_up(fronts: int, relays: int, regions: int, seed: int) -> tuple[float, float, float]:
    """Cut a region off for an hour. Return the mean bytes of a front of it for catching up, the seconds until
    all fronts are up to date, and the number of missed changes. A small number of fronts is enough, since
    each catches up independently.
    """
    tree = settled_tree(fronts, relays, regions, seed)
    keys = [f"db/{number:05d}" for number in range(SETTINGS)]
    missed = round(PLAN.config_rate * HOUR)
    tree.cut = {regions - 1}
    tree.put_at([tree.now + HOUR * number / missed for number in range(missed)], Lane.SETTINGS, keys, VALUE)
    tree.run(tree.now + HOUR)
    behind = [name for name in tree.subscribers if tree.regions[name] == regions - 1]
    before = tree.bytes()
    tree.cut = set()
    elapsed = tree.settle(900.0, 1.0) or 900.0
    after = tree.bytes()
    return sum(after[name] - before[name] for name in behind) / len(behind), elapsed, float(missed)


@dataclass(slots=True, frozen=True)
class RelayCosts:
    """Costs of a real relay process with ``subscribers`` on loopback, at the usual poll interval."""

    subscribers: int
    cpu: float  # fraction of a core
    resident: int
    bytes_s: float


async def measure_relay(subscribers: int, seed: int) -> RelayCosts:
    """Measure a relay whose subscribers only poll, each from a position at which it is up to date."""
    words = [sys.executable, "-m", "cleatyoke.distribution"]
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        (folder / "settings").mkdir()
        for number in range(SETTINGS):
            (folder / "settings" / f"{number:05d}.json").write_text(f'"{"x" * VALUE}"')
        source = await start_process(
            words, "source", ["--folder", str(folder), "--epoch", str(folder / "epoch")]
        )
        relay = await start_process(
            words, "relay", ["--name", "r", "--upstream", f"127.0.0.1:{source[1]}", "--most", "500"]
        )
        try:
            return await poll_relay(relay[0].pid, relay[1], subscribers, seed)
        finally:
            for process, _ in (source, relay):
                process.kill()
                await process.wait()


async def start_process(
    words: list[str], role: str, options: list[str]
) -> tuple[asyncio.subprocess.Process, int]:
    process = await asyncio.create_subprocess_exec(
        *(*words, role, "--listen", "127.0.0.1:0", "--deployment", "d", *options),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr
    while line := await process.stderr.readline():
        if b"event='ready'" in line:
            return process, int(line.split(b"port=")[1].split(b")")[0])
    msg = f"the {role} process exited before it was ready"
    raise RuntimeError(msg)


async def poll_relay(pid: int, port: int, subscribers: int, seed: int) -> RelayCosts:
    loop, rng, size = asyncio.get_running_loop(), random.Random(seed), 0
    epoch, positions = await current_position(port)
    used, began = ProcessUsage.of(pid), loop.time()
    end = began + RELAY_SECONDS

    async def subscriber(number: int) -> None:
        nonlocal size
        await asyncio.sleep(rng.random() * SubscriberTiming().poll_interval)
        while loop.time() < end:
            poll = Poll("d", FORMAT_VERSION, f"f{number}", 1, epoch, positions, 3000)
            size += await exchange(port, encode(poll))
            await asyncio.sleep(SubscriberTiming().poll_interval * rng.uniform(0.75, 1.25))

    await asyncio.gather(*(subscriber(number) for number in range(subscribers)))
    after, elapsed = ProcessUsage.of(pid), loop.time() - began
    return RelayCosts(subscribers, (after.cpu - used.cpu) / elapsed, after.resident, size / elapsed)


async def exchange(port: int, data: bytes) -> int:
    """Make one exchange; return the bytes of the poll and the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        await write_message(writer, data)
        return len(data) + len(await read_message(reader, 1 << 20))
    finally:
        writer.transport.abort()


async def current_position(port: int) -> tuple[int, list[Position]]:
    """Return the epoch and the position of each lane at which a subscriber is up to date."""
    for _ in range(100):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await write_message(
            writer, encode(Poll("d", FORMAT_VERSION, "f", 1, 0, [Position(), Position()], 1 << 19))
        )
        reply = decode_reply("d", await read_message(reader, 1 << 20))
        writer.transport.abort()
        if reply.lanes:
            return reply.epoch, [Position(part.up_to, None) for part in reply.lanes]
        await asyncio.sleep(0.1)
    msg = "the relay has no complete copy"
    raise RuntimeError(msg)


@dataclass(slots=True, frozen=True)
class Baseline:
    """Bytes of a front: for catching up after an hour's cut, and per second at the mean rate of changes."""

    name: str
    returned: float
    usual: float
    kind: str


def baselines(missed: int, state: int) -> list[Baseline]:
    """Return the calculated bytes of other designs, with the size of an entry as it is on the wire."""
    entry = VALUE + 40.0
    return [
        Baseline("whole copy on each change", float(state), PLAN.config_rate * state, "paper"),
        Baseline("changes without coalescing", missed * entry, PLAN.config_rate * entry, "paper"),
    ]


def outcome_table(found: Sequence[PropagationResult]) -> str:
    rows = [
        [
            one.what,
            one.lane,
            str(one.changes),
            f"{one.p50:.1f}",
            f"{one.p99:.1f}",
            f"{one.worst:.1f}",
            rounded(one.mean_bytes),
            f"{rounded(one.worst_window)} ({one.worst_window / (WINDOW * PLAN.bytes_s):.2f})",
        ]
        for one in found
    ]
    head = ("situation", "lane", "changes", "p50 s", "p99 s", "worst s", "bytes a front and second, mean")
    return markdown_table((*head, "most in 13 s (of 39 KB)"), rows)


def relay_table(found: Sequence[RelayCosts]) -> str:
    rows = [
        [str(one.subscribers), f"{one.cpu:.3f}", f"{one.resident / 1e6:.0f}", rounded(one.bytes_s)]
        for one in found
    ]
    return markdown_table(("subscribers", "processor, of a core", "resident MB", "bytes/s"), rows)


def return_table(found: Sequence[Baseline], elapsed: float) -> str:
    rows = [
        [
            one.name,
            rounded(one.returned),
            f"{one.returned / PLAN.bytes_s:.0f}",
            rounded(one.usual),
            one.kind,
        ]
        for one in found
    ]
    head = ("way", "bytes of a front's return after an hour's cut", "s of it at 3 KB/s")
    text = markdown_table((*head, "bytes a second at the mean rate", "figure"), rows)
    return f"{text}\n\nAll fronts of the region had all {elapsed:.0f} s after the cut, in virtual time."


def fill_table(text: str, name: str, content: str) -> str:
    begin, end = BEGIN.format(name), END.format(name)
    before, found, rest = text.partition(begin)
    _, closed, after = rest.partition(end)
    if not found or not closed:
        msg = f"the page lacks the markers of the table {name}"
        raise ValueError(msg)
    return f"{before}{begin}\n\n{content}\n\n{end}{after}"


def plot(found: Sequence[PropagationResult], out: Path) -> None:
    matplotlib = importlib.import_module("matplotlib")
    matplotlib.use("svg")
    matplotlib.rcParams.update({"svg.hashsalt": "distribution", "svg.fonttype": "none"})
    pyplot = importlib.import_module("matplotlib.pyplot")
    picture, axes = pyplot.subplots(figsize=(7, 3.5))
    names = [f"{one.what}\n{one.lane}" for one in found]
    for figure, color in (("worst", "#ccd"), ("p99", "#99b"), ("p50", "#446")):
        axes.barh(names, [getattr(one, figure) for one in found], color=color, label=figure)
    axes.axvline(PLAN.config_within, color="grey", linewidth=0.8)
    axes.set(xlabel="seconds from a change until a front knows it", title="3,100 hollow fronts, virtual time")
    axes.legend()
    picture.tight_layout()
    picture.savefig(out / "distribution-latency.svg", metadata={"Date": None})
    pyplot.close(picture)


@click.command("distribution")
@click.option("--fronts", type=click.IntRange(1, 100_000), default=PLAN.fronts, show_default=True)
@click.option("--relays", type=click.IntRange(1, 10_000), default=PLAN.control_machines, show_default=True)
@click.option("--regions", type=click.IntRange(1, 1000), default=PLAN.regions, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder of the page.")
def distribution(fronts: int, relays: int, regions: int, seed: int, out: Path) -> None:
    """Measure the distribution of configuration and regenerate its tables and plot."""
    require_writable_folder(out)
    if relays < regions:
        msg = f"--relays: want at least one per region, found {relays}"
        raise OptionError(msg)
    steps: list[tuple[str, Callable[[], object]]] = [
        ("in virtual time", lambda: measure_latencies(fronts, relays, regions, seed)),
        ("a return", lambda: measure_catch_up(min(fronts, 90), min(relays, 9), 3, seed)),
        ("relays", lambda: [asyncio.run(measure_relay(count, seed)) for count in (103, 155)]),
    ]
    done: list[object] = []
    with click.progressbar(
        steps, label="measuring", item_show_func=lambda step: step[0] if step else ""
    ) as bar:
        for _, step in bar:
            done.append(step())
    write(done, out)


def write(done: Sequence[object], out: Path) -> None:
    found, returned, relays = done
    assert isinstance(found, list) and isinstance(returned, tuple) and isinstance(relays, list)
    cost, elapsed, missed = returned
    state = SETTINGS * (VALUE + 40) + NODES * 190
    built = Baseline(f"as built, {missed:.0f} changes missed", cost, found[0].mean_bytes, "hollow")
    sums = [built, *baselines(int(missed), state)]
    with (out / TABLE).open("w", newline="") as file:
        writer = csv.DictWriter(file, [one.name for one in fields(PropagationResult)])
        writer.writeheader()
        writer.writerows(asdict(one) for one in found)
    path = out / PAGE
    text = path.read_text() if path.is_file() else empty_page()
    for name, content in (
        ("latency", outcome_table(found)),
        ("relay", relay_table(relays)),
        ("return", return_table(sums, elapsed)),
    ):
        text = fill_table(text, name, content)
    path.write_text(text)
    if importlib.util.find_spec("matplotlib"):
        plot(found, out)


def empty_page() -> str:
    blocks = [f"{BEGIN.format(name)}\n{END.format(name)}\n" for name in ("latency", "relay", "return")]
    return "# Distribution\n\n" + "\n".join(blocks)
