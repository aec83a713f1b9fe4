"""What asyncio does not offer for sockets: a look for unread bytes, and a listener that can wait for room."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable

ACCEPTED = 32  # connections accepted in one turn of the loop
BACKLOG = 512  # connections that the kernel holds until they are accepted
PAUSE = 0.01  # seconds until the next look for room


def unread(transport: asyncio.Transport) -> bool:
    """Something has come, or the end, that the loop has not read yet."""
    return readable(transport.get_extra_info("socket").fileno())


def readable(descriptor: int) -> bool:
    look = select.poll()
    look.register(descriptor, select.POLLIN)
    return bool(look.poll(0))


class NotListening(OSError):
    """A descriptor that was handed down is no listening TCP socket."""


def take_listening(descriptor: int) -> socket.socket:
    """A listening socket that the platform holds and hands to each process, never bound here again."""
    try:
        taken = socket.socket(fileno=descriptor)
    except OSError as error:
        raise NotListening(f"descriptor {descriptor}: {error.strerror or error}") from error
    if taken.type != socket.SOCK_STREAM or not taken.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        taken.detach()  # it is not ours to close
        raise NotListening(f"descriptor {descriptor} is no listening TCP socket")
    return taken


class Listener:
    """Accepts a connection only when there is ``room`` for it; until then the kernel holds it.

    Guards the descriptors: asyncio's own listener accepts a backlog at a time before any is counted, and
    pauses for a second once there are none left."""

    def __init__(
        self, host: str, port: int, room: Callable[[], bool], make: Callable[[], asyncio.Protocol],
        inherited: int | None = None,
    ) -> None:  # fmt: skip
        self.loop, self.room, self.make = asyncio.get_running_loop(), room, make
        if inherited is None:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            self.socket = socket.create_server((host, port), family=family, backlog=BACKLOG)
        else:
            self.socket = take_listening(inherited)
        self.socket.setblocking(False)
        self.tasks: set[asyncio.Task[None]] = set()
        self.bell: asyncio.TimerHandle | None = None
        self.resume()

    def resume(self) -> None:
        self.bell = None
        self.loop.add_reader(self.socket, self.accept)

    def accept(self) -> None:
        for _ in range(ACCEPTED):
            if not readable(self.socket.fileno()):
                return
            if not self.room():
                return self.wait()
            try:
                connection, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError:
                return self.wait()
            task = self.loop.create_task(self.connect(self.make(), connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def wait(self) -> None:
        self.loop.remove_reader(self.socket)
        self.bell = self.loop.call_later(PAUSE, self.resume)

    async def connect(self, protocol: asyncio.Protocol, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, connection)
        except Exception as error:  # whatever it is, its place is free again
            connection.close()
            protocol.connection_lost(error)
            if not isinstance(error, OSError):
                raise

    def close(self) -> None:
        if self.bell:
            self.bell.cancel()
        self.loop.remove_reader(self.socket)
        self.socket.close()
