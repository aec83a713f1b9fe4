"""How long to wait for the rest of a backend's response. No I/O, no clock.

A backend may write a sound response slowly, and a faulty one may never end: only time tells them apart. Until
late in the client's time the rest is awaited. Then a response of which nothing has come for long is given up,
if there is time for a retry.

A response without a known length may still be short or long at the end of that time. A long one has to begin
in time and may end late, whatever its pauses (operations page, Less room). A short one has to end by then,
and a client that has been sent the beginning of it can only be cut off. So it is forwarded only if it makes
progress and has grown beyond usual short ones, and is then awaited like one that is known to be long.
Otherwise it is given up in time, while the client can still be told so.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from cleatyoke.limits.memory_budget import KIBIBYTE

RETRY_TIME = 0.15  # seconds left to a retry; backends answer an average request within a third of it
MAX_RETRY_FRACTION = 1 / 4  # of the remaining time that is left to a retry
STALL_FRACTION = 2 / 3  # of the time waited so far: a response that is silent for so long counts as stalled
MIN_FORWARDED_BYTES = 16 * KIBIBYTE  # of an incomplete body without a length: more than most short ones have
MIN_OBSERVED_TIME = 0.1  # seconds from its first byte, in which it has to make progress to be forwarded
STREAMING_MARGIN = 0.02  # seconds before the attempt's timeout at which an incomplete response is forwarded
ERROR_BODY_TIMEOUT = 0.05  # seconds for the body of an error: its head is sufficient
# Seconds after the attempt's time in which a short answer has to end: the standing test grants half a second
# beyond the client's deadline, and attempts end shortly before that.
ANSWER_GRACE = 0.5


class NextStep(Enum):
    """What to do about a response that is not complete."""

    WAIT = auto()
    STREAM = auto()  # forward what has been received, and the rest as it is received
    USE_HEAD = auto()  # an error without its body
    GIVE_UP = auto()


class StreamReason(Enum):
    """Why a response is forwarded before its end."""

    LONG = auto()  # it is longer than what is buffered
    NO_MEMORY = auto()  # the memory that answers share is used up
    TIME_IS_UP = auto()  # the client's time is nearly over, and its length is not known


class ResponseState(Enum):
    """How much of a response has been received."""

    HEAD_INCOMPLETE = auto()
    ERROR = auto()  # the head of a response with another status than 200
    LENGTH_KNOWN = auto()  # a short one that is buffered until it is complete
    SHORT_SO_FAR = auto()  # without a known length, and below ``MIN_FORWARDED_BYTES``
    LENGTH_UNKNOWN = auto()  # without a known length, and beyond that


class ResponseWait:
    """The waiting for one response. Times are in seconds on the caller's clock.

    ``not_after``: when the attempt times out. ``may_retry``: another attempt is allowed after this one.
    ``on_begun``: called at the first byte. ``may_forward``: whether an incomplete response may be forwarded
    at the end, which a process that is about to exit could not complete. ``trace``: the request's id, for the
    log.
    """

    def __init__(
        self,
        not_after: float,
        *,
        may_retry: bool = False,
        on_begun: Callable[[], None] | None = None,
        may_forward: Callable[[], bool] = lambda: True,
        trace: str = "",
    ) -> None:
        self.not_after = not_after
        self.trace = trace
        self.may_forward = may_forward
        self._on_begun = on_begun
        self._may_retry = may_retry
        self._began_at: float | None = None
        self._last_received_at = 0.0
        self._retry_at = not_after

    @property
    def answer_due_at(self) -> float:
        """When a short answer that is being forwarded has to end."""
        return self.not_after + ANSWER_GRACE

    def receive(self, now: float) -> None:
        """Note received bytes."""
        self._last_received_at = now
        if self._began_at is None:
            self._began_at = now
            retry_time = min(RETRY_TIME, (self.not_after - now) * MAX_RETRY_FRACTION)
            self._retry_at = self.not_after - max(0.0, retry_time)
            if self._on_begun:
                self._on_begun()

    def next_check_at(self, state: ResponseState, now: float) -> float:
        """Return when ``next_step`` has to be called if the response is still incomplete."""
        if state is ResponseState.ERROR:
            return now + ERROR_BODY_TIMEOUT
        if self._may_retry and now < self._retry_at:
            return self._retry_at
        return self.not_after - STREAMING_MARGIN

    def next_step(self, state: ResponseState, now: float) -> NextStep:
        """Return what to do about the incomplete response at a time given by ``next_check_at``."""
        if state is ResponseState.ERROR:
            return NextStep.USE_HEAD
        if now < self.not_after - STREAMING_MARGIN:
            return NextStep.GIVE_UP if self._may_retry and self._is_stalled(now) else NextStep.WAIT
        if state is not ResponseState.LENGTH_UNKNOWN or not self.may_forward():
            return NextStep.GIVE_UP
        return NextStep.STREAM if self._makes_progress(now) else NextStep.GIVE_UP

    def silence(self, now: float) -> float:
        """Return the seconds since the last received bytes."""
        return now - self._last_received_at

    def _makes_progress(self, now: float) -> bool:
        assert self._began_at is not None
        return now - self._began_at >= MIN_OBSERVED_TIME and not self._is_stalled(now)

    def _is_stalled(self, now: float) -> bool:
        assert self._began_at is not None
        return self.silence(now) >= (now - self._began_at) * STALL_FRACTION
