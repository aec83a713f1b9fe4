"""The inputs and outputs of a subscriber's step, and its settings."""

from __future__ import annotations

from dataclasses import dataclass

from cleatyoke.distribution.records import Entry, Lane


@dataclass(slots=True, frozen=True)
class SubscriberTiming:
    """Times in seconds, and limits in bytes."""

    poll_interval: float = 2.0  # between two polls while there is nothing new
    answer_timeout: float = 1.0  # until a poll without an answer has failed
    retry_spread: float = 0.5  # over which the retry is drawn: one lost answer proves nothing
    avoid_duration: float = 10.0  # for which a relay that failed is polled only if there is no other
    failover_spread: float = 2.0  # over which the first failover is drawn, doubled with each failure ...
    max_failover_spread: float = 8.0  # ... up to this
    own_region_interval: float = 60.0  # after which a subscriber in another region tries its own again
    jitter: float = 0.25  # fraction by which the time between two polls is drawn
    bytes_per_second: float = 2300.0  # that polls and replies may take
    burst_bytes: float = 4000.0  # that may be saved up: with 13 s of the rate under 39 KB
    overhead_bytes: int = 400  # of an exchange besides its messages: TCP's own, both ways


@dataclass(slots=True, frozen=True)
class PollAnswered:
    """Event: a poll has ended. ``data``: the answer, or None if none came."""

    poll_id: int
    data: bytes | None


@dataclass(slots=True, frozen=True)
class SendPoll:
    """Action: send a poll to a relay and report its answer, or that there was none."""

    relay: str
    poll_id: int
    data: bytes


@dataclass(slots=True, frozen=True)
class EpochRestarted:
    """Action: the lane is copied anew; what is known of it stays in force until pages replace it."""

    lane: Lane
    epoch: int


@dataclass(slots=True, frozen=True)
class DeliverChanges:
    """Action: use these entries, which are newer than what was known; tombstones are of removed keys."""

    lane: Lane
    entries: list[Entry]


@dataclass(slots=True, frozen=True)
class LaneComplete:
    """Action: all keys of the lane are known as of ``number``.

    ``compacted_up_to``: as in ``records.LaneChanges``.
    """

    lane: Lane
    number: int
    compacted_up_to: int


@dataclass(slots=True, frozen=True)
class RelayChanged:
    """Action: log that another relay is polled from now on."""

    relay: str
    reason: str


SubscriberAction = SendPoll | EpochRestarted | DeliverChanges | LaneComplete | RelayChanged
