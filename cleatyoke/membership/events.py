"""Events that the caller passes to the membership state machine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A datagram has arrived."""

    data: bytes


@dataclass(slots=True, frozen=True)
class ExchangeRequested:
    """A peer has sent its full state over a stream and expects one back; ``token`` identifies the stream."""

    token: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ExchangeAnswered:
    """Result of a ``StartExchange``: the peer's full state, or None if no answer came."""

    address: str
    data: bytes | None


@dataclass(slots=True, frozen=True)
class LeaveRequested:
    """A graceful shutdown begins: this process uses no shared capacity any more and may count as stopped."""


@dataclass(slots=True, frozen=True)
class BootNumberRecovered:
    """A boot number used by an earlier process of this front, read from disk after this process started."""

    boot: int


MembershipEvent = (
    DatagramReceived | ExchangeRequested | ExchangeAnswered | LeaveRequested | BootNumberRecovered
)
