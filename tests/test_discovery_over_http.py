"""The watch of discovery against scripted agents over loopback sockets."""

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
    async def test_a_malformed_line_is_skipped_and_the_complete_list_requested(self) -> None:
        whole = {"generation": 7, "reset": True, "instances": [listing_entry("SERVING")]}
        change = {"generation": 8, "reset": False, "instances": [listing_entry("DRAINING")]}
        agent = await ScriptedDiscovery(whole, [[b"", b"{tea"], [b"", json.dumps(change).encode()]]).start()
        directory, told = Directory({}), asyncio.Queue[SchedulerEvent]()
        discovery = Discovery(Address("127.0.0.1", agent.port), directory, told.put_nowait)
        discovery.start()
        async with asyncio.timeout(5):
            news = [await told.get() for _ in range(3)]
        discovery.stop()
        agent.stop()
        kinds = [(one.kind, one.endpoints[0].state) for one in news if isinstance(one, EndpointUpdate)]
        full = (UpdateKind.SNAPSHOT, EndpointState.LIVE)
        assert kinds == [full, full, (UpdateKind.DELTA, EndpointState.DRAINING)]
        assert len({one.endpoints[0].node_id for one in news if isinstance(one, EndpointUpdate)}) == 1
        assert not directory.is_serving(1)

    async def test_a_move_to_another_agent_keeps_the_old_watch_until_the_new_list_has_come(self) -> None:
        old_list = {"generation": 70, "reset": True, "instances": [listing_entry("SERVING")]}
        new_list = {"generation": 7, "reset": True, "instances": [listing_entry("SERVING", 10)]}
        later = {"generation": 71, "reset": False, "instances": [listing_entry("DRAINING")]}
        old, new = (
            await ScriptedDiscovery(old_list, [[b""]]).start(),
            await ScriptedDiscovery(new_list, []).start(),
        )
        directory, told = Directory({}), asyncio.Queue[SchedulerEvent]()
        discovery = Discovery(Address("127.0.0.1", old.port), directory, told.put_nowait)
        silent = await asyncio.start_server(lambda _reader, _writer: asyncio.sleep(60), "127.0.0.1", 0)
        discovery.start()
        async with asyncio.timeout(5):
            await told.get()
            while len(old.asked) < 2:  # the list, then the watch
                await asyncio.sleep(0.005)
            discovery.migrate(Address("127.0.0.1", silent.sockets[0].getsockname()[1]))
            for writer in old.writers:  # the new one is silent: the old one still counts
                line = json.dumps(later).encode()
                writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            await told.get()
            assert not directory.is_serving(1)
            discovery.migrate(Address("127.0.0.1", new.port))
            await told.get()
            while old.open or len(new.asked) < 2:
                await asyncio.sleep(0.005)
        assert directory.instances[1].address.port == 10
        assert new.asked == ["/discovery/hosts", "/discovery/hosts?watch=1&after=7"]
        assert len(discovery.watches) == 1
        discovery.stop()
        for peer in (old, new):
            peer.stop()
        silent.close()

    async def test_what_a_silent_agent_gets_at_discoverys_return_is_received_at_once(self) -> None:
        """An agent falls silent, and its silent watches never speak again, though discovery returns.

        If fronts waited their turn to ask again, drains at the return would be received up to 15 s late.
        """
        listing = {"generation": 70, "reset": True, "instances": [listing_entry("SERVING")]}
        drain = {"generation": 71, "reset": False, "instances": [listing_entry("DRAINING")]}
        down = asyncio.Event()

        async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            target = (await reader.readuntil(b"\r\n\r\n")).split()[1]
            if down.is_set():
                await asyncio.sleep(60)  # for good, though discovery returns
            writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps(told if b"watch" in target else listing).encode()
            writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            if b"watch" not in target:
                writer.write(b"0\r\n\r\n")
            await asyncio.sleep(60)

        told = {"generation": 70, "reset": False, "instances": []}
        server = await asyncio.start_server(agent, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        hosts = []
        with unittest.mock.patch("cleatyoke.discovery.watch.IDLE_TIMEOUT", 0.6):
            for seed in range(12):
                directory = Directory({})
                hosts.append(Discovery(address, directory, lambda _event: None, 200, seed, own_agent=True))
                hosts[-1].start()
            async with asyncio.timeout(3):
                while not all(host.directory.instances for host in hosts):
                    await asyncio.sleep(0.01)
            down.set()
            await asyncio.sleep(2.5)
            down.clear()
            told = drain
            await asyncio.sleep(1.0)  # what the settings allow from then on
            late = [host for host in hosts if host.directory.is_serving(1)]
            for host in hosts:
                host.stop()
        server.close()
        assert late == []

    async def test_an_overloaded_discovery_is_not_hammered_and_the_last_list_stands(self) -> None:
        calls: list[float] = []

        async def refuse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                calls.append(asyncio.get_running_loop().time())
                writer.write(answer(503))

        server = await asyncio.start_server(refuse, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        directory, hosts = Directory({}), []
        listing = read_endpoint_list(
            {"generation": 7, "reset": True, "instances": [listing_entry("SERVING")]}
        )
        for seed in range(40):
            hosts.append(Discovery(address, directory, lambda _event: None, fronts=40, seed=seed))
            hosts[-1].apply(listing)
            hosts[-1].start()
        await asyncio.sleep(1.3)
        for host in hosts:
            host.stop()
        server.close()
        # A pause of 0.25 s would make five calls of each in this time.
        assert len(calls) >= 40
        assert len(calls) < 80
        assert directory.is_serving(1)
