"""The file front: its listener and sessions, and the scheduling of each backend command as one request."""

from __future__ import annotations

import asyncio
import hashlib

import structlog

from cleatyoke.config.fronts_file import SftpSettings
from cleatyoke.core import Core, Rejected, Served
from cleatyoke.limits.memory_budget import MemoryBudget
from cleatyoke.limits.memory_pool import MemoryPool
from cleatyoke.scheduling.events import RequestArrived
from cleatyoke.sftp.backend_commands import Command, is_write
from cleatyoke.sftp.backends import SftpBackends
from cleatyoke.sftp.codec import STREAM_BUFFER_BYTES
from cleatyoke.sftp.packets import Packet, StatusCode
from cleatyoke.sftp.session import Session
from cleatyoke.sftp.volume_paths import CommandRejectedError, VolumePaths
from cleatyoke.transport.sockets import abort_stream, limit_read_size

log = structlog.get_logger()


class SftpServer:
    """The listener; it may be opened and closed repeatedly, as VRRP mastership is gained and lost.

    At most ``max_sessions`` clients are connected, so that the process can't run out of file descriptors.
    ``memory``: what all sessions together may hold beyond their command in hand.
    """

    def __init__(
        self,
        config: SftpSettings,
        core: Core,
        backends: SftpBackends,
        max_sessions: int,
        memory: MemoryPool | None = None,
    ) -> None:
        self.memory = memory or MemoryPool(MemoryBudget.divide(0.0, 0, max_sessions).files)
        self.config = config
        self.core = core
        self.backends = backends
        self.max_sessions = max_sessions
        self.volumes = VolumePaths(config.volumes)
        self.sessions: set[Session] = set()
        self.listener: asyncio.Server | None = None

    async def open(self) -> None:
        """Start accepting clients; does nothing if already open."""
        if self.listener is None:
            listen = self.config.listen
            self.listener = await asyncio.start_server(
                self._accept, listen.host, listen.port, limit=STREAM_BUFFER_BYTES
            )
            log.info("sftp_open", listen=listen)

    async def close(self, grace: float = 0.0) -> None:
        """Stop accepting clients; end each session after its current command, or after ``grace`` seconds."""
        if self.listener is None:
            return
        self.listener.close()
        self.listener = None
        for session in self.sessions:
            session.begin_shutdown()
        try:
            async with asyncio.timeout(grace):
                await asyncio.gather(*[session.has_ended.wait() for session in self.sessions])
        except TimeoutError:
            for session in list(self.sessions):
                session.abort()
        log.info("sftp_closed")

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.sessions) >= self.max_sessions:
            log.warning("sftp_session_limit_reached", limit=self.max_sessions)
            abort_stream(writer)
            return
        assert isinstance(writer.transport, asyncio.Transport)
        limit_read_size(writer.transport, STREAM_BUFFER_BYTES)
        session = Session(self, reader, writer)
        self.sessions.add(session)
        try:
            await session.run()
        finally:
            self.sessions.discard(session)

    def count_listed_names(self) -> int:
        """Count the unread entries in the open directories of all sessions."""
        return sum(session.handles.count_listed_names() for session in self.sessions)

    async def schedule(self, path: str, item: str, size: int, command: Command) -> Packet:
        """Serve a command as one read or write request of its volume, and return the reply.

        ``item`` identifies the data that is accessed, and ``size`` is its length in bytes. Raises
        ``CommandRejectedError`` if the request was rejected or failed; its message says whether a change may
        have been made.
        """
        volume = self.volumes.find(path)
        max_units = self.core.scheduler.settings.max_request_units
        units = float(max(1, -(-size // self.config.unit_bytes)))  # rounded up
        deadline = self.core.now() + self.config.command_timeout
        arrival = RequestArrived(
            request_id=self.core.new_id(),
            class_index=self.config.write_class if is_write(command) else self.config.read_class,
            plan_index=volume.plan,
            volume_id=volume.volume,
            item=_item_id(item),
            shard=volume.shard,
            units=min(units, max_units or units),
            deadline=deadline,
            front_count=volume.front_count,
        )
        served = await self.core.serve(
            arrival, lambda node, may_begin: self.backends.attempt(node, command, may_begin)
        )
        match served:
            case Served(reply) if reply is not None:
                return reply
            case Rejected(wait):
                retry_hint = f"try again after {max(0.0, wait):.3f} s"
                raise CommandRejectedError(
                    StatusCode.SSH_FX_FAILURE, f"refused, nothing was done: {retry_hint}"
                )
            case _:
                effect = "the change may have been made" if is_write(command) else "no answer"
                raise CommandRejectedError(StatusCode.SSH_FX_FAILURE, f"failed: {effect}")


def _item_id(item: str) -> int:
    """Return the scheduler's id for the data; it is the same in every process, so that retries match."""
    return int.from_bytes(hashlib.blake2b(item.encode("utf-8", "surrogateescape"), digest_size=6).digest())
