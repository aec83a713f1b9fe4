"""Quota leases among many fronts in virtual time.

Each front runs the production ``coordination.quota_leases``, on a network with faults and with drifting
clocks, crashes and stopped processes. The highest sum of what all fronts may use is recorded, for comparison
with the total.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from cleatyoke.coordination.lease_events import DemandChanged, LeaseMessageReceived, PeersChanged
from cleatyoke.coordination.lease_terms import LeaseTerms
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.emulation.event_queue import EventQueue
from cleatyoke.emulation.network import Network
from cleatyoke.membership.wire import HOME_QUOTA_PARTS, LeaseGrant, LeaseRequest, MemberId

RESOURCE = "limit:1"
TICK_S = 0.05  # seconds between the periodic steps of a front
INITIAL_FRONTS_STARTED_AT = -3600.0  # seconds; so early that home quotas are available at once
LeasesFactory = Callable[[float, random.Random, LeaseTerms], QuotaLeases]

_decoder: msgspec.msgpack.Decoder[LeaseRequest | LeaseGrant] = msgspec.msgpack.Decoder(
    LeaseRequest | LeaseGrant
)
_encoder = msgspec.msgpack.Encoder()


@dataclass(slots=True)
class LeaseHolder:
    """One incarnation of a front."""

    id: MemberId
    leases: QuotaLeases
    clock_rate: float  # speed of its clock relative to true time
    stopped_until: float = -math.inf  # seconds of true time

    def local_time(self, now: float) -> float:
        """Return the time on its own clock at the true time ``now``."""
        return now * self.clock_rate


class LeaseSimulation(EventQueue):
    """``size`` fronts that share one resource.

    ``demands``, by front, are in parts, of which each front's own quota has ``HOME_QUOTA_PARTS``; set them
    between calls of ``run``. ``max_usable_parts``: the highest sum of what all fronts could use after any
    event; it must not exceed ``total_parts``.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        network: Network,
        terms: LeaseTerms | None = None,
        make: LeasesFactory = QuotaLeases,
    ) -> None:
        super().__init__()
        self.size = size
        self.network = network
        self.holders: dict[int, LeaseHolder] = {}  # by front
        self.demands = [0.0] * size
        self.max_usable_parts = 0
        self._seed = seed
        self._make = make
        self._terms = terms or LeaseTerms()
        # Part of the seed: another name would change all random sequences.
        self._rng = random.Random(f"market:{seed}")
        for front in range(size):
            self.start(front, began=INITIAL_FRONTS_STARTED_AT)
            self._schedule_tick(front, self._rng.random() * TICK_S)

    def after_event(self) -> None:
        """Update ``max_usable_parts``."""
        self.max_usable_parts = max(self.max_usable_parts, self.usable_parts())

    def usable_parts(self) -> int:
        """Return the sum of the parts that the fronts that are not stopped could use now."""
        return sum(
            holder.leases.usable_parts(RESOURCE, holder.local_time(self.now))
            for holder in self.holders.values()
            if self.now >= holder.stopped_until
        )

    def total_parts(self) -> int:
        """Return the number of parts of the resource."""
        return self.size * HOME_QUOTA_PARTS

    # Faults

    def start(self, front: int, began: float | None = None) -> None:
        """Start a new incarnation, now or at ``began``, and notify all fronts of their current peers."""
        boot = self.holders[front].id.boot + 1 if front in self.holders else 1
        drift = self._terms.clock_drift / 2
        clock_rate = 1 + self._rng.uniform(-drift, drift)
        since = (self.now if began is None else began) * clock_rate
        leases = self._make(since, random.Random(f"{self._seed}:{front}:{boot}"), self._terms)
        self.holders[front] = LeaseHolder(MemberId(f"front-{front}", boot), leases, clock_rate)
        for holder in self.holders.values():
            others = tuple(other.id for other in self.holders.values() if other is not holder)
            holder.leases.step(holder.local_time(self.now), [PeersChanged(others)])

    def stop(self, front: int, seconds: float) -> None:
        """Stop a front's process as SIGSTOP would, for this many seconds."""
        self.holders[front].stopped_until = self.now + seconds

    # Steps

    def _schedule_tick(self, front: int, when: float) -> None:
        self.schedule(when, lambda: self._tick(front))

    def _tick(self, front: int) -> None:
        self._schedule_tick(front, self.now + TICK_S)
        self._step(front, DemandChanged({RESOURCE: self.demands[front]}))

    def _step(self, front: int, event: DemandChanged | LeaseMessageReceived) -> None:
        holder = self.holders[front]
        if self.now < holder.stopped_until:
            if isinstance(event, LeaseMessageReceived):  # stays in the socket buffer
                self.schedule(holder.stopped_until, lambda: self._receive_when_resumed(holder, front, event))
            return
        for envelope in holder.leases.step(holder.local_time(self.now), [event]):
            self._send(front, holder.id, envelope.receiver, _encoder.encode(envelope.message))

    def _send(self, front: int, sender: MemberId, receiver: MemberId, data: bytes) -> None:
        target = int(receiver.name.partition("-")[2])
        for after, arrived in self.network.datagram(str(front), str(target), data):
            if arrived != data:  # the receiver would reject a corrupted datagram by its checksum
                continue
            self.schedule(self.now + after, lambda: self._deliver(target, receiver, sender, data))

    def _deliver(self, target: int, receiver: MemberId, sender: MemberId, data: bytes) -> None:
        if self.holders[target].id == receiver:
            self._step(target, LeaseMessageReceived(sender, _decoder.decode(data)))

    def _receive_when_resumed(self, holder: LeaseHolder, front: int, event: LeaseMessageReceived) -> None:
        if self.holders[front] is holder:
            self._step(front, event)
