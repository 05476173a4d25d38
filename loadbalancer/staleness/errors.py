"""Errors of the staleness package: arguments that the code cannot work with.

What siblings send never raises: it is counted and named by `ReportRejection`.
"""

from __future__ import annotations


class StalenessError(ValueError):
    """Base of the package's errors."""


class PeriodOutOfRangeError(StalenessError):
    """A period is not a positive, finite number of ms."""

    def __init__(self, field: str, value_ms: float) -> None:
        """`field`: the argument's name."""
        super().__init__(f"{field}: {value_ms!r} is not a finite number of ms over 0")
        self.field = field
        self.value_ms = value_ms
