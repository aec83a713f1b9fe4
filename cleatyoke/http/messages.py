"""Definitions shared by requests and responses: header and field names, limits and errors.

Requests are in ``cleatyoke.http.requests``, backend responses in ``cleatyoke.http.answers``.
"""

from __future__ import annotations

from cleatyoke.config.addresses import Address


class Header:
    """The platform's header names (protocol page, Clients to fronts, and Fronts to chunk servers)."""

    TRACE_ID = "X-Trace-Id"  # the request's id
    CLASS = "X-Qos"  # the request's class, as named in the settings
    PLAN = "X-Plan"  # the volume's plan, as named in the settings
    MAX_WAIT_MS = "X-Expires-In-Ms"  # milliseconds that the sender waits for the response
    IO = "X-IO"  # volume, shard, units and hosts, see ``IoField``
    IDEMPOTENCY_KEY = "Idempotency-Key"  # by which backends detect duplicates
    NEVER_RAN = "X-Never-Ran"  # "1" with 503 and 504: the request had no effect
    SERVED_ELSEWHERE = "X-Served-Elsewhere"  # units that the shard served for the volume through other fronts
    LOAD_REPORT = "Endpoint-Load-Metrics"  # utilization, as a fraction of the backend's capacity


class IoField:
    """Fields of ``X-IO`` and of the target's query string."""

    VOLUME = "volume"  # 16 hex digits
    SHARD = "shard"  # -1 for a new object
    UNITS = "units"
    FRONTS = "hosts"  # number of fronts that the volume uses
    BLOCK = "block"  # 16 hex digits, in the query string


class MessageError(ValueError):
    """A message that cannot be accepted; the text names the faulty field."""


class IdempotencyKeyError(MessageError):
    """A request whose ``Idempotency-Key`` is missing or cannot be forwarded unchanged."""


class MalformedResponseError(MessageError):
    """A backend's response is malformed or incomplete. Its request may have run."""


def host_header(address: Address) -> str:
    """Format an address for the ``Host`` header, IPv6 in brackets (RFC 9110, section 7.2)."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"
