"""An orderly close of a connection (RFC 9112, section 9.6), which costs the peer no byte that was written."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

CLOSE_TIMEOUT = 1.0  # seconds for which a peer is read on after the sending side was shut down: many round
# trips, and no setting tells how long a client takes to read an answer that has come
MAX_DISCARDED_BYTES = 1 << 20  # read and discarded in that time: more than the kernel holds on the way
MAX_CLOSE_CHECKS = 10  # times ``CLOSE_TIMEOUT`` for a peer that does not read what was written


class ClosingTransport(asyncio.Transport):
    """A transport whose ``close`` ends the connection in order (RFC 9112, section 9.6).

    Prevents lost answers: a close while received bytes are unread makes the kernel reset the connection, and
    the reset discards what the peer has not read of the answer. The client then sees a connection reset in
    place of its answer. Therefore ``close`` writes what is buffered, shuts down the sending side, and reads
    and discards what still comes until the peer ends the connection too, for at most ``CLOSE_TIMEOUT``
    seconds and ``MAX_DISCARDED_BYTES``.

    The protocol is told ``connection_lost`` at once and receives nothing more. ``on_closing`` is called as
    the close begins, ``on_closed`` once the descriptor is free.
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

    def close(self) -> None:
        """Begin the orderly close; a second call does nothing."""
        if self.is_shut_down or self.inner.is_closing():
            return
        self.is_shut_down = True
        self.inner.set_protocol(_DiscardingProtocol(self))
        asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)
        self.on_closing(self)
        try:
            self.inner.resume_reading()
            self.inner.write_eof()
        except (OSError, RuntimeError):  # the peer has reset it
            self.inner.abort()

    def is_flushed(self) -> bool:
        """Whether all that was written has been handed to the kernel."""
        return not self.inner.get_write_buffer_size()

    def abort(self) -> None:
        """End the connection at once, with what is buffered or unread."""
        self.inner.abort()

    def is_closing(self) -> bool:
        """Whether the connection is closed, or its orderly close has begun."""
        return self.is_shut_down or self.inner.is_closing()

    # All below passes to the inner transport; while it is closed in order, nothing is written and reading
    # stays on.

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
        """Say yes, as the inner transport is a TCP connection."""
        return True

    def pause_reading(self) -> None:
        """Stop reading, unless the close has begun."""
        if not self.is_shut_down:
            self.inner.pause_reading()

    def resume_reading(self) -> None:
        """Read again, unless the close has begun: then it is read anyway."""
        if not self.is_shut_down:
            self.inner.resume_reading()

    def is_reading(self) -> bool:
        """Whether the inner transport reads."""
        return self.inner.is_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the inner transport's information of this name."""
        return self.inner.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """Return the bytes written but not yet with the kernel."""
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
    """Reads and discards what comes on a connection whose sending side is shut down, until it ends."""

    def __init__(self, transport: ClosingTransport) -> None:
        self.transport = transport
        self.bytes_left = MAX_DISCARDED_BYTES
        self.checks = 0
        self.loop = asyncio.get_running_loop()
        self.timer = self.loop.call_later(CLOSE_TIMEOUT, self._check)

    def _check(self) -> None:
        """End the connection once the answer has left; a peer that reads slowly has the rest of it first."""
        self.checks += 1
        if self.transport.is_flushed() or self.checks >= MAX_CLOSE_CHECKS:
            self.transport.inner.abort()
        else:
            self.timer = self.loop.call_later(CLOSE_TIMEOUT, self._check)

    def data_received(self, data: bytes) -> None:
        self.bytes_left -= len(data)
        if self.bytes_left < 0:
            self.transport.inner.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  asyncio calls it so
        self.timer.cancel()
        self.transport.on_closed(self.transport)
