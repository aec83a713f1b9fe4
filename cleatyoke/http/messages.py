"""What the platform's HTTP messages have in common: names of headers and fields, limits and errors.

Requests are in ``cleatyoke.http.requests``, backends' answers in ``cleatyoke.http.answers``.
"""

from __future__ import annotations

from cleatyoke.config.addresses import Address

MAX_UNSTREAMED_BYTES = 64 * 1024  # of a body that is sent or read as one; a longer one is streamed in pieces


class Header:
    """The platform's header names (protocol page, Clients to fronts, and Fronts to chunk servers)."""

    TRACE_ID = "X-Trace-Id"  # the request's id
    CLASS = "X-Qos"  # the request's class, by its name in the settings
    PLAN = "X-Plan"  # the volume's plan, by its name in the settings
    MAX_WAIT_MS = "X-Expires-In-Ms"  # milliseconds that the sender waits for the answer
    IO = "X-IO"  # volume, shard, units and hosts, see ``IoField``
    IDEMPOTENCY_KEY = "Idempotency-Key"  # by which backends drop a duplicate
    NEVER_RAN = "X-Never-Ran"  # "1" with 503 and 504: the request had no effect
    SERVED_ELSEWHERE = "X-Served-Elsewhere"  # units of the volume that the shard served through other fronts
    LOAD_REPORT = "Endpoint-Load-Metrics"  # utilization: fraction of the backend's capacity


class IoField:
    """Fields of ``X-IO``, and of the target's query."""

    VOLUME = "volume"  # 16 hex digits
    SHARD = "shard"  # -1 for a new object
    UNITS = "units"
    FRONTS = "hosts"  # fronts that the volume uses
    BLOCK = "block"  # 16 hex digits, in the query


class MessageError(ValueError):
    """A message that can't be accepted; the text names the faulty field."""


class IdempotencyKeyError(MessageError):
    """A request whose ``Idempotency-Key`` is missing or can't be forwarded unchanged."""


class MalformedAnswerError(MessageError):
    """What came is no answer, or not a complete one. Its request may have run."""


def host_header(address: Address) -> str:
    """Return an address as the ``Host`` header has it, IPv6 in brackets (RFC 9110, section 7.2)."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"
