"""The staged start: its stages in isolation, and a front whose disk is slow or hangs."""

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

OLD_LEASES_END = 2.05  # seconds after the start
Steps = list[tuple[float, list[StartStage]]]  # seconds since the previous step, and the evidence received


def violated_rules(start_class: type[StagedStart], steps: Steps) -> list[str]:
    """Return the rules that a start violates in these steps."""
    start = start_class(0.0, OLD_LEASES_END)
    now = 0.0
    violations: list[str] = []
    received: set[StartStage] = set()
    for elapsed, stages_with_evidence in steps:
        now += elapsed
        received |= set(stages_with_evidence)
        stage_began = start.stage_began
        for passed in start.step(now, [Evidence(stage, "word") for stage in stages_with_evidence]):
            if passed.stage is StartStage.OLD_LEASES and now < OLD_LEASES_END:
                violations.append("lease")
            bound = STAGE_BOUNDS.get(passed.stage, 0.0)
            if passed.stage not in received and passed.stage in STAGE_BOUNDS and now < stage_began + bound:
                violations.append("early")
        stages = [passed.stage for passed in start.passed]
        if stages != STAGE_ORDER[: len(stages)]:
            violations.append("order")
        if start.stage is not STAGE_ORDER[len(stages)]:
            violations.append("stage")
        if start.stage is not StartStage.OPEN and now >= start.stage_ends_at():
            violations.append("bound")
    return violations


start_steps = st.lists(
    st.tuples(st.floats(0, 1.5), st.lists(st.sampled_from(STAGE_ORDER), max_size=2)), min_size=1, max_size=12
)


@settings(deadline=None, derandomize=True, max_examples=300)
@given(start_steps)
def test_staged_start_with_any_evidence_passes_in_order_and_old_leases_only_by_time(steps: Steps) -> None:
    assert violated_rules(StagedStart, steps) == []


class FixedDelayStart(StagedStart):
    """Faulty: passes stages after a fixed delay instead of by evidence."""

    def step(self, now: float, events: Iterable[Evidence] = ()) -> list[StagePassed]:
        del events
        return super().step(now, [Evidence(stage, "a while") for stage in STAGE_BOUNDS] if now > 0.4 else ())


class DiskEndsLeasesStart(StagedStart):
    """Faulty: treats the old leases as expired once the disk has been read."""

    def step(self, now: float, events: Iterable[Evidence] = ()) -> list[StagePassed]:
        events = list(events)
        if any(event.stage is StartStage.DISK for event in events):
            self.old_leases_end = now
        return super().step(now, events)


def test_violated_rules_of_faulty_variants_are_reported() -> None:
    all_stages = list(StartStage)
    assert "early" in violated_rules(FixedDelayStart, [(0.45, [])])
    assert "lease" in violated_rules(DiskEndsLeasesStart, [(0.1, all_stages), (0.1, [])])
    assert violated_rules(StagedStart, [(0.1, all_stages), (0.1, []), (1.9, [])]) == []


def test_status_lines_during_a_start_show_the_current_stage() -> None:
    start = StagedStart(10.0, 12.05)
    start.step(10.1, [Evidence(StartStage.DISK, "found"), Evidence(StartStage.ENDPOINT_LIST, "an old list")])
    assert start.status_lines(10.4) == [
        "recovery.stage peers",
        "recovery.passed disk by=found waited=0.100",
        "recovery.waits peers for=0.700",
    ]
    assert [passed.passed_by for passed in start.step(11.2)] == ["bound", "an old list"]
    assert start.stage is StartStage.OLD_LEASES  # requests are accepted from here on


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def single_front_settings(folder: Path) -> FleetSettings:
    """Settings of a front with durable state and without seeds."""
    listen = read_address(f"127.0.0.1:{free_port()}", "listen")
    return FleetSettings("ours", listen, listen, [], 0, DEFAULT_FLEET_TIMING, durable_folder=folder)


def test_start_on_a_hanging_disk_continues_and_applies_its_state_later(tmp_path: Path) -> None:
    """A front starts while its disk hangs.

    It must continue after the stage's time limit without the stored hold. Once the disk answers, the hold
    must apply and the boot number must rise above the stored one.
    """
    asyncio.run(start_on_hanging_disk(tmp_path), debug=True)


async def start_on_hanging_disk(folder: Path) -> None:
    reads_allowed = threading.Event()
    stored = FrontState(HoldSet().hold(MemberId("n1", 5), "s-003"), 1 << 52)

    class HangingDatabase(StateDatabase):
        def load(self) -> LoadedState:
            reads_allowed.wait(10)
            return LoadedState(stored, [])

    fleet_settings = single_front_settings(folder)
    faults = Faults(Metrics())
    startup = StagedStartRunner()
    with mock.patch("cleatyoke.fleet.restore.StateDatabase", HangingDatabase):
        durable_state = await startup.restore_durable_state(fleet_settings, "n1", faults)
    assert durable_state
    assert [passed.passed_by for passed in startup.staged_start.passed] == ["bound"]
    view = FleetView(fleet_settings, "n1", 1, 1, faults, durable_state.state.boot_number)
    durable_state.attach(view)
    changed: list[frozenset[str]] = []
    view.hold_replication.on_change = lambda held, _released: changed.append(held)
    await view.start()
    await startup.wait_for_peers(view)
    await startup.wait_for_endpoint_list(has_cached_list=True, received=asyncio.Event())
    assert startup.staged_start.stage in (StartStage.OLD_LEASES, StartStage.OPEN)
    reads_allowed.set()
    async with asyncio.timeout(5):
        while not durable_state.restored.done() or not view.holds_are_on_disk():  # noqa: ASYNC110 - set by a thread
            await asyncio.sleep(0.01)
    assert (changed, view.membership.id.boot) == ([frozenset({"s-003"})], (1 << 52) + 2)
    view.stop()
    assert faults.metrics.faults == 0
    assert StateDatabase(folder, "ours/n1").load().state.boot_number == (1 << 52) + 2


def test_restored_holds_while_the_boot_number_write_hangs_apply_at_once(tmp_path: Path) -> None:
    """Guards against requests to a held node: holds were not applied until a slow write had finished."""
    asyncio.run(start_with_hanging_writes(tmp_path), debug=True)


async def start_with_hanging_writes(folder: Path) -> None:
    writes_allowed = threading.Event()
    stored = FrontState(HoldSet().hold(MemberId("n1", 5), "s-003"), 1 << 52)

    class HangingWrites(StateDatabase):
        def load(self) -> LoadedState:
            return LoadedState(stored, [])

        def save(self, state: FrontState) -> list[StorageProblem]:
            writes_allowed.wait(10)
            return super().save(state)

    fleet_settings = single_front_settings(folder)
    faults = Faults(Metrics())
    startup = StagedStartRunner()
    with mock.patch("cleatyoke.fleet.restore.StateDatabase", HangingWrites):
        durable_state = await startup.restore_durable_state(fleet_settings, "n1", faults)
    assert durable_state
    view = FleetView(fleet_settings, "n1", 1, 1, faults, durable_state.state.boot_number)
    durable_state.attach(view)
    assert view.hold_replication.holds.held_nodes() == {"s-003"}
    await view.start()
    # A hold must not be reported as stored while only this process's memory has it.
    assert not view.holds_are_on_disk()
    writes_allowed.set()
    async with asyncio.timeout(5):
        while not view.holds_are_on_disk():  # noqa: ASYNC110 - set by a thread
            await asyncio.sleep(0.01)
    assert view.membership.id.boot > 1 << 52
    view.stop()
    assert faults.metrics.faults == 0


def test_state_restored_before_the_sockets_open_is_applied(tmp_path: Path) -> None:
    """Guards against a lost boot number and an ineffective hold, restored before the sockets were open."""
    asyncio.run(restore_before_sockets_open(tmp_path), debug=True)


async def restore_before_sockets_open(folder: Path) -> None:
    stored = FrontState(HoldSet().hold(MemberId("n1", 5), "s-003"), 1 << 52)
    fleet_settings = single_front_settings(folder)
    faults = Faults(Metrics())
    view = FleetView(fleet_settings, "n1", 1, 1, faults)
    changed: list[frozenset[str]] = []
    view.hold_replication.on_change = lambda held, _released: changed.append(held)
    view.restore_state(stored)
    view.raise_boot_number(stored.boot_number)
    await view.start()
    assert changed == [frozenset({"s-003"})]
    assert view.membership.id.boot > 1 << 52
    view.stop()
    assert faults.metrics.faults == 0


def test_stage_with_evidence_and_timeout_in_one_loop_iteration_passes_by_evidence(tmp_path: Path) -> None:
    """Guards against a stage that passed by its time limit despite its evidence, on a delayed event loop."""
    asyncio.run(pass_stage_on_delayed_loop(tmp_path), debug=True)


async def pass_stage_on_delayed_loop(folder: Path) -> None:
    writes_allowed = threading.Event()
    fleet_settings = single_front_settings(folder)
    startup = StagedStartRunner()

    def block_past_the_bound() -> None:
        writes_allowed.set()
        time.sleep(STAGE_BOUNDS[StartStage.DISK])

    startup.loop.call_later(0.05, block_past_the_bound)
    with mock.patch("cleatyoke.fleet.restore.StateDatabase", hanging_writes(writes_allowed, first=1)):
        await startup.restore_durable_state(fleet_settings, "n1", Faults(Metrics()))
    assert [passed.passed_by for passed in startup.staged_start.passed] == ["nothing found"]


def test_stop_on_a_slow_disk_returns_within_the_exit_margin(tmp_path: Path) -> None:
    """Guards against SIGKILL during shutdown: the last write was awaited longer than the exit margin."""
    asyncio.run(stop_on_slow_disk(tmp_path), debug=True)


async def stop_on_slow_disk(folder: Path) -> None:
    writes_allowed = threading.Event()
    fleet_settings = single_front_settings(folder)
    startup = StagedStartRunner()
    with mock.patch("cleatyoke.fleet.restore.StateDatabase", hanging_writes(writes_allowed, first=2)):
        durable_state = await startup.restore_durable_state(fleet_settings, "n1", Faults(Metrics()))
    assert durable_state
    view = FleetView(fleet_settings, "n1", 1, 1, Faults(Metrics()))
    durable_state.attach(view)
    await view.start()
    view.hold_replication.hold("s-003")
    started_at = startup.loop.time()
    view.stop(seconds_left=FLUSH_MARGIN)
    assert startup.loop.time() - started_at < EXIT_MARGIN
    writes_allowed.set()


def hanging_writes(writes_allowed: threading.Event, first: int) -> type[StateDatabase]:
    """A database whose writes wait for the event, beginning with write ``first``; 1 is that of the start."""
    writes = 0

    class HangingWrites(StateDatabase):
        def save(self, state: FrontState) -> list[StorageProblem]:
            nonlocal writes
            writes += 1
            if writes >= first:
                writes_allowed.wait(10)
            return super().save(state)

    return HangingWrites
