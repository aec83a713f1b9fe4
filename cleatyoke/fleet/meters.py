"""How much of each shared thing is asked for here, in parts of this front's home in it. No input, output or
clock; times are of one clock."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

from cleatyoke.fleet.wire import HOME

SPAN = 0.25  # seconds over which what is asked for is summed up
IDLE = 30.0  # seconds without a request after which a thing is no longer kept account of
MOST = 4096  # things that are kept account of

Key = TypeVar("Key", bound=Hashable)


@dataclass(slots=True)
class Meter:
    home: float  # units a second that the home part gives
    asked: float = 0.0  # units, in the span that runs
    need: float = 0.0  # parts of a home, over the last two spans
    last: float = 0.0  # when one was asked for


class Meters(Generic[Key]):
    def __init__(self) -> None:
        self.by_key: dict[Key, Meter] = {}
        self.span_at = 0.0

    def asked(self, now: float, key: Key, units: float, home: float) -> None:
        """``home``: units a second. Of one thing more than can be kept account of nothing is noted."""
        if key not in self.by_key and len(self.by_key) >= MOST:
            return
        meter = self.by_key.setdefault(key, Meter(home))
        meter.home, meter.last = home, now
        meter.asked += units

    def needs(self, now: float) -> dict[Key, float]:
        """By thing, in parts of a home."""
        if now >= self.span_at + SPAN:
            spans = max(1.0, (now - self.span_at) / SPAN)
            for meter in self.by_key.values():
                latest = meter.asked / (meter.home * SPAN * spans) * HOME
                meter.need, meter.asked = (meter.need + latest) / 2, 0.0
            self.span_at = now
            self.by_key = {key: meter for key, meter in self.by_key.items() if now < meter.last + IDLE}
        return {key: meter.need for key, meter in self.by_key.items()}
