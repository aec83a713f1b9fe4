"""Rights to parts of what all fronts share, as limits: held by one front at a time, lent for a while, never
more in all than there is.

Each front is at home in an even share of every resource, ``HOME`` parts, as without this; so no agreement is
needed on who begins with what, and the sum over all homes is the whole. A front that needs more borrows from
one that needs less. ``step(now, events) -> actions``, with time and messages passed in.

A loan (Gray and Cheriton 1989; escrow: O'Neil 1986) is judged by its borrower earlier than by its lender. For
the borrower it ends a lease after it ASKED, for the lender a lease after it GRANTED, lengthened by the drift
of two clocks. A loan that is renewed replaces the one before, so that of the two the borrower uses one and
the lender counts the greater. What was granted and never arrived, or whose holder is silent, comes back only
when its lease has ended: it costs unused parts, never too many (invariants 1 to 3 of the frame).

A life that begins does not know what the one before lent. For a lease, and its drift, it uses only what is
never lent, and lends nothing.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cleatyoke.membership.wire import HOME_PARTS, LeaseGrant, LeaseRequest, MemberId

KEPT = 250  # of these, what is never lent, and so is a new life's at once
MOST_RESOURCES = 4096  # that are kept account of; of one more nothing is lent or borrowed
MOST_ASKED = 16  # messages that ask, in one step


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    lease: float = 2.0  # seconds
    drift: float = 0.001  # of two monotonic clocks against each other, as a part
    slack: float = 0.05  # seconds more for the lender, less for the borrower
    ahead: float = 1.1  # times what is needed now: what is borrowed and kept, as need grows
    swing: int = 50  # parts by which need must pass what is there before more is asked for, and back
    patience: float = 0.3  # seconds until another lender is asked
    scrape: int = 20  # parts under which nothing is lent

    def lender(self, granted: float) -> float:
        return granted + self.lease * (1 + self.drift) + self.slack

    def borrower(self, asked: float) -> float:
        return asked + self.lease * (1 - self.drift) - self.slack


# Events and actions


@dataclass(slots=True, frozen=True)
class LeaseMessageReceived:
    sender: MemberId
    message: LeaseRequest | LeaseGrant


@dataclass(slots=True, frozen=True)
class DemandChanged:
    """What this front could use of each resource now, in parts of a home. It is at home in these and in no
    others: who has never had a request for a volume may not be one of its fronts.
    """

    parts: Mapping[str, float]


@dataclass(slots=True, frozen=True)
class PeersChanged:
    """Who can be asked."""

    ids: tuple[MemberId, ...]


@dataclass(slots=True, frozen=True)
class QuotaFractionChanged:
    """How much of all this a process may use, where two of one front live, as in an upgrade. Who uses this
    scales by it; here, what is under 1 neither lends nor borrows, so that soon all is as it was before.
    """

    part: float


LeaseEvent = LeaseMessageReceived | DemandChanged | PeersChanged | QuotaFractionChanged


@dataclass(slots=True, frozen=True)
class SendLeaseMessage:
    receiver: MemberId
    message: LeaseRequest | LeaseGrant


@dataclass(slots=True)
class Loan:
    """Lent to one borrower: by number, parts and when each ends for us; and the highest number heard."""

    leases: dict[int, tuple[int, float]] = field(default_factory=dict)
    latest: int = -1

    def owed(self, now: float) -> int:
        """The most that its borrower may be using."""
        return max((parts for parts, end in self.leases.values() if end > now), default=0)


@dataclass(slots=True)
class BorrowedLease:
    """Borrowed from one lender: the number in force, and the question that is out."""

    number: int = -1
    parts: int = 0
    end: float = -math.inf
    asked: tuple[int, float, int] | None = None  # number, when, parts

    def held(self, now: float) -> int:
        return self.parts if now < self.end else 0


@dataclass(slots=True)
class LeaseAccount:
    """One resource."""

    need: float = 0.0
    home: bool = False
    loans: dict[MemberId, Loan] = field(default_factory=dict)
    debts: dict[MemberId, BorrowedLease] = field(default_factory=dict)
    poor: dict[MemberId, float] = field(
        default_factory=dict
    )  # who had nothing to lend, and until when that counts
    parts: int = 0  # what was usable when it was last summed up, and until when that holds by itself
    parts_until: float = -math.inf

    def changed(self) -> None:
        self.parts_until = -math.inf


class QuotaLeases:
    """One life's rights. ``usable`` is to be asked directly before each use."""

    def __init__(self, began: float, rng: random.Random, terms: LeaseTerms | None = None) -> None:
        self.terms, self.rng = terms or LeaseTerms(), rng
        self.whole_at = self.terms.lender(began)  # by then all that the life before lent has ended
        self.accounts: dict[str, LeaseAccount] = {}
        self.peers: tuple[MemberId, ...] = ()
        self.part = 1.0
        self.homes: frozenset[str] = frozenset()  # what the last need named
        self.number = 0
        self.refused = 0  # messages on more resources than are kept account of

    # What may be used

    def usable(self, resource: str, now: float) -> int:
        """Parts that this front may use at this moment, whatever it knew a moment ago."""
        account = self.accounts.get(resource)
        if account is None:
            return HOME_PARTS if now >= self.whole_at else KEPT
        if now >= account.parts_until:
            mine = HOME_PARTS if now >= self.whole_at else KEPT
            owed = sum(loan.owed(now) for loan in account.loans.values())
            account.parts = max(0, mine - owed) + sum(debt.held(now) for debt in account.debts.values())
            account.parts_until = self.next_end(account, now)
        return account.parts

    def next_end(self, account: LeaseAccount, now: float) -> float:
        """When what is usable of it changes next by time alone."""
        ends = [self.whole_at, *(debt.end for debt in account.debts.values())]
        ends += [end for loan in account.loans.values() for _, end in loan.leases.values()]
        return min((end for end in ends if end > now), default=math.inf)

    def spare(self, account: LeaseAccount, now: float, borrower: MemberId) -> int:
        """What can be lent to this one, with what it has: what is not needed here, nor owed to others."""
        if now < self.whole_at or not account.home or self.part < 1.0:
            return 0
        owed = sum(loan.owed(now) for other, loan in account.loans.items() if other != borrower)
        own = max(KEPT, math.ceil(account.need * self.terms.ahead))
        return max(0, HOME_PARTS - owed - own)

    def next_change(self, now: float) -> float:
        """When ``usable`` changes next by time alone."""
        return min(self.next_end(account, now) for account in (LeaseAccount(), *self.accounts.values()))

    # The step

    def step(self, now: float, events: Iterable[LeaseEvent] = ()) -> list[SendLeaseMessage]:
        out: list[SendLeaseMessage] = []
        met: set[str] = set()  # what a grant came for: what it lacked is asked for elsewhere at once
        everything = False
        for event in events:
            everything = everything or not isinstance(event, LeaseMessageReceived)
            match event:
                case LeaseMessageReceived(sender, LeaseRequest() as want):
                    out += self.lend(now, sender, want)
                case LeaseMessageReceived(sender, LeaseGrant() as grant):
                    self.take(now, sender, grant)
                    met.add(grant.resource)
                case DemandChanged(parts):
                    self.homes = frozenset(parts)
                    for resource, account in self.accounts.items():
                        account.need = parts.get(resource, 0.0)
                    for resource, need in parts.items():
                        if mine := self.account(resource):
                            mine.need, mine.home = need, True
                case PeersChanged(ids):
                    self.peers = ids
                case QuotaFractionChanged(part):
                    self.part = part
        asked = 0
        for resource in list(self.accounts) if everything else sorted(met & self.accounts.keys()):
            account = self.accounts[resource]
            account.changed()
            self.forget(now, account)
            if not (
                resource in self.homes or account.debts or any(loan.leases for loan in account.loans.values())
            ):
                del self.accounts[resource]  # as if it had never been asked for
                continue
            if asked < MOST_ASKED:
                posts = self.settle(now, resource, account)
                asked += len(posts)
                out += posts
        return out

    def account(self, resource: str) -> LeaseAccount | None:
        if resource not in self.accounts:
            if len(self.accounts) >= MOST_RESOURCES:
                self.refused += 1
                return None
            self.accounts[resource] = LeaseAccount()
        return self.accounts[resource]

    def forget(self, now: float, account: LeaseAccount) -> None:
        for borrower, loan in list(account.loans.items()):
            loan.leases = {number: lease for number, lease in loan.leases.items() if lease[1] > now}
            if not loan.leases and borrower not in self.peers:
                del account.loans[borrower]  # its numbers are forgotten only with itself
        account.poor = {id: until for id, until in account.poor.items() if until > now}

    # Lending

    def lend(self, now: float, borrower: MemberId, want: LeaseRequest) -> list[SendLeaseMessage]:
        account = self.accounts.get(want.resource)
        if account is None or not account.home:
            return [SendLeaseMessage(borrower, LeaseGrant(want.resource, want.number, 0, 0))]
        account.changed()
        loan = account.loans.setdefault(borrower, Loan())
        if want.number in loan.leases:
            parts = loan.leases[want.number][0]  # it came twice, or its answer is lost: the same loan
        elif want.number <= loan.latest:
            return []  # an old question: nobody waits for its answer
        else:
            loan.latest = want.number
            if not want.parts:  # it holds nothing of ours, and takes no older grant any more
                loan.leases.clear()
                return []
            parts = min(want.parts, self.spare(account, now, borrower), HOME_PARTS)
            if parts < self.terms.scrape:
                parts = 0
            if parts:
                loan.leases[want.number] = parts, self.terms.lender(now)
        return [
            SendLeaseMessage(
                borrower, LeaseGrant(want.resource, want.number, parts, self.spare(account, now, borrower))
            )
        ]

    # Borrowing

    def take(self, now: float, lender: MemberId, grant: LeaseGrant) -> None:
        account = self.accounts.get(grant.resource)
        debt = account.debts.get(lender) if account else None
        if account is None or debt is None or debt.asked is None or debt.asked[0] != grant.number:
            return  # not asked for, or given up since, or here already
        number, asked, parts = debt.asked
        account.changed()
        debt.asked = None
        if grant.parts > parts:
            return  # more than was asked for: no front of ours says that
        if grant.parts:
            debt.number, debt.parts, debt.end = number, grant.parts, self.terms.borrower(asked)
        if grant.parts < parts:
            account.poor[lender] = now + self.terms.lease / 2

    def settle(self, now: float, resource: str, account: LeaseAccount) -> list[SendLeaseMessage]:
        """Ask for more, renew what is needed on, give back what is not."""
        terms, out = self.terms, []
        for lender, debt in list(account.debts.items()):
            if debt.asked and now >= debt.asked[1] + terms.patience:
                account.poor[lender] = now + terms.lease / 2
                debt.asked = None  # a grant that comes later is not taken; for its lender it runs on
            if not debt.asked and not debt.held(now):
                del account.debts[lender]
        need = math.ceil(account.need * terms.ahead)
        have = self.usable(resource, now)
        for lender, debt in list(account.debts.items()):
            held = debt.held(now)
            if held and have - held >= need + terms.swing:  # it can do without: back at once
                have -= held
                account.changed()
                out.append(self.give_back(resource, lender, debt))
            elif held and not debt.asked and now >= debt.end - terms.lease / 2:
                more = max(0, min(need - have, HOME_PARTS - KEPT - held))  # it may have more to lend by now
                out.append(self.ask(now, resource, lender, debt, held + more))
                have += more  # as far as is known, so that not all are asked for the same
        under_way = sum(debt.asked[2] for debt in account.debts.values() if debt.asked and not debt.held(now))
        lack = need - have - under_way if self.part >= 1.0 else 0
        if lack > terms.swing or (lack > 0 and account.need > have):
            lenders = [id for id in self.peers if id not in account.poor and id not in account.debts]
            if lenders:
                lender = self.rng.choice(lenders)
                debt = account.debts[lender] = BorrowedLease()
                out.append(self.ask(now, resource, lender, debt, min(lack, HOME_PARTS - KEPT)))
        return out

    def ask(
        self, now: float, resource: str, lender: MemberId, debt: BorrowedLease, parts: int
    ) -> SendLeaseMessage:
        self.number += 1
        debt.asked = self.number, now, parts
        return SendLeaseMessage(lender, LeaseRequest(resource, self.number, parts))

    def give_back(self, resource: str, lender: MemberId, debt: BorrowedLease) -> SendLeaseMessage:
        """First not to use it any more, then to say so."""
        self.number += 1
        debt.parts, debt.end, debt.asked = 0, -math.inf, None
        return SendLeaseMessage(lender, LeaseRequest(resource, self.number, 0))
