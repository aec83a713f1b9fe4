"""The fleet's view, and what is lent by it, of fronts by the hundred in one process: the real carrier's
steps on a network in virtual time in place of its sockets.
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


class Ether:
    """Who listens where, and what lies between."""

    def __init__(self, network: Network) -> None:
        self.network, self.loop = network, asyncio.get_running_loop()
        self.views: dict[str, VirtualView] = {}  # by address
        self.streams: dict[int, tuple[VirtualView, str]] = {}  # token: who waits for an answer, from whom
        self.tokens = 0

    def later(self, after: float, address: str, act: Callable[[VirtualView], None]) -> None:
        def arrive() -> None:
            if view := self.views.get(address):
                act(view)

        self.loop.call_later(after, arrive)


class VirtualView(FleetView):
    def __init__(
        self, ether: Ether, peers: FleetSettings, name: str, hosts: int, seed: int, faults: Faults
    ) -> None:
        super().__init__(peers, name, hosts, seed, faults)
        self.ether, self.address = ether, format_address(peers.advertise)

    async def start(self) -> None:
        self.ether.views[self.address] = self
        self.step()

    def kill(self) -> None:
        """As by SIGKILL: no word, and nothing of it is left."""
        if self.ether.views.get(self.address) is self:
            del self.ether.views[self.address]
        for bell in (self.step_timer, self.lease_timer.timer, self.settings_timer.timer):
            if bell:
                bell.cancel()

    def close_sockets(self) -> None:
        self.kill()

    def perform(self, action: MembershipAction) -> None:
        network, here = self.ether.network, self.address
        match action:
            case SendDatagram(target, data):
                for after, came in network.datagram(here, target, data):
                    self.ether.later(after, target, lambda view, came=came: view.step(DatagramReceived(came)))  # type: ignore[misc]
            case StartExchange(target, data):
                reached = network.stream(here, target, data)
                if reached is None or target not in self.ether.views:
                    self.ether.later(
                        EXCHANGE_TIMEOUT, here, lambda view: view.step(ExchangeAnswered(target, None))
                    )
                    return
                self.ether.tokens += 1
                token = self.ether.tokens
                self.ether.streams[token] = self, target
                self.ether.later(reached, target, lambda view: view.step(ExchangeRequested(token, data)))
            case ReplyExchange(token, data):
                asker, _ = self.ether.streams.pop(token)
                back = network.stream(here, asker.address, data)
                if back is not None:
                    self.ether.later(
                        back, asker.address, lambda view: view.step(ExchangeAnswered(here, data))
                    )
            case _:
                super().perform(action)


def address_of(front: int) -> Address:
    return Address(f"10.0.{front // 250}.{front % 250 + 1}", 7946)
