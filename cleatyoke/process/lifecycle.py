"""State machine of the process's stages, from start to exit; no I/O and no clock.

    stage      event or condition                                      next stage           steps to carry out
    STARTING   the start has succeeded                                 SERVING              none
    STARTING   the start has succeeded after SIGTERM or SIGINT         ACCEPTING            none
    STARTING   the start is abandoned after SIGTERM or SIGINT          CLOSING              none
    SERVING    SIGTERM or SIGINT is received                           ACCEPTING            none
    ACCEPTING  ``file_service_closes`` has passed                      ACCEPTING            CLOSE_FILE_SERVICE
    ACCEPTING  ``accepting_ends`` has passed                           DRAINING             STOP_ACCEPTING
    DRAINING   nothing is open                                         CLOSING              RELEASE_RESOURCES
    DRAINING   ``answers_due`` has passed with something open          CLOSING              REPORT_UNANSWERED,
                                                                                            RELEASE_RESOURCES
    CLOSING    the caller has released all resources                   ENDED                none

A graceful shutdown is deliberately slow: new connections, which clients open for over 0.7 s after SIGTERM,
are served; accepted requests are answered; and the process exits before SIGKILL (protocol page, Figures: a
planned restart). The caller supplies the time and the number of open connections, and carries out the steps.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

# Seconds after SIGTERM for which connections are accepted: the 0.7 of the protocol page, plus a margin.
MIN_ACCEPTING_TIME = 0.75
ATTEMPTS_FOR_LAST_REQUEST = 2.0  # in shortest latency objectives: a first attempt and a retry
EXIT_MARGIN = 0.15  # seconds to release resources, write the last log line and exit
FLUSH_MARGIN = 0.05  # seconds of EXIT_MARGIN reserved for the last write to the disk


class Stage(Enum):
    """The stages of the process, in order. The values appear in the log."""

    STARTING = "starting"  # no client has been accepted; a fault ends the process
    SERVING = "serving"
    ACCEPTING = "accepting"  # shutdown requested; new connections and requests are still served
    DRAINING = "draining"  # no new connections; accepted requests are being answered
    CLOSING = "closing"  # all requests are answered, or the grace period has expired
    ENDED = "ended"


class ShutdownStep(Enum):
    """Steps for the caller to carry out. The values appear in the log."""

    CLOSE_FILE_SERVICE = "close_files"  # first, as file commands may take longer than HTTP requests
    STOP_ACCEPTING = "stop_accepting"
    REPORT_UNANSWERED = "abandon"  # the grace period has expired with connections open
    RELEASE_RESOURCES = "release"  # e.g. backend connections, discovery, marker; followed by ``finish``


class ExitStatus(Enum):
    """Exit statuses of the process (``docs/exits.md``)."""

    STOPPED = 0  # after a complete graceful shutdown
    FAULT = 1  # an unforeseen exception after the start
    START_FAILED = 2  # one line on standard error names the faulty key


@dataclass(slots=True, frozen=True)
class ShutdownDeadlines:
    """The deadlines of a graceful shutdown, in seconds after SIGTERM."""

    file_service_closes: float  # the file service stops accepting
    accepting_ends: float  # the HTTP listener stops accepting
    answers_due: float  # each accepted request is answered by then, or never

    @classmethod
    def from_grace_period(cls, grace_period: float, latency_objectives: Sequence[float]) -> ShutdownDeadlines:
        """Derive the deadlines from the seconds between SIGTERM and SIGKILL.

        Connections are accepted for as long as requests of the class with the shortest latency objective
        (seconds) can still be answered, as clients may have no other front to use. Slower requests have their
        deadline reduced to ``answers_due``, and are rejected immediately if they cannot meet it.
        """
        answers_due = max(MIN_ACCEPTING_TIME, grace_period - EXIT_MARGIN)
        last_request = ATTEMPTS_FOR_LAST_REQUEST * min(latency_objectives, default=0.0)
        return cls(
            file_service_closes=MIN_ACCEPTING_TIME,
            accepting_ends=max(MIN_ACCEPTING_TIME, answers_due - last_request),
            answers_due=answers_due,
        )


class Lifecycle:
    """Owns the process's stage and exit status. All times are in seconds of one clock."""

    def __init__(self, deadlines: ShutdownDeadlines) -> None:
        self.deadlines = deadlines
        self.stage = Stage.STARTING
        self.status = ExitStatus.START_FAILED  # the status if the process ended now
        self.shutdown_requested_at: float | None = None
        self.file_service_closed = False

    def start_serving(self) -> None:
        """Enter SERVING, or ACCEPTING if a shutdown was requested during the start.

        Its deadlines count from the signal, not from the end of the start.
        """
        if self.stage is not Stage.STARTING:
            return
        self.stage = Stage.SERVING if self.shutdown_requested_at is None else Stage.ACCEPTING
        self.status = ExitStatus.FAULT

    def abandon_start(self) -> None:
        """Enter CLOSING directly if a shutdown was requested before any client was accepted."""
        if self.stage is Stage.STARTING and self.shutdown_requested_at is not None:
            self.stage = Stage.CLOSING

    def request_shutdown(self, now: float) -> bool:
        """Handle SIGTERM or SIGINT; return whether it is the first. Further signals have no effect."""
        if self.shutdown_requested_at is not None:
            return False
        self.shutdown_requested_at = now
        if self.stage is Stage.SERVING:
            self.stage = Stage.ACCEPTING
        return True

    def set_deadlines(self, deadlines: ShutdownDeadlines) -> None:
        """Replace the deadlines after a reload; a shutdown in progress keeps its own."""
        if self.shutdown_requested_at is None:
            self.deadlines = deadlines

    def answers_due_at(self) -> float:
        """Return when all answers are due, whatever their own deadlines; infinite before a shutdown."""
        if self.shutdown_requested_at is None:
            return math.inf
        return self.shutdown_requested_at + self.deadlines.answers_due

    def flush_due_at(self) -> float:
        """Return the deadline for the last write to the disk; infinite before a shutdown."""
        return self.answers_due_at() + FLUSH_MARGIN

    def step(self, now: float, connections: int, *, file_service_is_closing: bool) -> list[ShutdownStep]:
        """Return the steps that have become due, each once; ``connections``: the number still open."""
        if self.shutdown_requested_at is None:
            return []
        elapsed = now - self.shutdown_requested_at
        if self.stage is Stage.ACCEPTING:
            return self._step_accepting(elapsed)
        if self.stage is Stage.DRAINING:
            return self._step_draining(elapsed, has_open=connections > 0 or file_service_is_closing)
        return []

    def _step_accepting(self, elapsed: float) -> list[ShutdownStep]:
        steps = []
        if elapsed >= self.deadlines.file_service_closes and not self.file_service_closed:
            self.file_service_closed = True
            steps.append(ShutdownStep.CLOSE_FILE_SERVICE)
        if elapsed >= self.deadlines.accepting_ends:
            self.stage = Stage.DRAINING
            steps.append(ShutdownStep.STOP_ACCEPTING)
        return steps

    def _step_draining(self, elapsed: float, *, has_open: bool) -> list[ShutdownStep]:
        if has_open and elapsed < self.deadlines.answers_due:
            return []
        self.stage = Stage.CLOSING
        if has_open:
            return [ShutdownStep.REPORT_UNANSWERED, ShutdownStep.RELEASE_RESOURCES]
        return [ShutdownStep.RELEASE_RESOURCES]

    def next_step_at(self) -> float:
        """Return when the next step is due even if no connection closes; infinite if none depends on time."""
        if self.shutdown_requested_at is None:
            return math.inf
        if self.stage is Stage.DRAINING:
            return self.answers_due_at()
        if self.stage is not Stage.ACCEPTING:
            return math.inf
        deadlines = self.deadlines
        if self.file_service_closed:
            return self.shutdown_requested_at + deadlines.accepting_ends
        return self.shutdown_requested_at + min(deadlines.file_service_closes, deadlines.accepting_ends)

    def finish(self) -> None:
        """Enter ENDED after all resources are released; the process may exit with ``status``."""
        if self.stage is Stage.CLOSING:
            self.stage = Stage.ENDED
            self.status = ExitStatus.STOPPED
