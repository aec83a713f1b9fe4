"""Sends and receives a virtual router's advertisements over UDP, and reports changes of mastership.

UDP unicast to configured peers replaces IP protocol 112 and its multicast group. The TTL is therefore not
checked (RFC 5798, section 5.1.1.3), and the checksum covers only the VRRP message, as UDP's own checksum
covers the addresses.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from cleatyoke.config.addresses import Address
from cleatyoke.config.fronts_file import VrrpSettings
from cleatyoke.vrrp.messages import (
    Advertisement,
    AdvertisementError,
    decode_advertisement,
    encode_advertisement,
)
from cleatyoke.vrrp.virtual_router import RouterState, VirtualRouter

log = structlog.get_logger()


class VrrpCarrier(asyncio.DatagramProtocol):
    """Runs a virtual router over UDP.

    ``on_mastership_change`` is awaited for each gain (True) and loss (False) of mastership, one at a time and
    in order.
    """

    def __init__(self, config: VrrpSettings, on_mastership_change: Callable[[bool], Awaitable[None]]) -> None:
        self.config = config
        self.router = VirtualRouter(
            config.priority, config.advertisement_interval, config.listen.host, preempt=config.preempt
        )
        self._on_mastership_change = on_mastership_change
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_master = False
        self._mastership_changes: asyncio.Queue[bool] = asyncio.Queue()
        self._report_task = asyncio.create_task(self._report_changes())

    async def start(self) -> Address:
        """Bind the address and start the router; return its address, with the bound port if 0 was set."""
        listen = self.config.listen
        self._transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(listen.host, listen.port)
        )
        self._apply_event(self.router.startup(self._loop.time()))
        return Address(*self._transport.get_extra_info("sockname")[:2])

    async def stop(self) -> None:
        """Stop the router; a master advertises it, to spare its backups the master down interval."""
        self._apply_event(self.router.shutdown())
        if self._transport:
            self._transport.close()
        self._report_task.cancel()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a peer's advertisement to the router; log and drop any other datagram."""
        try:
            advertisement = self._decode(data, addr[0])
        except AdvertisementError as error:
            log.warning("vrrp_datagram_dropped", reason=str(error), source=addr[0])
            return
        self._apply_event(self.router.receive(advertisement, addr[0], self._loop.time()))

    def _decode(self, data: bytes, source: str) -> Advertisement:
        if not any(peer.host == source for peer in self.config.peers):
            msg = "sender is not a configured peer"
            raise AdvertisementError(msg)
        advertisement = decode_advertisement(data)
        if advertisement.router != self.config.router_id:
            msg = f"for another virtual router: {advertisement.router}"
            raise AdvertisementError(msg)
        return advertisement

    def error_received(self, exc: Exception) -> None:
        """Log that a peer is unreachable; the router itself reacts only to missing advertisements."""
        log.warning("vrrp_unreachable", reason=str(exc))

    def _on_timer(self) -> None:
        self._apply_event(self.router.on_timer(self._loop.time()))

    def _apply_event(self, priorities: list[int]) -> None:
        """Send an event's advertisements, set the next timer, and report a change of mastership."""
        for priority in priorities:
            self._advertise(priority)
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self.router.timer_at is not None:
            self._timer = self._loop.call_at(self.router.timer_at, self._on_timer)
        is_master = self.router.state is RouterState.MASTER
        if is_master != self._is_master:
            self._is_master = is_master
            log.info("vrrp_master" if is_master else "vrrp_backup", router=self.config.router_id)
            self._mastership_changes.put_nowait(is_master)

    def _advertise(self, priority: int) -> None:
        if not self._transport:
            return
        config = self.config
        message = encode_advertisement(
            Advertisement(config.router_id, priority, config.advertisement_interval, tuple(config.addresses))
        )
        for peer in config.peers:
            self._transport.sendto(message, (peer.host, peer.port))

    async def _report_changes(self) -> None:
        while True:
            is_master = await self._mastership_changes.get()
            try:
                await self._on_mastership_change(is_master)
            except Exception as error:  # noqa: BLE001  later changes must still be reported
                log.error("vrrp_change_failed", master=is_master, reason=f"{type(error).__name__}: {error}")
