"""The lender's side of quota leases: how much of the home quota is granted, and until when a lease counts."""

from __future__ import annotations

import math
from collections.abc import Collection

from cleatyoke.coordination.lease_accounts import GrantedLease, GrantedLeases, ResourceAccount
from cleatyoke.coordination.lease_terms import NEVER_LEASED_PARTS, LeaseTerms
from cleatyoke.membership.wire import HOME_QUOTA_PARTS, LeaseGrant, LeaseRequest, MemberId


class Lender:
    """Grants leases from the surplus of this front's home quota so that no part is in use twice.

    Two fronts that use the same parts would exceed the fleet's limit. These rules prevent it under any
    behaviour of the network and of other processes:

    - A granted lease counts as used from the grant until ``LeaseTerms.lender_expiry``, which is never
      earlier than the borrower's own expiry. After a lost grant, a stopped borrower or a partition, the parts
      are unused until then. The membership's removal of the borrower does not end a lease.
    - A repeated request (a duplicate, or a retry after a lost grant) is answered with the same lease and the
      same expiry, never with a second or a longer lease.
    - A request is ignored if a later one of the same borrower was received before. A request for 0 parts
      says that the borrower uses none of its leases and will accept no older grant: they all end at once.
    """

    def __init__(self, terms: LeaseTerms) -> None:
        self.terms = terms

    def answer(
        self,
        now: float,
        account: ResourceAccount | None,
        borrower: MemberId,
        request: LeaseRequest,
        *,
        is_lending: bool,
    ) -> LeaseGrant | None:
        """Return the answer to a request, or None if the borrower expects none.

        ``account`` is None for a resource in which this front has no home quota. ``is_lending``: whether
        this process may grant leases now.
        """
        if account is None or not account.has_home_quota:
            return LeaseGrant(request.resource, request.number, 0, 0)
        account.invalidate()
        granted = account.granted.setdefault(borrower, GrantedLeases())
        repeated = granted.leases.get(request.number)
        if repeated is None and granted.is_outdated(request.number):
            return None
        surplus = self._surplus(now, account, borrower) if is_lending else 0
        if repeated is not None:
            return LeaseGrant(request.resource, request.number, repeated.parts, surplus)
        granted.highest_number = request.number
        if not request.parts:
            granted.leases.clear()
            return None
        parts = min(request.parts, surplus, HOME_QUOTA_PARTS)
        if parts < self.terms.min_lease_parts:
            parts = 0
        if parts:
            granted.leases[request.number] = GrantedLease(parts, self.terms.lender_expiry(now))
        return LeaseGrant(request.resource, request.number, parts, surplus)

    def drop_expired(self, now: float, account: ResourceAccount, peers: Collection[MemberId]) -> None:
        """Drop expired leases, and borrowers that have no lease and are no longer peers.

        The number of a peer's last request is kept, so that a late duplicate is not granted as a new request.
        """
        for borrower, granted in list(account.granted.items()):
            granted.leases = {
                number: lease for number, lease in granted.leases.items() if lease.expires_at > now
            }
            if not granted.leases and borrower not in peers:
                del account.granted[borrower]

    def _surplus(self, now: float, account: ResourceAccount, borrower: MemberId) -> int:
        """Return the most parts that this borrower can have: not needed here and not granted to others."""
        granted = sum(
            leases.outstanding(now) for other, leases in account.granted.items() if other != borrower
        )
        reserved = max(NEVER_LEASED_PARTS, math.ceil(account.demand * self.terms.demand_headroom))
        return max(0, HOME_QUOTA_PARTS - granted - reserved)
