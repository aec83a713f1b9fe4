"""Intervals, timeouts and multipliers of the membership, and the due times of its periodic tasks."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class MembershipTiming:
    """Timing parameters, in seconds unless stated otherwise.

    Logarithms are to base 10, of the number of members.
    """

    probe_interval: float = 0.5  # between two probes by one member: SWIM's protocol period
    ack_timeout: float = 0.15  # without an ack, after which helpers are asked to ping the target
    indirect_probes: int = 3  # number of helpers asked
    gossip_interval: float = 0.1  # between gossip rounds, while there are updates to send
    gossip_fanout: int = 3  # receivers per round
    retransmit_multiplier: float = 4.0  # transmissions of an update, times the logarithm
    suspicion_multiplier: float = 4.0  # minimum suspicion timeout in probe intervals, times the logarithm
    max_suspicion_multiplier: float = 6.0  # ratio of the maximum timeout (one suspector) to the minimum
    exchange_interval: float = 10.0  # between full-state exchanges with a random member
    dead_member_probe_interval: float = 1.0  # between probes of members believed dead
    join_interval: float = 1.0  # between attempts to join through a seed
    pause_threshold: float = 1.5  # a step delayed by more shows that the process was suspended
    left_retention: float = 3600.0  # how long a member that left is remembered


@dataclass(slots=True)
class DueTimes:
    """When each task is due next: seconds on the corrected clock (``now``), infinite if never."""

    probe: float = math.inf  # of the next member of the round
    gossip: float = math.inf  # while there are updates to send
    exchange: float = math.inf  # with a random member
    dead_member_probe: float = math.inf  # of a member believed dead
    join: float = math.inf  # through a seed
    push: float = math.inf  # of replicated data, while members lack a local change
    extra_exchange: float = -math.inf  # earliest time of the next exchange outside the interval
    recheck: float = -math.inf  # earliest time of the next ping of a suspected member

    def postpone(self, now: float) -> None:
        """Move due times that have passed to ``now``."""
        self.probe = max(self.probe, now)
        self.gossip = max(self.gossip, now)
        self.exchange = max(self.exchange, now)
        self.dead_member_probe = max(self.dead_member_probe, now)
        self.join = max(self.join, now)
        self.push = max(self.push, now)
        self.extra_exchange = max(self.extra_exchange, now)
        self.recheck = max(self.recheck, now)
