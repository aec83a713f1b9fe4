"""The rules as a judge of a whole play sees them: it is told what clients, boxes and agents saw, by time.

From the protocol page's 'The rules on sockets' and the brief's list of rules. No socket, no clock; times are
seconds of one clock.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope
from cleatyoke.testbed.scenario import DeploymentTerms, PlanTerms, RequestKind

SLACK = 0.05  # seconds by which every limit in time is longer (protocol page)
LATE = 0.5  # seconds past its deadline up to which an answer only earns nothing (standing test's page)
OPEN_SLACK = 0.1  # seconds in which the end of an attempt may reach the stand-in after the next one's start


LIMIT_LATE = 0.15  # seconds of the limit by which its slack grows on sockets (protocol page)


@dataclass(slots=True)
class AttemptRecord:
    box: str
    began: float  # when its last byte came
    cell: int = 0  # of the box
    zone: str = ""
    ended: float | None = None
    ran: bool = False
    refused: bool = False  # the box said that it never ran


@dataclass(slots=True, frozen=True)
class RequestForm:
    """What of a request passes on unchanged (protocol page, Fronts to chunk servers)."""

    method: str
    target: str
    key: str | None
    body: bytes


@dataclass(slots=True)
class ClientRequestRecord:
    """One request of a client."""

    front: int
    volume: int
    kind: RequestKind
    units: float
    sent: float
    deadline: float
    form: RequestForm | None = None
    status: int | None = None
    answered: float | None = None
    excused: bool = False  # its front was killed, or it was never taken
    wait: float = 0.0  # seconds that its answer told it to stay away
    attempts: list[AttemptRecord] = field(default_factory=list)


class RuleChecker:
    """Collects what was seen and names each rule that is broken."""

    def __init__(self, plans: Sequence[PlanTerms], terms: DeploymentTerms, cold_slack: float = 2.0) -> None:
        """``plans``: of the volumes in turn. ``cold_slack``: units that chance may add at a cold box."""
        self.plans, self.terms, self.cold_slack = plans, terms, cold_slack
        self.probes = 0
        self.asked: dict[str, ClientRequestRecord] = {}
        self.told: dict[tuple[int, str], float] = {}  # front, box: since when it was told not to send there
        self.held: dict[tuple[int, str], float] = {}  # front, box: since when it has the hold, over its lives
        self.cold: dict[str, list[tuple[float, float, float]]] = defaultdict(list)  # box: when, units, bears
        self.faults: list[str] = []
        self.pauses: list[tuple[int, float, float]] = []  # front, from, to: its process was stopped
        self.pending: list[
            tuple[str, AttemptRecord, AttemptRecord]
        ] = []  # attempts that seem to be out at once

    # What is seen

    def took(self, trace: str, asked: ClientRequestRecord) -> None:
        self.asked[trace] = asked

    def answer(self, trace: str, status: int, body: bytes, at: float) -> None:
        one = self.asked[trace]
        if one.status is not None:
            self.faults.append(f"answers: {trace} got a second one")
        if status == 200 and not body.startswith(trace.encode() + b" "):
            self.faults.append(f"foreign: {trace} was served what no box made for it")
        one.status, one.answered = status, at

    def probe(self, box: str) -> None:
        self.probes += 1
        if not self.terms.probes:
            self.faults.append(f"probe: {box} was probed, which the settings do not allow")

    def attempt(
        self, trace: str, box: str, at: float, cell: int = 0, zone: str = "", form: RequestForm | None = None
    ) -> AttemptRecord:
        """A request whose last byte has come to a box."""
        made = AttemptRecord(box, at, cell, zone)
        if trace not in self.asked:
            self.faults.append(f"invented: {trace} came from no client")
            return made
        one = self.asked[trace]
        if form != one.form:
            self.faults.append(f"mangled: {trace} is not as its client sent it")
        for other in one.attempts:
            if other.ended is None or other.ended > at + OPEN_SLACK:
                self.overlaps(trace, other, made)
        one.attempts.append(made)
        for rule, known in (("drain", self.told), ("hold", self.held)):
            since = known.get((one.front, box), math.inf)
            if at > since + self.terms.drain_grace + SLACK and not self.stood(one.front, since, at):
                spent = f"{at - since:.2f} s after front {one.front} heard"
                self.faults.append(f"{rule}: {trace} reached {box} {spent}")
        return made

    def overlaps(self, trace: str, earlier: AttemptRecord, later: AttemptRecord) -> None:
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

    def holds(self, front: int, box: str, at: float | None) -> None:
        """A front has a hold by hand, which no list and no loss of power takes away; None: it is released."""
        if at is None:
            self.held.pop((front, box), None)
        else:
            self.held.setdefault((front, box), at)

    def killed(self, front: int, at: float) -> None:
        """What was open at a front that was killed outright is lost through no fault of its own."""
        for one in self.asked.values():
            if one.front == front and one.status is None:
                one.excused = True

    def paused(self, front: int, began: float, ended: float) -> None:
        """A front whose process was stopped can answer nothing, and hear nothing, meanwhile."""
        self.pauses.append((front, began, ended))

    def stood(self, front: int, began: float, ended: float) -> bool:
        return any(one == front and began <= to and ended >= since for one, since, to in self.pauses)

    # The verdict

    def broken(self, window: float) -> list[str]:
        """Each breach in a line that begins with its rule. ``window``: seconds of the rule on cold boxes."""
        out = list(self.faults)
        for trace, earlier, later in self.pending:
            if earlier.ended is None or earlier.ended > later.began + OPEN_SLACK:
                out.append(f"twice out: {trace} at {earlier.box} and {later.box}")
        for trace, one in self.asked.items():
            runs = sum(attempt.ran for attempt in one.attempts)
            if self.pauses and self.stood(one.front, one.sent, one.deadline + LATE):
                pass
            elif one.status is None and not one.excused:
                out.append(f"lost: {trace} of front {one.front} got no answer")
            elif one.answered is not None and one.answered > one.deadline + LATE:
                out.append(f"late: {trace} was answered {one.answered - one.deadline:.2f} s past its time")
            if len(one.attempts) > self.terms.attempts:
                out.append(f"attempts: {trace} was sent {len(one.attempts)} times")
            out += self.repeats(trace, one, runs)
        for box in self.cold:
            for total, bears in self.windows(box, window):
                if total > bears + self.cold_slack:
                    out.append(f"cold: {box} was sent {total:g} units in {window:g} s and bears {bears:.1f}")
                    break
        return out + self.passed_limits()

    def windows(self, box: str, window: float) -> Iterator[tuple[float, float]]:
        """For each request that came to a cold box: the units in the window that it ends, and what the box
        bears in one.
        """
        came, start, total = self.cold[box], 0, 0.0
        for at, units, bears in came:
            total += units
            while came[start][0] < at - window:
                total -= came[start][1]
                start += 1
            yield total, bears

    def most_cold(self, window: float) -> float:
        """The most that came to any cold box in a window, as a part of what it bears."""
        every = (total / bears for box in self.cold for total, bears in self.windows(box, window))
        return max(every, default=0.0)

    def repeats(self, trace: str, one: ClientRequestRecord, runs: int) -> list[str]:
        """The rule on duplicate effects: once an attempt may have run, a request of a class ``once`` goes
        nowhere, a keyed one to its group alone and within its window, and neither is told that trying again
        is harmless, unless every box drops the repeat.
        """
        kind, doubtful = one.kind, [made for made in one.attempts if not made.refused]
        if kind.repeat is Idempotency.IDEMPOTENT or not doubtful:
            return []
        out, first, later = [], doubtful[0], one.attempts[one.attempts.index(doubtful[0]) + 1 :]
        if kind.repeat is Idempotency.NOT_IDEMPOTENT:
            if runs > 1:
                out.append(f"repeated write: {trace} ran {runs} times")
            elif later:
                out.append(f"repeated write: {trace} was sent again after it may have run")
        else:
            for made in later:
                near = {
                    IdempotencyScope.ALL: True,
                    IdempotencyScope.ZONE: made.zone == first.zone,
                    IdempotencyScope.SHARD: made.cell == first.cell,
                }[kind.scope]
                if not near or made.began > first.began + kind.memory + SLACK:
                    where = f"{made.box} {made.began - first.began:.2f} s after {first.box}"
                    out.append(f"key: {trace} went to {where}, where its repeat is not dropped")
        if one.status in (429, 503) and not (
            kind.repeat is Idempotency.KEYED and kind.scope is IdempotencyScope.ALL
        ):
            out.append(f"refused write: {trace} may have run and was answered {one.status}")
        return out

    def passed_limits(self) -> list[str]:
        """Each volume's units, as they reached boxes, against a store that fills at the limit."""
        out: list[str] = []
        stores: dict[int, tuple[float, float]] = {}
        sends = sorted(
            (one.attempts[0].began, one.volume, one.units) for one in self.asked.values() if one.attempts
        )
        for at, volume, units in sends:
            plan = self.plans[volume % len(self.plans)]
            if not plan.limit:
                continue
            level, since = stores.get(volume, (plan.burst, at))
            level = min(plan.burst, level + plan.limit * (at - since)) - units
            stores[volume] = level, at
            if level < -(max(plan.slack, 0.1 * plan.burst) + LIMIT_LATE * plan.limit):
                out.append(f"limit: volume {volume} is {-level:.1f} units past its store at {at:.2f}")
                break
        return out
