"""When to come back to a service that all hosts of a fleet share. No clock and no I/O: the caller waits.

One host that asks again every quarter of a second is nothing; forty that lost the same service at the same
moment keep it overbooked for good: each call waits in its queue, is given up there, and stands in the way of
the calls that could be answered. So every wait is drawn at random from a span that goes with the size of the
fleet and grows with each failure, and no host needs to know what the others do.
"""

from __future__ import annotations

import random


class Backoff:
    """Waits before calls to a shared service, which all ``hosts`` may want at once.

    ``each`` is the time that the service is given for one host's call, so that a span of ``hosts * each``
    spreads the fleet. The span doubles with each failure in a row, up to ``most`` times the first."""

    def __init__(self, dice: random.Random, hosts: int, each: float, most: int, least: float) -> None:
        self.dice, self.failures = dice, 0
        self.span, self.most = max(least, hosts * each), most

    def failed(self) -> float:
        """Before the next call, after one that failed."""
        wait = self.dice.random() * self.span * min(float(self.most), 2.0**self.failures)
        self.failures = min(self.failures + 1, 30)
        return wait

    def broke(self) -> float:
        """Before the next call, after an answer that came ended: it may have ended for all."""
        self.failures = 0
        return self.failed()
