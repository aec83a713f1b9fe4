"""Parses backend responses and decodes the outcome of the attempt from their headers."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser, RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError

from cleatyoke.http.messages import Header, MalformedResponseError
from cleatyoke.http.response_wait import ResponseState
from cleatyoke.limits.memory_budget import MAX_UNSTREAMED_BYTES
from cleatyoke.scheduling.events import AttemptOutcome

MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # longest response body: twice what backends send
MAX_HEAD_BYTES = 16 * 1024  # longest status line and headers of a response
MAX_REPORT_BYTES = 1024  # prefix of a probe's body that is searched for the load report
MAX_INFORMATIONAL_RESPONSES = 8  # 1xx responses before the final one
DECIMAL_NUMBER = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?")
UTILIZATION = re.compile(r"\b(?:util|cpu) *= *([0-9]{1,6}(?:\.[0-9]{1,9})?)\b(?!\.)")  # in a load report


@dataclass(slots=True)
class BackendResponse:
    """A complete response, or the head and the first part of the body of a streamed one."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    connection_reusable: bool  # no bytes followed this response, so the connection may carry another request
    length: int | None = None  # bytes of the body; None if unknown until its end
    is_streamed: bool = False  # the rest of the body is read with ``ResponseReader.feed_body``


class _Framing(Enum):
    """How a body is delimited (RFC 9112, section 6.3)."""

    LENGTH = auto()
    CHUNKED = auto()
    UNTIL_CLOSE = auto()


class ResponseReader:
    """Incremental parser of one response.

    Each head is split off and passed to aiohttp's parser on its own, so that neither preceding 1xx responses
    nor trailing bytes can be mistaken for the response or make a complete one fail. All methods raise
    ``MalformedResponseError``.
    """

    def __init__(self) -> None:
        self.is_complete = False  # the end of the body has been received
        self._loop = asyncio.get_running_loop()
        self._buffer = bytearray()
        self._informational_count = 0
        self._message: RawResponseMessage | None = None
        self._framing = _Framing.LENGTH
        self._length: int | None = None  # of the body, if its framing gives it
        self._bytes_left = 0  # remaining bytes of a streamed body of known length
        self._parser: HttpResponseParser | None = None  # of a chunked body
        self._chunks: StreamReader | None = None  # decoded chunk data
        self._body_bytes = 0  # received bytes of a body without a length, chunk headers included
        self._is_clean = False  # no bytes followed the response

    @property
    def is_head_complete(self) -> bool:
        """Whether the head has been received."""
        return self._message is not None

    @property
    def state(self) -> ResponseState:
        """How much of the response has been received."""
        if self._message is None:
            return ResponseState.HEAD_INCOMPLETE
        if self._message.code != 200:
            return ResponseState.ERROR
        return ResponseState.LENGTH_UNKNOWN if self._length is None else ResponseState.LENGTH_KNOWN

    def body_bytes(self) -> int:
        """Return how many bytes of a body without a length have been received before it is streamed."""
        return self._chunks.total_bytes if self._chunks else len(self._buffer)

    def max_buffered_bytes(self) -> int:
        """Return how many bytes of the body are buffered at most before it is complete or streamed."""
        return MAX_UNSTREAMED_BYTES if self._length is None else min(self._length, MAX_UNSTREAMED_BYTES)

    def feed(self, data: bytes) -> BackendResponse | None:
        """Feed bytes; return the response once it is complete or has to be streamed."""
        self._buffer += data
        while self._message is None:
            head = self._extract_head()
            if head is None:
                return None
            self._read_head(head)
        if self._framing is _Framing.UNTIL_CLOSE:
            return self.begin_streaming() if len(self._buffer) > MAX_UNSTREAMED_BYTES else None
        if self._framing is _Framing.CHUNKED:
            return self._read_chunked()
        assert self._length is not None
        if self._length > MAX_UNSTREAMED_BYTES:
            return self.begin_streaming()
        if len(self._buffer) < self._length:
            return None
        return self._complete(bytes(self._buffer[: self._length]), is_clean=len(self._buffer) == self._length)

    def feed_body(self, data: bytes) -> bytes:
        """Feed bytes of a streamed response and return its body bytes; sets ``is_complete`` at the end."""
        if self._framing is _Framing.UNTIL_CLOSE:
            self._body_bytes += len(data)
            if self._body_bytes > MAX_RESPONSE_BYTES:
                msg = "too large"
                raise MalformedResponseError(msg)
            return data
        if self._framing is _Framing.CHUNKED:
            self._parse_chunks(data)
            assert self._chunks is not None
            self.is_complete = self._chunks.is_eof()
            return self._chunks.read_nowait()
        part = data[: self._bytes_left]
        self._bytes_left -= len(part)
        self.is_complete = not self._bytes_left
        self._is_clean = len(data) == len(part)
        return part

    def feed_eof(self) -> BackendResponse | None:
        """Handle an orderly end of the connection; return the response if it is delimited by it."""
        if self._framing is not _Framing.UNTIL_CLOSE or self._message is None:
            return None
        return self._complete(bytes(self._buffer), is_clean=False)

    def is_connection_reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return self._is_clean and self._message is not None and not self._message.should_close

    def _extract_head(self) -> bytes | None:
        if not self._buffer.startswith(b"HTTP/1."[: len(self._buffer)]):
            msg = "no answer"
            raise MalformedResponseError(msg)
        end = self._buffer.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES) + 4
        if end < 4:
            if len(self._buffer) >= MAX_HEAD_BYTES:
                msg = "its head does not end"
                raise MalformedResponseError(msg)
            return None
        head = bytes(self._buffer[:end])
        del self._buffer[:end]
        return head

    def _read_head(self, head: bytes) -> None:
        parser = HttpResponseParser(
            BaseProtocol(self._loop, parser=None),
            self._loop,
            4 * MAX_UNSTREAMED_BYTES,
            auto_decompress=False,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )
        try:
            messages, upgraded, _ = parser.feed_data(head)
        except (HttpProcessingError, ValueError) as error:
            msg = "malformed response head"
            raise MalformedResponseError(msg) from error
        if len(messages) != 1 or upgraded:
            msg = "response head is not a single HTTP message, or switches protocols"
            raise MalformedResponseError(msg)
        message, payload = messages[0]
        if 100 <= message.code < 200:
            self._informational_count += 1
            if self._informational_count > MAX_INFORMATIONAL_RESPONSES:
                msg = "too many informational (1xx) responses"
                raise MalformedResponseError(msg)
            return
        if message.chunked:
            self._framing = _Framing.CHUNKED
            self._parser = parser
            self._chunks = payload
        else:
            self._read_framing(message)
        self._message = message

    def _read_framing(self, message: RawResponseMessage) -> None:
        """Determine how a body without chunked encoding is delimited (RFC 9112, section 6.3)."""
        length = message.headers.get("Content-Length")
        if length is None and message.code != 200:
            self._length = 0  # the head is sufficient; without a length the connection is not reused
        elif length is None and "close" in message.headers.get("Connection", "").lower():
            self._framing = _Framing.UNTIL_CLOSE
        elif length is None or not length.isdecimal() or int(length) > MAX_RESPONSE_BYTES:
            msg = "its length is missing or too large"
            raise MalformedResponseError(msg)
        else:
            self._length = int(length)

    def _read_chunked(self) -> BackendResponse | None:
        assert self._chunks is not None
        data = bytes(self._buffer)
        self._buffer.clear()
        self._parse_chunks(data)
        if self._chunks.is_eof():
            return self._complete(self._chunks.read_nowait(), is_clean=self._is_clean)
        return self.begin_streaming() if self._chunks.total_bytes > MAX_UNSTREAMED_BYTES else None

    def _parse_chunks(self, data: bytes) -> None:
        assert self._chunks is not None
        assert self._parser is not None
        self._body_bytes += len(data)
        self._is_clean = True
        try:
            messages, _, _ = self._parser.feed_data(data)
            self._is_clean = not messages
        except (HttpProcessingError, ValueError) as error:
            self._is_clean = False  # malformed, or garbage after a complete response
            if not self._chunks.is_eof() or self._chunks.exception():
                msg = "its chunks cannot be read"
                raise MalformedResponseError(msg) from error
        if self._body_bytes > 2 * MAX_RESPONSE_BYTES or self._chunks.total_bytes > MAX_RESPONSE_BYTES:
            msg = "too large"
            raise MalformedResponseError(msg)

    def begin_streaming(self) -> BackendResponse:
        """Return the response with the part of its body that has been received; the rest is streamed."""
        assert self._message
        self._bytes_left = self._length or 0
        data = bytes(self._buffer)
        self._buffer.clear()
        status, headers = self._message.code, self._message.headers
        if status != 200:  # the head is sufficient
            return BackendResponse(status, headers, b"", connection_reusable=False)
        body = self.feed_body(data)
        return BackendResponse(
            status, headers, body, connection_reusable=False, length=self._length, is_streamed=True
        )

    def _complete(self, body: bytes, *, is_clean: bool) -> BackendResponse:
        assert self._message
        self.is_complete = True
        self._is_clean = is_clean
        return BackendResponse(
            self._message.code, self._message.headers, body, self.is_connection_reusable(), len(body)
        )


def decode_outcome(status: int, headers: Mapping[str, str]) -> AttemptOutcome:
    """Return the outcome of an attempt; only ``X-Never-Ran`` proves that a failed one had no effect."""
    if status == 200:
        return AttemptOutcome.SERVED
    if status in (503, 504) and headers.get(Header.NEVER_RAN) == "1":
        return AttemptOutcome.QUEUE_FULL
    return AttemptOutcome.ERROR


def decode_served_elsewhere(headers: Mapping[str, str]) -> float:
    """Return the units that the shard served for the volume through other fronts.

    A malformed number counts as zero, so that it does not fail a successful response.
    """
    text = headers.get(Header.SERVED_ELSEWHERE, "0")
    return float(text) if DECIMAL_NUMBER.fullmatch(text) else 0.0


def decode_utilization(headers: Mapping[str, str]) -> float | None:
    """Return the utilization by all fronts, a fraction of the backend's capacity, or None if unreported."""
    return _decode_load_report(headers.get(Header.LOAD_REPORT, ""))


def decode_load_probe(response: BackendResponse) -> float | None:
    """Return the utilization of a probed backend, a fraction of its capacity, or None if unreported."""
    if response.status != 200:
        return None
    return _decode_load_report(response.body[:MAX_REPORT_BYTES].decode("latin-1"))


def _decode_load_report(text: str) -> float | None:
    match = UTILIZATION.search(text)
    return min(1.0, float(match[1])) if match else None
