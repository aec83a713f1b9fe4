"""Faulty variants of quota leases, each with one safety rule broken, that the tests must detect."""

from __future__ import annotations

import random
from collections.abc import Collection

from cleatyoke.coordination.lease_accounts import ResourceAccount
from cleatyoke.coordination.lease_borrower import Borrower
from cleatyoke.coordination.lease_lender import Lender
from cleatyoke.coordination.lease_terms import LeaseTerms
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.membership.wire import LeaseGrant, MemberId


class FullQuotaAfterRestart(QuotaLeases):
    """A new incarnation uses its whole home quota at once, without waiting for old leases to expire."""

    def __init__(self, began: float, rng: random.Random, terms: LeaseTerms | None = None) -> None:
        super().__init__(began - 3600.0, rng, terms)


class BorrowerExpiringFromGrant(Borrower):
    """Counts a lease from the arrival of the grant."""

    def accept_grant(
        self, now: float, account: ResourceAccount | None, lender: MemberId, grant: LeaseGrant
    ) -> None:
        super().accept_grant(now, account, lender, grant)
        assert account
        for lease in account.borrowed.values():
            if lease.granted_request_number == grant.number:
                lease.expires_at = self.terms.borrower_expiry(now)


class ExpiryFromGrant(QuotaLeases):
    """The borrower counts its lease from the grant instead of from its request."""

    def __init__(self, began: float, rng: random.Random, terms: LeaseTerms | None = None) -> None:
        super().__init__(began, rng, terms)
        self.borrower = BorrowerExpiringFromGrant(self.terms, rng)


class LenderDroppingNonPeers(Lender):
    """Drops the leases of a borrower that is no longer a peer, before they expire."""

    def drop_expired(self, now: float, account: ResourceAccount, peers: Collection[MemberId]) -> None:
        for borrower in [borrower for borrower in account.granted if borrower not in peers]:
            del account.granted[borrower]
        super().drop_expired(now, account, peers)


class LeasesEndWithMembership(QuotaLeases):
    """The lender takes back leases as soon as the membership has removed their borrower."""

    def __init__(self, began: float, rng: random.Random, terms: LeaseTerms | None = None) -> None:
        super().__init__(began, rng, terms)
        self.lender = LenderDroppingNonPeers(self.terms)
