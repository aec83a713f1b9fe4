"""Quota leases with one rule broken, which the tests must catch."""

from __future__ import annotations

import random
from collections.abc import Collection

from cleatyoke.coordination.lease_accounts import ResourceAccount
from cleatyoke.coordination.lease_borrower import Borrower
from cleatyoke.coordination.lease_lender import Lender
from cleatyoke.coordination.lease_terms import LeaseTerms
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.membership.wire import LeaseGrant, MemberId


class KeptOverRestart(QuotaLeases):
    """A new incarnation uses its whole home quota at once."""

    def __init__(self, began: float, rng: random.Random, terms: LeaseTerms | None = None) -> None:
        super().__init__(began - 3600.0, rng, terms)


class BorrowerByLendersClock(Borrower):
    """Counts a lease from the moment the grant came."""

    def accept_grant(
        self, now: float, account: ResourceAccount | None, lender: MemberId, grant: LeaseGrant
    ) -> None:
        super().accept_grant(now, account, lender, grant)
        assert account
        for lease in account.borrowed.values():
            if lease.granted_request_number == grant.number:
                lease.expires_at = self.terms.borrower_expiry(now)


class EndsAfterGrant(QuotaLeases):
    """The borrower counts its lease from the grant in place of its request."""

    def __init__(self, began: float, rng: random.Random, terms: LeaseTerms | None = None) -> None:
        super().__init__(began, rng, terms)
        self.borrower = BorrowerByLendersClock(self.terms, rng)


class LenderByMembership(Lender):
    """Takes silence for an end."""

    def drop_expired(self, now: float, account: ResourceAccount, peers: Collection[MemberId]) -> None:
        for borrower in [borrower for borrower in account.granted if borrower not in peers]:
            del account.granted[borrower]
        super().drop_expired(now, account, peers)


class SilenceFrees(QuotaLeases):
    """The lender takes back the leases of a borrower that is no longer a peer."""

    def __init__(self, began: float, rng: random.Random, terms: LeaseTerms | None = None) -> None:
        super().__init__(began, rng, terms)
        self.lender = LenderByMembership(self.terms)
