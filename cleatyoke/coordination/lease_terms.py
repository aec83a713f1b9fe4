"""The durations and sizes that all fronts of one deployment apply to quota leases."""

from __future__ import annotations

from dataclasses import dataclass

NEVER_LEASED_PARTS = 250  # of a front's home quota: never lent, so a new process may use them at once


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """How long a lease lasts, on whose clock, and when it is worth asking for one.

    All fronts must use the same ``duration``, ``clock_drift`` and ``margin``: the lender relies on the
    borrower stopping earlier than the lender takes the parts back.

    - ``duration``: seconds.
    - ``clock_drift``: the most by which two monotonic clocks may run apart, as a fraction of elapsed time.
    - ``margin``: seconds added for the lender and subtracted for the borrower, beside the drift.
    - ``demand_headroom``: the multiple of its present demand that a front borrows and keeps, as demand grows.
    - ``hysteresis_parts``: how far demand must exceed the usable parts before more is requested, and
      fall short of them before a lease is returned.
    - ``request_timeout``: seconds until an unanswered request is dropped and another lender may be asked.
    - ``min_lease_parts``: a smaller lease is not granted.
    """

    duration: float = 2.0
    clock_drift: float = 0.001
    margin: float = 0.05
    demand_headroom: float = 1.1
    hysteresis_parts: int = 50
    request_timeout: float = 0.3
    min_lease_parts: int = 20

    def lender_expiry(self, granted_at: float) -> float:
        """When a lease ends for its lender, who counts from the grant on its own monotonic clock."""
        return granted_at + self.duration * (1 + self.clock_drift) + self.margin

    def borrower_expiry(self, requested_at: float) -> float:
        """When a lease ends for its borrower, who counts from its request on its own monotonic clock.

        The request is older than the grant and the clocks differ by ``clock_drift`` at the most, so this
        moment is never later than the lender's, however long the messages were under way.
        """
        return requested_at + self.duration * (1 - self.clock_drift) - self.margin
