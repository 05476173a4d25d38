"""Siblings' reports on one server, converted to local time. All times are in ms."""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import Final

import msgspec

from loadbalancer.endpoints import AttemptResult
from loadbalancer.staleness.clock_offsets import Interval, OffsetReading
from loadbalancer.staleness.wire import ServerObservation

# Siblings whose reports on one server are retained: those to which the server responded last.
MAX_ORIGINS: Final = 3
_NO_FAILURE: Final = (None, AttemptResult.OK, AttemptResult.REJECTED)


class ServerReport(msgspec.Struct, frozen=True):
    """A sibling's report on a server; intervals are in local time, with -inf for an unknown lower bound."""

    origin: Hashable
    version: int
    outcome: AttemptResult | None
    attempted_at: Interval  # time of the last outcome
    responded_at: Interval | None  # when the server last responded to the sibling; None: never
    load: float | None
    load_at: Interval | None


class GossipReports:
    """Reports of up to `MAX_ORIGINS` siblings on one server, with the summary that confidence levels need.

    `freshest`: the report whose response time has the latest lower bound, None if no sibling had a response.
    `responded_at`: that lower bound. `failed_at`: the latest lower bound of the time of a failed attempt.
    """

    __slots__ = ("by_origin", "failed_at", "freshest", "responded_at")

    def __init__(self) -> None:
        self.by_origin: dict[Hashable, ServerReport] = {}
        self.freshest: ServerReport | None = None
        self.responded_at = self.failed_at = -math.inf

    def add(self, report: ServerReport) -> None:
        """Add a sibling's report, or replace its earlier one."""
        earlier = self.by_origin.get(report.origin)
        self.by_origin[report.origin] = report if earlier is None else _merge(earlier, report)
        if len(self.by_origin) > MAX_ORIGINS:
            del self.by_origin[min(self.by_origin, key=lambda origin: _recency(self.by_origin[origin]))]
        self._summarize()

    def _summarize(self) -> None:
        self.freshest, self.responded_at, self.failed_at = None, -math.inf, -math.inf
        for report in self.by_origin.values():
            responded_at = report.responded_at
            if responded_at is not None and (self.freshest is None or responded_at[0] > self.responded_at):
                self.freshest, self.responded_at = report, responded_at[0]
            if report.attempted_at[0] > self.failed_at and report.outcome not in _NO_FAILURE:
                self.failed_at = report.attempted_at[0]


def to_local_time(reading: OffsetReading | None, now: float, stamp: float) -> Interval | None:
    """Return the local time of a sibling's `stamp`, at most `now`; None if it is certainly later than `now`.

    `reading` is None if the sibling's clock offset is unknown; the interval then has no lower bound.
    """
    if reading is None:
        return (-math.inf, now)
    low, high = reading.to_local(stamp)
    return (low, min(high, now)) if low <= now else None


def intersect_or_latest(earlier: Interval, latest: Interval) -> Interval:
    """Intersect two intervals of one moment; return `latest` if a clock was set between the two reports."""
    low, high = max(earlier[0], latest[0]), min(earlier[1], latest[1])
    return (low, high) if low <= high else latest


def to_local_report(
    origin: Hashable, reading: OffsetReading | None, now: float, observation: ServerObservation
) -> ServerReport:
    """Convert an observation to local time; its report must not have been sent certainly later than `now`."""
    attempted_at = to_local_time(reading, now, observation.attempted_at) or (now, now)
    # All three times of an observation are usually equal, so each distinct time is converted only once.
    times = {None: None, observation.attempted_at: attempted_at}
    for stamp in (observation.responded_at, observation.load_at):
        if stamp not in times and stamp is not None:
            times[stamp] = to_local_time(reading, now, stamp)
    return ServerReport(
        origin,
        observation.version,
        observation.outcome,
        attempted_at,
        times[observation.responded_at],
        observation.load,
        times[observation.load_at],
    )


def _merge(earlier: ServerReport, latest: ServerReport) -> ServerReport:
    """Return the latest report; if both describe one observation, intersect its response times."""
    if earlier.version != latest.version or earlier.responded_at is None or latest.responded_at is None:
        return latest
    responded_at = intersect_or_latest(earlier.responded_at, latest.responded_at)
    return msgspec.structs.replace(latest, responded_at=responded_at)


def _recency(report: ServerReport) -> tuple[float, float]:
    """Sort key: the lower bounds of the time of the last response, then of the last attempt."""
    return (-math.inf if report.responded_at is None else report.responded_at[0], report.attempted_at[0])
