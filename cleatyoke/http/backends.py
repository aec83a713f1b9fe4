"""Attempts at backends over HTTP: a pool of connections for each backend, and what each ending proves."""

from __future__ import annotations

import asyncio
from collections import deque
from functools import partial

from cleatyoke.config.addresses import Address
from cleatyoke.core import AttemptResult, MayBegin
from cleatyoke.discovery.directory import Directory
from cleatyoke.http.answers import (
    BackendAnswer,
    decode_load_probe,
    decode_outcome,
    decode_served_elsewhere,
    decode_utilization,
)
from cleatyoke.http.backend_connection import BackendConnection, StreamedBody
from cleatyoke.http.messages import MalformedAnswerError
from cleatyoke.http.requests import ClientRequest, encode_attempt, encode_load_probe
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.events import AttemptOutcome

IDLE_FRACTION = 0.5  # of the backends' idle timeout (settings), after which a pooled connection is closed
REUSE_DELAY = (
    0.02  # seconds for which a connection is not used after an answer: a second answer that a faulty
)
# backend sends some milliseconds later must be noticed before the next request goes out


class ConnectionPool:
    """The idle connections to one incarnation of one backend, the longest idle first."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.is_retired = False  # the backend drains, went or restarted: no connection is used again
        self.idle: deque[BackendConnection] = deque()


class BackendPools:
    """Attempts at the backends of the directory.

    ``connect_timeout``: seconds for a new connection; ``idle_close``: seconds after which backends close an
    idle one; ``max_connections``: bound of those to all backends, new ones that come up included.

    Prevents requests that are lost to a connection the backend is just closing: a pooled connection is closed
    here first, at ``IDLE_FRACTION`` of the backends' idle timeout.
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
        self.idle_timeout = idle_close * IDLE_FRACTION
        self.pools: dict[int, ConnectionPool] = {}
        self.open_connections = 0
        directory.listeners.append(self.retire_pool)

    async def attempt(
        self, node: int, request: ClientRequest, not_after: float, may_begin: MayBegin
    ) -> AttemptResult[bytes | StreamedBody]:
        """Send the request to the backend, once.

        ``not_after``: when the attempt is given up, by the loop's clock, which the backend is told.
        ``may_begin`` is asked directly before the first byte, as is whether the backend still serves: a
        connection may take long to come up, and a request that is not sent has proven no effect. Any other
        ending that is not proven harmless may have run. A long answer counts as served with its first bytes;
        whoever gets its ``StreamedBody`` closes it.
        """
        if not self.directory.is_serving(node):
            return AttemptResult(AttemptOutcome.NOT_SENT)
        pool = self._pool(node)
        connection: BackendConnection | None = None
        answer: BackendAnswer | None = None
        is_unused = False
        self.open_connections += 1
        try:
            connection = self.take_idle(pool) or await self.connect(pool)
            max_wait = not_after - asyncio.get_running_loop().time()
            if pool.is_retired or not self.directory.is_serving(node) or not may_begin():
                is_unused = True
                return AttemptResult(AttemptOutcome.NOT_SENT)
            pieces = encode_attempt(request, pool.address, max_wait)
            try:
                answer = await connection.exchange(pieces, self._count_call)
            except MalformedAnswerError:
                if connection.is_sending():
                    return AttemptResult(AttemptOutcome.CONNECTION_FAILED)
                return AttemptResult(AttemptOutcome.CONNECTION_RESET)
            return _result_of(answer, connection)
        except (OSError, TimeoutError):
            return AttemptResult(AttemptOutcome.CONNECTION_FAILED)
        finally:
            if connection and connection.streamed_body and answer and answer.status == 200:
                connection.streamed_body.on_close = partial(self._settle, pool, connection)
            else:
                reusable = is_unused or (answer is not None and answer.connection_reusable)
                self._settle(pool, connection, reusable)

    async def probe_load(self, node: int, timeout: float) -> float | None:  # noqa: ASYNC109  not to be raised
        """Ask a backend for its load report, within so many seconds.

        Returns the utilization, a fraction of its capacity, or None where no report came or all connections
        are taken: those left are for requests.
        """
        if not self.directory.is_serving(node) or self.open_connections >= self.max_connections:
            return None
        pool = self._pool(node)
        connection: BackendConnection | None = None
        answer: BackendAnswer | None = None
        self.open_connections += 1
        try:
            async with asyncio.timeout(timeout):
                connection = self.take_idle(pool) or await self.connect(pool)
                answer = await connection.exchange([encode_load_probe(pool.address)], lambda: None)
            return decode_load_probe(answer)
        except (OSError, TimeoutError, MalformedAnswerError):
            return None
        finally:
            if connection and connection.streamed_body:  # far more than a report
                connection.streamed_body.close()
            self._settle(pool, connection, answer is not None and answer.connection_reusable)

    def take_idle(self, pool: ConnectionPool) -> BackendConnection | None:
        """Take a connection out of the pool, if one may be used.

        One on which bytes have come that no request awaits, read by the loop or not yet, is closed: they
        would become the next request's answer.
        """
        now = asyncio.get_running_loop().time()
        while pool.idle and pool.idle[0].reusable_at <= now:
            connection = pool.idle[0]
            self._take_out(pool, connection)
            if connection.is_usable():
                return connection
            connection.abort()
        return None

    async def connect(self, pool: ConnectionPool) -> BackendConnection:
        """Open a connection; where the bound is passed, an idle one is closed to make room.

        As many are allowed as clients can have requests, so at the bound at least one is idle.
        """
        if self.open_connections > self.max_connections:
            self._drop_any_idle()
        async with asyncio.timeout(self.connect_timeout):
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(
                BackendConnection, pool.address.host, pool.address.port
            )
        return connection

    def retire_pool(self, node: int) -> None:
        """Use no connection to the backend again, as it drains, went or restarted."""
        if pool := self.pools.pop(node, None):
            pool.is_retired = True
            while pool.idle:
                self._drop(pool, pool.idle[0])

    def close(self) -> None:
        """Close all idle connections; those in use are closed after their answers."""
        for node in list(self.pools):
            self.retire_pool(node)

    def _pool(self, node: int) -> ConnectionPool:
        if node not in self.pools:
            self.pools[node] = ConnectionPool(self.directory.instances[node].address)
        return self.pools[node]

    def _settle(
        self, pool: ConnectionPool, connection: BackendConnection | None, connection_reusable: bool
    ) -> None:
        """Give back a connection, or the place of one that did not come up."""
        if connection and connection_reusable and connection.transport and not pool.is_retired:
            self._give_back(pool, connection)
            return
        self.open_connections -= 1
        if connection:
            connection.abort()

    def _give_back(self, pool: ConnectionPool, connection: BackendConnection) -> None:
        loop = asyncio.get_running_loop()
        connection.reusable_at = loop.time() + REUSE_DELAY
        connection.idle_timer = loop.call_later(self.idle_timeout, self._drop, pool, connection)
        connection.on_lost = partial(self._take_out, pool, connection)
        pool.idle.append(connection)

    def _take_out(self, pool: ConnectionPool, connection: BackendConnection) -> None:
        pool.idle.remove(connection)
        self.open_connections -= 1
        connection.on_lost = None
        if connection.idle_timer:
            connection.idle_timer.cancel()

    def _drop(self, pool: ConnectionPool, connection: BackendConnection) -> None:
        """Close a connection that has been idle for long, or is in the way."""
        self._take_out(pool, connection)
        connection.abort()

    def _drop_any_idle(self) -> None:
        for pool in self.pools.values():
            if pool.idle:
                self._drop(pool, pool.idle[0])
                return

    def _count_call(self) -> None:
        self.metrics.backend_calls += 1


def _result_of(answer: BackendAnswer, connection: BackendConnection) -> AttemptResult[bytes | StreamedBody]:
    outcome = decode_outcome(answer.status, answer.headers)
    if outcome is not AttemptOutcome.SERVED:
        return AttemptResult(outcome)
    elsewhere = decode_served_elsewhere(answer.headers)
    utilization = decode_utilization(answer.headers)
    return AttemptResult(outcome, connection.streamed_body or answer.body, elsewhere, utilization)
