"""Probes: whom to ask and when, by itself; then on the simulator's wire, and over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke import simulator as simhost
from cleatyoke.config.deployment import read_settings
from cleatyoke.core import Core
from cleatyoke.http.answers import BackendAnswer, decode_load_probe
from cleatyoke.http.backends import BackendPools
from cleatyoke.http.load_probes import LoadProbeRunner
from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from cleatyoke.scheduling.load_probes import ENOUGH, FRESH, LEAST, PERIOD, LoadProber
from tests.test_simhost import FACTS, ROOT, SHELF
from tests.wire import Directory, ScriptedHttpBackend, answer, config, instance, listed

RAMP = 10.0


def node_list(**since: float) -> EndpointUpdate:
    """Live nodes by ``nN``, each with its start."""
    entries = [
        Endpoint(int(name[1:]), int(name[1:]), 0, EndpointState.LIVE, at) for name, at in since.items()
    ]
    return EndpointUpdate(UpdateKind.SNAPSHOT, entries)


def run(prober: LoadProber, until: float, now: float = 0.0) -> list[tuple[float, int]]:
    asked = []
    while (now := prober.next_at(now)) <= until:
        if (node := prober.step(now)) is not None:
            asked.append((now, node))
        else:
            now += 0.001
    return asked


class ProberCase(unittest.TestCase):
    def test_nothing_is_asked_while_no_node_is_cold_and_cold_ones_never(self) -> None:
        prober = LoadProber(2, RAMP, 1)
        prober.listed(node_list(n1=0.0, n2=0.0, n3=0.0))
        assert run(prober, 60.0) == []
        prober.listed(EndpointUpdate(UpdateKind.DELTA, node_list(n4=100.0).endpoints))
        asked = run(prober, 130.0, 100.0)
        assert {node for _, node in asked} == {1, 2, 3}
        assert 100.0 <= asked[0][0] <= 101.0
        assert 109.0 < asked[-1][0] < 100.0 + RAMP
        gone = Endpoint(4, 4, 0, EndpointState.REMOVED, 100.0)
        prober.listed(EndpointUpdate(UpdateKind.DELTA, [gone]))
        assert run(prober, 130.0, 105.0) == []

    @settings(max_examples=40, deadline=None)
    @given(st.integers(1, 12), st.integers(1, 40), st.integers(0, 1 << 30))
    def test_all_hosts_ask_a_node_once_in_its_period(self, hosts: int, nodes: int, seed: int) -> None:
        asked: list[tuple[float, int]] = []
        for host in range(hosts):
            prober = LoadProber(hosts, 100.0, seed + host)
            prober.listed(node_list(**{f"n{number}": 0.0 for number in range(nodes)}, n99=10.0))
            mine = run(prober, 40.0, 10.0)
            assert all(b[0] - a[0] >= LEAST - 1e-09 for a, b in zip(mine, mine[1:]))
            asked += mine
        assert len(asked) <= nodes * (30.0 / PERIOD + 1) + hosts
        counts = [sum(node == number for _, node in asked) for number in range(nodes)]
        assert max(counts) - min(counts) <= hosts

    def test_what_is_not_known_counts_as_busy(self) -> None:
        prober = LoadProber(1, RAMP, 1)
        prober.listed(node_list(n1=0.0, n2=0.0, n3=0.0, n4=0.0))
        for node in range(1, ENOUGH):
            prober.told(node, 5.0, 0.4)
        assert prober.busy(5.0) == 1.0
        prober.told(3, 5.0, None)  # it did not answer
        self.assertAlmostEqual(prober.busy(5.0), 0.6)
        prober.told(3, 6.0, 0.1)
        self.assertAlmostEqual(prober.busy(6.0), 0.3)
        assert prober.busy(6.0 + FRESH) == 1.0  # the others' are old by then
        prober.listed(node_list(n3=0.0))
        self.assertAlmostEqual(prober.busy(6.0), 0.1)  # there is no other

    def test_a_report_that_cannot_be_read_counts_as_none(self) -> None:
        for body, told in (
            (b"TEXT util=0.61", 0.61),
            (b"cpu=2, queue=1", 1.0),
            (b"", None),
            (b"util=x", None),
            (b"util=1.2.3", None),
            (b"\xff\x00util", None),
            (b" " * 2000 + b"util=0.5", None),
        ):
            assert decode_load_probe(BackendAnswer(200, {}, body, True)) == told, body
        assert decode_load_probe(BackendAnswer(404, {}, b"util=0.5", True)) is None


class SettingsCase(unittest.TestCase):
    def facts(self, how: str, probes: bool = True, fields: tuple[str, ...] = ("cpu",)) -> dict[str, Any]:
        limits = {**FACTS["PolicyLimits"], "Probes": probes}
        return {**FACTS, "PolicyLimits": limits, "Report": {"How": how, "Fields": list(fields)}}

    def test_they_are_on_only_where_load_is_told_by_probes_alone(self) -> None:
        assert read_settings(self.facts("probe"), 1).load_by_probes
        for off in (
            self.facts("answers"),
            self.facts("none"),
            self.facts("probe", False),
            self.facts("probe", fields=("queue",)),
            FACTS,
        ):
            assert not read_settings(off, 1).load_by_probes

    def test_nothing_of_them_is_imported_where_they_are_off(self) -> None:
        look = "import sys, cleatyoke.__main__; sys.exit(any('probes' in name for name in sys.modules))"
        assert subprocess.run([sys.executable, "-c", look], cwd=ROOT).returncode == 0

    def test_the_adapter_asks_and_its_policy_hears(self) -> None:
        gateway = simhost.SimulatorAdapter()
        number = 0

        def batch(now: float, *news: dict[str, Any]) -> list[dict[str, Any]]:
            nonlocal number
            number += 1
            line = json.dumps({"TsS": now, "round": number, "news": [{"Head": 0, **one} for one in news]})
            return list(gateway.reply(line)["steps"])

        cold = {**SHELF, "Shelf": 12, "Pack": 1, "UpSinceS": 5.0}
        batch(
            5.0,
            {"type": "CATALOG", "Slot": 0, "Elements": [SHELF, cold]},
            {"type": "BORN", "RngSeed": 1, "Facts": self.facts("probe")},
        )
        steps = batch(5.1, {"type": "ROSTER_CHANGE", "Slot": 0, "Revision": 1, "Mode": "warm_copy"})
        asked = [one for one in steps if one["type"] == "TOUCH"]
        for _ in range(3):
            bell = next(one for one in steps if one["type"] == "TIMER" and one["Ref"] == simhost.PROBE)
            if asked:
                break
            steps = batch(5.1 + bell["AfterS"] + 0.001, {"type": "BELL", "Ref": simhost.PROBE})
            asked = [one for one in steps if one["type"] == "TOUCH"]
        assert asked == [{"type": "TOUCH", "Head": 0, "Shelf": 11}]
        assert gateway.policies[0].busy == 1.0
        batch(
            7.5,
            {"type": "HEALTH", "Shelf": 11, "Disposition": "completed", "SpentS": 0.01, "HealthInfo": [0.4]},
        )
        self.assertAlmostEqual(gateway.policies[0].busy, 0.4)


class WireCase(unittest.IsolatedAsyncioTestCase):
    async def test_a_box_is_asked_over_a_connection_and_a_silent_one_counts_as_busy(self) -> None:
        async def script(trace: str) -> bytes:
            raise AssertionError("no request was made")

        class Asked(ScriptedHttpBackend):
            silent = False

            async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                while True:
                    self.heads.append((await reader.readuntil(b"\r\n\r\n")).decode())
                    if self.silent:
                        await reader.read()
                        return
                    writer.write(answer(200, b"TEXT util=0.25"))

        box = await Asked(script).start()
        self.addCleanup(box.stop)
        core, directory = Core(config().settings), Directory({})
        boxes = BackendPools(directory, 0.25, 30.0, 32)
        self.addCleanup(boxes.close)
        probes = LoadProbeRunner(core, boxes, LoadProber(1, 3600.0, 1), 0.1, Faults(Metrics()))
        probes.start()
        self.addCleanup(probes.stop)
        core.tell(listed(directory, instance("s-a", box.port), whole=True))
        fresh = Endpoint(2, 1, 0, EndpointState.LIVE, core.now())
        core.tell(EndpointUpdate(UpdateKind.DELTA, [fresh]))
        async with asyncio.timeout(5):
            while core.policy.busy != 0.25:
                await asyncio.sleep(0.01)
            box.silent = True
            while core.policy.busy != 1.0:
                await asyncio.sleep(0.01)
        assert box.heads[0].startswith("GET /metrics/load HTTP/1.1\r\n")
        assert box.accepted == 1  # it rests between probes
        await asyncio.sleep(0.2)
        assert boxes.open_connections <= 1
