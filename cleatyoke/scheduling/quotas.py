"""Quotas of this front: token buckets, and the virtual clocks that scale how fast they fill."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class TokenBucket:
    """A token bucket that fills at a rate up to a ceiling; its level may be negative (a debt)."""

    __slots__ = ("filled_at", "level")

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.filled_at = now

    def fill(self, rate: float, ceiling: float, now: float) -> None:
        """Add the units of ``rate`` (units per second) since the last call."""
        self.level = min(ceiling, self.level + rate * (now - self.filled_at))
        self.filled_at = now


class QuotaClock:
    """Virtual clock for filling the buckets of rate limits: one second counts as ``fraction`` seconds.

    A bucket that is filled by this clock fills at rate * fraction, also across changes of the fraction.
    """

    def __init__(self, fraction: float, now: float) -> None:
        self.fraction = fraction
        self.virtual_time = 0.0  # time on this clock at ``changed_at``
        self.changed_at = now

    def time(self, now: float) -> float:
        """Return the time on this clock in seconds."""
        return self.virtual_time + self.fraction * max(0.0, now - self.changed_at)

    def change(self, fraction: float, now: float) -> None:
        """Use this fraction from ``now`` on."""
        self.virtual_time = self.time(now)
        self.changed_at = max(now, self.changed_at)
        self.fraction = fraction


class _HasQuotaClock(Protocol):
    lease_clock: QuotaClock


class QuotaLeaseMultipliers:
    """Lease multipliers on this front's even share of each volume's rate limit; 1 without a lease."""

    def __init__(self) -> None:
        self._multipliers: dict[int, float] = {}

    def initial_multiplier(self, volume_id: int) -> float:
        """Return the multiplier for the time before this front's first use of a volume.

        At most 1: quota leased to other fronts may have been used by them, and quota leased from other fronts
        was not available to this front during that time.
        """
        return min(1.0, self._multipliers.get(volume_id, 1.0))

    def change(
        self, volume_id: int, multiplier: float, volumes: Mapping[int, _HasQuotaClock], now: float
    ) -> None:
        """Set the multiplier of a volume. ``now``: on the clock that fills the rate limits' buckets."""
        self._multipliers[volume_id] = multiplier
        if multiplier == 1.0:
            del self._multipliers[volume_id]
        if volume_id in volumes:
            volumes[volume_id].lease_clock.change(multiplier, now)
