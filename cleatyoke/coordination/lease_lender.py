"""The lender's side of quota leases: which part of the home quota is granted, and until when it counts."""

from __future__ import annotations

import math
from collections.abc import Collection

from cleatyoke.coordination.lease_accounts import GrantedLease, GrantedLeases, ResourceAccount
from cleatyoke.coordination.lease_terms import NEVER_LEASED_PARTS, LeaseTerms
from cleatyoke.membership.wire import HOME_PARTS, LeaseGrant, LeaseRequest, MemberId


class Lender:
    """Grant leases from the surplus of this front's home quota, so that parts are never in use twice.

    Without the rules here two fronts would use the same parts, and the fleet would exceed a limit.
    Why they hold, whatever the network and the processes do:

    - A granted lease counts as used from the moment of the grant until ``LeaseTerms.lender_expiry``, which is
      never earlier than the borrower's own expiry. A lost grant, a stopped borrower or a partition costs
      unused parts until then. That the membership no longer knows the borrower changes nothing.
    - A repeated request (duplicate, or retry after a lost grant) gets the same lease again with the same
      expiry, never a second or a longer one.
    - A request that a later one of the same borrower has overtaken is ignored. A request for 0 parts says
      that the borrower uses none of its leases and will accept no older grant: all of them end at once.
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
        """The answer to a request, or None where nobody waits for one.

        ``account`` is None for a resource in which this front has no home quota. ``is_lending``: whether
        this process may lend at all now.
        """
        if account is None or not account.is_home:
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
        parts = min(request.parts, surplus, HOME_PARTS)
        if parts < self.terms.min_lease_parts:
            parts = 0
        if parts:
            granted.leases[request.number] = GrantedLease(parts, self.terms.lender_expiry(now))
        return LeaseGrant(request.resource, request.number, parts, surplus)

    def drop_expired(self, now: float, account: ResourceAccount, peers: Collection[MemberId]) -> None:
        """Drop leases that have expired here, and borrowers without any that are no longer peers.

        The number of a peer's last request is kept, so that a late duplicate is not granted as a new one.
        """
        for borrower, granted in list(account.granted.items()):
            granted.leases = {
                number: lease for number, lease in granted.leases.items() if lease.expires_at > now
            }
            if not granted.leases and borrower not in peers:
                del account.granted[borrower]

    def _surplus(self, now: float, account: ResourceAccount, borrower: MemberId) -> int:
        """Parts that this borrower can have in all: neither needed here nor granted to others."""
        granted = sum(
            leases.outstanding(now) for other, leases in account.granted.items() if other != borrower
        )
        own = max(NEVER_LEASED_PARTS, math.ceil(account.demand * self.terms.demand_headroom))
        return max(0, HOME_PARTS - granted - own)
