"""The stages of the process, from start to exit, as a state machine, without I/O or a clock.

    stage      leaves it when                                          step given to the caller
    STARTING   the start has succeeded                                 none
    STARTING   the start was abandoned for a shutdown: CLOSING          none
    SERVING    SIGTERM or SIGINT came                                  none
    ACCEPTING  ``file_service_closes`` has passed: no new stage        CLOSE_FILE_SERVICE
    ACCEPTING  ``accepting_ends`` has passed                           STOP_ACCEPTING
    DRAINING   nothing is open, or ``answers_due`` has passed          REPORT_UNANSWERED, RELEASE_RESOURCES
    CLOSING    the caller has released everything                      none
    ENDED      never

A graceful shutdown takes time on purpose: after SIGTERM new connections keep coming for over 0.7 s and are
served, accepted requests are answered, and the process exits before SIGKILL (protocol page, Figures: a
planned restart). The caller brings the time and the number of open connections, and carries out the steps.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

MIN_ACCEPTING_TIME = (
    0.75  # seconds after SIGTERM in which all connections are accepted: the page's 0.7, and slack
)
ATTEMPTS_FOR_LAST_REQUEST = 2.0  # a first attempt and a retry, of the shortest latency objective each
EXIT_MARGIN = 0.15  # seconds for the exit itself: release, the last log line and the end of the process
FLUSH_MARGIN = 0.05  # seconds of the exit margin for the last write to the disk


class Stage(Enum):
    """The stages of the process, in order; the values are logged."""

    STARTING = "starting"  # a fault ends the process: no client has been accepted yet
    SERVING = "serving"
    ACCEPTING = "accepting"  # shutdown was requested; requests and new connections are still served
    DRAINING = "draining"  # nothing new is accepted; accepted requests are being answered
    CLOSING = "closing"  # everything is answered, or the grace period has run out
    ENDED = "ended"


class ShutdownStep(Enum):
    """What the caller is to do next; the values are logged where a step fails."""

    CLOSE_FILE_SERVICE = "close_files"  # earlier, as its commands may take longer than HTTP requests
    STOP_ACCEPTING = "stop_accepting"
    REPORT_UNANSWERED = "abandon"  # the grace period ran out with something open
    RELEASE_RESOURCES = "release"  # backend connections, discovery, markers; then ``finish``


class ExitStatus(Enum):
    """Exit statuses of the process (``docs/exits.md``)."""

    STOPPED = 0  # a graceful shutdown was requested and carried out
    FAULT = 1  # an unforeseen exception while the process served; never expected
    START_FAILED = 2  # one line on standard error names the key


@dataclass(slots=True, frozen=True)
class ShutdownDeadlines:
    """The deadlines of a graceful shutdown, in seconds after SIGTERM."""

    file_service_closes: float  # the file service stops accepting
    accepting_ends: float  # the HTTP listener stops accepting
    answers_due: float  # every accepted request is answered, or never will be

    @classmethod
    def from_grace_period(cls, grace_period: float, latency_objectives: Sequence[float]) -> ShutdownDeadlines:
        """Derive the deadlines from the seconds between SIGTERM and SIGKILL.

        Connections are accepted for as long as the class with the shortest latency objective (seconds) can
        still be answered, as clients may have no other front to go to. Slower requests have their deadline
        cut to ``answers_due``, and are rejected at once where they cannot meet it.
        """
        answers_due = max(MIN_ACCEPTING_TIME, grace_period - EXIT_MARGIN)
        last_request = ATTEMPTS_FOR_LAST_REQUEST * min(latency_objectives, default=0.0)
        return cls(
            file_service_closes=MIN_ACCEPTING_TIME,
            accepting_ends=max(MIN_ACCEPTING_TIME, answers_due - last_request),
            answers_due=answers_due,
        )


class Lifecycle:
    """The one owner of the stage of the process and of its exit status. Times are seconds of one clock."""

    def __init__(self, deadlines: ShutdownDeadlines) -> None:
        self.deadlines = deadlines
        self.stage = Stage.STARTING
        self.status = ExitStatus.START_FAILED  # if the process ended now
        self.shutdown_requested_at: float | None = None
        self.file_service_closed = False

    def start_serving(self) -> None:
        """The start has succeeded. A signal that came before counts from when it came."""
        if self.stage is not Stage.STARTING:
            return
        self.stage = Stage.SERVING if self.shutdown_requested_at is None else Stage.ACCEPTING
        self.status = ExitStatus.FAULT

    def abandon_start(self) -> None:
        """A shutdown was requested before any client was accepted: nothing is owed to anybody."""
        if self.stage is Stage.STARTING and self.shutdown_requested_at is not None:
            self.stage = Stage.CLOSING

    def request_shutdown(self, now: float) -> bool:
        """SIGTERM or SIGINT came; return whether it is the first. Further ones change nothing."""
        if self.shutdown_requested_at is not None:
            return False
        self.shutdown_requested_at = now
        if self.stage is Stage.SERVING:
            self.stage = Stage.ACCEPTING
        return True

    def set_deadlines(self, deadlines: ShutdownDeadlines) -> None:
        """Use other deadlines after a reload; a shutdown that has begun keeps its own."""
        if self.shutdown_requested_at is None:
            self.deadlines = deadlines

    def answers_due_at(self) -> float:
        """Return when each answer is due, whatever its own deadline; infinite before a shutdown."""
        if self.shutdown_requested_at is None:
            return math.inf
        return self.shutdown_requested_at + self.deadlines.answers_due

    def flush_due_at(self) -> float:
        """Return until when the exit may wait for the disk; infinite before a shutdown."""
        return self.answers_due_at() + FLUSH_MARGIN

    def step(self, now: float, connections: int, *, file_service_is_closing: bool) -> list[ShutdownStep]:
        """Return the steps that are due, each once; ``connections``: those still open."""
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
        """Return when a step is due even if nothing is closed by then; infinite while no time decides."""
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
        """Everything is released; the process may exit with ``status``."""
        if self.stage is Stage.CLOSING:
            self.stage = Stage.ENDED
            self.status = ExitStatus.STOPPED
