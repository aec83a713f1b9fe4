"""Arithmetic of the estimates: the slope fit of the control loop and running means. No decisions."""

from __future__ import annotations

GAIN = 0.1  # weight of one answer in a running mean, more where answers are rare
RISING_GAIN = GAIN / 4  # of a value above the mean, in a mean of the short values


def fit_slope(history: list[tuple[float, float]]) -> float | None:
    """Least-squares slope through the origin of performance steps over bound steps; None unless positive."""
    steps = [(later[0] - earlier[0], later[1] - earlier[1]) for earlier, later in zip(history, history[1:])]
    slope = sum(du * dy for du, dy in steps) / max(sum(du * du for du, _ in steps), 1e-12)
    return slope if slope > 0 else None


def mean_of_short_values(mean: float, value: float) -> float:
    """Running mean that follows short values faster than long ones: a service time free of queueing."""
    return mean + (GAIN if value < mean else RISING_GAIN) * (value - mean)


def clamp(value: float, low: float, high: float) -> float:
    """``value``, or the nearer end where it is outside of ``low`` to ``high``."""
    return max(low, min(high, value))
