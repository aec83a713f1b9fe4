"""Unforeseen exceptions: each is counted and reported, and the duty in which it came goes on."""

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


class ContainedFaults(unittest.IsolatedAsyncioTestCase):
    async def test_a_periodic_call_goes_on_after_one_that_raises(self) -> None:
        """The first call raises. It is counted as one fault, and the next calls come all the same."""
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

    async def test_a_lost_task_and_a_callback_that_raises_are_counted_and_end_nothing(self) -> None:
        """A callback raises, and so does a task that nobody awaits. asyncio would only log both."""
        metrics, loop = Metrics(), asyncio.get_running_loop()
        Faults(metrics).watch_loop(loop)
        loop.call_soon(lambda: [][0])

        async def dies() -> None:
            msg = "nobody awaits this"
            raise KeyError(msg)

        task = asyncio.create_task(dies())
        await asyncio.sleep(0.01)
        del task
        assert metrics.faults == 2

    async def test_a_discovery_watch_that_raises_is_started_again_with_the_complete_list(self) -> None:
        """An IndexError of ours ends the discovery watch.

        Without a new one the front would serve for ever by the last list; it asks for the whole list
        again.
        """
        whole = {"generation": 4, "reset": True, "instances": []}
        agent = await ScriptedDiscovery(whole, []).start()
        metrics, directory, updates = Metrics(), Directory({}), []
        discovery = Discovery(
            Address("127.0.0.1", agent.port), directory, updates.append, faults=Faults(metrics)
        )
        with mock.patch.object(directory, "apply", side_effect=[IndexError("a fault of ours"), []]):
            discovery.start()
            async with asyncio.timeout(5):
                while not updates:
                    await asyncio.sleep(0.01)
        assert metrics.faults == 1
        assert agent.asked[:2] == ["/discovery/hosts", "/discovery/hosts"]
        discovery.stop()
        agent.stop()
