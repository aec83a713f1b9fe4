"""Model of a test backend: its capacity, its queue and the effect of faults. Uses no socket and no clock."""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from cleatyoke.testbed.scenario import BackendCapacity


class RequestOutcome(Enum):
    """Outcome of one request at a backend; reports count the values."""

    ANSWERED = "answered"
    FULL = "full"  # rejected with proof that it was not executed
    UNREAD = "unread"  # the connection is reset before the request is read; not executed
    RESET = "reset"  # executed; the connection is reset before the answer
    LOST = "lost"  # executed; the answer is never sent
    MALFORMED = "spoilt"  # executed; the answer is malformed


@dataclass(slots=True)
class Ticket:
    """Outcome of a request that reached the backend, and the times between which it is executed."""

    outcome: RequestOutcome
    starts_at: float = 0.0
    ends_at: float = 0.0


def hash_fraction(seed: int, trace: str) -> float:
    """Map a trace id to a number from 0 to 1 that depends on the seed and the id alone.

    A request thus meets the same fault in every run, whatever the order of arrivals.
    """
    return zlib.crc32(f"{seed}:{trace}".encode()) / 2**32


@dataclass(slots=True)
class BackendModel:
    """One incarnation of a backend. It executes requests one at a time, and more slowly while it warms up.

    All times are seconds of one clock, which the caller reads.
    """

    capacity: BackendCapacity
    started_at: float | None  # None: long ago, so that it is warm
    seed: int = 0
    free_at: float = 0.0
    _ends: deque[float] = field(default_factory=deque)  # end times of requests executed or queued, in order
    # By kind of fault: share of the requests that it hits; for "slow", the share of the rate that is left.
    faults: dict[str, float] = field(default_factory=dict)

    def rate(self, now: float) -> float:
        """Return the units a second that it executes at this time."""
        if self.started_at is None or now - self.started_at >= self.capacity.ramp_duration:
            return self.capacity.units_per_second
        progress = max(0.0, now - self.started_at) / self.capacity.ramp_duration
        return self.capacity.units_per_second * (
            self.capacity.initial_share + (1 - self.capacity.initial_share) * progress
        )

    def accept(self, now: float, trace: str, units: float) -> Ticket:
        """Queue a request that has arrived in full, or reject it."""
        fraction = hash_fraction(self.seed, trace)
        if fraction < self.faults.get("reset", 0.0) / 2:
            return Ticket(RequestOutcome.UNREAD)
        while self._ends and self._ends[0] <= now:
            self._ends.popleft()
        if len(self._ends) > self.capacity.max_queue:
            return Ticket(RequestOutcome.FULL)
        starts_at = max(now, self.free_at)
        speed = self.rate(starts_at) * self.faults.get("slow", 1.0)
        self.free_at = starts_at + units / speed
        self._ends.append(self.free_at)
        outcome = RequestOutcome.ANSWERED
        for kind, injected in (
            ("reset", RequestOutcome.RESET),
            ("lose_answers", RequestOutcome.LOST),
            ("spoil", RequestOutcome.MALFORMED),
        ):
            if fraction < self.faults.get(kind, 0.0):
                outcome = injected
        return Ticket(outcome, starts_at, self.free_at)

    def withdraw(self, now: float, ticket: Ticket) -> bool:
        """Remove a queued request whose front has disconnected; False if its execution has begun."""
        if now >= ticket.starts_at:
            return False
        self.free_at -= ticket.ends_at - ticket.starts_at
        if (
            self._ends
        ):  # a withdrawal drops the latest end, not its own, so accept() may have dropped the others
            self._ends.pop()
        return True

    def utilization(self, now: float) -> float:
        """Return the utilization for load reports: 1 from half a second of queued work on."""
        return min(1.0, max(0.0, self.free_at - now) * 2)

    def queue_length(self, now: float) -> int:
        """Return the number of requests executed or queued."""
        return sum(1 for end in self._ends if end > now)
