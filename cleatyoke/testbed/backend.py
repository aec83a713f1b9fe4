"""Test backend on loopback that serves the platform's backend protocol from a ``BackendModel``."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from collections.abc import Callable

from cleatyoke.testbed.backend_model import BackendModel, RequestOutcome
from cleatyoke.testbed.checker import AttemptRecord, RequestContent, RuleChecker
from cleatyoke.testbed.peer import Peer, TimedReader

REJECTED_RESPONSE = b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
PROBE_TARGETS = ("/alive", "/metrics/load")
NOT_FOUND_RESPONSE = b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"
MALFORMED_RESPONSE = b"HTTP/1.1 200 X\r\nContent-Length: 9\r\nX-Half"
ZERO_LINGER = struct.pack("ii", 1, 0)  # makes a close send a TCP reset


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    writer.transport.abort()


class BackendDouble(Peer):
    """A backend with one id and one address for all its incarnations.

    While it is silent, it accepts connections but reads nothing, like a machine that is cut off from the
    network. Bytes sent to it in that time never arrive: the connections are reset when the silence ends
    (protocol page, The network).
    """

    def __init__(
        self, name: str, shard: int, zone: str, checker: RuleChecker, clock: Callable[[], float]
    ) -> None:
        super().__init__()
        self.name, self.shard, self.zone = name, shard, zone
        self.checker, self.clock = checker, clock
        self.model: BackendModel
        self._receiving = asyncio.Event()  # cleared while the backend is silent or stalled
        self._receiving.set()
        self.outcomes: Counter[str] = Counter()
        self.executions: dict[str, int] = {}

    async def start_incarnation(self, model: BackendModel) -> None:
        """Start listening as a new incarnation, which the model describes."""
        self.model = model
        await self.start()

    def end(self, writer: asyncio.StreamWriter) -> None:
        """Reset a connection, as when the process dies, which then refuses new ones."""
        reset(writer)

    def set_silent(self, on: bool) -> None:
        """Begin or end a silence. Its end resets the connections that were open during it."""
        if on:
            self._receiving.clear()
        else:
            self._receiving.set()
            for writer in list(self.writers):
                reset(writer)

    async def stall(self, duration: float) -> None:
        """Stop processing for ``duration`` seconds; requests that arrive meanwhile are executed later."""
        self._receiving.clear()
        await asyncio.sleep(duration)
        self._receiving.set()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection until it ends."""
        assert isinstance(reader, TimedReader)
        while True:
            await self._receiving.wait()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            request_line, *lines = head.split("\r\n")
            fields = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            arrived_at = reader.came
            await self._receiving.wait()
            if writer.transport.is_closing():  # reset by the end of a silence: the request never arrived
                return
            method, target, _ = request_line.split(" ")
            if target in PROBE_TARGETS:
                self._answer_probe(target, writer)
                continue
            content = RequestContent(method, target, fields.get("idempotency-key"), body)
            if not await self._execute(fields.get("x-trace-id", ""), content, arrived_at, reader, writer):
                return

    def _answer_probe(self, target: str, writer: asyncio.StreamWriter) -> None:
        terms = self.checker.terms
        self.checker.on_probe(self.name)
        body = (
            self._load_report().encode() if target == "/metrics/load" and terms.load_report != "none" else b""
        )
        status = b"200" if terms.probes else b"404"
        writer.write(b"HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))

    def _load_report(self) -> str:
        queue_length = self.model.queue_length(self.clock())
        utilization = self.model.utilization(self.clock())
        return f"TEXT queue={queue_length}, util={utilization:.2f}"

    async def _execute(
        self,
        trace: str,
        content: RequestContent,
        arrived_at: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Execute a request that has arrived in full; return whether the connection stays open."""
        now, model = self.clock(), self.model
        if trace not in self.checker.requests:
            writer.write(NOT_FOUND_RESPONSE)
            return True
        units = self.checker.requests[trace].units
        attempt = self.checker.on_attempt(trace, self.name, arrived_at, self.shard, self.zone, content)
        if model.started_at is not None and now - model.started_at < model.capacity.ramp_duration:
            capacity = model.capacity
            self.checker.on_warm_up_arrival(
                self.name,
                arrived_at,
                units,
                capacity.overload_factor * model.rate(now) * capacity.overload_window,
            )
        ticket = model.accept(now, trace, units)
        self.outcomes[ticket.outcome.value] += 1
        try:
            if ticket.outcome is RequestOutcome.FULL:
                attempt.rejected = True
                writer.write(REJECTED_RESPONSE)
                return True
            if ticket.outcome is RequestOutcome.UNREAD:
                reset(writer)
                return False
            disconnect = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({disconnect}, timeout=max(0.0, ticket.ends_at - now))
            # The front gave up or exited. A backend that is cut off does not learn of it and executes.
            if disconnect.done():
                attempt.executed = not self._receiving.is_set() or not model.withdraw(self.clock(), ticket)
                self._count_execution(trace, attempt)
                return False
            disconnect.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await disconnect
            attempt.executed = True
            self._count_execution(trace, attempt)
            await self._receiving.wait()
            return await self._answer(ticket.outcome, trace, reader, writer)
        finally:
            attempt.ended_at = self.clock()

    def _count_execution(self, trace: str, attempt: AttemptRecord) -> None:
        if attempt.executed:
            self.executions[trace] = self.executions.get(trace, 0) + 1

    async def _answer(
        self, outcome: RequestOutcome, trace: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        body = f"{trace} {self.name} {self.executions[trace]}".encode()
        load = (
            f"Endpoint-Load-Metrics: {self._load_report()}\r\n"
            if self.checker.terms.load_report == "answers"
            else ""
        )
        if outcome is RequestOutcome.RESET:
            reset(writer)
            return False
        if outcome is RequestOutcome.LOST:
            await reader.read(1)  # until the front closes the connection
            return False
        if outcome is RequestOutcome.MALFORMED:
            writer.write(MALFORMED_RESPONSE)
            return False
        head = f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n{load}\r\n"
        writer.write(head.encode() + body)
        return True
