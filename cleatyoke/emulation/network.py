"""Network links between addresses, with faults; used in virtual time and by the fault relay.

The outcome of a message is a hash of the message, its link and the seed, not the next value of a random
generator. A fault on one link therefore changes nothing on another, and a run that sends the same messages
meets the same faults.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_COUNTED_MESSAGES = 100_000  # distinct messages whose repetitions are counted; then counting restarts
STREAM_LOSS_DELAYS = 5  # added delays of a stream at a loss of 1.0, in proportion at lower loss
CORRUPTION_MASK = 0x55  # bits that corruption flips in one byte


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault on every link from one of ``sources`` to one of ``targets``, in addition to the network's own.

    Delays are in seconds; loss, duplication and corruption are fractions of the messages.
    """

    sources: frozenset[str]
    targets: frozenset[str]
    cut: bool = False
    loss: float = 0.0
    duplication: float = 0.0
    corruption: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0


class Delivery(NamedTuple):
    """A delivered copy of a datagram."""

    after: float  # seconds since the sending
    data: bytes


@dataclass(slots=True)
class Network:
    """Links with delays in seconds and faults as fractions of the messages, from 0 to 1.

    Datagrams may be lost, duplicated or corrupted. Messages on a stream are lost only through a cut.
    """

    seed: int = 0
    delay: float = 0.002
    jitter: float = 0.003
    loss: float = 0.0
    duplication: float = 0.0
    corruption: float = 0.0
    sides: dict[str, int] = field(default_factory=dict)  # address: its side of a partition; 0 if absent
    cut_one_way: set[tuple[str, str]] = field(default_factory=set)  # from, to
    extra_delay: dict[str, float] = field(default_factory=dict)  # address: added seconds, in both directions
    faults: list[Fault] = field(default_factory=list)
    send_counts: dict[int, int] = field(default_factory=dict)  # hash of message and link: times sent

    def transmission_hash(self, source: str, target: str, data: bytes) -> int:
        """Return a hash of this message on this link; each repetition of the message has a different one."""
        key = zlib.crc32(data, zlib.crc32(f"{self.seed}:{source}:{target}:".encode()))
        if len(self.send_counts) >= MAX_COUNTED_MESSAGES:
            self.send_counts.clear()
        count = self.send_counts.get(key, 0) + 1
        self.send_counts[key] = count
        return zlib.crc32(count.to_bytes(4, "big"), key)

    @staticmethod
    def draw(transmission: int, purpose: str) -> float:
        """Return a number from 0 to 1 that decides ``purpose`` for the transmission with this hash.

        The purposes are part of the hash: renaming one would change the faults of recorded seeds.
        """
        return zlib.crc32(purpose.encode(), transmission) / 2**32

    def faults_on(self, source: str, target: str) -> Iterator[Fault]:
        """Return the faults on this link, in the order in which they were added."""
        return (fault for fault in self.faults if source in fault.sources and target in fault.targets)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether all messages from ``source`` to ``target`` are lost."""
        if (source, target) in self.cut_one_way or self.sides.get(source, 0) != self.sides.get(target, 0):
            return True
        return any(fault.cut for fault in self.faults_on(source, target))

    def transit_time(self, source: str, target: str, draw: float) -> float:
        """Return the seconds that a message takes; ``draw`` is the factor on the jitter."""
        delay = self.delay + self.extra_delay.get(source, 0.0) + self.extra_delay.get(target, 0.0)
        jitter = self.jitter
        for fault in self.faults_on(source, target):
            delay += fault.delay
            jitter += fault.jitter
        return delay + jitter * draw

    def _loss(self, source: str, target: str) -> float:
        return _combine(self.loss, (fault.loss for fault in self.faults_on(source, target)))

    def _duplication(self, source: str, target: str) -> float:
        return _combine(self.duplication, (fault.duplication for fault in self.faults_on(source, target)))

    def _corruption(self, source: str, target: str) -> float:
        return _combine(self.corruption, (fault.corruption for fault in self.faults_on(source, target)))

    def datagram(self, source: str, target: str, data: bytes) -> list[Delivery]:
        """Return the deliveries of a datagram: none, one or two."""
        transmission = self.transmission_hash(source, target, data)
        if self.is_cut(source, target):
            return []
        if self.draw(transmission, "loss") < self._loss(source, target):
            return []
        first = self.transit_time(source, target, self.draw(transmission, "delay"))
        copies = [Delivery(first, data)]
        if self.draw(transmission, "double") < self._duplication(source, target):
            second = self.transit_time(source, target, 3 * self.draw(transmission, "again"))
            copies.append(Delivery(second, data))
        corruption = self._corruption(source, target)
        draw = self.draw(transmission, "garble")
        if data and draw < corruption:
            index = int(draw / corruption * len(data))
            corrupted = data[:index] + bytes([data[index] ^ CORRUPTION_MASK]) + data[index + 1 :]
            copies = [Delivery(after, corrupted) for after, _ in copies]
        return copies

    def stream(self, source: str, target: str, data: bytes) -> float | None:
        """Return the seconds until a message on a stream has arrived in full, or None if it never does.

        A cut in one direction breaks both, since acknowledgements are lost; loss only slows the stream down.
        """
        if self.is_cut(source, target) or self.is_cut(target, source):
            return None
        slowdown = 1 + STREAM_LOSS_DELAYS * self._loss(source, target)
        transmission = self.transmission_hash(source, target, data)
        return slowdown * self.transit_time(source, target, self.draw(transmission, "delay"))


def _combine(own: float, others: Iterable[float]) -> float:
    """Return the fraction of messages that meet at least one of these faults."""
    unaffected = 1.0 - own
    for fraction in others:
        unaffected *= 1.0 - fraction
    return 1.0 - unaffected
