"""A front, a source and relays of the distribution without a network, for the tests of their parts."""

from __future__ import annotations

import random

from cleatyoke.distribution.records import (
    Entry,
    Lane,
    Reply,
    decode_reply,
)
from cleatyoke.distribution.relay import ChangeServer, Relay, Source
from cleatyoke.distribution.subscriber import Subscriber
from cleatyoke.distribution.subscriber_messages import (
    DeliverChanges,
    PollAnswered,
    SendPoll,
    SubscriberAction,
    SubscriberTiming,
)
from cleatyoke.emulation.distribution import SOURCE

AMPLE = SubscriberTiming(bytes_per_second=1e6, burst_bytes=1e6, jitter=0.0)
S, N = Lane.SETTINGS, Lane.NODES


class Front:
    """A subscriber, and what it has delivered so far."""

    def __init__(
        self, *tiers: list[str], timing: SubscriberTiming = AMPLE, kind: type[Subscriber] = Subscriber
    ) -> None:
        self.subscriber = kind("d", "front", tiers or [["a"]], random.Random(1), timing)
        self.now = 0.0
        self.values: dict[str, bytes] = {}
        self.delivered: list[Entry] = []
        self.actions: list[SubscriberAction] = []

    def step(self, *events: PollAnswered) -> list[SubscriberAction]:
        found = self.subscriber.step(self.now, events)
        self.actions += found
        for action in found:
            if isinstance(action, DeliverChanges):
                for entry in action.entries:
                    self.delivered.append(entry)
                    if entry.value is None:
                        self.values.pop(entry.key, None)
                    else:
                        self.values[entry.key] = entry.value
        return found

    def poll(self) -> SendPoll:
        """Its next poll, whenever that is due."""
        for _ in range(50):
            self.now = max(self.now, self.subscriber.due())
            for action in self.step():
                if isinstance(action, SendPoll):
                    return action
        msg = "it never polls"
        raise AssertionError(msg)

    def exchange_with(self, server: ChangeServer) -> Reply:
        """One exchange that succeeds."""
        poll = self.poll()
        data = server.answer(self.now, poll.data)
        assert data
        self.step(PollAnswered(poll.poll_id, data))
        return decode_reply("d", data)

    def exchange_until_complete(self, server: ChangeServer, most: int = 1000) -> int:
        for count in range(1, most):
            if not self.exchange_with(server).has_more:
                return count
        msg = "there is always more"
        raise AssertionError(msg)

    @property
    def epoch(self) -> int:
        return self.subscriber.epoch


def a_source(count: int = 3, epoch: int = 5, lane: Lane = S) -> Source:
    source = Source("d", SOURCE, epoch)
    for number in range(count):
        source.put(0.0, lane, f"k/{number:04d}", b"v%d" % number)
    return source


def true_values(source: Source) -> dict[str, bytes]:
    return {
        key: entry.value
        for lane in source.store.lanes.values()
        for key, entry in lane.entries.items()
        if entry.value is not None
    }


def exchange(front: Front, server: ChangeServer) -> tuple[SendPoll, bytes]:
    poll = front.poll()
    data = server.answer(front.now, poll.data)
    assert data
    return poll, data


def relay_of(source: ChangeServer, name: str = "relay", now: float = 0.0) -> Relay:
    relay = Relay("d", name, [[SOURCE]], random.Random(1))
    sync(relay, source, now)
    return relay


def sync(relay: Relay, source: ChangeServer | None, now: float) -> float:
    """Let a relay poll until it has all; returns when."""
    for _ in range(100):
        now = max(now, relay.due())
        for action in relay.step(now):
            if isinstance(action, SendPoll):
                data = source.answer(now, action.data) if source else None
                relay.step(now, [PollAnswered(action.poll_id, data)])
                if data and not decode_reply("d", data).has_more:
                    return now
                if source is None:
                    return now
    msg = "it never has all"
    raise AssertionError(msg)
