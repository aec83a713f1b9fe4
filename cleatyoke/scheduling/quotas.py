"""Quotas of this front: token buckets, and the clocks by which its share of a quota changes over time."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class TokenBucket:
    """Units that fill up at a rate, to a ceiling at most; the level may be negative (a debt)."""

    __slots__ = ("filled_at", "level")

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.filled_at = now

    def fill(self, rate: float, ceiling: float, now: float) -> None:
        """Add what ``rate`` (units a second) has brought since the last call."""
        self.level = min(ceiling, self.level + rate * (now - self.filled_at))
        self.filled_at = now


class QuotaClock:
    """Virtual time, by which buckets of rate limits are filled: one second counts as ``fraction`` seconds.

    A bucket filled by it gets rate * fraction, also across changes of the fraction.
    """

    def __init__(self, fraction: float, now: float) -> None:
        self.fraction = fraction
        self.counted = 0.0  # time on this clock as of ``changed_at``
        self.changed_at = now

    def time(self, now: float) -> float:
        """Time on this clock, in seconds."""
        return self.counted + self.fraction * max(0.0, now - self.changed_at)

    def change(self, fraction: float, now: float) -> None:
        """Run at this fraction from ``now`` on."""
        self.counted = self.time(now)
        self.changed_at = max(now, self.changed_at)
        self.fraction = fraction


class _HasQuotaClock(Protocol):
    lease_clock: QuotaClock


class QuotaLeaseMultipliers:
    """Lease multipliers on this front's even share of each volume's rate limit; 1 where none is leased."""

    def __init__(self) -> None:
        self._multipliers: dict[int, float] = {}

    def before_first_use(self, volume_id: int) -> float:
        """Return the multiplier for the time before a volume is known here.

        What was leased to others may have been used by them, and what was leased from them was not ours then.
        """
        return min(1.0, self._multipliers.get(volume_id, 1.0))

    def change(
        self, volume_id: int, multiplier: float, volumes: Mapping[int, _HasQuotaClock], now: float
    ) -> None:
        """Take a new multiplier. ``now``: as the buckets of the limits count time."""
        self._multipliers[volume_id] = multiplier
        if multiplier == 1.0:
            del self._multipliers[volume_id]
        if volume_id in volumes:
            volumes[volume_id].lease_clock.change(multiplier, now)
