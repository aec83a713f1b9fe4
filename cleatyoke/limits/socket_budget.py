"""Limits on the sockets that each part of the process may use."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_SOCKETS = 1024  # the deployment page's maximum; used if the configuration sets none
RESERVED_SOCKETS = 56  # listeners, log, two discovery connections, files, connections being closed
MAX_FILE_SESSIONS = 32
_SOCKETS_PER_FILE_SESSION = 3  # the client's connection, and one active and one idle backend connection
_BUDGET_PER_FILE_SESSION = 12  # sockets; as a session uses 3, the file service gets a quarter at most


@dataclass(slots=True, frozen=True)
class SocketBudget:
    """The maximum number of connections of each kind.

    A request in flight uses one client connection and at most one backend connection. Both have the same
    limit, so no attempt waits for a socket.
    """

    total: int
    clients: int
    # If more client connections are idle, each is closed after its response. At least a third of ``clients``.
    max_idle_clients: int
    backends: int
    file_sessions: int  # 0 if the file service is off

    @classmethod
    def divide(cls, sockets: int, with_file_service: bool) -> SocketBudget:
        """Divide the file descriptors that the process may open among the kinds of connections."""
        max_sessions = (sockets - RESERVED_SOCKETS) // _BUDGET_PER_FILE_SESSION
        file_sessions = min(MAX_FILE_SESSIONS, max_sessions) if with_file_service else 0
        file_sockets = _SOCKETS_PER_FILE_SESSION * file_sessions
        connections = (sockets - RESERVED_SOCKETS - file_sockets) // 2
        return cls(
            total=sockets,
            clients=connections,
            max_idle_clients=sockets // 6,
            backends=connections,
            file_sessions=file_sessions,
        )
