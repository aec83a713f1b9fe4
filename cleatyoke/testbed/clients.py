"""Clients of the platform's protocol, which keep connections alive and open more when all are busy."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

from cleatyoke.emulation.value import LogicalRequest
from cleatyoke.scheduling.settings import Idempotency
from cleatyoke.testbed.checker import ClientRequestRecord, RequestContent, RuleChecker
from cleatyoke.testbed.scenario import Scenario
from cleatyoke.testbed.workload import GeneratedRequest, requests

RECENT_OBJECTS = 16  # created last, which reads may go to
ANY_SHARD = -1  # in X-IO: a new object, which any backend may take
CROSSING_S = 0.1  # after a request is sent, in which the close of its connection can have crossed it
LATE_ANSWER_S = 0.6  # past its deadline, for which a client waits to see a late answer

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class FrontAddress:
    """What clients know of one front: its address, idle connections, and whether it accepts new ones."""

    def __init__(self, front: int, port: int) -> None:
        self.front = front
        self.port = port
        self.idle_connections: list[Connection] = []
        self.is_open = False
        self.is_crowded = False  # new connections may be closed unread

    async def connect(self) -> Connection | None:
        """Return an idle connection or a new one; None where the front accepts none."""
        while self.idle_connections:
            reader, writer = self.idle_connections.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer
            writer.transport.abort()
        if not self.is_open:
            return None
        return await asyncio.open_connection("127.0.0.1", self.port)

    def drop_connections(self) -> None:
        """Abort all idle connections."""
        for _, writer in self.idle_connections:
            writer.transport.abort()
        self.idle_connections.clear()


class ClientDoubles:
    """All clients of a scenario's load."""

    def __init__(
        self,
        scenario: Scenario,
        checker: RuleChecker,
        addresses: list[FrontAddress],
        clock: Callable[[], float],
    ) -> None:
        self.scenario = scenario
        self.checker = checker
        self.addresses = addresses
        self.clock = clock
        self.shards_by_backend: dict[str, int] = {}
        # Blocks created last, and the shard that has each.
        self.written: deque[tuple[str, int]] = deque(maxlen=RECENT_OBJECTS)
        self.tasks: set[asyncio.Task[None]] = set()
        self.templates: list[LogicalRequest] = []  # what came of each request, over its attempts

    async def run(self) -> None:
        """Send all requests at their times and return once each has its outcome."""
        began = self.clock()
        for drawn in requests(self.scenario):
            await asyncio.sleep(max(0.0, began + drawn.at - self.clock()))
            task = asyncio.create_task(self._send_with_retries(drawn))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)

    async def _send_with_retries(self, drawn: GeneratedRequest) -> None:
        """Send a request, and again where it was rejected or its front was not running."""
        load = self.scenario.load
        first_sent_at = self.clock()
        served_at: float | None = None
        for number in range(1 + load.retries):
            record = await self.send_once(drawn, drawn.trace_of(number), is_retry=number > 0)
            served_at = record.answered_at if record.status == 200 else None
            if record.status not in (None, 429, 503) or (record.status is None and not record.excused):
                break
            if number < load.retries:
                await asyncio.sleep(max(record.retry_after, load.retry_delay))
        template = LogicalRequest(first_sent_at, drawn.volume, drawn.request_class, drawn.units, served_at)
        self.templates.append(template)

    async def send_once(
        self, drawn: GeneratedRequest, trace: str, *, is_retry: bool, address: FrontAddress | None = None
    ) -> ClientRequestRecord:
        """Send one attempt of a client; once more where its connection was closed as it was sent.

        ``address``: of a client with connections of its own; None: those that all share.
        """
        request_class = drawn.request_class
        address = address or self.addresses[drawn.front]
        block, shard = self._choose_object(drawn)
        content = RequestContent(
            "PUT" if request_class.write else "GET",
            f"/api?block={block}",
            f"key-{trace}" if request_class.idempotency is Idempotency.KEYED else None,
            b"scan" if request_class.write else b"",
        )
        message = self._message(drawn, trace, content, shard, is_retry=is_retry)
        now = self.clock()
        record = ClientRequestRecord(
            address.front,
            drawn.volume,
            request_class,
            drawn.units,
            now,
            now + request_class.deadline,
            content,
        )
        for _ in range(2):
            try:
                connection = await address.connect()
            except OSError:
                connection = None
            if connection is None:
                record.excused = True
                self.checker.on_request(trace, record)
                return record
            self.checker.on_request(trace, record)
            if await self._exchange(trace, message, connection, address, record):
                if shard == ANY_SHARD and record.status == 200 and record.attempts:
                    self.written.append((block, self.shards_by_backend[record.attempts[-1].backend]))
                return record
        record.excused = record.excused or address.is_crowded
        return record

    def example_message(self, drawn: GeneratedRequest) -> bytes:
        """Return the bytes of a read like the drawn request, which nobody means to complete."""
        content = RequestContent("GET", f"/api?block={drawn.block}", None, b"")
        return self._message(
            drawn, drawn.trace, content, drawn.volume % self.scenario.backends, is_retry=False
        )

    def _choose_object(self, drawn: GeneratedRequest) -> tuple[str, int]:
        """Return the block and the shard: the volume's own, a new object's, or one created just before."""
        load = self.scenario.load
        if drawn.request_class.write:
            if drawn.object_draw < load.new_object_share:
                return drawn.block, ANY_SHARD
        elif drawn.object_draw < load.reread_share and self.written:
            return self.written[int(drawn.object_draw / load.reread_share * len(self.written))]
        return drawn.block, drawn.volume % self.scenario.backends

    def _message(
        self, drawn: GeneratedRequest, trace: str, content: RequestContent, shard: int, *, is_retry: bool
    ) -> bytes:
        """Return the bytes of a request (protocol page, Clients to fronts)."""
        key = content.idempotency_key
        key_line = f"Idempotency-Key: {key}\r\n" if key else ""
        retry_line = "X-Second-Try: 1\r\n" if is_retry else ""
        volume = drawn.volume
        hosts = self.scenario.load.fronts_per_volume
        head = (
            f"{content.method} {content.target} HTTP/1.1\r\n"
            f"Host: front\r\nX-Trace-Id: {trace}\r\nX-Qos: {drawn.request_class.name}\r\n{key_line}"
            f"{retry_line}X-Plan: {self.scenario.plan_of(volume).name}\r\n"
            f"X-Expires-In-Ms: {int(drawn.request_class.deadline * 1000)}\r\n"
            f"Content-Length: {len(content.body)}\r\n"
            f"X-IO: volume={volume:016x},units={drawn.units},shard={shard},hosts={hosts}\r\n"
            "\r\n"
        )
        return head.encode() + content.body

    async def _exchange(
        self,
        trace: str,
        message: bytes,
        connection: Connection,
        address: FrontAddress,
        record: ClientRequestRecord,
    ) -> bool:
        """Send a request and read its answer; False where it should be sent once more.

        That is where the connection ended without a byte, so that its close may have crossed the request.
        """
        reader, writer = connection
        head, sent = b"", self.clock()
        try:
            writer.write(message)
            async with asyncio.timeout_at(record.deadline + LATE_ANSWER_S):
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").lower().split("\r\n")
                length = next((int(one[15:]) for one in lines if one.startswith("content-length:")), 0)
                body = await reader.readexactly(length)
        except (OSError, EOFError, TimeoutError) as error:
            writer.transport.abort()
            ended = isinstance(error, OSError) or (
                isinstance(error, asyncio.IncompleteReadError) and not error.partial and not head
            )
            crossed = ended and not record.attempts and self.clock() - sent < CROSSING_S
            return not crossed or record.excused
        advice = (float(one[13:]) for one in lines if one.startswith("retry-after: "))
        record.retry_after = next(advice, 0.0)
        self.checker.on_answer(trace, int(lines[0].split()[1]), body, self.clock())
        if "connection: close" in lines:
            with contextlib.suppress(OSError):
                writer.close()
        else:
            address.idle_connections.append(connection)
        return True
