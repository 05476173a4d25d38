"""What a node knows of the difference between service time and its own clock."""

from __future__ import annotations

from typing import NamedTuple


class ServiceOffset(NamedTuple):
    """Service time less the node's own clock, as an interval in ms."""

    low_ms: float
    high_ms: float

    @property
    def width_ms(self) -> float:
        """How far apart the bounds are."""
        return self.high_ms - self.low_ms

    @property
    def middle_ms(self) -> float:
        """The best estimate."""
        return (self.low_ms + self.high_ms) / 2
