"""What siblings report of one server, in local time. All times are in ms."""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import Final

import msgspec

from loadbalancer.endpoints import AttemptResult
from loadbalancer.staleness.clock_offsets import Interval, OffsetReading
from loadbalancer.staleness.wire import ServerObservation

MAX_ORIGINS: Final = 3  # siblings whose reports on one server are retained: those it answered last
_NO_FAILURE: Final = (None, AttemptResult.OK, AttemptResult.REJECTED)


class ServerReport(msgspec.Struct, frozen=True):
    """A sibling's report of a server; intervals are of local time, from -inf where nothing bounds them."""

    origin: Hashable
    version: int
    outcome: AttemptResult | None
    attempted_at: Interval  # when the last outcome came
    answered_at: Interval | None  # when the server last answered the sibling; None: never
    load: float | None
    load_at: Interval | None


class GossipReports:
    """The reports of up to `MAX_ORIGINS` siblings on one server, and what the confidence levels need of them.

    `freshest` is the report with the latest certain answer of the server, None where no sibling has had one;
    `answered_at` is the low end of that answer's time; `failed_at` is the low end of the time of a sibling's
    failed attempt, the latest of these.
    """

    __slots__ = ("answered_at", "by_origin", "failed_at", "freshest")

    def __init__(self) -> None:
        self.by_origin: dict[Hashable, ServerReport] = {}
        self.freshest: ServerReport | None = None
        self.answered_at = self.failed_at = -math.inf

    def add(self, report: ServerReport) -> None:
        """Add a sibling's report, or replace its earlier one."""
        earlier = self.by_origin.get(report.origin)
        self.by_origin[report.origin] = report if earlier is None else _merge(earlier, report)
        if len(self.by_origin) > MAX_ORIGINS:
            del self.by_origin[min(self.by_origin, key=lambda origin: _recency(self.by_origin[origin]))]
        self._summarize()

    def _summarize(self) -> None:
        self.freshest, self.answered_at, self.failed_at = None, -math.inf, -math.inf
        for report in self.by_origin.values():
            answered_at = report.answered_at
            if answered_at is not None and (self.freshest is None or answered_at[0] > self.answered_at):
                self.freshest, self.answered_at = report, answered_at[0]
            if report.attempted_at[0] > self.failed_at and report.outcome not in _NO_FAILURE:
                self.failed_at = report.attempted_at[0]


def to_local_time(reading: OffsetReading | None, now: float, stamp: float) -> Interval | None:
    """The local time of a sibling's stamp, no later than now; None where it is certainly later than now.

    `reading` is None where the sibling's clock is unknown: the interval then has no lower bound.
    """
    if reading is None:
        return (-math.inf, now)
    low, high = reading.to_local(stamp)
    return (low, min(high, now)) if low <= now else None


def intersect_or_latest(earlier: Interval, latest: Interval) -> Interval:
    """One moment reported twice: the intersection, or `latest` where a clock was set between the two."""
    low, high = max(earlier[0], latest[0]), min(earlier[1], latest[1])
    return (low, high) if low <= high else latest


def to_local_report(
    origin: Hashable, reading: OffsetReading | None, now: float, observation: ServerObservation
) -> ServerReport:
    """An observation in local time, of a report that was certainly not sent later than now."""
    attempted_at = to_local_time(reading, now, observation.attempted_at) or (now, now)
    # Most often all three times of an observation are equal: each distinct one is converted once.
    times = {None: None, observation.attempted_at: attempted_at}
    for stamp in (observation.answered_at, observation.load_at):
        if stamp not in times and stamp is not None:
            times[stamp] = to_local_time(reading, now, stamp)
    return ServerReport(
        origin,
        observation.version,
        observation.outcome,
        attempted_at,
        times[observation.answered_at],
        observation.load,
        times[observation.load_at],
    )


def _merge(earlier: ServerReport, latest: ServerReport) -> ServerReport:
    """The latest report; if both are of the same observation, with the time bounds of both."""
    if earlier.version != latest.version or earlier.answered_at is None or latest.answered_at is None:
        return latest
    answered_at = intersect_or_latest(earlier.answered_at, latest.answered_at)
    return msgspec.structs.replace(latest, answered_at=answered_at)


def _recency(report: ServerReport) -> tuple[float, float]:
    """Orders reports by when the server certainly answered, then by when it was tried."""
    return (-math.inf if report.answered_at is None else report.answered_at[0], report.attempted_at[0])
