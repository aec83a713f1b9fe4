"""Demand meters: how much of each shared resource this front is asked for, in parts of its home quota.

No I/O and no clock; all times are seconds of one monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

from cleatyoke.membership.wire import HOME_PARTS

SPAN_SECONDS = 0.25  # over which requests are summed up
MAX_IDLE_SECONDS = 30.0  # without a request, after which a meter is dropped
NOISE_DEVIATIONS = 2.0  # standard deviations by which a span may differ from the usual by chance
CHANGED_WEIGHT = 0.6  # of the latest span in the average, where it differs by more than chance
STEADY_WEIGHT = 0.25  # of the latest span in the average, otherwise
MAX_KEYS = 4096  # meters; requests for further keys are not measured

Key = TypeVar("Key", bound=Hashable)


@dataclass(slots=True)
class DemandMeter:
    """The measured demand of one resource."""

    home_rate: float  # units a second that the home quota allows
    units: float = 0.0  # requested in the present span
    requests: int = 0  # in the present span
    demand: float = 0.0  # moving average, in parts of a home quota
    usual_requests: float = 0.0  # moving average, requests in a span
    last_request_at: float = 0.0

    def close_span(self, spans: float) -> None:
        """Take the present span, ``spans`` times as long as usual, into the averages and begin the next.

        Where requests are few, chance alone makes one span several times another. Leases borrowed for such
        a burst are lacking where the demand lasts. So a span within ``NOISE_DEVIATIONS`` of a Poisson
        process has a small weight, and a greater change counts at once.
        """
        latest = self.units / (self.home_rate * SPAN_SECONDS * spans) * HOME_PARTS
        requests = self.requests / spans
        noise = NOISE_DEVIATIONS * math.sqrt(self.usual_requests + 1)
        has_changed = abs(requests - self.usual_requests) > noise
        weight = CHANGED_WEIGHT if has_changed else STEADY_WEIGHT
        self.demand += weight * (latest - self.demand)
        self.usual_requests += weight * (requests - self.usual_requests)
        self.units = 0.0
        self.requests = 0


class DemandMeters(Generic[Key]):
    """A meter for each resource that requests ask for."""

    def __init__(self) -> None:
        self.by_key: dict[Key, DemandMeter] = {}
        self.span_started_at = 0.0

    def record(self, now: float, key: Key, units: float, home_rate: float) -> None:
        """Count a request of ``units``. ``home_rate``: units a second that the home quota allows now."""
        if key not in self.by_key and len(self.by_key) >= MAX_KEYS:
            return
        meter = self.by_key.setdefault(key, DemandMeter(home_rate))
        meter.home_rate = home_rate
        meter.last_request_at = now
        meter.units += units
        meter.requests += 1

    def demand(self, now: float) -> dict[Key, float]:
        """The present demand by key, in parts of a home quota; to be called about once a span."""
        if now >= self.span_started_at + SPAN_SECONDS:
            spans = max(1.0, (now - self.span_started_at) / SPAN_SECONDS)
            for meter in self.by_key.values():
                meter.close_span(spans)
            self.span_started_at = now
            self.by_key = {
                key: meter
                for key, meter in self.by_key.items()
                if now < meter.last_request_at + MAX_IDLE_SECONDS
            }
        return {key: meter.demand for key, meter in self.by_key.items()}
