"""The durations and sizes that all fronts of one deployment apply to quota leases."""

from __future__ import annotations

from dataclasses import dataclass

NEVER_LEASED_PARTS = 250  # of a front's home quota: never lent, so a new process may use them at once


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """How long a lease lasts on the lender's and on the borrower's clock, and when one is requested.

    All fronts must use the same ``duration``, ``clock_drift`` and ``margin``: the lender relies on the
    borrower's lease ending before the lender takes the parts back.

    - ``duration``: seconds.
    - ``clock_drift``: the largest drift between two monotonic clocks, as a fraction of the elapsed time.
    - ``margin``: seconds added for the lender and subtracted for the borrower, in addition to the drift.
    - ``demand_headroom``: the multiple of its current demand that a front borrows and keeps, as demand grows.
    - ``hysteresis_parts``: how far demand must exceed the usable parts before more is requested, and
      fall below them before a lease is returned.
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
        """Return when a lease ends for its lender, counted from the grant on its own monotonic clock."""
        return granted_at + self.duration * (1 + self.clock_drift) + self.margin

    def borrower_expiry(self, requested_at: float) -> float:
        """Return when a lease ends for its borrower, counted from the request on its own monotonic clock.

        The request precedes the grant, and the two clocks drift apart by at most ``clock_drift``. So the
        borrower's expiry is never later than the lender's, whatever the message delays.
        """
        return requested_at + self.duration * (1 - self.clock_drift) - self.margin
