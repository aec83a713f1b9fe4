"""Tests for watches over loopback: migration to another agent, concurrent calls, truncated responses."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from cleatyoke.config.addresses import Address
from cleatyoke.discovery import discovery as discovery_module
from cleatyoke.discovery.directory import Directory, EndpointList
from cleatyoke.discovery.discovery import Discovery
from cleatyoke.discovery.watch import Watch
from tests.scripted_peers import ScriptedDiscovery, instance

MAX_REPORTING_DELAY = 6.0  # seconds; from the protocol page
HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"


def ignore(_: object) -> None:
    """Ignore updates, in place of a scheduler."""


def change(state: str, started: int = 0, version: int = 8) -> dict[str, Any]:
    entry = {
        "instanceId": "s-a",
        "hostPort": "127.0.0.1:9",
        "zone": "basement",
        "machineType": "m",
        "cell": 0,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": started,
    }
    return {"generation": version, "reset": False, "instances": [entry]}


def complete_list(state: str, started: int = 0) -> dict[str, Any]:
    return {**change(state, started, 7), "reset": True}


def chunk(value: dict[str, Any]) -> bytes:
    text = json.dumps(value).encode()
    return b"%x\r\n%s\n\r\n" % (len(text) + 1, text)


async def until(is_true: Callable[[], Any]) -> None:
    async with asyncio.timeout(5):
        while not is_true():  # noqa: ASYNC110 (there is no event to wait for)
            await asyncio.sleep(0.005)


class TestMigration(unittest.IsolatedAsyncioTestCase):
    """A front with a dedicated agent that lists node 1 as serving."""

    async def start_front(self) -> None:
        self.old: ScriptedDiscovery = await ScriptedDiscovery(complete_list("SERVING"), [[b""]]).start()
        self.directory = Directory({})
        self.discovery = Discovery(
            Address("127.0.0.1", self.old.port), self.directory, ignore, dedicated_agent=True
        )
        self.discovery.start()
        await until(lambda: len(self.old.asked) == 2 and self.directory.is_serving(1))
        self.addAsyncCleanup(self.stop_front)

    async def stop_front(self) -> None:
        self.discovery.stop()
        self.old.stop()

    async def migrate(self, listed: dict[str, Any]) -> ScriptedDiscovery:
        new: ScriptedDiscovery = await ScriptedDiscovery(listed, [[b""]]).start()
        self.addCleanup(new.stop)
        self.discovery.migrate(Address("127.0.0.1", new.port))
        await until(lambda: len(new.asked) == 2)
        return new

    def write(self, agent: ScriptedDiscovery, value: dict[str, Any]) -> None:
        for writer in agent.writers:
            writer.write(chunk(value))

    async def test_migration_to_an_agent_with_an_older_list_keeps_a_reported_drain(self) -> None:
        """The new agent's list is older than a drain that the old agent has sent.

        If it were applied at once, requests would go to a node that is shutting down. It is applied after the
        maximum reporting delay.
        """
        with mock.patch.object(discovery_module, "MAX_REPORTING_DELAY", 0.5):
            await self.start_front()
            self.write(self.old, change("DRAINING"))
            await until(lambda: not self.directory.is_serving(1))
            await self.migrate(complete_list("SERVING"))
            assert not self.directory.is_serving(1)
            await until(lambda: self.directory.is_serving(1))

    async def test_migration_after_a_node_restart_uses_the_node_at_once(self) -> None:
        """A drain of a node's previous incarnation must not block requests to the new one."""
        await self.start_front()
        self.write(self.old, change("DRAINING"))
        await until(lambda: not self.directory.is_serving(1))
        await self.migrate(complete_list("SERVING", started=5_000))
        assert self.directory.is_serving(1)

    async def test_agent_that_revokes_its_own_drain_is_followed_at_once(self) -> None:
        """Only another agent's list can be older than a drain: a later entry of the same agent is current."""
        await self.start_front()
        self.write(self.old, change("DRAINING"))
        await until(lambda: not self.directory.is_serving(1))
        self.write(self.old, change("SERVING", version=9))
        await until(lambda: self.directory.is_serving(1))

    async def test_replaced_watch_with_an_unread_drain_applies_it(self) -> None:
        """A drain is unread in the socket when its watch is replaced: closing at once would lose it."""
        await self.start_front()
        complete_list_applied = self.discovery.complete_list_applied

        def apply_with_unread_line(watch: Watch) -> None:
            self.write(self.old, change("DRAINING"))
            complete_list_applied(watch)

        with mock.patch.object(self.discovery, "complete_list_applied", apply_with_unread_line):
            await self.migrate(complete_list("SERVING"))
            await until(lambda: not self.directory.is_serving(1))
        await until(lambda: not self.old.open)
        assert len(self.discovery.watches) == 1
        assert not self.discovery.retired

    async def test_replaced_watch_with_an_unread_serving_entry_ignores_it(self) -> None:
        """The old agent's last line lists a node as serving that the new agent lists as draining."""
        with mock.patch.object(discovery_module, "MAX_REPORTING_DELAY", 0.4):
            await self.start_front()
            complete_list_applied = self.discovery.complete_list_applied

            def apply_with_unread_line(watch: Watch) -> None:
                self.write(self.old, change("SERVING", version=9))
                complete_list_applied(watch)

            with mock.patch.object(self.discovery, "complete_list_applied", apply_with_unread_line):
                await self.migrate(complete_list("DRAINING"))
                await until(lambda: not self.old.open)
            await asyncio.sleep(0.5)
        assert not self.directory.is_serving(1)


class TestAnswers(unittest.IsolatedAsyncioTestCase):
    async def test_concurrent_calls_that_are_both_answered_apply_only_the_first_response(self) -> None:
        """A slow agent has two concurrent calls of one front: the response that arrives last may be older."""
        asked: list[asyncio.StreamWriter] = []

        async def leave_unanswered(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            asked.append(writer)
            await asyncio.sleep(60)

        server = await asyncio.start_server(leave_unanswered, "127.0.0.1", 0)
        directory = Directory({})
        directory.apply(EndpointList(7, True, [instance("s-a", 1)]))
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        discovery = Discovery(address, directory, ignore, dedicated_agent=True)
        discovery.start()
        await until(lambda: len(asked) == 2)
        asked[1].write(HEAD + chunk(change("DRAINING")))
        asked[0].write(HEAD + chunk(change("SERVING", version=7)))
        await until(lambda: not directory.is_serving(1))
        await asyncio.sleep(0.3)
        assert not directory.is_serving(1)
        assert len(asked) == 2
        discovery.stop()
        server.close()

    async def requests_until_drain(self, first: bytes, dedicated_agent: bool) -> list[str]:
        """Return the request targets that an agent gets until the front knows of its drain.

        The body of the first watch is ``first``, after which the connection is closed, or stays open if
        ``first`` is empty. Later responses are complete and contain the drain.
        """
        asked: list[str] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
                asked.append(target)
                if "watch" not in target:
                    text = json.dumps(complete_list("DRAINING"), indent=2).encode()
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                    continue
                writer.write(HEAD + (first if len(asked) == 1 else chunk(change("DRAINING"))))
                if first and len(asked) == 1:
                    writer.close()
                    return
                await reader.read()
                return

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        directory = Directory({})
        directory.apply(EndpointList(7, True, [instance("s-a", 1)]))
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        discovery = Discovery(address, directory, ignore, 200, dedicated_agent=dedicated_agent)
        discovery.start()
        async with asyncio.timeout(MAX_REPORTING_DELAY):
            while directory.is_serving(1):  # noqa: ASYNC110 (there is no event to wait for)
                await asyncio.sleep(0.005)
        discovery.stop()
        server.close()
        return asked

    async def test_watch_that_ends_within_a_line_is_followed_by_the_complete_list(self) -> None:
        """The connection ends within a line with a drain, which a watch from the same version might skip."""
        truncated_line = chunk(change("DRAINING"))[:60]
        for dedicated_agent in (True, False):
            with self.subTest(dedicated_agent=dedicated_agent):
                await self.requests_until_drain(truncated_line, dedicated_agent)
        line = json.dumps(change("DRAINING")).encode()
        terminated_body = b"1e\r\n" + line[:30] + b"\r\n0\r\n\r\n"  # the body itself is terminated correctly
        assert (await self.requests_until_drain(terminated_body, True))[1] == "/discovery/hosts"

    async def test_watch_that_receives_only_an_http_head_is_called_again(self) -> None:
        """An HTTP head contains no nodes: the front must not take it for a working watch."""
        for dedicated_agent in (True, False):
            with self.subTest(dedicated_agent=dedicated_agent):
                assert len(await self.requests_until_drain(b"", dedicated_agent)) >= 2
