"""How an answer has arrived so far, and whether its backend answers others meanwhile. No I/O, no clock."""

from __future__ import annotations

MIN_STALL = 0.4  # seconds of silence, below which an answer never counts as stalled
# A silence of this multiple of the longest pause so far counts as a stall: pauses of one answer are alike.
STALL_PAUSES = 3.0
MIN_ACTIVITY = 0.1  # seconds: bytes that a backend wrote together may be read one after the other


class BackendActivity:
    """When a backend last wrote anything, on any connection. Times are in seconds on the caller's clock."""

    def __init__(self) -> None:
        self.last_received_at = float("-inf")


class AnswerProgress:
    """The pauses within one answer, the wait for its first byte included.

    ``sent_at``: when its request was sent. Times are in seconds on the caller's clock.
    """

    def __init__(self, sent_at: float, backend: BackendActivity) -> None:
        self._backend = backend
        self._last_received_at = sent_at
        self._longest_pause = 0.0

    def receive(self, now: float) -> None:
        """Note received bytes."""
        self._longest_pause = max(self._longest_pause, self.silence(now))
        self._last_received_at = now
        self._backend.last_received_at = now

    def silence(self, now: float) -> float:
        """Return the seconds since the last received bytes."""
        return now - self._last_received_at

    def is_stalled(self, now: float) -> bool:
        """Whether the answer has been silent for longer than its earlier pauses lead one to expect."""
        return self.silence(now) > max(MIN_STALL, STALL_PAUSES * self._longest_pause)

    def backend_answers_others(self) -> bool:
        """Whether the backend has written on other connections since this answer fell silent."""
        return self._backend.last_received_at > self._last_received_at + MIN_ACTIVITY
