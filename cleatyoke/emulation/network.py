"""Links among addresses, with their faults, in virtual time or behind a relay.

What becomes of a message is derived from the message, its link and the seed, never drawn from a generator
that advances: a fault on one link changes nothing on another, and a run with the same messages meets the
same faults.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_PASSAGES = 100_000  # messages whose earlier passages are remembered
STREAM_LOSS_DELAYS = 5  # delays more of a stream whose every message is lost once
CORRUPTION_MASK = 0x55  # the bits of a byte that corruption flips


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault on every link from one of ``sources`` to one of ``targets``, on top of the network's own.

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
    """A copy of a datagram that arrives."""

    after: float  # seconds
    data: bytes


@dataclass(slots=True)
class Network:
    """Links with delays in seconds and faults as fractions of the messages, from 0 to 1.

    A datagram may be lost, duplicated or corrupted. A stream's message is lost by a cut only.
    """

    seed: int = 0
    delay: float = 0.002
    jitter: float = 0.003
    loss: float = 0.0
    duplication: float = 0.0
    corruption: float = 0.0
    sides: dict[str, int] = field(default_factory=dict)  # address: its side of a partition, 0 if not named
    cut_one_way: set[tuple[str, str]] = field(default_factory=set)  # from, to
    extra_delay: dict[str, float] = field(default_factory=dict)  # address: seconds more for its messages
    faults: list[Fault] = field(default_factory=list)
    passages: dict[int, int] = field(default_factory=dict)  # message on its link: how often it came before

    def passage(self, source: str, target: str, data: bytes) -> int:
        """Return a number for this message on this link; each repetition of it has another one."""
        key = zlib.crc32(data, zlib.crc32(f"{self.seed}:{source}:{target}:".encode()))
        if len(self.passages) >= MAX_PASSAGES:
            self.passages.clear()
        times = self.passages.get(key, 0) + 1
        self.passages[key] = times
        return zlib.crc32(times.to_bytes(4, "big"), key)

    @staticmethod
    def chance(passage: int, what: str) -> float:
        """Return a number from 0 to 1 that decides ``what`` for this passage."""
        return zlib.crc32(what.encode(), passage) / 2**32

    def faults_on(self, source: str, target: str) -> Iterator[Fault]:
        """Return the faults of this link, in the order in which they were added."""
        return (one for one in self.faults if source in one.sources and target in one.targets)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether no message passes from ``source`` to ``target``."""
        if (source, target) in self.cut_one_way or self.sides.get(source, 0) != self.sides.get(target, 0):
            return True
        return any(fault.cut for fault in self.faults_on(source, target))

    def transit_time(self, source: str, target: str, draw: float) -> float:
        """Return the seconds that a message takes; ``draw`` is its part of the jitter."""
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
        """Return what arrives of a datagram: nothing, one copy or two."""
        passage = self.passage(source, target, data)
        if self.is_cut(source, target):
            return []
        if self.chance(passage, "loss") < self._loss(source, target):
            return []
        first = self.transit_time(source, target, self.chance(passage, "delay"))
        copies = [Delivery(first, data)]
        if self.chance(passage, "double") < self._duplication(source, target):
            again = self.transit_time(source, target, 3 * self.chance(passage, "again"))
            copies.append(Delivery(again, data))
        corruption = self._corruption(source, target)
        draw = self.chance(passage, "garble")
        if data and draw < corruption:
            place = int(draw / corruption * len(data))
            corrupted = data[:place] + bytes([data[place] ^ CORRUPTION_MASK]) + data[place + 1 :]
            copies = [Delivery(after, corrupted) for after, _ in copies]
        return copies

    def stream(self, source: str, target: str, data: bytes) -> float | None:
        """Return the seconds until a stream's message has arrived complete, or None if it never does.

        A cut in one direction breaks both, as nothing is acknowledged; loss only makes the stream slower.
        """
        if self.is_cut(source, target) or self.is_cut(target, source):
            return None
        slowdown = 1 + STREAM_LOSS_DELAYS * self._loss(source, target)
        passage = self.passage(source, target, data)
        return slowdown * self.transit_time(source, target, self.chance(passage, "delay"))


def _combine(own: float, others: Iterable[float]) -> float:
    """Return the fraction of messages that meet at least one of these faults."""
    spared = 1.0 - own
    for fraction in others:
        spared *= 1.0 - fraction
    return 1.0 - spared
