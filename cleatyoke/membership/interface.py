"""The membership's events in, actions out and times: what ``members`` is told, and what it asks of its
carrier. Plain records.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from cleatyoke.membership.wire import LeaseGrant, LeaseRequest, MemberId


@dataclass(slots=True, frozen=True)
class MembershipTiming:
    """Seconds, or times them."""

    period: float = 0.5  # between two probes by one life
    answer: float = 0.15  # until others are asked to probe too
    helpers: int = 3  # how many of them
    gossip: float = 0.1  # between two rounds of rumours, while there are any
    fanout: int = 3  # to how many they go in a round
    spread: float = 4.0  # times the logarithm (to 10) of the members: how often a rumour is told
    suspicion: float = 4.0  # periods, times that logarithm: the least that a suspicion lasts
    doubt: float = 6.0  # times that, with one accuser alone
    sync: float = 10.0  # between two exchanges of whole views with somebody
    departed: float = 1.0  # between two probes of somebody departed
    join: float = 1.0  # between two tries at a seed
    away: float = 1.5  # late by so much, a step finds that this process was stopped
    forget: float = 3600.0  # after which one that left is forgotten


# Events


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A datagram came."""

    data: bytes


@dataclass(slots=True, frozen=True)
class ExchangeRequested:
    """A peer has sent its whole view by stream, and waits for ours; ``token`` names the stream."""

    token: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ExchangeAnswered:
    """What came of an ``Exchange``: the peer's view, or None."""

    address: str
    data: bytes | None


@dataclass(slots=True, frozen=True)
class LeaveRequested:
    """This life is to end in order, and uses nothing more: others may count it as stopped by this word."""


@dataclass(slots=True, frozen=True)
class IncarnationRemembered:
    """A boot number of our name that a life before used, as the disk told once this one had begun."""

    boot: int


MembershipEvent = (
    DatagramReceived | ExchangeRequested | ExchangeAnswered | LeaveRequested | IncarnationRemembered
)


# Actions


@dataclass(slots=True, frozen=True)
class SendDatagram:
    address: str
    data: bytes


@dataclass(slots=True, frozen=True)
class StartExchange:
    """Send this by stream, and bring back what is answered."""

    address: str
    data: bytes


@dataclass(slots=True, frozen=True)
class ReplyExchange:
    token: int
    data: bytes


class Change(Enum):
    """What the log is told, once for each."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    DIED = "died"
    RETURNED = "returned"  # it was believed dead, or suspected, and is not
    LEFT = "left"
    AWAY = "away"  # this process itself was stopped, and knows it
    RENAMED = "renamed"  # this life gave way upward to a higher boot number of its name


@dataclass(slots=True, frozen=True)
class MembershipChanged:
    change: Change
    id: MemberId
    by: str = ""


@dataclass(slots=True, frozen=True)
class DeliverBody:
    """A message that is not for the view: of this life, which sent it under this id."""

    sender: MemberId
    body: LeaseRequest | LeaseGrant


MembershipAction = SendDatagram | StartExchange | ReplyExchange | MembershipChanged | DeliverBody


class ReplicatedStore(Protocol):
    """What goes along with every exchange of views."""

    def digest(self) -> int: ...

    def dump(self) -> bytes: ...

    def load(self, sender: MemberId, data: bytes) -> bool: ...

    def is_behind(self, life: MemberId) -> bool: ...
