"""The life of the process, from its start to its exit, as a state machine without input, output or clock.

SIGTERM is no end but the start of one: for over 0.7 s new connections keep coming and are served, what was
taken is answered, and the exit comes before SIGKILL (protocol page, Figures: a planned restart). The caller
brings the time and what is open, and carries out the orders it gets; it decides nothing.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

LINGER = 0.75  # seconds after SIGTERM in which everything is accepted at the least: the page's 0.7, and slack
ANSWERS = 2.0  # times the shortest aim: what is kept for what is taken last, a first try and another one
EXIT = 0.15  # seconds kept for the exit itself: the last log line and Python's own end, no setting's


class Stage(Enum):
    STARTING = "starting"  # a fault here ends the process: nobody was promised anything yet
    SERVING = "serving"
    ACCEPTING = "accepting"  # SIGTERM was taken: all is served, and new connections too
    DRAINING = "draining"  # nothing new is accepted; what was taken is being answered
    CLOSING = "closing"  # all is answered, or the time has run out
    ENDED = "ended"


class Order(Enum):
    """What the caller is to do, in the order given."""

    CLOSE_FILES = "close_files"  # the file front: its commands may take longer than the listener's requests
    STOP_ACCEPTING = "stop_accepting"
    ABANDON = "abandon"  # time ran out with something open: say so
    RELEASE = "release"  # box connections, discovery, marks; then ``released``


class Status(Enum):
    """Exit statuses of the process."""

    LEFT = 0  # SIGTERM or SIGINT was taken and carried out
    FAULT = 1  # an exception that nothing foresaw while the process served: never expected
    START = 2  # a fault at the start; one line names the key


@dataclass(slots=True, frozen=True)
class Notice:
    """When what has to happen, in seconds after SIGTERM."""

    files: float  # the file front stops accepting
    accept: float  # the listener does
    last: float  # everything is answered, or never will be

    @classmethod
    def of(cls, notice: float, aims: Sequence[float]) -> Notice:
        """``notice``: seconds from SIGTERM to SIGKILL. ``aims``: of the classes, in seconds. Accepting goes
        on for as long as the quickest class can still be answered, as clients could come back by no other;
        what takes longer has its deadline cut to ``last``, and is refused at once where it cannot meet it.
        """
        last = max(LINGER, notice - EXIT)
        return cls(LINGER, max(LINGER, last - ANSWERS * min(aims, default=0.0)), last)


class Lifecycle:
    """The one who knows whether the process starts, serves, leaves or is over, and with which status."""

    def __init__(self, notice: Notice) -> None:
        self.notice, self.stage, self.status = notice, Stage.STARTING, Status.START
        self.asked_at = math.inf
        self.files_told = False

    def serves(self) -> None:
        """The start is over. A SIGTERM that came amid it counts from when it came."""
        if self.stage is Stage.STARTING:
            self.stage, self.status = Stage.SERVING, Status.FAULT
            if self.asked_at < math.inf:
                self.stage = Stage.ACCEPTING

    def asked(self, now: float) -> bool:
        """SIGTERM or SIGINT; whether it is the first. A further one neither hastens nor delays anything."""
        if self.asked_at < math.inf:
            return False
        self.asked_at = now
        if self.stage is Stage.SERVING:
            self.stage = Stage.ACCEPTING
        return True

    def retime(self, notice: Notice) -> None:
        """Settings have changed, and with them the notice; a leaving that has begun keeps its own."""
        if self.asked_at == math.inf:
            self.notice = notice

    def last_answer(self) -> float:
        """By when each answer is due, whatever its own deadline; infinite while nobody asked to leave."""
        return self.asked_at + self.notice.last

    def step(self, now: float, connections: int, files: int) -> list[Order]:
        """What is due by now, with so many client connections and file sessions open."""
        orders: list[Order] = []
        left = now - self.asked_at
        if self.stage is Stage.ACCEPTING and left >= self.notice.files and not self.files_told:
            self.files_told = True
            orders.append(Order.CLOSE_FILES)
        if self.stage is Stage.ACCEPTING and left >= self.notice.accept:
            self.stage = Stage.DRAINING
            orders.append(Order.STOP_ACCEPTING)
        elif self.stage is Stage.DRAINING and (left >= self.notice.last or not connections + files):
            if connections + files:
                orders.append(Order.ABANDON)
            self.stage = Stage.CLOSING
            orders.append(Order.RELEASE)
        return orders

    def next_at(self) -> float:
        """When a step is due even if nothing ends; infinite while no time decides."""
        match self.stage:
            case Stage.ACCEPTING if not self.files_told:
                return self.asked_at + min(self.notice.files, self.notice.accept)
            case Stage.ACCEPTING:
                return self.asked_at + self.notice.accept
            case Stage.DRAINING:
                return self.asked_at + self.notice.last
        return math.inf

    def released(self) -> None:
        """Everything that was held is given back; the process may exit, with ``status``."""
        if self.stage is Stage.CLOSING:
            self.stage, self.status = Stage.ENDED, Status.LEFT
