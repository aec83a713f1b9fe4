"""The fleet's view on real sockets: what is told of a play, fronts as processes behind fault links, and the
carrier by itself against what strangers send."""

from __future__ import annotations

import asyncio
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import tomllib
import unittest
import unittest.mock
from concurrent.futures import Future
from pathlib import Path
from typing import Any, ClassVar

import pytest

from cleatyoke.admin.control import ControlCommands, answer_command
from cleatyoke.config.addresses import read_address
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.fronts_file import FleetSettings, read_fronts_file
from cleatyoke.emulation.network import Fault, Network
from cleatyoke.emulation.traffic import emulate
from cleatyoke.fleet.view import MOST_HEARD, FleetView
from cleatyoke.membership import wire
from cleatyoke.membership.wire import Gossip, MemberId, MemberState, Update
from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.settings import SchedulerSettings
from cleatyoke.testbed.runner import RunReport
from cleatyoke.testbed.scenario import make_scenario
from cleatyoke.testbed.search import play_values, pool, rules
from cleatyoke.testbed.view_checks import MembershipChecker, MembershipView, read_view
from tests.host import settings

ROOT = Path(__file__).resolve().parent.parent
SCENARIOS = ROOT / "tests" / "scenarios"
TIMES = {"period": 0.1, "answer": 0.03, "gossip": 0.02, "sync": 1.0, "departed": 0.2, "join": 0.2}


class ViewJudgeCase(unittest.TestCase):
    def told(
        self, *fronts: int, sure: str = "certainly-up", digest: str = "d", count: int = 2
    ) -> MembershipView:
        first, *others = [(f"n{front}", 1) for front in fronts]
        return MembershipView(first[0], 1, 0, count, digest, dict.fromkeys(others, ("alive", sure)))

    def test_each_rule_of_the_fleet_is_broken_once(self) -> None:
        for rule, views in (
            ("", [self.told(0, 1), self.told(1, 0)]),
            ("view", [self.told(0, 1), None]),
            ("view", [self.told(0, 1), self.told(1, 0, digest="e")]),
            ("view", [self.told(0, 1), self.told(1)]),
            ("count", [self.told(0, 1), self.told(1, 0, count=1)]),
            ("stopped", [self.told(0, 1), self.told(1, 0, sure="certainly-stopped")]),
        ):
            judge = MembershipChecker(ends=[(1.0, "kill")])
            judge.seen(2.0, dict(enumerate(views)))
            with self.subTest(rule):
                assert rules(judge.broken(9.0)) == {rule} - {""}
        judge = MembershipChecker()
        judge.seen(1.0, {0: MembershipView("n0", 5, 2, 1)})
        judge.seen(2.0, {0: MembershipView("n0", 5, 1, 1)})
        assert rules(judge.broken(9.0)) == {"back"}
        with pytest.raises(ConfigError):
            read_view(["fleet.life n0"])

    def test_what_a_message_meets_is_drawn_from_it_and_from_nothing_else(self) -> None:
        fault = Fault(frozenset("a"), frozenset("b"), loss=0.5, doubles=0.5, garbles=0.2, jitter=1.0)
        messages = [bytes([number]) * 9 for number in range(200)]
        one, other = Network(3, faults=[fault]), Network(3, faults=[fault])
        for number in range(50):
            other.datagram("b", "a", bytes([number]))  # elsewhere
        met = [one.datagram("a", "b", data) for data in messages]
        assert met == [other.datagram("a", "b", data) for data in messages]
        assert {len(came) for came in met} == {0, 1, 2}
        assert met != [one.datagram("a", "b", data) for data in messages]  # a second time
        assert all(len(one.datagram("b", "a", data)) == 1 for data in messages)


class PlayCase(unittest.TestCase):
    """Eight to twelve processes each, two plays at once, as more make exits late on eight cores."""

    plays: ClassVar[dict[str, Future[RunReport]]]
    values: ClassVar[dict[str, Any]]

    @classmethod
    def setUpClass(cls) -> None:
        values = {
            name: tomllib.loads((SCENARIOS / f"{name}.toml").read_text())
            for name in ("fleet-limits", "fleet-cold", "fleet-kills", "fleet-cuts", "fleet-roll")
        }
        for name, boxes in (("fleet-limits", ()), ("fleet-cold", ("restart",))):
            lent = {
                **values[name],
                "fleet": {**values[name]["fleet"], "seconds": 14},
                "trouble": [one for one in values[name]["trouble"] if one["kind"] in boxes],
            }
            values |= {f"{name} lent": lent, f"{name} fixed": {**lent, "view": {"enabled": True}}}
        cls.values, workers = values, pool(2)
        cls.addClassCleanup(workers.shutdown)
        cls.plays = {name: workers.submit(play_values, name, one) for name, one in values.items()}

    def kept(self, name: str) -> RunReport:
        """What came of this play, in which nothing may have been broken."""
        report = self.plays[name].result()
        assert report.broken == [], "\n".join(report.lines())
        assert report.faults == []
        return report

    def test_one_view_comes_back_after_kills_pauses_cuts_and_a_roll(self) -> None:
        for name in ("fleet-kills", "fleet-cuts", "fleet-roll"):
            with self.subTest(name):
                assert self.kept(name).log["fleet_change"] > 12 * 11

    def test_lent_parts_of_a_limit_stay_within_it_and_go_where_the_need_is(self) -> None:
        """Through every trouble; and without any, against the fixed split."""
        self.kept("fleet-limits")
        lent, fixed = self.kept("fleet-limits lent"), self.kept("fleet-limits fixed")
        assert lent.served > 1.1 * fixed.served

    def test_lent_parts_of_cold_boxes_stay_within_what_they_bear_and_go_where_the_need_is(self) -> None:
        assert self.kept("fleet-cold").most_cold > 0.1
        lent, fixed = self.kept("fleet-cold lent"), self.kept("fleet-cold fixed")
        assert lent.served > 1.15 * fixed.served

    def test_the_emulator_tells_what_processes_do(self) -> None:
        """The same scenario, the same requests, by processes on sockets and in virtual time."""
        for name in ("fleet-cold lent", "fleet-cold fixed"):
            report, played = self.kept(name), emulate(make_scenario(name, self.values[name]))
            there = [one for one in played.judge.asked.values() if not one.excused]
            assert (played.broken(), len(there)) == ([], report.requests)
            served = sum(one.status == 200 for one in there) / len(there)
            self.assertAlmostEqual(served, report.served, delta=0.08)

    def test_wrong_programs_are_caught(self) -> None:
        """One that takes silence for an end, and one whose lives all have one boot number and never rise."""
        fleet = {"fronts": 5, "boxes": 2, "seconds": 9.0}
        base = {"fleet": fleet, "load": {"rate": 10}, "view": {"enabled": True, "settles_s": 4.0}}
        pause = [
            {"kind": "pause", "at": 1, "of": [3], "lasts_s": 6.0},
            {"kind": "links", "at": 2, "of": [0, 1], "to": [2, 4], "cut": True, "lasts_s": 6.0},
        ]
        roll = [{"kind": "roll", "at": 1, "of": [3]}]
        wrong = {
            "stopped": (
                pause,
                [
                    (
                        "membership/conclusions.py",
                        "if rumour.state is MemberState.LEFT or anew:",
                        "if rumour.state is not MemberState.ALIVE:",
                    )
                ],
            ),
            "view": (
                roll,
                [
                    ("fleet/view.py", "peers.boot or boot or int(time.time() * 1000)", "1"),
                    (
                        "membership/members.py",
                        "self.id, self.count = MemberId(self.id.name, boot + 1), 0",
                        "pass",
                    ),
                ],
            ),
        }
        with tempfile.TemporaryDirectory() as folder, pool(2) as workers:
            plays = {}
            for rule, (troubles, edits) in wrong.items():
                program = Path(folder) / rule
                shutil.copytree(ROOT / "cleatyoke", program / "cleatyoke")
                for part, right, changed in edits:
                    text = (program / "cleatyoke" / part).read_text()
                    assert text.count(right) == 1, part
                    (program / "cleatyoke" / part).write_text(text.replace(right, changed))
                plays[rule] = workers.submit(play_values, rule, {**base, "trouble": troubles}, program)
            for rule, play in plays.items():
                with self.subTest(rule):
                    assert rule in rules(play.result().broken)


class CarrierCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        self.views: list[FleetView] = []

    async def asyncTearDown(self) -> None:
        for view in self.views:
            view.stop()
        await asyncio.sleep(0)

    async def start(self, number: int, boot: int = 1, goes_by: SchedulerSettings | None = None) -> FleetView:
        listen = read_address(f"127.1.2.{number}:{self.port}", "listen")
        seeds = [read_address(f"127.1.2.1:{self.port}", "seeds")]
        peers = FleetSettings("ours", listen, listen, seeds, boot, TIMES)
        view = FleetView(peers, f"n{number}", 1, number, Faults(Metrics()))
        self.views.append(view)
        if goes_by:
            view.say(goes_by)
        await view.start()
        return view

    async def until(self, what: str, wanted: object) -> None:
        """Each view's answer, told by an expression on it."""
        async with asyncio.timeout(10):
            while not all(eval(what, {}, {"view": view}) == wanted for view in self.views):
                await asyncio.sleep(0.02)

    async def test_garbage_foreign_and_replayed_datagrams_by_the_thousand_change_nothing(self) -> None:
        one, other = await self.start(1), await self.start(2)
        await self.until("len(view.members.present)", 1)
        rng = random.Random(1)
        life = Update(MemberId("n2", 1), other.members.address, MemberState.DEAD, 0)
        foreign = wire.encode_datagram("theirs", life, Gossip(), [life])[0]
        own = wire.encode_datagram("ours", other.members.me(), Gossip(), [])[0]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for number in range(2000):
                bad = rng.randbytes(rng.randrange(1, 1400))
                stranger.sendto((bad, foreign, own, own[:-3])[number % 4], ("127.1.2.1", self.port))
                if number % 50 == 0:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            assert list(one.members.lives) == [MemberId("n2", 1)]
            assert one.members.lives[MemberId("n2", 1)].rumour.state is not MemberState.DEAD
            refused = one.members.figures.refused
            assert min(refused["foreign"], refused["corrupt"]) > 300
            stat = dict(line.split("=") for line in one.figures())
            assert int(stat["fleet.refused.foreign"]) == refused["foreign"]
            for _ in range(3):
                one.span, one.taken = asyncio.get_running_loop().time(), MOST_HEARD
                stranger.sendto(own, ("127.1.2.1", self.port))
                await asyncio.sleep(0.02)
        assert one.dropped["flood"] > 0
        reader, writer = await asyncio.open_connection("127.1.2.1", self.port)
        writer.write(b"\xff\xff\xff\xffgarbage")  # a stream of four gigabytes
        assert await reader.read() == b""
        writer.close()
        assert one.faults.metrics.faults == 0

    async def test_what_comes_while_its_sockets_are_opened_is_no_fault(self) -> None:
        """A front that comes back is pinged at its old address before its listener is there."""
        begin, late = asyncio.start_server, socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        life = Update(MemberId("n2", 1), f"127.1.2.2:{self.port}", MemberState.ALIVE, 0)
        ping = wire.encode_datagram("ours", life, wire.Ping(1, MemberId("n1", 1), 0), [])[0]

        async def slow(*words: Any, **more: Any) -> asyncio.Server:
            late.sendto(ping, ("127.1.2.1", self.port))
            await asyncio.sleep(0.05)
            return await begin(*words, **more)

        with late, unittest.mock.patch("asyncio.start_server", slow):
            view = await self.start(1)
        assert (view.faults.metrics.faults, view.dropped["early"]) == (0, 1)

    async def test_fronts_of_other_settings_are_told_of_and_each_keeps_to_its_own(self) -> None:
        ours, theirs = settings(front_count=3, seed=1), settings(front_count=4)
        for number in (1, 2, 3):
            await self.start(number, goes_by=theirs if number == 3 else settings(front_count=3, seed=number))
        await self.until("len(view.members.present)", 2)
        one, _, other = self.views
        async with asyncio.timeout(5):
            while one.differ != ["n3"] or other.differ != ["n1", "n2"]:
                await asyncio.sleep(0.02)
        assert one.replica_lines()[1].endswith("differ=n3")
        assert [view.faults.metrics.faults for view in self.views] == [0] * 3
        other.say(ours)
        async with asyncio.timeout(5):
            while one.differ or other.differ:
                await asyncio.sleep(0.02)

    async def test_two_processes_of_one_name_are_both_seen_and_the_younger_takes_the_address(self) -> None:
        old, witness = await self.start(1, boot=1), await self.start(2)
        new = await self.start(1, boot=2)
        await self.until("len(view.members.present)", 2)
        assert not new.members.alone
        both = {MemberId("n1", 1), MemberId("n1", 2)}
        assert both <= witness.conclusion().perhaps_up
        self.views.remove(old)
        old.stop()
        await self.until("view.members.alone", True)
        await self.until("len(view.members.over)", 1)
        assert witness.conclusion().certainly_stopped == {MemberId("n1", 1)}
        assert witness.members.lives[MemberId("n1", 2)].rumour.address == f"127.1.2.1:{self.port}"
        shown = read_view([*witness.lines(), "EOT"])
        assert shown.lives["n1", 1] == ("left", "certainly-stopped")


class SettingsCase(unittest.TestCase):
    def test_nothing_of_it_is_imported_while_it_is_off_and_the_operators_are_told_so(self) -> None:
        look = (
            "import sys, cleatyoke.__main__; sys.exit(any(name.startswith(('cleatyoke.fleet', 'msgspec', "
            "'cleatyoke.membership', 'cleatyoke.coordination', 'cleatyoke.emulation')) "
            "for name in sys.modules))"
        )
        assert subprocess.run([sys.executable, "-c", look], cwd=ROOT).returncode == 0
        off = ControlCommands(lambda: True, list, bool, bool, lambda: None, lambda: None)
        assert answer_command(off, "show-fleet") == ["FAILURE no view of the fleet is kept"]

    def test_each_key_is_checked_and_named(self) -> None:
        good = {"enabled": "true", "deployment": '"d"', "listen": '"127.0.0.1:7"', "seeds": "[]"}
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "fronts.toml"
            for key, value in (
                ("deployment", '""'),
                ("deployment", "7"),
                ("listen", '"127.0.0.1:0"'),
                ("seeds", '["x"]'),
                ("seeds", "[1]"),
                ("period_s", "0"),
                ("period_s", "9999"),
                ("gossip_s", "0.5"),
                ("answer_s", "2"),
                ("boot", "-1"),
                ("advertise", '"here"'),
                ("hosts", "3"),
                ("", ""),
            ):
                keys = {**good, key: value} if key else good
                path.write_text("[fleet]\n" + "\n".join(f"{name} = {text}" for name, text in keys.items()))
                with self.subTest(key=key, value=value):
                    if not key:
                        assert read_fronts_file(path, {}, {})[3] is not None
                        continue
                    with pytest.raises(ConfigError, match=f"^fronts.toml: fleet.{key}:"):
                        read_fronts_file(path, {}, {})
