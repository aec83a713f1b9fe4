"""How many sockets and how much memory each part of the process may use."""

from __future__ import annotations

from dataclasses import dataclass

from cleatyoke.http.body_limits import MAX_UPLOAD_BYTES

DEFAULT_SOCKETS = 1024  # the deployment page's maximum, where the configuration names none
RESERVED_SOCKETS = 56  # listeners, log, two discovery connections, files, connections that are being closed
MAX_FILE_SESSIONS = 32
_SOCKETS_OF_A_FILE_SESSION = 3  # the client's connection; to backends, one in use and an idle one
_BUDGET_FOR_A_FILE_SESSION = 12  # sockets; as a session uses 3, the file service has a quarter at most
_BODY_MEMORY_FRACTION = 0.45  # of the memory that the front may use
_MIN_BODY_MEMORY_BYTES = 4 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class SocketBudget:
    """The maximum number of connections of each kind.

    A request in flight holds one client connection and at most one backend connection. There are as many
    backend connections as client connections, so no attempt waits for a socket.
    """

    clients: int
    max_idle_clients: (
        int  # while more are idle, each is closed with its answer; a third of ``clients`` or more
    )
    backends: int
    file_sessions: int  # 0 where the file service is off

    @classmethod
    def divide(cls, sockets: int, with_files: bool) -> SocketBudget:
        """Divide the descriptors that the process may open, with or without the file service."""
        most_sessions = (sockets - RESERVED_SOCKETS) // _BUDGET_FOR_A_FILE_SESSION
        file_sessions = min(MAX_FILE_SESSIONS, most_sessions) if with_files else 0
        file_sockets = _SOCKETS_OF_A_FILE_SESSION * file_sessions
        half = (sockets - RESERVED_SOCKETS - file_sockets) // 2
        return cls(clients=half, max_idle_clients=sockets // 6, backends=half, file_sessions=file_sessions)


def body_memory_bytes(memory_mb: float) -> int:
    """Return the bytes that request bodies may occupy of a front's memory; ``memory_mb`` of 0: unknown.

    The process itself takes about 30 MB of the memory.
    """
    if not memory_mb:
        return _MIN_BODY_MEMORY_BYTES + MAX_UPLOAD_BYTES
    return max(_MIN_BODY_MEMORY_BYTES, int(memory_mb * _BODY_MEMORY_FRACTION * 1024 * 1024))
