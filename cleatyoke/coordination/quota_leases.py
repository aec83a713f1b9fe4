"""Quota leases: fronts lend each other unused parts of a shared quota without exceeding the total.

Every front has the same home quota in each resource, ``HOME_QUOTA_PARTS``. The home quotas add up to the
whole resource, so fronts need not agree on an initial division. A front whose demand exceeds its home quota
borrows from fronts with a surplus, by messages and for a short time (leases: Gray and Cheriton, 1989; the
division of a bound into rights: O'Neil's escrow, 1986, and the bounded counter of Balegas and others, 2015).

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

MAX_RESOURCES = 4096  # with an account; nothing is lent or borrowed of further resources
MAX_REQUESTS_PER_STEP = 16  # messages; once reached, the remaining resources wait for the next step


class QuotaLeases:
    """The leases of one process run of a front, in all resources.

    Invariant: the parts that all fronts may use never exceed the whole resource, under any partition, crash,
    pause, or loss, duplication or delay of messages. If it broke, the fleet would exceed a rate limit, or
    overload a node that is warming up. It is maintained as follows:

    - Every part is counted by its owner: at home, granted or borrowed. The lender does not use a granted part
      until the lease expires for it, and the borrower stops before that (``Lender``, ``Borrower``). Each side
      uses its own monotonic clock; ``LeaseTerms`` bounds how far two clocks may drift apart.
    - ``usable_parts`` checks the clock at every use, so a process that was paused beyond a lease's expiry
      does not use the lease when it resumes.
    - A process does not know which leases the front's previous process granted. Until all of them must have
      expired, it uses only ``NEVER_LEASED_PARTS`` of its home quota and lends nothing.

    ``began``: when this process started, in seconds of its monotonic clock, the clock of all times here.
    """

    def __init__(self, began: float, rng: random.Random, terms: LeaseTerms | None = None) -> None:
        self.terms = terms or LeaseTerms()
        self.home_available_at = self.terms.lender_expiry(began)
        self.lender = Lender(self.terms)
        self.borrower = Borrower(self.terms, rng)
        self.accounts: dict[str, ResourceAccount] = {}
        self.peers: tuple[MemberId, ...] = ()
        self.quota_fraction = 1.0  # see QuotaFractionChanged
        self.home_resources: frozenset[str] = frozenset()  # listed in the last DemandChanged
        self.refused_resources = 0  # times that an account was denied because of MAX_RESOURCES

    def usable_parts(self, resource: str, now: float) -> int:
        """Return the parts that this front may use now. Call it directly before each use."""
        account = self.accounts.get(resource)
        if account is None:
            return home_parts(now, self.home_available_at)
        return account.usable_parts(now)

    def step(self, now: float, events: Iterable[LeaseEvent] = ()) -> list[SendLeaseMessage]:
        """Process the events in order and return the messages to send.

        A grant rebalances its own resource, so that a remaining shortfall is requested from another front at
        once. An event that is no message rebalances all resources.
        """
        messages: list[SendLeaseMessage] = []
        granted: set[str] = set()
        rebalance_all = False
        for event in events:
            match event:
                case LeaseMessageReceived(sender, LeaseRequest() as request):
                    messages += self._answer(now, sender, request)
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
        return messages + self._rebalance(now, resources)

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
            if listed := self._account(resource):
                listed.demand = parts
                listed.has_home_quota = True

    def _account(self, resource: str) -> ResourceAccount | None:
        """Return the account of a resource, creating it if needed; None beyond ``MAX_RESOURCES``."""
        if resource not in self.accounts:
            if len(self.accounts) >= MAX_RESOURCES:
                self.refused_resources += 1
                return None
            self.accounts[resource] = ResourceAccount(resource, self.home_available_at)
        return self.accounts[resource]

    def _rebalance(self, now: float, resources: Iterable[str]) -> list[SendLeaseMessage]:
        """Drop expired leases and unused accounts, then borrow, renew and return leases."""
        messages: list[SendLeaseMessage] = []
        for resource in resources:
            account = self.accounts[resource]
            account.invalidate()
            self.lender.drop_expired(now, account, self.peers)
            if resource not in self.home_resources and not account.has_leases():
                del self.accounts[resource]
            elif len(messages) < MAX_REQUESTS_PER_STEP:
                messages += self.borrower.rebalance(now, account, is_borrowing=self.quota_fraction >= 1.0)
        return messages
