"""What asyncio does not tell of a socket: bytes that the loop has not read yet, and a peer that has gone."""

from __future__ import annotations

import asyncio
import select
import socket


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Whether bytes, or the end of the stream, have come that the loop has not read yet."""
    return is_readable(transport.get_extra_info("socket").fileno())


def is_readable(descriptor: int) -> bool:
    """Whether a read, or an accept, of the descriptor would return at once."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def is_ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the connection has ended, on either side, even if the loop has not read that yet.

    It has where the peer closed or reset it or shut down its sending side, and where this side closed it.
    """
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    found = poll.poll(0)
    if not found:
        return False
    if found[0][1] & (select.POLLRDHUP | select.POLLHUP | select.POLLERR):
        return True
    return _is_at_end_of_stream(descriptor)


def _is_at_end_of_stream(descriptor: int) -> bool:
    """Look at the next byte and leave it where it is; asyncio's own socket object cannot receive."""
    peek = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)
    try:
        return not peek.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        peek.detach()
