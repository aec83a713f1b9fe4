"""Helpers for tests of the distribution: a front, a source and relays, connected without a network."""

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

UNLIMITED_TIMING = SubscriberTiming(bytes_per_second=1e6, burst_bytes=1e6, jitter=0.0)
SETTINGS, NODES = Lane.SETTINGS, Lane.NODES


class Front:
    """A subscriber, and the entries that it has delivered."""

    def __init__(
        self,
        *tiers: list[str],
        timing: SubscriberTiming = UNLIMITED_TIMING,
        kind: type[Subscriber] = Subscriber,
    ) -> None:
        self.subscriber = kind("d", "front", tiers or [["a"]], random.Random(1), timing)
        self.now = 0.0
        self.values: dict[str, bytes] = {}
        self.delivered: list[Entry] = []
        self.actions: list[SubscriberAction] = []

    def step(self, *events: PollAnswered) -> list[SubscriberAction]:
        step_actions = self.subscriber.step(self.now, events)
        self.actions += step_actions
        for action in step_actions:
            if isinstance(action, DeliverChanges):
                for entry in action.entries:
                    self.delivered.append(entry)
                    if entry.value is None:
                        self.values.pop(entry.key, None)
                    else:
                        self.values[entry.key] = entry.value
        return step_actions

    def poll(self) -> SendPoll:
        """Advance the time to the next poll and return it."""
        for _ in range(50):
            self.now = max(self.now, self.subscriber.due())
            for action in self.step():
                if isinstance(action, SendPoll):
                    return action
        msg = "no poll after 50 steps"
        raise AssertionError(msg)

    def exchange_with(self, server: ChangeServer) -> Reply:
        """Poll the server once, successfully, and return its reply."""
        poll = self.poll()
        data = server.answer(self.now, poll.data)
        assert data
        self.step(PollAnswered(poll.poll_id, data))
        return decode_reply("d", data)

    def exchange_until_up_to_date(self, server: ChangeServer, max_exchanges: int = 1000) -> int:
        for count in range(1, max_exchanges):
            if not self.exchange_with(server).has_more:
                return count
        msg = f"still has_more after {max_exchanges} exchanges"
        raise AssertionError(msg)

    @property
    def epoch(self) -> int:
        return self.subscriber.epoch


def make_source(count: int = 3, epoch: int = 5, lane: Lane = SETTINGS) -> Source:
    source = Source("d", SOURCE, epoch)
    for number in range(count):
        source.put(0.0, lane, f"k/{number:04d}", b"v%d" % number)
    return source


def source_values(source: Source) -> dict[str, bytes]:
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


def make_synced_relay(source: ChangeServer, name: str = "relay", now: float = 0.0) -> Relay:
    relay = Relay("d", name, [[SOURCE]], random.Random(1))
    sync_relay(relay, source, now)
    return relay


def sync_relay(relay: Relay, source: ChangeServer | None, now: float) -> float:
    """Let a relay poll until it is up to date; return the time.

    Without a source, return after one poll without an answer.
    """
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
    msg = "relay is not up to date after 100 steps"
    raise AssertionError(msg)
