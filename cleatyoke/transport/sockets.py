"""What asyncio does not offer for sockets: a look for unread bytes or the end, a close that costs no answer,
and a listener that can wait for room.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections.abc import Callable
from typing import Any

ACCEPTED = 32  # connections accepted in one turn of the loop: so long others wait for theirs
BACKLOG = 512  # connections that the kernel holds until they are accepted: half of the most descriptors
PAUSE = 0.01  # seconds until the next look for room: none ends sooner than a round trip and an answer
CLOSE_TIMEOUT = 1.0  # seconds for which a peer is read on after the sending side was shut: many round trips, and no
# setting tells how long a client takes to read an answer that has come
MAX_DISCARDED_BYTES = 1 << 20  # bytes that are read and thrown away then: more than the kernel holds on the way
MOST_LOOKS = 10  # times ``PART`` for a peer that does not read what was written


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Something has come, or the end, that the loop has not read yet."""
    return is_readable(transport.get_extra_info("socket").fileno())


def is_readable(descriptor: int) -> bool:
    look = select.poll()
    look.register(descriptor, select.POLLIN)
    return bool(look.poll(0))


def is_ended(transport: asyncio.BaseTransport) -> bool:
    """The peer has closed or reset the connection, or shut its sending side, whether or not the loop has read
    that yet; or it is closed on this side.
    """
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return True
    look = select.poll()
    look.register(descriptor, select.POLLIN | select.POLLRDHUP)
    found = look.poll(0)
    if not found:
        return False
    if found[0][1] & (select.POLLRDHUP | select.POLLHUP | select.POLLERR):
        return True
    peek = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)  # asyncio's own has no recv
    try:
        return not peek.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        peek.detach()


class ClosingTransport(asyncio.Transport):
    """A transport whose ``close`` costs no answer (RFC 9112, 9.6): what was written goes out, then the
    sending side is shut, and what still comes is thrown away until the peer ends it too, within ``PART``
    seconds and ``MOST_PART`` bytes. Guards answers: a close over unread bytes resets the connection, and what
    the peer has not read of the answer goes with it. Its protocol is told of the end at once, and hears
    nothing more; ``parted`` is called once the descriptor is free.
    """

    def __init__(
        self,
        inner: asyncio.Transport,
        protocol: asyncio.Protocol,
        parts: Callable[[ClosingTransport], None],
        parted: Callable[[ClosingTransport], None],
    ) -> None:
        super().__init__()
        self.inner, self.protocol, self.parts, self.parted = inner, protocol, parts, parted
        self.is_shut_down = False

    def close(self) -> None:
        if self.is_shut_down or self.inner.is_closing():
            return
        self.is_shut_down = True
        self.inner.set_protocol(ClosingProtocol(self))
        asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)
        self.parts(self)
        try:
            self.inner.resume_reading()
            self.inner.write_eof()
        except (OSError, RuntimeError):  # the peer has reset it
            self.inner.abort()

    def is_flushed(self) -> bool:
        """All that was written is with the kernel."""
        return not self.inner.get_write_buffer_size()

    def end(self) -> None:
        """At once, where its descriptor is wanted and nothing is owed on it, or unread."""
        self.inner.abort()

    def is_closing(self) -> bool:
        return self.is_shut_down or self.inner.is_closing()

    def write(self, data: Any) -> None:
        if not self.is_shut_down:
            self.inner.write(data)

    def writelines(self, list_of_data: Any) -> None:
        if not self.is_shut_down:
            self.inner.writelines(list_of_data)

    def write_eof(self) -> None:
        self.inner.write_eof()

    def can_write_eof(self) -> bool:
        return True

    def abort(self) -> None:
        self.inner.abort()

    def pause_reading(self) -> None:
        if not self.is_shut_down:
            self.inner.pause_reading()

    def resume_reading(self) -> None:
        if not self.is_shut_down:
            self.inner.resume_reading()

    def is_reading(self) -> bool:
        return self.inner.is_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.inner.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        return self.inner.get_write_buffer_size()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self.inner.get_write_buffer_limits()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.inner.set_write_buffer_limits(high, low)

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.inner.get_protocol()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.inner.set_protocol(protocol)


class ClosingProtocol(asyncio.Protocol):
    """What is left of a connection whose sending side is shut: it reads and throws away."""

    def __init__(self, transport: ClosingTransport) -> None:
        self.transport, self.left, self.looks = transport, MAX_DISCARDED_BYTES, 0
        self.loop = asyncio.get_running_loop()
        self.timer = self.loop.call_later(CLOSE_TIMEOUT, self.look)

    def look(self) -> None:
        """A peer that reads slowly has the rest of its answer first."""
        self.looks += 1
        if self.transport.is_flushed() or self.looks >= MOST_LOOKS:
            self.transport.inner.abort()
        else:
            self.timer = self.loop.call_later(CLOSE_TIMEOUT, self.look)

    def data_received(self, data: bytes) -> None:
        self.left -= len(data)
        if self.left < 0:
            self.transport.inner.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.timer.cancel()
        self.transport.parted(self.transport)


class NotListeningError(OSError):
    """A descriptor that was handed down is no listening TCP socket."""


def adopt_listening_socket(descriptor: int) -> socket.socket:
    """A listening socket that the platform holds and hands to each process, never bound here again."""
    try:
        taken = socket.socket(fileno=descriptor)
    except OSError as error:
        msg = f"descriptor {descriptor}: {error.strerror or error}"
        raise NotListeningError(msg) from error
    if taken.type != socket.SOCK_STREAM or not taken.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        taken.detach()  # it is not ours to close
        msg = f"descriptor {descriptor} is no listening TCP socket"
        raise NotListeningError(msg)
    return taken


class Listener:
    """Accepts a connection only when there is ``room`` for it; until then the kernel holds it.

    Guards the descriptors: asyncio's own listener accepts a backlog at a time before any is counted, and
    pauses for a second once there are none left.
    """

    def __init__(
        self,
        host: str,
        port: int,
        room: Callable[[], bool],
        make: Callable[[], asyncio.Protocol],
        inherited: int | None = None,
    ) -> None:
        self.loop, self.has_capacity, self.make_protocol = asyncio.get_running_loop(), room, make
        if inherited is None:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            self.socket = socket.create_server((host, port), family=family, backlog=BACKLOG)
        else:
            self.socket = adopt_listening_socket(inherited)
        self.socket.setblocking(False)
        self.shared = inherited is not None
        self.tasks: set[asyncio.Task[None]] = set()
        self.pause_timer: asyncio.TimerHandle | None = None
        self.resume()

    def resume(self) -> None:
        self.pause_timer = None
        self.loop.add_reader(self.socket, self.accept)

    def accept(self) -> None:
        for _ in range(ACCEPTED):
            if not is_readable(self.socket.fileno()):
                return None
            if not self.has_capacity():
                return self.wait()
            try:
                self.take()
            except BlockingIOError:
                return None
            except OSError:
                return self.wait()

    def take(self) -> None:
        connection, _ = self.socket.accept()
        task = self.loop.create_task(self.connect(self.make_protocol(), connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def wait(self) -> None:
        self.loop.remove_reader(self.socket)
        self.pause_timer = self.loop.call_later(PAUSE, self.resume)

    async def connect(self, protocol: asyncio.Protocol, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, connection)
        except Exception as error:  # whatever it is, its place is free again
            connection.close()
            protocol.connection_lost(error)
            if not isinstance(error, OSError):
                raise

    def close(self) -> None:
        """What the kernel holds is accepted first, as far as there is room: requests on it count as taken,
        and the close would reset them. Where the socket is another process's too, that one accepts them.
        """
        if self.pause_timer:
            self.pause_timer.cancel()
        if self.socket.fileno() < 0:
            return
        self.loop.remove_reader(self.socket)
        if not self.shared:
            with contextlib.suppress(OSError):  # no descriptor left, or nobody waits any more
                for _ in range(BACKLOG):
                    if not is_readable(self.socket.fileno()) or not self.has_capacity():
                        break
                    self.take()
        self.socket.close()
