"""Events and actions of ``QuotaLeases.step``."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cleatyoke.membership.wire import LeaseGrant, LeaseRequest, MemberId


@dataclass(slots=True, frozen=True)
class LeaseMessageReceived:
    """A message from another front's process. It may be late, duplicated or out of order."""

    sender: MemberId
    message: LeaseRequest | LeaseGrant


@dataclass(slots=True, frozen=True)
class DemandChanged:
    """What this front could use of each resource now, in parts of a home quota.

    The front lends from its home quota in the resources that are listed, including those with a demand of 0.
    A resource that is no longer listed counts as one with a demand of 0, and is lent from until all its
    leases have ended. A resource that was never listed is not lent from: a front that has never had a request
    for a volume may not be one of the volume's fronts.
    """

    demand: Mapping[str, float]


@dataclass(slots=True, frozen=True)
class PeersChanged:
    """The processes that can be asked for a lease: alive, not suspected, without this one."""

    peers: tuple[MemberId, ...]


@dataclass(slots=True, frozen=True)
class QuotaFractionChanged:
    """The fraction of all quotas that this process may use; below 1 while two processes of a front run.

    The user of the quota applies it. Below 1 nothing is lent and nothing more is borrowed, so the front is
    back at its home quota within one lease duration.
    """

    fraction: float


LeaseEvent = LeaseMessageReceived | DemandChanged | PeersChanged | QuotaFractionChanged


@dataclass(slots=True, frozen=True)
class SendLeaseMessage:
    """Action: send a message to another front's process. It may be lost."""

    receiver: MemberId
    message: LeaseRequest | LeaseGrant
