"""HDR histograms of times in ms that are recorded in one process, sent as text and merged in another."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MIN_US, MAX_US = 1, 3_600_000_000
DIGITS = 3


class Times:
    """A histogram of times in ms."""

    def __init__(self) -> None:
        self._histogram: Any = HdrHistogram(MIN_US, MAX_US, DIGITS)

    def add(self, ms: float) -> None:
        self._histogram.record_value(min(MAX_US, max(MIN_US, round(ms * 1000.0))))

    def merge(self, other: Times) -> None:
        self._histogram.add(other._histogram)

    @property
    def count(self) -> int:
        return int(self._histogram.get_total_count())

    def at(self, percentile: float) -> float | None:
        """Return this percentile in ms, or None if the histogram is empty."""
        if not self.count:
            return None
        return round(float(self._histogram.get_value_at_percentile(percentile)) / 1000.0, 3)

    def maximum(self) -> float | None:
        """Return the maximum in ms, or None if the histogram is empty."""
        return round(float(self._histogram.get_max_value()) / 1000.0, 3) if self.count else None

    def encode(self) -> str:
        return bytes(self._histogram.encode()).decode("ascii")

    @classmethod
    def decode(cls, text: str) -> Times:
        times = cls()
        times._histogram.decode_and_add(text.encode("ascii"))
        return times
