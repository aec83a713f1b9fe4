"""A power law through measured points, by least squares in log-log, and what it says of another size."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy

FLOOR = 1e-12  # what is measured as nothing or less counts as this much


@dataclass(slots=True, frozen=True)
class Fit:
    """``factor * size ** exponent``. ``residual``: root of the mean square of what is left, in natural logs,
    so that 0.1 is some 10%. ``error``: standard error of the exponent.
    """

    factor: float
    exponent: float
    residual: float
    error: float

    def at(self, size: float) -> float:
        return self.factor * math.exp(self.exponent * math.log(size))

    def range_at(self, size: float, largest: float) -> tuple[float, float]:
        """Within two residuals, and two errors of the exponent over the distance from the largest size that
        was measured.
        """
        beyond = 2 * self.error * max(0.0, math.log(size / largest))
        spread = math.exp(2 * self.residual + beyond)
        return self.at(size) / spread, self.at(size) * spread


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Of (size, value). Raises ``ValueError`` for fewer than two sizes."""
    if len({size for size, _ in points}) < 2:
        msg = "want two sizes at the least"
        raise ValueError(msg)
    sizes = numpy.log([size for size, _ in points])
    values = numpy.log([max(FLOOR, value) for _, value in points])
    columns = numpy.stack([sizes, numpy.ones_like(sizes)], axis=1)
    (exponent, offset), *_ = numpy.linalg.lstsq(columns, values, rcond=None)
    left = values - columns @ numpy.array([exponent, offset])
    residual = float(numpy.sqrt(numpy.mean(left**2)))
    spread = float(numpy.sum((sizes - sizes.mean()) ** 2))
    degrees = max(1, len(points) - 2)
    error = math.sqrt(float(numpy.sum(left**2)) / degrees / spread)
    return Fit(math.exp(float(offset)), float(exponent), residual, error)
