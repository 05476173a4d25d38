"""Offsets between other processes' clocks and the local clock, as intervals that contain the true offset.

The offset is the peer's clock minus the local clock. A call is sent at `t1` (local clock), received at `t2`
and responded to at `t3` (peer's clock), and its response arrives at `t4` (local clock). Since no message
arrives before it is sent, `t3 - t4 <= offset <= t2 - t1`. The newest samples are intersected, each widened by
the drift since it was taken. All times are in ms.

A sample that contradicts the others either belongs to another call or is the first one after a clock was set.
The next sample decides: if it agrees with the outlier, the clock was set and the earlier samples are dropped;
otherwise the outlier is dropped. Until then the interval spans both.

Sources: Mills, "Network Time Protocol Version 4", RFC 5905, with its popcorn spike suppressor; Marzullo and
Owicki, "Maintaining the Time in a Distributed System", 1983, for the intersection.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

# Drift between two clocks whose rates err in opposite directions, each by up to 500 ppm, the maximum
# correction by a kernel's clock discipline (MAXFREQ in RFC 5905, appendix A).
MAX_DRIFT_PPM: Final = 1000.0
MAX_SAMPLES: Final = 8  # per peer, the number of stages of the clock filter in RFC 5905
MAX_PEERS: Final = 1024  # beyond this, the peer sampled longest ago is dropped
MAX_ROUND_TRIP_MS: Final = 60_000.0  # a longer call bounds the offset too loosely to be useful
MAX_TIMESTAMP_MS: Final = 4e12  # the year 2096; doubles below it are 0.0005 ms apart
ROUNDING_MARGIN_MS: Final = 0.002  # exceeds the sum of all rounding errors of times below MAX_TIMESTAMP_MS
_PPM: Final = 1e6

# (low, high); a plain tuple for speed, as each received observation makes several.
Interval = tuple[float, float]


@dataclass(slots=True)
class SampleRejections:
    """Counts, since the start, of samples that were rejected or that invalidated earlier samples."""

    invalid: int = 0  # no pair of clocks can produce these four times
    outliers: int = 0  # contradicted the samples before and after, and were dropped
    clock_jumps: int = 0  # two samples in a row contradicted the earlier ones, which were dropped


class SampleVerdict(Enum):
    """Result of comparing a sample with the earlier ones."""

    CONSISTENT = auto()
    OUTLIER = auto()  # contradicts the earlier samples
    CLOCK_SET = auto()  # contradicts the earlier samples and agrees with the outlier before it


class _PeerClock:
    """One peer's samples.

    All bounds are converted to local time 0, so that one drift correction applies to all of them.
    """

    __slots__ = ("high", "low", "newest", "outlier", "samples")

    def __init__(self) -> None:
        self.samples: deque[Interval] = deque(maxlen=MAX_SAMPLES)
        self.outlier: Interval | None = None  # the last sample if it contradicts the others
        self.low = self.high = self.newest = 0.0

    def add(self, sample: Interval, taken_at: float, drift: float) -> SampleVerdict:
        """Add a sample taken at local time `taken_at`; `drift` is the widening of all bounds at that time."""
        verdict = self._insert(sample, drift)
        self.low, self.high = _intersection(self.samples)
        if self.outlier is not None:
            self.low, self.high = min(self.low, self.outlier[0]), max(self.high, self.outlier[1])
        self.newest = max(self.newest, taken_at)
        return verdict

    def _insert(self, sample: Interval, drift: float) -> SampleVerdict:
        if not self.samples or _overlap(sample, _intersection(self.samples), drift):
            self.samples.append(sample)
            self.outlier = None
            return SampleVerdict.CONSISTENT
        if self.outlier is None or not _overlap(sample, self.outlier, drift):
            self.outlier = sample
            return SampleVerdict.OUTLIER
        self.samples.clear()
        self.samples.extend((self.outlier, sample))
        self.outlier = None
        return SampleVerdict.CLOCK_SET


def _intersection(samples: Iterable[Interval]) -> Interval:
    return max(sample[0] for sample in samples), min(sample[1] for sample in samples)


def _overlap(first: Interval, second: Interval, drift: float) -> bool:
    """Return whether two samples' intervals, each widened by the drift, overlap."""
    return first[0] - drift <= second[1] + drift and first[1] + drift >= second[0] - drift


class OffsetReading:
    """A peer's clock offset as of local time `now`, for converting any number of that peer's timestamps."""

    __slots__ = ("_drift_rate", "high", "low", "now")

    def __init__(self, now: float, low: float, high: float, drift_rate: float) -> None:
        """`low`, `high`: bounds of the offset in ms; `drift_rate`: maximum drift between the clocks."""
        self.now, self.low, self.high = now, low, high
        self._drift_rate = drift_rate

    def to_local(self, stamp: float) -> Interval:
        """Return the interval of local times at which the peer's clock showed, or will show, `stamp`."""
        now, rate = self.now, self._drift_rate
        max_age = now - stamp + self.high  # time since `stamp` on the peer's clock; negative for the future
        min_age = now - stamp + self.low
        return (
            now - (max_age / (1.0 - rate) if max_age > 0.0 else max_age / (1.0 + rate)),
            now - (min_age / (1.0 + rate) if min_age > 0.0 else min_age / (1.0 - rate)),
        )

    def to_peer(self, local: float) -> Interval:
        """Return the interval that contains the peer's clock at the local time `local`."""
        drift = abs(local - self.now) * self._drift_rate
        return (local + self.low - drift, local + self.high + drift)


class ClockOffsets:
    """Clock offsets of up to `MAX_PEERS` peers: siblings by incarnation, the list service by a name."""

    def __init__(self, drift_ppm: float = MAX_DRIFT_PPM) -> None:
        """`drift_ppm`: maximum difference between the rates of two clocks."""
        self._drift_rate = drift_ppm / _PPM
        self._clocks: dict[Hashable, _PeerClock] = {}  # ordered by the time of the last sample
        self.rejections = SampleRejections()

    def add_sample(self, peer: Hashable, t1: float, t2: float, t3: float, t4: float) -> bool:
        """Add the four times of a call; return False for an invalid sample, which is counted and dropped.

        Two samples in a row that agree with each other and contradict the earlier ones mean that the peer's
        clock was set; the earlier ones are dropped. A jump shorter than the round trip can stay undetected
        until `MAX_SAMPLES` newer samples have been added; a caller that knows of a jump calls `forget`.
        """
        if not _is_plausible(t1, t2, t3, t4):
            self.rejections.invalid += 1
            return False
        # The upper bound drifts from t1 on, the lower bound only from t4 on: each ms that the response takes
        # to arrive loosens the lower bound by 1 ms, far more than the clocks drift in that time.
        low = t3 - t4 + self._drift_rate * t4 - ROUNDING_MARGIN_MS
        high = t2 - t1 - self._drift_rate * t1 + ROUNDING_MARGIN_MS
        drift = self._drift_rate * t4
        if low - drift > high + drift:  # the peer reports a longer processing time than the whole call took
            self.rejections.invalid += 1
            return False
        verdict = self._move_to_end(peer).add((low, high), t4, drift)
        self.rejections.outliers += verdict is SampleVerdict.OUTLIER
        if verdict is SampleVerdict.CLOCK_SET:
            self.rejections.outliers -= 1  # the previous sample was no outlier after all
            self.rejections.clock_jumps += 1
        return True

    def forget(self, peer: Hashable) -> None:
        """Drop a peer's samples, because it has departed or its clock is known to have been set."""
        self._clocks.pop(peer, None)

    def reading(self, peer: Hashable, now: float) -> OffsetReading | None:
        """Return a peer's offset as of `now`, or None without a sample of that peer."""
        clock = self._clocks.get(peer)
        if clock is None:
            return None
        now = max(now, clock.newest)
        drift = self._drift_rate * now
        return OffsetReading(now, clock.low - drift, clock.high + drift, self._drift_rate)

    def offset(self, peer: Hashable, now: float) -> Interval | None:
        """Return the interval of a peer's offset in ms, or None without a sample of that peer."""
        reading = self.reading(peer, now)
        return None if reading is None else (reading.low, reading.high)

    def to_local(self, peer: Hashable, now: float, stamp: float) -> Interval | None:
        """Return the interval of local times of a peer's `stamp`, or None without a sample of that peer."""
        reading = self.reading(peer, now)
        return None if reading is None else reading.to_local(stamp)

    def to_peer(self, peer: Hashable, now: float, local: float) -> Interval | None:
        """Return the interval of a peer's clock at time `local`, or None without a sample of that peer."""
        reading = self.reading(peer, now)
        return None if reading is None else reading.to_peer(local)

    def _move_to_end(self, peer: Hashable) -> _PeerClock:
        """Return the peer's clock, created if needed, after moving it to the end of the sampling order."""
        clock = self._clocks.pop(peer, None) or _PeerClock()
        self._clocks[peer] = clock
        if len(self._clocks) > MAX_PEERS:
            del self._clocks[next(iter(self._clocks))]
        return clock


def _is_plausible(t1: float, t2: float, t3: float, t4: float) -> bool:
    """Return whether the four times can belong to one call, checking each clock on its own."""
    try:
        finite = all(math.isfinite(time) and abs(time) <= MAX_TIMESTAMP_MS for time in (t1, t2, t3, t4))
    except (TypeError, OverflowError):  # not numbers, or integers too large for a double
        return False
    return finite and t1 <= t4 <= t1 + MAX_ROUND_TRIP_MS and t2 <= t3 <= t2 + MAX_ROUND_TRIP_MS
