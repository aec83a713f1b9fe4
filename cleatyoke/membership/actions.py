"""Actions that the membership state machine returns for its caller to carry out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cleatyoke.membership.wire import LeaseGrant, LeaseRequest, MemberId


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a datagram to ``address`` (host and port)."""

    address: str
    data: bytes


@dataclass(slots=True, frozen=True)
class StartExchange:
    """Send the full state over a stream; the caller reports the answer as ``ExchangeAnswered``."""

    address: str
    data: bytes


@dataclass(slots=True, frozen=True)
class ReplyExchange:
    """Send the full state as the answer on the stream identified by ``token``."""

    token: int
    data: bytes


class ChangeKind(Enum):
    """State transition of a member, reported once each. The values appear in the log."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    DEAD = "died"
    RETURNED = "returned"  # it was suspected or believed dead, and is alive
    LEFT = "left"
    PAUSED = "away"  # this process itself was suspended for a while and has detected it
    BOOT_NUMBER_RAISED = (
        "renamed"  # this process took a higher boot number because its own was already in use
    )


@dataclass(slots=True, frozen=True)
class MembershipChanged:
    """Log a transition. ``suspected_by`` is the name of the suspecting member, or empty."""

    change: ChangeKind
    id: MemberId
    suspected_by: str = ""


@dataclass(slots=True, frozen=True)
class DeliverLeaseMessage:
    """Pass a lease message, which the membership only transports, to the quota leases."""

    sender: MemberId
    message: LeaseRequest | LeaseGrant


MembershipAction = SendDatagram | StartExchange | ReplyExchange | MembershipChanged | DeliverLeaseMessage
