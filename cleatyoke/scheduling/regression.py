"""Arithmetic of the policy, with no decision in it."""

from __future__ import annotations

GAIN = 0.1  # weight of one answer in a running mean, more where answers are rare


def fit(history: list[tuple[float, float]]) -> float | None:
    """Least-squares slope through the origin of performance steps over bound steps; None unless positive."""
    steps = [(b[0] - a[0], b[1] - a[1]) for a, b in zip(history, history[1:])]
    slope = sum(du * dy for du, dy in steps) / max(sum(du * du for du, _ in steps), 1e-12)
    return slope if slope > 0 else None


def short_mean(mean: float, value: float) -> float:
    return mean + (GAIN if value < mean else GAIN / 4) * (value - mean)


def clamp(value: float, least: float, most: float) -> float:
    return max(least, min(most, value))
