"""Why a front exits, and why it does not: the leaving as a state machine, and a fault in each place."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatyoke import __main__ as daemon
from cleatyoke.config.deployment import Address, ConfigError, read_config
from cleatyoke.core import AttemptResult, Core, Failed, MayBegin, PendingRequest, Rejected
from cleatyoke.discovery.directory import Directory
from cleatyoke.discovery.discovery import Discovery
from cleatyoke.process.faults import Faults, Watchdog
from cleatyoke.process.lifecycle import Lifecycle, Notice, Order, Stage, Status
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.actions import CancelAttempt, FailRequest
from cleatyoke.scheduling.events import (
    AttemptOutcome,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    UpdateKind,
)
from cleatyoke.scheduling.settings import Idempotency
from tests.host import class_spec, entry
from tests.host import settings as host_settings
from tests.test_upgrade import start
from tests.wire import FACTS, DiscoveryAgent


def leaving(now: float = 100.0, notice: float = 2.2) -> Lifecycle:
    life = Lifecycle(Notice.of(notice, [0.2, 0.2]))
    life.serves()
    life.asked(now)
    return life


class Leaving(unittest.TestCase):
    def test_it_accepts_for_over_the_page_s_0_7_s_and_is_over_before_the_kill(self) -> None:
        life = leaving()
        assert life.step(100.74, 3, 0) == []
        assert life.step(100.76, 3, 1) == [Order.CLOSE_FILES]
        assert (life.step(100.8, 3, 1), life.stage) == ([], Stage.ACCEPTING)
        self.assertAlmostEqual(life.next_at(), 101.65)
        assert life.step(101.65, 3, 1) == [Order.STOP_ACCEPTING]
        assert life.step(101.8, 0, 1) == []  # a file command is still at work
        assert life.step(102.06, 2, 0) == [Order.ABANDON, Order.RELEASE]
        life.released()
        assert (life.stage, life.status) == (Stage.ENDED, Status.LEFT)

    def test_the_quickest_class_says_how_long_it_accepts(self) -> None:
        """One class that may take long must not shut the door on the others for as long."""
        notice = Notice.of(2.74, [0.11, 0.21, 0.61])
        self.assertAlmostEqual(notice.accept, 2.74 - 0.15 - 2 * 0.11)
        assert Notice.of(0.8, [0.5, 5.0]).accept == 0.75

    def test_it_ends_with_the_last_answer_and_not_before_accepting_has_ended(self) -> None:
        life = leaving()
        assert life.step(101.0, 0, 0) == [Order.CLOSE_FILES]
        assert life.step(101.6, 0, 0) == []  # nothing is open, and new connections may still come
        assert life.step(101.66, 0, 0) == [Order.STOP_ACCEPTING]
        assert life.step(101.67, 0, 0) == [Order.RELEASE]

    def test_a_second_signal_changes_nothing_and_one_amid_the_start_counts_from_when_it_came(self) -> None:
        life = leaving()
        assert not life.asked(101.5)
        self.assertAlmostEqual(life.last_answer(), 102.05)
        early = Lifecycle(Notice.of(2.2, [0.2]))
        assert early.asked(50.0)
        assert (early.step(50.9, 0, 0), early.status) == ([], Status.START)
        early.serves()
        assert early.step(51.0, 0, 0) == [Order.CLOSE_FILES]

    @given(
        st.lists(st.tuples(st.floats(0.0, 1.0), st.integers(0, 2), st.integers(0, 1)), max_size=40),
        st.floats(0.7, 3.7),
        st.floats(0.01, 3.0),
    )
    def test_whatever_comes_each_order_is_given_once_in_turn_and_all_by_the_last_moment(
        self, moments: list[tuple[float, int, int]], notice: float, aim: float
    ) -> None:
        life = Lifecycle(Notice.of(notice, [aim]))
        life.serves()
        life.asked(0.0)
        now, orders = 0.0, []
        for wait, connections, files in [*moments, (notice + 1.0, 1, 1), (0.0, 1, 1), (0.0, 1, 1)]:
            now += wait
            given_now = life.step(now, connections, files)
            if Order.STOP_ACCEPTING in given_now:
                assert now >= 0.75
            if Order.RELEASE in given_now:
                assert now >= life.notice.last or not connections + files
            orders += given_now
            if life.stage is not Stage.CLOSING:
                assert life.next_at() < float("inf")  # it never waits for what may not come
        assert [one for one in orders if one is not Order.ABANDON] == [
            Order.CLOSE_FILES,
            Order.STOP_ACCEPTING,
            Order.RELEASE,
        ]


class Hurried(unittest.IsolatedAsyncioTestCase):
    async def test_what_is_open_as_the_process_leaves_is_settled_before_it_has_left(self) -> None:
        """However long its client would wait: 8 s here, where the process has 0.3 s left."""
        core = Core(host_settings([class_spec(), class_spec(idempotency=Idempotency.NOT_IDEMPOTENT)]))
        boxes = [entry(1, 1), entry(2, 2, state=EndpointState.DRAINING)]
        core.tell(EndpointUpdate(UpdateKind.SNAPSHOT, boxes))
        sent: list[str] = []

        def ask(name: str, kind: int, cell: int) -> asyncio.Task[object]:
            async def hang(node: int, may: MayBegin) -> AttemptResult[None]:
                sent.append(name)
                await asyncio.sleep(60)
                return AttemptResult(AttemptOutcome.SERVED)

            arrival = RequestArrived(name, kind, 0, 1, None, cell, 1.0, core.now() + 8.0, 1)
            return asyncio.create_task(core.serve(arrival, hang))

        calls = {"read": ask("read", 0, 1), "write": ask("write", 1, 1), "held": ask("held", 1, 2)}
        await asyncio.sleep(0.1)
        assert sent == ["read", "write"]
        core.hurry(core.now() + 0.3)
        async with asyncio.timeout(1.0):
            told = {name: type(await call) for name, call in calls.items()}
        assert told == {"read": Failed, "write": Failed, "held": Rejected}
        assert sent == ["read", "write"]  # nothing is sent for which no answer could come

    async def test_an_attempt_called_off_as_its_time_is_up_costs_no_other_call_its_word(self) -> None:
        """Both are due at once where the process stood still for a while."""
        core = Core(host_settings())
        core.calls |= {name: PendingRequest() for name in ("late", "other")}
        said = [CancelAttempt("late", 0), FailRequest("other")]
        with mock.patch.object(core.policy, "step", return_value=said), contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0) as core.calls["late"].out:
                try:
                    await asyncio.sleep(1)
                finally:  # its time is up, and it has not ended yet
                    core.calls["late"].attempts = 1
                    core.step()
        assert core.calls["other"].words.get_nowait() == FailRequest("other")


class Faulty(unittest.IsolatedAsyncioTestCase):
    async def test_a_beat_goes_on_after_a_call_that_raises(self) -> None:
        figures, calls = Metrics(), []

        def act() -> None:
            calls.append(0)
            if len(calls) == 1:
                raise RuntimeError("once")

        beat = Watchdog(Faults(figures), "test", 0.01, act)
        beat.start()
        await asyncio.sleep(0.06)
        beat.stop()
        assert len(calls) > 2
        assert figures.faults == 1

    async def test_a_lost_task_and_a_callback_that_raises_are_counted_and_end_nothing(self) -> None:
        figures, loop = Metrics(), asyncio.get_running_loop()
        Faults(figures).watch(loop)
        loop.call_soon(lambda: [][0])

        async def dies() -> None:
            raise KeyError("nobody awaits this")

        task = asyncio.create_task(dies())
        await asyncio.sleep(0.01)
        del task
        assert figures.faults == 2

    async def test_a_watch_that_dies_of_a_fault_of_ours_is_taken_up_again_with_the_whole_list(self) -> None:
        whole = {"generation": 4, "reset": True, "instances": []}
        agent = await DiscoveryAgent(whole, []).start()
        figures, directory, took = Metrics(), Directory({}), []
        discovery = Discovery(
            Address("127.0.0.1", agent.port), directory, took.append, faults=Faults(figures)
        )
        with mock.patch.object(directory, "apply", side_effect=[IndexError("a fault of ours"), []]):
            discovery.start()
            async with asyncio.timeout(5):
                while not took:
                    await asyncio.sleep(0.01)
        assert figures.faults == 1
        assert agent.asked[:2] == ["/discovery/hosts", "/discovery/hosts"]
        discovery.stop()
        agent.stop()


class Exits(unittest.IsolatedAsyncioTestCase):
    """The daemon as a process: its exit status and what its log says."""

    async def ended(self, folder: str, signals: list[int], broken: str = "") -> tuple[int, bytes]:
        """Start it, break the named file of TMPDIR once it serves, send the signals; status and log."""
        process = await start(folder, {"TMPDIR": folder}, ())
        assert process.stderr
        log = b""
        async with asyncio.timeout(15):
            while b"event='ready'" not in log:
                line = await process.stderr.readline()
                if not line:
                    break
                log += line
            if broken:
                path = Path(folder) / broken.replace("PID", str(process.pid))
                path.unlink(missing_ok=True)
                path.mkdir()
                await asyncio.sleep(0.4)  # looks at it meanwhile
            for number in signals:
                process.send_signal(number)
                await asyncio.sleep(0.1)
            log += await process.stderr.read()
            return await process.wait(), log

    async def test_signals_in_a_row_leave_once_with_status_0(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            status, log = await self.ended(
                folder, [signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGINT]
            )
        assert status == 0, log
        assert (log.count(b"event='leaving'"), log.count(b"event='left'")) == (1, 1), log

    async def test_what_cannot_be_given_back_is_told_and_the_exit_is_still_0(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            status, log = await self.ended(folder, [signal.SIGTERM], broken="cleatyoke-life-PID")
            os.rmdir(next(Path(folder).glob("cleatyoke-life-*")))
        assert status == 0, log
        assert b"event='step_fault'" in log
        assert b"event='left'" in log

    async def test_holds_that_cannot_be_read_end_neither_the_process_nor_the_looks(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "cleatyoke-holds.json").write_bytes(b"\xff\xfe\x00")
            status, log = await self.ended(folder, [signal.SIGTERM])
        assert status == 0, log
        assert b"fault'" not in log

    async def test_an_unforeseen_fault_at_the_start_is_status_2_with_one_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(
                json.dumps(
                    {"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": FACTS}
                )
            )
            config = read_config({"RELAY_CONFIG": str(path), "TMPDIR": folder})
            with (
                mock.patch.object(daemon.HttpServer, "listen", side_effect=RuntimeError("odd")),
                pytest.raises(ConfigError, match="start: RuntimeError: odd"),
            ):
                await daemon.run(config)

    def test_files_that_once_raised_something_else_are_named_faults(self) -> None:
        for change, word in (
            ({"Lanes": []}, "settings.Lanes: want one"),
            ({"Contracts": []}, "settings.Contracts: want one"),
            ({"Extra": {"ChangesData": 7}}, "settings.Extra.ChangesData: want a list"),
            ({"Areas": 3}, "settings.Areas: want a list"),
            (None, "RELAY_CONFIG: "),
        ):
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "config.json"
                values = {"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}
                path.write_text(
                    "[" * 100_000
                    if change is None
                    else json.dumps({**values, "settings": {**FACTS, **change}})
                )
                with pytest.raises(ConfigError, match=word):
                    read_config({"RELAY_CONFIG": str(path)})
