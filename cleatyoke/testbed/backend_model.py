"""How a test backend works: its capacity, its queue, and what faults do to a request. No socket, no clock."""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from cleatyoke.testbed.scenario import BackendCapacity


class RequestOutcome(Enum):
    """What becomes of one request at a backend; the values are counted in reports."""

    ANSWERED = "answered"
    FULL = "full"  # rejected with the proof that it did not execute
    UNREAD = "unread"  # the connection is reset, and it did not execute
    RESET = "reset"  # it executes, and the connection is reset before the answer
    LOST = "lost"  # it executes, and the answer never comes
    SPOILT = "spoilt"  # it executes, and the answer is malformed


@dataclass(slots=True)
class Ticket:
    """What becomes of an accepted request, and when the backend works on it."""

    outcome: RequestOutcome
    starts_at: float = 0.0
    ends_at: float = 0.0


def chance(seed: int, trace: str) -> float:
    """Return a number from 0 to 1 for a trace id, the same in every run whatever else happens."""
    return zlib.crc32(f"{seed}:{trace}".encode()) / 2**32


@dataclass(slots=True)
class BackendModel:
    """One incarnation of a backend, working on one request after the other, slower while it warms up.

    Times are seconds of one clock that the caller reads.
    """

    capacity: BackendCapacity
    started_at: float | None  # None: long ago, so it is warm
    seed: int = 0
    free_at: float = 0.0
    _ends: deque[float] = field(default_factory=deque)  # of the requests being executed or waiting, in order
    faults: dict[str, float] = field(
        default_factory=dict
    )  # by kind: share of the requests, or of the power for "slow"

    def rate(self, now: float) -> float:
        """Return the units a second that it can do at this time."""
        if self.started_at is None or now - self.started_at >= self.capacity.ramp_duration:
            return self.capacity.units_per_second
        age = max(0.0, now - self.started_at) / self.capacity.ramp_duration
        return self.capacity.units_per_second * (
            self.capacity.initial_share + (1 - self.capacity.initial_share) * age
        )

    def accept(self, now: float, trace: str, units: float) -> Ticket:
        """Queue a request whose last byte has arrived, or reject it."""
        draw = chance(self.seed, trace)
        if draw < self.faults.get("reset", 0.0) / 2:
            return Ticket(RequestOutcome.UNREAD)
        while self._ends and self._ends[0] <= now:
            self._ends.popleft()
        if len(self._ends) > self.capacity.max_queue:
            return Ticket(RequestOutcome.FULL)
        begins = max(now, self.free_at)
        speed = self.rate(begins) * self.faults.get("slow", 1.0)
        self.free_at = begins + units / speed
        self._ends.append(self.free_at)
        fate = RequestOutcome.ANSWERED
        for kind, met in (
            ("reset", RequestOutcome.RESET),
            ("lose_answers", RequestOutcome.LOST),
            ("spoil", RequestOutcome.SPOILT),
        ):
            if draw < self.faults.get(kind, 0.0):
                fate = met
        return Ticket(fate, begins, self.free_at)

    def withdraw(self, now: float, ticket: Ticket) -> bool:
        """Take a request back whose front is gone; False where it is already being executed."""
        if now >= ticket.starts_at:
            return False
        self.free_at -= ticket.ends_at - ticket.starts_at
        if self._ends:  # where others were withdrawn before it, its end may have been taken for over
            self._ends.pop()
        return True

    def utilization(self, now: float) -> float:
        """Return the fraction in use, as load reports have it: 1 from half a second of work on."""
        return min(1.0, max(0.0, self.free_at - now) * 2)

    def queue_length(self, now: float) -> int:
        """Return the number of requests being executed or waiting."""
        return sum(1 for end in self._ends if end > now)
