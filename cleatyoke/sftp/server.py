"""The file front: its listener and sessions, and each command that reaches a backend as one request."""

from __future__ import annotations

import asyncio
import hashlib

import structlog

from cleatyoke.config.fronts_file import SftpSettings
from cleatyoke.core import Core, Rejected, Served
from cleatyoke.scheduling.events import RequestArrived
from cleatyoke.sftp.backend_commands import Command, is_write
from cleatyoke.sftp.backends import SftpBackends
from cleatyoke.sftp.packets import Packet, StatusCode
from cleatyoke.sftp.session import Session
from cleatyoke.sftp.volume_paths import CommandRejectedError, VolumePaths

log = structlog.get_logger()


class SftpServer:
    """The listener; ``open`` and ``close`` it as often as mastership (VRRP) comes and goes.

    Prevents running out of file descriptors: at most ``max_sessions`` clients are connected.
    """

    def __init__(self, config: SftpSettings, core: Core, backends: SftpBackends, max_sessions: int) -> None:
        self.config = config
        self.core = core
        self.backends = backends
        self.max_sessions = max_sessions
        self.volumes = VolumePaths(config.volumes)
        self.sessions: set[Session] = set()
        self.listener: asyncio.Server | None = None

    async def open(self) -> None:
        """Accept clients; nothing where they are accepted already."""
        if self.listener is None:
            listen = self.config.listen
            self.listener = await asyncio.start_server(self._accept, listen.host, listen.port)
            log.info("sftp_open", listen=listen)

    async def close(self, grace: float = 0.0) -> None:
        """Accept no more clients; end each session after its command, or after ``grace`` seconds."""
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
            log.warning("sftp_too_many_sessions", most=self.max_sessions)
            writer.transport.abort()
            return
        session = Session(self, reader, writer)
        self.sessions.add(session)
        try:
            await session.run()
        finally:
            self.sessions.discard(session)

    def count_listed_names(self) -> int:
        """Return the names that all sessions' open directories hold."""
        return sum(session.handles.count_listed_names() for session in self.sessions)

    async def schedule(self, path: str, item: str, size: int, command: Command) -> Packet:
        """Serve a command as one request, a read or a write of its volume, and return the reply.

        ``item`` names the data that it is about, ``size`` is its bytes. Raises ``CommandRejectedError``
        where it was rejected or failed, which says whether a change may have been made.
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
            item=_item_number(item),
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
                retry = f"try again after {max(0.0, wait):.3f} s"
                raise CommandRejectedError(StatusCode.SSH_FX_FAILURE, f"refused, nothing was done: {retry}")
            case _:
                doubt = "the change may have been made" if is_write(command) else "no answer"
                raise CommandRejectedError(StatusCode.SSH_FX_FAILURE, f"failed: {doubt}")


def _item_number(item: str) -> int:
    """Return the number by which the scheduler knows the data; a retry's is the same in any process."""
    return int.from_bytes(hashlib.blake2b(item.encode("utf-8", "surrogateescape"), digest_size=6).digest())
