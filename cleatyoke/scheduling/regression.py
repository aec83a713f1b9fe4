"""Arithmetic for estimates: the slope fit of the control loop, and running means."""

from __future__ import annotations

GAIN = 0.1  # weight of one answer in a running mean; callers use more if answers are rare
RISING_GAIN = GAIN / 4  # weight of a value above the mean, in ``mean_of_short_values``


def fit_slope(history: list[tuple[float, float]]) -> float | None:
    """Return the least-squares slope through the origin of performance steps over bound steps if positive."""
    steps = [(later[0] - earlier[0], later[1] - earlier[1]) for earlier, later in zip(history, history[1:])]
    slope = sum(du * dy for du, dy in steps) / max(sum(du * du for du, _ in steps), 1e-12)
    return slope if slope > 0 else None


def mean_of_short_values(mean: float, value: float) -> float:
    """Update a running mean that follows short values faster than long ones, to exclude queueing time."""
    return mean + (GAIN if value < mean else RISING_GAIN) * (value - mean)


def clamp(value: float, low: float, high: float) -> float:
    """Return ``value`` limited to the range from ``low`` to ``high``."""
    return max(low, min(high, value))
