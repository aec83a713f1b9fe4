"""Events: everything that the membership is notified of."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A datagram arrived."""

    data: bytes


@dataclass(slots=True, frozen=True)
class ExchangeRequested:
    """A peer has sent its full state by stream and waits for ours; ``token`` names the stream."""

    token: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ExchangeAnswered:
    """Result of a ``StartExchange``: the peer's full state, or None."""

    address: str
    data: bytes | None


@dataclass(slots=True, frozen=True)
class LeaveRequested:
    """A graceful shutdown begins: this process uses nothing more, and others may count it as stopped."""


@dataclass(slots=True, frozen=True)
class BootNumberRecovered:
    """A boot number of this front that an earlier process used, as read from disk after this one started."""

    boot: int


MembershipEvent = (
    DatagramReceived | ExchangeRequested | ExchangeAnswered | LeaveRequested | BootNumberRecovered
)
