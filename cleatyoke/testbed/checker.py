"""The rules of a scenario run: collects what clients, backends and agents saw, and names each rule broken.

The rules are those of the protocol page, "The rules on sockets". Nothing here opens a socket or reads a
clock: every time is given by the caller, in seconds of one clock.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope
from cleatyoke.testbed.scenario import DeploymentTerms, PlanTerms, RequestClassTerms

TIME_SLACK_S = 0.05  # by which every time limit is longer (protocol page)
MAX_LATENESS_S = 0.5  # past its deadline, up to which an answer is only worthless, not a violation
OVERLAP_SLACK_S = 0.1  # by which the end of an attempt may be seen after the next one's start
LIMIT_SLACK_S = 0.15  # of a volume's rate limit, by which its burst slack grows on sockets (protocol page)
LIMIT_SLACK_SHARE = 0.1  # of a volume's burst, the least slack of its rate limit


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a request, as the backend that received it saw it."""

    backend: str
    arrived_at: float  # when its last byte came
    shard: int = 0  # of the backend
    zone: str = ""  # of the backend
    ended_at: float | None = None
    executed: bool = False
    rejected: bool = False  # the backend proved that it never executed


@dataclass(slots=True, frozen=True)
class RequestContent:
    """The parts of a request that a front forwards unchanged (protocol page, Fronts to chunk servers)."""

    method: str
    target: str
    idempotency_key: str | None
    body: bytes


@dataclass(slots=True)
class ClientRequestRecord:
    """One request of a client, with its answer and the attempts it caused."""

    front: int
    volume: int
    request_class: RequestClassTerms
    units: float
    sent_at: float
    deadline: float
    content: RequestContent | None = None
    status: int | None = None
    answered_at: float | None = None
    excused: bool = False  # its front was killed, or it was never accepted
    retry_after: float = 0.0  # seconds, from the answer; 0 where the answer has none
    attempts: list[AttemptRecord] = field(default_factory=list)


class RuleChecker:
    """Collects the events of a run (``on_...`` methods) and names the rules they break."""

    def __init__(
        self, plans: Sequence[PlanTerms], terms: DeploymentTerms, warm_up_slack: float = 2.0
    ) -> None:
        """Start with nothing seen.

        ``plans`` are those of the volumes in turn. ``warm_up_slack`` is how many units chance may add in a
        window at a backend that warms up.
        """
        self.plans = plans
        self.terms = terms
        self.warm_up_slack = warm_up_slack
        self.probe_count = 0
        self.requests: dict[str, ClientRequestRecord] = {}  # by trace id
        # By backend: time, units, and the units that it bears in a window at that time.
        self.warm_up_arrivals: dict[str, list[tuple[float, float, float]]] = defaultdict(list)
        self.violations: list[str] = []
        # By front and backend: since when the front knows that it must not send there.
        self._draining_since: dict[tuple[int, str], float] = {}
        self._held_since: dict[tuple[int, str], float] = {}  # outlives restarts of the front
        self._front_pauses: list[tuple[int, float, float]] = []  # front, from, to
        self._possible_overlaps: list[tuple[str, AttemptRecord, AttemptRecord]] = []

    def on_request(self, trace: str, request: ClientRequestRecord) -> None:
        """A client is about to send a request."""
        self.requests[trace] = request

    def on_answer(self, trace: str, status: int, body: bytes, at: float) -> None:
        """A client received a complete answer."""
        request = self.requests[trace]
        if request.status is not None:
            self.violations.append(f"answers: {trace} got a second one")
        if status == 200 and not body.startswith(trace.encode() + b" "):
            self.violations.append(f"foreign: {trace} was served what no box made for it")
        request.status = status
        request.answered_at = at

    def on_probe(self, backend: str) -> None:
        """A backend received a load probe."""
        self.probe_count += 1
        if not self.terms.probes:
            self.violations.append(f"probe: {backend} was probed, which the settings do not allow")

    def on_attempt(  # noqa: PLR0913 (what a backend sees of an attempt)
        self,
        trace: str,
        backend: str,
        at: float,
        shard: int = 0,
        zone: str = "",
        content: RequestContent | None = None,
    ) -> AttemptRecord:
        """The last byte of an attempt reached a backend; the caller fills in the record as it goes on."""
        attempt = AttemptRecord(backend, at, shard, zone)
        if trace not in self.requests:
            self.violations.append(f"invented: {trace} came from no client")
            return attempt
        request = self.requests[trace]
        if content != request.content:
            self.violations.append(f"mangled: {trace} is not as its client sent it")
        for other in request.attempts:
            if other.ended_at is None or other.ended_at > at + OVERLAP_SLACK_S:
                self._possible_overlaps.append((trace, other, attempt))
        request.attempts.append(attempt)
        self._check_excluded_backend(trace, request.front, attempt)
        return attempt

    def on_warm_up_arrival(self, backend: str, at: float, units: float, bearable: float) -> None:
        """Units reached a warming backend, which at that time bears ``bearable`` units in a window."""
        self.warm_up_arrivals[backend].append((at, units, bearable))

    def on_drain_notice(self, front: int, backend: str, at: float | None) -> None:
        """A front was notified that a backend takes no more requests; None: that it takes them again."""
        if at is None:
            self._draining_since.pop((front, backend), None)
        else:
            self._draining_since.setdefault((front, backend), at)

    def on_hold(self, front: int, backend: str, at: float | None) -> None:
        """A front has an operator's hold on a backend; None: the hold is released.

        No endpoint list and no loss of power takes a hold away.
        """
        if at is None:
            self._held_since.pop((front, backend), None)
        else:
            self._held_since.setdefault((front, backend), at)

    def on_front_killed(self, front: int, at: float) -> None:  # noqa: ARG002 (as the other events have it)
        """A front was killed outright: requests open there may stay without an answer."""
        for request in self.requests.values():
            if request.front == front and request.status is None:
                request.excused = True

    def on_client_left(self, trace: str) -> None:
        """A client ended its connection while its request waited: it is owed no answer."""
        if trace in self.requests:
            self.requests[trace].excused = True

    def on_front_paused(self, front: int, began: float, ended: float) -> None:
        """A front's process was stopped for a while, in which it could neither answer nor receive."""
        self._front_pauses.append((front, began, ended))

    def find_violations(self, window: float) -> list[str]:
        """Return each violation as a line that begins with its rule and a colon.

        ``window`` is the length in seconds of the window of the rule on backends that warm up.
        """
        found = list(self.violations)
        found += self._check_overlaps()
        for trace, request in self.requests.items():
            found += self._check_answer_time(trace, request)
            if len(request.attempts) > self.terms.max_attempts:
                found.append(f"attempts: {trace} was sent {len(request.attempts)} times")
            found += self._check_duplicates(trace, request)
        found += self._check_warm_up(window)
        found += self._check_rate_limits()
        return found

    def max_warm_up_load(self, window: float) -> float:
        """Return the largest load of a warming backend in a window, as a fraction of what it bears."""
        loads = (
            total / bearable
            for backend in self.warm_up_arrivals
            for total, bearable in self._warm_up_windows(backend, window)
        )
        return max(loads, default=0.0)

    def _check_excluded_backend(self, trace: str, front: int, attempt: AttemptRecord) -> None:
        """No attempt reaches a backend later than the drain grace after its front was notified."""
        at = attempt.arrived_at
        for rule, known in (("drain", self._draining_since), ("hold", self._held_since)):
            since = known.get((front, attempt.backend), math.inf)
            if at <= since + self.terms.drain_grace + TIME_SLACK_S:
                continue
            if self._was_paused(front, since, at):
                continue
            delay = f"{at - since:.2f} s after front {front} heard"
            self.violations.append(f"{rule}: {trace} reached {attempt.backend} {delay}")

    def _was_paused(self, front: int, began: float, ended: float) -> bool:
        """Whether the front's process was stopped at some time in that interval."""
        return any(
            paused == front and began <= resumed_at and ended >= paused_at
            for paused, paused_at, resumed_at in self._front_pauses
        )

    def _check_overlaps(self) -> Iterator[str]:
        """A request has one attempt at a time; decided late, as an end may be seen after the next start."""
        for trace, earlier, later in self._possible_overlaps:
            if earlier.ended_at is None or earlier.ended_at > later.arrived_at + OVERLAP_SLACK_S:
                yield f"twice out: {trace} at {earlier.backend} and {later.backend}"

    def _check_answer_time(self, trace: str, request: ClientRequestRecord) -> Iterator[str]:
        """Every request is answered, in time, unless its front was killed or stopped meanwhile."""
        latest = request.deadline + MAX_LATENESS_S
        if self._was_paused(request.front, request.sent_at, latest):
            return
        if request.status is None and not request.excused:
            yield f"lost: {trace} of front {request.front} got no answer"
        elif request.answered_at is not None and request.answered_at > latest:
            yield f"late: {trace} was answered {request.answered_at - request.deadline:.2f} s past its time"

    def _check_duplicates(self, trace: str, request: ClientRequestRecord) -> Iterator[str]:
        """A request that may have executed takes effect once.

        After such an attempt, a request that is not idempotent goes nowhere again, and one with an
        idempotency key only to backends that drop its repeat, within their memory. Neither is answered with a
        status that invites a retry, unless every backend drops the repeat.
        """
        request_class = request.request_class
        doubtful = [attempt for attempt in request.attempts if not attempt.rejected]
        if request_class.idempotency is Idempotency.IDEMPOTENT or not doubtful:
            return
        later = request.attempts[request.attempts.index(doubtful[0]) + 1 :]
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            executions = sum(attempt.executed for attempt in request.attempts)
            if executions > 1:
                yield f"repeated write: {trace} ran {executions} times"
            elif later:
                yield f"repeated write: {trace} was sent again after it may have run"
        else:
            yield from self._check_keyed_retries(trace, request_class, doubtful[0], later)
        dropped_everywhere = (
            request_class.idempotency is Idempotency.KEYED and request_class.scope is IdempotencyScope.ALL
        )
        if request.status in (429, 503) and not dropped_everywhere:
            yield f"refused write: {trace} may have run and was answered {request.status}"

    def _check_keyed_retries(
        self,
        trace: str,
        request_class: RequestClassTerms,
        first: AttemptRecord,
        later: Sequence[AttemptRecord],
    ) -> Iterator[str]:
        """Attempts after ``first`` stay where, and while, its idempotency key is remembered."""
        forgotten_at = first.arrived_at + request_class.key_memory + TIME_SLACK_S
        for attempt in later:
            if _shares_keys(request_class.scope, first, attempt) and attempt.arrived_at <= forgotten_at:
                continue
            delay = attempt.arrived_at - first.arrived_at
            where = f"{attempt.backend} {delay:.2f} s after {first.backend}"
            yield f"key: {trace} went to {where}, where its repeat is not dropped"

    def _check_warm_up(self, window: float) -> Iterator[str]:
        """No backend that warms up receives more in a window than it bears; named once for a backend."""
        for backend in self.warm_up_arrivals:
            for total, bearable in self._warm_up_windows(backend, window):
                if total > bearable + self.warm_up_slack:
                    yield (
                        f"cold: {backend} was sent {total:g} units in {window:g} s and bears {bearable:.1f}"
                    )
                    break

    def _warm_up_windows(self, backend: str, window: float) -> Iterator[tuple[float, float]]:
        """For each arrival: the units in the window that it ends, and what the backend bears in one."""
        arrivals = self.warm_up_arrivals[backend]
        start = 0
        total = 0.0
        for at, units, bearable in arrivals:
            total += units
            while arrivals[start][0] < at - window:
                total -= arrivals[start][1]
                start += 1
            yield total, bearable

    def _check_rate_limits(self) -> Iterator[str]:
        """Each volume's first attempts stay within a token bucket of its plan; the first breach is named."""
        buckets: dict[int, tuple[float, float]] = {}  # by volume: level in units, and when
        arrivals = sorted(
            (request.attempts[0].arrived_at, request.volume, request.units)
            for request in self.requests.values()
            if request.attempts
        )
        for at, volume, units in arrivals:
            plan = self.plans[volume % len(self.plans)]
            if not plan.limit:
                continue
            level, since = buckets.get(volume, (plan.burst, at))
            level = min(plan.burst, level + plan.limit * (at - since)) - units
            buckets[volume] = level, at
            slack = max(plan.slack, LIMIT_SLACK_SHARE * plan.burst) + LIMIT_SLACK_S * plan.limit
            if level < -slack:
                yield f"limit: volume {volume} is {-level:.1f} units past its store at {at:.2f}"
                return


def _shares_keys(scope: IdempotencyScope, first: AttemptRecord, later: AttemptRecord) -> bool:
    """Whether the second attempt's backend drops a repeat of the first one."""
    if scope is IdempotencyScope.ZONE:
        return later.zone == first.zone
    if scope is IdempotencyScope.SHARD:
        return later.shard == first.shard
    return True
