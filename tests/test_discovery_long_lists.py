"""Tests for long endpoint lists, which are applied in parts, and for lists over the size limit."""

from __future__ import annotations

import asyncio
import gc
import json
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import pytest
import structlog

from cleatyoke.config.addresses import Address
from cleatyoke.core import Core
from cleatyoke.discovery import listings
from cleatyoke.discovery.directory import Directory, EndpointList, Instance
from cleatyoke.discovery.discovery import Discovery
from cleatyoke.discovery.errors import InvalidListError
from cleatyoke.discovery.listings import MAX_NODES_PER_TURN, decode_endpoint_list
from cleatyoke.discovery.watch import Watch
from cleatyoke.emulation.capacity import nodes
from cleatyoke.scheduling.events import EndpointState, EndpointUpdate, SchedulerEvent, UpdateKind
from tests.scripted_peers import ScriptedDiscovery


def ignore(_: object) -> None:
    """Ignore updates, in place of a scheduler."""


def listed_states(directory: Directory) -> dict[str, tuple[EndpointState, float]]:
    return {node.name: (node.state, node.started_at) for node in directory.instances.values()}


class TestLongLists(unittest.IsolatedAsyncioTestCase):
    """``self.updates``: the updates that the scheduler was notified of, in order."""

    def setUp(self) -> None:
        self.updates: list[EndpointUpdate] = []

    def start_watch(self) -> Watch:
        self.core = Core(nodes.settings(10))

        def notify(event: SchedulerEvent) -> None:
            assert isinstance(event, EndpointUpdate)
            self.updates.append(event)
            self.core.notify(event)

        self.directory = Directory({})
        with mock.patch.object(Watch, "run", asyncio.Event().wait):  # makes no calls
            self.discovery = Discovery(Address("127.0.0.1", 1), self.directory, notify, 10)
            return self.watch()

    def watch(self) -> Watch:
        watch = Watch(self.discovery, Address("127.0.0.1", 1), None)
        watch.task.cancel()
        self.discovery.watches.append(watch)
        return watch

    async def test_long_list_applied_in_parts_gives_the_same_directory(self) -> None:
        """A list of very many nodes must neither block the event loop nor delay the drains in it."""
        watch, text = self.start_watch(), nodes.list_text(4000, version=9, draining=40)
        await watch.apply_text(text, UpdateKind.SNAPSHOT)
        await asyncio.sleep(0.01)
        expected = Directory({})
        expected.apply(decode_endpoint_list(text))
        assert listed_states(self.directory) == listed_states(expected)
        assert (self.directory.version, watch.version) == (9, 9)
        assert self.directory.count_unavailable() == 40
        assert len(self.core.scheduler.table.holders) == 3960
        assert len(self.updates[0].endpoints) == 40, "draining nodes come first"
        assert max(len(update.endpoints) for update in self.updates) <= MAX_NODES_PER_TURN
        assert len(self.updates) >= 3960 / MAX_NODES_PER_TURN

    async def test_long_list_leaves_turns_to_the_event_loop(self) -> None:
        watch, iterations = self.start_watch(), 0

        async def count() -> None:
            nonlocal iterations
            while True:
                iterations += 1
                await asyncio.sleep(0)

        counter = asyncio.create_task(count())
        await watch.apply_text(nodes.list_text(4000))
        counter.cancel()
        assert iterations >= 2 * 4000 / MAX_NODES_PER_TURN, "decoded in parts and applied in parts"

    async def test_long_list_without_changes_notifies_the_scheduler_of_nothing(self) -> None:
        watch = self.start_watch()
        await watch.apply_text(nodes.list_text(4000))
        self.updates.clear()
        await watch.apply_text(nodes.list_text(4000, version=2))
        assert sum(len(update.endpoints) for update in self.updates) == 0
        assert self.directory.version == 2

    async def test_long_list_removes_missing_nodes_first(self) -> None:
        watch = self.start_watch()
        await watch.apply_text(nodes.list_text(4000))
        self.updates.clear()
        await watch.apply_text(nodes.list_text(3900, version=2))
        await asyncio.sleep(0.01)
        assert {entry.state for entry in self.updates[0].endpoints} == {EndpointState.REMOVED}
        assert len(self.updates[0].endpoints) == 100
        assert len(self.core.scheduler.table.holders) == 3900

    async def test_long_list_with_one_malformed_entry_is_rejected_as_a_whole(self) -> None:
        """A list with an error in the middle must not be applied in part: the rest would count as removed."""
        watch = self.start_watch()
        self.addCleanup(gc.enable if gc.isenabled() else gc.disable)
        gc.enable()  # importing the daemon disables it
        await watch.apply_text(nodes.list_text(2000))
        before, self.updates[:] = listed_states(self.directory), []
        value = json.loads(nodes.list_text(3000, version=2, draining=2000))
        for malformed in ({"lifecycle": "ASLEEP"}, {"hostPort": 5}, {"cell": "x"}):
            value["instances"][2500].update(malformed)
            with self.subTest(malformed=malformed), pytest.raises(InvalidListError):
                await watch.apply_text(json.dumps(value).encode())
        valid = nodes.list_text(3000)
        not_a_list = b'{"generation":1,"instances":7' + b" " * 200_000 + b"}"
        for text in (b"[" * 200_000, not_a_list, valid[:-2], valid.replace(b'n": 1,', b'n": "1",', 1)):
            with self.subTest(text=text[:40]), pytest.raises(InvalidListError):
                await watch.apply_text(text)
        assert (listed_states(self.directory), self.updates, self.directory.version) == (before, [], 1)
        assert gc.isenabled()

    async def test_long_list_of_a_replaced_agent_does_not_override_a_newer_list(self) -> None:
        """The new agent's list arrives and overrides a long list of the old one that is partly applied."""
        old = self.start_watch()
        await old.apply_text(nodes.list_text(2000))
        new = self.watch()
        old_task = asyncio.create_task(old.apply_text(nodes.list_text(1500, version=2)))
        with mock.patch.object(self.discovery, "end_retired"):
            self.discovery.complete_list_applied(new)
            new_node = Instance("s-new", Address("10.9.9.9", 1), "z", 9999, EndpointState.LIVE, 5.0)
            new.apply(EndpointList(50, False, [new_node]))
            await old_task
        assert self.directory.find("s-new")

    async def test_long_list_that_takes_longer_than_the_idle_timeout_keeps_the_watch(self) -> None:
        """Applying a list may take longer than the idle timeout, which must not end the watch."""
        agent = ScriptedDiscovery(json.loads(nodes.list_text(2)), [[nodes.list_text(3000, version=3)]])
        async with asyncio.timeout(10):
            await agent.start()
            directory = Directory({})
            with (
                mock.patch.object(listings, "MAX_NODES_PER_TURN", 100),
                mock.patch("cleatyoke.discovery.discovery.MAX_NODES_PER_TURN", 100),
                mock.patch("cleatyoke.discovery.watch.MAX_NODES_PER_TURN", 100),
                mock.patch("cleatyoke.discovery.watch.IDLE_TIMEOUT", 0.05),
                structlog.testing.capture_logs() as logs,
            ):
                original_read = listings.read_instance

                def slow(entry: Any) -> Instance:
                    if entry["cell"] % 500 == 0:
                        time.sleep(0.02)
                    return original_read(entry)

                with mock.patch.object(listings, "read_instance", slow):
                    address = Address("127.0.0.1", agent.port)
                    discovery = Discovery(address, directory, ignore, dedicated_agent=True)
                    discovery.start()
                    while directory.version != 3:
                        assert not [entry for entry in logs if entry["event"] == "discovery_lost"]
                        await asyncio.sleep(0.005)
                discovery.stop()
            agent.stop()

    async def logged_rejections(self, agent: ScriptedDiscovery, is_done: Callable[[], bool]) -> list[Any]:
        """Return the logged rejections of a front that knows node s-known, until a condition is true."""
        await agent.start()
        self.directory = Directory({})
        known = Instance("s-known", Address("10.0.0.1", 1), "z", 1, EndpointState.LIVE, 5.0)
        self.directory.apply(EndpointList(4, True, [known]))
        with (
            mock.patch.object(listings, "MAX_LIST_BYTES", 2000),
            mock.patch("cleatyoke.discovery.schedule.MAX_CALL_INTERVAL", 0.02),
            structlog.testing.capture_logs() as logs,
        ):
            address = Address("127.0.0.1", agent.port)
            discovery = Discovery(address, self.directory, ignore, dedicated_agent=True)
            discovery.start()
            async with asyncio.timeout(10):
                while not is_done():  # noqa: ASYNC110 (there is no event to wait for)
                    await asyncio.sleep(0.005)
            discovery.stop()
        agent.stop()
        return [entry for entry in logs if entry["event"] == "discovery_list_refused"]

    async def test_change_over_the_size_limit_is_rejected_and_logged_once(self) -> None:
        """A list that would exhaust the memory is not read; it is logged once, and known nodes stay."""
        long_list = nodes.list_text(100, version=5)
        short_list = json.dumps({"generation": 6, "instances": []}).encode()
        agent = ScriptedDiscovery({}, [[long_list], [long_list], [long_list], [short_list]])
        (event,) = await self.logged_rejections(agent, lambda: self.directory.version == 6)
        assert (event["log_level"], "2000 bytes" in event["reason"]) == ("error", True)
        assert self.directory.find("s-known")
        assert len(agent.asked) == 4

    async def test_complete_list_over_the_size_limit_is_rejected(self) -> None:
        agent = ScriptedDiscovery(json.loads(nodes.list_text(100, version=5)), [[b"malformed"]])
        events = await self.logged_rejections(agent, lambda: len(agent.asked) >= 4)
        assert len(events) == 1
        assert self.directory.find("s-known")
