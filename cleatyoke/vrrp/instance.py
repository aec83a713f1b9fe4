"""VRRP version 3 (RFC 5798): the state machine, without a clock or a wire, and its carrier over UDP.

The carrier stands in for IP protocol 112: peers are named instead of a multicast group, so there is no check
of the TTL, and the checksum covers the VRRP message alone (UDP's own covers the addresses).
"""

from __future__ import annotations

import asyncio
import ipaddress
import math
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

import structlog

from cleatyoke.config.deployment import Address, VrrpSettings

log = structlog.get_logger()


class AdvertisementError(ValueError):
    """A datagram that is no advertisement for this router."""


class RouterState(Enum):
    INITIALIZE = "initialize"
    BACKUP = "backup"
    MASTER = "master"


@dataclass(slots=True, frozen=True)
class Advertisement:
    router: int
    priority: int
    interval: float  # seconds
    addresses: tuple[str, ...]


def checksum(message: bytes) -> int:
    total: int = sum(struct.unpack(f">{len(message) // 2}H", message))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def encode(advertisement: Advertisement) -> bytes:
    addresses = b"".join(ipaddress.ip_address(one).packed for one in advertisement.addresses)
    head = (0x31, advertisement.router, advertisement.priority, len(advertisement.addresses))
    centiseconds = round(advertisement.interval * 100) & 0xFFF
    body = struct.pack(">BBBBHH", *head, centiseconds, 0) + addresses
    return body[:6] + struct.pack(">H", checksum(body)) + body[8:]


def decode(message: bytes) -> Advertisement:
    if len(message) < 12 or len(message) % 4:
        msg = f"{len(message)} bytes"
        raise AdvertisementError(msg)
    kind, router, priority, count, interval = struct.unpack(">BBBBH", message[:6])
    if kind != 0x31:
        msg = f"version and type {kind:#x}"
        raise AdvertisementError(msg)
    if checksum(message):
        msg = "checksum"
        raise AdvertisementError(msg)
    size, odd = divmod(len(message) - 8, count) if count else (0, 1)
    if odd or size not in (4, 16):
        msg = f"{count} addresses"
        raise AdvertisementError(msg)
    parts = [message[start : start + size] for start in range(8, len(message), size)]
    addresses = tuple(str(ipaddress.ip_address(part)) for part in parts)
    return Advertisement(router, priority, (interval & 0xFFF) / 100, addresses)


class VirtualRouter:
    """A virtual router's state machine (RFC 5798, 6.4). Each event returns the priorities to advertise now;
    ``due`` is when ``timer`` wants to be called next.
    """

    def __init__(self, priority: int, interval: float, preempt: bool, address: str) -> None:
        self.priority, self.interval, self.preempt = priority, interval, preempt
        self.address = ipaddress.ip_address(address)  # the primary one, which breaks ties
        self.state, self.timer_at = RouterState.INITIALIZE, math.inf
        self.master_interval = interval

    @property
    def skew_time(self) -> float:
        return (256 - self.priority) * self.master_interval / 256

    @property
    def master_down_interval(self) -> float:
        return 3 * self.master_interval + self.skew_time

    def startup(self, now: float) -> list[int]:
        if self.priority == 255:
            return self.become_master(now)
        self.state, self.master_interval = RouterState.BACKUP, self.interval
        self.timer_at = now + self.master_down_interval
        return []

    def shutdown(self) -> list[int]:
        was, self.state, self.timer_at = self.state, RouterState.INITIALIZE, math.inf
        return [0] if was is RouterState.MASTER else []

    def on_timer(self, now: float) -> list[int]:
        return [] if now < self.timer_at else self.become_master(now)

    def become_master(self, now: float) -> list[int]:
        """Also each further advertisement of a master."""
        self.state, self.timer_at = RouterState.MASTER, now + self.interval
        return [self.priority]

    def receive(self, heard: Advertisement, source: str, now: float) -> list[int]:
        if self.state is RouterState.BACKUP:
            if heard.priority == 0:
                self.timer_at = now + self.skew_time
            elif not self.preempt or heard.priority >= self.priority:
                self.follow(heard, now)
        elif self.state is RouterState.MASTER:
            if heard.priority == 0:
                return self.become_master(now)
            rank = ipaddress.ip_address(source).packed > self.address.packed
            if heard.priority > self.priority or (heard.priority == self.priority and rank):
                self.follow(heard, now)
        return []

    def follow(self, master: Advertisement, now: float) -> None:
        self.state, self.master_interval = RouterState.BACKUP, master.interval or self.interval
        self.timer_at = now + self.master_down_interval


class VrrpCarrier(asyncio.DatagramProtocol):
    """A router on UDP. ``changed`` hears, in their order, of each gain (True) and loss of mastership."""

    def __init__(self, config: VrrpSettings, changed: Callable[[bool], Awaitable[None]]) -> None:
        self.config, self.changed, self.loop = config, changed, asyncio.get_running_loop()
        self.router = VirtualRouter(config.priority, config.interval, config.preempt, config.listen.host)
        self.transport: asyncio.DatagramTransport | None = None
        self.clock: asyncio.TimerHandle | None = None
        self.news: asyncio.Queue[bool] = asyncio.Queue()
        self.telling = asyncio.create_task(self.tell())
        self.master = False

    async def start(self) -> Address:
        listen = self.config.listen
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=(listen.host, listen.port)
        )
        self.after(self.router.startup(self.loop.time()))
        return Address(*self.transport.get_extra_info("sockname")[:2])

    async def stop(self) -> None:
        """Say that this master leaves, so that a backup need not wait for its silence."""
        self.after(self.router.shutdown())
        if self.transport:
            self.transport.close()
        self.telling.cancel()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            if not any(peer.host == addr[0] for peer in self.config.peers):
                msg = "not of a peer"
                raise AdvertisementError(msg)
            heard = decode(data)
            if heard.router != self.config.router:
                msg = f"router {heard.router}"
                raise AdvertisementError(msg)
        except AdvertisementError as error:
            log.warning("vrrp_skipped", why=str(error), source=addr[0])
            return
        self.after(self.router.receive(heard, addr[0], self.loop.time()))

    def error_received(self, exc: Exception) -> None:
        log.warning("vrrp_unreachable", why=str(exc))  # a peer that is down; its silence is what counts

    def on_timer(self) -> None:
        self.after(self.router.on_timer(self.loop.time()))

    def after(self, priorities: list[int]) -> None:
        """Send what an event asks for, set the next timer, and pass on a change of mastership."""
        for priority in priorities:
            self.advertise(priority)
        if self.clock:
            self.clock.cancel()
        self.clock = self.loop.call_at(self.router.timer_at, self.on_timer) if self.router.timer_at < math.inf else None
        master = self.router.state is RouterState.MASTER
        if master != self.master:
            self.master = master
            log.info("vrrp_master" if master else "vrrp_backup", router=self.config.router)
            self.news.put_nowait(master)

    def advertise(self, priority: int) -> None:
        config = self.config
        said = Advertisement(config.router, priority, config.interval, tuple(config.addresses))
        for peer in config.peers:
            if self.transport:
                self.transport.sendto(encode(said), (peer.host, peer.port))

    async def tell(self) -> None:
        while True:
            master = await self.news.get()
            try:
                await self.changed(master)
            except Exception as error:  # the next change must still be told
                log.error("vrrp_change_failed", master=master, why=f"{type(error).__name__}: {error}")
