"""When to come back to a service that all hosts of a fleet share. No clock and no I/O: the caller waits.

One host that asks again every quarter of a second is nothing; forty that lost the same service at the same
moment keep it overbooked for good: each call waits in its queue, is given up there, and stands in the way of
the calls that could be answered. So the first wait is drawn at random from a span that goes with the size of
the fleet and grows with each failure, and no host needs to know what the others do. But whoever waits also
serves by what it knew last, so that no wait may go past a bound. Where the span has reached it, calls follow
each other in a fixed period, each host at its own point of it: of all ways to call again within a bound, that
makes the fewest calls, half as many as waits drawn anew.
"""

from __future__ import annotations

import random


class Backoff:
    """Waits before calls to a shared service, which all ``hosts`` may want at once.

    ``each`` is the time that the service is given for one host's call, in seconds, so that a span of ``hosts
    * each``, ``least`` at the least, spreads the fleet; ``hosts`` is infinite where nobody tells. The span
    doubles with each failure in a row, up to ``most`` times the first. ``period``: seconds from the beginning
    of one call to that of the next at the most.
    """

    def __init__(
        self, rng: random.Random, hosts: float, each: float, most: int, least: float, period: float
    ) -> None:
        self.rng, self.failures = rng, 0
        self.span, self.most, self.period = max(least, hosts * each), most, period

    def failed(self, spent: float = 0.0) -> float:
        """Before the next call, after one that failed and was begun ``spent`` seconds ago."""
        span = self.span * min(float(self.most), 2.0**self.failures)
        drawn = span if self.failures and span >= self.period else self.rng.random() * min(span, self.period)
        self.failures = min(self.failures + 1, 30)
        return max(0.0, min(drawn, self.period - spent))

    def broke(self, within: float | None = None) -> float:
        """Before the next call, after an answer that came ended: it may have ended for all. ``within``: what
        may pass until then.
        """
        self.failures = 0
        span = min(self.span, self.period if within is None else within)
        self.failures = 1
        return self.rng.random() * span
