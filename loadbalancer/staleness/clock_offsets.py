"""How far other processes' clocks are from one's own, in intervals that hold whatever the link's asymmetry.

A call sent at `t1` (own clock), taken at `t2` and answered at `t3` (the peer's) and back at `t4` (own)
proves of offset = peer's clock - own clock: `t3 - t4 <= offset <= t2 - t1`, since no message arrives before
it is sent. The newest samples are intersected, each widened by the drift since. Every time is in ms.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass

# Between two clocks: each off its rate by up to 500 ppm, the most that the kernel's discipline steers by
# (MAXFREQ in RFC 5905, appendix A), in opposite directions.
MAX_DRIFT_PPM = 1000.0
MAX_SAMPLES = 8  # kept of each peer, as the stages of the clock filter in RFC 5905
MAX_PEERS = 1024  # at most; past that the one sampled longest ago goes
MAX_ROUND_TRIP_MS = 60_000.0  # a call that took longer says too little to keep
MAX_TIMESTAMP_MS = 4e12  # a time past this (the year 2096) is absurd; below it doubles are 0.0005 ms apart
ROUNDING_MARGIN_MS = 0.002  # more than all rounding of such times can come to

Interval = tuple[float, float]  # low, high


@dataclass(slots=True)
class SampleRejections:
    """What was turned down or dropped since the start."""

    invalid: int = 0  # samples no pair of clocks can give
    clock_jumps: int = 0  # samples that contradicted the earlier ones, which were dropped


class _PeerClock:
    """One peer's samples. Bounds are kept as they would be at own time 0, so that one drift fits all."""

    __slots__ = ("high", "low", "newest", "samples")

    def __init__(self) -> None:
        self.samples: deque[Interval] = deque(maxlen=MAX_SAMPLES)
        self.low = self.high = self.newest = 0.0

    def add(self, low: float, high: float, at: float, drift: float) -> bool:
        """Take a sample that came at own time `at`, when `drift` is to be added to every bound.

        False: it contradicts the others, which are dropped.
        """
        agrees = not self.samples or (low - drift <= self.high + drift and high + drift >= self.low - drift)
        if not agrees:
            self.samples.clear()
        self.samples.append((low, high))
        self.low = max(sample[0] for sample in self.samples)
        self.high = min(sample[1] for sample in self.samples)
        self.newest = max(self.newest, at)
        return agrees


class OffsetReading:
    """A peer's offset as known at own time `now`, for turning many times into one's own."""

    __slots__ = ("_rate", "high", "low", "now")

    def __init__(self, now: float, low: float, high: float, rate: float) -> None:
        self.now, self.low, self.high = now, low, high
        self._rate = rate  # of drift between the two clocks, a share

    def to_local(self, stamp: float) -> Interval:
        """The own times at which the peer's clock may have shown, or will show, `stamp`."""
        now, rate = self.now, self._rate
        most = now - stamp + self.high  # the time since then on the peer's clock; negative: still to come
        least = now - stamp + self.low
        return (
            now - (most / (1.0 - rate) if most > 0.0 else most / (1.0 + rate)),
            now - (least / (1.0 + rate) if least > 0.0 else least / (1.0 - rate)),
        )

    def to_peer(self, own: float) -> Interval:
        """What the peer's clock may show at own time `own`."""
        drift = abs(own - self.now) * self._rate
        return (own + self.low - drift, own + self.high + drift)


class ClockOffsets:
    """The clocks of a bounded number of peers: siblings by incarnation, the list service by a name."""

    def __init__(self, drift_ppm: float = MAX_DRIFT_PPM) -> None:
        self._rate = drift_ppm / 1e6
        self._clocks: dict[Hashable, _PeerClock] = {}
        self.rejections = SampleRejections()

    def add_sample(self, peer: Hashable, t1: float, t2: float, t3: float, t4: float) -> bool:
        """Take the four times of a call. False: absurd, counted and dropped.

        Where the sample contradicts the kept ones (the peer's clock jumped), those are dropped and it stands
        alone. A jump of less than the round trip can pass unseen until SAMPLES newer ones have come; a caller
        that knows of one calls `forget`.
        """
        if not _is_plausible(t1, t2, t3, t4):
            self.rejections.invalid += 1
            return False
        # The upper bound drifts from t1 on, the lower from t4 only: each ms that the answer was on its way
        # leaves it a ms to spare, far more than the clocks drift meanwhile.
        low = t3 - t4 + self._rate * t4 - ROUNDING_MARGIN_MS
        high = t2 - t1 - self._rate * t1 + ROUNDING_MARGIN_MS
        drift = self._rate * t4
        if low - drift > high + drift:  # the peer held it for longer than the call took
            self.rejections.invalid += 1
            return False
        clock = self._clocks.pop(peer, None) or _PeerClock()
        self._clocks[peer] = clock  # last in the order: sampled most lately
        if len(self._clocks) > MAX_PEERS:
            del self._clocks[next(iter(self._clocks))]
        if not clock.add(low, high, t4, drift):
            self.rejections.clock_jumps += 1
        return True

    def forget(self, peer: Hashable) -> None:
        """The peer has gone, or its clock is known to have been set."""
        self._clocks.pop(peer, None)

    def reading(self, peer: Hashable, now: float) -> OffsetReading | None:
        """The offset to a peer; None: no sample of it. `now` is no earlier than the newest `t4`."""
        clock = self._clocks.get(peer)
        if clock is None:
            return None
        now = max(now, clock.newest)
        drift = self._rate * now
        return OffsetReading(now, clock.low - drift, clock.high + drift, self._rate)

    def offset(self, peer: Hashable, now: float) -> Interval | None:
        reading = self.reading(peer, now)
        return None if reading is None else (reading.low, reading.high)

    def to_local(self, peer: Hashable, now: float, stamp: float) -> Interval | None:
        reading = self.reading(peer, now)
        return None if reading is None else reading.to_local(stamp)

    def to_peer(self, peer: Hashable, now: float, own: float) -> Interval | None:
        reading = self.reading(peer, now)
        return None if reading is None else reading.to_peer(own)


def _is_plausible(t1: float, t2: float, t3: float, t4: float) -> bool:
    """Whether the four can be times of one call, each clock taken for itself."""
    try:
        good = all(math.isfinite(time) and abs(time) <= MAX_TIMESTAMP_MS for time in (t1, t2, t3, t4))
    except (TypeError, OverflowError):  # not numbers, or integers past any double
        return False
    return good and t1 <= t4 <= t1 + MAX_ROUND_TRIP_MS and t2 <= t3 <= t2 + MAX_ROUND_TRIP_MS
