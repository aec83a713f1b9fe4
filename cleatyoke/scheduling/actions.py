"""Actions that the scheduler returns for its caller to perform."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cleatyoke.scheduling.verdict import Rule


@dataclass(slots=True)
class SendAttempt:
    """Send an attempt to a node.

    ``not_after``: time by which the first byte must be sent, since nodes discard duplicates of a request with
    an idempotency key only within a window. The caller checks it directly before sending that byte.
    """

    request_id: str
    node_id: int
    not_after: float = field(default=math.inf, compare=False, repr=False)


@dataclass(slots=True)
class Reject:
    """Final answer: rejected. The client may safely retry, preferably after ``retry_after`` seconds.

    ``rule``: the rule that delayed the request until waiting became useless, or that forbids another attempt.
    """

    request_id: str
    retry_after: float = 0.0
    rule: Rule | None = field(default=None, compare=False, repr=False)


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed; the request may have been executed. ``rule``: see ``Reject``."""

    request_id: str
    rule: Rule | None = field(default=None, compare=False, repr=False)


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt in flight; ``attempt`` is its number within the request."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Deliver ``TimerFired`` after ``delay`` seconds; replaces an earlier timer."""

    delay: float
    token: int


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to the endpoint list and its changes, or poll it."""


SchedulerAction = SendAttempt | Reject | FailRequest | CancelAttempt | SetTimer | WatchEndpoints
