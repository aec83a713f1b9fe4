"""All clients' connections of the front: how many may be open, and which one makes room for a new one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cleatyoke.http.client_connection import ClientConnection
    from cleatyoke.transport.closing import ClosingTransport

MIN_EVICTION_AGE = 0.03  # seconds for which a connection is idle or closing before it may make room
SLOW_HEAD_AGE = 0.6  # seconds after which a head that is not complete may make room for another connection
ANSWER_READ_TIME = 0.1  # seconds in which a client has read an answer that was written: many round trips,
# and no setting tells
DRAIN_SILENCE_TIMEOUT = 0.3  # seconds for which a new connection may stand without a request during a drain


class ClientConnections:
    """The open connections, by what is owed on each. Times are the loop's, in seconds.

    Prevents running out of file descriptors: at most ``max_clients`` connections are open, those that are
    being closed included. Without the bound a flood of connections takes the descriptors that backend
    connections, discovery and the log need, and requests fail that were accepted.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, max_clients: int) -> None:
        self._loop = loop
        self.max_clients = max_clients
        self.clients: set[ClientConnection] = set()
        self.silent: dict[ClientConnection, None] = {}  # without a request so far, the oldest first
        self.idle: dict[ClientConnection, float] = {}  # no request in hand: since when, the longest first
        self.closing: dict[ClosingTransport, float] = {}  # answered, being closed in order: since when

    def add(self, client: ClientConnection) -> None:
        """Count a new connection, which has not sent a request yet."""
        self.clients.add(client)
        self.silent[client] = None

    def mark_active(self, client: ClientConnection) -> None:
        """Note that a request's head has come: the connection can't be evicted before its answer."""
        self.silent.pop(client, None)
        self.idle.pop(client, None)

    def remove(self, client: ClientConnection) -> None:
        """Forget a connection that has ended or is being closed."""
        self.clients.discard(client)
        self.mark_active(client)

    def add_closing(self, transport: ClosingTransport) -> None:
        """Count a transport whose orderly close begins."""
        self.closing[transport] = self._loop.time()

    def remove_closing(self, transport: ClosingTransport) -> None:
        """Forget a transport whose descriptor is free."""
        self.closing.pop(transport, None)

    def has_capacity(self) -> bool:
        """Whether one more connection may be accepted; at the bound, another is closed to make room.

        A closing connection whose answer has left goes first, then the oldest that never sent a request,
        then the longest idle, then a head that comes slowly. Where none of them is old enough, as a flood
        has just taken all places, the kernel holds new connections meanwhile.
        """
        if len(self.clients) + len(self.closing) < self.max_clients:
            return True
        return self._abort_closing() or self._evict_idle() or self._evict_slow_head()

    def _abort_closing(self) -> bool:
        not_after = self._loop.time() - MIN_EVICTION_AGE
        for transport, since in self.closing.items():
            if since <= not_after and transport.is_flushed():
                transport.abort()
                self.remove_closing(transport)
                return True
        return False

    def _evict_idle(self) -> bool:
        not_after = self._loop.time() - MIN_EVICTION_AGE
        for client in [*self.silent, *self.idle]:
            if self.idle.get(client, client.opened_at) <= not_after and client.is_evictable():
                client.evict()
                return True
        return False

    def _evict_slow_head(self) -> bool:
        started_by = self._loop.time() - SLOW_HEAD_AGE
        for client in self.idle:
            if client.has_slow_head(started_by):
                client.evict()
                return True
        return False

    def count_served_idle(self) -> int:
        """Return how many idle connections have had an answer before."""
        return len(self.idle) - len(self.silent)

    def count_owed(self) -> int:
        """Return the connections on which an answer may still be owed, or not be read yet.

        A closing connection counts while its answer has not left, or left so lately that its reader had no
        time for it. The others do not delay the process's exit.
        """
        not_before = self._loop.time() - ANSWER_READ_TIME
        return len(self.clients) + sum(
            since > not_before or not transport.is_flushed() for transport, since in self.closing.items()
        )

    def close_idle(self) -> None:
        """Close, in order, the idle connections, and new ones that have not sent a request in time."""
        opened_by = self._loop.time() - DRAIN_SILENCE_TIMEOUT
        for client in [*self.idle]:
            if (client not in self.silent or client.opened_at <= opened_by) and client.is_evictable():
                client.close_idle()
