"""Clients of the platform's protocol. They reuse idle connections, and open another when all are busy."""

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

MAX_RECENT_OBJECTS = 16  # latest objects created, which reads may address
ANY_SHARD = -1  # in X-IO: a new object, which any backend may store
# Seconds after a request is sent in which the front may have closed the connection without reading it.
CLOSE_RACE_S = 0.1
LATE_ANSWER_WAIT_S = 0.6  # for which a client waits past its deadline, so that a late answer is seen

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class FrontAddress:
    """Clients' view of one front: its address, its idle connections and whether it accepts new ones."""

    def __init__(self, front: int, port: int) -> None:
        self.front = front
        self.port = port
        self.idle_connections: list[Connection] = []
        self.is_open = False
        self.is_saturated = False  # at its connection limit: new ones may be closed unread

    async def connect(self) -> Connection | None:
        """Return an idle connection or a new one; None if the front accepts none."""
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
        # The latest blocks created, each with the shard that stores it.
        self.recent_objects: deque[tuple[str, int]] = deque(maxlen=MAX_RECENT_OBJECTS)
        self.tasks: set[asyncio.Task[None]] = set()
        self.templates: list[LogicalRequest] = []  # each request with its final outcome, after all retries

    async def run(self) -> None:
        """Send all requests at their times; return when each has its final outcome."""
        load_started_at = self.clock()
        for generated in requests(self.scenario):
            await asyncio.sleep(max(0.0, load_started_at + generated.at - self.clock()))
            task = asyncio.create_task(self._send_with_retries(generated))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)

    async def _send_with_retries(self, generated: GeneratedRequest) -> None:
        """Send a request; retry it if it was rejected or its front was not running."""
        load = self.scenario.load
        first_sent_at = self.clock()
        served_at: float | None = None
        for number in range(1 + load.retries):
            record = await self.send_once(generated, generated.trace_of(number), is_retry=number > 0)
            served_at = record.answered_at if record.status == 200 else None
            if record.status not in (None, 429, 503) or (record.status is None and not record.excused):
                break
            if number < load.retries:
                await asyncio.sleep(max(record.retry_after, load.retry_delay))
        template = LogicalRequest(
            first_sent_at, generated.volume, generated.request_class, generated.units, served_at
        )
        self.templates.append(template)

    async def send_once(
        self, generated: GeneratedRequest, trace: str, *, is_retry: bool, address: FrontAddress | None = None
    ) -> ClientRequestRecord:
        """Send one attempt of a client; resend it once if its connection was closed while it was sent.

        ``address`` is that of a client with its own connections; None: use the shared connections.
        """
        request_class = generated.request_class
        address = address or self.addresses[generated.front]
        block, shard = self._choose_object(generated)
        content = RequestContent(
            "PUT" if request_class.write else "GET",
            f"/api?block={block}",
            f"key-{trace}" if request_class.idempotency is Idempotency.KEYED else None,
            b"scan" if request_class.write else b"",
        )
        message = self._message(generated, trace, content, shard, is_retry=is_retry)
        now = self.clock()
        record = ClientRequestRecord(
            address.front,
            generated.volume,
            request_class,
            generated.units,
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
                    self.recent_objects.append((block, self.shards_by_backend[record.attempts[-1].backend]))
                return record
        record.excused = record.excused or address.is_saturated
        return record

    def example_message(self, generated: GeneratedRequest) -> bytes:
        """Return the bytes of a read like the generated request, for a client that sends only a part."""
        content = RequestContent("GET", f"/api?block={generated.block}", None, b"")
        return self._message(
            generated, generated.trace, content, generated.volume % self.scenario.backends, is_retry=False
        )

    def _choose_object(self, generated: GeneratedRequest) -> tuple[str, int]:
        """Return block and shard: the volume's own object, a new one, or one created recently."""
        load = self.scenario.load
        if generated.request_class.write:
            if generated.object_draw < load.new_object_share:
                return generated.block, ANY_SHARD
        elif generated.object_draw < load.reread_share and self.recent_objects:
            return self.recent_objects[
                int(generated.object_draw / load.reread_share * len(self.recent_objects))
            ]
        return generated.block, generated.volume % self.scenario.backends

    def _message(
        self, generated: GeneratedRequest, trace: str, content: RequestContent, shard: int, *, is_retry: bool
    ) -> bytes:
        """Return the bytes of a request (protocol page, Clients to fronts)."""
        key = content.idempotency_key
        key_line = f"Idempotency-Key: {key}\r\n" if key else ""
        retry_line = "X-Second-Try: 1\r\n" if is_retry else ""
        volume = generated.volume
        hosts = self.scenario.load.fronts_per_volume
        head = (
            f"{content.method} {content.target} HTTP/1.1\r\n"
            f"Host: front\r\nX-Trace-Id: {trace}\r\nX-Qos: {generated.request_class.name}\r\n{key_line}"
            f"{retry_line}X-Plan: {self.scenario.plan_of(volume).name}\r\n"
            f"X-Expires-In-Ms: {int(generated.request_class.deadline * 1000)}\r\n"
            f"Content-Length: {len(content.body)}\r\n"
            f"X-IO: volume={volume:016x},units={generated.units},shard={shard},hosts={hosts}\r\n"
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
        """Send a request and read its answer; False if it should be sent once more.

        That is so if the connection ended without a byte of an answer, as the front may have closed it
        before it read the request.
        """
        reader, writer = connection
        head, sent = b"", self.clock()
        try:
            writer.write(message)
            async with asyncio.timeout_at(record.deadline + LATE_ANSWER_WAIT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").lower().split("\r\n")
                length = next((int(one[15:]) for one in lines if one.startswith("content-length:")), 0)
                body = await reader.readexactly(length)
        except (OSError, EOFError, TimeoutError) as error:
            writer.transport.abort()
            connection_ended = isinstance(error, OSError) or (
                isinstance(error, asyncio.IncompleteReadError) and not error.partial and not head
            )
            lost_close_race = connection_ended and not record.attempts and self.clock() - sent < CLOSE_RACE_S
            return not lost_close_race or record.excused
        retry_after_values = (float(one[13:]) for one in lines if one.startswith("retry-after: "))
        record.retry_after = next(retry_after_values, 0.0)
        self.checker.on_answer(trace, int(lines[0].split()[1]), body, self.clock())
        if "connection: close" in lines:
            with contextlib.suppress(OSError):
                writer.close()
        else:
            address.idle_connections.append(connection)
        return True
