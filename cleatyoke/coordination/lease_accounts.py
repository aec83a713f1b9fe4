"""One front's records of its leases in one resource: those granted to peers and those borrowed from them.

Times are seconds of this front's monotonic clock. Quantities are parts of a home quota.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from cleatyoke.coordination.lease_terms import NEVER_LEASED_PARTS
from cleatyoke.membership.wire import HOME_QUOTA_PARTS, MemberId


class GrantedLease(NamedTuple):
    """A lease as recorded by its lender."""

    parts: int
    expires_at: float


@dataclass(slots=True)
class GrantedLeases:
    """All leases of one borrower that have not expired for the lender, by request number.

    A renewal replaces the previous lease. While its grant is in flight, the lender cannot know which of the
    two the borrower uses, so it keeps both until they expire.
    """

    leases: dict[int, GrantedLease] = field(default_factory=dict)
    highest_number: int | None = None  # of all requests received from this borrower

    def outstanding(self, now: float) -> int:
        """Return the most parts that the borrower may be using."""
        return max((lease.parts for lease in self.leases.values() if lease.expires_at > now), default=0)

    def is_outdated(self, number: int) -> bool:
        """Return whether this borrower's request of this number, or a later one, was received before."""
        return self.highest_number is not None and number <= self.highest_number


class PendingLeaseRequest(NamedTuple):
    """A lease request that has not been answered."""

    number: int
    requested_at: float
    parts: int


@dataclass(slots=True)
class BorrowedLease:
    """The lease held from one lender, and the pending request for it or for its renewal."""

    granted_request_number: int | None = None  # None before the first grant
    parts: int = 0
    expires_at: float = -math.inf  # for the borrower
    pending: PendingLeaseRequest | None = None

    def usable_parts(self, now: float) -> int:
        """Return the parts of this lease that may be used now."""
        return self.parts if now < self.expires_at else 0


@dataclass(slots=True)
class ResourceAccount:
    """One shared resource: its demand at this front, and the leases granted to peers and borrowed from them.

    ``resource``: its name on the wire. ``home_available_at``: when the whole home quota becomes available to
    this process, see ``QuotaLeases``. Code that changes a lease must call ``invalidate``.
    """

    resource: str
    home_available_at: float
    demand: float = 0.0  # parts of a home quota
    has_home_quota: bool = False  # whether this front has a home quota in the resource
    granted: dict[MemberId, GrantedLeases] = field(default_factory=dict)  # by borrower
    borrowed: dict[MemberId, BorrowedLease] = field(default_factory=dict)  # by lender
    backoff_until: dict[MemberId, float] = field(default_factory=dict)  # by lender; see Borrower._back_off
    cached_parts: int = 0
    cached_until: float = -math.inf

    def invalidate(self) -> None:
        """Discard the cached usable parts, as a lease has changed."""
        self.cached_until = -math.inf

    def usable_parts(self, now: float) -> int:
        """Return the parts that this front may use now: home quota, less granted, plus borrowed."""
        if now >= self.cached_until:
            home = home_parts(now, self.home_available_at)
            granted = sum(leases.outstanding(now) for leases in self.granted.values())
            borrowed = sum(lease.usable_parts(now) for lease in self.borrowed.values())
            self.cached_parts = max(0, home - granted) + borrowed
            self.cached_until = self.next_expiry(now)
        return self.cached_parts

    def has_leases(self) -> bool:
        """Return whether any lease is granted, borrowed or requested."""
        return bool(self.borrowed) or any(leases.leases for leases in self.granted.values())

    def next_expiry(self, now: float) -> float:
        """Return when the usable parts next change through time alone; infinity if never."""
        expiries = [self.home_available_at, *(lease.expires_at for lease in self.borrowed.values())]
        expiries += [lease.expires_at for leases in self.granted.values() for lease in leases.leases.values()]
        return min((expiry for expiry in expiries if expiry > now), default=math.inf)


def home_parts(now: float, home_available_at: float) -> int:
    """Return the parts of the home quota that are available to this process now."""
    return HOME_QUOTA_PARTS if now >= home_available_at else NEVER_LEASED_PARTS
