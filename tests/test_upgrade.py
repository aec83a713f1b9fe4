"""An upgrade: the listening socket is handed down, never bound again, and a bad one stops the start."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import tempfile
import time
import unittest
from pathlib import Path

import aiohttp
import pytest

from cleatyoke.process.faults import Faults
from cleatyoke.process.handover import HEARD, MARK, SiblingProcesses
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.actions import SendAttempt
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    EndpointUpdate,
    QuotaShareChanged,
    RequestArrived,
    UpdateKind,
)
from cleatyoke.scheduling.records import QuotaClock
from cleatyoke.scheduling.scheduler import Scheduler
from cleatyoke.transport.listener import NotListeningError, adopt_listening_socket
from tests.host import class_spec, entry, plan_spec, settings
from tests.wire import FACTS, config

ROOT = Path(__file__).resolve().parent.parent


async def start(
    folder: str, variables: dict[str, str], fds: tuple[int, ...], listen: str = "127.0.0.1:0"
) -> asyncio.subprocess.Process:
    path = Path(folder) / "config.json"
    values = {"name": "n0", "listen": listen, "discovery": "127.0.0.1:1", "seed": "ff", "settings": FACTS}
    path.write_text(json.dumps(values))
    kept = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cleatyoke",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        pass_fds=fds,
        env={**kept, **variables, "RELAY_CONFIG": str(path)},
    )


class Inherited(unittest.TestCase):
    def test_only_a_listening_tcp_socket_is_taken_and_nothing_else_is_closed(self) -> None:
        with tempfile.TemporaryFile() as plain, socket.socket() as unbound:
            for descriptor in (plain.fileno(), unbound.fileno()):
                with pytest.raises(NotListeningError):
                    adopt_listening_socket(descriptor)
                os.fstat(descriptor)  # still open
        with pytest.raises(NotListeningError):
            adopt_listening_socket(999)


class Upgrade(unittest.IsolatedAsyncioTestCase):
    async def test_two_processes_serve_from_one_socket_that_neither_binds(self) -> None:
        shared = socket.create_server(("127.0.0.1", 0), backlog=64)
        port = shared.getsockname()[1]
        variables = {"RELAY_ACCEPT_FD": str(shared.fileno())}
        with tempfile.TemporaryDirectory() as folder:
            # RELAY_LISTEN names the port that is taken: a process that bound it would fail to start
            listen = f"127.0.0.1:{port}"
            old = await start(folder, variables, (shared.fileno(),), listen)
            new = await start(folder, variables, (shared.fileno(),), listen)
            try:
                for daemon in (old, new):
                    assert daemon.stderr
                    async with asyncio.timeout(10):
                        while b"event='ready'" not in (line := await daemon.stderr.readline()):
                            assert line, "the daemon ended"
                await asyncio.sleep(1.1)  # without discovery or an old list, /up says yes after 1 s
                async with aiohttp.ClientSession() as client:
                    for _ in range(20):
                        async with client.get(f"http://127.0.0.1:{port}/up") as response:
                            assert response.status == 200
                old.terminate()
                assert await old.wait() == 0
                async with aiohttp.ClientSession() as client:
                    for _ in range(20):
                        async with client.get(f"http://127.0.0.1:{port}/up") as response:
                            assert response.status == 200
            finally:
                for daemon in (old, new):
                    if daemon.returncode is None:
                        daemon.kill()
                        await daemon.wait()
                shared.close()

    async def test_a_descriptor_that_is_no_listening_socket_stops_the_start_by_name(self) -> None:
        with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryFile() as plain:
            for text, fds in (("four", ()), (str(plain.fileno()), (plain.fileno(),))):
                daemon = await start(folder, {"RELAY_ACCEPT_FD": text}, fds)
                assert daemon.stderr
                rest = await daemon.stderr.read()
                assert await daemon.wait() == 2
                assert b"cleatyoke: RELAY_ACCEPT_FD:" in rest


class SharedLimits(unittest.IsolatedAsyncioTestCase):
    async def test_while_another_process_of_the_front_lives_each_has_half_of_every_limit(self) -> None:
        settings, told = config().settings, []
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / f"{MARK}{2**22 + 7}").write_text("")  # a process that died
            lives = SiblingProcesses(Path(folder), settings, Faults(Metrics()), 50.0)
            assert (settings.initial_quota_share, settings.replaces_process) == (1.0, False)
            assert settings.idle_since == 50.0
            other = Path(folder) / f"{MARK}{os.getppid()}"
            other.write_text("")  # one that lives
            lives.start(told.append)
            assert told == [QuotaShareChanged(0.5)]
            other.unlink()
            await asyncio.sleep(0.12)
            assert told == [QuotaShareChanged(0.5), QuotaShareChanged(1.0)]
            lives.stop()
            assert not lives.mark.exists()
            other.write_text("")
            SiblingProcesses(Path(folder), settings, Faults(Metrics()), 50.0).mark.unlink()
            assert (settings.initial_quota_share, settings.replaces_process) == (0.5, True)
            assert (settings.idle_since or 0.0) > time.time()  # not before the other has heard


class Overlap(unittest.TestCase):
    """Two processes of one host over an upgrade, asked for far more than the limit, as a meter sees it."""

    limit, burst, slack = 30.0, 55.0, 8.0

    def policy(self, since: float, part: float, taken_over: bool) -> Scheduler:
        plan = plan_spec(
            reserved_rate=0.0, rate_limit=self.limit, rate_limit_burst=self.burst, rate_limit_slack=self.slack
        )
        made = settings(
            [class_spec()],
            [plan],
            front_count=1,
            idle_since=since,
            initial_quota_share=part,
            replaces_process=taken_over,
            max_attempts=4,
        )
        policy = Scheduler(made)
        policy.step(since + 0.3, [EndpointUpdate(UpdateKind.SNAPSHOT, [entry(11, 0)])])
        return policy

    def ask(self, policy: Scheduler, now: float, units: float) -> float:
        """Units that go out for a request made now, which a node answers at once."""
        self.asked += 1
        arrival = RequestArrived(
            request_id=str(self.asked),
            class_index=0,
            plan_index=0,
            volume_id=1,
            item=self.asked,
            shard=0,
            units=units,
            deadline=now + 1.5,
            front_count=1,
        )
        sent = 0.0
        for action in policy.step(now, [arrival]):
            if isinstance(action, SendAttempt):
                sent += units
                policy.step(
                    now, [AttemptFinished(action.request_id, 0, 11, AttemptOutcome.SERVED, 0.001, True)]
                )
        return sent

    def play(self, overlap: float, lag: float, quiet: float) -> float:
        """The least that the meter's store came to. The old process hears ``lag`` after the new one's mark;
        the new one is asked for nothing in the first ``quiet`` seconds."""
        self.asked = 0
        old = self.policy(0.0, 1.0, False)
        started = 10.0  # its mark; what it imported before counts for nothing
        new = self.policy(started + HEARD, 0.5, True)
        level, least, now = self.burst, self.burst, 5.0
        told = ended = False
        while now < 25.0:
            now += 0.02
            level = min(self.burst, level + self.limit * 0.02)
            if now >= started + lag and not told:
                told = True
                old.step(now, [QuotaShareChanged(0.5)])
            if now >= started + overlap and not ended:
                ended = True
                new.step(now, [QuotaShareChanged(1.0)])
            if not ended:
                level -= self.ask(old, now, 2.0)
            if now >= started + max(0.5, quiet):
                level -= self.ask(new, now, 2.0)
            least = min(least, level)
        return least

    def test_the_limit_holds_over_an_upgrade_whenever_the_new_process_is_first_asked(self) -> None:
        for overlap in (1.0, 3.0, 6.0):
            for quiet in (0.0, overlap - 0.1, overlap + 0.1, 12.0):
                least = self.play(overlap, 0.1, quiet)
                assert least >= -self.slack, (overlap, quiet)
                assert least < self.burst / 2  # it was asked for more than it could give

    def test_a_share_is_not_counted_for_the_time_before_it_held(self) -> None:
        clock = QuotaClock(0.5, 10.0)
        clock.change(1.0, 14.0)
        assert (clock.time(14.0), clock.time(15.0), clock.time(12.0)) == (2.0, 3.0, 2.0)
