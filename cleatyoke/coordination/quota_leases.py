"""Quota leases: fronts lend each other unused parts of a shared quota, never more in all than there is.

Every front has the same home quota in each resource, ``HOME_PARTS``. The homes add up to the whole resource,
so that no agreement is needed on who begins with what. A front whose demand exceeds its home borrows from
fronts with a surplus, by messages and for a short time (leases: Gray and Cheriton, 1989; the division of a
bound into rights: O'Neil's escrow, 1986, and the bounded counter of Balegas and others, 2015).

No I/O and no clock: ``step(now, events) -> actions``. The lender's rules are in ``lease_lender``, the
borrower's in ``lease_borrower``.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from cleatyoke.coordination.lease_accounts import ResourceAccount, home_parts
from cleatyoke.coordination.lease_borrower import Borrower
from cleatyoke.coordination.lease_events import (
    DemandChanged,
    LeaseEvent,
    LeaseMessageReceived,
    PeersChanged,
    QuotaFractionChanged,
    SendLeaseMessage,
)
from cleatyoke.coordination.lease_lender import Lender
from cleatyoke.coordination.lease_terms import LeaseTerms
from cleatyoke.membership.wire import LeaseGrant, LeaseRequest, MemberId

MAX_RESOURCES = 4096  # with an account; nothing is lent or borrowed of further ones
MAX_REQUESTS_PER_STEP = 16  # messages; reached, the remaining resources wait for the next step


class QuotaLeases:
    """The leases of one process run of a front, in all resources.

    It keeps the sum of what all fronts may use at or below the whole, in any partition, crash, pause, loss,
    duplication or delay of messages. A failure would show as a rate limit exceeded by the fleet, or as a
    node that is warming up and gets more than it can take. Why it holds:

    - Every part is counted by its owner: at home, granted or borrowed. A granted part is not used at home
      until it expires for the lender, and its borrower stops before that (``Lender``, ``Borrower``). Each
      side uses its own monotonic clock; ``LeaseTerms`` bounds how far two clocks may drift apart.
    - ``usable_parts`` compares with the clock at every use, so a process that was paused beyond a lease's
      expiry does not use it when it resumes.
    - A process does not know what the front's process before it had granted. Until all of that must have
      expired, it uses only ``NEVER_LEASED_PARTS`` of its home and lends nothing.

    ``began``: when this process started, seconds of its monotonic clock, the clock of all times here.
    """

    def __init__(self, began: float, rng: random.Random, terms: LeaseTerms | None = None) -> None:
        self.terms = terms or LeaseTerms()
        self.home_available_at = self.terms.lender_expiry(began)
        self.lender = Lender(self.terms)
        self.borrower = Borrower(self.terms, rng)
        self.accounts: dict[str, ResourceAccount] = {}
        self.peers: tuple[MemberId, ...] = ()
        self.quota_fraction = 1.0  # see QuotaFractionChanged
        self.home_resources: frozenset[str] = frozenset()  # named by the last DemandChanged
        self.refused_resources = 0  # demands for resources beyond MAX_RESOURCES

    def usable_parts(self, resource: str, now: float) -> int:
        """The parts that this front may use at this moment. To be asked directly before each use."""
        account = self.accounts.get(resource)
        if account is None:
            return home_parts(now, self.home_available_at)
        return account.usable_parts(now)

    def step(self, now: float, events: Iterable[LeaseEvent] = ()) -> list[SendLeaseMessage]:
        """Take the events in their order, then return the messages to send.

        A grant rebalances its own resource, so that what it lacked is requested from another front at once;
        any other event than a message rebalances all.
        """
        out: list[SendLeaseMessage] = []
        granted: set[str] = set()
        rebalance_all = False
        for event in events:
            match event:
                case LeaseMessageReceived(sender, LeaseRequest() as request):
                    out += self._answer(now, sender, request)
                case LeaseMessageReceived(sender, LeaseGrant() as grant):
                    self.borrower.accept_grant(now, self.accounts.get(grant.resource), sender, grant)
                    granted.add(grant.resource)
                case DemandChanged(demand):
                    self._set_demand(demand)
                    rebalance_all = True
                case PeersChanged(peers):
                    self.peers = peers
                    self.borrower.peers = peers
                    rebalance_all = True
                case QuotaFractionChanged(fraction):
                    self.quota_fraction = fraction
                    rebalance_all = True
        resources = list(self.accounts) if rebalance_all else sorted(granted & self.accounts.keys())
        return out + self._rebalance(now, resources)

    def _answer(self, now: float, borrower: MemberId, request: LeaseRequest) -> list[SendLeaseMessage]:
        is_lending = now >= self.home_available_at and self.quota_fraction >= 1.0
        account = self.accounts.get(request.resource)
        grant = self.lender.answer(now, account, borrower, request, is_lending=is_lending)
        return [SendLeaseMessage(borrower, grant)] if grant else []

    def _set_demand(self, demand: Mapping[str, float]) -> None:
        self.home_resources = frozenset(demand)
        for resource, account in self.accounts.items():
            account.demand = demand.get(resource, 0.0)
        for resource, parts in demand.items():
            if account_or_none := self._account(resource):
                account_or_none.demand = parts
                account_or_none.is_home = True

    def _account(self, resource: str) -> ResourceAccount | None:
        """The account of a resource, a new one if need be; None beyond ``MAX_RESOURCES``."""
        if resource not in self.accounts:
            if len(self.accounts) >= MAX_RESOURCES:
                self.refused_resources += 1
                return None
            self.accounts[resource] = ResourceAccount(resource, self.home_available_at)
        return self.accounts[resource]

    def _rebalance(self, now: float, resources: Iterable[str]) -> list[SendLeaseMessage]:
        """Drop what has expired, and accounts without demand or leases; borrow, renew and return."""
        out: list[SendLeaseMessage] = []
        for resource in resources:
            account = self.accounts[resource]
            account.invalidate()
            self.lender.drop_expired(now, account, self.peers)
            if resource not in self.home_resources and not account.has_leases():
                del self.accounts[resource]
            elif len(out) < MAX_REQUESTS_PER_STEP:
                out += self.borrower.rebalance(now, account, is_borrowing=self.quota_fraction >= 1.0)
        return out
