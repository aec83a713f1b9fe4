"""What one front knows of its leases in one resource: granted to others, and borrowed from others.

Times are seconds of this front's monotonic clock. Quantities are parts of a home quota.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from cleatyoke.coordination.lease_terms import NEVER_LEASED_PARTS
from cleatyoke.membership.wire import HOME_PARTS, MemberId


class GrantedLease(NamedTuple):
    """A lease as its lender counts it."""

    parts: int
    expires_at: float


@dataclass(slots=True)
class GrantedLeases:
    """All leases of one borrower that have not expired for the lender, by the request's number.

    A renewal replaces the lease before it. Which of the two the borrower uses is unknown while the grant is
    under way, so all are kept until they expire.
    """

    leases: dict[int, GrantedLease] = field(default_factory=dict)
    highest_number: int | None = None  # of all requests received from this borrower

    def outstanding(self, now: float) -> int:
        """The most parts that the borrower may be using."""
        return max((lease.parts for lease in self.leases.values() if lease.expires_at > now), default=0)

    def is_outdated(self, number: int) -> bool:
        """Whether a request of this number was overtaken by a later one."""
        return self.highest_number is not None and number <= self.highest_number


class PendingLeaseRequest(NamedTuple):
    """A request for a lease that has not been answered."""

    number: int
    requested_at: float
    parts: int


@dataclass(slots=True)
class BorrowedLease:
    """The lease held from one lender, and the request for it or for its renewal that is pending."""

    granted_request_number: int | None = None  # None before the first grant
    parts: int = 0
    expires_at: float = -math.inf  # for the borrower
    pending: PendingLeaseRequest | None = None

    def usable_parts(self, now: float) -> int:
        """The parts of this lease that may be used at this moment."""
        return self.parts if now < self.expires_at else 0


@dataclass(slots=True)
class ResourceAccount:
    """One shared resource: its demand here, the leases granted to others, and those borrowed from others.

    ``resource``: its name on the wire. ``home_available_at``: from then on the whole home quota belongs to
    this process, see ``QuotaLeases``. Whoever changes a lease calls ``invalidate``.
    """

    resource: str
    home_available_at: float
    demand: float = 0.0  # parts of a home quota
    is_home: bool = False  # whether this front has a home quota in the resource
    granted: dict[MemberId, GrantedLeases] = field(default_factory=dict)  # by borrower
    borrowed: dict[MemberId, BorrowedLease] = field(default_factory=dict)  # by lender
    not_asked_until: dict[MemberId, float] = field(default_factory=dict)  # lenders: too little, or no answer
    cached_parts: int = 0
    cached_until: float = -math.inf

    def invalidate(self) -> None:
        """Compute the usable parts anew at their next use, as a lease has changed."""
        self.cached_until = -math.inf

    def usable_parts(self, now: float) -> int:
        """The parts that this front may use at this moment: home quota, less granted, plus borrowed."""
        if now >= self.cached_until:
            home = home_parts(now, self.home_available_at)
            granted = sum(leases.outstanding(now) for leases in self.granted.values())
            borrowed = sum(lease.usable_parts(now) for lease in self.borrowed.values())
            self.cached_parts = max(0, home - granted) + borrowed
            self.cached_until = self.next_expiry(now)
        return self.cached_parts

    def has_leases(self) -> bool:
        """Whether anything is granted, borrowed or requested."""
        return bool(self.borrowed) or any(leases.leases for leases in self.granted.values())

    def next_expiry(self, now: float) -> float:
        """When the usable parts change next by time alone; infinite if never."""
        ends = [self.home_available_at, *(lease.expires_at for lease in self.borrowed.values())]
        ends += [lease.expires_at for leases in self.granted.values() for lease in leases.leases.values()]
        return min((end for end in ends if end > now), default=math.inf)


def home_parts(now: float, home_available_at: float) -> int:
    """The parts of the home quota that belong to this process at this moment."""
    return HOME_PARTS if now >= home_available_at else NEVER_LEASED_PARTS
