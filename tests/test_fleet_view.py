"""Fronts' views of their fleet on real sockets, against what strangers send and in an upgrade."""

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

TIMES = {"period": 0.1, "answer": 0.03, "gossip": 0.02, "sync": 1.0, "departed": 0.2, "join": 0.2}


class LocalFleet:
    """Views on loopback addresses, one for each number."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.views: list[FleetView] = []

    async def start(
        self, number: int, boot: int = 1, announced: SchedulerSettings | None = None
    ) -> FleetView:
        listen = read_address(f"127.1.2.{number}:{self.port}", "listen")
        seeds = [read_address(f"127.1.2.1:{self.port}", "seeds")]
        fleet_settings = FleetSettings("ours", listen, listen, seeds, boot, TIMES)
        view = FleetView(fleet_settings, f"n{number}", 1, number, Faults(Metrics()))
        self.views.append(view)
        if announced:
            view.announce_settings(announced)
        await view.start()
        return view

    async def until(self, holds: Callable[[FleetView], bool]) -> None:
        """Wait until this holds of each view."""
        async with asyncio.timeout(10):
            while not all(holds(view) for view in self.views):
                await asyncio.sleep(0.02)


@asynccontextmanager
async def local_fleet() -> AsyncIterator[LocalFleet]:
    """A fleet on a free port, ended at the end."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    fleet = LocalFleet(port)
    try:
        yield fleet
    finally:
        for view in fleet.views:
            view.stop()
        await asyncio.sleep(0)


def test_garbage_foreign_and_replayed_datagrams_by_the_thousand_change_nothing() -> None:
    """A stranger sends random bytes, another deployment's messages, replays and an endless stream.

    All of it has to be rejected and counted, and a flood must cost no more than its bound.
    """
    asyncio.run(send_garbage(), debug=True)


async def send_garbage() -> None:
    async with local_fleet() as fleet:
        one, other = await fleet.start(1), await fleet.start(2)
        await fleet.until(lambda view: len(view.membership.active_members) == 1)
        rng = random.Random(1)
        update = Update(MemberId("n2", 1), other.membership.address, MemberState.DEAD, 0)
        foreign = wire.encode_datagram("theirs", update, Gossip(), [update])[0]
        own = wire.encode_datagram("ours", other.membership.own_update(), Gossip(), [])[0]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for number in range(2000):
                bad = rng.randbytes(rng.randrange(1, 1400))
                stranger.sendto((bad, foreign, own, own[:-3])[number % 4], ("127.1.2.1", fleet.port))
                if number % 50 == 0:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            assert list(one.membership.records) == [MemberId("n2", 1)]
            assert one.membership.records[MemberId("n2", 1)].update.state is not MemberState.DEAD
            rejected = one.membership.counters.rejected
            assert min(rejected["foreign"], rejected["corrupt"]) > 300
            metrics = dict(line.split("=") for line in one.metric_lines())
            assert int(metrics["fleet.refused.foreign"]) == rejected["foreign"]
            for _ in range(3):
                one.sockets.datagram_limit.second_began = asyncio.get_running_loop().time()
                one.sockets.datagram_limit.received = MAX_DATAGRAMS_PER_SECOND
                stranger.sendto(own, ("127.1.2.1", fleet.port))
                await asyncio.sleep(0.02)
        assert one.dropped["flood"] > 0
        reader, writer = await asyncio.open_connection("127.1.2.1", fleet.port)
        writer.write(b"\xff\xff\xff\xffgarbage")  # a stream of four gigabytes
        assert await reader.read() == b""
        writer.close()
        assert one.faults.metrics.faults == 0


def test_a_datagram_that_comes_while_sockets_are_opened_is_no_fault() -> None:
    """A front that comes back is pinged at its old address before its stream listener is there."""
    asyncio.run(ping_too_early(), debug=True)


async def ping_too_early() -> None:
    begin = asyncio.start_server
    early = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    async with local_fleet() as fleet:
        update = Update(MemberId("n2", 1), f"127.1.2.2:{fleet.port}", MemberState.ALIVE, 0)
        ping = wire.encode_datagram("ours", update, wire.Ping(1, MemberId("n1", 1), 0), [])[0]

        async def slow(*words: Any, **more: Any) -> asyncio.Server:
            early.sendto(ping, ("127.1.2.1", fleet.port))
            await asyncio.sleep(0.05)
            return await begin(*words, **more)

        with early, unittest.mock.patch("asyncio.start_server", slow):
            view = await fleet.start(1)
        assert (view.faults.metrics.faults, view.dropped["early"]) == (0, 1)


def test_fronts_with_other_settings_are_reported_and_each_keeps_its_own() -> None:
    """One of three fronts runs with other settings, as where a change has not reached it.

    All say so until it runs with the same; seeds, which are each front's own, are no difference.
    """
    asyncio.run(announce_other_settings(), debug=True)


async def announce_other_settings() -> None:
    async with local_fleet() as fleet:
        ours, theirs = settings(front_count=3, seed=1), settings(front_count=4)
        for number in (1, 2, 3):
            same = settings(front_count=3, seed=number)
            await fleet.start(number, announced=theirs if number == 3 else same)
        await fleet.until(lambda view: len(view.membership.active_members) == 2)
        one, _, other = fleet.views
        async with asyncio.timeout(5):
            while one.differing_fronts != ["n3"] or other.differing_fronts != ["n1", "n2"]:
                await asyncio.sleep(0.02)
        assert one.replica_lines()[1].endswith("differ=n3")
        assert [view.faults.metrics.faults for view in fleet.views] == [0] * 3
        other.announce_settings(ours)
        async with asyncio.timeout(5):
            while one.differing_fronts or other.differing_fronts:
                await asyncio.sleep(0.02)


def test_two_processes_of_one_name_are_both_seen_and_the_younger_takes_the_address() -> None:
    """An upgrade: a second process of a front starts while the first still holds the stated address.

    Both must be counted as long as both run. Once the first has left, the second moves to the address, and
    the first is proven to be over.
    """
    asyncio.run(upgrade_front(), debug=True)


def known_address(view: FleetView, member: MemberId) -> str:
    """The address that a view has of another member; none of itself."""
    return view.membership.records[member].update.address if member in view.membership.records else ""


async def upgrade_front() -> None:
    async with local_fleet() as fleet:
        old, witness = await fleet.start(1, boot=1), await fleet.start(2)
        new = await fleet.start(1, boot=2)
        await fleet.until(lambda view: len(view.membership.active_members) == 2)
        assert not new.membership.owns_address
        both = {MemberId("n1", 1), MemberId("n1", 2)}
        assert both <= witness.conclusion().perhaps_up
        fleet.views.remove(old)
        old.stop()
        await fleet.until(lambda view: view.membership.owns_address)
        await fleet.until(lambda view: len(view.membership.left_members) == 1)
        # The move is gossiped: the witness has it some gossip intervals later.
        await fleet.until(
            lambda view: known_address(view, MemberId("n1", 2)) in ("", f"127.1.2.1:{fleet.port}")
        )
        assert witness.conclusion().certainly_stopped == {MemberId("n1", 1)}
        assert witness.membership.records[MemberId("n1", 2)].update.address == f"127.1.2.1:{fleet.port}"
        shown = read_view([*witness.status_lines(), "EOT"])
        assert shown.lives["n1", 1] == ("left", "certainly-stopped")
