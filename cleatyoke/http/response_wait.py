"""How long to wait for the rest of a backend's response. No I/O, no clock.

A backend may write a sound response slowly, and a faulty one may never end: only time tells them apart. Until
late in the client's time the rest is awaited. Then a response of which nothing has come for long is given up,
if there is time for a retry; and one without a known length is forwarded as far as it has come, as it may be
a long one, of which only the first bytes have to be in time (operations page, Less room).
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

RETRY_TIME = 0.15  # seconds left to a retry; backends answer an average request within a third of it
MAX_RETRY_FRACTION = 1 / 4  # of the remaining time that is left to a retry
STALL_FRACTION = 2 / 3  # of the time waited so far: a response that is silent for so long counts as stalled
STREAMING_MARGIN = 0.02  # seconds before the attempt's timeout at which an incomplete response is forwarded
ERROR_BODY_TIMEOUT = 0.05  # seconds for the body of an error: its head is sufficient


class NextStep(Enum):
    """What to do about a response that is not complete."""

    WAIT = auto()
    STREAM = auto()  # forward what has been received, and the rest as it is received
    USE_HEAD = auto()  # an error without its body
    GIVE_UP = auto()


class ResponseState(Enum):
    """How much of a response has been received."""

    HEAD_INCOMPLETE = auto()
    ERROR = auto()  # the head of a response with another status than 200
    LENGTH_KNOWN = auto()  # a short one that is buffered until it is complete
    LENGTH_UNKNOWN = auto()


class ResponseWait:
    """The waiting for one response. Times are in seconds on the caller's clock.

    ``not_after``: when the attempt times out. ``may_retry``: another attempt is allowed after this one.
    ``on_begun``: called at the first byte.
    """

    def __init__(
        self, not_after: float, *, may_retry: bool = False, on_begun: Callable[[], None] | None = None
    ) -> None:
        self.not_after = not_after
        self._on_begun = on_begun
        self._may_retry = may_retry
        self._began_at: float | None = None
        self._last_received_at = 0.0
        self._retry_at = not_after

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
        return NextStep.STREAM if state is ResponseState.LENGTH_UNKNOWN else NextStep.GIVE_UP

    def _is_stalled(self, now: float) -> bool:
        assert self._began_at is not None
        return now - self._last_received_at >= (now - self._began_at) * STALL_FRACTION
