"""Intervals and multipliers of the membership, and when each of its duties is due."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class MembershipTiming:
    """Seconds, where nothing else is said. The logarithms are to base 10, of the number of members."""

    probe_interval: float = 0.5  # between two probes by one member: SWIM's protocol period
    ack_timeout: float = 0.15  # until helpers are asked to probe too
    indirect_probes: int = 3  # helpers that are asked
    gossip_interval: float = 0.1  # between two rounds of gossip, while there are updates to send
    gossip_fanout: int = 3  # receivers in a round
    retransmit_multiplier: float = 4.0  # transmissions of an update, by the logarithm
    suspicion_multiplier: float = 4.0  # shortest suspicion in probe intervals, by the logarithm
    max_suspicion_multiplier: float = 6.0  # longest suspicion, with one suspector only, by the shortest
    exchange_interval: float = 10.0  # between two exchanges of full states with a random member
    dead_member_probe_interval: float = 1.0  # between two probes of members believed dead
    join_interval: float = 1.0  # between two attempts to join by a seed
    pause_threshold: float = 1.5  # a step late by more says that this process was stopped
    left_retention: float = 3600.0  # for which a member that left is remembered


@dataclass(slots=True)
class DueTimes:
    """When each duty is due next: seconds on the corrected clock (``now``), infinite where it never is."""

    probe: float = math.inf  # of the next member of the round
    gossip: float = math.inf  # while there are updates to send
    exchange: float = math.inf  # with a random member
    dead_member_probe: float = math.inf  # of a member believed dead
    join: float = math.inf  # by a seed
    push: float = math.inf  # of replicated data, while members lack a change made here
    extra_exchange: float = -math.inf  # no exchange outside the interval before
    recheck: float = -math.inf  # no ping of a suspected member before

    def postpone(self, now: float) -> None:
        """Let nothing have been due before ``now``."""
        self.probe = max(self.probe, now)
        self.gossip = max(self.gossip, now)
        self.exchange = max(self.exchange, now)
        self.dead_member_probe = max(self.dead_member_probe, now)
        self.join = max(self.join, now)
        self.push = max(self.push, now)
        self.extra_exchange = max(self.extra_exchange, now)
        self.recheck = max(self.recheck, now)
