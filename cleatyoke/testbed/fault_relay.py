"""Faulty links between the fronts of a run: a relay carries every datagram and stream between them.

The faults of a message are a function of the message and its link (``emulation.network``). Front number i
listens at ``listen_address(i)``; the others reach it at ``advertised_address(i)``, an address of the relay.
A sender is identified by its host address, as each front has its own.
"""

from __future__ import annotations

import asyncio
import contextlib
from functools import partial
from typing import Any

from cleatyoke.emulation.network import Network
from cleatyoke.testbed.peer import LOCALHOST, hold_port_on

CUT_STREAM_TIMEOUT = 2.0  # seconds for which a stream over a cut link stays open without transferring data
CHUNK_BYTES = 65536


class FaultRelayProtocol(asyncio.DatagramProtocol):
    """Receives the datagrams for one front on behalf of the relay."""

    def __init__(self, relay: FaultRelay, target: int) -> None:
        self.relay, self.target = relay, target

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram; its sender is identified by its host address."""
        self.relay.forward_datagram(self.relay.front_number(addr[0]), self.target, data)


class FaultRelay:
    """The relay of one run. Must be created on the running event loop."""

    def __init__(self, fronts: int, seed: int) -> None:
        self.network = Network(seed, delay=0.0, jitter=0.0)
        self.fronts, self.loop = fronts, asyncio.get_running_loop()
        # One port, reserved on every address of the fronts and the relay, so that no other run is given it.
        self.reserved_sockets = hold_port_on(
            [LOCALHOST, *map(self.host, range(fronts)), *map(self.relay_host, range(fronts))]
        )
        self.port = int(self.reserved_sockets[0].getsockname()[1])
        self.sockets: list[asyncio.DatagramTransport] = []
        self.servers: list[asyncio.Server] = []
        self.streams: set[asyncio.Task[Any]] = set()

    @staticmethod
    def host(front: int) -> str:
        """Return the host address at which a front listens."""
        return f"127.1.0.{front + 1}"

    def listen_address(self, front: int) -> str:
        """Return the address at which a front listens, as HOST:PORT."""
        return f"{self.host(front)}:{self.port}"

    @staticmethod
    def relay_host(front: int) -> str:
        """Return the relay's host address for a front."""
        return f"127.1.1.{front + 1}"

    def advertised_address(self, front: int) -> str:
        """Return the address at which other fronts reach a front, as HOST:PORT."""
        return f"{self.relay_host(front)}:{self.port}"

    def front_number(self, host: str) -> int:
        """Return the number of the front with this host address."""
        return int(host.rpartition(".")[2]) - 1

    async def start(self) -> None:
        """Listen on behalf of every front."""
        for front in range(self.fronts):
            host = self.relay_host(front)
            socket, _ = await self.loop.create_datagram_endpoint(
                partial(FaultRelayProtocol, self, front), local_addr=(host, self.port)
            )
            self.sockets.append(socket)

            async def on_connection(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: int = front
            ) -> None:
                await self.relay_stream(target, reader, writer)

            self.servers.append(await asyncio.start_server(on_connection, host, self.port))

    def stop(self) -> None:
        """Stop all listeners and streams, and release the port."""
        for socket in self.sockets:
            socket.close()
        for server in self.servers:
            server.close()
        for task in self.streams:
            task.cancel()
        for reserved in self.reserved_sockets:
            reserved.close()

    def forward_datagram(self, source: int, target: int, data: bytes) -> None:
        """Forward a datagram as the link's faults have it: delayed, duplicated, corrupted or dropped."""
        copies = self.network.datagram(str(source), str(target), data)
        for delay, copy in copies:
            self.loop.call_later(delay, self.sockets[target].sendto, copy, (self.host(target), self.port))

    async def relay_stream(
        self, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay a stream to a front in both directions until one side closes it."""
        task = asyncio.current_task()
        assert task
        self.streams.add(task)
        source, target_writer = self.front_number(writer.get_extra_info("peername")[0]), None
        try:
            if self.is_link_cut(source, target):
                await asyncio.sleep(CUT_STREAM_TIMEOUT)
                return
            target_reader, target_writer = await asyncio.open_connection(self.host(target), self.port)
            outward, inward = (
                self.copy_stream(source, target, reader, target_writer),
                self.copy_stream(target, source, target_reader, writer),
            )
            await asyncio.gather(outward, inward)
        except OSError:
            pass  # the target does not listen
        finally:
            self.streams.discard(task)
            for open_writer in (writer, target_writer):
                if open_writer:
                    with contextlib.suppress(OSError):
                        open_writer.transport.abort()

    def is_link_cut(self, source: int, target: int) -> bool:
        """Whether the link between two fronts is cut in at least one direction."""
        first, second = str(source), str(target)
        return self.network.is_cut(first, second) or self.network.is_cut(second, first)

    async def copy_stream(
        self, source: int, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy one direction of a stream, chunk by chunk."""
        while data := await reader.read(CHUNK_BYTES):
            delay = self.network.stream(str(source), str(target), data)
            if delay is None:
                await asyncio.sleep(CUT_STREAM_TIMEOUT)
                return
            await asyncio.sleep(delay)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
