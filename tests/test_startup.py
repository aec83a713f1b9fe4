"""The start of a front after whatever ended the last one: its stages by themselves, and processes that lose
their power, are killed at every stage, and come back beside peers, without any, and with a disk that does
not answer."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import threading
import unittest
import unittest.mock
from collections.abc import Sequence
from concurrent.futures import Future
from pathlib import Path
from typing import Any, ClassVar

from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke.config.addresses import read_address
from cleatyoke.config.fronts_file import DEFAULT_FLEET_TIMING, FleetSettings
from cleatyoke.coordination.hold_replication import HoldReplication
from cleatyoke.coordination.replicated_holds import HoldSet
from cleatyoke.coordination.staged_start import BOUNDS, ORDER, Evidence, StagedStart, StartStage
from cleatyoke.durability.records import FrontState, RestoreDoubt, Row
from cleatyoke.durability.store import StateDatabase
from cleatyoke.emulation import durability
from cleatyoke.emulation.durability import recalls
from cleatyoke.fleet.startup import StagedStartRunner
from cleatyoke.fleet.view import FleetView
from cleatyoke.membership.wire import MemberId
from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics
from cleatyoke.testbed.runner import RunReport
from cleatyoke.testbed.scenario import read_scenario, settings_of
from cleatyoke.testbed.search import play_values, pool

ROOT = Path(__file__).resolve().parent.parent
Looks = list[tuple[float, list[StartStage]]]  # seconds since the last one, and the evidence that came


def faults(make: type[StagedStart], looks: Looks) -> list[str]:
    """What a play of these looks breaks. The lease before ends at 2.05."""
    recovery, now, out, came = make(0.0, 2.05), 0.0, list[str](), set[StartStage]()
    for after, events in looks:
        now += after
        came |= set(events)
        before = recovery.since
        for one in recovery.step(now, [Evidence(stage, "word") for stage in events]):
            if one.stage is StartStage.LENT and now < 2.05:
                out.append("lease")
            bound = BOUNDS.get(one.stage, 0.0)
            if one.stage not in came and one.stage in BOUNDS and now < before + bound:
                out.append("early")
        stages = [one.stage for one in recovery.passed]
        if stages != ORDER[: len(stages)]:
            out.append("order")
        if recovery.door_open() != (StartStage.LIST in stages):
            out.append("door")
        if recovery.stage is not StartStage.OPEN and now >= recovery.ends_at():
            out.append("bound")
    return out


looks = st.lists(
    st.tuples(st.floats(0, 1.5), st.lists(st.sampled_from(ORDER), max_size=2)), min_size=1, max_size=12
)


@settings(deadline=None, derandomize=True, max_examples=300)
@given(looks)
def test_stages_pass_in_order_by_evidence_or_their_bound_and_a_lease_by_time_alone(looks: Looks) -> None:
    assert faults(StagedStart, looks) == []


class ByTimeAlone(StagedStart):
    """Waits for nothing but a while."""

    def step(self, now: float, events: Any = ()) -> Any:
        out = super().step(now, [Evidence(stage, "a while") for stage in BOUNDS] if now > 0.4 else ())
        return out


class TrustsItsDisk(StagedStart):
    """A word from the disk says that what was lent is over."""

    def step(self, now: float, events: Any = ()) -> Any:
        if any(event.stage is StartStage.DISK for event in events):
            self.lent_until = now
        return super().step(now, events)


def test_wrong_variants_are_caught() -> None:
    everything = list(StartStage)
    assert "early" in faults(ByTimeAlone, [(0.45, [])])
    assert "lease" in faults(TrustsItsDisk, [(0.1, everything), (0.1, [])])
    assert faults(StagedStart, [(0.1, everything), (0.1, []), (1.9, [])]) == []


def test_what_a_start_waits_for_is_told() -> None:
    recovery = StagedStart(10.0, 12.05)
    recovery.step(10.1, [Evidence(StartStage.DISK, "found"), Evidence(StartStage.LIST, "an old list")])
    assert recovery.lines(10.4) == [
        "recovery.stage peers",
        "recovery.passed disk by=found waited=0.100",
        "recovery.waits peers for=0.700",
    ]
    assert [one.what for one in recovery.step(11.2)] == ["bound", "an old list"]
    assert recovery.door_open()


class TakesAbsenceForRelease(HoldReplication):
    """A peer's copy counts for whole."""

    def load(self, sender: MemberId, data: bytes) -> bool:
        news = super().load(sender, data)
        self.holds = self.told[sender]
        return news


def reads_nothing(rows: Sequence[Row], name: str) -> FrontState:
    return FrontState(boot=recalls(rows, name).boot)


def test_no_hold_that_was_kept_is_lost_in_any_order_of_losses_and_wrong_variants_are_caught() -> None:
    seeds = (*range(20), 25, 33)
    assert [durability.play(seed) for seed in seeds] == [[]] * len(seeds)
    assert any(durability.play(seed, share=TakesAbsenceForRelease) for seed in (25, 33))
    assert any(durability.play(seed, recall=reads_nothing) for seed in range(10))


class LossCase(unittest.TestCase):
    """Eight processes that lose their power together, and such with a part of the mend taken out."""

    plays: ClassVar[dict[str, Future[RunReport]]]

    @classmethod
    def setUpClass(cls) -> None:
        import shutil
        import tomllib

        values = tomllib.loads((ROOT / "tests" / "scenarios" / "power-loss.toml").read_text())
        forgetful = Path(tempfile.mkdtemp())
        cls.addClassCleanup(shutil.rmtree, forgetful)
        shutil.copytree(ROOT / "cleatyoke", forgetful / "cleatyoke")
        part = forgetful / "cleatyoke" / "fleet" / "view.py"
        right = "self.copies.holds = self.copies.holds.merge(memory.holds)"
        text = part.read_text()
        assert text.count(right) == 1
        part.write_text(text.replace(right, "pass"))
        workers = pool()
        cls.addClassCleanup(workers.shutdown)
        small = {
            **values,
            "fleet": {"fronts": 3, "boxes": 2, "seconds": 7},
            "load": {"rate": 60, "hosts": 3},
            "trouble": [
                {"kind": "hold", "at": 0.5, "of": [0], "box": 1, "lasts_s": 6},
                {"kind": "powercut", "at": 2, "lasts_s": 1},
            ],
        }
        cls.plays = {
            "whole": workers.submit(play_values, "whole", values),
            "forgetful": workers.submit(play_values, "forgetful", small, forgetful),
            "small": workers.submit(play_values, "small", small),
        }

    def test_every_rule_is_kept_through_two_losses_of_power(self) -> None:
        for name in ("whole", "small"):
            report = self.plays[name].result()
            with self.subTest(name):
                assert report.broken == [], "\n".join(report.lines())
                assert report.faults == []
        report = self.plays["whole"].result()
        assert report.log["recovery_stage"] == 4 * report.starts
        assert report.served > 0.4

    def test_a_front_that_does_not_read_its_disk_is_caught(self) -> None:
        broken = self.plays["forgetful"].result().broken
        assert any(line.startswith("hold:") for line in broken), broken


class ProcessCase(unittest.IsolatedAsyncioTestCase):
    """One front by itself."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        scenario = read_scenario(ROOT / "tests" / "scenarios" / "roll.toml")
        self.ports = [self.free() for _ in range(4)]
        listen, discovery, ops, peers = self.ports
        box = {
            "instanceId": "s-003",
            "hostPort": "127.0.0.1:9",
            "zone": "basement",
            "machineType": "m1",
            "cell": 0,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        config = {
            "name": "n1",
            "listen": f"127.0.0.1:{listen}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": "1",
            "settings": settings_of(scenario),
            "ops": f"127.0.0.1:{ops}",
            "known": {"generation": 1, "reset": True, "instances": [box]},
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        self.durable = self.folder / "durable"
        self.fronts(f'["127.0.0.1:{peers}"]')

    @staticmethod
    def free() -> int:
        with socket.socket() as one:
            one.bind(("127.0.0.1", 0))
            return int(one.getsockname()[1])

    def fronts(self, seeds: str) -> None:
        (self.folder / "fronts.toml").write_text(
            f'[fleet]\nenabled = true\ndeployment = "ours"\nlisten = "127.0.0.1:{self.ports[3]}"\n'
            f'seeds = {seeds}\ndurable = "{self.durable}"\n'
        )

    @contextlib.asynccontextmanager
    async def process(self) -> Any:
        words = (sys.executable, "-m", "cleatyoke", "--fronts", str(self.folder / "fronts.toml"))
        process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "RELAY_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder)},
        )
        try:
            yield process
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def log(self, process: asyncio.subprocess.Process, until: str) -> str:
        assert process.stderr
        text = ""
        async with asyncio.timeout(10):
            while until not in text and (line := await process.stderr.readline()):
                text += line.decode()
        return text

    async def call(self, line: str) -> str:
        async with asyncio.timeout(5):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[2])
            writer.write(f"{line}\n".encode())
            answer = (await reader.read()).decode()
            writer.close()
        return answer

    async def test_a_front_alone_serves_in_the_end_and_tells_what_it_waits_for(self) -> None:
        self.fronts('["127.0.0.1:9"]')  # nobody is there
        async with self.process() as process:
            text = await self.log(process, "event='ready'")
            assert "passed='disk' by='nothing found'" in text
            assert "passed='peers' by='bound'" in text
            assert "recovery.stage lent" in await self.call("show-recovery")
            await self.log(process, "passed='lent' by='time'")
            shown = await self.call("show-recovery")
            assert "recovery.stage open" in shown
            assert "replica.holds entries=0" in await self.call("show-replica")
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), 10) == 0
        assert StateDatabase(self.durable, "ours/n1").load()[0].boot > 0

    async def test_killed_at_any_stage_ten_times_in_a_row_it_goes_on_from_what_it_kept(self) -> None:
        held = FrontState(HoldSet().hold(MemberId("n1", 5), "s-003"), 1 << 52)  # far ahead of any clock
        disk = StateDatabase(self.durable, "ours/n1")
        assert disk.save(held) == []
        rng, boots = random.Random(4), [held.boot]
        for number in range(10):
            async with self.process() as process:
                passed = ("disk", "peers", "list", "ready")[number % 4]
                text = await self.log(process, f"passed='{passed}'" if passed != "ready" else "event='ready'")
                assert "passed='disk' by='found'" in text
                await asyncio.sleep(rng.uniform(0, 0.05))
            memory, doubts = disk.load()
            assert (doubts, memory.holds) == ([], held.holds)
            boots.append(memory.boot)
        assert boots == list(range(held.boot, held.boot + 11))
        async with self.process() as process:
            await self.log(process, "event='ready'")
            assert f"n1 {boots[-1] + 1} " in await self.call("show-fleet")
            assert "replica.hold s-003" in await self.call("show-replica")

    async def test_a_disk_that_does_not_answer_is_waited_for_shortly_and_counts_once_it_does(self) -> None:
        go = threading.Event()
        remembered = FrontState(HoldSet().hold(MemberId("n1", 5), "s-003"), 1 << 52)

        class Late(StateDatabase):
            def load(self) -> tuple[FrontState, list[RestoreDoubt]]:
                go.wait(10)
                return remembered, []

        listen = read_address(f"127.0.0.1:{self.ports[3]}", "listen")
        peers = FleetSettings(
            "ours", listen, listen, [], 0, DEFAULT_FLEET_TIMING, durable_folder=self.durable
        )
        faults, startup = Faults(Metrics()), StagedStartRunner()
        with unittest.mock.patch("cleatyoke.fleet.restore.StateDatabase", Late):
            recall = await startup.recall(peers, "n1", faults)
        assert recall
        assert [one.what for one in startup.recovery.passed] == ["bound"]
        view = FleetView(peers, "n1", 1, 1, faults, recall.last.boot)
        recall.serve(view)
        changed: list[frozenset[str]] = []
        view.copies.changed = lambda held, released: changed.append(held)
        await view.start()
        await startup.meet(view)
        await startup.hear_of_boxes(True, asyncio.Event())
        assert startup.recovery.door_open()
        go.set()
        async with asyncio.timeout(5):
            while not recall.first.done() or not view.on_disk():
                await asyncio.sleep(0.01)
        assert (changed, view.members.id.boot) == ([frozenset({"s-003"})], (1 << 52) + 2)
        view.stop()
        assert faults.metrics.faults == 0
        assert StateDatabase(self.durable, "ours/n1").load()[0].boot == (1 << 52) + 2
