"""Tests for the discovery watch with scripted agents over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import unittest
import unittest.mock

from cleatyoke.config.addresses import Address
from cleatyoke.discovery.directory import Directory
from cleatyoke.discovery.discovery import Discovery
from cleatyoke.discovery.listings import read_endpoint_list
from cleatyoke.scheduling.events import (
    EndpointState,
    EndpointUpdate,
    SchedulerEvent,
    UpdateKind,
)
from tests.http_case import (
    listing_entry,
)
from tests.scripted_peers import ScriptedDiscovery, answer


class DiscoveryTests(unittest.IsolatedAsyncioTestCase):
    async def test_watch_with_a_malformed_line_requests_the_complete_list(self) -> None:
        complete_list = {"generation": 7, "reset": True, "instances": [listing_entry("SERVING")]}
        change = {"generation": 8, "reset": False, "instances": [listing_entry("DRAINING")]}
        agent = await ScriptedDiscovery(
            complete_list, [[b"", b"{malformed"], [b"", json.dumps(change).encode()]]
        ).start()
        directory, events = Directory({}), asyncio.Queue[SchedulerEvent]()
        discovery = Discovery(Address("127.0.0.1", agent.port), directory, events.put_nowait)
        discovery.start()
        async with asyncio.timeout(5):
            received = [await events.get() for _ in range(3)]
        discovery.stop()
        agent.stop()
        kinds = [
            (event.kind, event.endpoints[0].state) for event in received if isinstance(event, EndpointUpdate)
        ]
        snapshot = (UpdateKind.SNAPSHOT, EndpointState.LIVE)
        assert kinds == [snapshot, snapshot, (UpdateKind.DELTA, EndpointState.DRAINING)]
        assert (
            len({event.endpoints[0].node_id for event in received if isinstance(event, EndpointUpdate)}) == 1
        )
        assert not directory.is_serving(1)

    async def test_migration_keeps_the_old_watch_until_the_new_list_is_applied(self) -> None:
        old_list = {"generation": 70, "reset": True, "instances": [listing_entry("SERVING")]}
        new_list = {"generation": 7, "reset": True, "instances": [listing_entry("SERVING", 10)]}
        old_change = {"generation": 71, "reset": False, "instances": [listing_entry("DRAINING")]}
        old, new = (
            await ScriptedDiscovery(old_list, [[b""]]).start(),
            await ScriptedDiscovery(new_list, []).start(),
        )
        directory, events = Directory({}), asyncio.Queue[SchedulerEvent]()
        discovery = Discovery(Address("127.0.0.1", old.port), directory, events.put_nowait)
        silent = await asyncio.start_server(lambda _reader, _writer: asyncio.sleep(60), "127.0.0.1", 0)
        discovery.start()
        async with asyncio.timeout(5):
            await events.get()
            while len(old.asked) < 2:  # the list, then the watch
                await asyncio.sleep(0.005)
            discovery.migrate(Address("127.0.0.1", silent.sockets[0].getsockname()[1]))
            for writer in old.writers:  # the new agent is silent: the old one is still used
                line = json.dumps(old_change).encode()
                writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            await events.get()
            assert not directory.is_serving(1)
            discovery.migrate(Address("127.0.0.1", new.port))
            await events.get()
            while old.open or len(new.asked) < 2:
                await asyncio.sleep(0.005)
        assert directory.instances[1].address.port == 10
        assert new.asked == ["/discovery/hosts", "/discovery/hosts?watch=1&after=7"]
        assert len(discovery.watches) == 1
        discovery.stop()
        for peer in (old, new):
            peer.stop()
        silent.close()

    async def test_silent_dedicated_agent_after_an_outage_reports_a_drain_at_once(self) -> None:
        """An agent falls silent, and does not answer its pending calls even after discovery recovers.

        If fronts waited for these calls or backed off, they would learn of drains up to 15 s late.
        """
        listing = {"generation": 70, "reset": True, "instances": [listing_entry("SERVING")]}
        drain = {"generation": 71, "reset": False, "instances": [listing_entry("DRAINING")]}
        down = asyncio.Event()

        async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            target = (await reader.readuntil(b"\r\n\r\n")).split()[1]
            if down.is_set():
                await asyncio.sleep(60)  # never answered, even after discovery recovers
            writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps(watch_line if b"watch" in target else listing).encode()
            writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            if b"watch" not in target:
                writer.write(b"0\r\n\r\n")
            await asyncio.sleep(60)

        watch_line = {"generation": 70, "reset": False, "instances": []}
        server = await asyncio.start_server(agent, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        clients = []
        with unittest.mock.patch("cleatyoke.discovery.watch.IDLE_TIMEOUT", 0.6):
            for seed in range(12):
                directory = Directory({})
                clients.append(
                    Discovery(address, directory, lambda _event: None, 200, seed, dedicated_agent=True)
                )
                clients[-1].start()
            async with asyncio.timeout(3):
                while not all(client.directory.instances for client in clients):
                    await asyncio.sleep(0.01)
            down.set()
            await asyncio.sleep(2.5)
            down.clear()
            watch_line = drain
            await asyncio.sleep(1.0)  # the drain grace period
            still_serving = [client for client in clients if client.directory.is_serving(1)]
            for client in clients:
                client.stop()
        server.close()
        assert still_serving == []

    async def test_overloaded_discovery_is_called_with_backoff_and_the_last_list_is_kept(self) -> None:
        calls: list[float] = []

        async def answer_unavailable(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                calls.append(asyncio.get_running_loop().time())
                writer.write(answer(503))

        server = await asyncio.start_server(answer_unavailable, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        directory, clients = Directory({}), []
        listing = read_endpoint_list(
            {"generation": 7, "reset": True, "instances": [listing_entry("SERVING")]}
        )
        for seed in range(40):
            clients.append(Discovery(address, directory, lambda _event: None, fronts=40, seed=seed))
            clients[-1].apply(listing)
            clients[-1].start()
        await asyncio.sleep(1.3)
        for client in clients:
            client.stop()
        server.close()
        # With a fixed delay of 0.25 s, each front would make five calls in this time.
        assert len(calls) >= 40
        assert len(calls) < 80
        assert directory.is_serving(1)
