"""The rules of a scenario run, checked on what clients, backends and discovery agents observed.

The rules are those of the protocol page, "The rules on sockets". Nothing here opens a socket or reads a
clock: the caller passes every time, in seconds of one clock.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope
from cleatyoke.testbed.scenario import DeploymentTerms, PlanTerms, RequestClassTerms

TIME_SLACK_S = 0.05  # tolerance added to every time limit (protocol page)
MAX_LATENESS_S = 0.5  # after the deadline, within which an answer has no value but is no violation
OVERLAP_SLACK_S = 0.1  # by which the end of an attempt may be observed after the next one's start
LIMIT_SLACK_S = 0.15  # of a volume's rate limit, added to its burst slack on sockets (protocol page)
LIMIT_SLACK_SHARE = 0.1  # minimum slack of a volume's rate limit, as a fraction of its burst


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a request, as observed by the backend that received it."""

    backend: str
    arrived_at: float  # time of its last byte
    shard: int = 0  # of the backend
    zone: str = ""  # of the backend
    ended_at: float | None = None
    executed: bool = False
    rejected: bool = False  # the backend's answer proves that it never executed the attempt


@dataclass(slots=True, frozen=True)
class RequestContent:
    """The parts of a request that a front forwards unchanged (protocol page, Fronts to chunk servers)."""

    method: str
    target: str
    idempotency_key: str | None
    body: bytes


@dataclass(slots=True)
class ClientRequestRecord:
    """One client request, with its answer and its attempts."""

    front: int
    volume: int
    request_class: RequestClassTerms
    units: float
    sent_at: float
    deadline: float
    content: RequestContent | None = None
    status: int | None = None
    answered_at: float | None = None
    excused: bool = False  # needs no answer: its front was killed, or it was never accepted
    retry_after: float = 0.0  # seconds, from the answer; 0: not in the answer
    attempts: list[AttemptRecord] = field(default_factory=list)


class RuleChecker:
    """Collects the events of a run (``on_...`` methods) and reports the rules that they break."""

    def __init__(
        self, plans: Sequence[PlanTerms], terms: DeploymentTerms, warm_up_slack: float = 2.0
    ) -> None:
        """Start without events.

        ``plans`` are assigned to the volumes in turn. ``warm_up_slack`` is the tolerance for random variation
        at a backend that is warming up, in units per window.
        """
        self.plans = plans
        self.terms = terms
        self.warm_up_slack = warm_up_slack
        self.probe_count = 0
        self.requests: dict[str, ClientRequestRecord] = {}  # by trace id
        # By backend: time, units, and the backend's capacity per window at that time, in units.
        self.warm_up_arrivals: dict[str, list[tuple[float, float, float]]] = defaultdict(list)
        self.violations: list[str] = []
        # By front and backend: when the front was notified to stop sending there.
        self._draining_since: dict[tuple[int, str], float] = {}
        self._held_since: dict[tuple[int, str], float] = {}  # survives restarts of the front
        self._front_pauses: list[tuple[int, float, float]] = []  # front, start, end
        self._possible_overlaps: list[tuple[str, AttemptRecord, AttemptRecord]] = []

    def on_request(self, trace: str, request: ClientRequestRecord) -> None:
        """A client is about to send a request."""
        self.requests[trace] = request

    def on_answer(self, trace: str, status: int, body: bytes, at: float) -> None:
        """A client received a complete answer."""
        request = self.requests[trace]
        if request.status is not None:
            self.violations.append(f"answers: {trace} received a second answer")
        if status == 200 and not body.startswith(trace.encode() + b" "):
            self.violations.append(
                f"foreign: {trace} was answered with a body that no backend produced for it"
            )
        request.status = status
        request.answered_at = at

    def on_probe(self, backend: str) -> None:
        """A backend received a load probe."""
        self.probe_count += 1
        if not self.terms.probes:
            self.violations.append(f"probe: {backend} was probed although the settings disable probes")

    def on_attempt(  # noqa: PLR0913 (the attempt as the backend observes it)
        self,
        trace: str,
        backend: str,
        at: float,
        shard: int = 0,
        zone: str = "",
        content: RequestContent | None = None,
    ) -> AttemptRecord:
        """The last byte of an attempt reached a backend; the caller completes the record later."""
        attempt = AttemptRecord(backend, at, shard, zone)
        if trace not in self.requests:
            self.violations.append(f"invented: {trace} was sent by no client")
            return attempt
        request = self.requests[trace]
        if content != request.content:
            self.violations.append(f"mangled: {trace} differs from what its client sent")
        for other in request.attempts:
            if other.ended_at is None or other.ended_at > at + OVERLAP_SLACK_S:
                self._possible_overlaps.append((trace, other, attempt))
        request.attempts.append(attempt)
        self._check_excluded_backend(trace, request.front, attempt)
        return attempt

    def on_warm_up_arrival(self, backend: str, at: float, units: float, capacity: float) -> None:
        """Units reached a warming backend, whose capacity is ``capacity`` units per window at that time."""
        self.warm_up_arrivals[backend].append((at, units, capacity))

    def on_drain_notice(self, front: int, backend: str, at: float | None) -> None:
        """A front was notified that a backend is draining; None: that it accepts requests again."""
        if at is None:
            self._draining_since.pop((front, backend), None)
        else:
            self._draining_since.setdefault((front, backend), at)

    def on_hold(self, front: int, backend: str, at: float | None) -> None:
        """A front has an operator's hold on a backend; None: the hold is released.

        Neither an endpoint list nor a loss of power releases a hold.
        """
        if at is None:
            self._held_since.pop((front, backend), None)
        else:
            self._held_since.setdefault((front, backend), at)

    def on_front_killed(self, front: int, at: float) -> None:  # noqa: ARG002 (same signature as the other events)
        """A front was killed: requests open there may remain unanswered."""
        for request in self.requests.values():
            if request.front == front and request.status is None:
                request.excused = True

    def on_client_left(self, trace: str) -> None:
        """A client closed its connection with its request open, which needs no answer any more."""
        if trace in self.requests:
            self.requests[trace].excused = True

    def on_front_paused(self, front: int, began: float, ended: float) -> None:
        """A front's process was stopped during this interval, and could neither answer nor receive."""
        self._front_pauses.append((front, began, ended))

    def find_violations(self, window: float) -> list[str]:
        """Return each violation as a line that begins with its rule and a colon.

        ``window`` is the window of the warm-up rule, in seconds.
        """
        violations = list(self.violations)
        violations += self._check_overlaps()
        for trace, request in self.requests.items():
            violations += self._check_answer_time(trace, request)
            if len(request.attempts) > self.terms.max_attempts:
                violations.append(f"attempts: {trace} was sent {len(request.attempts)} times")
            violations += self._check_duplicates(trace, request)
        violations += self._check_warm_up(window)
        violations += self._check_rate_limits()
        return violations

    def max_warm_up_load(self, window: float) -> float:
        """Return the peak load of a warming backend in a window, as a fraction of its capacity."""
        loads = (
            total / capacity
            for backend in self.warm_up_arrivals
            for total, capacity in self._warm_up_windows(backend, window)
        )
        return max(loads, default=0.0)

    def _check_excluded_backend(self, trace: str, front: int, attempt: AttemptRecord) -> None:
        """No attempt reaches a backend later than the drain grace period after its front was notified."""
        at = attempt.arrived_at
        for rule, notified in (("drain", self._draining_since), ("hold", self._held_since)):
            since = notified.get((front, attempt.backend), math.inf)
            if at <= since + self.terms.drain_grace + TIME_SLACK_S:
                continue
            if self._was_paused(front, since, at):
                continue
            delay = f"{at - since:.2f} s after front {front} was notified"
            self.violations.append(f"{rule}: {trace} reached {attempt.backend} {delay}")

    def _was_paused(self, front: int, began: float, ended: float) -> bool:
        """Whether the front's process was stopped at any time in that interval."""
        return any(
            paused == front and began <= resumed_at and ended >= paused_at
            for paused, paused_at, resumed_at in self._front_pauses
        )

    def _check_overlaps(self) -> Iterator[str]:
        """A request has one attempt at a time. Checked last: an end may be observed after the next start."""
        for trace, earlier, later in self._possible_overlaps:
            if earlier.ended_at is None or earlier.ended_at > later.arrived_at + OVERLAP_SLACK_S:
                yield f"twice out: {trace} at {earlier.backend} and {later.backend}"

    def _check_answer_time(self, trace: str, request: ClientRequestRecord) -> Iterator[str]:
        """Every request is answered in time, unless its front was killed or stopped meanwhile."""
        latest = request.deadline + MAX_LATENESS_S
        if self._was_paused(request.front, request.sent_at, latest):
            return
        if request.status is None and not request.excused:
            yield f"lost: {trace} of front {request.front} received no answer"
        elif request.answered_at is not None and request.answered_at > latest:
            yield f"late: {trace} was answered {request.answered_at - request.deadline:.2f} s too late"

    def _check_duplicates(self, trace: str, request: ClientRequestRecord) -> Iterator[str]:
        """A request that may have executed takes effect once.

        After such an attempt, a request that is not idempotent is not sent again, and one with an idempotency
        key only to backends that drop the duplicate, while they remember the key. Neither is answered with a
        status that invites a retry, unless every backend drops the duplicate.
        """
        request_class = request.request_class
        maybe_executed = [attempt for attempt in request.attempts if not attempt.rejected]
        if request_class.idempotency is Idempotency.IDEMPOTENT or not maybe_executed:
            return
        later = request.attempts[request.attempts.index(maybe_executed[0]) + 1 :]
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            executions = sum(attempt.executed for attempt in request.attempts)
            if executions > 1:
                yield f"repeated write: {trace} was executed {executions} times"
            elif later:
                yield f"repeated write: {trace} was sent again after it may have executed"
        else:
            yield from self._check_keyed_retries(trace, request_class, maybe_executed[0], later)
        is_dropped_everywhere = (
            request_class.idempotency is Idempotency.KEYED and request_class.scope is IdempotencyScope.ALL
        )
        if request.status in (429, 503) and not is_dropped_everywhere:
            yield f"refused write: {trace} may have executed and was answered {request.status}"

    def _check_keyed_retries(
        self,
        trace: str,
        request_class: RequestClassTerms,
        first: AttemptRecord,
        later: Sequence[AttemptRecord],
    ) -> Iterator[str]:
        """Attempts after ``first`` go only to backends that still remember its idempotency key."""
        key_expires_at = first.arrived_at + request_class.key_memory + TIME_SLACK_S
        for attempt in later:
            if _shares_keys(request_class.scope, first, attempt) and attempt.arrived_at <= key_expires_at:
                continue
            delay = attempt.arrived_at - first.arrived_at
            where = f"{attempt.backend} {delay:.2f} s after {first.backend}"
            yield f"key: {trace} was sent to {where}, which does not drop the duplicate"

    def _check_warm_up(self, window: float) -> Iterator[str]:
        """No warming backend receives more than its capacity in a window; reported once per backend."""
        for backend in self.warm_up_arrivals:
            for total, capacity in self._warm_up_windows(backend, window):
                if total > capacity + self.warm_up_slack:
                    yield (
                        f"cold: {backend} was sent {total:g} units in {window:g} s; capacity {capacity:.1f}"
                    )
                    break

    def _warm_up_windows(self, backend: str, window: float) -> Iterator[tuple[float, float]]:
        """For each arrival: the units in the window ending with it, and the backend's capacity then."""
        arrivals = self.warm_up_arrivals[backend]
        start = 0
        total = 0.0
        for at, units, capacity in arrivals:
            total += units
            while arrivals[start][0] < at - window:
                total -= arrivals[start][1]
                start += 1
            yield total, capacity

    def _check_rate_limits(self) -> Iterator[str]:
        """Each volume's first attempts stay within its plan's token bucket; the first breach is reported."""
        buckets: dict[int, tuple[float, float]] = {}  # by volume: level in units, and its time
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
                yield f"limit: volume {volume} is {-level:.1f} units over its token bucket at {at:.2f}"
                return


def _shares_keys(scope: IdempotencyScope, first: AttemptRecord, later: AttemptRecord) -> bool:
    """Whether the second attempt's backend drops a duplicate of the first attempt."""
    if scope is IdempotencyScope.ZONE:
        return later.zone == first.zone
    if scope is IdempotencyScope.SHARD:
        return later.shard == first.shard
    return True
