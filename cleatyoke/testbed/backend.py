"""A stand-in box on loopback: the platform's box protocol around a ``BoxModel``."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from collections.abc import Callable

from cleatyoke.testbed.backend_model import BackendModel, RequestFate
from cleatyoke.testbed.checker import AttemptRecord, RequestContent, RuleChecker
from cleatyoke.testbed.peer import Peer, TimedReader

FULL = b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
PROBES = ("/alive", "/metrics/load")
OTHER = b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"
SPOILT = b"HTTP/1.1 200 X\r\nContent-Length: 9\r\nX-Half"
LINGER = struct.pack("ii", 1, 0)  # a close with it is a reset


def reset(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    writer.transport.abort()


class TestBackend(Peer):
    """A box under one id, at one address for all its lives. While it is silent, connections come up and
    nothing is read, as where the machine is cut off: what was written to it meanwhile has not come, and never
    does, as those connections are reset once it is back (protocol page, The network).
    """

    def __init__(
        self, name: str, cell: int, zone: str, judge: RuleChecker, clock: Callable[[], float]
    ) -> None:
        super().__init__()
        self.name, self.cell, self.zone = name, cell, zone
        self.checker, self.clock = judge, clock
        self.model: BackendModel
        self.heard = asyncio.Event()  # cleared while the box is silent
        self.heard.set()
        self.fates: Counter[str] = Counter()
        self.executions: dict[str, int] = {}

    async def live(self, model: BackendModel) -> None:
        """A life of it."""
        self.model = model
        await self.start()

    def end(self, writer: asyncio.StreamWriter) -> None:
        """As when its process dies: connections are reset, and new ones are refused."""
        reset(writer)

    def silence(self, on: bool) -> None:
        if on:
            self.heard.clear()
        else:  # what stood through it is reset once the machine is back
            self.heard.set()
            for writer in list(self.writers):
                reset(writer)

    async def stall(self, lasts: float) -> None:
        """Stand still: what comes meanwhile has come, and is worked on afterwards."""
        self.heard.clear()
        await asyncio.sleep(lasts)
        self.heard.set()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert isinstance(reader, TimedReader)
        while True:
            await self.heard.wait()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head.split("\r\n")
            fields = {name.lower(): value for name, _, value in (one.partition(": ") for one in lines)}
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            came = reader.came
            await self.heard.wait()
            if writer.transport.is_closing():  # it stood through a silence, and what it brought never came
                return
            method, target, _ = first.split(" ")
            if target in PROBES:
                self.probed(target, writer)
                continue
            form = RequestContent(method, target, fields.get("idempotency-key"), body)
            if not await self.work(fields.get("x-trace-id", ""), form, came, reader, writer):
                return

    def probed(self, target: str, writer: asyncio.StreamWriter) -> None:
        terms = self.checker.terms
        self.checker.on_probe(self.name)
        body = self.report().encode() if target == "/metrics/load" and terms.report != "none" else b""
        status = b"200" if terms.probes else b"404"
        writer.write(b"HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))

    def report(self) -> str:
        return f"TEXT queue={self.model.queued(self.clock())}, util={self.model.busy(self.clock()):.2f}"

    async def work(
        self,
        trace: str,
        form: RequestContent,
        came: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """One request whose last byte has come; whether the connection goes on."""
        now, model = self.clock(), self.model
        if trace not in self.checker.requests:
            writer.write(OTHER)
            return True
        units = self.checker.requests[trace].units
        made = self.checker.on_attempt(trace, self.name, came, self.cell, self.zone, form)
        if model.born is not None and now - model.born < model.power.ramp:
            power = model.power
            self.checker.on_warm_up_arrival(
                self.name, came, units, power.tip_multiple * model.rate(now) * power.tip_after
            )
        ticket = model.take(now, trace, units)
        self.fates[ticket.fate.value] += 1
        try:
            if ticket.fate is RequestFate.FULL:
                made.rejected = True
                writer.write(FULL)
                return True
            if ticket.fate is RequestFate.UNREAD:
                reset(writer)
                return False
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({gone}, timeout=max(0.0, ticket.ends - now))
            if gone.done():  # its front gave up, or left, which a machine that is cut off never hears
                made.executed = not self.heard.is_set() or not model.withdraw(self.clock(), ticket)
                self.count(trace, made)
                return False
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await gone
            made.executed = True
            self.count(trace, made)
            await self.heard.wait()
            return await self.reply(ticket.fate, trace, reader, writer)
        finally:
            made.ended_at = self.clock()

    def count(self, trace: str, made: AttemptRecord) -> None:
        if made.executed:
            self.executions[trace] = self.executions.get(trace, 0) + 1

    async def reply(
        self, fate: RequestFate, trace: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        body = f"{trace} {self.name} {self.executions[trace]}".encode()
        load = f"Endpoint-Load-Metrics: {self.report()}\r\n" if self.checker.terms.report == "answers" else ""
        if fate is RequestFate.RESET:
            reset(writer)
            return False
        if fate is RequestFate.LOST:
            await reader.read(1)  # until the front gives up
            return False
        if fate is RequestFate.SPOILT:
            writer.write(SPOILT)
            return False
        head = f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n{load}\r\n"
        writer.write(head.encode() + body)
        return True
