"""Faulty links among the fronts of a run: every datagram and stream among them goes through a relay.

What a message meets is drawn from the message and its link (``emulation.network``). Front number i listens at
``home(i)`` and is known to the others by ``known(i)``, an address of the relay. The sender of a stream is
known by its host, as each front has its own.
"""

from __future__ import annotations

import asyncio
import contextlib
from functools import partial
from typing import Any

from cleatyoke.emulation.network import Network
from cleatyoke.testbed.peer import LOCALHOST, hold_port_on

CUT_STREAM_TIMEOUT = 2.0  # seconds for which a stream across a cut link stays open without a byte
CHUNK_BYTES = 65536


class FaultRelayProtocol(asyncio.DatagramProtocol):
    """Passes the datagrams for one front to the relay."""

    def __init__(self, relay: FaultRelay, target: int) -> None:
        self.relay, self.target = relay, target

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on; its sender is known by its host."""
        self.relay.datagram(self.relay.number(addr[0]), self.target, data)


class FaultRelay:
    """The relay of one run. To be made on the running event loop."""

    def __init__(self, fronts: int, seed: int) -> None:
        self.network = Network(seed, delay=0.0, jitter=0.0)
        self.fronts, self.loop = fronts, asyncio.get_running_loop()
        # One port on every address of the fronts and of this relay, so that no other run is given it there.
        self.held = hold_port_on(
            [LOCALHOST, *map(self.host, range(fronts)), *map(self.known_host, range(fronts))]
        )
        self.port = int(self.held[0].getsockname()[1])
        self.sockets: list[asyncio.DatagramTransport] = []
        self.servers: list[asyncio.Server] = []
        self.streams: set[asyncio.Task[Any]] = set()
        self.passed = 0  # datagrams

    @staticmethod
    def host(front: int) -> str:
        """Return the address at which a front listens."""
        return f"127.1.0.{front + 1}"

    def home(self, front: int) -> str:
        """Return where a front listens, as HOST:PORT."""
        return f"{self.host(front)}:{self.port}"

    @staticmethod
    def known_host(front: int) -> str:
        """Return the relay's address for a front."""
        return f"127.1.1.{front + 1}"

    def known(self, front: int) -> str:
        """Return where the other fronts reach a front, as HOST:PORT."""
        return f"{self.known_host(front)}:{self.port}"

    def number(self, host: str) -> int:
        """Return the number of the front with this address."""
        return int(host.rpartition(".")[2]) - 1

    async def start(self) -> None:
        """Listen on every front's behalf."""
        for front in range(self.fronts):
            host = self.known_host(front)
            socket, _ = await self.loop.create_datagram_endpoint(
                partial(FaultRelayProtocol, self, front), local_addr=(host, self.port)
            )
            self.sockets.append(socket)

            async def connected(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: int = front
            ) -> None:
                await self.stream(target, reader, writer)

            self.servers.append(await asyncio.start_server(connected, host, self.port))

    def stop(self) -> None:
        """End all listeners and streams."""
        for socket in self.sockets:
            socket.close()
        for server in self.servers:
            server.close()
        for task in self.streams:
            task.cancel()
        for held in self.held:
            held.close()

    def datagram(self, source: int, target: int, data: bytes) -> None:
        """Pass on what comes of a datagram, late or twice or not at all."""
        came = self.network.datagram(str(source), str(target), data)
        self.passed += len(came)
        for after, one in came:
            self.loop.call_later(after, self.sockets[target].sendto, one, (self.host(target), self.port))

    async def stream(self, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry a stream to a front, both ways, until one side ends it."""
        task = asyncio.current_task()
        assert task
        self.streams.add(task)
        source, far = self.number(writer.get_extra_info("peername")[0]), None
        try:
            if self.parted(source, target):
                await asyncio.sleep(CUT_STREAM_TIMEOUT)
                return
            there, far = await asyncio.open_connection(self.host(target), self.port)
            way, back = self.pump(source, target, reader, far), self.pump(target, source, there, writer)
            await asyncio.gather(way, back)
        except OSError:
            pass  # nobody listens there
        finally:
            self.streams.discard(task)
            for one in (writer, far):
                if one:
                    with contextlib.suppress(OSError):
                        one.transport.abort()

    def parted(self, source: int, target: int) -> bool:
        """Whether the link of two fronts is cut, one way or both."""
        one, other = str(source), str(target)
        return self.network.is_cut(one, other) or self.network.is_cut(other, one)

    async def pump(
        self, source: int, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one direction of a stream, chunk by chunk."""
        while data := await reader.read(CHUNK_BYTES):
            after = self.network.stream(str(source), str(target), data)
            if after is None:
                await asyncio.sleep(CUT_STREAM_TIMEOUT)
                return
            await asyncio.sleep(after)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
