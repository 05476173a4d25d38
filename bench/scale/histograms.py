"""Times in ms in an HDR histogram: recorded in one process, sent as text, added up in another."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

LEAST_US, MOST_US = 1, 3_600_000_000
DIGITS = 3


class Times:
    def __init__(self) -> None:
        self._histogram: Any = HdrHistogram(LEAST_US, MOST_US, DIGITS)

    def add(self, ms: float) -> None:
        self._histogram.record_value(min(MOST_US, max(LEAST_US, round(ms * 1000.0))))

    def merge(self, other: Times) -> None:
        self._histogram.add(other._histogram)

    @property
    def count(self) -> int:
        return int(self._histogram.get_total_count())

    def at(self, percentile: float) -> float | None:
        """None where nothing was recorded."""
        if not self.count:
            return None
        return round(float(self._histogram.get_value_at_percentile(percentile)) / 1000.0, 3)

    def most(self) -> float | None:
        return round(float(self._histogram.get_max_value()) / 1000.0, 3) if self.count else None

    def encode(self) -> str:
        return bytes(self._histogram.encode()).decode("ascii")

    @classmethod
    def decode(cls, text: str) -> Times:
        times = cls()
        times._histogram.decode_and_add(text.encode("ascii"))
        return times
