"""The borrower's side of quota leases: when to request, renew and return, and which grants are accepted."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from cleatyoke.coordination.lease_accounts import BorrowedLease, PendingLeaseRequest, ResourceAccount
from cleatyoke.coordination.lease_events import SendLeaseMessage
from cleatyoke.coordination.lease_terms import NEVER_LEASED_PARTS, LeaseTerms
from cleatyoke.membership.wire import HOME_QUOTA_PARTS, LeaseGrant, LeaseRequest, MemberId

MAX_LEASE_PARTS = HOME_QUOTA_PARTS - NEVER_LEASED_PARTS  # that one lender can grant


class Borrower:
    """Borrows the parts that this front's demand lacks, and uses a lease only while its lender counts it.

    These rules keep a front from using parts that their lender has taken back:

    - A lease expires by ``LeaseTerms.borrower_expiry``, counted from the request on this front's own clock.
      Neither a slow grant nor a pause of this process can prolong it.
    - Only the grant that answers the pending request is accepted. A grant that is late, duplicated, forged
      or larger than requested is ignored. Its lender counts it until it expires, so parts go unused, but
      none is used twice.
    - A lease is no longer used once the message that returns it is issued.

    ``rng`` chooses the peer to ask, which spreads fronts with the same demand over the lenders.
    """

    def __init__(self, terms: LeaseTerms, rng: random.Random) -> None:
        self.terms = terms
        self.rng = rng
        self.peers: Sequence[MemberId] = ()  # possible lenders
        self.last_number = 0  # of this process's requests; never decreases

    def accept_grant(
        self, now: float, account: ResourceAccount | None, lender: MemberId, grant: LeaseGrant
    ) -> None:
        """Accept the grant that answers a pending request; ignore any other grant."""
        lease = account.borrowed.get(lender) if account else None
        if account is None or lease is None or lease.pending is None:
            return
        if lease.pending.number != grant.number:
            return
        request = lease.pending
        account.invalidate()
        lease.pending = None
        if grant.parts > request.parts:
            return
        if grant.parts:
            lease.granted_request_number = request.number
            lease.parts = grant.parts
            lease.expires_at = self.terms.borrower_expiry(request.requested_at)
        if grant.parts < request.parts:
            self._back_off(now, account, lender)

    def rebalance(
        self, now: float, account: ResourceAccount, *, is_borrowing: bool
    ) -> list[SendLeaseMessage]:
        """Return leases that are not needed, renew those that are, and request the shortfall.

        ``is_borrowing``: whether this process may borrow more than it holds.
        """
        account.backoff_until = {peer: until for peer, until in account.backoff_until.items() if until > now}
        self._drop_unanswered(now, account)
        required = math.ceil(account.demand * self.terms.demand_headroom)
        usable = account.usable_parts(now)
        messages: list[SendLeaseMessage] = []
        for lender, lease in list(account.borrowed.items()):
            held = lease.usable_parts(now)
            if held and usable - held >= required + self.terms.hysteresis_parts:
                usable -= held
                account.invalidate()
                messages.append(self._return(account, lender, lease))
            elif held and not lease.pending and now >= lease.expires_at - self.terms.duration / 2:
                increase = max(0, min(required - usable, MAX_LEASE_PARTS - held))
                usable += increase  # as if granted, so that other lenders are not asked for the same parts
                messages.append(self._request(now, account, lender, held + increase))
        if is_borrowing:
            messages += self._borrow_shortfall(now, account, required, usable)
        return messages

    def _drop_unanswered(self, now: float, account: ResourceAccount) -> None:
        """Drop requests that have timed out, and leases without usable parts.

        A grant that arrives after the time-out is not accepted.
        """
        for lender, lease in list(account.borrowed.items()):
            if lease.pending and now >= lease.pending.requested_at + self.terms.request_timeout:
                self._back_off(now, account, lender)
                lease.pending = None
            if not lease.pending and not lease.usable_parts(now):
                del account.borrowed[lender]

    def _borrow_shortfall(
        self, now: float, account: ResourceAccount, required: int, usable: int
    ) -> list[SendLeaseMessage]:
        """Ask one more peer if ``required`` exceeds the usable parts and those already requested."""
        requested = sum(
            lease.pending.parts
            for lease in account.borrowed.values()
            if lease.pending and not lease.usable_parts(now)
        )
        shortfall = required - usable - requested
        is_short = shortfall > 0 and account.demand > usable
        if shortfall <= self.terms.hysteresis_parts and not is_short:
            return []
        lenders = [
            peer for peer in self.peers if peer not in account.backoff_until and peer not in account.borrowed
        ]
        if not lenders:
            return []
        lender = self.rng.choice(lenders)
        account.borrowed[lender] = BorrowedLease()
        return [self._request(now, account, lender, min(shortfall, MAX_LEASE_PARTS))]

    def _back_off(self, now: float, account: ResourceAccount, lender: MemberId) -> None:
        """Ask this lender for no new lease for a while: it granted less than requested, or did not answer."""
        account.backoff_until[lender] = now + self.terms.duration / 2

    def _request(
        self, now: float, account: ResourceAccount, lender: MemberId, parts: int
    ) -> SendLeaseMessage:
        self.last_number += 1
        account.borrowed[lender].pending = PendingLeaseRequest(self.last_number, now, parts)
        return SendLeaseMessage(lender, LeaseRequest(account.resource, self.last_number, parts))

    def _return(self, account: ResourceAccount, lender: MemberId, lease: BorrowedLease) -> SendLeaseMessage:
        self.last_number += 1
        lease.parts = 0
        lease.expires_at = -math.inf
        lease.pending = None
        return SendLeaseMessage(lender, LeaseRequest(account.resource, self.last_number, 0))
