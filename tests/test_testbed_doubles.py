"""The testbed's backends and discovery agents on sockets, under faults that hide what they receive."""

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
    """What is written to a box that is cut off never comes; to one that stands still, it came then."""

    async def write(self, **during: Any) -> list[float]:
        """When two requests came: one written amid the trouble and given up, and one written after it."""
        checker, clock = RuleChecker(PLAIN.plans, PLAIN.terms), asyncio.get_running_loop().time
        box = BackendDouble("s-0", 0, "basement", checker, clock)
        await box.start_incarnation(BackendModel(PLAIN.backend_capacity, None))
        self.addCleanup(box.stop)
        began = clock()
        if during.get("cut"):
            box.set_silent(True)
        else:
            stall = asyncio.ensure_future(box.stall(0.3))
            self.addCleanup(stall.cancel)
        for trace in ("amid", "after"):
            form = RequestContent("GET", f"/api?block={trace}", None, b"")
            checker.on_request(trace, ClientRequestRecord(0, 0, READ, 1.0, began, began + 1.5, form))
            reader, writer = await asyncio.open_connection("127.0.0.1", box.port)
            writer.write(f"GET {form.target} HTTP/1.1\r\nX-Trace-Id: {trace}\r\n\r\n".encode())
            if trace == "amid":
                await asyncio.sleep(0.1)
                writer.close()  # its front gives it up
                await asyncio.sleep(0.3)
                box.set_silent(False) if during.get("cut") else None
            else:
                await reader.readline()
                writer.close()
        return [made.arrived_at - began for one in checker.requests.values() for made in one.attempts]

    async def test_a_box_that_is_cut_off(self) -> None:
        (after,) = await self.write(cut=True)
        assert after > 0.35

    async def test_a_box_that_stands_still(self) -> None:
        amid, after = await self.write()
        assert amid < 0.25
        assert after > 0.35


class DiscoveryAgentTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_line_for_a_watch_that_the_front_has_closed_tells_it_nothing(self) -> None:
        """Lists late by more than the front waits: it asks again, and only what it could read counts."""
        registry, told = Registry(), list[tuple[int, str]]()
        await registry.set("s-0", lifecycle="SERVING")
        checker = mock.Mock()
        checker.on_drain_notice = lambda front, name, at: told.append((front, name))
        agent = DiscoveryAgent(0, registry, checker, asyncio.get_running_loop().time)
        agent.delay = 0.2
        await agent.start()
        for stays in (False, True):
            reader, writer = await asyncio.open_connection("127.0.0.1", agent.port)
            writer.write(b"GET /discovery/hosts?watch=1&after=0 HTTP/1.1\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            if not stays:
                writer.close()
            await asyncio.sleep(0.4)
            assert told == [(0, "s-0")] * stays
            writer.close()
        agent.stop()
