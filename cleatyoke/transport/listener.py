"""A TCP listener that accepts a connection only when there is capacity for it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from cleatyoke.transport.sockets import is_readable

MAX_ACCEPTS_PER_TURN = 32  # connections accepted in one turn of the loop: so long others wait for theirs
BACKLOG = 512  # connections that the kernel holds until they are accepted: half of the most descriptors
CAPACITY_POLL_INTERVAL = 0.01  # seconds until capacity is checked again: none is freed sooner than a round
# trip and an answer take


class NotListeningError(OSError):
    """A descriptor that was handed down is no listening TCP socket."""


def adopt_listening_socket(descriptor: int) -> socket.socket:
    """Return the listening socket of a descriptor that the platform holds and hands to each process.

    The socket is already bound. Raises ``NotListeningError``, and then leaves the descriptor open.
    """
    try:
        adopted = socket.socket(fileno=descriptor)
    except OSError as error:
        msg = f"descriptor {descriptor}: {error.strerror or error}"
        raise NotListeningError(msg) from error
    if adopted.type != socket.SOCK_STREAM or not adopted.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        adopted.detach()  # it is not this listener's to close
        msg = f"descriptor {descriptor} is no listening TCP socket"
        raise NotListeningError(msg)
    return adopted


class Listener:
    """Accept a connection only when ``has_capacity`` says so; until then the kernel holds it.

    Prevents running out of file descriptors: asyncio's own listener accepts a whole backlog before any of it
    is counted and, once no descriptor is left, accepts nothing for a second. Clients would see connections
    that stand still, and logs and discovery would fail to open files.

    ``make_protocol`` is called for each accepted connection. ``inherited``: the descriptor of a listening
    socket that another process holds too; ``host`` and ``port`` are then ignored.
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
        """Stop accepting, and close the socket.

        What the kernel holds is accepted first, as far as there is capacity: a close would reset those
        connections, on which requests may have come already. Where another process has the socket too, that
        process accepts them.
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
        with contextlib.suppress(OSError):  # no descriptor left, or no connection waits any more
            for _ in range(BACKLOG):
                if not is_readable(self.socket.fileno()) or not self.has_capacity():
                    break
                self._accept_one()

    def _resume(self) -> None:
        self.pause_timer = None
        self.loop.add_reader(self.socket, self._accept_waiting)

    def _accept_waiting(self) -> None:
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
            except OSError:
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
        except Exception as error:  # whatever it is, the connection's place must be free again
            connection.close()
            protocol.connection_lost(error)
            if not isinstance(error, OSError):
                raise
