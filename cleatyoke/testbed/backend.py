"""A test backend on loopback: the platform's backend protocol around a ``BackendModel``."""

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

FULL = b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
PROBES = ("/alive", "/metrics/load")
OTHER = b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"
SPOILT = b"HTTP/1.1 200 X\r\nContent-Length: 9\r\nX-Half"
LINGER = struct.pack("ii", 1, 0)  # a close with it is a reset


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    writer.transport.abort()


class BackendDouble(Peer):
    """A backend under one id, at one address for all its incarnations.

    While it is silent, connections are established and nothing is read, as where the machine is cut off from
    the network: what is written to it meanwhile never arrives, as those connections are reset once it is
    back (protocol page, The network).
    """

    def __init__(
        self, name: str, cell: int, zone: str, judge: RuleChecker, clock: Callable[[], float]
    ) -> None:
        super().__init__()
        self.name, self.shard, self.zone = name, cell, zone
        self.checker, self.clock = judge, clock
        self.model: BackendModel
        self._receiving = asyncio.Event()  # cleared while the box is silent
        self._receiving.set()
        self.outcomes: Counter[str] = Counter()
        self.executions: dict[str, int] = {}

    async def start_incarnation(self, model: BackendModel) -> None:
        """Start listening, with a new model."""
        self.model = model
        await self.start()

    def end(self, writer: asyncio.StreamWriter) -> None:
        """Reset a connection, as when the process dies; new ones are refused."""
        reset(writer)

    def set_silent(self, on: bool) -> None:
        """Begin or end a silence; its end resets the connections that were open meanwhile."""
        if on:
            self._receiving.clear()
        else:  # what stood through it is reset once the machine is back
            self._receiving.set()
            for writer in list(self.writers):
                reset(writer)

    async def stall(self, lasts: float) -> None:
        """Stop working for so many seconds; what arrives meanwhile is executed afterwards."""
        self._receiving.clear()
        await asyncio.sleep(lasts)
        self._receiving.set()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of a connection until it ends."""
        assert isinstance(reader, TimedReader)
        while True:
            await self._receiving.wait()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head.split("\r\n")
            fields = {name.lower(): value for name, _, value in (one.partition(": ") for one in lines)}
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            came = reader.came
            await self._receiving.wait()
            if writer.transport.is_closing():  # it stood through a silence, and what it brought never came
                return
            method, target, _ = first.split(" ")
            if target in PROBES:
                self._answer_probe(target, writer)
                continue
            form = RequestContent(method, target, fields.get("idempotency-key"), body)
            if not await self._execute(fields.get("x-trace-id", ""), form, came, reader, writer):
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
        form: RequestContent,
        came: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Execute a request whose last byte has arrived; return whether the connection stays open."""
        now, model = self.clock(), self.model
        if trace not in self.checker.requests:
            writer.write(OTHER)
            return True
        units = self.checker.requests[trace].units
        made = self.checker.on_attempt(trace, self.name, came, self.shard, self.zone, form)
        if model.started_at is not None and now - model.started_at < model.capacity.ramp_duration:
            power = model.capacity
            self.checker.on_warm_up_arrival(
                self.name, came, units, power.overload_factor * model.rate(now) * power.overload_window
            )
        ticket = model.accept(now, trace, units)
        self.outcomes[ticket.outcome.value] += 1
        try:
            if ticket.outcome is RequestOutcome.FULL:
                made.rejected = True
                writer.write(FULL)
                return True
            if ticket.outcome is RequestOutcome.UNREAD:
                reset(writer)
                return False
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({gone}, timeout=max(0.0, ticket.ends_at - now))
            if gone.done():  # its front gave up, or left, which a machine that is cut off never hears
                made.executed = not self._receiving.is_set() or not model.withdraw(self.clock(), ticket)
                self._count_execution(trace, made)
                return False
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await gone
            made.executed = True
            self._count_execution(trace, made)
            await self._receiving.wait()
            return await self._answer(ticket.outcome, trace, reader, writer)
        finally:
            made.ended_at = self.clock()

    def _count_execution(self, trace: str, made: AttemptRecord) -> None:
        if made.executed:
            self.executions[trace] = self.executions.get(trace, 0) + 1

    async def _answer(
        self, fate: RequestOutcome, trace: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        body = f"{trace} {self.name} {self.executions[trace]}".encode()
        load = (
            f"Endpoint-Load-Metrics: {self._load_report()}\r\n"
            if self.checker.terms.load_report == "answers"
            else ""
        )
        if fate is RequestOutcome.RESET:
            reset(writer)
            return False
        if fate is RequestOutcome.LOST:
            await reader.read(1)  # until the front gives up
            return False
        if fate is RequestOutcome.SPOILT:
            writer.write(SPOILT)
            return False
        head = f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n{load}\r\n"
        writer.write(head.encode() + body)
        return True
