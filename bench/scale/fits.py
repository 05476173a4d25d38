"""Linear regression of measured points: slope and intercept with their standard errors.

The results are the same on each processor, to the last bit: nothing here depends on the order of additions.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from msgspec import Struct

MIN_POINTS_FOR_ERROR = 3  # two points always lie on a line, without an error


class Point(Struct, frozen=True, order=True):
    """A measured value y at x."""

    x: float
    y: float


class Estimate(Struct, frozen=True):
    """A value and its standard error, or None with too few points."""

    value: float
    error: float | None = None


class Fit(Struct, frozen=True):
    """Least squares of y over x."""

    slope: Estimate
    intercept: Estimate
    points: int
    variance: float | None  # of the residuals
    mean_x: float
    sum_x2: float  # of squared distances from the mean

    def at(self, x: float) -> Estimate:
        """Return the line's value at x with its standard error."""
        value = self.intercept.value + self.slope.value * x
        if self.variance is None:
            return Estimate(value)
        leverage = 1.0 / self.points + (x - self.mean_x) ** 2 / self.sum_x2
        return Estimate(value, math.sqrt(self.variance * leverage))


def fit(points: Sequence[Point]) -> Fit | None:
    """Return the regression line, or None with fewer than two different x."""
    if len({point.x for point in points}) < 2:
        return None
    count = len(points)
    mean_x = math.fsum(point.x for point in points) / count
    mean_y = math.fsum(point.y for point in points) / count
    sum_x2 = math.fsum((point.x - mean_x) ** 2 for point in points)
    slope = math.fsum((point.x - mean_x) * (point.y - mean_y) for point in points) / sum_x2
    intercept = mean_y - slope * mean_x
    squared_residuals = math.fsum((point.y - intercept - slope * point.x) ** 2 for point in points)
    variance = squared_residuals / (count - 2) if count >= MIN_POINTS_FOR_ERROR else None
    slope_error = None if variance is None else math.sqrt(variance / sum_x2)
    intercept_error = None if variance is None else math.sqrt(variance * (1 / count + mean_x**2 / sum_x2))
    return Fit(
        slope=Estimate(slope, slope_error),
        intercept=Estimate(intercept, intercept_error),
        points=count,
        variance=variance,
        mean_x=mean_x,
        sum_x2=sum_x2,
    )
