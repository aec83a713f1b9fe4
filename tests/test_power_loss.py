"""Tests of losses of power, and of the state that a front recovers afterwards.

They run random fleets in virtual time, eight processes that fail together, and one process that is killed at
each stage of its start.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import tomllib
from collections.abc import AsyncIterator, Iterator, Sequence
from concurrent.futures import Future
from pathlib import Path

import pytest

from cleatyoke.coordination.hold_replication import HoldReplication
from cleatyoke.coordination.replicated_holds import HoldSet
from cleatyoke.durability.records import FrontState, Row
from cleatyoke.durability.store import StateDatabase
from cleatyoke.emulation import durability
from cleatyoke.emulation.durability import recall_state
from cleatyoke.membership.wire import MemberId
from cleatyoke.testbed.front_settings import settings_of
from cleatyoke.testbed.run_report import RunReport
from cleatyoke.testbed.scenario import KILL_DELAY_S
from cleatyoke.testbed.scenario_file import read_scenario
from cleatyoke.testbed.search import pool, run_values

ROOT = Path(__file__).resolve().parent.parent


class ReleasesMissingHolds(HoldReplication):
    """Faulty variant: takes a peer's copy for complete, and so releases the holds that it lacks."""

    def load(self, sender: MemberId, data: bytes) -> bool:
        is_new = super().load(sender, data)
        self.holds = self.received[sender]
        return is_new


def recall_without_holds(rows: Sequence[Row], name: str) -> FrontState:
    return FrontState(boot_number=recall_state(rows, name).boot_number)


def test_stored_holds_survive_power_losses_and_faulty_variants_lose_them() -> None:
    """Six fronts with disks are killed, cut off and started in random orders; disks are restored or emptied.

    A hold that was acknowledged as stored, and not released, must be in force at every front in the end.
    """
    seeds = (*range(20), 25, 33)
    assert [durability.run_script(seed) for seed in seeds] == [[]] * len(seeds)
    assert any(durability.run_script(seed, share=ReleasesMissingHolds) for seed in (25, 33))
    assert any(durability.run_script(seed, recall=recall_without_holds) for seed in range(10))


Runs = dict[str, Future[RunReport]]
SLOW_WRITE = 2.7  # seconds; longer than all stages of a start


@pytest.fixture(scope="module")
def runs() -> Iterator[Runs]:
    """Runs of fronts that all lose power at once. The runs execute in parallel.

    ``whole``: eight fronts, two losses. ``small``: three fronts, one loss. ``forgetful``: like ``small`` and
    longer, with a program that does not load the holds from its disk. ``slow``: like ``small``, with a
    program whose write at each start after the first takes longer than all stages of the start together.
    """
    values = tomllib.loads((ROOT / "tests" / "scenarios" / "power-loss.toml").read_text())
    small = {
        **values,
        "fleet": {"fronts": 3, "boxes": 2, "seconds": 7},
        "load": {"rate": 60, "hosts": 3},
        "trouble": [
            {"kind": "hold", "at": 0.5, "of": [0], "box": 1, "lasts_s": 6},
            {"kind": "powercut", "at": 2, "lasts_s": 1},
        ],
    }
    # A busy machine may take seconds to start its fronts: the run must last long enough to show the fault.
    longer = {
        **small,
        "fleet": {**small["fleet"], "seconds": 14},
        "trouble": [{"kind": "hold", "at": 0.5, "of": [0], "box": 1, "lasts_s": 13}, small["trouble"][1]],
    }
    forgetful, slow = Path(tempfile.mkdtemp()), Path(tempfile.mkdtemp())
    try:
        change_program(
            forgetful,
            "fleet/view.py",
            "self.hold_replication.holds = self.hold_replication.holds.merge(state.holds)",
            "pass",
        )
        change_program(
            slow,
            "durability/writer.py",
            "write_problems = self.store.save(state)",
            f"__import__('time').sleep({SLOW_WRITE} * was_found); write_problems = self.store.save(state)",
        )
        with pool() as workers:
            yield {
                "whole": workers.submit(run_values, "whole", values),
                "forgetful": workers.submit(run_values, "forgetful", longer, forgetful),
                "small": workers.submit(run_values, "small", small),
                "slow": workers.submit(run_values, "slow", small, slow),
            }
    finally:
        shutil.rmtree(forgetful)
        shutil.rmtree(slow)


def change_program(folder: Path, module_path: str, original: str, replacement: str) -> None:
    """Copy the program to a folder, with one piece of its source replaced."""
    shutil.copytree(ROOT / "cleatyoke", folder / "cleatyoke")
    module = folder / "cleatyoke" / module_path
    text = module.read_text()
    assert text.count(original) == 1
    module.write_text(text.replace(original, replacement))


@pytest.mark.parametrize("name", ["whole", "small"])
def test_every_rule_is_kept_through_losses_of_power(runs: Runs, name: str) -> None:
    """All fronts and nodes lose power at once and restart; the nodes are cold.

    No rule of the checker may be violated: no request reaches a held node, none is lost or executed twice,
    and no node is overloaded while it warms up.
    """
    report = runs[name].result()
    assert report.violations == [], "\n".join(report.lines())
    assert report.fault_lines == []


def test_slow_write_at_start_delays_no_hold(runs: Runs) -> None:
    """Guards against requests at a held node: stored holds took effect only after a write had finished."""
    report = runs["slow"].result()
    assert report.violations == [], "\n".join(report.lines())
    assert report.fault_lines == []


def test_fronts_pass_all_recovery_stages_and_serve(runs: Runs) -> None:
    report = runs["whole"].result()
    # A front that was killed before the old leases expired did not pass the last stage.
    missing = 4 * report.front_starts - report.log_counts["recovery_stage"]
    assert 0 <= missing <= report.early_kills
    assert report.served_share > 0.4


def test_front_that_ignores_stored_holds_violates_hold_rule(runs: Runs) -> None:
    broken = runs["forgetful"].result().violations
    assert any(line.startswith("hold:") for line in broken), broken


def free_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


class SingleFront:
    """Files and processes of a single front."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.durable = folder / "durable"
        listen, discovery, self.control_port, self.peer_port = (free_port() for _ in range(4))
        scenario = read_scenario(ROOT / "tests" / "scenarios" / "roll.toml")
        instance = {
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
            "ops": f"127.0.0.1:{self.control_port}",
            "known": {"generation": 1, "reset": True, "instances": [instance]},
        }
        (folder / "config.json").write_text(json.dumps(config))
        self.write_fronts_file(f'["127.0.0.1:{self.peer_port}"]')

    def write_fronts_file(self, seeds: str) -> None:
        (self.folder / "fronts.toml").write_text(
            f'[fleet]\nenabled = true\ndeployment = "ours"\nlisten = "127.0.0.1:{self.peer_port}"\n'
            f'seeds = {seeds}\ndurable = "{self.durable}"\n'
        )

    @contextlib.asynccontextmanager
    async def process(self) -> AsyncIterator[asyncio.subprocess.Process]:
        """Run a process of the front, which is killed at the end."""
        command = (sys.executable, "-m", "cleatyoke", "--fronts", str(self.folder / "fronts.toml"))
        process = await asyncio.create_subprocess_exec(
            *command,
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
        """Return the process's log from here to the first line that contains ``until``."""
        assert process.stderr
        text = ""
        async with asyncio.timeout(10):
            while until not in text and (line := await process.stderr.readline()):
                text += line.decode()
        return text

    async def call(self, command: str) -> str:
        """Return the answer to a control command."""
        async with asyncio.timeout(5):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port)
            writer.write(f"{command}\n".encode())
            answer = (await reader.read()).decode()
            writer.close()
        return answer


@pytest.fixture
def front() -> Iterator[SingleFront]:
    with tempfile.TemporaryDirectory() as folder:
        yield SingleFront(Path(folder))


def test_front_without_peers_serves_and_shows_what_it_waits_for(front: SingleFront) -> None:
    """A front starts and none of its peers is reachable.

    It must not wait for them for ever: each stage ends at its time limit, the front serves, and
    ``show-recovery`` shows what it still waits for.
    """
    asyncio.run(check_start_without_peers(front), debug=True)


async def check_start_without_peers(front: SingleFront) -> None:
    front.write_fronts_file('["127.0.0.1:9"]')  # unreachable
    async with front.process() as process:
        text = await front.log(process, "event='ready'")
        assert "passed='disk' by='nothing found'" in text
        assert "passed='peers' by='bound'" in text
        assert "recovery.stage lent" in await front.call("show-recovery")
        await front.log(process, "passed='lent' by='time'")
        shown = await front.call("show-recovery")
        assert "recovery.stage open" in shown
        assert "replica.holds entries=0" in await front.call("show-replica")
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), 10) == 0
    assert StateDatabase(front.durable, "ours/n1").load().state.boot_number > 0


def test_front_killed_at_any_stage_recovers_stored_state(front: SingleFront) -> None:
    """A front is killed ten times, in each stage of its start and once it serves.

    No hold may be lost and no boot number used twice, although the clock is far behind the stored number.
    """
    asyncio.run(check_kills_at_every_stage(front), debug=True)


async def check_kills_at_every_stage(front: SingleFront) -> None:
    stored = FrontState(HoldSet().hold(MemberId("n1", 5), "s-003"), 1 << 52)  # far ahead of any clock
    database = StateDatabase(front.durable, "ours/n1")
    assert database.save(stored) == []
    rng = random.Random(4)
    boot_numbers = [stored.boot_number]
    for number in range(10):
        async with front.process() as process:
            passed = ("disk", "peers", "list", "ready")[number % 4]
            text = await front.log(process, f"passed='{passed}'" if passed != "ready" else "event='ready'")
            assert "passed='disk' by='found'" in text
            await asyncio.sleep(rng.uniform(0, 0.05))
        state, problems = database.load()
        assert (problems, state.holds) == ([], stored.holds)
        boot_numbers.append(state.boot_number)
    assert boot_numbers == list(range(stored.boot_number, stored.boot_number + 11))
    async with front.process() as process:
        await front.log(process, "event='ready'")
        assert f"n1 {boot_numbers[-1] + 1} " in await front.call("show-fleet")
        assert "replica.hold s-003" in await front.call("show-replica")


def test_sigterm_while_waiting_for_peers_exits_before_sigkill(front: SingleFront) -> None:
    """Guards against an exit later than SIGKILL: a start handled SIGTERM only after all of its stages."""
    asyncio.run(check_termination_while_starting(front), debug=True)


async def check_termination_while_starting(front: SingleFront) -> None:
    path = front.folder / "config.json"
    config = json.loads(path.read_text())
    del config["known"]  # so that it waits for discovery too, which is unreachable
    for lane in config["settings"]["Lanes"]:
        lane["GiveUpS"] = 0.5
    path.write_text(json.dumps(config))
    front.write_fronts_file('["127.0.0.1:9"]')
    async with front.process() as process:
        await front.log(process, "passed='disk'")
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), 0.5 + KILL_DELAY_S) == 0
