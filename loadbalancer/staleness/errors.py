"""Errors of the staleness package, raised for invalid arguments.

Invalid reports of siblings never raise: they are counted by `ReportRejection`.
"""

from __future__ import annotations


class StalenessError(ValueError):
    """Base class of this package's errors."""


class PeriodOutOfRangeError(StalenessError):
    """A period is not a positive, finite number of ms."""

    def __init__(self, field: str, value_ms: float) -> None:
        """`field`: name of the argument."""
        super().__init__(f"{field}: {value_ms!r} is not a finite number of ms over 0")
        self.field = field
        self.value_ms = value_ms
