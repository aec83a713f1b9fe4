"""The fleet's sockets: one port for datagrams and streams, and a bound on the datagrams that are accepted.

Two processes of one name, as in an upgrade, both have a part in the fleet: the second one binds a port of its
own until the stated one is free.
"""

from __future__ import annotations

import asyncio
import errno
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from cleatyoke.config.addresses import Address, read_address
from cleatyoke.config.errors import ConfigError
from cleatyoke.process.faults import Faults, PeriodicCall

MAX_DATAGRAMS_PER_SECOND = 2000  # more are dropped, so that a flood costs no request its time
BIND_ATTEMPTS = 8  # at a free port that both sockets can have
STREAM_BACKLOG = 64  # connections that wait to be accepted
CLAIM_INTERVAL = 1.0  # seconds between attempts to bind the stated port, where another process holds it

AcceptStream = Callable[[asyncio.StreamReader, asyncio.StreamWriter], None]


def format_address(address: Address) -> str:
    """Return "HOST:PORT", as members tell it to one another."""
    return f"{address.host}:{address.port}"


class DatagramReceiver(asyncio.DatagramProtocol):
    """Passes datagrams on. ``on_error`` is called where nobody listens at an address that was sent to."""

    def __init__(self, on_datagram: Callable[[bytes], None], on_error: Callable[[], None]) -> None:
        self.on_datagram = on_datagram
        self.on_error = on_error

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:  # noqa: ARG002 - asyncio's signature
        """Pass a datagram on."""
        self.on_datagram(data)

    def error_received(self, exc: Exception) -> None:  # noqa: ARG002 - asyncio's signature
        """Report that a datagram could not be delivered."""
        self.on_error()


@dataclass(slots=True, frozen=True)
class SocketPair:
    """A datagram socket and a stream listener on one port."""

    datagrams: asyncio.DatagramTransport
    streams: asyncio.Server

    def port(self) -> int:
        """Return the port that both have."""
        return int(self.datagrams.get_extra_info("sockname")[1])

    def close(self) -> None:
        """Close both."""
        self.datagrams.close()
        self.streams.close()


async def bind_sockets(
    host: str, port: int, receiver: Callable[[], DatagramReceiver], accept: AcceptStream
) -> SocketPair:
    """Bind both sockets to one port; port 0: any that is free for both.

    Raises ``OSError``, with ``EADDRINUSE`` where another process holds the port.
    """
    loop = asyncio.get_running_loop()
    for _ in range(BIND_ATTEMPTS):
        transport, _ = await loop.create_datagram_endpoint(receiver, local_addr=(host, port))
        try:
            chosen = transport.get_extra_info("sockname")[1]
            server = await asyncio.start_server(accept, host, chosen, backlog=STREAM_BACKLOG)
        except OSError as error:
            transport.close()
            if port or error.errno != errno.EADDRINUSE:
                raise
        else:
            return SocketPair(transport, server)
    raise OSError(errno.EADDRINUSE, "no port free for datagrams and streams")


class DatagramLimit:
    """Bounds the datagrams that are accepted in each second of the loop's clock."""

    def __init__(self) -> None:
        self.second_began = 0.0
        self.received = 0  # in this second

    def admits(self, now: float) -> bool:
        """Count a datagram that arrived at ``now``; whether it is within the bound."""
        if now >= self.second_began + 1:
            self.second_began = now
            self.received = 0
        self.received += 1
        return self.received <= MAX_DATAGRAMS_PER_SECOND


class FleetSockets:
    """The sockets of one front, at the stated address or, while another process holds it, beside it.

    ``on_datagram`` and ``on_stream`` get what arrives, ``on_claimed`` is called once the stated address has
    been bound in place of another port. ``dropped`` counts what was not accepted or sent, by reason.
    """

    def __init__(  # noqa: PLR0913 - what it binds and whom it calls
        self,
        listen: Address,
        faults: Faults,
        dropped: Counter[str],
        *,
        on_datagram: Callable[[bytes], None],
        on_stream: AcceptStream,
        on_claimed: Callable[[], None],
    ) -> None:
        self.listen = listen
        self.dropped = dropped
        self.on_datagram = on_datagram
        self.on_stream = on_stream
        self.on_claimed = on_claimed
        self.loop = asyncio.get_running_loop()
        self.pair: SocketPair | None = None
        self.datagram_limit = DatagramLimit()
        self._claim_timer = PeriodicCall(faults, "fleet_claim", CLAIM_INTERVAL, self._claim)
        self._claim_task: asyncio.Task[None] | None = None

    async def open(self) -> bool:
        """Bind the stated port, or any other where another process holds it; whether it is the stated one.

        Raises ``OSError``.
        """
        try:
            self.pair = await self._bind(self.listen.port)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            self.pair = await self._bind(0)
            return False
        return True

    def is_open(self) -> bool:
        """Whether both sockets are open."""
        return self.pair is not None

    def bound_address(self) -> str:
        """Return the address at which others reach this front. To be called once the sockets are open."""
        assert self.pair
        return format_address(Address(self.listen.host, self.pair.port()))

    def start_claiming(self) -> None:
        """Try to bind the stated port again and again until it is free."""
        self._claim_timer.start()

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram; one that cannot be sent is counted."""
        assert self.pair
        try:
            peer = read_address(address, "peer")
            self.pair.datagrams.sendto(data, (peer.host, peer.port))
        except (ConfigError, OSError, ValueError):
            self._count_unsendable()

    def stop_claiming(self) -> None:
        """End the attempts to bind the stated port."""
        self._claim_timer.stop()
        if self._claim_task:
            self._claim_task.cancel()

    def close(self) -> None:
        """Close both sockets, if they are open."""
        if self.pair:
            self.pair.close()

    async def _bind(self, port: int) -> SocketPair:
        return await bind_sockets(
            self.listen.host,
            port,
            lambda: DatagramReceiver(self._receive, self._count_unsendable),
            self._accept,
        )

    def _claim(self) -> None:
        if self._claim_task is None or self._claim_task.done():
            self._claim_task = asyncio.create_task(self._try_claim())

    async def _try_claim(self) -> None:
        try:
            pair = await self._bind(self.listen.port)
        except OSError:
            return  # the other process still holds it
        self._claim_timer.stop()
        self.close()
        self.pair = pair
        self.on_claimed()

    def _receive(self, data: bytes) -> None:
        if self.pair is None:  # its socket is open and its listener not yet: nothing can be answered
            self.dropped["early"] += 1
        elif self.datagram_limit.admits(self.loop.time()):
            self.on_datagram(data)
        else:
            self.dropped["flood"] += 1

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.pair is None:
            self.dropped["early"] += 1
            writer.transport.abort()
        else:
            self.on_stream(reader, writer)

    def _count_unsendable(self) -> None:
        self.dropped["unsendable"] += 1
