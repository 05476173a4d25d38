"""The table of observations of servers: this process's own and those that siblings reported.

An observation has an origin (this process, or a sibling by its incarnation), a version that the origin
increments, and the time on the origin's clock. On receipt, a time of another clock is converted to an
interval of local time; from then on only the local clock is used for its age. The process's own observations
have exact times. All times are in ms.
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

# A report whose sequence number is behind the last one by up to this is out of order. If it is further
# behind, the sibling has restarted its sequence.
REORDER_WINDOW: Final = 64

# Module-level names, since looking up an enum member by attribute is slow on the request path.
_OK, _ERROR, _REJECTED = AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED
_INCONCLUSIVE: Final = (AttemptResult.CANCELLED, AttemptResult.ABANDONED)  # no information about the server


class Observation:
    """This process's own observation of one server."""

    __slots__ = (
        "attempted_at",
        "consecutive_failures",
        "load",
        "load_at",
        "outcome",
        "responded_at",
        "version",
    )

    def __init__(self) -> None:
        self.version = 0
        self.attempted_at = self.responded_at = self.load_at = -math.inf
        self.outcome: AttemptResult | None = None
        self.consecutive_failures = 0
        self.load: float | None = None  # a ratio of the server's capacity


@dataclass(slots=True, frozen=True)
class SiblingState:
    """State of a sibling by its last report; intervals are in local time."""

    sequence: int
    sent_at: Interval
    list_revision: int
    list_confirmed_at: Interval | None
    pools: tuple[wire.PoolState, ...]


class ReportRejection(StrEnum):
    """Why a sibling's report was rejected."""

    MALFORMED = "malformed"
    UNKNOWN_MEMBER = "unknown-member"  # the report's origin is not a member
    OUT_OF_ORDER = "out-of-order"  # a later report of the origin has been accepted
    FROM_FUTURE = "from-future"  # sent at a time that is certainly later than now


@dataclass(slots=True)
class ReportCounts:
    """Counts of siblings' reports since the start: accepted ones, and rejected ones by reason."""

    accepted: int = 0
    rejected: Counter[ReportRejection] = field(default_factory=Counter)


@dataclass(slots=True)
class EndpointListState:
    """The endpoint list as last confirmed."""

    revision: int = 0
    confirmed_at: float = -math.inf
    servers: frozenset[str] = field(default_factory=frozenset)


class FreshnessTable:
    """Own observations and siblings' reports; memory is bounded by the number of endpoints and members."""

    def __init__(self, clock_offsets: ClockOffsets) -> None:
        """`clock_offsets`: offsets of the siblings by incarnation, to which the owner adds samples."""
        self.clock_offsets = clock_offsets
        self.counts = ReportCounts()
        self.endpoint_list = EndpointListState()
        # Every member except this process; None until the member has reported.
        self.siblings: dict[Hashable, SiblingState | None] = {}
        self.observations: dict[str, Observation] = {}  # by server, the latest observation last
        self.gossip: dict[str, GossipReports] = {}  # by server
        self._pools: dict[str, wire.PoolState] = {}
        self._selection = ReportSelection()
        self._version = 0  # version of the latest observation
        self._sequence = 0  # sequence number of the latest report sent

    # ----------------------------------------------------- own observations

    def record_outcome(self, now: float, server: str, outcome: AttemptResult) -> None:
        """Record the outcome of an attempt; runs on the path of every request."""
        if outcome in _INCONCLUSIVE:
            return
        observation = self._observe(server)
        if observation is None:
            return
        observation.attempted_at = now
        observation.outcome = outcome
        if outcome is _OK:
            observation.responded_at = now
            if observation.consecutive_failures:
                observation.consecutive_failures = 0
                self._selection.flip(server)
            return
        if outcome is _REJECTED or outcome is _ERROR:
            observation.responded_at = now
        if outcome is not _REJECTED:
            observation.consecutive_failures += 1
            if observation.consecutive_failures == 1:
                self._selection.flip(server)

    def record_load(self, now: float, server: str, load: float) -> None:
        """Record a server's reported load, a ratio of its capacity; an invalid value is ignored."""
        if not (isinstance(load, int | float) and 0.0 <= load <= wire.MAX_QUANTITY):
            return
        observation = self._observe(server)
        if observation is not None:
            observation.load = float(load)
            observation.load_at = observation.responded_at = now

    def record_pool(
        self, now: float, in_flight: float, cursor: int, threshold: float, pool: str = ""
    ) -> None:
        """Record this process's state of a pool; pools beyond the limits of a report are left out."""
        if pool in self._pools or (len(self._pools) < wire.MAX_POOLS and len(pool) <= wire.MAX_NAME_CHARS):
            self._pools[pool] = wire.PoolState(pool, now, in_flight, cursor, threshold)

    def confirm_list(self, now: float, revision: int, servers: Collection[str] | None = None) -> None:
        """Record that discovery confirmed the list at `now`; `servers`: all names, None if unchanged."""
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
        """Set the members except this process; drop the state of members that have departed."""
        for departed in self.siblings.keys() - set(incarnations):
            del self.siblings[departed]
            self.clock_offsets.forget(departed)
        for incarnation in incarnations:
            self.siblings.setdefault(incarnation, None)

    def make_report(self, now: float) -> bytes:
        """Return the encoded report to send now, with at most 48 servers and under 64 KiB."""
        self._sequence += 1
        endpoint_list = self.endpoint_list
        report = wire.FreshnessReport(
            version=wire.FORMAT_VERSION,
            sequence=self._sequence,
            sent_at=now,
            list_revision=endpoint_list.revision,
            list_confirmed_at=endpoint_list.confirmed_at if endpoint_list.confirmed_at > -math.inf else None,
            pools=list(self._pools.values()),
            servers=[
                self._wire_observation(name)
                for name in self._selection.select(reversed(self.observations))
                if 0 < len(name) <= wire.MAX_NAME_CHARS
            ],
        )
        return wire.encode(report)

    def receive_report(self, now: float, origin: Hashable, payload: object) -> ReportRejection | None:
        """Apply a sibling's report, which may arrive repeatedly; return None or why it was rejected."""
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
        if sent_at is None:
            # The origin's clock was set after its last sample; the next call samples it again.
            self.clock_offsets.forget(origin)
            return self._reject(ReportRejection.FROM_FUTURE)
        if earlier is not None and earlier.sequence == report.sequence:  # the same report in another call
            sent_at = intersect_or_latest(earlier.sent_at, sent_at)
        self.siblings[origin] = _sibling_state(report, sent_at, reading, now)
        self._add_gossip(origin, reading, now, report)
        self.counts.accepted += 1
        return None

    @property
    def newest_revision(self) -> int:
        """Newest revision of the endpoint list that this process or any sibling has."""
        reported = (sibling.list_revision for sibling in self.siblings.values() if sibling is not None)
        return max(self.endpoint_list.revision, max(reported, default=0))

    # ------------------------------------------------------------- internals

    def _observe(self, server: str) -> Observation | None:
        """Return the server's observation with a new version, moved to the end; None if it is not listed."""
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

    def _wire_observation(self, server: str) -> wire.ServerObservation:
        observation = self.observations[server]
        attempted = observation.outcome is not None
        return wire.ServerObservation(
            name=server,
            version=observation.version,
            attempted_at=observation.attempted_at if attempted else observation.load_at,
            outcome=observation.outcome,
            responded_at=observation.responded_at if observation.responded_at > -math.inf else None,
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
