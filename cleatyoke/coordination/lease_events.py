"""What quota leases are told (events) and what they want sent (actions)."""

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

    The front lends from its home quota in the resources named here. One that is named no more counts as one
    with a demand of 0, and is lent from until all leases in it have ended. Nothing is lent of resources that
    were never named, as a front that never had a request for a volume may not be one of the volume's fronts.
    A demand of 0 names a resource to lend from.
    """

    demand: Mapping[str, float]


@dataclass(slots=True, frozen=True)
class PeersChanged:
    """The processes that can be asked for a lease: alive, not suspected, without this one."""

    peers: tuple[MemberId, ...]


@dataclass(slots=True, frozen=True)
class QuotaFractionChanged:
    """The fraction of all quotas that this process may use, below 1 while two processes of a front live.

    The user of the quota scales by it. Below 1 nothing is lent and nothing more is borrowed, so that within
    one lease duration the front is back at its home quota.
    """

    fraction: float


LeaseEvent = LeaseMessageReceived | DemandChanged | PeersChanged | QuotaFractionChanged


@dataclass(slots=True, frozen=True)
class SendLeaseMessage:
    """Action: send a message to another front's process. It may be lost."""

    receiver: MemberId
    message: LeaseRequest | LeaseGrant
