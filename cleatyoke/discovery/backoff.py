"""Backoff with jitter for calls to a service that a whole fleet of clients shares.

No clock and no I/O: the caller waits.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

MAX_COUNTED_FAILURES = 30  # in a row; further ones no longer lengthen the span


@dataclass(slots=True)
class Backoff:
    """Spread the repeated calls of a fleet, so that an overloaded service can answer some of them.

    Symptom without it: all clients lose a shared service at the same moment and call it again at short,
    fixed intervals. Each call waits in the service's queue, times out there, and delays the calls that could
    have been answered, so the overload never ends.

    Why it holds: each client draws its delay at random from a span that goes with the size of the fleet and
    doubles with each failure, so the rate of calls falls until the service keeps up; no client needs to know
    what the others do. Because a client serves by outdated data while it waits, two calls never begin more
    than ``max_call_interval`` apart. Once the span has reached that bound, the client calls once in that time
    without drawing: the fleet stays spread by its earlier draws, and makes half the calls of delays drawn
    anew within the same bound.

    ``clients``: size of the fleet, infinite if unknown. ``seconds_per_call``: the service's time for one
    client's call. The first span is ``clients * seconds_per_call`` seconds, at least ``min_span``; it grows
    to ``max_growth`` times that. ``max_call_interval``: maximum seconds between the beginnings of two calls.
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
        """Return the seconds until the next call, after one that failed and began ``elapsed`` seconds ago."""
        span = self.span * min(float(self.max_growth), 2.0**self.failures)
        delay = span
        if not self.failures or span < self.max_call_interval:
            delay = self.rng.random() * min(span, self.max_call_interval)
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        return max(0.0, min(delay, self.max_call_interval - elapsed))

    def delay_after_disconnect(self, max_delay: float | None = None) -> float:
        """Return the seconds until the next call, after an answer that had begun to arrive has ended.

        It may have ended for all clients at once, so this delay is drawn too. ``max_delay``: upper bound in
        seconds, ``max_call_interval`` by default.
        """
        span = min(self.span, self.max_call_interval if max_delay is None else max_delay)
        self.failures = 1  # the next failure counts as the second, as this disconnect was the first
        return self.rng.random() * span
