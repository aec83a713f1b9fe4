"""One subscriber: whom it asks and when, what it takes of the replies, and what it hands on.

``step(now, events) -> actions``, with time, randomness and messages passed in. It never goes back: a reply of
an older epoch, a relay that knows less, a message that came twice or late change nothing. It asks one relay
at a time and one thing at a time. Where no relay answers it goes on with what it has, however long.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left, bisect_right, insort
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cleatyoke.distribution.records import (
    FORM,
    MOST_MESSAGE,
    NOTHING,
    Entry,
    Lane,
    LaneChanges,
    Poll,
    Position,
    Refusal,
    Reply,
    Version,
    decode_reply,
    encode,
)
from cleatyoke.transport.encoding import WireError

LEAST_POLL = 256  # bytes of entries that a poll asks for at the least
FULL = 0.9  # part of ``burst`` that is saved up before more is asked for, as each exchange costs by itself


@dataclass(slots=True, frozen=True)
class SubscriberTiming:
    """Seconds, and bytes a second."""

    poll: float = 2.0  # between two polls while there is nothing new
    answer: float = 1.0  # until a poll without an answer has failed
    again: float = 0.5  # over which the second try at the same relay is drawn: one lost answer proves nothing
    avoid: float = 10.0  # for which a relay that failed twice, or refused, is asked only if there is no other
    spread: float = 2.0  # over which the first move to another relay is drawn, doubled with each failure ...
    spread_most: float = 8.0  # ... up to this
    home: float = 60.0  # after which a subscriber of another region's relay looks for one of its own again
    jitter: float = 0.25  # part by which the time between two polls is drawn
    rate: float = 2300.0  # bytes a second that polls and replies may take
    burst: float = 4000.0  # bytes that may be saved up: with 13 s of ``rate`` under 39 KB
    exchange: int = 400  # bytes of an exchange beside its messages: TCP's own, there and back


# Events


@dataclass(slots=True, frozen=True)
class PollAnswered:
    """What came of a poll: bytes, or None where nothing came."""

    number: int
    data: bytes | None


# Actions


@dataclass(slots=True, frozen=True)
class SendPoll:
    relay: str
    number: int
    data: bytes


@dataclass(slots=True, frozen=True)
class EpochRestarted:
    """The lane begins anew; what is known of it stays in force until pages replace it."""

    lane: Lane
    epoch: int


@dataclass(slots=True, frozen=True)
class DeliverChanges:
    """Entries that are newer than what was known, those that are gone with a value of None."""

    lane: Lane
    entries: list[Entry]


@dataclass(slots=True, frozen=True)
class LaneComplete:
    """All keys of the lane are known as of ``number``; ``floor``: see ``records.Part``."""

    lane: Lane
    number: int
    floor: int


@dataclass(slots=True, frozen=True)
class RelayChanged:
    """For the log: another relay is asked from now on."""

    relay: str
    why: str


SubscriberAction = SendPoll | EpochRestarted | DeliverChanges | LaneComplete | RelayChanged


class KnownLane:
    """Versions of the keys that are known of a lane, and how far that goes."""

    def __init__(self) -> None:
        self.versions: dict[str, Version] = {}
        self.keys: list[str] = []  # in order
        self.position = Position()
        self.floor = 0

    def newer(self, entry: Entry) -> bool:
        return entry.version > self.versions.get(entry.key, NOTHING)

    def take(self, entry: Entry) -> bool:
        """Whether it is newer than what is known."""
        if not self.newer(entry):
            return False
        if entry.value is None:
            self.remove(entry.key)
        else:
            if entry.key not in self.versions:
                insort(self.keys, entry.key)
            self.versions[entry.key] = entry.version
        return True

    def remove(self, key: str) -> None:
        if key in self.versions:
            del self.versions[key]
            del self.keys[bisect_left(self.keys, key)]

    def missing_in_page(self, part: LaneChanges, at: Version) -> list[Entry]:
        """Keys in the range of a page that it does not name and that nothing newer was said of: gone."""
        assert part.page_after is not None
        first = bisect_right(self.keys, part.page_after) if part.page_after else 0
        end = len(self.keys) if part.page_to is None else bisect_right(self.keys, part.page_to)
        named = {entry.key for entry in part.page}
        return [
            Entry(key, at, None)
            for key in self.keys[first:end]
            if key not in named and self.versions[key] <= at
        ]


class Subscriber:
    """``tiers``: relays by nearness, those of one tier alike; the first tier is this subscriber's own region.
    ``whole``: it needs to hear of keys that are gone in pages too, as it serves others.
    """

    def __init__(
        self,
        deployment: str,
        name: str,
        tiers: Sequence[Sequence[str]],
        rng: random.Random,
        timing: SubscriberTiming | None = None,
        whole: bool = False,
    ) -> None:
        self.deployment, self.name, self.whole = deployment, name, whole
        self.rng, self.timing = rng, timing or SubscriberTiming()
        self.order = [relay for tier in tiers for relay in rng.sample(list(tier), len(tier))]
        if not self.order:
            msg = "want one relay at the least"
            raise ValueError(msg)
        self.homes = len(tiers[0])  # of the order, those of the own region
        self.place = 0
        self.epoch = 0
        self.lanes = {lane: KnownLane() for lane in Lane}
        self.asked: int | None = None  # number of the poll that is out
        self.asked_at = -math.inf
        self.polls = self.failures = 0  # failures: moves in a row without an answer
        self.tried_again = False  # at the present relay
        self.avoided: dict[int, float] = {}  # place of a relay: until when
        self.next_at = -math.inf
        self.away_since = math.inf
        self.level, self.filled_at = self.timing.burst, -math.inf
        self.fresh_at = -math.inf  # up to when the source is known to have had nothing newer
        self.source = ""  # who told so
        self.refused: Counter[str] = Counter()  # replies that were not taken, by reason
        self.bytes = 0  # of all exchanges
        self.actions: list[SubscriberAction] = []

    # The step

    def step(self, now: float, events: Iterable[PollAnswered] = ()) -> list[SubscriberAction]:
        self.actions = []
        if self.filled_at == -math.inf:
            self.filled_at = now
            self.next_at = now + self.rng.random() * self.timing.poll
        for event in events:
            if event.number == self.asked:
                self.hear(now, event)
            else:
                self.refused["late or twice"] += 1
        if self.asked is not None and now >= self.asked_at + self.timing.answer:
            self.failed(now, "no answer")
        if self.asked is None and now >= self.next_at:
            self.poll(now)
        return self.actions

    def due(self) -> float:
        """When the next step is due even if nothing comes."""
        return self.next_at if self.asked is None else self.asked_at + self.timing.answer

    def age(self, now: float) -> float:
        """Seconds since the source is known to have had nothing newer; infinite before the first reply."""
        return now - self.fresh_at

    # Polls

    def poll(self, now: float) -> None:
        if self.place >= self.homes and now >= self.away_since + self.timing.home:
            self.place, self.away_since = self.next_place(now, self.homes), now
            self.actions.append(RelayChanged(self.order[self.place], "home"))
        self.polls += 1
        self.fill(now)
        positions = [self.lanes[lane].position for lane in Lane]
        most = int(max(LEAST_POLL, min(self.level - self.timing.exchange, MOST_MESSAGE // 2)))
        poll = Poll(self.deployment, FORM, self.name, self.polls, self.epoch, positions, most, self.whole)
        data = encode(poll)
        self.spend(len(data) + self.timing.exchange)
        self.asked, self.asked_at = self.polls, now
        self.actions.append(SendPoll(self.order[self.place], self.polls, data))

    def fill(self, now: float) -> None:
        timing = self.timing
        self.level = min(timing.burst, self.level + timing.rate * (now - self.filled_at))
        self.filled_at = now

    def spend(self, size: int) -> None:
        self.level -= size
        self.bytes += size

    def failed(self, now: float, why: str) -> None:
        """Ask once more, and then another one."""
        self.asked = None
        if self.tried_again:
            self.move(now, why)
        else:
            self.tried_again = True
            self.next_at = now + self.rng.random() * self.timing.again

    def move(self, now: float, why: str) -> None:
        """Ask another relay, after a time that is drawn, so that the subscribers of one that is gone do not
        come to the others as one.
        """
        self.asked, self.tried_again = None, False
        span = min(self.timing.spread_most, self.timing.spread * 2.0 ** min(self.failures, 10))
        self.failures += 1
        self.next_at = now + self.rng.random() * span
        self.avoided[self.place] = now + self.timing.avoid
        self.place = self.next_place(now, len(self.order))
        if self.place >= self.homes:
            self.away_since = min(self.away_since, now)
        else:
            self.away_since = math.inf
        if len(self.order) > 1:
            self.actions.append(RelayChanged(self.order[self.place], why))

    def next_place(self, now: float, among: int) -> int:
        """Of the first so many relays the next one that is not avoided, those of the own region first; or the
        one that has been avoided for longest.
        """
        places = sorted(range(among), key=lambda place: (place >= self.homes, self.distance(place)))
        free = [place for place in places if self.avoided.get(place, -math.inf) <= now]
        return free[0] if free else min(places, key=lambda place: self.avoided[place])

    def distance(self, place: int) -> int:
        return (place - self.place - 1) % len(self.order)

    # Replies

    def hear(self, now: float, event: PollAnswered) -> None:
        if event.data is None:
            self.failed(now, "no answer")
            return
        self.fill(now)
        self.spend(len(event.data))
        try:
            reply = decode_reply(self.deployment, event.data)
        except WireError as refused:
            self.refuse(now, str(refused))
            return
        if reply.number != self.asked:
            self.refuse(now, "late or twice")
        elif reply.refusal is not Refusal.NONE:
            self.turn_away(now, reply.refusal)
        elif reply.epoch < self.epoch:
            self.turn_away(now, Refusal.OLDER)
        elif len(reply.parts) != len(Lane) or not self.fits(reply):
            self.refuse(now, "unreadable")
        else:
            self.take(now, reply)

    def turn_away(self, now: float, refusal: Refusal) -> None:
        """This relay has nothing for us, and says so."""
        self.refused[refusal.value] += 1
        self.move(now, refusal.value)

    def refuse(self, now: float, reason: str) -> None:
        self.refused[reason] += 1
        self.failed(now, reason)

    def fits(self, reply: Reply) -> bool:
        """Whether it goes on from where this subscriber is: a relay that does otherwise is not believed."""
        for lane in Lane:
            part, position = reply.parts[lane], self.lanes[lane].position
            if part.restart:
                if part.page_after:
                    return False
                continue
            if reply.epoch != self.epoch or part.first != position.number or part.last < part.first:
                return False
            if part.page_after is not None and part.page_after != position.after:
                return False
        return True

    def take(self, now: float, reply: Reply) -> None:
        self.asked, self.failures, self.tried_again = None, 0, False
        self.epoch = reply.epoch
        for lane in Lane:
            self.take_part(lane, reply.parts[lane])
        self.source = reply.source
        if not reply.more:
            self.fresh_at = max(self.fresh_at, now - reply.age)
        self.next_at = now + self.pause(reply.more)

    def pause(self, more: bool) -> float:
        """Until the next poll: when there is more, as soon as bytes for it are saved up."""
        timing = self.timing
        if more:
            return max(0.01, (FULL * timing.burst - self.level) / timing.rate)
        return timing.poll * (1 + timing.jitter * (2 * self.rng.random() - 1))

    def take_part(self, lane: Lane, part: LaneChanges) -> None:
        known = self.lanes[lane]
        if part.restart:
            known.position, known.floor = Position(part.last, ""), part.floor
            self.actions.append(EpochRestarted(lane, self.epoch))
        before = known.position
        taken = [entry for entry in part.changes if known.take(entry)]
        if part.page_after is not None:
            at = Version(self.epoch, part.last)
            gone = known.missing_in_page(part, at)
            for entry in gone:
                known.remove(entry.key)
            taken += gone + [entry for entry in part.page if known.take(entry)]
        known.floor = max(known.floor, part.floor)
        if taken:
            self.actions.append(DeliverChanges(lane, taken))
        after = before.after if part.page_after is None else part.page_to
        known.position = Position(part.last, after)
        if after is None and (before.after is not None or part.restart):
            self.actions.append(LaneComplete(lane, part.last, known.floor))
