"""Errors of the membership package."""

from __future__ import annotations


class MembershipError(ValueError):
    """Base class of this package's errors."""


class DetectorSettingError(MembershipError):
    """A setting of the failure detector is out of its range."""

    def __init__(self, field: str, value: float, allowed: str) -> None:
        super().__init__(f"failure detector: {field} is {value}, not {allowed}")
        self.field, self.value, self.allowed = field, value, allowed
