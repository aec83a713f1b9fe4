"""Load probes: selection and timing, the simulator adapter, and probes over loopback sockets."""

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
from tests.test_simulator import FACTS, LIST_ENTRY, ROOT

SLOW_START_DURATION = 10.0  # seconds


def node_list(**since: float) -> EndpointUpdate:
    """A snapshot of live nodes, given as ``nN=start_time``."""
    entries = [
        Endpoint(int(name[1:]), int(name[1:]), 0, EndpointState.LIVE, at) for name, at in since.items()
    ]
    return EndpointUpdate(UpdateKind.SNAPSHOT, entries)


def probes_until(prober: LoadProber, until: float, now: float = 0.0) -> list[tuple[float, int]]:
    probes = []
    while (now := prober.next_at(now)) <= until:
        if (node := prober.step(now)) is not None:
            probes.append((now, node))
        else:
            now += 0.001
    return probes


class LoadProberTest(unittest.TestCase):
    def test_warm_nodes_are_probed_only_while_another_warms_up(self) -> None:
        prober = LoadProber(2, SLOW_START_DURATION, 1)
        prober.on_endpoints(node_list(n1=0.0, n2=0.0, n3=0.0))
        assert probes_until(prober, 60.0) == []
        prober.on_endpoints(EndpointUpdate(UpdateKind.DELTA, node_list(n4=100.0).endpoints))
        probes = probes_until(prober, 130.0, 100.0)
        assert {node for _, node in probes} == {1, 2, 3}
        assert 100.0 <= probes[0][0] <= 101.0
        assert 109.0 < probes[-1][0] < 100.0 + SLOW_START_DURATION
        removed = Endpoint(4, 4, 0, EndpointState.REMOVED, 100.0)
        prober.on_endpoints(EndpointUpdate(UpdateKind.DELTA, [removed]))
        assert probes_until(prober, 130.0, 105.0) == []

    @settings(max_examples=40, deadline=None)
    @given(st.integers(1, 12), st.integers(1, 40), st.integers(0, 1 << 30))
    def test_all_fronts_together_probe_each_node_once_per_period(
        self, fronts: int, nodes: int, seed: int
    ) -> None:
        all_probes: list[tuple[float, int]] = []
        for front in range(fronts):
            prober = LoadProber(fronts, 100.0, seed + front)
            prober.on_endpoints(node_list(**{f"n{number}": 0.0 for number in range(nodes)}, n99=10.0))
            front_probes = probes_until(prober, 40.0, 10.0)
            assert all(b[0] - a[0] >= MIN_PROBE_GAP - 1e-09 for a, b in zip(front_probes, front_probes[1:]))
            all_probes += front_probes
        assert len(all_probes) <= nodes * (30.0 / PROBE_PERIOD + 1) + fronts
        counts = [sum(node == number for _, node in all_probes) for number in range(nodes)]
        assert max(counts) - min(counts) <= fronts

    def test_unknown_utilization_counts_as_full(self) -> None:
        """A node does not answer its probe. If it counted as idle, a warming node would be overloaded."""
        prober = LoadProber(1, SLOW_START_DURATION, 1)
        prober.on_endpoints(node_list(n1=0.0, n2=0.0, n3=0.0, n4=0.0))
        for node in range(1, MIN_REPORTS):
            prober.on_report(node, 5.0, 0.4)
        assert prober.utilization(5.0) == 1.0
        prober.on_report(3, 5.0, None)  # no response
        assert prober.utilization(5.0) == pytest.approx(0.6, rel=0, abs=5e-8)
        prober.on_report(3, 6.0, 0.1)
        assert prober.utilization(6.0) == pytest.approx(0.3, rel=0, abs=5e-8)
        assert prober.utilization(6.0 + REPORT_LIFETIME) == 1.0  # all reports have expired
        prober.on_endpoints(node_list(n3=0.0))
        assert prober.utilization(6.0) == pytest.approx(0.1, rel=0, abs=5e-8)  # the only remaining node

    def test_malformed_report_counts_as_none(self) -> None:
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

    def test_probes_are_enabled_only_if_load_is_reported_by_probes_alone(self) -> None:
        assert read_settings(self.facts("probe"), 1).load_by_probes
        for off in (
            self.facts("answers"),
            self.facts("none"),
            self.facts("probe", False),
            self.facts("probe", fields=("queue",)),
            FACTS,
        ):
            assert not read_settings(off, 1).load_by_probes

    def test_probe_modules_are_not_imported_if_disabled(self) -> None:
        program = "import sys, cleatyoke.__main__; sys.exit(any('probes' in name for name in sys.modules))"
        assert subprocess.run([sys.executable, "-c", program], cwd=ROOT).returncode == 0

    def test_simulator_adapter_probes_and_notifies_its_scheduler(self) -> None:
        adapter = simulator.SimulatorAdapter()
        number = 0

        def batch(now: float, *news: dict[str, Any]) -> list[dict[str, Any]]:
            nonlocal number
            number += 1
            line = json.dumps({"TsS": now, "round": number, "news": [{"Head": 0, **one} for one in news]})
            return list(adapter.reply(line)["steps"])

        warming = {**LIST_ENTRY, "Shelf": 12, "Pack": 1, "UpSinceS": 5.0}
        batch(
            5.0,
            {"type": "CATALOG", "Slot": 0, "Elements": [LIST_ENTRY, warming]},
            {"type": "BORN", "RngSeed": 1, "Facts": self.facts("probe")},
        )
        steps = batch(5.1, {"type": "ROSTER_CHANGE", "Slot": 0, "Revision": 1, "Mode": "warm_copy"})
        probes = [one for one in steps if one["type"] == "TOUCH"]
        for _ in range(3):
            timer = next(
                one for one in steps if one["type"] == "TIMER" and one["Ref"] == simulator.PROBE_TIMER_TOKEN
            )
            if probes:
                break
            steps = batch(5.1 + timer["AfterS"] + 0.001, {"type": "BELL", "Ref": simulator.PROBE_TIMER_TOKEN})
            probes = [one for one in steps if one["type"] == "TOUCH"]
        assert probes == [{"type": "TOUCH", "Head": 0, "Shelf": 11}]
        assert adapter.schedulers[0].state.utilization == 1.0
        batch(
            7.5,
            {"type": "HEALTH", "Shelf": 11, "Disposition": "completed", "SpentS": 0.01, "HealthInfo": [0.4]},
        )
        assert adapter.schedulers[0].state.utilization == pytest.approx(0.4, rel=0, abs=5e-8)


class ProbesOverSocketsTest(unittest.IsolatedAsyncioTestCase):
    async def test_backend_is_probed_and_counts_as_full_when_silent(self) -> None:
        """A backend accepts connections but stops responding: its load is unknown and counts as full."""

        async def script(_trace: str) -> bytes:
            msg = "no request is expected"
            raise AssertionError(msg)

        class ProbedBackend(ScriptedHttpBackend):
            silent = False

            async def serve_connection(
                self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                while True:
                    self.heads.append((await reader.readuntil(b"\r\n\r\n")).decode())
                    if self.silent:
                        await reader.read()
                        return
                    writer.write(answer(200, b"TEXT util=0.25"))

        backend = await ProbedBackend(script).start()
        self.addCleanup(backend.stop)
        core, directory = Core(config().settings), Directory({})
        pools = BackendPools(directory, 0.25, 30.0, 32)
        self.addCleanup(pools.close)
        probes = LoadProbeRunner(core, pools, LoadProber(1, 3600.0, 1), 0.1, Faults(Metrics()))
        probes.start()
        self.addCleanup(probes.stop)
        core.notify(listed(directory, instance("s-a", backend.port), whole=True))
        warming = Endpoint(2, 1, 0, EndpointState.LIVE, core.now())
        core.notify(EndpointUpdate(UpdateKind.DELTA, [warming]))
        async with asyncio.timeout(5):
            while core.scheduler.state.utilization != 0.25:
                await asyncio.sleep(0.01)
            backend.silent = True
            while core.scheduler.state.utilization != 1.0:
                await asyncio.sleep(0.01)
        assert backend.heads[0].startswith("GET /metrics/load HTTP/1.1\r\n")
        assert backend.accepted == 1  # the connection is pooled between probes
        await asyncio.sleep(0.2)
        assert pools.open_connections <= 1
