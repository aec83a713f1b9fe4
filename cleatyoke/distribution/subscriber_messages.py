"""Events and actions of a subscriber's step, and its timing settings."""

from __future__ import annotations

from dataclasses import dataclass

from cleatyoke.distribution.records import Entry, Lane


@dataclass(slots=True, frozen=True)
class SubscriberTiming:
    """Times (in seconds) and limits (in bytes) of a subscriber."""

    poll_interval: float = 2.0  # between polls while there is nothing new
    answer_timeout: float = 1.0  # after which a poll without an answer has failed
    retry_spread: float = 0.5  # the retry at the same relay is delayed by a random time up to this
    avoid_duration: float = 10.0  # for which a failed relay is polled only if there is no other
    failover_spread: float = 2.0  # random delay of the first failover, doubled with each failure ...
    max_failover_spread: float = 8.0  # ... up to this
    own_region_interval: float = 60.0  # after which a subscriber that left its own region tries it again
    jitter: float = 0.25  # random fraction by which ``poll_interval`` varies
    bytes_per_second: float = 2300.0  # that polls and replies may use
    burst_bytes: float = 4000.0  # that may accumulate: together with 13 s of the rate less than 39 KB
    overhead_bytes: int = 400  # TCP overhead of an exchange, in both directions


@dataclass(slots=True, frozen=True)
class PollAnswered:
    """Event: a poll has ended. ``data``: the answer, or None without one."""

    poll_id: int
    data: bytes | None


@dataclass(slots=True, frozen=True)
class SendPoll:
    """Action: send a poll to a relay, and report the answer or its absence by ``PollAnswered``."""

    relay: str
    poll_id: int
    data: bytes


@dataclass(slots=True, frozen=True)
class LaneRestarted:
    """Action: a new copy of the lane begins; known values stay in force until its pages replace them."""

    lane: Lane
    epoch: int


@dataclass(slots=True, frozen=True)
class DeliverChanges:
    """Action: apply these entries, which are newer than the known ones; tombstones remove their keys."""

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
    """Action: log that the subscriber polls another relay from now on."""

    relay: str
    reason: str


SubscriberAction = SendPoll | LaneRestarted | DeliverChanges | LaneComplete | RelayChanged
