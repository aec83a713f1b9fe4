"""Fleet views on real sockets: invalid and foreign traffic, differing settings, and an upgrade."""

from __future__ import annotations

import asyncio
import random
import socket
import unittest.mock
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from cleatyoke.config.addresses import read_address
from cleatyoke.config.fronts_file import FleetSettings
from cleatyoke.fleet.sockets import MAX_DATAGRAMS_PER_SECOND
from cleatyoke.fleet.view import FleetView
from cleatyoke.membership import wire
from cleatyoke.membership.wire import Gossip, MemberId, MemberState, Update
from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.settings import SchedulerSettings
from cleatyoke.testbed.view_checks import read_view
from tests.driven_front import settings

INTERVALS = {"period": 0.1, "answer": 0.03, "gossip": 0.02, "sync": 1.0, "departed": 0.2, "join": 0.2}


class LocalFleet:
    """Fleet views in this process, each on its own loopback address by number."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.views: list[FleetView] = []

    async def start(
        self, number: int, boot: int = 1, announced: SchedulerSettings | None = None
    ) -> FleetView:
        listen = read_address(f"127.1.2.{number}:{self.port}", "listen")
        seeds = [read_address(f"127.1.2.1:{self.port}", "seeds")]
        fleet_settings = FleetSettings("ours", listen, listen, seeds, boot, INTERVALS)
        view = FleetView(fleet_settings, f"n{number}", 1, number, Faults(Metrics()))
        self.views.append(view)
        if announced:
            view.announce_settings(announced)
        await view.start()
        return view

    async def wait_until(self, condition: Callable[[FleetView], bool]) -> None:
        """Wait until the condition holds for all views."""
        async with asyncio.timeout(10):
            while not all(condition(view) for view in self.views):
                await asyncio.sleep(0.02)


@asynccontextmanager
async def local_fleet() -> AsyncIterator[LocalFleet]:
    """Yield a fleet on a free port, and stop its views afterwards."""
    with socket.socket() as port_finder:
        port_finder.bind(("127.0.0.1", 0))
        port = port_finder.getsockname()[1]
    fleet = LocalFleet(port)
    try:
        yield fleet
    finally:
        for view in fleet.views:
            view.stop()
        await asyncio.sleep(0)


def test_garbage_foreign_and_replayed_datagrams_by_the_thousand_change_nothing() -> None:
    """An unknown sender sends random bytes, another deployment's messages, replays, and an oversized stream.

    All of it must be rejected and counted, and datagrams above the rate limit must be dropped.
    """
    asyncio.run(send_garbage(), debug=True)


async def send_garbage() -> None:
    async with local_fleet() as fleet:
        view, peer = await fleet.start(1), await fleet.start(2)
        await fleet.wait_until(lambda view: len(view.membership.active_members) == 1)
        rng = random.Random(1)
        update = Update(MemberId("n2", 1), peer.membership.address, MemberState.DEAD, 0)
        foreign = wire.encode_datagram("theirs", update, Gossip(), [update])[0]
        valid = wire.encode_datagram("ours", peer.membership.own_update(), Gossip(), [])[0]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in range(2000):
                garbage = rng.randbytes(rng.randrange(1, 1400))
                sender.sendto((garbage, foreign, valid, valid[:-3])[number % 4], ("127.1.2.1", fleet.port))
                if number % 50 == 0:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            assert list(view.membership.records) == [MemberId("n2", 1)]
            assert view.membership.records[MemberId("n2", 1)].update.state is not MemberState.DEAD
            rejected = view.membership.counters.rejected
            assert min(rejected["foreign"], rejected["corrupt"]) > 300
            metrics = dict(line.split("=") for line in view.metric_lines())
            assert int(metrics["fleet.refused.foreign"]) == rejected["foreign"]
            for _ in range(3):
                view.sockets.datagram_limit.second_began = asyncio.get_running_loop().time()
                view.sockets.datagram_limit.received = MAX_DATAGRAMS_PER_SECOND
                sender.sendto(valid, ("127.1.2.1", fleet.port))
                await asyncio.sleep(0.02)
        assert view.dropped["flood"] > 0
        reader, writer = await asyncio.open_connection("127.1.2.1", fleet.port)
        writer.write(b"\xff\xff\xff\xffgarbage")  # announces a stream of 4 GiB
        assert await reader.read() == b""
        writer.close()
        assert view.faults.metrics.faults == 0


def test_fleet_view_datagram_before_stream_listener_is_dropped() -> None:
    """A restarted front is pinged at its old address before its stream listener is open."""
    asyncio.run(send_early_ping(), debug=True)


async def send_early_ping() -> None:
    start_server = asyncio.start_server
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    async with local_fleet() as fleet:
        update = Update(MemberId("n2", 1), f"127.1.2.2:{fleet.port}", MemberState.ALIVE, 0)
        ping = wire.encode_datagram("ours", update, wire.Ping(1, MemberId("n1", 1), 0), [])[0]

        async def start_server_slowly(*args: Any, **kwargs: Any) -> asyncio.Server:
            sender.sendto(ping, ("127.1.2.1", fleet.port))
            await asyncio.sleep(0.05)
            return await start_server(*args, **kwargs)

        with sender, unittest.mock.patch("asyncio.start_server", start_server_slowly):
            view = await fleet.start(1)
        assert (view.faults.metrics.faults, view.dropped["early"]) == (0, 1)


def test_fleet_view_differing_settings_are_reported_until_equal() -> None:
    """One of three fronts runs with other settings, as if a change had not reached it.

    All fronts report this until its settings are the same. Seeds are set per front and don't count as a
    difference.
    """
    asyncio.run(announce_other_settings(), debug=True)


async def announce_other_settings() -> None:
    async with local_fleet() as fleet:
        common_settings, other_settings = settings(front_count=3, seed=1), settings(front_count=4)
        for number in (1, 2, 3):
            with_own_seed = settings(front_count=3, seed=number)
            await fleet.start(number, announced=other_settings if number == 3 else with_own_seed)
        await fleet.wait_until(lambda view: len(view.membership.active_members) == 2)
        first, _, third = fleet.views
        async with asyncio.timeout(5):
            while first.differing_fronts != ["n3"] or third.differing_fronts != ["n1", "n2"]:
                await asyncio.sleep(0.02)
        assert first.replica_lines()[1].endswith("differ=n3")
        assert [view.faults.metrics.faults for view in fleet.views] == [0] * 3
        third.announce_settings(common_settings)
        async with asyncio.timeout(5):
            while first.differing_fronts or third.differing_fronts:
                await asyncio.sleep(0.02)


def test_fleet_view_upgrade_counts_both_processes_and_moves_the_address() -> None:
    """During an upgrade a second process of a front starts while the first still owns the configured address.

    Both must be counted while both run. After the first has left, the second moves to the address, and the
    first has certainly stopped.
    """
    asyncio.run(upgrade_front(), debug=True)


def known_address(view: FleetView, member: MemberId) -> str:
    """Return the address of another member in a view; empty for the view's own member."""
    return view.membership.records[member].update.address if member in view.membership.records else ""


async def upgrade_front() -> None:
    async with local_fleet() as fleet:
        old, observer = await fleet.start(1, boot=1), await fleet.start(2)
        new = await fleet.start(1, boot=2)
        await fleet.wait_until(lambda view: len(view.membership.active_members) == 2)
        assert not new.membership.owns_address
        both = {MemberId("n1", 1), MemberId("n1", 2)}
        assert both <= observer.conclusion().perhaps_up
        fleet.views.remove(old)
        old.stop()
        await fleet.wait_until(lambda view: view.membership.owns_address)
        await fleet.wait_until(lambda view: len(view.membership.left_members) == 1)
        # The move is gossiped, so it reaches the observer some gossip intervals later.
        await fleet.wait_until(
            lambda view: known_address(view, MemberId("n1", 2)) in ("", f"127.1.2.1:{fleet.port}")
        )
        assert observer.conclusion().certainly_stopped == {MemberId("n1", 1)}
        assert observer.membership.records[MemberId("n1", 2)].update.address == f"127.1.2.1:{fleet.port}"
        parsed = read_view([*observer.status_lines(), "EOT"])
        assert parsed.lives["n1", 1] == ("left", "certainly-stopped")
