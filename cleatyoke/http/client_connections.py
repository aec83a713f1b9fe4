"""Registry of client connections: limits their number and selects which to evict for a new one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from cleatyoke.http.open_requests import OpenRequests
from cleatyoke.http.request_head import BodyKind
from cleatyoke.limits.memory_budget import MemoryBudget
from cleatyoke.limits.memory_pool import MemoryPool

if TYPE_CHECKING:
    from cleatyoke.http.client_connection import ClientConnection
    from cleatyoke.transport.closing import ClosingTransport

MIN_EVICTION_AGE = 0.03  # seconds for which a connection must be idle or closing before it may be evicted
MIN_SILENT_AGE = 0.15  # the same for one that never sent anything: its client may be busy
MAX_LINGERING_CLIENTS = 4  # that may send the rest of a long rejected body: reading it takes processor time
SLOW_HEAD_AGE = 0.6  # seconds after which a connection with an incomplete head may be evicted
RESPONSE_READ_TIME = 0.1  # seconds assumed for a client to read a response after it was written: many round
# trips, as no setting defines it
DRAIN_SILENCE_TIMEOUT = 0.3  # seconds for which a new connection may be without a request during a drain


class ClientConnections:
    """The open connections by state. Times are loop times in seconds.

    At most ``memory.clients`` connections are open, those being closed included. Without this limit a flood
    of connections would use up the memory, or the file descriptors that backend connections, discovery and
    the log need, and accepted requests would fail. ``open_requests`` limits the requests that are open on
    them, and ``heads`` is the memory that long heads share. ``on_rejected`` is called with the class of a
    request that is rejected before it is open.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, memory: MemoryBudget) -> None:
        self._loop = loop
        self.max_clients = memory.clients
        self.heads = MemoryPool(memory.heads)
        self.open_requests: OpenRequests[ClientConnection] = OpenRequests(_open_limits(memory))
        self.on_rejected: Callable[[str], None] = lambda _class_name: None
        self.clients: set[ClientConnection] = set()
        self.silent: dict[ClientConnection, None] = {}  # no request received yet, the oldest first
        self.idle: dict[ClientConnection, float] = {}  # no request being served: since when, longest first
        self._lingering: set[ClosingTransport] = set()  # closing ones that may go on sending for longer
        self.closing: dict[ClosingTransport, float] = {}  # responded to, in graceful close: since when

    def resize(self, memory: MemoryBudget) -> None:
        """Replace the limits; what is open beyond them stays open."""
        self.max_clients = memory.clients
        self.heads.total = memory.heads
        self.open_requests.set_limits(_open_limits(memory))
        self._open_waiting()

    def add(self, client: ClientConnection) -> None:
        """Add a new connection, which has not sent a request yet."""
        self.clients.add(client)
        self.silent[client] = None

    def mark_active(self, client: ClientConnection) -> None:
        """Mark a connection whose request head was received: it is not evicted before its response."""
        self.silent.pop(client, None)
        self.idle.pop(client, None)

    def remove(self, client: ClientConnection) -> None:
        """Remove a connection that has ended or is being closed."""
        self.clients.discard(client)
        self.mark_active(client)
        self.end_request(client)

    def end_request(self, client: ClientConnection) -> None:
        """Forget the request of a connection, and open the requests that wait for its memory."""
        self.open_requests.end(client)
        self._open_waiting()

    def _open_waiting(self) -> None:
        while (waiting := self.open_requests.open_next()) is not None:
            waiting.pass_request_on()

    def add_closing(self, transport: ClosingTransport) -> None:
        """Add a transport whose graceful close begins."""
        self.closing[transport] = self._loop.time()
        if len(self._lingering) < MAX_LINGERING_CLIENTS:
            self._lingering.add(transport)
            transport.may_linger = True

    def remove_closing(self, transport: ClosingTransport) -> None:
        """Remove a transport whose descriptor has been freed."""
        self.closing.pop(transport, None)
        self._lingering.discard(transport)

    def has_capacity(self) -> bool:
        """Return whether one more connection may be accepted; at the limit, try to evict one.

        The order is: a closing connection whose response is flushed, the oldest that never sent a request,
        the longest idle, and one with a slow head. If none is old enough, as after a sudden flood, new
        connections stay in the kernel's backlog until one is.
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
        now = self._loop.time()
        for client in [*self.silent, *self.idle]:
            age = now - self.idle.get(client, client.opened_at)
            min_age = MIN_SILENT_AGE if client in self.silent else MIN_EVICTION_AGE
            if age >= min_age and client.is_evictable():
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
        """Return how many idle connections have had a response before."""
        return len(self.idle) - len(self.silent)

    def count_pending_responses(self) -> int:
        """Return the number of connections whose response may still be pending or unread by the client.

        A closing connection counts until its response is flushed and ``RESPONSE_READ_TIME`` has passed since
        its close began. The others do not delay the process's exit.
        """
        not_before = self._loop.time() - RESPONSE_READ_TIME
        return len(self.clients) + sum(
            since > not_before or not transport.is_flushed() for transport, since in self.closing.items()
        )

    def close_idle(self) -> None:
        """Gracefully close idle connections, and new ones that have not sent a request in time."""
        opened_by = self._loop.time() - DRAIN_SILENCE_TIMEOUT
        for client in [*self.idle]:
            if (client not in self.silent or client.opened_at <= opened_by) and client.is_evictable():
                client.close_idle()


def _open_limits(memory: MemoryBudget) -> dict[BodyKind, int]:
    return {
        BodyKind.NONE: memory.open_requests,
        BodyKind.SHORT: memory.open_short_bodies,
        BodyKind.LONG: memory.open_long_bodies,
    }
