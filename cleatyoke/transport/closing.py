"""Graceful close of a connection without losing written data (RFC 9112, section 9.6)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from cleatyoke.transport.sockets import limit_read_size

# Seconds for which the peer is still read after the sending side was shut down: many round trips, as no
# setting defines how long a client takes to read a response it has received.
CLOSE_TIMEOUT = 1.0
MAX_DISCARDED_BYTES = 1 << 20  # read and discarded in that time: more than the kernel buffers in transit
# The same if the transport may linger: the longest request body of the operations page, and what is in
# transit. A client that is still sending a body which was rejected may read the answer only afterwards.
MAX_LINGERING_BYTES = 36 << 20
DISCARDED_READ_BYTES = 64 << 10  # at once
MAX_CLOSE_CHECKS = (
    10  # times ``CLOSE_TIMEOUT`` for a peer that does not read what was written, or still sends
)


class ClosingTransport(asyncio.Transport):
    """A transport whose ``close`` ends the connection gracefully (RFC 9112, section 9.6).

    Closing a socket with unread received bytes makes the kernel reset the connection, and the reset discards
    what the peer has not read of the response: the client sees a connection reset in place of it. Therefore
    ``close`` writes what is buffered, shuts down the sending side, and reads and discards further bytes until
    the peer closes too, for at most ``MAX_DISCARDED_BYTES`` and ``CLOSE_TIMEOUT`` seconds, repeated up to
    ``MAX_CLOSE_CHECKS`` times while written data is not flushed. If ``may_linger`` is set by ``on_closing``,
    a peer that goes on sending has as much time, and ``MAX_LINGERING_BYTES``.

    The protocol's ``connection_lost`` is scheduled at once, and it receives no more data. ``on_closing`` is
    called when the close begins, ``on_closed`` once the descriptor is free.
    """

    def __init__(
        self,
        inner: asyncio.Transport,
        protocol: asyncio.Protocol,
        on_closing: Callable[[ClosingTransport], None],
        on_closed: Callable[[ClosingTransport], None],
    ) -> None:
        super().__init__()
        self.inner = inner
        self.protocol = protocol
        self.on_closing = on_closing
        self.on_closed = on_closed
        self.is_shut_down = False
        self.may_linger = False

    def close(self) -> None:
        """Begin the graceful close; further calls have no effect."""
        if self.is_shut_down or self.inner.is_closing():
            return
        self.is_shut_down = True
        self.on_closing(self)
        limit_read_size(self.inner, DISCARDED_READ_BYTES)
        self.inner.set_protocol(_DiscardingProtocol(self))
        asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)
        try:
            self.inner.resume_reading()
            self.inner.write_eof()
        except (OSError, RuntimeError):  # the peer has reset the connection
            self.inner.abort()

    def is_flushed(self) -> bool:
        """Whether all written data has been handed to the kernel."""
        return not self.inner.get_write_buffer_size()

    def abort(self) -> None:
        """Abort the connection, discarding buffered and unread data."""
        self.inner.abort()

    def is_closing(self) -> bool:
        """Whether the connection is closed or its graceful close has begun."""
        return self.is_shut_down or self.inner.is_closing()

    # The methods below delegate to the inner transport. During the graceful close nothing is written, and
    # reading is not paused.

    def write(self, data: Any) -> None:
        """Write, unless the close has begun."""
        if not self.is_shut_down:
            self.inner.write(data)

    def writelines(self, list_of_data: Any) -> None:
        """Write, unless the close has begun."""
        if not self.is_shut_down:
            self.inner.writelines(list_of_data)

    def write_eof(self) -> None:
        """Shut down the sending side."""
        self.inner.write_eof()

    def can_write_eof(self) -> bool:
        """Return True, as the inner transport is a TCP connection."""
        return True

    def pause_reading(self) -> None:
        """Stop reading, unless the close has begun."""
        if not self.is_shut_down:
            self.inner.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading, unless the close has begun, during which reading is never paused."""
        if not self.is_shut_down:
            self.inner.resume_reading()

    def is_reading(self) -> bool:
        """Whether the inner transport is reading."""
        return self.inner.is_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the inner transport's information of this name."""
        return self.inner.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes written but not yet handed to the kernel."""
        return self.inner.get_write_buffer_size()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the low and high limits of the write buffer, in bytes."""
        return self.inner.get_write_buffer_limits()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the limits of the write buffer, in bytes."""
        self.inner.set_write_buffer_limits(high, low)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the inner transport's protocol."""
        return self.inner.get_protocol()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the inner transport's protocol."""
        self.inner.set_protocol(protocol)


class _DiscardingProtocol(asyncio.Protocol):
    """Discards received data after the sending side was shut down, until the connection ends."""

    def __init__(self, transport: ClosingTransport) -> None:
        self.transport = transport
        self.bytes_left = MAX_LINGERING_BYTES if transport.may_linger else MAX_DISCARDED_BYTES
        self.has_received = False  # since the last check
        self.checks = 0
        self.loop = asyncio.get_running_loop()
        self.timer = self.loop.call_later(CLOSE_TIMEOUT, self._check)

    def _check(self) -> None:
        """Abort the connection of a peer that is idle, or after ``MAX_CLOSE_CHECKS`` checks."""
        self.checks += 1
        is_sending = self.transport.may_linger and self.has_received
        self.has_received = False
        if (self.transport.is_flushed() and not is_sending) or self.checks >= MAX_CLOSE_CHECKS:
            self.transport.inner.abort()
        else:
            self.timer = self.loop.call_later(CLOSE_TIMEOUT, self._check)

    def data_received(self, data: bytes) -> None:
        self.has_received = True
        self.bytes_left -= len(data)
        if self.bytes_left < 0:
            self.transport.inner.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  asyncio calls it so
        self.timer.cancel()
        self.transport.on_closed(self.transport)
