"""The staged start: its stages by themselves, and one front whose disk does not answer in time."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import Iterable
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke.config.addresses import read_address
from cleatyoke.config.fronts_file import DEFAULT_FLEET_TIMING, FleetSettings
from cleatyoke.coordination.replicated_holds import HoldSet
from cleatyoke.coordination.staged_start import (
    STAGE_BOUNDS,
    STAGE_ORDER,
    Evidence,
    StagedStart,
    StagePassed,
    StartStage,
)
from cleatyoke.durability.records import FrontState, LoadedState, StorageProblem
from cleatyoke.durability.store import StateDatabase
from cleatyoke.fleet.startup import StagedStartRunner
from cleatyoke.fleet.view import FleetView
from cleatyoke.membership.wire import MemberId
from cleatyoke.process.faults import Faults
from cleatyoke.process.lifecycle import EXIT_MARGIN, FLUSH_MARGIN
from cleatyoke.process.metrics import Metrics

OLD_LEASES_END = 2.05  # seconds from the start
Steps = list[tuple[float, list[StartStage]]]  # seconds since the last step, and the evidence that came


def broken_rules(make: type[StagedStart], steps: Steps) -> list[str]:
    """The rules that a start breaks when it is taken through these steps."""
    start = make(0.0, OLD_LEASES_END)
    now = 0.0
    out: list[str] = []
    came: set[StartStage] = set()
    for after, stages_with_evidence in steps:
        now += after
        came |= set(stages_with_evidence)
        before = start.stage_began
        for one in start.step(now, [Evidence(stage, "word") for stage in stages_with_evidence]):
            if one.stage is StartStage.OLD_LEASES and now < OLD_LEASES_END:
                out.append("lease")
            bound = STAGE_BOUNDS.get(one.stage, 0.0)
            if one.stage not in came and one.stage in STAGE_BOUNDS and now < before + bound:
                out.append("early")
        stages = [one.stage for one in start.passed]
        if stages != STAGE_ORDER[: len(stages)]:
            out.append("order")
        if start.stage is not STAGE_ORDER[len(stages)]:
            out.append("stage")
        if start.stage is not StartStage.OPEN and now >= start.stage_ends_at():
            out.append("bound")
    return out


any_steps = st.lists(
    st.tuples(st.floats(0, 1.5), st.lists(st.sampled_from(STAGE_ORDER), max_size=2)), min_size=1, max_size=12
)


@settings(deadline=None, derandomize=True, max_examples=300)
@given(any_steps)
def test_stages_pass_in_order_by_evidence_or_their_bound_and_a_lease_by_time_alone(steps: Steps) -> None:
    assert broken_rules(StagedStart, steps) == []


class ByTimeAlone(StagedStart):
    """Waits for a while in place of evidence."""

    def step(self, now: float, events: Iterable[Evidence] = ()) -> list[StagePassed]:
        del events
        return super().step(now, [Evidence(stage, "a while") for stage in STAGE_BOUNDS] if now > 0.4 else ())


class TrustsItsDisk(StagedStart):
    """Takes the disk's word for it that the old leases have expired."""

    def step(self, now: float, events: Iterable[Evidence] = ()) -> list[StagePassed]:
        events = list(events)
        if any(event.stage is StartStage.DISK for event in events):
            self.old_leases_end = now
        return super().step(now, events)


def test_wrong_variants_are_caught() -> None:
    everything = list(StartStage)
    assert "early" in broken_rules(ByTimeAlone, [(0.45, [])])
    assert "lease" in broken_rules(TrustsItsDisk, [(0.1, everything), (0.1, [])])
    assert broken_rules(StagedStart, [(0.1, everything), (0.1, []), (1.9, [])]) == []


def test_the_status_says_what_a_start_waits_for() -> None:
    start = StagedStart(10.0, 12.05)
    start.step(10.1, [Evidence(StartStage.DISK, "found"), Evidence(StartStage.ENDPOINT_LIST, "an old list")])
    assert start.status_lines(10.4) == [
        "recovery.stage peers",
        "recovery.passed disk by=found waited=0.100",
        "recovery.waits peers for=0.700",
    ]
    assert [one.passed_by for one in start.step(11.2)] == ["bound", "an old list"]
    assert start.stage is StartStage.OLD_LEASES  # requests are accepted from here on


def free_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


def settings_of_one_front(folder: Path) -> FleetSettings:
    """Of a front with a durable folder, and nobody to ask."""
    listen = read_address(f"127.0.0.1:{free_port()}", "listen")
    return FleetSettings("ours", listen, listen, [], 0, DEFAULT_FLEET_TIMING, durable_folder=folder)


def test_a_disk_that_does_not_answer_is_waited_for_shortly_and_counts_once_it_does(tmp_path: Path) -> None:
    """A front starts while its disk hangs.

    It must go on after the stage's bound, without the hold that the disk has. Once the disk answers, the hold
    counts, and the boot number rises beyond the stored one.
    """
    asyncio.run(start_beside_a_disk_that_hangs(tmp_path), debug=True)


async def start_beside_a_disk_that_hangs(folder: Path) -> None:
    disk_answers = threading.Event()
    stored = FrontState(HoldSet().hold(MemberId("n1", 5), "s-003"), 1 << 52)

    class HangingDatabase(StateDatabase):
        def load(self) -> LoadedState:
            disk_answers.wait(10)
            return LoadedState(stored, [])

    peers = settings_of_one_front(folder)
    faults = Faults(Metrics())
    startup = StagedStartRunner()
    with mock.patch("cleatyoke.fleet.restore.StateDatabase", HangingDatabase):
        durable_state = await startup.restore_durable_state(peers, "n1", faults)
    assert durable_state
    assert [one.passed_by for one in startup.staged_start.passed] == ["bound"]
    view = FleetView(peers, "n1", 1, 1, faults, durable_state.state.boot_number)
    durable_state.attach(view)
    changed: list[frozenset[str]] = []
    view.hold_replication.on_change = lambda held, _released: changed.append(held)
    await view.start()
    await startup.wait_for_peers(view)
    await startup.wait_for_endpoint_list(has_cached_list=True, received=asyncio.Event())
    assert startup.staged_start.stage in (StartStage.OLD_LEASES, StartStage.OPEN)
    disk_answers.set()
    async with asyncio.timeout(5):
        while not durable_state.restored.done() or not view.holds_are_on_disk():  # noqa: ASYNC110 - set by a thread
            await asyncio.sleep(0.01)
    assert (changed, view.membership.id.boot) == ([frozenset({"s-003"})], (1 << 52) + 2)
    view.stop()
    assert faults.metrics.faults == 0
    assert StateDatabase(folder, "ours/n1").load().state.boot_number == (1 << 52) + 2


def test_holds_count_once_they_are_read_though_the_write_of_the_boot_number_hangs(tmp_path: Path) -> None:
    """Guards against requests to a held node: holds were kept back until a slow write was done."""
    asyncio.run(start_beside_a_disk_whose_writes_hang(tmp_path), debug=True)


async def start_beside_a_disk_whose_writes_hang(folder: Path) -> None:
    disk_writes = threading.Event()
    stored = FrontState(HoldSet().hold(MemberId("n1", 5), "s-003"), 1 << 52)

    class HangingWrites(StateDatabase):
        def load(self) -> LoadedState:
            return LoadedState(stored, [])

        def save(self, state: FrontState) -> list[StorageProblem]:
            disk_writes.wait(10)
            return super().save(state)

    peers = settings_of_one_front(folder)
    faults = Faults(Metrics())
    startup = StagedStartRunner()
    with mock.patch("cleatyoke.fleet.restore.StateDatabase", HangingWrites):
        durable_state = await startup.restore_durable_state(peers, "n1", faults)
    assert durable_state
    view = FleetView(peers, "n1", 1, 1, faults, durable_state.state.boot_number)
    durable_state.attach(view)
    assert view.hold_replication.holds.held_nodes() == {"s-003"}
    await view.start()
    # A hold that only this process's memory has is not reported as stored.
    assert not view.holds_are_on_disk()
    disk_writes.set()
    async with asyncio.timeout(5):
        while not view.holds_are_on_disk():  # noqa: ASYNC110 - set by a thread
            await asyncio.sleep(0.01)
    assert view.membership.id.boot > 1 << 52
    view.stop()
    assert faults.metrics.faults == 0


def test_what_the_disk_answers_while_the_sockets_are_opened_is_taken_in(tmp_path: Path) -> None:
    """Guards against a lost boot number and a hold without effect: both came before the sockets were open."""
    asyncio.run(answer_while_sockets_open(tmp_path), debug=True)


async def answer_while_sockets_open(folder: Path) -> None:
    stored = FrontState(HoldSet().hold(MemberId("n1", 5), "s-003"), 1 << 52)
    peers = settings_of_one_front(folder)
    faults = Faults(Metrics())
    view = FleetView(peers, "n1", 1, 1, faults)
    changed: list[frozenset[str]] = []
    view.hold_replication.on_change = lambda held, _released: changed.append(held)
    view.restore_state(stored)
    view.raise_boot_number(stored.boot_number)
    await view.start()
    assert changed == [frozenset({"s-003"})]
    assert view.membership.id.boot > 1 << 52
    view.stop()
    assert faults.metrics.faults == 0


def test_evidence_that_comes_in_the_turn_of_the_bound_counts(tmp_path: Path) -> None:
    """Guards against a stage passed by its bound, though its evidence was there: the loop had run late."""
    asyncio.run(pass_a_stage_late(tmp_path), debug=True)


async def pass_a_stage_late(folder: Path) -> None:
    disk_writes = threading.Event()
    peers = settings_of_one_front(folder)
    startup = StagedStartRunner()

    def block_past_the_bound() -> None:
        disk_writes.set()
        time.sleep(STAGE_BOUNDS[StartStage.DISK])

    startup.loop.call_later(0.05, block_past_the_bound)
    with mock.patch("cleatyoke.fleet.restore.StateDatabase", hanging_writes(disk_writes, first=1)):
        await startup.restore_durable_state(peers, "n1", Faults(Metrics()))
    assert [one.passed_by for one in startup.staged_start.passed] == ["nothing found"]


def test_an_exit_waits_for_a_slow_disk_no_longer_than_it_has_time_for(tmp_path: Path) -> None:
    """Guards against an exit after SIGKILL: the wait for the last write was longer than the exit's margin."""
    asyncio.run(stop_beside_a_slow_disk(tmp_path), debug=True)


async def stop_beside_a_slow_disk(folder: Path) -> None:
    disk_writes = threading.Event()
    peers = settings_of_one_front(folder)
    startup = StagedStartRunner()
    with mock.patch("cleatyoke.fleet.restore.StateDatabase", hanging_writes(disk_writes, first=2)):
        durable_state = await startup.restore_durable_state(peers, "n1", Faults(Metrics()))
    assert durable_state
    view = FleetView(peers, "n1", 1, 1, Faults(Metrics()))
    durable_state.attach(view)
    await view.start()
    view.hold_replication.hold("s-003")
    began = startup.loop.time()
    view.stop(seconds_left=FLUSH_MARGIN)
    assert startup.loop.time() - began < EXIT_MARGIN
    disk_writes.set()


def hanging_writes(disk_writes: threading.Event, first: int) -> type[StateDatabase]:
    """A database whose ``first`` write (1: that of the start), and each later one, waits for the event."""
    writes = 0

    class HangingWrites(StateDatabase):
        def save(self, state: FrontState) -> list[StorageProblem]:
            nonlocal writes
            writes += 1
            if writes >= first:
                disk_writes.wait(10)
            return super().save(state)

    return HangingWrites
