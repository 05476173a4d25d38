"""What this process knows and from whom: its own observations and those that siblings reported.

An observation has an origin (an incarnation, or this process), a version that rises at its origin and the
origin's time. A time of another clock is converted to an interval of local time on receipt, and ages by the
local clock alone from then on. The process's own observations have exact times. All times are in ms.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Hashable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from loadbalancer.endpoints import AttemptResult
from loadbalancer.staleness import wire
from loadbalancer.staleness.clock_offsets import ClockOffsets, Interval, OffsetReading
from loadbalancer.staleness.gossip_reports import (
    GossipReports,
    intersect_or_latest,
    to_local_report,
    to_local_time,
)
from loadbalancer.staleness.report_selection import ReportSelection

REORDER_WINDOW: Final = (
    64  # a report up to so many behind the last is out of order; further behind, a restart
)

# Module-level names, since looking up an enum's member by attribute is slow on the path of a call.
_OK, _ERROR, _REJECTED = AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED
_INCONCLUSIVE: Final = (AttemptResult.CANCELLED, AttemptResult.ABANDONED)  # these say nothing of the server


class Observation:
    """What this process itself observed of one server."""

    __slots__ = (
        "answered_at",
        "attempted_at",
        "consecutive_failures",
        "load",
        "load_at",
        "outcome",
        "version",
    )

    def __init__(self) -> None:
        self.version = 0
        self.attempted_at = self.answered_at = self.load_at = -math.inf
        self.outcome: AttemptResult | None = None
        self.consecutive_failures = 0
        self.load: float | None = None  # a ratio of the server's capacity


@dataclass(slots=True, frozen=True)
class SiblingState:
    """A sibling's last report of itself; intervals are of local time."""

    sequence: int
    sent_at: Interval
    list_revision: int
    list_confirmed_at: Interval | None
    pools: tuple[wire.PoolState, ...]


class ReportRejection(StrEnum):
    """Why a sibling's report was not used."""

    MALFORMED = "malformed"
    UNKNOWN_MEMBER = "unknown-member"  # no member has the report's origin
    OUT_OF_ORDER = "out-of-order"  # a later report of the origin was used before
    FROM_FUTURE = "from-future"  # sent at a time that is certainly later than now


@dataclass(slots=True)
class ReportCounts:
    """Siblings' reports since the start, accepted and rejected by reason."""

    accepted: int = 0
    rejected: Counter[ReportRejection] = field(default_factory=Counter)


@dataclass(slots=True)
class EndpointListState:
    """The endpoint list as last confirmed."""

    revision: int = 0
    confirmed_at: float = -math.inf
    servers: frozenset[str] = field(default_factory=frozenset)


class FreshnessTable:
    """Own observations and siblings' reports; memory is bounded by the endpoint list and the members."""

    def __init__(self, clock_offsets: ClockOffsets) -> None:
        """`clock_offsets`: into which the process samples its calls, with siblings' incarnations as peers."""
        self.clock_offsets = clock_offsets
        self.counts = ReportCounts()
        self.endpoint_list = EndpointListState()
        # Every member but this process; None: it has reported nothing.
        self.siblings: dict[Hashable, SiblingState | None] = {}
        self.observations: dict[str, Observation] = {}  # by server, the one observed last at the end
        self.gossip: dict[str, GossipReports] = {}  # by server
        self._pools: dict[str, wire.PoolState] = {}
        self._selection = ReportSelection()
        self._version = 0  # of the latest observation
        self._sequence = 0  # of the latest report

    # ----------------------------------------------------- own observations

    def record_outcome(self, now: float, server: str, outcome: AttemptResult) -> None:
        """An attempt at a server ended. Runs on the path of every call."""
        if outcome in _INCONCLUSIVE:
            return
        observation = self._observe(server)
        if observation is None:
            return
        observation.attempted_at = now
        observation.outcome = outcome
        if outcome is _OK:
            observation.answered_at = now
            if observation.consecutive_failures:
                observation.consecutive_failures = 0
                self._selection.flip(server)
            return
        if outcome is _REJECTED or outcome is _ERROR:
            observation.answered_at = now
        if outcome is not _REJECTED:
            observation.consecutive_failures += 1
            if observation.consecutive_failures == 1:
                self._selection.flip(server)

    def record_load(self, now: float, server: str, load: float) -> None:
        """A server reported its load, a ratio of its capacity; a value that is not a quantity is dropped."""
        if not (isinstance(load, int | float) and 0.0 <= load <= wire.MAX_QUANTITY):
            return
        observation = self._observe(server)
        if observation is not None:
            observation.load = float(load)
            observation.load_at = observation.answered_at = now

    def record_pool(
        self, now: float, in_flight: float, cursor: int, threshold: float, pool: str = ""
    ) -> None:
        """This process's own state of a pool; pools past the report's limits are left out."""
        if pool in self._pools or (len(self._pools) < wire.MAX_POOLS and len(pool) <= wire.MAX_NAME_CHARS):
            self._pools[pool] = wire.PoolState(pool, now, in_flight, cursor, threshold)

    def confirm_list(self, now: float, revision: int, servers: Collection[str] | None = None) -> None:
        """The endpoint list was confirmed at `now`; `servers`: all its names, None: unchanged."""
        self.endpoint_list.confirmed_at = now
        self.endpoint_list.revision = revision
        if servers is None:
            return
        listed = self.endpoint_list.servers = frozenset(servers)
        for table in (self.observations, self.gossip):
            for server in [name for name in table if name not in listed]:
                del table[server]
        self._selection.retain(listed)

    # ------------------------------------------------------------- siblings

    def set_members(self, incarnations: Collection[Hashable]) -> None:
        """All members but this process; what a former one reported of itself is dropped."""
        for gone in self.siblings.keys() - set(incarnations):
            del self.siblings[gone]
            self.clock_offsets.forget(gone)
        for incarnation in incarnations:
            self.siblings.setdefault(incarnation, None)

    def make_report(self, now: float) -> bytes:
        """The encoded report to send now: at most 48 servers, in under 64 KiB."""
        self._sequence += 1
        listing = self.endpoint_list
        report = wire.FreshnessReport(
            version=wire.FORMAT_VERSION,
            sequence=self._sequence,
            sent_at=now,
            list_revision=listing.revision,
            list_confirmed_at=listing.confirmed_at if listing.confirmed_at > -math.inf else None,
            pools=list(self._pools.values()),
            servers=[
                self._encodable(name)
                for name in self._selection.select(reversed(self.observations))
                if 0 < len(name) <= wire.MAX_NAME_CHARS
            ],
        )
        return wire.encode(report)

    def receive_report(self, now: float, origin: Hashable, payload: object) -> ReportRejection | None:
        """Use a sibling's report, which may come repeatedly. None: used; else why it was rejected."""
        if origin not in self.siblings:
            return self._reject(ReportRejection.UNKNOWN_MEMBER)
        report = wire.decode(payload)
        if report is None:
            return self._reject(ReportRejection.MALFORMED)
        earlier = self.siblings[origin]
        if earlier is not None and 0 < earlier.sequence - report.sequence <= REORDER_WINDOW:
            return self._reject(ReportRejection.OUT_OF_ORDER)
        reading = self.clock_offsets.reading(origin, now)
        sent_at = to_local_time(reading, now, report.sent_at)
        if (
            sent_at is None
        ):  # the origin's clock was set since its last sample; the next call measures it anew
            self.clock_offsets.forget(origin)
            return self._reject(ReportRejection.FROM_FUTURE)
        if earlier is not None and earlier.sequence == report.sequence:  # the same report on another call
            sent_at = intersect_or_latest(earlier.sent_at, sent_at)
        self.siblings[origin] = _sibling_state(report, sent_at, reading, now)
        self._add_gossip(origin, reading, now, report)
        self.counts.accepted += 1
        return None

    @property
    def newest_revision(self) -> int:
        """The newest revision of the endpoint list that this process or a sibling holds."""
        reported = (sibling.list_revision for sibling in self.siblings.values() if sibling is not None)
        return max(self.endpoint_list.revision, max(reported, default=0))

    # ------------------------------------------------------------- internals

    def _observe(self, server: str) -> Observation | None:
        """The server's observation, versioned anew and moved to the end; None for an unlisted server."""
        observation = self.observations.pop(server, None)
        if observation is None:
            if server not in self.endpoint_list.servers:
                return None
            observation = Observation()
            self._selection.add(server)
        self.observations[server] = observation
        self._version += 1
        observation.version = self._version
        return observation

    def _encodable(self, server: str) -> wire.ServerObservation:
        observation = self.observations[server]
        attempted = observation.outcome is not None
        return wire.ServerObservation(
            name=server,
            version=observation.version,
            attempted_at=observation.attempted_at if attempted else observation.load_at,
            outcome=observation.outcome,
            answered_at=observation.answered_at if observation.answered_at > -math.inf else None,
            load=observation.load,
            load_at=observation.load_at if observation.load is not None else None,
        )

    def _add_gossip(
        self, origin: Hashable, reading: OffsetReading | None, now: float, report: wire.FreshnessReport
    ) -> None:
        for observation in report.servers:
            if observation.name in self.endpoint_list.servers:
                gossip = self.gossip.get(observation.name)
                if gossip is None:
                    gossip = self.gossip[observation.name] = GossipReports()
                gossip.add(to_local_report(origin, reading, now, observation))

    def _reject(self, reason: ReportRejection) -> ReportRejection:
        self.counts.rejected[reason] += 1
        return reason


def _sibling_state(
    report: wire.FreshnessReport, sent_at: Interval, reading: OffsetReading | None, now: float
) -> SiblingState:
    confirmed_at = None
    if report.list_confirmed_at is not None:
        confirmed_at = to_local_time(reading, now, report.list_confirmed_at)
    return SiblingState(report.sequence, sent_at, report.list_revision, confirmed_at, tuple(report.pools))
