"""Tests of the backend and discovery doubles on sockets, under faults that lose or delay messages."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from cleatyoke.testbed.backend import BackendDouble
from cleatyoke.testbed.backend_model import BackendModel
from cleatyoke.testbed.checker import ClientRequestRecord, RequestContent, RuleChecker
from cleatyoke.testbed.discovery_agent import DiscoveryAgent, Registry
from cleatyoke.testbed.scenario_file import parse_scenario

FLEET = {"fronts": 2, "boxes": 4, "seconds": 3.0, "limit": 10}
PLAIN = parse_scenario("plain", {"fleet": FLEET, "load": {"rate": 10, "units": 1}})
READ, WRITE = PLAIN.request_classes


class SilentBackendTests(unittest.IsolatedAsyncioTestCase):
    """A request to a silent backend never arrives; one to a stalled backend arrives when it was sent."""

    async def arrival_times(self, **options: Any) -> list[float]:
        """Return when requests arrived: one sent and cancelled during the fault, and one sent after it."""
        checker, clock = RuleChecker(PLAIN.plans, PLAIN.terms), asyncio.get_running_loop().time
        backend = BackendDouble("s-0", 0, "basement", checker, clock)
        await backend.start_incarnation(BackendModel(PLAIN.backend_capacity, None))
        self.addCleanup(backend.stop)
        started_at = clock()
        if options.get("cut"):
            backend.set_silent(True)
        else:
            stall = asyncio.ensure_future(backend.stall(0.3))
            self.addCleanup(stall.cancel)
        for trace in ("during", "after"):
            content = RequestContent("GET", f"/api?block={trace}", None, b"")
            checker.on_request(
                trace, ClientRequestRecord(0, 0, READ, 1.0, started_at, started_at + 1.5, content)
            )
            reader, writer = await asyncio.open_connection("127.0.0.1", backend.port)
            writer.write(f"GET {content.target} HTTP/1.1\r\nX-Trace-Id: {trace}\r\n\r\n".encode())
            if trace == "during":
                await asyncio.sleep(0.1)
                writer.close()  # its front cancels the request
                await asyncio.sleep(0.3)
                backend.set_silent(False) if options.get("cut") else None
            else:
                await reader.readline()
                writer.close()
        return [
            attempt.arrived_at - started_at for one in checker.requests.values() for attempt in one.attempts
        ]

    async def test_request_to_silent_backend_never_arrives(self) -> None:
        (after_fault,) = await self.arrival_times(cut=True)
        assert after_fault > 0.35

    async def test_request_to_stalled_backend_arrives_when_sent(self) -> None:
        during_fault, after_fault = await self.arrival_times()
        assert during_fault < 0.25
        assert after_fault > 0.35


class DiscoveryAgentTests(unittest.IsolatedAsyncioTestCase):
    async def test_change_for_closed_watch_notifies_no_front(self) -> None:
        """Guards against a change counted as received by a front that had closed the watch.

        The agent delays lists by more than the front waits, so the front asks again.
        """
        registry, notified = Registry(), list[tuple[int, str]]()
        await registry.set("s-0", lifecycle="SERVING")
        checker = mock.Mock()
        checker.on_drain_notice = lambda front, name, at: notified.append((front, name))
        agent = DiscoveryAgent(0, registry, checker, asyncio.get_running_loop().time)
        agent.delay = 0.2
        await agent.start()
        for stays_open in (False, True):
            reader, writer = await asyncio.open_connection("127.0.0.1", agent.port)
            writer.write(b"GET /discovery/hosts?watch=1&after=0 HTTP/1.1\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            if not stays_open:
                writer.close()
            await asyncio.sleep(0.4)
            assert notified == [(0, "s-0")] * stays_open
            writer.close()
        agent.stop()
