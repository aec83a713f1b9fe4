"""Links among addresses, with their faults. What becomes of a message is drawn from the message, its link
and the seed, never from a generator that runs on: a fault elsewhere changes nothing here.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

FIRST, SECOND = 0, 1  # of a datagram and its copy


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
    sent: int = 0

    def chance(self, what: str, source: str, target: str, data: bytes) -> float:
        key = f"{self.seed}:{what}:{source}:{target}:{self.sent}:".encode()
        return zlib.crc32(data, zlib.crc32(key)) / 2**32

    def parted(self, source: str, target: str) -> bool:
        return (source, target) in self.deaf or self.cut.get(source, 0) != self.cut.get(target, 0)

    def takes(self, source: str, target: str, draw: float) -> float:
        slow = self.slow.get(source, 0.0) + self.slow.get(target, 0.0)
        return self.delay + self.jitter * draw + slow

    def datagram(self, source: str, target: str, data: bytes) -> list[tuple[float, bytes]]:
        """What arrives of it, each after so many seconds; nothing, or twice, or not as it was."""
        self.sent += 1
        if self.parted(source, target) or self.chance("loss", source, target, data) < self.loss:
            return []
        out = [(self.takes(source, target, self.chance("delay", source, target, data)), data)]
        if self.chance("double", source, target, data) < self.doubles:
            out.append((self.takes(source, target, 3 * self.chance("again", source, target, data)), data))
        if (draw := self.chance("garble", source, target, data)) < self.garbles:
            place = int(draw / self.garbles * len(data))
            bad = data[:place] + bytes([data[place] ^ 0x55]) + data[place + 1 :]
            out = [(after, bad) for after, _ in out]
        return out

    def stream(self, source: str, target: str, data: bytes) -> float | None:
        """Seconds until it has come whole; None: it never does. A cut one way parts both, as nothing is
        acknowledged; loss only makes it slower."""
        self.sent += 1
        if self.parted(source, target) or self.parted(target, source):
            return None
        again = 1 + 5 * self.loss
        return again * self.takes(source, target, self.chance("delay", source, target, data))
