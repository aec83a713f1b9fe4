"""How much of each shared thing is asked for here, in parts of this front's home in it. No input, output or
clock; times are of one clock.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

from cleatyoke.membership.wire import HOME_PARTS

SPAN = 0.25  # seconds over which what is asked for is summed up
IDLE = 30.0  # seconds without a request after which a thing is no longer kept account of
CHANCE = 2.0  # standard deviations within which a span is like those before it
QUICK, SLOW = 0.6, 0.25  # weights of a span that is not, and of one that is
MOST = 4096  # things that are kept account of

Key = TypeVar("Key", bound=Hashable)


@dataclass(slots=True)
class DemandMeter:
    home: float  # units a second that the home part gives
    asked: float = 0.0  # units, in the span that runs ...
    times: int = 0  # ... by so many requests
    need: float = 0.0  # parts of a home
    usual: float = 0.0  # requests in a span
    last: float = 0.0  # when one was asked for


class DemandMeters(Generic[Key]):
    def __init__(self) -> None:
        self.by_key: dict[Key, DemandMeter] = {}
        self.span_at = 0.0

    def asked(self, now: float, key: Key, units: float, home: float) -> None:
        """``home``: units a second. Of one thing more than can be kept account of nothing is noted."""
        if key not in self.by_key and len(self.by_key) >= MOST:
            return
        meter = self.by_key.setdefault(key, DemandMeter(home))
        meter.home, meter.last = home, now
        meter.asked += units
        meter.times += 1

    def needs(self, now: float) -> dict[Key, float]:
        """By thing, in parts of a home."""
        if now >= self.span_at + SPAN:
            spans = max(1.0, (now - self.span_at) / SPAN)
            for meter in self.by_key.values():
                latest, times = meter.asked / (meter.home * SPAN * spans) * HOME_PARTS, meter.times / spans
                # Where few ask, chance alone makes one span three times the other: parts that were borrowed
                # for that are lacking where the need is. More than chance is believed at once.
                chance = CHANCE * math.sqrt(meter.usual + 1)
                weight = QUICK if abs(times - meter.usual) > chance else SLOW
                meter.need += weight * (latest - meter.need)
                meter.usual += weight * (times - meter.usual)
                meter.asked, meter.times = 0.0, 0
            self.span_at = now
            self.by_key = {key: meter for key, meter in self.by_key.items() if now < meter.last + IDLE}
        return {key: meter.need for key, meter in self.by_key.items()}
