"""Load probes: which node is asked and when; then on the simulator's wire, and over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import unittest
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke import simulator
from cleatyoke.config.settings import read_settings
from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory
from cleatyoke.http.answers import BackendResponse, decode_load_probe
from cleatyoke.http.backends import BackendPools
from cleatyoke.http.load_probes import LoadProbeRunner
from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from cleatyoke.scheduling.load_probes import (
    MIN_PROBE_GAP,
    MIN_REPORTS,
    PROBE_PERIOD,
    REPORT_LIFETIME,
    LoadProber,
)
from tests.scripted_peers import ScriptedHttpBackend, answer, config, instance, listed
from tests.test_simulator import FACTS, ROOT, SHELF

SLOW_START_DURATION = 10.0  # seconds


def node_list(**since: float) -> EndpointUpdate:
    """Live nodes by ``nN``, each with its start."""
    entries = [
        Endpoint(int(name[1:]), int(name[1:]), 0, EndpointState.LIVE, at) for name, at in since.items()
    ]
    return EndpointUpdate(UpdateKind.SNAPSHOT, entries)


def probes_until(prober: LoadProber, until: float, now: float = 0.0) -> list[tuple[float, int]]:
    asked = []
    while (now := prober.next_at(now)) <= until:
        if (node := prober.step(now)) is not None:
            asked.append((now, node))
        else:
            now += 0.001
    return asked


class LoadProberTest(unittest.TestCase):
    def test_warm_nodes_are_probed_and_only_while_one_warms_up(self) -> None:
        prober = LoadProber(2, SLOW_START_DURATION, 1)
        prober.on_endpoints(node_list(n1=0.0, n2=0.0, n3=0.0))
        assert probes_until(prober, 60.0) == []
        prober.on_endpoints(EndpointUpdate(UpdateKind.DELTA, node_list(n4=100.0).endpoints))
        asked = probes_until(prober, 130.0, 100.0)
        assert {node for _, node in asked} == {1, 2, 3}
        assert 100.0 <= asked[0][0] <= 101.0
        assert 109.0 < asked[-1][0] < 100.0 + SLOW_START_DURATION
        gone = Endpoint(4, 4, 0, EndpointState.REMOVED, 100.0)
        prober.on_endpoints(EndpointUpdate(UpdateKind.DELTA, [gone]))
        assert probes_until(prober, 130.0, 105.0) == []

    @settings(max_examples=40, deadline=None)
    @given(st.integers(1, 12), st.integers(1, 40), st.integers(0, 1 << 30))
    def test_all_fronts_together_probe_a_node_once_in_its_period(
        self, fronts: int, nodes: int, seed: int
    ) -> None:
        asked: list[tuple[float, int]] = []
        for front in range(fronts):
            prober = LoadProber(fronts, 100.0, seed + front)
            prober.on_endpoints(node_list(**{f"n{number}": 0.0 for number in range(nodes)}, n99=10.0))
            mine = probes_until(prober, 40.0, 10.0)
            assert all(b[0] - a[0] >= MIN_PROBE_GAP - 1e-09 for a, b in zip(mine, mine[1:]))
            asked += mine
        assert len(asked) <= nodes * (30.0 / PROBE_PERIOD + 1) + fronts
        counts = [sum(node == number for _, node in asked) for number in range(nodes)]
        assert max(counts) - min(counts) <= fronts

    def test_what_is_not_known_counts_as_fully_used(self) -> None:
        """A node does not answer its probe. If it counted as idle, a warming node would be sent too much."""
        prober = LoadProber(1, SLOW_START_DURATION, 1)
        prober.on_endpoints(node_list(n1=0.0, n2=0.0, n3=0.0, n4=0.0))
        for node in range(1, MIN_REPORTS):
            prober.on_report(node, 5.0, 0.4)
        assert prober.utilization(5.0) == 1.0
        prober.on_report(3, 5.0, None)  # it did not answer
        assert prober.utilization(5.0) == pytest.approx(0.6, rel=0, abs=5e-8)
        prober.on_report(3, 6.0, 0.1)
        assert prober.utilization(6.0) == pytest.approx(0.3, rel=0, abs=5e-8)
        assert prober.utilization(6.0 + REPORT_LIFETIME) == 1.0  # the others' are old by then
        prober.on_endpoints(node_list(n3=0.0))
        assert prober.utilization(6.0) == pytest.approx(0.1, rel=0, abs=5e-8)  # there is no other

    def test_a_report_that_cannot_be_read_counts_as_none(self) -> None:
        for body, utilization in (
            (b"TEXT util=0.61", 0.61),
            (b"cpu=2, queue=1", 1.0),
            (b"", None),
            (b"util=x", None),
            (b"util=1.2.3", None),
            (b"\xff\x00util", None),
            (b" " * 2000 + b"util=0.5", None),
        ):
            assert decode_load_probe(BackendResponse(200, {}, body, True)) == utilization, body
        assert decode_load_probe(BackendResponse(404, {}, b"util=0.5", True)) is None


class SimulatorProbesTest(unittest.TestCase):
    def facts(self, how: str, probes: bool = True, fields: tuple[str, ...] = ("cpu",)) -> dict[str, Any]:
        limits = {**FACTS["PolicyLimits"], "Probes": probes}
        return {**FACTS, "PolicyLimits": limits, "Report": {"How": how, "Fields": list(fields)}}

    def test_probes_are_on_only_where_load_is_reported_by_probes_alone(self) -> None:
        assert read_settings(self.facts("probe"), 1).load_by_probes
        for off in (
            self.facts("answers"),
            self.facts("none"),
            self.facts("probe", False),
            self.facts("probe", fields=("queue",)),
            FACTS,
        ):
            assert not read_settings(off, 1).load_by_probes

    def test_nothing_of_probes_is_imported_where_they_are_off(self) -> None:
        look = "import sys, cleatyoke.__main__; sys.exit(any('probes' in name for name in sys.modules))"
        assert subprocess.run([sys.executable, "-c", look], cwd=ROOT).returncode == 0

    def test_the_simulator_adapter_probes_and_its_scheduler_is_notified(self) -> None:
        adapter = simulator.SimulatorAdapter()
        number = 0

        def batch(now: float, *news: dict[str, Any]) -> list[dict[str, Any]]:
            nonlocal number
            number += 1
            line = json.dumps({"TsS": now, "round": number, "news": [{"Head": 0, **one} for one in news]})
            return list(adapter.reply(line)["steps"])

        warming = {**SHELF, "Shelf": 12, "Pack": 1, "UpSinceS": 5.0}
        batch(
            5.0,
            {"type": "CATALOG", "Slot": 0, "Elements": [SHELF, warming]},
            {"type": "BORN", "RngSeed": 1, "Facts": self.facts("probe")},
        )
        steps = batch(5.1, {"type": "ROSTER_CHANGE", "Slot": 0, "Revision": 1, "Mode": "warm_copy"})
        asked = [one for one in steps if one["type"] == "TOUCH"]
        for _ in range(3):
            timer = next(
                one for one in steps if one["type"] == "TIMER" and one["Ref"] == simulator.PROBE_TIMER_TOKEN
            )
            if asked:
                break
            steps = batch(5.1 + timer["AfterS"] + 0.001, {"type": "BELL", "Ref": simulator.PROBE_TIMER_TOKEN})
            asked = [one for one in steps if one["type"] == "TOUCH"]
        assert asked == [{"type": "TOUCH", "Head": 0, "Shelf": 11}]
        assert adapter.schedulers[0].state.utilization == 1.0
        batch(
            7.5,
            {"type": "HEALTH", "Shelf": 11, "Disposition": "completed", "SpentS": 0.01, "HealthInfo": [0.4]},
        )
        assert adapter.schedulers[0].state.utilization == pytest.approx(0.4, rel=0, abs=5e-8)


class ProbesOverSocketsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_backend_is_probed_over_a_connection_and_a_silent_one_counts_as_fully_used(self) -> None:
        """A backend accepts connections and answers no more: its load is unknown, so it counts as full."""

        async def script(_trace: str) -> bytes:
            msg = "no request was made"
            raise AssertionError(msg)

        class Asked(ScriptedHttpBackend):
            silent = False

            async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                while True:
                    self.heads.append((await reader.readuntil(b"\r\n\r\n")).decode())
                    if self.silent:
                        await reader.read()
                        return
                    writer.write(answer(200, b"TEXT util=0.25"))

        backend = await Asked(script).start()
        self.addCleanup(backend.stop)
        core, directory = Core(config().settings), Directory({})
        pools = BackendPools(directory, 0.25, 30.0, 32)
        self.addCleanup(pools.close)
        probes = LoadProbeRunner(core, pools, LoadProber(1, 3600.0, 1), 0.1, Faults(Metrics()))
        probes.start()
        self.addCleanup(probes.stop)
        core.notify(listed(directory, instance("s-a", backend.port), whole=True))
        fresh = Endpoint(2, 1, 0, EndpointState.LIVE, core.now())
        core.notify(EndpointUpdate(UpdateKind.DELTA, [fresh]))
        async with asyncio.timeout(5):
            while core.scheduler.state.utilization != 0.25:
                await asyncio.sleep(0.01)
            backend.silent = True
            while core.scheduler.state.utilization != 1.0:
                await asyncio.sleep(0.01)
        assert backend.heads[0].startswith("GET /metrics/load HTTP/1.1\r\n")
        assert backend.accepted == 1  # it rests between probes
        await asyncio.sleep(0.2)
        assert pools.open_connections <= 1
