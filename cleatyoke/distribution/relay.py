"""Source and relay: a store that answers polls, filled by changes here or by a subscription there.

A relay serves only whole copies. While it takes a copy of a new epoch, or one after it was away for too long,
it goes on serving the one that it has.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Sequence

from cleatyoke.distribution.records import (
    MOST_VALUE,
    Entry,
    Lane,
    Refusal,
    Reply,
    Version,
    decode_poll,
    encode,
)
from cleatyoke.distribution.server import PollAdmission, answer, refuse
from cleatyoke.distribution.store import ChangeStore
from cleatyoke.distribution.subscriber import (
    DeliverChanges,
    EpochRestarted,
    LaneComplete,
    PollAnswered,
    RelayChanged,
    SendPoll,
    Subscriber,
    SubscriberAction,
    SubscriberTiming,
)
from cleatyoke.transport.encoding import WireError

RELAY_TIMING = SubscriberTiming(poll=1.0, spread=1.0, spread_most=4.0, rate=1e6, burst=1e6)


class InvalidChangeError(ValueError):
    """A change that the source does not take; the text begins with the key."""


class ChangeServer:
    """What answers polls. ``refused``: messages that were not taken, by reason."""

    def __init__(self, deployment: str, name: str, most_subscribers: int) -> None:
        self.deployment, self.name = deployment, name
        self.admission = PollAdmission(most_subscribers)
        self.refused: Counter[str] = Counter()
        self.bytes_out = 0

    def serving(self) -> ChangeStore | None:
        """The whole copy that is served, if there is one."""
        raise NotImplementedError

    def age(self, now: float) -> float:
        raise NotImplementedError

    def answer(self, now: float, data: bytes) -> bytes | None:
        """The reply to a message, or None to one that is refused whole."""
        try:
            poll = decode_poll(self.deployment, data)
        except WireError as refused:
            self.refused[str(refused)] += 1
            return None
        store = self.serving()
        if store is None:
            reply = refuse(poll, self.name, 0, Refusal.NOT_READY)
        elif not self.admission.takes(now, poll.subscriber):
            reply = refuse(poll, self.name, store.epoch, Refusal.FULL)
        else:
            reply = answer(poll, self.name, store, self.age(now))
        return self.encoded(reply)

    def encoded(self, reply: Reply) -> bytes:
        data = encode(reply)
        self.bytes_out += len(data)
        return data


class Source(ChangeServer):
    """Where changes are made. ``epoch`` has to be higher than that of any life of the source before."""

    def __init__(self, deployment: str, name: str, epoch: int, most_subscribers: int = 256) -> None:
        super().__init__(deployment, name, most_subscribers)
        self.store = ChangeStore(epoch)
        self.number = 0

    def serving(self) -> ChangeStore:
        return self.store

    def age(self, now: float) -> float:
        return 0.0

    def put(self, now: float, lane: Lane, key: str, value: bytes | None) -> Version:
        """Make a change. Raises ``BadChange`` for one that no message could carry."""
        if not 1 <= len(key) <= 128:
            msg = f"{key[:40]}: want a key of 1 to 128 characters"
            raise InvalidChangeError(msg)
        if value is not None and len(value) > MOST_VALUE:
            msg = f"{key}: want {MOST_VALUE} bytes at the most, found {len(value)}"
            raise InvalidChangeError(msg)
        self.number += 1
        version = Version(self.store.epoch, self.number)
        self.store.lanes[lane].put(now, Entry(key, version, value))
        return version


class Relay(ChangeServer):
    """Between the source, or another relay, and subscribers."""

    def __init__(
        self,
        deployment: str,
        name: str,
        upstream: Sequence[Sequence[str]],
        rng: random.Random,
        most_subscribers: int = 160,
        timing: SubscriberTiming = RELAY_TIMING,
    ) -> None:
        super().__init__(deployment, name, most_subscribers)
        self.subscriber = Subscriber(deployment, name, upstream, rng, timing, whole=True)
        self.store: ChangeStore | None = None  # whole, and served
        self.building: ChangeStore | None = None  # the next one
        self.copied: dict[Lane, dict[str, Entry]] = {}  # of the next one, by lane
        self.complete: set[Lane] = set()

    def serving(self) -> ChangeStore | None:
        return self.store

    def age(self, now: float) -> float:
        return max(0.0, self.subscriber.age(now))

    def due(self) -> float:
        return self.subscriber.due()

    def step(self, now: float, events: Iterable[PollAnswered] = ()) -> list[SendPoll | RelayChanged]:
        out: list[SendPoll | RelayChanged] = []
        for action in self.subscriber.step(now, events):
            if isinstance(action, SendPoll | RelayChanged):
                out.append(action)
            else:
                self.take(now, action)
        if self.store and not self.building:
            for lane, known in self.subscriber.lanes.items():  # what it has of newer ones came with a copy
                served = self.store.lanes[lane]
                served.last = max(served.last, known.position.number)
        return out

    def take(self, now: float, action: SubscriberAction) -> None:
        match action:
            case EpochRestarted(lane, epoch):
                self.begin(lane, epoch)
            case DeliverChanges(lane, entries):
                self.deliver(now, lane, entries)
            case LaneComplete(lane, number, floor):
                self.finish(now, lane, number, floor)

    def begin(self, lane: Lane, epoch: int) -> None:
        """A lane that begins anew makes all do: they are served as one copy."""
        if self.building is None or self.building.epoch != epoch:
            self.building = ChangeStore(epoch)
            kept = self.store if self.store and self.store.epoch == epoch else None
            self.copied = {one: dict(kept.lanes[one].entries) if kept else {} for one in Lane}
            self.complete = set(Lane) if kept else set()
        self.copied[lane] = {}
        self.complete.discard(lane)

    def deliver(self, now: float, lane: Lane, entries: list[Entry]) -> None:
        if self.building:
            for entry in entries:
                known = self.copied[lane].get(entry.key)
                if known is None or entry.version > known.version:
                    self.copied[lane][entry.key] = entry
        elif self.store:
            for entry in sorted(entries, key=lambda one: one.version):
                self.store.lanes[lane].put(now, entry)

    def finish(self, now: float, lane: Lane, number: int, floor: int) -> None:
        self.complete.add(lane)
        if self.building is None or len(self.complete) < len(Lane):
            return
        for one in Lane:
            known = self.subscriber.lanes[one]
            entries = self.copied[one].values()
            self.building.lanes[one].load(now, entries, known.position.number, known.floor)
        self.store, self.building, self.copied = self.building, None, {}
