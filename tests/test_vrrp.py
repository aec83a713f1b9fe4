"""VRRP: the state machine with times worked by hand, and a takeover over UDP on loopback."""

from __future__ import annotations

import asyncio
import unittest

import pytest

from cleatyoke.config.addresses import Address
from cleatyoke.config.fronts_file import VrrpSettings
from cleatyoke.vrrp.carrier import VrrpCarrier
from cleatyoke.vrrp.messages import (
    Advertisement,
    AdvertisementError,
    decode_advertisement,
    encode_advertisement,
)
from cleatyoke.vrrp.virtual_router import RouterState, VirtualRouter


def advertisement(priority: int, interval: float = 1.0) -> Advertisement:
    return Advertisement(1, priority, interval, ("10.0.0.9",))


class VirtualRouterTests(unittest.TestCase):
    def backup(self, priority: int = 128, preempt: bool = True) -> VirtualRouter:
        router = VirtualRouter(priority, 1.0, "10.0.0.2", preempt=preempt)
        assert router.startup(100.0) == []
        return router

    def test_a_backup_takes_over_after_three_intervals_and_its_skew(self) -> None:
        router = self.backup()  # skew (256 - 128) / 256 = 0.5
        assert (router.state, router.timer_at) == (RouterState.BACKUP, 103.5)
        assert router.receive(advertisement(200), "10.0.0.1", 102.0) == []
        assert router.timer_at == 105.5
        assert router.on_timer(105.4) == []
        assert router.on_timer(105.5) == [128]
        assert (router.state, router.timer_at) == (RouterState.MASTER, 106.5)

    def test_the_owner_is_master_at_once_and_announces_its_stop(self) -> None:
        router = VirtualRouter(255, 1.0, "10.0.0.2", preempt=True)
        assert router.startup(100.0) == [255]
        assert router.shutdown() == [0]
        assert router.state == RouterState.INITIALIZE

    def test_a_stopping_master_is_followed_after_the_skew_time_alone(self) -> None:
        router = self.backup()
        router.receive(advertisement(0), "10.0.0.1", 101.0)
        assert router.timer_at == 101.5

    def test_preemption(self) -> None:
        for preempt, due in ((True, 103.5), (False, 105.5)):
            router = self.backup(preempt=preempt)
            router.receive(advertisement(100), "10.0.0.1", 102.0)
            assert router.timer_at == due

    def test_of_two_masters_the_higher_priority_stays_then_the_higher_address(self) -> None:
        """Two routers are master at once, as after a split network.

        Both would serve the virtual address; the lower priority, then the lower address, gives way.
        """
        for priority, source, stays in (
            (100, "10.0.0.9", True),
            (200, "10.0.0.1", False),
            (128, "10.0.0.1", True),
            (128, "10.0.0.10", False),
        ):
            router = self.backup()
            router.on_timer(103.5)
            router.receive(advertisement(priority), source, 104.0)
            assert (router.state is RouterState.MASTER) == stays, (priority, source)

    def test_a_backup_takes_over_the_masters_interval(self) -> None:
        router = self.backup()
        router.receive(advertisement(200, 2.0), "10.0.0.1", 102.0)
        assert router.timer_at == 102.0 + 6.0 + 1.0

    def test_an_advertisement_survives_encoding_and_malformed_ones_are_rejected(self) -> None:
        message = encode_advertisement(advertisement(100, 2.5))
        assert message[:6] == bytes([49, 1, 100, 1, 0, 250])
        assert decode_advertisement(message) == advertisement(100, 2.5)
        wrong = (b"", message[:-4], bytes([0x21]) + message[1:], message[:-1] + b"\0", message + bytes(4))
        for bad in wrong:
            with pytest.raises(AdvertisementError):
                decode_advertisement(bad)


class TakeoverTests(unittest.IsolatedAsyncioTestCase):
    async def test_the_backup_is_master_once_the_master_has_stopped(self) -> None:
        """The master stops, as in an upgrade.

        Without its announcement nobody would serve the virtual address for the master down interval.
        """
        carriers: list[VrrpCarrier] = []
        news: list[asyncio.Queue[bool]] = []
        for host, priority in (("127.0.0.1", 200), ("127.0.0.2", 100)):
            heard: asyncio.Queue[bool] = asyncio.Queue()
            config = VrrpSettings(Address(host, 0), [], 1, priority, 0.05, True, ["10.0.0.9"])
            carriers.append(VrrpCarrier(config, heard.put))
            news.append(heard)
        first = await carriers[0].start()
        carriers[1].config.peers.append(first)
        second = await carriers[1].start()
        carriers[0].config.peers.append(second)
        async with asyncio.timeout(5):
            while not await news[0].get():
                pass
            while (
                carriers[1].router.state is RouterState.MASTER
            ):  # if it was first, it now hears of the other
                await news[1].get()
            await carriers[0].stop()
            while not await news[1].get():
                pass
        assert carriers[1].router.state is RouterState.MASTER
        await carriers[1].stop()
