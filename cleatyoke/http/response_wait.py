"""How long to wait for the rest of a backend's response. No I/O, no clock.

A backend may write a sound response slowly, and a faulty one may never end: only time tells them apart. Until
late in the client's time the rest is awaited. Then a response of which nothing has come for long is given up,
if there is time for a retry.

A response without a known length may turn out long, and a long one has to begin in time, may end late and
must not be cut off (operations page, Less room). So it is forwarded at the end of its time, as far as it has
come, and not given up for a retry unless it has stalled far below the size of a long one. A short one has to
be whole, or to end visibly incomplete, half a second after its time: then ``judge_overdue`` decides.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from cleatyoke.http.answer_progress import AnswerProgress, BackendActivity
from cleatyoke.http.answer_sizes import AnswerSizes
from cleatyoke.limits.memory_budget import MAX_UNSTREAMED_BYTES

RETRY_TIME = 0.15  # seconds left to a retry; backends answer an average request within a third of it
MAX_RETRY_FRACTION = 1 / 4  # of the remaining time that is left to a retry
STALL_FRACTION = 2 / 3  # of the time waited so far: a response that is silent for so long counts as stalled
# Seconds of silence after which a response without a known length is given up for a retry: slow ones pause
# for less, and closing one that is long would cut it off.
MIN_RETRY_SILENCE = 0.75
# Seconds before the attempt's timeout at which an incomplete response is forwarded.
STREAMING_MARGIN = 0.06
ERROR_BODY_TIMEOUT = 0.05  # seconds for the body of an error: its head is sufficient
# Seconds after the attempt's time in which a short answer has to end: the standing test grants half a second
# beyond the client's deadline, and the front may be held up for a moment before it writes.
ANSWER_GRACE = 0.48


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
    LENGTH_UNKNOWN = auto()


class Overdue(Enum):
    """What an incomplete answer counts as that is being forwarded half a second after its time."""

    LONG = auto()  # more has come, or is announced, than a short answer has
    SHORT = auto()  # its announced length
    PROBABLY_SHORT = auto()  # its class's answers of this size are short
    MAKES_PROGRESS = auto()  # probably long, and it pauses as before
    BACKEND_SILENT = auto()  # probably long, and its backend may hang for a moment
    ABANDONED = auto()  # its backend goes on answering others

    @property
    def is_awaited(self) -> bool:
        """Whether to wait for its end, as for that of a long one."""
        return self in (Overdue.LONG, Overdue.MAKES_PROGRESS, Overdue.BACKEND_SILENT)


class AwaitedRequest:
    """What is known of a request whose response is awaited; its attempts share it.

    ``trace``: its id, for the log. ``sizes``: of its class's answers. ``reached_bytes``: the most that
    came of the body in an attempt without a known length that failed. ``on_forwarded``: called when an answer
    begins to be forwarded before its end.
    """

    def __init__(
        self,
        trace: str = "",
        sizes: AnswerSizes | None = None,
        on_forwarded: Callable[[], None] = lambda: None,
    ) -> None:
        self.trace = trace
        self.on_forwarded = on_forwarded
        self.sizes = sizes or AnswerSizes()
        self.reached_bytes = 0


class ResponseWait:
    """The waiting for one response. Times are in seconds on the caller's clock.

    ``not_after``: when the attempt times out. ``may_retry``: another attempt is allowed after this one.
    ``on_begun``: called at the first byte. ``may_forward``: whether an incomplete response may be forwarded
    at the end, which a process that is about to exit could not complete.
    """

    def __init__(
        self,
        not_after: float,
        request: AwaitedRequest | None = None,
        *,
        may_retry: bool = False,
        on_begun: Callable[[], None] | None = None,
        may_forward: Callable[[], bool] = lambda: True,
    ) -> None:
        self.not_after = not_after
        self.request = request or AwaitedRequest()
        self.may_forward = may_forward
        self._on_begun = on_begun
        self._may_retry = may_retry
        self._progress = AnswerProgress(0.0, BackendActivity())
        self._began_at: float | None = None
        self._retry_at = not_after

    @property
    def answer_due_at(self) -> float:
        """When a short answer that is being forwarded has to end."""
        return self.not_after + ANSWER_GRACE

    def begin(self, now: float, backend: BackendActivity) -> None:
        """Note that the request is being sent to a backend, of which ``backend`` tells whether it answers."""
        self._progress = AnswerProgress(now, backend)

    def receive(self, now: float) -> None:
        """Note received bytes."""
        self._progress.receive(now)
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

    def next_step(self, state: ResponseState, body_bytes: int, now: float) -> NextStep:
        """Return what to do about the incomplete response at a time given by ``next_check_at``.

        ``body_bytes``: received so far, if its length is not known.
        """
        if state is ResponseState.ERROR:
            return NextStep.USE_HEAD
        if now < self.not_after - STREAMING_MARGIN:
            return NextStep.GIVE_UP if self._is_worth_a_retry(state, body_bytes, now) else NextStep.WAIT
        if state is not ResponseState.LENGTH_UNKNOWN or not self.may_forward():
            return NextStep.GIVE_UP
        return NextStep.STREAM

    def judge_overdue(self, length: int | None, body_bytes: int, now: float) -> Overdue:
        """Return what an incomplete answer of ``body_bytes`` so far counts as at ``answer_due_at``."""
        if length is not None:
            return Overdue.LONG if length > MAX_UNSTREAMED_BYTES else Overdue.SHORT
        if body_bytes > MAX_UNSTREAMED_BYTES:
            return Overdue.LONG
        if not self._is_probably_long(body_bytes):
            return Overdue.PROBABLY_SHORT
        if not self._progress.is_stalled(now):
            return Overdue.MAKES_PROGRESS
        # A backend that hangs resumes all its answers: its silence says nothing of this one.
        return Overdue.ABANDONED if self._progress.backend_answers_others() else Overdue.BACKEND_SILENT

    def note_failed(self, body_bytes: int) -> None:
        """Note that the attempt failed after ``body_bytes`` of a response without a known length."""
        self.request.reached_bytes = max(self.request.reached_bytes, body_bytes)

    def silence(self, now: float) -> float:
        """Return the seconds since the last received bytes."""
        return self._progress.silence(now)

    def _is_worth_a_retry(self, state: ResponseState, body_bytes: int, now: float) -> bool:
        if not self._may_retry or not self._is_stalled(now):
            return False
        if state is not ResponseState.LENGTH_UNKNOWN:
            return True
        return self.silence(now) >= MIN_RETRY_SILENCE and not self._is_probably_long(body_bytes)

    def _is_probably_long(self, body_bytes: int) -> bool:
        return self.request.sizes.is_probably_long(max(body_bytes, self.request.reached_bytes))

    def _is_stalled(self, now: float) -> bool:
        assert self._began_at is not None
        return self.silence(now) >= (now - self._began_at) * STALL_FRACTION
