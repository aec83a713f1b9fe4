"""Demand meters: the request rate for each shared resource at this front, in parts of its home quota.

No I/O and no clock; all times are seconds of one monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

from cleatyoke.membership.wire import HOME_QUOTA_PARTS

WINDOW_SECONDS = 0.25  # length of a sampling window
MAX_IDLE_SECONDS = 30.0  # a meter without requests for this long is dropped
NOISE_DEVIATIONS = 2.0  # standard deviations from the average that count as noise
CHANGED_WEIGHT = 0.6  # weight of the latest window in the moving averages, if it differs by more than noise
STEADY_WEIGHT = 0.25  # weight of the latest window otherwise
MAX_KEYS = 4096  # meters; requests for further keys are not measured

Key = TypeVar("Key", bound=Hashable)


@dataclass(slots=True)
class DemandMeter:
    """The measured demand for one resource."""

    home_rate: float  # units a second that the home quota allows
    units: float = 0.0  # requested in the current window
    requests: int = 0  # in the current window
    demand: float = 0.0  # moving average, in parts of a home quota
    average_requests: float = 0.0  # moving average, requests per window
    last_request_at: float = 0.0

    def close_window(self, windows: float) -> None:
        """Update the moving averages with the current window and start the next one.

        ``windows``: the length of the current window, in multiples of ``WINDOW_SECONDS``.

        At low request rates, the counts of two windows can differ several times over by chance alone. Leases
        borrowed for such a burst are missing at fronts whose demand lasts. A window within
        ``NOISE_DEVIATIONS`` of the average, assuming Poisson arrivals, therefore gets a small weight; a
        larger change gets a large one, so that it takes effect at once.
        """
        window_demand = self.units / (self.home_rate * WINDOW_SECONDS * windows) * HOME_QUOTA_PARTS
        requests = self.requests / windows
        noise = NOISE_DEVIATIONS * math.sqrt(self.average_requests + 1)
        has_changed = abs(requests - self.average_requests) > noise
        weight = CHANGED_WEIGHT if has_changed else STEADY_WEIGHT
        self.demand += weight * (window_demand - self.demand)
        self.average_requests += weight * (requests - self.average_requests)
        self.units = 0.0
        self.requests = 0


class DemandMeters(Generic[Key]):
    """One demand meter per requested resource."""

    def __init__(self) -> None:
        self.by_key: dict[Key, DemandMeter] = {}
        self.window_started_at = 0.0

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
        """Return the current demand by key, in parts of a home quota; call it about once per window."""
        if now >= self.window_started_at + WINDOW_SECONDS:
            windows = max(1.0, (now - self.window_started_at) / WINDOW_SECONDS)
            for meter in self.by_key.values():
                meter.close_window(windows)
            self.window_started_at = now
            self.by_key = {
                key: meter
                for key, meter in self.by_key.items()
                if now < meter.last_request_at + MAX_IDLE_SECONDS
            }
        return {key: meter.demand for key, meter in self.by_key.items()}
