"""Clients of the platform's protocol: they keep connections and open more when all are busy."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

from cleatyoke.emulation.value import RequestTemplate
from cleatyoke.scheduling.settings import Idempotency
from cleatyoke.testbed.checker import ClientRequestRecord, RequestContent, RuleChecker
from cleatyoke.testbed.scenario import Scenario
from cleatyoke.testbed.workload import GeneratedRequest, requests

RECENT = 16  # objects written just before, which reads go to
CROSSED = 0.1  # seconds after a request in which the end of its connection can have crossed it
SPARE = 0.6  # seconds past its deadline that a client stays, to see an answer that is late


class FrontAddress:
    """What clients know of one front: its address, the connections kept, and whether new ones come to it."""

    def __init__(self, front: int, port: int) -> None:
        self.front, self.port = front, port
        self.idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.is_open = False

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        while self.idle_connections:
            reader, writer = self.idle_connections.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer
            writer.transport.abort()
        if not self.is_open:
            return None
        return await asyncio.open_connection("127.0.0.1", self.port)

    def drop_connections(self) -> None:
        for _, writer in self.idle_connections:
            writer.transport.abort()
        self.idle_connections.clear()


class TestClients:
    """All clients of a scenario's load."""

    def __init__(
        self, scenario: Scenario, judge: RuleChecker, doors: list[FrontAddress], clock: Callable[[], float]
    ) -> None:
        self.scenario, self.checker, self.addresses, self.clock = scenario, judge, doors, clock
        self.shards_by_backend: dict[str, int] = {}  # box: the shard that it holds
        self.written: deque[tuple[str, int]] = deque(maxlen=RECENT)  # block, and the shard that took it
        self.tasks: set[asyncio.Task[None]] = set()
        self.templates: list[RequestTemplate] = []  # what came of each request, over its tries

    async def run(self) -> None:
        began = self.clock()
        for drawn in requests(self.scenario):
            await asyncio.sleep(max(0.0, began + drawn.at - self.clock()))
            task = asyncio.create_task(self._send_with_retries(drawn))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)

    async def _send_with_retries(self, drawn: GeneratedRequest) -> None:
        """A request, with the tries that its client makes."""
        load, first, served = self.scenario.load, self.clock(), None
        for number in range(1 + load.retries):
            asked = await self._send_once(drawn, drawn.trace_of(number), number > 0)
            served = asked.answered_at if asked.status == 200 else None
            if asked.status not in (None, 429, 503) or (asked.status is None and not asked.excused):
                break
            if number < load.retries:
                await asyncio.sleep(max(asked.retry_after, load.retry_delay))
        self.templates.append(RequestTemplate(first, drawn.volume, drawn.request_class, drawn.units, served))

    async def _send_once(self, drawn: GeneratedRequest, trace: str, again: bool) -> ClientRequestRecord:
        """One try, from its connection to the one answer."""
        block, volume, kind, units = drawn.block, drawn.volume, drawn.request_class, drawn.units
        load, shard, door, moves = (
            self.scenario.load,
            volume % self.scenario.backends,
            self.addresses[drawn.front],
            drawn.object_draw,
        )
        if kind.write and moves < load.new_object_share:
            shard = -1
        elif not kind.write and moves < load.reread_share and self.written:
            block, shard = self.written[int(moves / load.reread_share * len(self.written))]
        form = RequestContent(
            "PUT" if kind.write else "GET",
            f"/api?block={block}",
            f"key-{trace}" if kind.idempotency is Idempotency.KEYED else None,
            b"scan" if kind.write else b"",
        )
        key = f"Idempotency-Key: {form.idempotency_key}\r\n" if form.idempotency_key else ""
        mark = "X-Second-Try: 1\r\n" if again else ""
        message = (
            f"{form.method} {form.target} HTTP/1.1\r\n"
            f"Host: front\r\nX-Trace-Id: {trace}\r\nX-Qos: {kind.name}\r\n{key}"
            f"{mark}X-Plan: {self.scenario.plan_of(volume).name}\r\n"
            f"X-Expires-In-Ms: {int(kind.deadline * 1000)}\r\n"
            f"Content-Length: {len(form.body)}\r\n"
            f"X-IO: volume={volume:016x},units={units},shard={shard},hosts={load.fronts_per_volume}\r\n"
            "\r\n"
        ).encode() + form.body
        now = self.clock()
        asked = ClientRequestRecord(door.front, volume, kind, units, now, now + kind.deadline, form)
        for _ in range(2):
            try:
                connection = await door.connect()
            except OSError:
                connection = None
            if connection is None:
                asked.excused = True
                self.checker.on_request(trace, asked)
                return asked
            self.checker.on_request(trace, asked)
            if await self._exchange(trace, message, connection, door, asked):
                if shard == -1 and asked.status == 200 and asked.attempts:
                    self.written.append((block, self.shards_by_backend[asked.attempts[-1].backend]))
                return asked
        return asked

    async def _exchange(
        self,
        trace: str,
        message: bytes,
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        door: FrontAddress,
        asked: ClientRequestRecord,
    ) -> bool:
        """Whether that was all. A connection that ends without a byte may have crossed the request."""
        reader, writer = connection
        head, sent = b"", self.clock()
        try:
            writer.write(message)
            async with asyncio.timeout_at(asked.deadline + SPARE):
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").lower().split("\r\n")
                length = next((int(one[15:]) for one in lines if one.startswith("content-length:")), 0)
                body = await reader.readexactly(length)
        except (OSError, EOFError, TimeoutError) as error:
            writer.transport.abort()
            ended = isinstance(error, OSError) or (
                isinstance(error, asyncio.IncompleteReadError) and not error.partial and not head
            )
            crossed = ended and not asked.attempts and self.clock() - sent < CROSSED
            return not crossed or asked.excused
        advice = (float(one[13:]) for one in lines if one.startswith("retry-after: "))
        asked.retry_after = next(advice, 0.0)
        self.checker.on_answer(trace, int(lines[0].split()[1]), body, self.clock())
        if "connection: close" in lines:
            with contextlib.suppress(OSError):
                writer.close()
        else:
            door.idle_connections.append(connection)
        return True
