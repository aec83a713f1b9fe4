"""A TCP listener that accepts connections only while there is capacity for them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

import structlog

from cleatyoke.transport.sockets import is_readable

log = structlog.get_logger()
MAX_ACCEPTS_PER_TURN = 32  # connections per loop iteration, so that other events are not delayed for long
BACKLOG = 512  # connections that the kernel queues before they are accepted: half of the most descriptors
CAPACITY_POLL_INTERVAL = 0.01  # seconds between checks: capacity is freed no sooner than a response takes


class NotListeningError(OSError):
    """An inherited descriptor is not a listening TCP socket."""


def adopt_listening_socket(descriptor: int) -> socket.socket:
    """Return the socket of an inherited descriptor, which is already bound and listening.

    The platform holds the descriptor and passes it to each process. Raises ``NotListeningError``, and then
    leaves the descriptor open.
    """
    try:
        adopted = socket.socket(fileno=descriptor)
    except OSError as error:
        msg = f"descriptor {descriptor}: {error.strerror or error}"
        raise NotListeningError(msg) from error
    if adopted.type != socket.SOCK_STREAM or not adopted.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        adopted.detach()  # it does not belong to this listener, so it stays open
        msg = f"descriptor {descriptor} is not a listening TCP socket"
        raise NotListeningError(msg)
    return adopted


class Listener:
    """Accepts connections only while ``has_capacity`` returns True; others stay in the kernel's backlog.

    Prevents running out of file descriptors: asyncio's own listener accepts a whole backlog before any of it
    is counted and, once no descriptor is left, accepts nothing for a second. Clients would see connections
    that hang, and logs and discovery would fail to open files and sockets.

    ``make_protocol`` is called for each accepted connection. ``inherited``: the descriptor of a listening
    socket shared with another process; ``host`` and ``port`` are then ignored.
    """

    def __init__(
        self,
        host: str,
        port: int,
        has_capacity: Callable[[], bool],
        make_protocol: Callable[[], asyncio.Protocol],
        inherited: int | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.has_capacity = has_capacity
        self.make_protocol = make_protocol
        if inherited is None:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            self.socket = socket.create_server((host, port), family=family, backlog=BACKLOG)
        else:
            self.socket = adopt_listening_socket(inherited)
        self.socket.setblocking(False)
        self.is_shared = inherited is not None
        self._connecting: set[asyncio.Task[None]] = set()
        self.pause_timer: asyncio.TimerHandle | None = None
        self._resume()

    def close(self) -> None:
        """Stop accepting and close the socket.

        The backlog is accepted first, as far as there is capacity: closing would reset those connections, on
        which requests may already have been sent. If the socket is shared, the other process accepts them.
        """
        if self.pause_timer:
            self.pause_timer.cancel()
        if self.socket.fileno() < 0:
            return
        self.loop.remove_reader(self.socket)
        if not self.is_shared:
            self._accept_backlog()
        self.socket.close()

    def _accept_backlog(self) -> None:
        for _ in range(BACKLOG):
            if not is_readable(self.socket.fileno()) or not self.has_capacity():
                break
            with contextlib.suppress(OSError):  # of one connection, or for a moment: the next may be accepted
                self._accept_one()

    def _resume(self) -> None:
        self.pause_timer = None
        self.loop.add_reader(self.socket, self._accept_ready)

    def _accept_ready(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not is_readable(self.socket.fileno()):
                return
            if not self.has_capacity():
                self._pause()
                return
            try:
                self._accept_one()
            except BlockingIOError:
                return
            except ConnectionAbortedError:  # its client has left
                continue
            except OSError as error:
                log.info("accept_failed", reason=str(error))
                self._pause()
                return

    def _accept_one(self) -> None:
        connection, _ = self.socket.accept()
        task = self.loop.create_task(self._connect(self.make_protocol(), connection))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def _pause(self) -> None:
        self.loop.remove_reader(self.socket)
        self.pause_timer = self.loop.call_later(CAPACITY_POLL_INTERVAL, self._resume)

    async def _connect(self, protocol: asyncio.Protocol, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, connection)
        except Exception as error:  # on any error the connection must be released
            connection.close()
            protocol.connection_lost(error)
            if not isinstance(error, OSError):
                raise
