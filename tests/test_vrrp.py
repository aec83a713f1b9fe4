"""VRRP: the state machine with times calculated by hand, and a takeover over UDP on loopback."""

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
    def start_backup(self, priority: int = 128, preempt: bool = True) -> VirtualRouter:
        router = VirtualRouter(priority, 1.0, "10.0.0.2", preempt=preempt)
        assert router.startup(100.0) == []
        return router

    def test_backup_takes_over_after_three_intervals_and_skew_time(self) -> None:
        router = self.start_backup()  # skew (256 - 128) / 256 = 0.5
        assert (router.state, router.timer_at) == (RouterState.BACKUP, 103.5)
        assert router.receive(advertisement(200), "10.0.0.1", 102.0) == []
        assert router.timer_at == 105.5
        assert router.on_timer(105.4) == []
        assert router.on_timer(105.5) == [128]
        assert (router.state, router.timer_at) == (RouterState.MASTER, 106.5)

    def test_owner_is_master_at_startup_and_advertises_its_shutdown(self) -> None:
        router = VirtualRouter(255, 1.0, "10.0.0.2", preempt=True)
        assert router.startup(100.0) == [255]
        assert router.shutdown() == [0]
        assert router.state == RouterState.INITIALIZE

    def test_backup_replaces_stopping_master_after_skew_time(self) -> None:
        router = self.start_backup()
        router.receive(advertisement(0), "10.0.0.1", 101.0)
        assert router.timer_at == 101.5

    def test_preemption_decides_whether_lower_priority_resets_timer(self) -> None:
        for preempt, expected_timer_at in ((True, 103.5), (False, 105.5)):
            router = self.start_backup(preempt=preempt)
            router.receive(advertisement(100), "10.0.0.1", 102.0)
            assert router.timer_at == expected_timer_at

    def test_of_two_masters_the_lower_priority_or_address_becomes_backup(self) -> None:
        """Two routers are master at once, as after a network partition.

        Both would serve the virtual address. The one of lower priority, or of lower address if the
        priorities are equal, must become backup.
        """
        for priority, source, remains_master in (
            (100, "10.0.0.9", True),
            (200, "10.0.0.1", False),
            (128, "10.0.0.1", True),
            (128, "10.0.0.10", False),
        ):
            router = self.start_backup()
            router.on_timer(103.5)
            router.receive(advertisement(priority), source, 104.0)
            assert (router.state is RouterState.MASTER) == remains_master, (priority, source)

    def test_backup_uses_interval_of_its_master(self) -> None:
        router = self.start_backup()
        router.receive(advertisement(200, 2.0), "10.0.0.1", 102.0)
        assert router.timer_at == 102.0 + 6.0 + 1.0

    def test_advertisement_survives_encoding_and_malformed_ones_are_rejected(self) -> None:
        message = encode_advertisement(advertisement(100, 2.5))
        assert message[:6] == bytes([49, 1, 100, 1, 0, 250])
        assert decode_advertisement(message) == advertisement(100, 2.5)
        malformed = (b"", message[:-4], bytes([0x21]) + message[1:], message[:-1] + b"\0", message + bytes(4))
        for datagram in malformed:
            with pytest.raises(AdvertisementError):
                decode_advertisement(datagram)


class TakeoverTests(unittest.IsolatedAsyncioTestCase):
    async def test_backup_becomes_master_when_master_stops(self) -> None:
        """The master stops, as in an upgrade.

        Without its final advertisement, the virtual address would be unserved for the master down interval.
        """
        carriers: list[VrrpCarrier] = []
        changes: list[asyncio.Queue[bool]] = []
        for host, priority in (("127.0.0.1", 200), ("127.0.0.2", 100)):
            mastership: asyncio.Queue[bool] = asyncio.Queue()
            config = VrrpSettings(Address(host, 0), [], 1, priority, 0.05, True, ["10.0.0.9"])
            carriers.append(VrrpCarrier(config, mastership.put))
            changes.append(mastership)
        first = await carriers[0].start()
        carriers[1].config.peers.append(first)
        second = await carriers[1].start()
        carriers[0].config.peers.append(second)
        async with asyncio.timeout(5):
            while not await changes[0].get():
                pass
            # The second router may have become master first; it then yields to the higher priority.
            while carriers[1].router.state is RouterState.MASTER:
                await changes[1].get()
            await carriers[0].stop()
            while not await changes[1].get():
                pass
        assert carriers[1].router.state is RouterState.MASTER
        await carriers[1].stop()
