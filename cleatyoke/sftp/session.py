"""One SFTP client's connection: reads its packets, and answers them in order."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

import structlog

from cleatyoke.sftp.client_commands import ClientCommands, CommandScheduler
from cleatyoke.sftp.codec import decode, encode, read_size
from cleatyoke.sftp.handles import HandleTable
from cleatyoke.sftp.packets import VERSION, Init, Packet, PacketError, Status, StatusCode, Version
from cleatyoke.sftp.volume_paths import CommandRejectedError
from cleatyoke.transport.sockets import abort_stream

MAX_QUEUED_PACKETS = 8  # unanswered packets of a session, beyond which reading pauses
MEMORY_POLL_INTERVAL = 0.02  # seconds between attempts to reserve memory
STALL_TIMEOUT = 30.0  # seconds for a client to accept an answer, or to send the rest of a packet
log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class QueuedPacket:
    """A packet that waits for its turn, and the bytes that are reserved for it."""

    raw: bytes
    reserved: int


class Session:
    """One client's connection.

    Commands are answered one after the other. Packets are read meanwhile, so that a client that closes its
    connection cancels the running command. ``has_ended`` is set once the connection is closed.
    """

    def __init__(
        self, front: CommandScheduler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.handles = HandleTable(front.config.max_open_files, front.memory)
        self._memory = front.memory
        self.has_ended = asyncio.Event()
        self._idle_timeout = front.config.idle_timeout
        self._commands = ClientCommands(front, self.handles)
        self._reader = reader
        self._writer = writer
        self._queue: asyncio.Queue[QueuedPacket | None] = asyncio.Queue(MAX_QUEUED_PACKETS)
        self._queued_bytes = 0  # reserved for queued packets
        self._is_shutting_down = False
        self._is_busy = False
        self._answer_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve the client until it disconnects, sends malformed data, or the front ends the session."""
        self._answer_task = asyncio.create_task(self._answer_packets())
        read_task = asyncio.create_task(self._read_packets())
        try:
            done, _ = await asyncio.wait({read_task, self._answer_task}, return_when=asyncio.FIRST_COMPLETED)
            if read_task in done and read_task.result():
                await self._queue.put(None)  # the client is still connected: answer the earlier packets
                await self._answer_task
        finally:
            for task in (read_task, self._answer_task):
                task.cancel()  # cancels the running command of a client that disconnected
            await asyncio.gather(read_task, self._answer_task, return_exceptions=True)
            self._writer.close()
            self._release(self._queued_bytes)
            self.handles.release_all()
            self.has_ended.set()

    def begin_shutdown(self) -> None:
        """End the session after the running command, or now if there is none."""
        self._is_shutting_down = True
        if not self._is_busy and self._answer_task:
            self._answer_task.cancel()

    def abort(self) -> None:
        """Close the connection at once, discarding buffered data."""
        abort_stream(self._writer)

    async def _read_packets(self) -> bool:
        """Queue packets; return True if the client sent an invalid length, False if it left or was idle."""
        while True:
            try:
                async with asyncio.timeout(self._idle_timeout):
                    size = await read_size(self._reader)
                async with asyncio.timeout(STALL_TIMEOUT):
                    raw = await self._reader.readexactly(size)
                reserved = await self._wait_for_memory(size)
                self._queued_bytes += reserved
                await self._queue.put(QueuedPacket(raw, reserved))
            except TimeoutError:
                log.info("sftp_idle_closed")
                return False
            except (EOFError, OSError):
                return False
            except PacketError as error:
                log.warning("sftp_malformed_stream", reason=str(error))
                return True

    async def _wait_for_memory(self, size: int) -> int:
        """Reserve memory for a packet, and return the reserved bytes.

        Each session has memory for one queued packet. If there is none for more, wait until it is taken.
        """
        while not self._queue.empty():
            if self._memory.reserve(size):
                return size
            await asyncio.sleep(MEMORY_POLL_INTERVAL)
        return 0

    def _release(self, size: int) -> None:
        self._memory.release(size)
        self._queued_bytes -= size

    async def _answer_packets(self) -> None:
        is_first = True
        while (queued := await self._queue.get()) is not None and not self._is_shutting_down:
            self._release(queued.reserved)
            self._is_busy = True
            reply = await self._answer(queued.raw, is_first=is_first)
            is_first = False
            self._writer.write(encode(reply))
            try:
                async with asyncio.timeout(STALL_TIMEOUT):
                    await self._writer.drain()
            except (TimeoutError, OSError):
                return
            self._is_busy = False
            if _ends_session(reply):
                return

    async def _answer(self, raw: bytes, *, is_first: bool) -> Packet:
        try:
            packet = decode(raw)
        except PacketError as error:
            return Status(error.request_id or 0, StatusCode.SSH_FX_BAD_MESSAGE, str(error))
        if isinstance(packet, Init) != is_first:
            return Status(0, StatusCode.SSH_FX_BAD_MESSAGE, "INIT comes first, and once")
        if isinstance(packet, Init):
            return Version(VERSION)
        try:
            reply = await self._commands.handle(packet)
        except CommandRejectedError as rejected:
            reply = Status(0, rejected.code, rejected.message)
        except Exception:
            log.exception("sftp_fault")
            reply = Status(0, StatusCode.SSH_FX_FAILURE, "internal error")
        return replace(reply, id=packet.id)


def _ends_session(reply: Packet) -> bool:
    """Whether the reply reports a malformed stream; it then has the id 0, which no request has."""
    return isinstance(reply, Status) and reply.id == 0 and reply.code == StatusCode.SSH_FX_BAD_MESSAGE
