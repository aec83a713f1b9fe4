"""Actions: everything that the scheduler tells its caller to do."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cleatyoke.scheduling.verdict import Rule


@dataclass(slots=True)
class SendAttempt:
    """Send an attempt to a node.

    ``not_after``: time by which its first byte must be sent, as nodes discard the duplicate of a request with
    an idempotency key only within a window; the caller checks it directly before that byte.
    """

    request_id: str
    node_id: int
    not_after: float = field(default=math.inf, compare=False, repr=False)


@dataclass(slots=True)
class Reject:
    """Final answer: rejected, a retry by the client is harmless, best after ``retry_after`` seconds.

    ``rule``: what delayed the request until waiting was useless, or forbids another attempt.
    """

    request_id: str
    retry_after: float = 0.0
    rule: Rule | None = field(default=None, compare=False, repr=False)


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed, and the request may have taken effect. ``rule``: see ``Reject``."""

    request_id: str
    rule: Rule | None = field(default=None, compare=False, repr=False)


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt in flight, by its number within the request."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Call back with ``TimerFired`` after ``delay`` seconds; it replaces an earlier timer."""

    delay: float
    token: int


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to the endpoint list and its changes, or poll it."""


SchedulerAction = SendAttempt | Reject | FailRequest | CancelAttempt | SetTimer | WatchEndpoints
