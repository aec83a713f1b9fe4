"""Source, relays and thousands of subscribers in virtual time: the real state machines of
``cleatyoke.distribution``, with random delays, lost exchanges, network partitions, and relays that are killed
and restarted.

A subscriber is hollow: the changes that it delivers are not applied to any front.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from cleatyoke.distribution.records import Lane
from cleatyoke.distribution.relay import RELAY_TIMING, ChangeServer, Relay, Source
from cleatyoke.distribution.subscriber import Subscriber
from cleatyoke.distribution.subscriber_messages import (
    PollAnswered,
    SendPoll,
    SubscriberTiming,
)

SOURCE = "source"
SOURCE_REGION = 0


@dataclass(slots=True)
class Links:
    """Bounds of the one-way delay in seconds, within a region and between two; ``loss``: fraction of the
    exchanges that fail.
    """

    near: tuple[float, float] = (0.001, 0.02)
    far: tuple[float, float] = (0.04, 0.15)
    loss: float = 0.01


@dataclass(slots=True)
class Change:
    lane: Lane
    made_at: float


@dataclass(slots=True)
class LatencySamples:
    """``latencies``: seconds from each change until a subscriber knew it, one value per subscriber."""

    latencies: dict[Lane, list[float]] = field(default_factory=lambda: {lane: [] for lane in Lane})


class Tree:
    """``fronts`` subscribers and ``relays`` relays, both spread evenly over ``regions``. A subscriber prefers
    the relays of its region.
    """

    def __init__(
        self,
        fronts: int,
        relays: int,
        regions: int,
        seed: int = 1,
        links: Links | None = None,
        timing: SubscriberTiming | None = None,
        most_subscribers: int = 160,
        epoch: int = 1,
    ) -> None:
        self.rng, self.links, self.now = random.Random(f"tree:{seed}"), links or Links(), 0.0
        self.seed, self.timing, self.most_subscribers = seed, timing or SubscriberTiming(), most_subscribers
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled_count = 0
        self.regions: dict[str, int] = {SOURCE: SOURCE_REGION}
        self.cut: set[int] = set()  # regions that can't reach any other
        self.source: Source | None = Source("emulated", SOURCE, epoch)
        self.relay_names = [f"relay-{number:02d}" for number in range(relays)]
        self.regions |= {name: number % regions for number, name in enumerate(self.relay_names)}
        self.relays: dict[str, Relay] = {}
        self.subscribers: dict[str, Subscriber] = {}
        self.changes: dict[int, Change] = {}
        self.known: dict[str, dict[Lane, int]] = {}
        self.measured = LatencySamples()
        for name in self.relay_names:
            self.start_relay(name)
        for number in range(fronts):
            self.start_front(number, number % regions)

    # Processes

    def start_relay(self, name: str) -> None:
        """Start a relay without any state, in place of any earlier one of this name."""
        rng = random.Random(f"{self.seed}:{name}:{self.now}")
        relay = Relay("emulated", name, [[SOURCE]], rng, self.most_subscribers, RELAY_TIMING)
        self.relays[name] = relay
        self.schedule_relay(name, relay)

    def kill_relay(self, name: str) -> None:
        self.relays.pop(name, None)

    def start_front(self, number: int, region: int) -> None:
        name = f"front-{number:04d}"
        self.regions[name] = region
        own = [relay for relay in self.relay_names if self.regions[relay] == region]
        others = [relay for relay in self.relay_names if self.regions[relay] != region]
        rng = random.Random(f"{self.seed}:{name}:{self.now}")
        subscriber = Subscriber("emulated", name, [own, others], rng, self.timing)
        self.subscribers[name] = subscriber
        self.known[name] = dict.fromkeys(Lane, 0)
        self.schedule_front(name, subscriber)

    def server(self, name: str) -> ChangeServer | None:
        return self.source if name == SOURCE else self.relays.get(name)

    # Virtual time and messages

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.heap, (when, self.scheduled_count, callback))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.heap)
            callback()
        self.now = until

    def schedule_relay(self, name: str, relay: Relay) -> None:
        due = relay.due()
        self.schedule(max(self.now, due), lambda: self.relay_due(name, relay, due))

    def relay_due(self, name: str, relay: Relay, due: float) -> None:
        if self.relays.get(name) is relay and relay.due() == due:
            self.step_relay(name, relay)

    def step_relay(self, name: str, relay: Relay, *events: PollAnswered) -> None:
        for action in relay.step(self.now, events):
            if isinstance(action, SendPoll):
                self.exchange(name, action, lambda event: self.answer_relay(name, relay, event))
        self.schedule_relay(name, relay)

    def answer_relay(self, name: str, relay: Relay, event: PollAnswered) -> None:
        if self.relays.get(name) is relay:
            self.step_relay(name, relay, event)

    def schedule_front(self, name: str, front: Subscriber) -> None:
        due = front.due()
        self.schedule(max(self.now, due), lambda: self.front_due(name, front, due))

    def front_due(self, name: str, front: Subscriber, due: float) -> None:
        if self.subscribers.get(name) is front and front.due() == due:
            self.step_front(name, front)

    def step_front(self, name: str, front: Subscriber, *events: PollAnswered) -> None:
        for action in front.step(self.now, events):
            match action:
                case SendPoll():
                    self.exchange(name, action, lambda event: self.answer_front(name, front, event))
        self.record_latencies(name, front)
        self.schedule_front(name, front)

    def answer_front(self, name: str, front: Subscriber, event: PollAnswered) -> None:
        if self.subscribers.get(name) is front:
            self.step_front(name, front, event)

    def exchange(self, sender: str, poll: SendPoll, back: Callable[[PollAnswered], None]) -> None:
        """Deliver a poll and its response after a delay each, unless the exchange is lost or the regions are
        cut off from each other.
        """
        if self.rng.random() < self.links.loss:
            return
        there, again = self.draw_delay(sender, poll.relay), self.draw_delay(sender, poll.relay)

        def arrive() -> None:
            server = self.server(poll.relay)
            if server is None or self.is_cut_off(sender, poll.relay):
                return
            if data := server.answer(self.now, poll.data):
                self.schedule(self.now + again, lambda: back(PollAnswered(poll.poll_id, data)))

        self.schedule(self.now + there, arrive)

    def draw_delay(self, one: str, other: str) -> float:
        span = self.links.near if self.regions[one] == self.regions[other] else self.links.far
        return self.rng.uniform(*span)

    def is_cut_off(self, one: str, other: str) -> bool:
        first, second = self.regions[one], self.regions[other]
        return first != second and (first in self.cut or second in self.cut)

    # Changes

    def put(self, lane: Lane, key: str, value: bytes | None) -> None:
        assert self.source
        version = self.source.put(self.now, lane, key, value)
        self.changes[version.number] = Change(lane, self.now)

    def put_at(self, times: Iterable[float], lane: Lane, keys: Sequence[str], size: int = 200) -> None:
        """Schedule changes of randomly chosen keys at these times."""
        for when in times:
            key = self.rng.choice(keys)
            self.schedule(when, lambda key=key: self.put(lane, key, self.rng.randbytes(size)))  # type: ignore[misc]

    def record_latencies(self, name: str, front: Subscriber) -> None:
        """Record the latency of each change that this front has learned since the last call."""
        for lane in Lane:
            before, now = self.known[name][lane], front.lanes[lane].position.number
            if now <= before:
                continue
            self.known[name][lane] = now
            for number in range(before + 1, now + 1):
                change = self.changes.get(number)
                if change and change.lane is lane:
                    self.measured.latencies[lane].append(self.now - change.made_at)

    # State of the subscribers

    def has_complete_copy(self, name: str) -> bool:
        """Return whether a subscriber has a complete copy: no listing is in progress in any lane."""
        front = self.subscribers[name]
        return all(known.position.cursor is None for known in front.lanes.values())

    def is_settled(self) -> bool:
        """Return whether every subscriber has exactly the entries of the source."""
        assert self.source
        for lane in Lane:
            store = self.source.store.lanes[lane]
            true = {key: entry.version for key, entry in store.entries.items() if entry.value is not None}
            for name, front in self.subscribers.items():
                if not self.has_complete_copy(name) or front.lanes[lane].versions != true:
                    return False
        return True

    def settle(self, within: float, step: float = 0.5) -> float | None:
        """Run until all subscribers have the entries of the source; return the seconds that took, or None."""
        began = self.now
        while self.now < began + within:
            self.run(self.now + step)
            if self.is_settled():
                return self.now - began
        return None

    def bytes(self) -> dict[str, int]:
        """Return the bytes that each subscriber has sent and received."""
        return {name: front.bytes_exchanged for name, front in self.subscribers.items()}
