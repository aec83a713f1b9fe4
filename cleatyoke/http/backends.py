"""HTTP attempts at backends: a connection pool per backend, and the outcome each ending maps to."""

from __future__ import annotations

import asyncio
from collections import deque
from functools import partial

from cleatyoke.config.addresses import Address
from cleatyoke.core import AttemptResult, MayBegin
from cleatyoke.discovery.directory import Directory
from cleatyoke.http.answer_progress import BackendActivity
from cleatyoke.http.answers import (
    BackendResponse,
    decode_load_probe,
    decode_outcome,
    decode_served_elsewhere,
    decode_utilization,
)
from cleatyoke.http.backend_connection import BackendConnection
from cleatyoke.http.messages import MalformedResponseError
from cleatyoke.http.requests import ClientRequest, encode_attempt, encode_load_probe
from cleatyoke.http.response_wait import ResponseWait
from cleatyoke.http.streamed_body import StreamedBody
from cleatyoke.limits.memory_budget import MAX_UNSTREAMED_BYTES, MemoryBudget
from cleatyoke.limits.memory_pool import MemoryPool
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.events import AttemptOutcome

IDLE_FRACTION = 0.5  # of the backends' idle timeout (settings), after which a pooled connection is closed
REUSE_DELAY = 0.02  # seconds after a response before its connection is reused: a duplicate response that
# a faulty backend sends some milliseconds later must be detected before the next request is sent


class ConnectionPool:
    """Idle connections to one incarnation of one backend, the longest idle first."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.is_retired = False  # not reused, as the backend is draining, removed or restarted
        self.idle: deque[BackendConnection] = deque()
        self.activity = BackendActivity()


class BackendPools:
    """Connection pools for the backends of the directory, and the attempts sent over them.

    ``connect_timeout``: seconds for opening a connection; ``idle_close``: seconds after which backends close
    an idle one; ``max_connections``: limit over all backends, connections being opened included.

    A pooled connection is closed here at ``IDLE_FRACTION`` of the backends' idle timeout, so that no request
    is sent on a connection that the backend is about to close.
    """

    def __init__(
        self,
        directory: Directory,
        connect_timeout: float,
        idle_close: float,
        max_connections: int,
        metrics: Metrics | None = None,
    ) -> None:
        self.directory = directory
        self.connect_timeout = connect_timeout
        self.max_connections = max_connections
        self.metrics = metrics or Metrics()
        # The memory that answers share, and the longest read of one; the server sets its own.
        self.answers = MemoryPool(MemoryBudget.divide(0.0, max_connections, 0).answers)
        self.response_read_bytes = MAX_UNSTREAMED_BYTES
        self.idle_timeout = idle_close * IDLE_FRACTION
        self.pools: dict[int, ConnectionPool] = {}
        self.open_connections = 0
        directory.listeners.append(self.retire_pool)

    def resize(self, max_connections: int, response_read_bytes: int) -> None:
        """Replace the limits; idle connections beyond them are closed."""
        self.max_connections = max_connections
        self.response_read_bytes = response_read_bytes
        while self.open_connections > max_connections and self._close_any_idle():
            pass

    async def attempt(
        self, node: int, request: ClientRequest, wait: ResponseWait, may_begin: MayBegin
    ) -> AttemptResult[bytes | StreamedBody]:
        """Send the request to the backend, once.

        ``wait.not_after``: loop time at which the attempt is abandoned; the backend is sent the rest.
        ``may_begin``, and whether the backend still serves, are checked immediately before the first byte:
        connecting may take long, and an unsent request provably has no effect. An attempt that ends in any
        other way without proof that it had no effect may have run. A long response counts as served with its
        first bytes; the caller must close its ``StreamedBody``.
        """
        if not self.directory.is_serving(node):
            return AttemptResult(AttemptOutcome.NOT_SENT)
        pool = self._pool(node)
        connection: BackendConnection | None = None
        response: BackendResponse | None = None
        is_unused = False
        self.open_connections += 1
        try:
            connection = self.take_idle(pool) or await self.connect(pool)
            max_wait = wait.not_after - asyncio.get_running_loop().time()
            if pool.is_retired or not self.directory.is_serving(node) or not may_begin():
                is_unused = True
                return AttemptResult(AttemptOutcome.NOT_SENT)
            pieces = encode_attempt(request, pool.address, max_wait)
            try:
                response = await connection.exchange(pieces, wait, self._count_call)
            except MalformedResponseError:
                if connection.is_sending():
                    return AttemptResult(AttemptOutcome.CONNECTION_FAILED)
                return AttemptResult(AttemptOutcome.CONNECTION_RESET)
            return _result_of(response, connection)
        except (OSError, TimeoutError):
            return AttemptResult(AttemptOutcome.CONNECTION_FAILED)
        finally:
            if connection and connection.streamed_body and response and response.status == 200:
                connection.streamed_body.on_close = partial(self._release, pool, connection)
            else:
                reusable = is_unused or (response is not None and response.connection_reusable)
                self._release(pool, connection, reusable)

    async def probe_load(self, node: int, timeout: float) -> float | None:  # noqa: ASYNC109  returns None
        """Request a backend's load report, within ``timeout`` seconds.

        Returns the utilization, a fraction of the backend's capacity, or None if no report was received or
        the connection limit is reached, as requests take precedence.
        """
        if not self.directory.is_serving(node) or self.open_connections >= self.max_connections:
            return None
        pool = self._pool(node)
        connection: BackendConnection | None = None
        response: BackendResponse | None = None
        self.open_connections += 1
        try:
            async with asyncio.timeout(timeout):
                connection = self.take_idle(pool) or await self.connect(pool)
                wait = ResponseWait(asyncio.get_running_loop().time() + timeout)
                probe = [encode_load_probe(pool.address)]
                response = await connection.exchange(probe, wait, lambda: None)
            return decode_load_probe(response)
        except (OSError, TimeoutError, MalformedResponseError):
            return None
        finally:
            if connection and connection.streamed_body:  # far longer than a report
                connection.streamed_body.close()
            self._release(pool, connection, response is not None and response.connection_reusable)

    def take_idle(self, pool: ConnectionPool) -> BackendConnection | None:
        """Take a usable connection out of the pool, if there is one.

        A connection with unsolicited bytes, read by the loop or still in the kernel, is closed: they would be
        read as the response to the next request.
        """
        now = asyncio.get_running_loop().time()
        while pool.idle and pool.idle[0].reusable_at <= now:
            connection = pool.idle[0]
            self._remove_from_pool(pool, connection)
            if connection.is_usable():
                connection.read_bytes = self.response_read_bytes
                return connection
            connection.abort()
        return None

    async def connect(self, pool: ConnectionPool) -> BackendConnection:
        """Open a connection; if the limit is exceeded, close an idle one first.

        The limit is the number of concurrent client requests, so beyond it at least one is idle.
        """
        if self.open_connections > self.max_connections:
            self._close_any_idle()
        async with asyncio.timeout(self.connect_timeout):
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(
                partial(BackendConnection, self.answers, pool.activity, self.response_read_bytes),
                pool.address.host,
                pool.address.port,
            )
        return connection

    def retire_pool(self, node: int) -> None:
        """Stop reusing connections to a backend that is draining, removed or restarted."""
        if pool := self.pools.pop(node, None):
            pool.is_retired = True
            while pool.idle:
                self._close_idle(pool, pool.idle[0])

    def close(self) -> None:
        """Close all idle connections; those in use are closed after their responses."""
        for node in list(self.pools):
            self.retire_pool(node)

    def _pool(self, node: int) -> ConnectionPool:
        if node not in self.pools:
            self.pools[node] = ConnectionPool(self.directory.instances[node].address)
        return self.pools[node]

    def _release(
        self, pool: ConnectionPool, connection: BackendConnection | None, connection_reusable: bool
    ) -> None:
        """Return a connection to its pool or abort it; release the slot of one that was not opened.

        One that has not sent its whole request is aborted: the rest would be held while it is pooled, and the
        next request would be written into the middle of it.
        """
        may_be_pooled = connection_reusable and not pool.is_retired
        if connection and may_be_pooled and connection.transport and not connection.is_sending():
            self._return_to_pool(pool, connection)
            return
        self.open_connections -= 1
        if connection:
            connection.abort()

    def _return_to_pool(self, pool: ConnectionPool, connection: BackendConnection) -> None:
        loop = asyncio.get_running_loop()
        connection.reusable_at = loop.time() + REUSE_DELAY
        connection.idle_timer = loop.call_later(self.idle_timeout, self._close_idle, pool, connection)
        connection.on_lost = partial(self._remove_from_pool, pool, connection)
        pool.idle.append(connection)

    def _remove_from_pool(self, pool: ConnectionPool, connection: BackendConnection) -> None:
        pool.idle.remove(connection)
        self.open_connections -= 1
        connection.on_lost = None
        if connection.idle_timer:
            connection.idle_timer.cancel()

    def _close_idle(self, pool: ConnectionPool, connection: BackendConnection) -> None:
        """Close a pooled connection."""
        self._remove_from_pool(pool, connection)
        connection.abort()

    def _close_any_idle(self) -> bool:
        """Close one idle connection; return whether there was one."""
        for pool in self.pools.values():
            if pool.idle:
                self._close_idle(pool, pool.idle[0])
                return True
        return False

    def _count_call(self) -> None:
        self.metrics.backend_calls += 1


def _result_of(
    response: BackendResponse, connection: BackendConnection
) -> AttemptResult[bytes | StreamedBody]:
    outcome = decode_outcome(response.status, response.headers)
    if outcome is not AttemptOutcome.SERVED:
        return AttemptResult(outcome)
    elsewhere = decode_served_elsewhere(response.headers)
    utilization = decode_utilization(response.headers)
    body = connection.streamed_body or response.body
    return AttemptResult(outcome, body, elsewhere, utilization, is_incomplete=response.is_streamed)
