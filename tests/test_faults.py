"""Containment of unforeseen exceptions: each is counted, and periodic calls and watches continue."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from cleatyoke.config.addresses import Address
from cleatyoke.discovery.directory import Directory
from cleatyoke.discovery.discovery import Discovery
from cleatyoke.process.faults import Faults, PeriodicCall
from cleatyoke.process.metrics import Metrics
from tests.scripted_peers import ScriptedDiscovery


class FaultContainmentTests(unittest.IsolatedAsyncioTestCase):
    async def test_periodic_call_continues_after_an_exception(self) -> None:
        """The first call raises; it is counted as one fault, and the following calls are made."""
        metrics, calls = Metrics(), []

        def act() -> None:
            calls.append(0)
            if len(calls) == 1:
                msg = "once"
                raise RuntimeError(msg)

        periodic = PeriodicCall(Faults(metrics), "test", 0.01, act)
        periodic.start()
        await asyncio.sleep(0.06)
        periodic.stop()
        assert len(calls) > 2
        assert metrics.faults == 1

    async def test_loop_exceptions_in_callback_and_unawaited_task_are_counted(self) -> None:
        """A callback and a task that is never awaited raise exceptions, which asyncio would only log."""
        metrics, loop = Metrics(), asyncio.get_running_loop()
        Faults(metrics).watch_loop(loop)
        loop.call_soon(lambda: [][0])

        async def fail() -> None:
            msg = "never awaited"
            raise KeyError(msg)

        task = asyncio.create_task(fail())
        await asyncio.sleep(0.01)
        del task
        assert metrics.faults == 2

    async def test_failed_discovery_watch_restarts_with_the_complete_list(self) -> None:
        """A fault in the front's own code ends the discovery watch with an IndexError.

        Without a new watch the front would use the last list for ever; it must request the complete list
        again.
        """
        full_list = {"generation": 4, "reset": True, "instances": []}
        agent = await ScriptedDiscovery(full_list, []).start()
        metrics, directory, updates = Metrics(), Directory({}), []
        discovery = Discovery(
            Address("127.0.0.1", agent.port), directory, updates.append, faults=Faults(metrics)
        )
        with mock.patch.object(directory, "apply", side_effect=[IndexError("internal fault"), []]):
            discovery.start()
            async with asyncio.timeout(5):
                while not updates:
                    await asyncio.sleep(0.01)
        assert metrics.faults == 1
        assert agent.asked[:2] == ["/discovery/hosts", "/discovery/hosts"]
        discovery.stop()
        agent.stop()
