"""Fleet views, with quota leases, of hundreds of fronts in one process: the production ``FleetView`` on an
emulated network in virtual time instead of sockets.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cleatyoke.config.addresses import Address
from cleatyoke.config.fronts_file import FleetSettings
from cleatyoke.emulation.network import Network
from cleatyoke.fleet.sockets import format_address
from cleatyoke.fleet.streams import EXCHANGE_TIMEOUT
from cleatyoke.fleet.view import FleetView
from cleatyoke.membership.actions import MembershipAction, ReplyExchange, SendDatagram, StartExchange
from cleatyoke.membership.events import DatagramReceived, ExchangeAnswered, ExchangeRequested
from cleatyoke.process.faults import Faults


class VirtualTransport:
    """Delivers datagrams and exchanges between the fleet views of one emulation, over its network."""

    def __init__(self, network: Network) -> None:
        self.network, self.loop = network, asyncio.get_running_loop()
        self.views: dict[str, VirtualView] = {}  # by address
        # Token of an open exchange: the requester and the responder's address.
        self.streams: dict[int, tuple[VirtualView, str]] = {}
        self.tokens = 0

    def deliver(self, after: float, address: str, deliver_to: Callable[[VirtualView], None]) -> None:
        def deliver_if_running() -> None:
            if view := self.views.get(address):
                deliver_to(view)

        self.loop.call_later(after, deliver_if_running)


class VirtualView(FleetView):
    def __init__(
        self,
        transport: VirtualTransport,
        settings: FleetSettings,
        name: str,
        front_count: int,
        seed: int,
        faults: Faults,
    ) -> None:
        super().__init__(settings, name, front_count, seed, faults)
        self.transport, self.address = transport, format_address(settings.advertise)

    async def start(self) -> None:
        self.transport.views[self.address] = self
        self.step()

    def kill(self) -> None:
        """End as SIGKILL would: no leave notice is sent, and nothing is delivered any more."""
        if self.transport.views.get(self.address) is self:
            del self.transport.views[self.address]
        for timer in (self.step_timer, self.lease_timer.timer, self.settings_timer.timer):
            if timer:
                timer.cancel()

    def close_sockets(self) -> None:
        self.kill()

    def perform(self, action: MembershipAction) -> None:
        network, own_address = self.transport.network, self.address
        match action:
            case SendDatagram(target, data):
                for after, arrived in network.datagram(own_address, target, data):
                    self.transport.deliver(
                        after,
                        target,
                        lambda view, arrived=arrived: view.step(DatagramReceived(arrived)),  # type: ignore[misc]
                    )
            case StartExchange(target, data):
                transit_time = network.stream(own_address, target, data)
                if transit_time is None or target not in self.transport.views:
                    self.transport.deliver(
                        EXCHANGE_TIMEOUT, own_address, lambda view: view.step(ExchangeAnswered(target, None))
                    )
                    return
                self.transport.tokens += 1
                token = self.transport.tokens
                self.transport.streams[token] = self, target
                self.transport.deliver(
                    transit_time, target, lambda view: view.step(ExchangeRequested(token, data))
                )
            case ReplyExchange(token, data):
                requester, _ = self.transport.streams.pop(token)
                reply_time = network.stream(own_address, requester.address, data)
                if reply_time is not None:
                    self.transport.deliver(
                        reply_time,
                        requester.address,
                        lambda view: view.step(ExchangeAnswered(own_address, data)),
                    )
            case _:
                super().perform(action)


def address_of(front: int) -> Address:
    return Address(f"10.0.{front // 250}.{front % 250 + 1}", 7946)
