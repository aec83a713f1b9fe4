"""Rights among many fronts in virtual time: real ``fleet.rights`` on a network with faults, clocks that run
apart, crashes and stops; at each event the sum of what all may use against the whole.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from cleatyoke.coordination.lease_events import DemandChanged, LeaseMessageReceived, PeersChanged
from cleatyoke.coordination.lease_terms import LeaseTerms
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.emulation.network import Network
from cleatyoke.membership.wire import HOME_PARTS, LeaseGrant, LeaseRequest, MemberId

RESOURCE = "limit:1"
TICK = 0.05  # seconds between two steps that nothing else brings about
Make = Callable[[float, random.Random, LeaseTerms], QuotaLeases]
decoder: msgspec.msgpack.Decoder[LeaseRequest | LeaseGrant] = msgspec.msgpack.Decoder(
    LeaseRequest | LeaseGrant
)
encoder = msgspec.msgpack.Encoder()


@dataclass(slots=True)
class LeaseHolder:
    """A front's life."""

    id: MemberId
    rights: QuotaLeases
    pace: float  # of its clock against the true one
    stopped_until: float = -math.inf

    def clock(self, now: float) -> float:
        return now * self.pace


class LeaseSimulation:
    """``size`` fronts that share one resource; ``needs`` in parts of a home each."""

    def __init__(
        self,
        size: int,
        seed: int,
        network: Network,
        terms: LeaseTerms | None = None,
        make: Make = QuotaLeases,
    ) -> None:
        self.size, self.seed, self.network, self.make = size, seed, network, make
        self.terms, self.rng, self.now = terms or LeaseTerms(), random.Random(f"market:{seed}"), 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.entries = self.messages = 0
        self.traders: dict[int, LeaseHolder] = {}
        self.needs = [0.0] * size
        self.most = 0  # parts that all together could use, at any event
        for front in range(size):
            self.start(front, began=-3600.0)
            self.at(self.rng.random() * TICK, lambda front=front: self.tick(front))  # type: ignore[misc]

    def at(self, when: float, act: Callable[[], None]) -> None:
        self.entries += 1
        heapq.heappush(self.heap, (when, self.entries, act))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self.heap)
            act()
            self.most = max(self.most, self.usable())
        self.now = until

    def usable(self) -> int:
        return sum(
            one.rights.usable_parts(RESOURCE, one.clock(self.now))
            for one in self.traders.values()
            if self.now >= one.stopped_until
        )

    def whole(self) -> int:
        return self.size * HOME_PARTS

    # Faults

    def start(self, front: int, began: float | None = None) -> None:
        """A new life; ``began`` long ago: the fleet has run for a while."""
        boot = self.traders[front].id.boot + 1 if front in self.traders else 1
        drift = self.terms.clock_drift / 2
        pace = 1 + self.rng.uniform(-drift, drift)
        since = (self.now if began is None else began) * pace
        rights = self.make(since, random.Random(f"{self.seed}:{front}:{boot}"), self.terms)
        self.traders[front] = LeaseHolder(MemberId(f"front-{front}", boot), rights, pace)
        for trader in self.traders.values():
            others = tuple(one.id for one in self.traders.values() if one is not trader)
            trader.rights.step(trader.clock(self.now), [PeersChanged(others)])

    def stop(self, front: int, seconds: float) -> None:
        self.traders[front].stopped_until = self.now + seconds

    # Steps

    def tick(self, front: int) -> None:
        self.at(self.now + TICK, lambda: self.tick(front))
        self.step(front, DemandChanged({RESOURCE: self.needs[front]}))

    def step(self, front: int, event: DemandChanged | LeaseMessageReceived) -> None:
        trader = self.traders[front]
        if self.now < trader.stopped_until:
            if isinstance(event, LeaseMessageReceived):  # its socket holds it
                self.at(trader.stopped_until, lambda: self.reach(trader, front, event))
            return
        for post in trader.rights.step(trader.clock(self.now), [event]):
            data = encoder.encode(post.message)
            self.messages += 1
            target = int(post.receiver.name.partition("-")[2])
            for after, came in self.network.datagram(str(front), str(target), data):
                if came == data:  # what is not as it was sent is refused by its checksum
                    self.at(
                        self.now + after,
                        lambda came=came, to=post.receiver, target=target: (  # type: ignore[misc]
                            self.deliver(target, to, trader.id, came)
                        ),
                    )

    def deliver(self, target: int, to: MemberId, sender: MemberId, data: bytes) -> None:
        if self.traders[target].id == to:
            self.step(target, LeaseMessageReceived(sender, decoder.decode(data)))

    def reach(self, trader: LeaseHolder, front: int, event: LeaseMessageReceived) -> None:
        if self.traders[front] is trader:
            self.step(front, event)
