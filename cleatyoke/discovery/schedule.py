"""When a watch calls discovery: the protocol's times, the timeouts that follow from them, and the next call.

The guarantee: any change that the discovery service has, and could be reached for, is known here within
``MAX_REPORTING_DELAY`` seconds, whatever calls failed meanwhile. The platform counts a change as reported
after that time (protocol page, Figures): requests that reach a draining node later than that are a front's
fault. The arithmetic stands in ``docs/architecture.md``. No clock and no I/O.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from cleatyoke.discovery.backoff import Backoff

MAX_REPORTING_DELAY = 6.0  # seconds after which a change counts as reported (protocol page, Figures)
HEARTBEAT_INTERVAL = 2.0  # seconds between the empty lines of an unchanged watch (protocol page, Discovery)
IDLE_TIMEOUT = (
    HEARTBEAT_INTERVAL + 0.3
)  # seconds without a line until a watch is dead: 0.3 for a late heartbeat
ANSWER_TIMEOUT = 2.2  # seconds to connect and get the first line: a turn in an overloaded service takes two
LOOP_LATENESS = 0.2  # seconds of ``MAX_REPORTING_DELAY`` reserved for an event loop that runs late
# Seconds between the beginnings of two calls: a call that hangs costs no more than one that is refused.
MAX_CALL_INTERVAL = MAX_REPORTING_DELAY - ANSWER_TIMEOUT - LOOP_LATENESS
# Seconds until the first call after an idle timeout, of which the timeout itself has used a part.
MAX_DELAY_AFTER_IDLE = MAX_REPORTING_DELAY - IDLE_TIMEOUT - ANSWER_TIMEOUT - LOOP_LATENESS
SECONDS_PER_CALL = 0.075  # of an overloaded service for one front's call: it answers some ten a second
MIN_BACKOFF_SPAN = 0.25  # seconds over which a small fleet's delays are spread
MAX_BACKOFF_GROWTH = 4  # times the first span
MAX_POLL_INTERVAL = 0.25  # seconds between two calls of an own agent that does not answer
MIN_POLL_INTERVAL = MAX_POLL_INTERVAL / 5
POLLS_PER_GRACE = 4  # calls of an own agent in the time that the rule on drains leaves


def poll_interval(drain_grace: float) -> float:
    """Return the seconds between two calls of an own agent that does not answer.

    ``drain_grace``: seconds after a reported change in which a node may still be sent to. What an own agent
    has counts as reported at once, so the calls have to be frequent enough for that rule alone.
    """
    return max(MIN_POLL_INTERVAL, min(MAX_POLL_INTERVAL, drain_grace / POLLS_PER_GRACE))


@dataclass(slots=True, frozen=True)
class CallEnd:
    """How a call ended.

    ``answered``: a watch had begun. ``is_timeout``: it was ended by a timeout. ``elapsed``: seconds since the
    call began. ``list_rejected``: the latest list was too long to be read.
    """

    answered: bool
    is_timeout: bool
    elapsed: float
    list_rejected: bool


class CallSchedule:
    """When the calls of one watch begin.

    ``fronts``: number of fronts that may call the same service, infinite if unknown.
    """

    def __init__(self, rng: random.Random, fronts: float) -> None:
        self.rng = rng
        self.backoff = Backoff(
            rng, fronts, SECONDS_PER_CALL, MAX_BACKOFF_GROWTH, MIN_BACKOFF_SPAN, MAX_CALL_INTERVAL
        )

    def delay_after(self, end: CallEnd, own_agent_interval: float | None) -> float:
        """Return the seconds until the next call.

        ``own_agent_interval``: poll interval of an agent that serves this front alone, whose calls cost
        nothing; None for a service that all fronts share, where the backoff holds.
        """
        if end.list_rejected:
            return MAX_CALL_INTERVAL  # reading it again costs, whoever sends it
        if own_agent_interval is not None:
            return self.rng.random() * own_agent_interval
        if end.answered:
            return self.backoff.delay_after_disconnect(MAX_DELAY_AFTER_IDLE if end.is_timeout else None)
        return self.backoff.delay_after_failure(end.elapsed)

    def delay_after_fault(self) -> float:
        """Return the seconds until the next call, after an unexpected exception here."""
        return self.backoff.delay_after_failure()
