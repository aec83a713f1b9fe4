"""Decodes clients' requests (protocol page, Clients to fronts) and encodes attempts for backends."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import parse_qs

from multidict import CIMultiDictProxy

from cleatyoke.config.addresses import Address
from cleatyoke.config.deployment import Config
from cleatyoke.http.messages import (
    Header,
    IdempotencyKeyError,
    IoField,
    MessageError,
    host_header,
)
from cleatyoke.limits.memory_budget import MAX_UNSTREAMED_BYTES
from cleatyoke.scheduling.events import decode_shard
from cleatyoke.scheduling.settings import Idempotency

MAX_WAIT_MS = 600_000  # largest accepted header value; the client timeout of the class limits it further
MAX_TRACE_ID_CHARS = 128  # the protocol page uses 16
MAX_IDEMPOTENCY_KEY_BYTES = 256
MAX_UNITS = 1 << 20  # if the settings set no limit
MAX_FRONTS = 1 << 20
MAX_SHARDS = 1 << 31  # if the settings give no number of shards
VISIBLE_ASCII = re.compile(r"[!-~]+")
SINGLE_HEADERS = (
    Header.TRACE_ID,
    Header.CLASS,
    Header.PLAN,
    Header.MAX_WAIT_MS,
    Header.IO,
    "Content-Length",
)


@dataclass(slots=True)
class ClientRequest:
    """A client's request. Class and plan indices refer to the settings."""

    trace_id: str
    method: str
    target: str  # path and query as received
    class_index: int
    plan_index: int
    volume_id: int
    item: int
    shard: int | None  # None for a new object
    units: float
    front_count: int  # number of fronts that the volume uses
    max_wait: float  # seconds that the client waits, counted from the last byte of its request
    body: list[bytes]  # pieces as received, never joined: that would hold a long body in memory twice
    idempotency_key: str | None = None  # by which backends detect duplicates


def decode_request(
    config: Config, method: str, target: str, headers: CIMultiDictProxy[str], body: list[bytes]
) -> ClientRequest:
    """Decode a request's head strictly; raises ``MessageError`` with the name of the first faulty field.

    Ambiguous fields are rejected: a backend could interpret one differently from the front, and serve
    something that was never scheduled.
    """
    target = _origin_form(target)
    _reject_repeated(headers)
    trace_id = _read_trace_id(headers)
    if not VISIBLE_ASCII.fullmatch(target):
        msg = "target: want visible ASCII characters"
        raise MessageError(msg)
    class_index = _read_class(config, headers)
    plan_index = _read_plan(config, headers)
    block = _read_block(target)
    io_fields = _read_io_fields(headers)
    if method == "GET" and body:
        msg = "Content-Length: a read has no body"
        raise MessageError(msg)
    _check_method(config, class_index, method, headers)
    max_wait = _read_integer(headers.get(Header.MAX_WAIT_MS), Header.MAX_WAIT_MS, 0, MAX_WAIT_MS) / 1000
    max_units = int(config.settings.max_request_units) or MAX_UNITS
    return ClientRequest(
        trace_id=trace_id,
        method=method,
        target=target,
        class_index=class_index,
        plan_index=plan_index,
        volume_id=_read_hex64(io_fields.get(IoField.VOLUME), "X-IO volume"),
        item=_read_hex64(block, "block"),
        shard=decode_shard(
            _read_integer(
                io_fields.get(IoField.SHARD), "X-IO shard", -1, (config.shard_count or MAX_SHARDS) - 1
            )
        ),
        units=float(_read_integer(io_fields.get(IoField.UNITS), "X-IO units", 1, max_units)),
        front_count=_read_integer(io_fields.get(IoField.FRONTS), "X-IO hosts", 1, MAX_FRONTS),
        # A longer wait would occupy a slot of the backend for that long.
        max_wait=min(max_wait, config.client_timeouts[class_index]),
        body=body,
        idempotency_key=_read_idempotency_key(headers, config.settings.classes[class_index].idempotency),
    )


def _origin_form(target: str) -> str:
    """Strip scheme and authority from a target in absolute form (RFC 9112, section 3.2.2).

    The authority is ignored: the request was sent to this front.
    """
    if target[:7].lower() != "http://":
        return target
    _, slash, rest = target[7:].partition("/")
    return slash + rest


def _reject_repeated(headers: CIMultiDictProxy[str]) -> None:
    for name in SINGLE_HEADERS:
        if len(headers.getall(name, ())) > 1:
            msg = f"{name}: given twice"
            raise MessageError(msg)


def _read_trace_id(headers: Mapping[str, str]) -> str:
    trace_id = headers.get(Header.TRACE_ID, "")
    if not VISIBLE_ASCII.fullmatch(trace_id) or len(trace_id) > MAX_TRACE_ID_CHARS:
        msg = f"X-Trace-Id: want an id, found {trace_id!r}"
        raise MessageError(msg)
    return trace_id


def _read_class(config: Config, headers: Mapping[str, str]) -> int:
    name = headers.get(Header.CLASS, "")
    if name not in config.classes:
        msg = f"X-Qos: unknown class {name!r}"
        raise MessageError(msg)
    return config.classes[name]


def _read_plan(config: Config, headers: Mapping[str, str]) -> int:
    name = headers.get(Header.PLAN, "")
    if name not in config.plans:
        msg = f"X-Plan: unknown plan {name!r}"
        raise MessageError(msg)
    return config.plans[name]


def _read_block(target: str) -> str:
    blocks = parse_qs(target.partition("?")[2]).get(IoField.BLOCK, [])
    if len(blocks) != 1:
        msg = "block: want one"
        raise MessageError(msg)
    return blocks[0]


def _read_io_fields(headers: Mapping[str, str]) -> dict[str, str]:
    pairs = [part.strip().partition("=")[::2] for part in headers.get(Header.IO, "").split(",")]
    fields = dict(pairs)
    if len(fields) != len(pairs):
        msg = "X-IO: a field is given twice"
        raise MessageError(msg)
    return fields


def _check_method(config: Config, class_index: int, method: str, headers: Mapping[str, str]) -> None:
    """Raise ``MessageError`` if the class is one of reads and the method writes, or vice versa."""
    is_write = config.changes_data[class_index] if class_index < len(config.changes_data) else None
    if is_write not in (None, method == "PUT"):
        msg = f"X-Qos: {headers.get(Header.CLASS, '')!r} does not go with {method}"
        raise MessageError(msg)


def _read_integer(text: str | None, name: str, least: int, most: int, base: int = 10) -> int:
    """Parse an integer strictly: int() alone would accept a plus sign, whitespace and underscores."""
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


def _read_hex64(text: str | None, name: str) -> int:
    if len(text or "") != 16:
        msg = f"{name}: want 16 hex digits, found {text!r}"
        raise MessageError(msg)
    return _read_integer(text, name, 0, (1 << 64) - 1, 16)


def _read_idempotency_key(headers: CIMultiDictProxy[str], idempotency: Idempotency) -> str | None:
    """Return the ``Idempotency-Key``, which is forwarded unchanged (protocol page, Clients to fronts).

    Requests of a class that is idempotent by key may be retried only with a key by which the backend detects
    duplicates; otherwise a write could run twice. Raises ``IdempotencyKeyError`` if such a request has no
    key, or if a key could be interpreted differently by a backend. Keys are optional for other classes.
    """
    keys = headers.getall(Header.IDEMPOTENCY_KEY, [])
    if not keys and idempotency is not Idempotency.KEYED:
        return None
    if len(keys) != 1:
        msg = f"{Header.IDEMPOTENCY_KEY}: want one, found {len(keys)}"
        raise IdempotencyKeyError(msg)
    if not VISIBLE_ASCII.fullmatch(keys[0]) or len(keys[0]) > MAX_IDEMPOTENCY_KEY_BYTES:
        msg = f"{Header.IDEMPOTENCY_KEY}: want up to {MAX_IDEMPOTENCY_KEY_BYTES} visible ASCII characters"
        raise IdempotencyKeyError(msg)
    return keys[0]


def encode_attempt(request: ClientRequest, backend: Address, max_wait: float) -> list[bytes]:
    """Encode an attempt as pieces; a body longer than ``MAX_UNSTREAMED_BYTES`` is not copied.

    Method, target, trace id, idempotency key and body are the client's. ``max_wait``: seconds that the front
    waits for the response.
    """
    size = sum(map(len, request.body))
    length = f"Content-Length: {size}\r\n" if size or request.method != "GET" else ""
    key = ""
    if request.idempotency_key is not None:
        key = f"{Header.IDEMPOTENCY_KEY}: {request.idempotency_key}\r\n"
    head = (
        f"{request.method} {request.target} HTTP/1.1\r\nHost: {host_header(backend)}\r\n"
        f"{Header.TRACE_ID}: {request.trace_id}\r\n{key}"
        f"{Header.MAX_WAIT_MS}: {max(0, int(max_wait * 1000))}\r\n{length}\r\n"
    ).encode("ascii")
    if size <= MAX_UNSTREAMED_BYTES:
        return [head + b"".join(request.body)]
    return [head, *request.body]


def encode_load_probe(backend: Address) -> bytes:
    """Encode a request for the load report (protocol page, Fronts to chunk servers)."""
    return f"GET /metrics/load HTTP/1.1\r\nHost: {host_header(backend)}\r\n\r\n".encode("ascii")
