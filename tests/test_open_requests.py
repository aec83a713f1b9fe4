"""Request heads as raw bytes, and the limits of the requests that are open at once."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from cleatyoke.http.client_connections import ClientConnections
from cleatyoke.http.open_requests import MIN_WAITING, OpenRequests, OpenResult
from cleatyoke.http.request_head import BodyKind, HeadState, RequestHead
from tests.http_case import FrontCase, request_bytes
from tests.scripted_peers import answer

GET = b"GET /api HTTP/1.1\r\nHost: h\r\nX-Qos: tile-read\r\n\r\n"
LIMITS = {BodyKind.NONE: 4, BodyKind.SHORT: 2, BodyKind.LONG: 1}


def feed_all(*parts: bytes) -> tuple[HeadState, RequestHead]:
    head = RequestHead()
    state = HeadState.INCOMPLETE
    for part in parts:
        state = head.feed(part)
        if state is not HeadState.INCOMPLETE:
            break
    return state, head


@given(st.lists(st.integers(0, len(GET)), max_size=9))
def test_head_in_any_parts_is_complete_with_its_last_byte(cuts: list[int]) -> None:
    bounds = [0, *sorted(cuts), len(GET)]
    parts = [GET[start:end] for start, end in zip(bounds, bounds[1:])]
    state, head = feed_all(*parts, b"")
    assert state is HeadState.COMPLETE
    assert (head.class_name(), head.body_kind(), head.take(), len(head)) == (
        "tile-read",
        BodyKind.NONE,
        GET,
        0,
    )
    assert feed_all(GET[:-1])[0] is HeadState.INCOMPLETE


def test_head_that_cannot_become_readable_is_told_before_it_ends() -> None:
    for data, state in (
        (b"\x16\x03\x01", HeadState.UNREADABLE),
        (b"GET /api\r\n", HeadState.UNREADABLE),
        (b"GET /api HTTP/1.1\r\nnocolon\r\n", HeadState.UNREADABLE),
        (b"GET /api HTTP/1.1\r\nX: " + bytes(9), HeadState.UNREADABLE),
        (b"GET /api HTTP/1.1\r\nX: " + b"x" * 5000, HeadState.UNREADABLE),
        (b"GET /api HTTP/1.1\r\n" + b"a:\r\n" * 65, HeadState.TOO_LONG),
        (
            b"GET /api HTTP/1.1\r\n" + b"a:" + b"x" * 998 + b"\r\n" + (b"a:" + b"x" * 998 + b"\r\n") * 16,
            HeadState.TOO_LONG,
        ),
        (b"\r\n\r\nGET /api HTTP/1.1\r\na:\r\n", HeadState.INCOMPLETE),
        (b"PUT", HeadState.INCOMPLETE),
    ):
        assert feed_all(data)[0] is state, data[:40]


def test_body_of_a_head() -> None:
    for fields, kind in (
        (b"Content-Length: 0", BodyKind.NONE),
        (b"content-length: 65536", BodyKind.SHORT),
        (b"Content-Length: 65537", BodyKind.LONG),
        (b"Content-Length: 1\r\nContent-Length: 65537", BodyKind.LONG),
        (b"Content-Length: x", BodyKind.LONG),
        (b"Transfer-Encoding: chunked", BodyKind.LONG),
    ):
        head = b"PUT /api HTTP/1.1\r\n" + fields + b"\r\n\r\n"
        assert feed_all(head)[1].body_kind() is kind, fields


def test_slow_bodies_leave_room_for_other_requests() -> None:
    requests: OpenRequests[str] = OpenRequests(LIMITS)
    assert requests.open("long", BodyKind.LONG) is OpenResult.OPEN
    assert requests.open("long-2", BodyKind.LONG) is OpenResult.WAITING
    assert requests.open("read", BodyKind.NONE) is OpenResult.OPEN
    requests.end("read")
    assert requests.open_next() is None
    requests.end("long")
    assert requests.open_next() == "long-2"
    assert (len(requests), requests.waiting_count) == (1, 0)


@given(st.lists(st.tuples(st.integers(0, 14), st.sampled_from([*BodyKind, None]))))
def test_no_more_requests_are_open_than_allowed(steps: list[tuple[int, BodyKind | None]]) -> None:
    requests: OpenRequests[int] = OpenRequests(LIMITS)
    kinds: dict[int, BodyKind] = {}
    opened: set[int] = set()
    for connection, kind in steps:
        if kind is not None and connection not in kinds:
            result = requests.open(connection, kind)
            if result is not OpenResult.REJECTED:
                kinds[connection] = kind
            if result is OpenResult.OPEN:
                opened.add(connection)
        else:
            requests.end(connection)
            kinds.pop(connection, None)
            opened.discard(connection)
        while (following := requests.open_next()) is not None:
            opened.add(following)
        counts = {kind: sum(kinds[one] is kind for one in opened) for kind in BodyKind}
        assert len(requests) == len(opened) <= LIMITS[BodyKind.NONE]
        assert all(counts[kind] <= LIMITS[kind] for kind in BodyKind)
        assert requests.waiting_count == len(kinds) - len(opened) <= MIN_WAITING


class WaitingRequestTests(FrontCase):
    async def start_with_one_open_request(self) -> None:
        self.release = asyncio.Event()

        async def script(trace: str) -> bytes:
            if trace == "first":
                await self.release.wait()
            return answer()

        await self.start_front(script)
        memory = replace(self.front.config.memory, open_requests=1)
        connections = ClientConnections(self.core.loop, memory)
        connections.on_rejected = self.front.connections.on_rejected
        self.front.connections = connections
        self.first = await self.connect(request_bytes("first"))
        await self.wait_until(lambda: self.backend.counts["first"] == 1)

    async def test_request_waits_until_another_ends(self) -> None:
        await self.start_with_one_open_request()
        second = await self.connect(request_bytes("second"))
        await asyncio.sleep(0.1)
        assert self.backend.counts["second"] == 0
        self.release.set()
        for reader, writer in (self.first, second):
            async with asyncio.timeout(2):
                assert (await reader.readline()).split()[1] == b"200"
            writer.close()
        fields = dict(line.split(": ") for line in self.backend.heads[-1].split("\r\n")[1:] if line)
        assert int(fields["X-Expires-In-Ms"]) <= 1500 - 100  # the wait is part of the client's time

    async def test_request_that_cannot_be_opened_is_rejected_in_time(self) -> None:
        await self.start_with_one_open_request()
        reader, writer = await self.connect(request_bytes("second"))
        async with asyncio.timeout(0.5):
            assert (await reader.readline()).split()[1] == b"503"
            assert (await reader.read()).endswith(b"\r\n\r\n")
        writer.close()
        self.first[1].close()
        assert self.backends.metrics.answers["busy"]["tile-read"] == 1
        assert self.backend.counts["second"] == 0

    async def test_waiting_request_of_a_client_that_left_is_not_sent(self) -> None:
        await self.start_with_one_open_request()
        _, writer = await self.connect(request_bytes("second"))
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        self.release.set()
        self.first[1].close()
        await asyncio.sleep(0.1)
        assert self.backend.counts["second"] == 0
