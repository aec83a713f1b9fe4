"""Socket state that asyncio does not expose: unread bytes in the kernel, and a disconnected peer."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import select
import socket

_TEMPORARY_ERRORS = (errno.EINTR, errno.ENOBUFS, errno.ENOMEM)  # of a call, not of the connection


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Whether bytes or the end of the stream have been received that the loop has not read yet."""
    return is_readable(transport.get_extra_info("socket").fileno())


def limit_read_size(transport: asyncio.Transport, size: int) -> None:
    """Let the transport read at most ``size`` bytes at once.

    asyncio's socket transports read 256 KiB, and a protocol that has paused reading may hold all of them.
    """
    transport.max_size = size  # type: ignore[attr-defined]  # of asyncio.selector_events._SelectorTransport


def abort_stream(writer: asyncio.StreamWriter) -> None:
    """Abort a stream's connection, which may have ended.

    asyncio's transports forget their loop when they end, and may then fail to abort.
    """
    with contextlib.suppress(OSError, AttributeError):
        writer.transport.abort()


def is_readable(descriptor: int) -> bool:
    """Whether a read or an accept on the descriptor would not block."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def is_ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the connection has ended, on either side, even if the loop has not read that yet.

    True if the peer closed or reset it or shut down its sending side, or if this side closed it.
    """
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    events = poll.poll(0)
    if not events:
        return False
    if events[0][1] & (select.POLLRDHUP | select.POLLHUP | select.POLLERR):
        return True
    return _is_at_end_of_stream(descriptor)


def _is_at_end_of_stream(descriptor: int) -> bool:
    """Peek at the next byte without consuming it; asyncio's socket object does not support recv()."""
    peek = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)
    try:
        return not peek.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError as error:
        return error.errno not in _TEMPORARY_ERRORS
    finally:
        peek.detach()
