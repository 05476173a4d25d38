"""Offsets between the clocks of other processes and the local one, as intervals that hold on any link.

A call sent at `t1` (local clock), received at `t2` and answered at `t3` (the peer's clock), whose answer
arrives at `t4` (local), proves of offset = peer's clock - local clock: `t3 - t4 <= offset <= t2 - t1`, since
no message arrives before it is sent. The newest samples are intersected, each widened by the drift since it
was taken. All times are in ms.

A sample that contradicts the others is an answer to another call, or the first after a clock was set. The
next one decides: if it agrees with the outlier, the clock was set, and the earlier samples are dropped; else
the outlier is. Until then the interval spans both.

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

# Between two clocks: each is off its rate by up to 500 ppm, the most that a kernel's clock discipline steers
# by (MAXFREQ in RFC 5905, appendix A), in opposite directions.
MAX_DRIFT_PPM: Final = 1000.0
MAX_SAMPLES: Final = 8  # retained of each peer, as the stages of the clock filter in RFC 5905
MAX_PEERS: Final = 1024  # of more, the one sampled longest ago is dropped
MAX_ROUND_TRIP_MS: Final = 60_000.0  # the sample of a longer call bounds the offset too loosely to keep
MAX_TIMESTAMP_MS: Final = 4e12  # the year 2096; doubles below it are 0.0005 ms apart
ROUNDING_MARGIN_MS: Final = 0.002  # exceeds the sum of all rounding errors of such times
_PPM: Final = 1e6

Interval = tuple[float, float]  # low, high; a plain tuple, as several are made for every fact received


@dataclass(slots=True)
class SampleRejections:
    """Samples that were rejected, or made earlier ones invalid, since the start."""

    invalid: int = 0  # no pair of clocks can give these four times
    outliers: int = 0  # contradicted the samples before and after them, and were dropped
    clock_jumps: int = 0  # two in a row contradicted the earlier samples, which were dropped


class SampleVerdict(Enum):
    """What a sample shows beside the earlier ones."""

    CONSISTENT = auto()
    OUTLIER = auto()  # it contradicts them
    CLOCK_SET = auto()  # it contradicts them, and agrees with the outlier before it


class _PeerClock:
    """One peer's samples. Bounds are as of local time 0, so that one drift correction fits all."""

    __slots__ = ("high", "low", "newest", "outlier", "samples")

    def __init__(self) -> None:
        self.samples: deque[Interval] = deque(maxlen=MAX_SAMPLES)
        self.outlier: Interval | None = None  # the last sample, where it contradicts the others
        self.low = self.high = self.newest = 0.0

    def add(self, sample: Interval, taken_at: float, drift: float) -> SampleVerdict:
        """Add a sample taken at local time `taken_at`, when `drift` is to be added to every bound."""
        verdict = self._place(sample, drift)
        self.low, self.high = _intersection(self.samples)
        if self.outlier is not None:
            self.low, self.high = min(self.low, self.outlier[0]), max(self.high, self.outlier[1])
        self.newest = max(self.newest, taken_at)
        return verdict

    def _place(self, sample: Interval, drift: float) -> SampleVerdict:
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


def _overlap(one: Interval, other: Interval, drift: float) -> bool:
    """Whether two samples' bounds, each widened by the drift, have a value in common."""
    return one[0] - drift <= other[1] + drift and one[1] + drift >= other[0] - drift


class OffsetReading:
    """A peer's offset as of local time `now`; converts any number of that peer's times."""

    __slots__ = ("_drift_rate", "high", "low", "now")

    def __init__(self, now: float, low: float, high: float, drift_rate: float) -> None:
        """`low`, `high`: bounds of the offset in ms; `drift_rate`: between the two clocks, a ratio."""
        self.now, self.low, self.high = now, low, high
        self._drift_rate = drift_rate

    def to_local(self, stamp: float) -> Interval:
        """The local times at which the peer's clock may have shown, or will show, `stamp`."""
        now, rate = self.now, self._drift_rate
        most = now - stamp + self.high  # time since then by the peer's clock; negative if still to come
        least = now - stamp + self.low
        return (
            now - (most / (1.0 - rate) if most > 0.0 else most / (1.0 + rate)),
            now - (least / (1.0 + rate) if least > 0.0 else least / (1.0 - rate)),
        )

    def to_peer(self, local: float) -> Interval:
        """What the peer's clock may show at the local time `local`."""
        drift = abs(local - self.now) * self._drift_rate
        return (local + self.low - drift, local + self.high + drift)


class ClockOffsets:
    """The clock offsets of up to `MAX_PEERS` peers: siblings by incarnation, the list service by a name."""

    def __init__(self, drift_ppm: float = MAX_DRIFT_PPM) -> None:
        """`drift_ppm`: the most that the rates of two clocks differ by."""
        self._drift_rate = drift_ppm / _PPM
        self._clocks: dict[Hashable, _PeerClock] = {}  # in order of their last sample
        self.rejections = SampleRejections()

    def add_sample(self, peer: Hashable, t1: float, t2: float, t3: float, t4: float) -> bool:
        """Add the four times of a call. Returns False for an invalid sample, which is counted and dropped.

        Two samples in a row that contradict the earlier ones and agree mean that the peer's clock was set:
        the earlier ones are dropped. A jump of less than the round trip can pass undetected until
        `MAX_SAMPLES` newer samples have come; a caller that knows of a jump calls `forget`.
        """
        if not _is_plausible(t1, t2, t3, t4):
            self.rejections.invalid += 1
            return False
        # The upper bound drifts from t1 on, the lower from t4 only: for each ms that the answer is on its way
        # the lower bound has a ms to spare, far more than the clocks drift meanwhile.
        low = t3 - t4 + self._drift_rate * t4 - ROUNDING_MARGIN_MS
        high = t2 - t1 - self._drift_rate * t1 + ROUNDING_MARGIN_MS
        drift = self._drift_rate * t4
        if low - drift > high + drift:  # the peer states a longer processing time than the whole call took
            self.rejections.invalid += 1
            return False
        verdict = self._move_to_end(peer).add((low, high), t4, drift)
        self.rejections.outliers += verdict is SampleVerdict.OUTLIER
        if verdict is SampleVerdict.CLOCK_SET:
            self.rejections.outliers -= 1  # the one before was none
            self.rejections.clock_jumps += 1
        return True

    def forget(self, peer: Hashable) -> None:
        """Drop a peer's samples: it has left, or its clock is known to have been set."""
        self._clocks.pop(peer, None)

    def reading(self, peer: Hashable, now: float) -> OffsetReading | None:
        """The offset to a peer as of `now`; None where there is no sample of it."""
        clock = self._clocks.get(peer)
        if clock is None:
            return None
        now = max(now, clock.newest)
        drift = self._drift_rate * now
        return OffsetReading(now, clock.low - drift, clock.high + drift, self._drift_rate)

    def offset(self, peer: Hashable, now: float) -> Interval | None:
        """The interval of a peer's offset in ms; None where there is no sample of it."""
        reading = self.reading(peer, now)
        return None if reading is None else (reading.low, reading.high)

    def to_local(self, peer: Hashable, now: float, stamp: float) -> Interval | None:
        """The local times of a peer's `stamp`; None where there is no sample of it."""
        reading = self.reading(peer, now)
        return None if reading is None else reading.to_local(stamp)

    def to_peer(self, peer: Hashable, now: float, local: float) -> Interval | None:
        """What a peer's clock may show at the local time `local`; None where there is no sample of it."""
        reading = self.reading(peer, now)
        return None if reading is None else reading.to_peer(local)

    def _move_to_end(self, peer: Hashable) -> _PeerClock:
        """The peer's clock, made if it is new, as the one sampled last."""
        clock = self._clocks.pop(peer, None) or _PeerClock()
        self._clocks[peer] = clock
        if len(self._clocks) > MAX_PEERS:
            del self._clocks[next(iter(self._clocks))]
        return clock


def _is_plausible(t1: float, t2: float, t3: float, t4: float) -> bool:
    """Whether the four can be times of one call, each clock taken by itself."""
    try:
        finite = all(math.isfinite(time) and abs(time) <= MAX_TIMESTAMP_MS for time in (t1, t2, t3, t4))
    except (TypeError, OverflowError):  # not numbers, or integers past any double
        return False
    return finite and t1 <= t4 <= t1 + MAX_ROUND_TRIP_MS and t2 <= t3 <= t2 + MAX_ROUND_TRIP_MS
