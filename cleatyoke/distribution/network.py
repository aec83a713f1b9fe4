"""Transport of polls and replies over TCP: one connection for each poll, with one message in each direction.

Polls and replies are created and checked by the state machines in ``subscriber`` and ``relay``. Imported only
if the distribution is enabled. A front only opens connections; ``PollListener`` is used by the processes on
control machines.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from typing import Protocol

import structlog

from cleatyoke.config.addresses import Address, read_address
from cleatyoke.distribution.records import MAX_MESSAGE_BYTES
from cleatyoke.distribution.subscriber_messages import (
    PollAnswered,
    RelayChanged,
    SendPoll,
    SubscriberAction,
)
from cleatyoke.process.faults import Faults
from cleatyoke.transport.framing import read_message, write_message
from cleatyoke.transport.sockets import abort_stream

RETRY_INTERVAL = 1.0  # seconds until the next step after an unexpected exception here
MAX_CONNECTIONS = 512  # open at the same time; further ones are closed unread
EXCHANGE_TIMEOUT = 1.0  # seconds for a complete exchange
CHANGES_PER_LOG_LINE = 20  # of the relay; only the first of as many is logged
log = structlog.get_logger()


class PollingClient(Protocol):
    """A subscriber, or a relay around one."""

    def step(self, now: float, events: Iterable[PollAnswered] = ()) -> Iterable[SubscriberAction]:
        """Process events and timers that are due at ``now``."""

    def due(self) -> float:
        """Return when the next step is due."""


class RelayPoller:
    """Runs a polling client: a timer, and a connection for each poll.

    ``handle_action`` is called with the client's actions other than polls and relay changes.
    """

    def __init__(
        self, client: PollingClient, handle_action: Callable[[SubscriberAction], None], faults: Faults
    ) -> None:
        self.client = client
        self.handle_action = handle_action
        self.faults = faults
        self.loop = asyncio.get_running_loop()
        self.relay_changes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._exchanges: set[asyncio.Task[None]] = set()
        self._is_stopped = False

    def step(self, *events: PollAnswered) -> None:
        """Step the client, and set the timer for its next step."""
        if self._is_stopped:
            return
        delay = RETRY_INTERVAL
        try:
            for action in self.client.step(self.loop.time(), events):
                self._handle(action)
            delay = max(0.0, self.client.due() - self.loop.time())
        except Exception as error:  # noqa: BLE001 (logged; the timer must be set after any failure)
            self.faults.report("distribution_fault", error)
        if self._timer:
            self._timer.cancel()
        self._timer = self.loop.call_later(delay, self.step)

    def stop(self) -> None:
        """Cancel all exchanges and the timer."""
        self._is_stopped = True
        if self._timer:
            self._timer.cancel()
        for task in self._exchanges:
            task.cancel()

    def _handle(self, action: SubscriberAction) -> None:
        match action:
            case SendPoll():
                task = asyncio.create_task(self._exchange(action))
                self._exchanges.add(task)
                task.add_done_callback(self._exchanges.discard)
            case RelayChanged(relay, reason):
                if self.relay_changes % CHANGES_PER_LOG_LINE == 0:
                    log.info(
                        "config_relay_changed", relay=relay, reason=reason, changes=self.relay_changes + 1
                    )
                self.relay_changes += 1
            case _:
                self.handle_action(action)

    async def _exchange(self, poll: SendPoll) -> None:
        """Send a poll and read its answer; any failure counts as no answer."""
        data, writer = None, None
        try:
            address = read_address(poll.relay, "relay")
            async with asyncio.timeout(EXCHANGE_TIMEOUT):
                reader, writer = await asyncio.open_connection(address.host, address.port)
                await write_message(writer, poll.data)
                data = await read_message(reader, MAX_MESSAGE_BYTES)
        except (OSError, EOFError, ValueError, TimeoutError):
            data = None
        finally:
            if writer:
                abort_stream(writer)
        self.step(PollAnswered(poll.poll_id, data))


class PollServer(Protocol):
    """A source or a relay."""

    def answer(self, now: float, data: bytes) -> bytes | None:
        """Return the reply to a message, or None."""


class PollListener:
    """Listens for polls on a control machine and answers them."""

    def __init__(self, poll_server: PollServer) -> None:
        self.poll_server = poll_server
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None
        self.open_connections = 0

    async def start(self, listen: Address) -> Address:
        """Listen, and return the bound address. Raises ``OSError``."""
        self.server = await asyncio.start_server(
            self._handle_connection, listen.host, listen.port, backlog=512
        )
        return Address(*self.server.sockets[0].getsockname()[:2])

    def stop(self) -> None:
        """Close the listener."""
        if self.server:
            self.server.close()

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        try:
            if self.open_connections <= MAX_CONNECTIONS:
                with contextlib.suppress(OSError, EOFError, ValueError, TimeoutError):
                    await self._answer(reader, writer)
        finally:
            self.open_connections -= 1
            abort_stream(writer)

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async with asyncio.timeout(EXCHANGE_TIMEOUT):
            data = await read_message(reader, MAX_MESSAGE_BYTES)
            if reply := self.poll_server.answer(self.loop.time(), data):
                await write_message(writer, reply)
                writer.close()
                await writer.wait_closed()
