"""The borrower's side of quota leases: when to request, renew and return, and which grants are accepted."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from cleatyoke.coordination.lease_accounts import BorrowedLease, PendingLeaseRequest, ResourceAccount
from cleatyoke.coordination.lease_events import SendLeaseMessage
from cleatyoke.coordination.lease_terms import NEVER_LEASED_PARTS, LeaseTerms
from cleatyoke.membership.wire import HOME_PARTS, LeaseGrant, LeaseRequest, MemberId

MAX_LEASE_PARTS = HOME_PARTS - NEVER_LEASED_PARTS  # that one lender can grant


class Borrower:
    """Borrow what this front's demand lacks, and use a lease only while its lender still counts it.

    Without the rules here a front would use parts that its lender has taken back. Why they hold:

    - A lease is judged by ``LeaseTerms.borrower_expiry``: from the moment of the request, on this front's
      own clock, so a grant that was long under way, or a pause of this process, can't prolong it.
    - Only the grant that answers the pending request is accepted. One that is late, duplicated, forged or
      above what was requested is ignored; its lender counts it until it expires, which wastes parts and
      never uses them twice.
    - A lease that is returned is not used any more before the lender is told so.

    ``rng`` chooses which peer to ask, so that fronts with the same demand spread over the lenders.
    """

    def __init__(self, terms: LeaseTerms, rng: random.Random) -> None:
        self.terms = terms
        self.rng = rng
        self.peers: Sequence[MemberId] = ()  # that can be asked
        self.last_number = 0  # of all requests of this process; only rises

    def accept_grant(
        self, now: float, account: ResourceAccount | None, lender: MemberId, grant: LeaseGrant
    ) -> None:
        """Take the lease that answers a pending request; ignore any other grant."""
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
        """Return leases that are not needed, renew those that are, and request what is lacking.

        ``is_borrowing``: whether this process may borrow more than it holds.
        """
        account.not_asked_until = {
            peer: until for peer, until in account.not_asked_until.items() if until > now
        }
        self._drop_unanswered(now, account)
        wanted = math.ceil(account.demand * self.terms.demand_headroom)
        usable = account.usable_parts(now)
        out: list[SendLeaseMessage] = []
        for lender, lease in list(account.borrowed.items()):
            held = lease.usable_parts(now)
            if held and usable - held >= wanted + self.terms.hysteresis_parts:
                usable -= held
                account.invalidate()
                out.append(self._return(account, lender, lease))
            elif held and not lease.pending and now >= lease.expires_at - self.terms.duration / 2:
                more = max(0, min(wanted - usable, MAX_LEASE_PARTS - held))
                usable += more  # as if granted, so that other lenders are not asked for the same parts
                out.append(self._request(now, account, lender, held + more))
        if is_borrowing:
            out += self._borrow_lacking(now, account, wanted, usable)
        return out

    def _drop_unanswered(self, now: float, account: ResourceAccount) -> None:
        """Give up requests without an answer in time, and leases without parts.

        A grant that comes after that is not accepted.
        """
        for lender, lease in list(account.borrowed.items()):
            if lease.pending and now >= lease.pending.requested_at + self.terms.request_timeout:
                self._back_off(now, account, lender)
                lease.pending = None
            if not lease.pending and not lease.usable_parts(now):
                del account.borrowed[lender]

    def _borrow_lacking(
        self, now: float, account: ResourceAccount, wanted: int, usable: int
    ) -> list[SendLeaseMessage]:
        """Ask one more peer, where ``wanted`` exceeds what is usable and what has been requested."""
        requested = sum(
            lease.pending.parts
            for lease in account.borrowed.values()
            if lease.pending and not lease.usable_parts(now)
        )
        lacking = wanted - usable - requested
        is_short = lacking > 0 and account.demand > usable
        if lacking <= self.terms.hysteresis_parts and not is_short:
            return []
        lenders = [
            peer
            for peer in self.peers
            if peer not in account.not_asked_until and peer not in account.borrowed
        ]
        if not lenders:
            return []
        lender = self.rng.choice(lenders)
        account.borrowed[lender] = BorrowedLease()
        return [self._request(now, account, lender, min(lacking, MAX_LEASE_PARTS))]

    def _back_off(self, now: float, account: ResourceAccount, lender: MemberId) -> None:
        """Leave out for a while a lender that had less than was requested, or that did not answer."""
        account.not_asked_until[lender] = now + self.terms.duration / 2

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
