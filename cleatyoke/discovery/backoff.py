"""Backoff with jitter for calls to a service that is shared by a fleet of clients.

No clock and no I/O: the caller waits.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

MAX_COUNTED_FAILURES = 30  # consecutive; further failures do not increase the span


@dataclass(slots=True)
class Backoff:
    """Spreads the retries of a fleet of clients over time, so that an overloaded service can recover.

    Without backoff, all clients lose a shared service at the same moment and call it again at short, fixed
    intervals. Each call waits in the service's queue, times out there, and delays calls that could have been
    answered, so the overload never ends.

    Each client draws its delay at random from a span that is proportional to the size of the fleet and
    doubles with each failure. The rate of calls therefore falls until the service keeps up, without
    coordination between the clients. As a client works with outdated data while it waits, consecutive calls
    never start more than ``max_call_interval`` apart. Once the span has reached that limit, the delay is no
    longer random: the fleet stays spread by its earlier random delays, and makes half as many calls as with
    new random delays within the same limit.

    ``clients``: size of the fleet, infinite if unknown. ``seconds_per_call``: the service's time for one
    call. The first span is ``clients * seconds_per_call`` seconds, at least ``min_span``; it grows to at most
    ``max_growth`` times that. ``max_call_interval``: maximum seconds between the starts of two calls.
    """

    rng: random.Random
    clients: float
    seconds_per_call: float
    max_growth: int
    min_span: float
    max_call_interval: float
    span: float = field(init=False)
    failures: int = field(init=False, default=0)

    def __post_init__(self) -> None:
        self.span = max(self.min_span, self.clients * self.seconds_per_call)

    def delay_after_failure(self, elapsed: float = 0.0) -> float:
        """Return the seconds until the next call, after a failed one that started ``elapsed`` seconds ago."""
        span = self.span * min(float(self.max_growth), 2.0**self.failures)
        delay = span
        if not self.failures or span < self.max_call_interval:
            delay = self.rng.random() * min(span, self.max_call_interval)
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        return max(0.0, min(delay, self.max_call_interval - elapsed))

    def delay_after_disconnect(self, max_delay: float | None = None) -> float:
        """Return the seconds until the next call, after a response stream was interrupted.

        All clients may be disconnected at the same moment, so this delay is random too. ``max_delay``: upper
        bound in seconds, ``max_call_interval`` by default.
        """
        span = min(self.span, self.max_call_interval if max_delay is None else max_delay)
        self.failures = 1  # this disconnect counts as the first failure
        return self.rng.random() * span
