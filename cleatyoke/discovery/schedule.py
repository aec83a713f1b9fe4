"""The schedule of calls to discovery: the protocol's times, the derived timeouts, and the next call.

Guarantee: a change that the discovery service has, and could be reached for, is known here within
``MAX_REPORTING_DELAY`` seconds, whichever calls failed meanwhile. The platform counts a change as reported
after that time (protocol page, Figures): a request that reaches a draining node later is an error of the
front. See ``docs/architecture.md`` for the arithmetic. No clock and no I/O.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from cleatyoke.discovery.backoff import Backoff

MAX_REPORTING_DELAY = 6.0  # seconds after which a change counts as reported (protocol page, Figures)
HEARTBEAT_INTERVAL = 2.0  # seconds between the empty lines of an idle watch (protocol page, Discovery)
# Seconds without a line after which a watch counts as dead; 0.3 s allow for a late heartbeat.
IDLE_TIMEOUT = HEARTBEAT_INTERVAL + 0.3
ANSWER_TIMEOUT = 2.2  # seconds to connect and get the first line; an overloaded service takes two
EVENT_LOOP_MARGIN = 0.2  # seconds of ``MAX_REPORTING_DELAY`` reserved for delays of the event loop
# Seconds between the starts of two calls. They count from the start, so that a call that hangs delays the
# next one no longer than a refused one does.
MAX_CALL_INTERVAL = MAX_REPORTING_DELAY - ANSWER_TIMEOUT - EVENT_LOOP_MARGIN
# Seconds until the first call after an idle timeout, which itself has used a part of the allowed delay.
MAX_DELAY_AFTER_IDLE = MAX_REPORTING_DELAY - IDLE_TIMEOUT - ANSWER_TIMEOUT - EVENT_LOOP_MARGIN
SECONDS_PER_CALL = 0.075  # time of an overloaded service for one call: it answers about ten calls a second
MIN_BACKOFF_SPAN = 0.25  # seconds over which the delays of a small fleet are spread
MAX_BACKOFF_GROWTH = 4  # multiple of the first span
MAX_POLL_INTERVAL = 0.25  # seconds between two calls to a dedicated agent that does not answer
MIN_POLL_INTERVAL = MAX_POLL_INTERVAL / 5
POLLS_PER_GRACE = 4  # calls to a dedicated agent within the drain grace period


def poll_interval(drain_grace: float) -> float:
    """Return the seconds between two calls to a dedicated agent that does not answer.

    ``drain_grace``: seconds after a reported drain in which requests may still be sent to the node. A change
    that a dedicated agent has counts as reported immediately, so the drain grace alone determines the
    interval.
    """
    return max(MIN_POLL_INTERVAL, min(MAX_POLL_INTERVAL, drain_grace / POLLS_PER_GRACE))


@dataclass(slots=True, frozen=True)
class CallOutcome:
    """How a call ended.

    ``answered``: the watch had received a line. ``timed_out``: the call ended by a timeout. ``elapsed``:
    seconds since the call started. ``list_rejected``: the latest list was too long to be read.
    """

    answered: bool
    timed_out: bool
    elapsed: float
    list_rejected: bool


class CallSchedule:
    """Schedules the calls of one watch.

    ``fronts``: number of fronts that may call the same service, infinite if unknown.
    """

    def __init__(self, rng: random.Random, fronts: float) -> None:
        self.rng = rng
        self.backoff = Backoff(
            rng, fronts, SECONDS_PER_CALL, MAX_BACKOFF_GROWTH, MIN_BACKOFF_SPAN, MAX_CALL_INTERVAL
        )

    def delay_after(self, outcome: CallOutcome, dedicated_agent_interval: float | None) -> float:
        """Return the seconds until the next call.

        ``dedicated_agent_interval``: poll interval for an agent that serves this front alone, calls to which
        cost nothing; None for a service that all fronts share, to which the backoff applies.
        """
        if outcome.list_rejected:
            return MAX_CALL_INTERVAL  # reading it again is expensive, also from a dedicated agent
        if dedicated_agent_interval is not None:
            return self.rng.random() * dedicated_agent_interval
        if outcome.answered:
            return self.backoff.delay_after_disconnect(MAX_DELAY_AFTER_IDLE if outcome.timed_out else None)
        return self.backoff.delay_after_failure(outcome.elapsed)

    def delay_after_fault(self) -> float:
        """Return the seconds until the next call, after an unexpected exception in the watch."""
        return self.backoff.delay_after_failure()
