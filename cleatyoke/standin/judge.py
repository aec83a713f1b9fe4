"""The rules as a judge of a whole play sees them: it is told what clients, boxes and agents saw, by time.

From the protocol page's 'The rules on sockets' and the brief's list of rules. No socket, no clock; times are
seconds of one clock.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

SLACK = 0.05  # seconds by which every limit in time is longer (protocol page)
LATE = 0.5  # seconds past its deadline up to which an answer only earns nothing (standing test's page)
TOLD = 1.0  # seconds after which nothing goes to a box that drains
MOST_ATTEMPTS = 4
OPEN_SLACK = 0.1  # seconds in which the end of an attempt may reach the stand-in after the next one's start


@dataclass(slots=True)
class Attempt:
    box: str
    began: float
    ended: float | None = None
    ran: bool = False
    refused: bool = False  # the box said that it never ran


@dataclass(slots=True)
class Asked:
    """One request of a client."""

    front: int
    volume: int
    write: bool
    units: float
    sent: float
    deadline: float
    status: int | None = None
    answered: float | None = None
    excused: bool = False  # its front was killed, or it was never taken
    attempts: list[Attempt] = field(default_factory=list)


class Judge:
    """Collects what was seen and names each rule that is broken."""

    def __init__(self, limit: float, burst: float, slack: float) -> None:
        self.limit, self.burst, self.slack = limit, burst, slack
        self.asked: dict[str, Asked] = {}
        self.told: dict[tuple[int, str], float] = {}  # front, box: since when it was told not to send there
        self.cold: dict[str, list[tuple[float, float, float]]] = defaultdict(list)  # box: when, units, bears
        self.faults: list[str] = []
        self.pending: list[tuple[str, Attempt, Attempt]] = []  # attempts that seem to be out at once

    # What is seen

    def took(self, trace: str, asked: Asked) -> None:
        self.asked[trace] = asked

    def answer(self, trace: str, status: int, body: bytes, at: float) -> None:
        one = self.asked[trace]
        if one.status is not None:
            self.faults.append(f"answers: {trace} got a second one")
        if status == 200 and not body.startswith(trace.encode() + b" "):
            self.faults.append(f"foreign: {trace} was served what no box made for it")
        one.status, one.answered = status, at

    def attempt(self, trace: str, box: str, at: float) -> Attempt:
        """A request whose last byte has come to a box."""
        made = Attempt(box, at)
        if trace not in self.asked:
            self.faults.append(f"invented: {trace} came from no client")
            return made
        one = self.asked[trace]
        for other in one.attempts:
            if other.ended is None or other.ended > at + OPEN_SLACK:
                self.overlaps(trace, other, made)
        one.attempts.append(made)
        since = self.told.get((one.front, box))
        if since is not None and at > since + TOLD + SLACK:
            spent = f"{at - since:.2f} s after front {one.front} heard"
            self.faults.append(f"drain: {trace} reached {box} {spent}")
        return made

    def overlaps(self, trace: str, earlier: Attempt, later: Attempt) -> None:
        """Decided at the end, as an end may be seen after the next start."""
        self.pending.append((trace, earlier, later))

    def bears(self, box: str, at: float, units: float, bears: float) -> None:
        """Units that came to a cold box, and what it bears at that moment within its window."""
        self.cold[box].append((at, units, bears))

    def drains(self, front: int, box: str, at: float | None) -> None:
        """A front was told that it must not send to a box, or with None that it may again."""
        if at is None:
            self.told.pop((front, box), None)
        else:
            self.told.setdefault((front, box), at)

    def killed(self, front: int, at: float) -> None:
        """What was open at a front that was killed outright is lost through no fault of its own."""
        for one in self.asked.values():
            if one.front == front and one.status is None:
                one.excused = True

    # The verdict

    def broken(self, window: float) -> list[str]:
        """Each breach in a line that begins with its rule. ``window``: seconds of the rule on cold boxes."""
        out = list(self.faults)
        for trace, earlier, later in self.pending:
            if earlier.ended is None or earlier.ended > later.began + OPEN_SLACK:
                out.append(f"twice out: {trace} at {earlier.box} and {later.box}")
        for trace, one in self.asked.items():
            runs = sum(attempt.ran for attempt in one.attempts)
            if one.status is None and not one.excused:
                out.append(f"lost: {trace} of front {one.front} got no answer")
            elif one.answered is not None and one.answered > one.deadline + LATE:
                out.append(f"late: {trace} was answered {one.answered - one.deadline:.2f} s past its time")
            if len(one.attempts) > MOST_ATTEMPTS:
                out.append(f"attempts: {trace} was sent {len(one.attempts)} times")
            if one.write and runs > 1:
                out.append(f"repeated write: {trace} ran {runs} times")
            if one.write and one.status in (429, 503) and any(not made.refused for made in one.attempts):
                out.append(f"refused write: {trace} may have run and was answered {one.status}")
        for box, came in self.cold.items():
            start, total = 0, 0.0
            for at, units, bears in came:
                total += units
                while came[start][0] < at - window:
                    total -= came[start][1]
                    start += 1
                if total > bears + self.slack:
                    out.append(f"cold: {box} was sent {total:g} units in {window:g} s and bears {bears:.1f}")
                    break
        return out + self.passed_limits()

    def passed_limits(self) -> list[str]:
        """Each volume's units, as they reached boxes, against a store that fills at the limit."""
        if not self.limit:
            return []
        out: list[str] = []
        stores: dict[int, tuple[float, float]] = {}
        sends = sorted(
            (one.attempts[0].began, one.volume, one.units) for one in self.asked.values() if one.attempts
        )
        for at, volume, units in sends:
            if volume % 2:
                continue  # on the plan without a limit
            level, since = stores.get(volume, (self.burst, at))
            level = min(self.burst, level + self.limit * (at - since)) - units
            stores[volume] = level, at
            if level < -(max(self.slack, 0.1 * self.burst) + 0.15 * self.limit):
                out.append(f"limit: volume {volume} is {-level:.1f} units past its store")
                break
        return out
