"""The messages of the platform's protocol as typed values: each is decoded once and encoded once."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import parse_qs

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser, RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from multidict import CIMultiDictProxy

from cleatyoke.config.deployment import Address, Config
from cleatyoke.scheduling.events import AttemptOutcome
from cleatyoke.scheduling.settings import Idempotency

MOST_WHOLE = 64 * 1024  # bytes of an answer's body that is read whole; a longer one passes on as it comes
MOST_ANSWER = 64 * 1024 * 1024  # bytes of the longest body of a box's answer: twice what boxes send
LONGEST_WAIT_MS = 600_000  # of a header's word; the class's own time in the settings bounds it further
MOST_ID = 128  # characters: the protocol page's have 16
MOST_KEY = 256  # bytes of an Idempotency-Key
MOST_HEAD = 16 * 1024  # bytes of the head of a box's answer
MOST_REPORT = 1024  # bytes of a load report in a body that are looked at
MOST_EARLY = 8  # 1xx answers in front of one
PLAIN = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?")
UTIL = re.compile(r"\b(?:util|cpu) *= *([0-9]{1,6}(?:\.[0-9]{1,9})?)\b(?!\.)")  # in a load report
VISIBLE = re.compile(r"[!-~]+")
FIELDS = ("X-Trace-Id", "X-Qos", "X-Plan", "X-Expires-In-Ms", "X-IO", "Content-Length")
KEY = "Idempotency-Key"


class MessageError(ValueError):
    """A message that cannot be taken; the text names the faulty field."""


class IdempotencyKeyError(MessageError):
    """A request whose ``Idempotency-Key`` is missing or cannot be passed on as it is."""


@dataclass(slots=True)
class ClientRequest:
    """A client's request."""

    trace_id: str
    method: str
    target: str  # path and query as they came
    class_index: int
    plan_index: int
    volume_id: int
    item: int
    shard: int
    units: float
    front_count: int
    max_wait: float  # seconds that the client waits, from the last byte of its request
    body: list[bytes]  # in pieces as they came, never joined: a long one would be in memory twice
    idempotency_key: str | None = None  # by which boxes drop a repeat


def whole(text: str | None, name: str, least: int, most: int, base: int = 10) -> int:
    """A number of a header; only digits, as int() alone would take signs, blanks and underscores."""
    digits = (text or "").removeprefix("-")
    if not digits.isascii() or not digits.isalnum():
        msg = f"{name}: want a number, found {text!r}"
        raise MessageError(msg)
    try:
        value = int(text or "", base)
    except ValueError as error:
        msg = f"{name}: want a number, found {text!r}"
        raise MessageError(msg) from error
    if not least <= value <= most:
        msg = f"{name}: {value} is not within {least} to {most}"
        raise MessageError(msg)
    return value


def hex16(text: str | None, name: str) -> int:
    if len(text or "") != 16:
        msg = f"{name}: want 16 hex digits, found {text!r}"
        raise MessageError(msg)
    return whole(text, name, 0, (1 << 64) - 1, 16)


def decode_request(
    config: Config, method: str, target: str, headers: CIMultiDictProxy[str], body: list[bytes]
) -> ClientRequest:
    """Strictly: of what could be read in two ways, a box may read another one."""
    target = origin_form(target)
    for name in FIELDS:
        if len(headers.getall(name, ())) > 1:
            msg = f"{name}: given twice"
            raise MessageError(msg)
    trace = headers.get("X-Trace-Id", "")
    if not VISIBLE.fullmatch(trace) or len(trace) > MOST_ID:
        msg = f"X-Trace-Id: want an id, found {trace!r}"
        raise MessageError(msg)
    if not VISIBLE.fullmatch(target):
        msg = "target: want visible ASCII characters"
        raise MessageError(msg)
    kind, plan = headers.get("X-Qos", ""), headers.get("X-Plan", "")
    if kind not in config.classes:
        msg = f"X-Qos: unknown class {kind!r}"
        raise MessageError(msg)
    if plan not in config.plans:
        msg = f"X-Plan: unknown plan {plan!r}"
        raise MessageError(msg)
    blocks = parse_qs(target.partition("?")[2]).get("block", [])
    pairs = [part.strip().partition("=")[::2] for part in headers.get("X-IO", "").split(",")]
    fields = dict(pairs)
    if len(blocks) != 1:
        msg = "block: want one"
        raise MessageError(msg)
    if len(fields) != len(pairs):
        msg = "X-IO: a field is given twice"
        raise MessageError(msg)
    if method == "GET" and body:
        msg = "Content-Length: a read has no body"
        raise MessageError(msg)
    index, largest = config.classes[kind], int(config.settings.max_request_units) or 1 << 20
    said = config.writes[index] if index < len(config.writes) else None
    if said not in (None, method == "PUT"):
        msg = f"X-Qos: {kind!r} does not go with {method}"
        raise MessageError(msg)
    wait = whole(headers.get("X-Expires-In-Ms"), "X-Expires-In-Ms", 0, LONGEST_WAIT_MS) / 1000
    return ClientRequest(
        trace_id=trace,
        method=method,
        target=target,
        class_index=index,
        plan_index=config.plans[plan],
        volume_id=hex16(fields.get("volume"), "X-IO volume"),
        item=hex16(blocks[0], "block"),
        shard=whole(fields.get("shard"), "X-IO shard", -1, (config.shards or 1 << 31) - 1),
        units=float(whole(fields.get("units"), "X-IO units", 1, largest)),
        front_count=whole(fields.get("hosts"), "X-IO hosts", 1, 1 << 20),
        max_wait=min(wait, config.give_up[index]),  # a longer word would hold a box's slot for as long
        body=body,
        idempotency_key=read_key(headers, config.settings.classes[index].idempotency),
    )


def read_key(headers: CIMultiDictProxy[str], repeat: Idempotency) -> str | None:
    """The ``Idempotency-Key``, which a keyed class carries and which passes on unchanged (protocol page,
    Clients to fronts). Without it, or with one that a box may read in another way, a repeat would run twice:
    a ``BadKey``. Other classes may carry one too.
    """
    keys = headers.getall(KEY, [])
    if not keys and repeat is not Idempotency.KEYED:
        return None
    if len(keys) != 1:
        msg = f"{KEY}: want one, found {len(keys)}"
        raise IdempotencyKeyError(msg)
    if not VISIBLE.fullmatch(keys[0]) or len(keys[0]) > MOST_KEY:
        msg = f"{KEY}: want up to {MOST_KEY} visible ASCII characters"
        raise IdempotencyKeyError(msg)
    return keys[0]


def origin_form(target: str) -> str:
    """A target without scheme and authority, which a client may send and a server has to take (RFC 9112,
    3.2.2); the authority names this front, whatever it says.
    """
    if target[:7].lower() != "http://":
        return target
    _, slash, rest = target[7:].partition("/")
    return slash + rest


def encode_attempt(ask: ClientRequest, box: Address, wait: float) -> list[bytes]:
    """An attempt as it is written, piece by piece; method, target, id, key and body pass on as they are."""
    host = f"[{box.host}]" if ":" in box.host else box.host
    size = sum(map(len, ask.body))
    length = f"Content-Length: {size}\r\n" if size or ask.method != "GET" else ""
    key = f"{KEY}: {ask.idempotency_key}\r\n" if ask.idempotency_key is not None else ""
    head = (
        f"{ask.method} {ask.target} HTTP/1.1\r\nHost: {host}:{box.port}\r\nX-Trace-Id: {ask.trace_id}\r\n"
        f"{key}X-Expires-In-Ms: {max(0, int(wait * 1000))}\r\n{length}\r\n"
    ).encode("ascii")
    return [head + b"".join(ask.body)] if size <= MOST_WHOLE else [head, *ask.body]


class MalformedAnswerError(Exception):
    """What came is no answer, or not the whole of one. Its request may have run."""


@dataclass(slots=True)
class BackendAnswer:
    """A box's answer: the whole of it, or of a long one the head and what came with it."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    connection_reusable: bool  # the connection may carry the next request: all that came belonged to this one
    length: int | None = None  # of the body; None: in chunks, of a length that only its end tells
    is_streamed: bool = False  # more of the body is to come, by ``AnswerReader.more``


class AnswerReader:
    """Reads one answer. Each head is cut out and given to aiohttp's parser by itself, so that neither 1xx
    answers in front nor bytes behind can be taken for the answer, or spoil one that is whole.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.buffer, self.early = bytearray(), 0
        self.message: RawResponseMessage | None = None
        self.length: int | None = None  # of the body; None: in chunks
        self.chunks: StreamReader | None = None
        self.chunk_bytes = 0
        self.until_close = False  # the end of the connection is the end of the body
        self.left = 0  # bytes of a long body of a known length that are still to come
        self.is_complete = self.is_last_byte = False  # the body is whole; and nothing came behind it

    def feed(self, data: bytes) -> BackendAnswer | None:
        """Take in bytes; returns the answer once it is whole."""
        self.buffer += data
        while self.message is None:
            if not self.buffer.startswith(b"HTTP/1."[: len(self.buffer)]):
                msg = "no answer"
                raise MalformedAnswerError(msg)
            end = self.buffer.find(b"\r\n\r\n", 0, MOST_HEAD) + 4
            if end < 4:
                if len(self.buffer) >= MOST_HEAD:
                    msg = "its head does not end"
                    raise MalformedAnswerError(msg)
                return None
            head = bytes(self.buffer[:end])
            del self.buffer[:end]
            self.read_head(head)
        if self.until_close:
            return self.begin_long() if len(self.buffer) > MOST_WHOLE else None
        if self.length is None:
            return self.read_chunks()
        if self.length > MOST_WHOLE:
            self.left = self.length
            return self.begin_long()
        if len(self.buffer) < self.length:
            return None
        return self.whole(bytes(self.buffer[: self.length]), len(self.buffer) == self.length)

    def begin_long(self) -> BackendAnswer:
        assert self.message
        data = bytes(self.buffer)
        self.buffer.clear()
        if self.message.code != 200:  # its head says all
            return BackendAnswer(self.message.code, self.message.headers, b"", False)
        return BackendAnswer(
            self.message.code, self.message.headers, self.feed_body(data), False, self.length, True
        )

    def feed_body(self, data: bytes) -> bytes:
        """The next bytes of a long body; ``ended`` tells when it is whole, ``clean`` that nothing follows."""
        if self.until_close:
            self.chunk_bytes += len(data)
            if self.chunk_bytes > MOST_ANSWER:
                msg = "too large"
                raise MalformedAnswerError(msg)
            return data
        if self.length is None:
            self.parse_chunks(data)
            assert self.chunks is not None
            self.is_complete = self.chunks.is_eof()
            return self.chunks.read_nowait()
        part = data[: self.left]
        self.left -= len(part)
        self.is_complete, self.is_last_byte = not self.left, len(data) == len(part)
        return part

    def feed_eof(self) -> BackendAnswer | None:
        """The connection has ended in order: the whole of an answer that ends with it, if it is one."""
        if not self.until_close or self.message is None:
            return None
        return self.whole(bytes(self.buffer), False)

    def is_connection_reusable(self) -> bool:
        return self.is_last_byte and self.message is not None and not self.message.should_close

    def read_head(self, head: bytes) -> None:
        parser = HttpResponseParser(
            BaseProtocol(self.loop, parser=None),
            self.loop,
            4 * MOST_WHOLE,
            auto_decompress=False,
            max_line_size=MOST_HEAD,
            max_field_size=MOST_HEAD,
        )
        try:
            messages, upgraded, _ = parser.feed_data(head)
        except (HttpProcessingError, ValueError) as error:
            msg = "its head cannot be read"
            raise MalformedAnswerError(msg) from error
        if len(messages) != 1 or upgraded:
            msg = "its head is none of this protocol"
            raise MalformedAnswerError(msg)
        message, payload = messages[0]
        if 100 <= message.code < 200:
            self.early += 1
            if self.early > MOST_EARLY:
                msg = "too many answers in front"
                raise MalformedAnswerError(msg)
            return
        length = message.headers.get("Content-Length")
        if message.chunked:
            self.parser, self.chunks = parser, payload
        elif length is None and message.code != 200:
            self.length = 0  # its head says all; without a length the connection is not used again
        elif length is None and "close" in message.headers.get("Connection", "").lower():
            self.until_close = True  # RFC 9112, 6.3: without a length it ends with its connection
        elif length is None or not length.isdecimal() or int(length) > MOST_ANSWER:
            msg = "its length is missing or too large"
            raise MalformedAnswerError(msg)
        else:
            self.length = int(length)
        self.message = message

    def read_chunks(self) -> BackendAnswer | None:
        assert self.chunks is not None
        data = bytes(self.buffer)
        self.buffer.clear()
        self.parse_chunks(data)
        if self.chunks.is_eof():
            return self.whole(self.chunks.read_nowait(), self.is_last_byte)
        return self.begin_long() if self.chunks.total_bytes > MOST_WHOLE else None

    def parse_chunks(self, data: bytes) -> None:
        assert self.chunks is not None
        self.chunk_bytes += len(data)
        self.is_last_byte = True
        try:
            messages, _, _ = self.parser.feed_data(data)
            self.is_last_byte = not messages
        except (HttpProcessingError, ValueError) as error:
            self.is_last_byte = False  # spoilt, or noise behind the whole answer
            if not self.chunks.is_eof() or self.chunks.exception():
                msg = "its chunks cannot be read"
                raise MalformedAnswerError(msg) from error
        if self.chunk_bytes > 2 * MOST_ANSWER or self.chunks.total_bytes > MOST_ANSWER:
            msg = "too large"
            raise MalformedAnswerError(msg)

    def whole(self, body: bytes, clean: bool) -> BackendAnswer:
        assert self.message
        self.is_complete, self.is_last_byte = True, clean
        return BackendAnswer(self.message.code, self.message.headers, body, self.is_connection_reusable(), len(body))


def decode_outcome(status: int, headers: Mapping[str, str]) -> AttemptOutcome:
    """What an answer's head says of its attempt; only an express word proves that it never ran."""
    if status == 200:
        return AttemptOutcome.SERVED
    if status in (503, 504) and headers.get("X-Never-Ran") == "1":
        return AttemptOutcome.QUEUE_FULL
    return AttemptOutcome.ERROR


def decode_served_elsewhere(headers: Mapping[str, str]) -> float:
    """The units that the shard served the volume through other fronts. A good answer may bring an odd figure:
    that counts as none, and never spoils the answer.
    """
    text = headers.get("X-Served-Elsewhere", "0")
    return float(text) if PLAIN.fullmatch(text) else 0.0


def decode_utilization(headers: Mapping[str, str]) -> float | None:
    """The part of its power that a box reports in use, by all fronts; None where no report can be read."""
    return decode_report(headers.get("Endpoint-Load-Metrics", ""))


def decode_report(text: str) -> float | None:
    found = UTIL.search(text)
    return min(1.0, float(found[1])) if found else None


def encode_load_probe(box: Address) -> bytes:
    """A probe that brings the load report (protocol page, Fronts to chunk servers)."""
    host = f"[{box.host}]" if ":" in box.host else box.host
    return f"GET /metrics/load HTTP/1.1\r\nHost: {host}:{box.port}\r\n\r\n".encode("ascii")


def decode_load_probe(answer: BackendAnswer) -> float | None:
    """The part of its power that a probed box reports in use; None where no report can be read."""
    return decode_report(answer.body[:MOST_REPORT].decode("latin-1")) if answer.status == 200 else None
