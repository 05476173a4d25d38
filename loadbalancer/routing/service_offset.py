"""The offset between service time and a node's local clock, as far as the node knows it."""

from __future__ import annotations

from typing import NamedTuple


class ServiceOffset(NamedTuple):
    """Service time minus the node's local clock, as an interval in ms."""

    low_ms: float
    high_ms: float

    @property
    def width_ms(self) -> float:
        """Width of the interval."""
        return self.high_ms - self.low_ms

    @property
    def middle_ms(self) -> float:
        """Best estimate of the offset."""
        return (self.low_ms + self.high_ms) / 2
