"""Actions: everything that the membership tells its caller to do."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cleatyoke.membership.wire import LeaseGrant, LeaseRequest, MemberId


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a datagram. ``address``: host and port."""

    address: str
    data: bytes


@dataclass(slots=True, frozen=True)
class StartExchange:
    """Send the full state by stream, and report the answer with ``ExchangeAnswered``."""

    address: str
    data: bytes


@dataclass(slots=True, frozen=True)
class ReplyExchange:
    """Answer the stream of this token with the full state."""

    token: int
    data: bytes


class ChangeKind(Enum):
    """Transition of a member; each is reported once. The values are written to the log."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    DEAD = "died"
    RETURNED = "returned"  # it was believed dead, or suspected, and is alive
    LEFT = "left"
    PAUSED = "away"  # this process itself was stopped for a while, and has noticed
    RENAMED = "renamed"  # this process took a higher boot number, as its own had been used before


@dataclass(slots=True, frozen=True)
class MembershipChanged:
    """Log a transition. ``suspected_by``: name of the member that suspects, or empty."""

    change: ChangeKind
    id: MemberId
    suspected_by: str = ""


@dataclass(slots=True, frozen=True)
class DeliverLeaseMessage:
    """Hand a message that is not the membership's own to the quota leases."""

    sender: MemberId
    message: LeaseRequest | LeaseGrant


MembershipAction = SendDatagram | StartExchange | ReplyExchange | MembershipChanged | DeliverLeaseMessage
