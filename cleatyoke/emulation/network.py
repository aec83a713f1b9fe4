"""Links among addresses, with their faults. What becomes of a message is drawn from the message, its link
and the seed, never from a generator that runs on: a fault elsewhere changes nothing here.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field

MOST_MET = 100_000  # messages whose earlier passages are remembered


@dataclass(slots=True, frozen=True)
class Fault:
    """On every link from one of ``sources`` to one of ``targets``, on top of what the network does anyway."""

    sources: frozenset[str]
    targets: frozenset[str]
    cut: bool = False
    loss: float = 0.0
    doubles: float = 0.0
    garbles: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0


@dataclass(slots=True)
class Network:
    """Delays in seconds; shares from 0 to 1. A stream is a message that is not lost but by a cut."""

    seed: int = 0
    delay: float = 0.002
    jitter: float = 0.003
    loss: float = 0.0
    doubles: float = 0.0
    garbles: float = 0.0
    cut: dict[str, int] = field(default_factory=dict)  # address: its side, 0 if it has none
    deaf: set[tuple[str, str]] = field(default_factory=set)  # from, to: one way cut
    slow: dict[str, float] = field(default_factory=dict)  # address: seconds more for its messages
    faults: list[Fault] = field(default_factory=list)
    met: dict[int, int] = field(default_factory=dict)  # message on its link: how often it came before

    def passage(self, source: str, target: str, data: bytes) -> int:
        """A number that stands for this message, on this link, the so-manieth time."""
        key = zlib.crc32(data, zlib.crc32(f"{self.seed}:{source}:{target}:".encode()))
        if len(self.met) >= MOST_MET:
            self.met.clear()
        times = self.met[key] = self.met.get(key, 0) + 1
        return zlib.crc32(times.to_bytes(4, "big"), key)

    @staticmethod
    def chance(passage: int, what: str) -> float:
        return zlib.crc32(what.encode(), passage) / 2**32

    def on(self, source: str, target: str) -> Iterator[Fault]:
        return (one for one in self.faults if source in one.sources and target in one.targets)

    def parted(self, source: str, target: str) -> bool:
        if (source, target) in self.deaf or self.cut.get(source, 0) != self.cut.get(target, 0):
            return True
        return any(fault.cut for fault in self.on(source, target))

    def takes(self, source: str, target: str, draw: float) -> float:
        delay = self.delay + self.slow.get(source, 0.0) + self.slow.get(target, 0.0)
        jitter = self.jitter
        for fault in self.on(source, target):
            delay, jitter = delay + fault.delay, jitter + fault.jitter
        return delay + jitter * draw

    def share(self, what: str, source: str, target: str) -> float:
        """Of messages on this link that meet this: ``loss``, ``doubles`` or ``garbles``."""
        spared = 1.0 - float(getattr(self, what))
        for fault in self.on(source, target):
            spared *= 1.0 - getattr(fault, what)
        return 1.0 - spared

    def datagram(self, source: str, target: str, data: bytes) -> list[tuple[float, bytes]]:
        """What arrives of it, each after so many seconds; nothing, or twice, or not as it was."""
        one = self.passage(source, target, data)
        if self.parted(source, target) or self.chance(one, "loss") < self.share("loss", source, target):
            return []
        out = [(self.takes(source, target, self.chance(one, "delay")), data)]
        if self.chance(one, "double") < self.share("doubles", source, target):
            out.append((self.takes(source, target, 3 * self.chance(one, "again")), data))
        garbles = self.share("garbles", source, target)
        if data and (draw := self.chance(one, "garble")) < garbles:
            place = int(draw / garbles * len(data))
            bad = data[:place] + bytes([data[place] ^ 0x55]) + data[place + 1 :]
            out = [(after, bad) for after, _ in out]
        return out

    def stream(self, source: str, target: str, data: bytes) -> float | None:
        """Seconds until it has come whole; None: it never does. A cut one way parts both, as nothing is
        acknowledged; loss only makes it slower.
        """
        if self.parted(source, target) or self.parted(target, source):
            return None
        again = 1 + 5 * self.share("loss", source, target)
        one = self.passage(source, target, data)
        return again * self.takes(source, target, self.chance(one, "delay"))
