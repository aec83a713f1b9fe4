"""The SFTP file service of a front, with optional VRRP; the fronts file enables it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleatyoke.config.deployment import Config
from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory
from cleatyoke.limits.memory_budget import MemoryBudget
from cleatyoke.limits.memory_pool import MemoryPool

if TYPE_CHECKING:
    from cleatyoke.sftp.server import SftpServer
    from cleatyoke.vrrp.carrier import VrrpCarrier


class FileService:
    """The SFTP server; with VRRP, open only while this instance is master. Disabled without a server."""

    def __init__(self, server: SftpServer | None = None, carrier: VrrpCarrier | None = None) -> None:
        self.server = server
        self.carrier = carrier

    @classmethod
    async def start(cls, config: Config, core: Core, directory: Directory) -> FileService:
        """Start the service as configured; raises ``OSError`` if an address cannot be bound."""
        if config.sftp is None:
            return cls()
        # Imported only where the service is enabled, as imports lengthen the start.
        from cleatyoke.sftp.backends import SftpBackends
        from cleatyoke.sftp.server import SftpServer
        from cleatyoke.vrrp.carrier import VrrpCarrier

        settings = config.sftp
        sessions = config.memory.file_sessions
        backends = SftpBackends(
            directory, settings.backend_port, config.connect_timeout, config.idle_timeout, sessions
        )
        server = SftpServer(settings, core, backends, sessions, MemoryPool(config.memory.files))
        if config.vrrp is None:
            await server.open()
            return cls(server)

        async def on_mastership_change(is_master: bool) -> None:
            if is_master:
                await server.open()
            else:
                await server.close(settings.command_timeout)

        carrier = VrrpCarrier(config.vrrp, on_mastership_change)
        await carrier.start()
        return cls(server, carrier)

    def resize(self, memory: MemoryBudget) -> None:
        """Replace the limits; sessions beyond them stay open."""
        if self.server:
            self.server.max_sessions = memory.file_sessions
            self.server.memory.total = memory.files

    def limit_use(self) -> tuple[int, int]:
        """Return the number of sessions and the bytes that they hold."""
        if self.server is None:
            return 0, 0
        return len(self.server.sessions), self.server.memory.used

    async def close(self, timeout: float) -> None:  # noqa: ASYNC109  passed on to the server
        """Stop accepting sessions, and end the open ones within ``timeout`` seconds."""
        if self.carrier:
            await self.carrier.stop()
        if self.server:
            await self.server.close(timeout)
            self.server.backends.close()
