"""What siblings tell of one server, in own time."""

from __future__ import annotations

import math
from collections.abc import Hashable

import msgspec

from loadbalancer.endpoints import AttemptResult
from loadbalancer.staleness.clock_offsets import Interval, OffsetReading
from loadbalancer.staleness.wire import ServerObservation

MAX_ORIGINS = 3  # siblings' facts kept of one server: those heard last
_GOOD = (None, AttemptResult.OK, AttemptResult.REJECTED)


class ServerReport(msgspec.Struct, frozen=True):
    """A sibling's fact on a server; intervals are of own time, from -inf where nothing bounds them."""

    origin: Hashable
    version: int
    outcome: AttemptResult | None
    attempted_at: Interval  # the last outcome's time
    answered_at: Interval | None  # when the server last answered it; None: never
    load: float | None
    load_at: Interval | None


class GossipReports:
    """The facts of a few siblings on one server, with what the marks ask of them.

    `best` is the fact by which the server was surely heard last, None where no sibling has heard it, `heard`
    that time's low end; `missed` is the low end of the time of a sibling's failed call, the latest of these.
    """

    __slots__ = ("answered_at", "by_origin", "failed_at", "freshest")

    def __init__(self) -> None:
        self.by_origin: dict[Hashable, ServerReport] = {}
        self.freshest: ServerReport | None = None
        self.answered_at = self.failed_at = -math.inf

    def add(self, fact: ServerReport) -> None:
        before = self.by_origin.get(fact.origin)
        self.by_origin[fact.origin] = fact if before is None else _merge(before, fact)
        if len(self.by_origin) > MAX_ORIGINS:
            del self.by_origin[min(self.by_origin, key=lambda origin: _recency(self.by_origin[origin]))]
        self.freshest, self.answered_at, self.failed_at = None, -math.inf, -math.inf
        for fact in self.by_origin.values():
            if fact.answered_at is not None and (
                self.freshest is None or fact.answered_at[0] > self.answered_at
            ):
                self.freshest, self.answered_at = fact, fact.answered_at[0]
            if fact.attempted_at[0] > self.failed_at and fact.outcome not in _GOOD:
                self.failed_at = fact.attempted_at[0]


def to_local_time(reading: OffsetReading | None, now: float, stamp: float) -> Interval | None:
    """The own time of a sibling's stamp, no later than now; None: it would surely lie ahead of now."""
    if reading is None:
        return (-math.inf, now)
    low, high = reading.to_local(stamp)
    return (low, min(high, now)) if low <= now else None


def intersect_or_latest(before: Interval, now: Interval) -> Interval:
    """One moment told twice; where the two contradict, the clock jumped and the later one counts."""
    low, high = max(before[0], now[0]), min(before[1], now[1])
    return (low, high) if low <= high else now


def to_local_report(
    origin: Hashable, reading: OffsetReading | None, now: float, fact: ServerObservation
) -> ServerReport:
    """A fact of an entry whose sending is known not to lie ahead of now."""
    tried = to_local_time(reading, now, fact.attempted_at) or (now, now)
    times = {None: None, fact.attempted_at: tried}  # most often all three are the same
    for stamp in (fact.answered_at, fact.load_at):
        if stamp not in times and stamp is not None:
            times[stamp] = to_local_time(reading, now, stamp)
    return ServerReport(
        origin, fact.version, fact.outcome, tried, times[fact.answered_at], fact.load, times[fact.load_at]
    )


def _merge(before: ServerReport, fact: ServerReport) -> ServerReport:
    """The same fact told again, with what is known of its time from both tellings."""
    if before.version != fact.version or before.answered_at is None or fact.answered_at is None:
        return fact
    return msgspec.structs.replace(fact, answered_at=intersect_or_latest(before.answered_at, fact.answered_at))


def _recency(fact: ServerReport) -> tuple[float, float]:
    """By when the server surely was heard or tried: those least known are dropped first."""
    return (-math.inf if fact.answered_at is None else fact.answered_at[0], fact.attempted_at[0])
