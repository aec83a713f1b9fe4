"""State machine of a subscriber: it schedules polls, validates replies and delivers changes.

``step(now, events) -> actions``; time, random numbers and messages are passed in.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable, Sequence

from cleatyoke.distribution.byte_budget import ByteBudget
from cleatyoke.distribution.known_lane import KnownLane
from cleatyoke.distribution.records import (
    FORMAT_VERSION,
    MAX_MESSAGE_BYTES,
    Lane,
    LaneChanges,
    Poll,
    Position,
    Rejection,
    Reply,
    Version,
    decode_reply,
    encode,
)
from cleatyoke.distribution.relay_selection import RelaySelector
from cleatyoke.distribution.subscriber_messages import (
    DeliverChanges,
    LaneComplete,
    LaneRestarted,
    PollAnswered,
    RelayChanged,
    SendPoll,
    SubscriberAction,
    SubscriberTiming,
)
from cleatyoke.transport.encoding import WireError

MIN_REPLY_BYTES = 256  # minimum that a poll requests, of entries
REFILL_FRACTION = (
    0.9  # of the burst that must be available before more is requested: each exchange has a fixed cost
)
MIN_POLL_INTERVAL = 0.01  # seconds from a reply that has more to the next poll
MAX_SPREAD_DOUBLINGS = 10


class Subscriber:
    """Copies the source's lanes from one relay at a time, with one poll at a time.

    A lane is an independently versioned key space, see ``known_lane``.

    State never goes back: replies of an older epoch, replies of a relay that has fewer changes, and duplicate
    or late messages change nothing. If no relay answers, the subscriber keeps its copy without a time limit.

    ``tiers``: relays by proximity; the first tier is the own region. ``wants_tombstones``: pages are to
    include tombstones, as this subscriber serves others. ``rejected``: counts of rejected replies, by reason.
    ``current_as_of``: the latest time at which the copy is known to have been up to date with the source,
    -inf before the first complete reply. ``source_name``: name of the sender of the last reply.
    """

    def __init__(  # noqa: PLR0913 (identity and options of the one state machine)
        self,
        deployment: str,
        name: str,
        tiers: Sequence[Sequence[str]],
        rng: random.Random,
        timing: SubscriberTiming | None = None,
        *,
        wants_tombstones: bool = False,
    ) -> None:
        self.deployment = deployment
        self.name = name
        self.wants_tombstones = wants_tombstones
        self.rng = rng
        self.timing = timing or SubscriberTiming()
        self.relays = RelaySelector(tiers, rng)
        self.budget = ByteBudget(self.timing.burst_bytes)
        self.epoch = 0
        self.lanes = {lane: KnownLane() for lane in Lane}
        self.pending_poll: int | None = None
        self.polled_at = -math.inf
        self.poll_count = 0
        self.next_poll_at: float | None = None  # None before the first step
        self.failures = 0  # consecutive failovers without an answer
        self.has_retried = False  # at the current relay
        self.current_as_of = -math.inf
        self.source_name = ""
        self.rejected: Counter[str] = Counter()
        self.bytes_exchanged = 0
        self._actions: list[SubscriberAction] = []

    # The step

    def step(self, now: float, events: Iterable[PollAnswered] = ()) -> list[SubscriberAction]:
        """Process events and timers that are due at ``now``; return the actions in order."""
        self._actions = []
        if self.next_poll_at is None:
            self.budget.start(now)
            self.next_poll_at = now + self.rng.random() * self.timing.poll_interval
        for event in events:
            if event.poll_id == self.pending_poll:
                self.receive(now, event)
            else:
                self.rejected["late or twice"] += 1
        if self.pending_poll is not None and now >= self.polled_at + self.timing.answer_timeout:
            self.poll_failed(now, "no answer")
        if self.pending_poll is None and now >= self.next_poll_at:
            self.send_poll(now)
        return self._actions

    def due(self) -> float:
        """Return when the next step is due if there is no event before; -inf means at once."""
        if self.pending_poll is not None:
            return self.polled_at + self.timing.answer_timeout
        return -math.inf if self.next_poll_at is None else self.next_poll_at

    def age(self, now: float) -> float:
        """Return the seconds since the copy is known to have been up to date; infinite if unknown."""
        return now - self.current_as_of

    @property
    def is_complete(self) -> bool:
        """Whether all pages of all lanes have been copied."""
        return all(lane.position.is_complete for lane in self.lanes.values())

    # Polls

    def send_poll(self, now: float) -> None:
        """Poll the current relay, requesting as much as the byte budget allows."""
        timing = self.timing
        if self.relays.return_to_own_region(now, timing.own_region_interval):
            self._actions.append(RelayChanged(self.relays.current, "home"))
        self.poll_count += 1
        self._refill_budget(now)
        available = min(self.budget.level - timing.overhead_bytes, MAX_MESSAGE_BYTES // 2)
        poll = Poll(
            self.deployment,
            FORMAT_VERSION,
            self.name,
            self.poll_count,
            self.epoch,
            [self.lanes[lane].position for lane in Lane],
            int(max(MIN_REPLY_BYTES, available)),
            self.wants_tombstones,
        )
        data = encode(poll)
        self._spend(len(data) + timing.overhead_bytes)
        self.pending_poll = self.poll_count
        self.polled_at = now
        self._actions.append(SendPoll(self.relays.current, self.poll_count, data))

    def poll_failed(self, now: float, reason: str) -> None:
        """Retry once at the same relay, as a single answer may be lost; then fail over to another one."""
        self.pending_poll = None
        if self.has_retried:
            self.fail_over(now, reason)
        else:
            self.has_retried = True
            self.next_poll_at = now + self.rng.random() * self.timing.retry_spread

    def fail_over(self, now: float, reason: str) -> None:
        """Poll another relay from now on, after a random delay that grows with each failure.

        Without the delay, the subscribers of a failed relay would all poll the others at once and overload
        them.
        """
        self.pending_poll = None
        self.has_retried = False
        doublings = min(self.failures, MAX_SPREAD_DOUBLINGS)
        spread = min(self.timing.max_failover_spread, self.timing.failover_spread * 2.0**doublings)
        self.failures += 1
        self.next_poll_at = now + self.rng.random() * spread
        self.relays.fail_over(now, self.timing.avoid_duration)
        if self.relays.has_alternatives:
            self._actions.append(RelayChanged(self.relays.current, reason))

    def _refill_budget(self, now: float) -> None:
        self.budget.refill(now, self.timing.bytes_per_second, self.timing.burst_bytes)

    def _spend(self, size: int) -> None:
        self.budget.spend(size)
        self.bytes_exchanged += size

    # Replies

    def receive(self, now: float, event: PollAnswered) -> None:
        """Apply the answer to the pending poll, or reject it completely and count the reason."""
        if event.data is None:
            self.poll_failed(now, "no answer")
            return
        self._refill_budget(now)
        self._spend(len(event.data))
        try:
            reply = decode_reply(self.deployment, event.data)
        except WireError as error:
            self.reject_reply(now, str(error))
            return
        if reply.poll_id != self.pending_poll:
            self.reject_reply(now, "late or twice")
        elif reply.rejection is not Rejection.NONE:
            self.leave_relay(now, reply.rejection)
        elif reply.epoch < self.epoch:
            self.leave_relay(now, Rejection.OLDER_EPOCH)
        elif len(reply.lanes) != len(Lane) or not self.continues_position(reply):
            self.reject_reply(now, "unreadable")
        else:
            self.apply_reply(now, reply)

    def leave_relay(self, now: float, rejection: Rejection) -> None:
        """Fail over without a retry: the relay works, but can't serve this subscriber."""
        self.rejected[rejection.value] += 1
        self.fail_over(now, rejection.value)

    def reject_reply(self, now: float, reason: str) -> None:
        """Count a reply that can't be applied, and treat it like a missing answer."""
        self.rejected[reason] += 1
        self.poll_failed(now, reason)

    def continues_position(self, reply: Reply) -> bool:
        """Return whether the reply begins at this subscriber's position in each lane.

        Guards against faulty and forged replies: one that skips changes would leave keys outdated for good.
        """
        for lane in Lane:
            changes = reply.lanes[lane]
            position = self.lanes[lane].position
            if changes.restarts:
                if changes.page_after:
                    return False
                continue
            if reply.epoch != self.epoch or changes.since != position.number:
                return False
            if changes.up_to < changes.since:
                return False
            if changes.page_after is not None and changes.page_after != position.cursor:
                return False
        return True

    def apply_reply(self, now: float, reply: Reply) -> None:
        """Apply a reply that begins at this subscriber's position."""
        self.pending_poll = None
        self.failures = 0
        self.has_retried = False
        self.epoch = reply.epoch
        for lane in Lane:
            self.apply_lane(lane, reply.lanes[lane])
        self.source_name = reply.source
        if not reply.has_more:
            self.current_as_of = max(self.current_as_of, now - reply.age)
        self.next_poll_at = now + self._delay_after_reply(has_more=reply.has_more)

    def _delay_after_reply(self, *, has_more: bool) -> float:
        """Return the seconds until the next poll; if there is more, until the byte budget allows it."""
        timing = self.timing
        if has_more:
            missing_bytes = REFILL_FRACTION * timing.burst_bytes - self.budget.level
            return max(MIN_POLL_INTERVAL, missing_bytes / timing.bytes_per_second)
        return timing.poll_interval * (1 + timing.jitter * (2 * self.rng.random() - 1))

    def apply_lane(self, lane: Lane, changes: LaneChanges) -> None:
        """Apply one lane of a reply: its restart, its changes, then its page."""
        known = self.lanes[lane]
        if changes.restarts:
            known.position = Position(changes.up_to, "")
            known.compacted_up_to = changes.compacted_up_to
            self._actions.append(LaneRestarted(lane, self.epoch))
        cursor_before = known.position.cursor
        delivered = [entry for entry in changes.changes if known.apply(entry)]
        if changes.page_after is not None:
            removed = known.missing_in_page(changes, Version(self.epoch, changes.up_to))
            for entry in removed:
                known.remove(entry.key)
            delivered += removed + [entry for entry in changes.page if known.apply(entry)]
        known.compacted_up_to = max(known.compacted_up_to, changes.compacted_up_to)
        if delivered:
            self._actions.append(DeliverChanges(lane, delivered))
        cursor = cursor_before if changes.page_after is None else changes.page_to
        known.position = Position(changes.up_to, cursor)
        if cursor is None and (cursor_before is not None or changes.restarts):
            self._actions.append(LaneComplete(lane, changes.up_to, known.compacted_up_to))
