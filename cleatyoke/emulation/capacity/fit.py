"""Fits a power law to measured points, by least squares in log-log space, and extrapolates it."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy

FLOOR = 1e-12  # substitute for values of 0 or less, which have no logarithm


@dataclass(slots=True, frozen=True)
class Fit:
    """``factor * size ** exponent``. ``residual``: root mean square of the residuals in natural logs, so that
    0.1 is about 10%. ``error``: standard error of the exponent.
    """

    factor: float
    exponent: float
    residual: float
    error: float

    def at(self, size: float) -> float:
        return self.factor * math.exp(self.exponent * math.log(size))

    def range_at(self, size: float, largest: float) -> tuple[float, float]:
        """Return the range of the value at ``size``: two residuals, plus two standard errors of the exponent
        over the distance from ``largest``, the largest measured size.
        """
        beyond = 2 * self.error * max(0.0, math.log(size / largest))
        spread = math.exp(2 * self.residual + beyond)
        return self.at(size) / spread, self.at(size) * spread


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Fit points of (size, value). Raises ``ValueError`` for fewer than two different sizes."""
    if len({size for size, _ in points}) < 2:
        msg = "a fit needs points of at least two different sizes"
        raise ValueError(msg)
    sizes = numpy.log([size for size, _ in points])
    values = numpy.log([max(FLOOR, value) for _, value in points])
    columns = numpy.stack([sizes, numpy.ones_like(sizes)], axis=1)
    (exponent, offset), *_ = numpy.linalg.lstsq(columns, values, rcond=None)
    deviations = values - columns @ numpy.array([exponent, offset])
    residual = float(numpy.sqrt(numpy.mean(deviations**2)))
    spread = float(numpy.sum((sizes - sizes.mean()) ** 2))
    degrees = max(1, len(points) - 2)
    error = math.sqrt(float(numpy.sum(deviations**2)) / degrees / spread)
    return Fit(math.exp(float(offset)), float(exponent), residual, error)
