"""The fleet's sockets: one port for datagrams and streams, and a rate limit on received datagrams.

Two processes with the same name can take part in the fleet at the same time, as during an upgrade: the
second one binds a temporary port until the configured one is free.
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
from cleatyoke.transport.sockets import abort_stream

MAX_DATAGRAMS_PER_SECOND = 2000  # the excess is dropped, so that a flood does not delay requests
BIND_ATTEMPTS = 8  # attempts to find a port that is free for both sockets
STREAM_BACKLOG = 64  # pending connections of the listener
CLAIM_INTERVAL = 1.0  # seconds between attempts to bind the configured port

AcceptStream = Callable[[asyncio.StreamReader, asyncio.StreamWriter], None]


def format_address(address: Address) -> str:
    """Return "HOST:PORT", the form that members exchange."""
    return f"{address.host}:{address.port}"


class DatagramReceiver(asyncio.DatagramProtocol):
    """Forwards datagrams. ``on_error`` is called when no process listens at the destination."""

    def __init__(self, on_datagram: Callable[[bytes], None], on_error: Callable[[], None]) -> None:
        self.on_datagram = on_datagram
        self.on_error = on_error

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:  # noqa: ARG002 - asyncio's signature
        """Forward a datagram."""
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
        """Return the common port."""
        return int(self.datagrams.get_extra_info("sockname")[1])

    def close(self) -> None:
        """Close both."""
        self.datagrams.close()
        self.streams.close()


async def bind_sockets(
    host: str, port: int, receiver: Callable[[], DatagramReceiver], accept: AcceptStream
) -> SocketPair:
    """Bind both sockets to one port; 0 selects any port that is free for both.

    Raises ``OSError``, with ``EADDRINUSE`` if another process holds the port.
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
    raise OSError(errno.EADDRINUSE, "no port is free for both datagrams and streams")


class DatagramLimit:
    """Limits the datagrams accepted in each second of the event loop's clock."""

    def __init__(self) -> None:
        self.second_began = 0.0
        self.received = 0  # in the current second

    def admits(self, now: float) -> bool:
        """Count a datagram that arrived at ``now`` and return whether it is within the limit."""
        if now >= self.second_began + 1:
            self.second_began = now
            self.received = 0
        self.received += 1
        return self.received <= MAX_DATAGRAMS_PER_SECOND


class FleetSockets:
    """The sockets of one front, on the configured port or, while that is in use, on a temporary one.

    ``on_datagram`` and ``on_stream`` receive datagrams and connections. ``on_claimed`` is called once the
    configured port has replaced the temporary one. ``dropped`` counts rejected and unsent messages by reason.
    """

    def __init__(  # noqa: PLR0913 - address and callbacks
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
        """Bind the configured port, or any free one if it is in use.

        Returns whether the configured port was bound. Raises ``OSError``.
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
        """Return the address at which peers reach this front. The sockets must be open."""
        assert self.pair
        return format_address(Address(self.listen.host, self.pair.port()))

    def start_claiming(self) -> None:
        """Retry to bind the configured port periodically until it is free."""
        self._claim_timer.start()

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram; failures are counted in ``dropped``."""
        assert self.pair
        try:
            peer = read_address(address, "peer")
            self.pair.datagrams.sendto(data, (peer.host, peer.port))
        except (ConfigError, OSError, ValueError):
            self._count_unsendable()

    def stop_claiming(self) -> None:
        """Stop the attempts to bind the configured port."""
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
            return  # still in use
        self._claim_timer.stop()
        self.close()
        self.pair = pair
        self.on_claimed()

    def _receive(self, data: bytes) -> None:
        if self.pair is None:  # the stream listener is not open yet, so no reply can be sent
            self.dropped["early"] += 1
        elif self.datagram_limit.admits(self.loop.time()):
            self.on_datagram(data)
        else:
            self.dropped["flood"] += 1

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.pair is None:
            self.dropped["early"] += 1
            abort_stream(writer)
        else:
            self.on_stream(reader, writer)

    def _count_unsendable(self) -> None:
        self.dropped["unsendable"] += 1
