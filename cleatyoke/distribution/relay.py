"""Source and relay: stores that answer polls, filled by local changes or by a subscription upstream."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable, Sequence

from cleatyoke.distribution.errors import InvalidChangeError
from cleatyoke.distribution.records import (
    MAX_KEY_LENGTH,
    MAX_VALUE_BYTES,
    Entry,
    Lane,
    Rejection,
    Version,
    decode_poll,
    encode,
)
from cleatyoke.distribution.server import PollAdmission, answer_poll, reject_poll
from cleatyoke.distribution.store import ChangeStore
from cleatyoke.distribution.subscriber import Subscriber
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

RELAY_TIMING = SubscriberTiming(
    poll_interval=1.0,
    failover_spread=1.0,
    max_failover_spread=4.0,
    bytes_per_second=1e6,
    burst_bytes=1e6,
)


class ChangeServer(ABC):
    """Base class of servers that answer polls. ``rejected``: counts of rejected messages, by reason."""

    def __init__(self, deployment: str, name: str, max_subscribers: int) -> None:
        self.deployment = deployment
        self.name = name
        self.admission = PollAdmission(max_subscribers)
        self.rejected: Counter[str] = Counter()
        self.bytes_out = 0

    @abstractmethod
    def served_store(self) -> ChangeStore | None:
        """Return the complete copy that is served, or None if there is none yet."""

    @abstractmethod
    def age(self, now: float) -> float:
        """Return the seconds since the served copy is known to have been up to date with the source."""

    def answer(self, now: float, data: bytes) -> bytes | None:
        """Return the reply to a message, or None if it is not a valid poll of this deployment."""
        try:
            poll = decode_poll(self.deployment, data)
        except WireError as error:
            self.rejected[str(error)] += 1
            return None
        store = self.served_store()
        if store is None:
            reply = reject_poll(poll, self.name, 0, Rejection.NOT_READY)
        elif not self.admission.admit(now, poll.subscriber):
            reply = reject_poll(poll, self.name, store.epoch, Rejection.FULL)
        else:
            reply = answer_poll(poll, self.name, store, self.age(now))
        encoded = encode(reply)
        self.bytes_out += len(encoded)
        return encoded


class Source(ChangeServer):
    """The origin of changes. ``epoch`` must be higher than at any earlier start of the source."""

    def __init__(self, deployment: str, name: str, epoch: int, max_subscribers: int = 256) -> None:
        super().__init__(deployment, name, max_subscribers)
        self.store = ChangeStore(epoch)
        self.last_number = 0

    def served_store(self) -> ChangeStore:
        """Return the store, which is always complete."""
        return self.store

    def age(self, now: float) -> float:  # noqa: ARG002 (used by ``Relay.age``)
        """Return 0, as the source is always up to date."""
        return 0.0

    def put(self, now: float, lane: Lane, key: str, value: bytes | None) -> Version:
        """Add a change; a ``value`` of None removes the key.

        Raises ``InvalidChangeError`` if the change exceeds the limits of a message.
        """
        if not 1 <= len(key) <= MAX_KEY_LENGTH:
            msg = f"{key[:40]}: want a key of 1 to {MAX_KEY_LENGTH} characters"
            raise InvalidChangeError(msg)
        if value is not None and len(value) > MAX_VALUE_BYTES:
            msg = f"{key}: want {MAX_VALUE_BYTES} bytes at the most, found {len(value)}"
            raise InvalidChangeError(msg)
        self.last_number += 1
        version = Version(self.store.epoch, self.last_number)
        self.store.lanes[lane].put(now, Entry(key, version, value))
        return version


class Relay(ChangeServer):
    """A server of a copy of the source or of another relay.

    A relay serves complete copies only, because an incomplete copy would make its subscribers remove the keys
    that it lacks. While it copies a new epoch, or copies again because its position was compacted, it keeps
    serving its previous copy.
    """

    def __init__(  # noqa: PLR0913 (identity and options of the one state machine)
        self,
        deployment: str,
        name: str,
        upstream: Sequence[Sequence[str]],
        rng: random.Random,
        max_subscribers: int = 160,
        timing: SubscriberTiming = RELAY_TIMING,
    ) -> None:
        super().__init__(deployment, name, max_subscribers)
        self.subscriber = Subscriber(deployment, name, upstream, rng, timing, wants_tombstones=True)
        self.store: ChangeStore | None = None  # the complete copy that is served
        self.next_store: ChangeStore | None = None  # the copy in progress; loaded when complete
        self.copied_entries: dict[Lane, dict[str, Entry]] = {}  # for the next store
        self.complete_lanes: set[Lane] = set()  # of the next store

    def served_store(self) -> ChangeStore | None:
        """Return the complete copy that is served, or None before the first one."""
        return self.store

    def age(self, now: float) -> float:
        """Return the seconds since the copy is known to have been up to date with the source."""
        return max(0.0, self.subscriber.age(now))

    def due(self) -> float:
        """Return when the next step is due if there is no event before."""
        return self.subscriber.due()

    def step(self, now: float, events: Iterable[PollAnswered] = ()) -> list[SendPoll | RelayChanged]:
        """Process events and timers that are due at ``now``; return the actions in order."""
        outgoing: list[SendPoll | RelayChanged] = []
        for action in self.subscriber.step(now, events):
            if isinstance(action, SendPoll | RelayChanged):
                outgoing.append(action)
            else:
                self._handle(now, action)
        if self.store and not self.next_store:
            for lane, known in self.subscriber.lanes.items():
                # The position also advances over changes for which no entry is delivered: superseded ones,
                # and ones that were in a page already.
                served = self.store.lanes[lane]
                served.last_number = max(served.last_number, known.position.number)
        return outgoing

    def _handle(self, now: float, action: SubscriberAction) -> None:
        match action:
            case LaneRestarted(lane, epoch):
                self._begin_lane(lane, epoch)
            case DeliverChanges(lane, entries):
                self._deliver(now, lane, entries)
            case LaneComplete(lane):
                self._finish_lane(now, lane)

    def _begin_lane(self, lane: Lane, epoch: int) -> None:
        """Start the copy of a lane. All lanes are replaced together, as they are served together."""
        if self.next_store is None or self.next_store.epoch != epoch:
            self.next_store = ChangeStore(epoch)
            same_epoch_store = self.store if self.store and self.store.epoch == epoch else None
            self.copied_entries = {
                one: dict(same_epoch_store.lanes[one].entries) if same_epoch_store else {} for one in Lane
            }
            self.complete_lanes = set(Lane) if same_epoch_store else set()
        self.copied_entries[lane] = {}
        self.complete_lanes.discard(lane)

    def _deliver(self, now: float, lane: Lane, entries: list[Entry]) -> None:
        if self.next_store:
            copied = self.copied_entries[lane]
            for entry in entries:
                known = copied.get(entry.key)
                if known is None or entry.version > known.version:
                    copied[entry.key] = entry
        elif self.store:
            for entry in sorted(entries, key=lambda one: one.version):
                self.store.lanes[lane].put(now, entry)

    def _finish_lane(self, now: float, lane: Lane) -> None:
        """Mark a lane as complete, and serve the next copy if all its lanes are complete."""
        self.complete_lanes.add(lane)
        if self.next_store is None or len(self.complete_lanes) < len(Lane):
            return
        for one in Lane:
            known = self.subscriber.lanes[one]
            entries = self.copied_entries[one].values()
            self.next_store.lanes[one].load(now, entries, known.position.number, known.compacted_up_to)
        self.store = self.next_store
        self.next_store = None
        self.copied_entries = {}
