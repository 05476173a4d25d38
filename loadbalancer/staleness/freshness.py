"""What this process knows and from whom: its own facts, and those that siblings told on their calls.

A fact has an origin (an incarnation, or this process), a version that rises at its origin and the origin's
time. A time of another's clock is turned into an interval of own time as it is told, and ages by the own
clock alone from then on. Own facts have exact times. All times are in ms.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Collection, Hashable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import chain, islice

from loadbalancer.endpoints import AttemptResult
from loadbalancer.staleness import wire
from loadbalancer.staleness.clock_offsets import ClockOffsets, Interval
from loadbalancer.staleness.gossip_reports import (
    GossipReports,
    intersect_or_latest,
    to_local_report,
    to_local_time,
)

MAX_FLIPPED = 16  # servers in a share that have lately begun or ceased to fail,
MAX_RECENT = 16  # those with the latest facts,
MAX_ROTATED = 16  # and some of all in turn, so that each is told at some time
REORDER_WINDOW = 64  # a share up to so many behind the last came late; one further behind starts anew
_OK, _ERROR, _FULL = (
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.REJECTED,
)  # an enum's own look-up is slow
_MUTE = (AttemptResult.CANCELLED, AttemptResult.ABANDONED)  # these say nothing of the server


class Observation:
    """Own facts on one server."""

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
        self.consecutive_failures = 0  # failures since the last good answer
        self.load: float | None = None


@dataclass(slots=True, frozen=True)
class SiblingState:
    """What a sibling last told of itself."""

    sequence: int
    sent_at: Interval  # in own time
    list_revision: int
    list_confirmed_at: Interval | None
    pools: tuple[wire.PoolState, ...]


class ReportRejection(StrEnum):
    """Why a sibling's report was not used."""

    MALFORMED = "malformed"
    UNKNOWN_MEMBER = "unknown-member"  # no member has the report's origin
    OUT_OF_ORDER = "out-of-order"  # a later report of the origin was used before
    FROM_FUTURE = "from-future"  # sent at a time that lies ahead of the local clock


@dataclass(slots=True)
class ReportCounts:
    """Siblings' reports since the start, accepted and rejected by reason."""

    accepted: int = 0
    rejected: Counter[ReportRejection] = field(default_factory=Counter)


@dataclass(slots=True)
class _EndpointList:
    revision: int = 0
    confirmed_at: float = -math.inf
    servers: frozenset[str] = field(default_factory=frozenset)


class FreshnessTable:
    """Own and told facts; memory is bounded by the server list and the members.

    `offsets` is the one that the process samples its calls into, with the siblings' incarnations as peers.
    """

    def __init__(self, offsets: ClockOffsets) -> None:
        self.clock_offsets = offsets
        self.counts = ReportCounts()
        self.endpoint_list = _EndpointList()
        self.siblings: dict[
            Hashable, SiblingState | None
        ] = {}  # every member but this; None: has told nothing
        self.observations: dict[str, Observation] = {}  # the one with the latest fact last
        self.gossip: dict[str, GossipReports] = {}
        self._pools: dict[str, wire.PoolState] = {}
        self._flipped: dict[str, None] = {}  # the latest last
        self._turn: deque[str] = deque()  # servers with own facts
        self._version = 0
        self._shares = 0

    # ------------------------------------------------------------- own facts

    def record_outcome(self, now: float, server: str, outcome: AttemptResult) -> None:
        """An attempt at a server ended. On every call's path, so a few stores and no more."""
        if outcome in _MUTE:
            return
        seen = self._touch(server)
        if seen is None:
            return
        seen.attempted_at = now
        seen.outcome = outcome
        if outcome is _OK:
            seen.answered_at = now
            if seen.consecutive_failures:
                seen.consecutive_failures = 0
                self._flip(server)
            return
        if outcome is _FULL or outcome is _ERROR:
            seen.answered_at = now
        if outcome is not _FULL:
            seen.consecutive_failures += 1
            if seen.consecutive_failures == 1:
                self._flip(server)

    def record_load(self, now: float, server: str, load: float) -> None:
        """A server reported its load (a share of its capacity); what is no figure is dropped."""
        if not (isinstance(load, int | float) and 0.0 <= load <= 1e12):
            return
        seen = self._touch(server)
        if seen is not None:
            seen.load = float(load)
            seen.load_at = seen.answered_at = now

    def confirm_list(self, now: float, revision: int, servers: Collection[str] | None = None) -> None:
        """The list was confirmed at this revision; `servers` are all its names, None: the same as before."""
        self.endpoint_list.confirmed_at = now
        self.endpoint_list.revision = revision
        if servers is None:
            return
        self.endpoint_list.servers = frozenset(servers)
        for facts in (self.observations, self.gossip, self._flipped):
            for server in [name for name in facts if name not in self.endpoint_list.servers]:
                del facts[server]
        self._turn = deque(name for name in self._turn if name in self.endpoint_list.servers)

    def record_pool(
        self, now: float, in_flight: float, cursor: int, threshold: float, pool: str = ""
    ) -> None:
        """This process's own figures of a pool; pools past MAX_POOLS and names past MAX_NAME are not told."""
        if pool in self._pools or (len(self._pools) < wire.MAX_POOLS and len(pool) <= wire.MAX_NAME_CHARS):
            self._pools[pool] = wire.PoolState(pool, now, in_flight, cursor, threshold)

    def set_members(self, incarnations: Collection[Hashable]) -> None:
        """All members but this one; what a former one told of itself is dropped."""
        for gone in self.siblings.keys() - set(incarnations):
            del self.siblings[gone]
            self.clock_offsets.forget(gone)
        for incarnation in incarnations:
            self.siblings.setdefault(incarnation, None)

    # --------------------------------------------------------------- sharing

    def make_report(self, now: float) -> bytes:
        """The `view` entry for a call or an answer that goes out now: at most 48 servers, in under 64 KiB."""
        self._shares += 1
        listing = self.endpoint_list
        confirmed = listing.confirmed_at if listing.confirmed_at > -math.inf else None
        servers = [self._fact(name) for name in self._chosen()]
        pools = list(self._pools.values())
        return wire.encode(wire.Report(1, self._shares, now, listing.revision, confirmed, pools, servers))

    def receive_report(self, now: float, origin: Hashable, payload: object) -> ReportRejection | None:
        """Take the entry of a sibling's call, once or again. None: taken; else why not, as it is counted."""
        if origin not in self.siblings:
            return self._reject(ReportRejection.UNKNOWN_MEMBER)
        share = wire.decode(payload)
        if share is None:
            return self._reject(ReportRejection.MALFORMED)
        before = self.siblings[origin]
        if before is not None and 0 < before.sequence - share.sequence <= REORDER_WINDOW:
            return self._reject(ReportRejection.OUT_OF_ORDER)
        reading = self.clock_offsets.reading(origin, now)
        sent = to_local_time(reading, now, share.sent_at)
        if sent is None:  # its clock jumped since it was sampled: the next call tells where to
            self.clock_offsets.forget(origin)
            return self._reject(ReportRejection.FROM_FUTURE)
        if before is not None and before.sequence == share.sequence:  # the same again, by another call
            sent = intersect_or_latest(before.sent_at, sent)
        confirmed = (
            None if share.list_confirmed_at is None else to_local_time(reading, now, share.list_confirmed_at)
        )
        self.siblings[origin] = SiblingState(
            share.sequence, sent, share.list_revision, confirmed, tuple(share.pools)
        )
        for fact in share.servers:
            if fact.name in self.endpoint_list.servers:
                hearsay = self.gossip.get(fact.name)
                if hearsay is None:
                    hearsay = self.gossip[fact.name] = GossipReports()
                hearsay.add(to_local_report(origin, reading, now, fact))
        self.counts.accepted += 1
        return None

    @property
    def newest_revision(self) -> int:
        """Of all that this process and its siblings hold."""
        heard = (sibling.list_revision for sibling in self.siblings.values() if sibling is not None)
        return max(self.endpoint_list.revision, max(heard, default=0))

    # ---------------------------------------------------------------- inside

    def _touch(self, server: str) -> Observation | None:
        """The server's facts, moved to the end of the order; None: no such server is listed."""
        seen = self.observations.pop(server, None)
        if seen is None:
            if server not in self.endpoint_list.servers:
                return None
            seen = Observation()
            self._turn.append(server)
        self.observations[server] = seen
        self._version += 1
        seen.version = self._version
        return seen

    def _flip(self, server: str) -> None:
        self._flipped.pop(server, None)
        self._flipped[server] = None
        if len(self._flipped) > MAX_FLIPPED:
            del self._flipped[next(iter(self._flipped))]

    def _chosen(self) -> Iterator[str]:
        turn = list(islice(self._turn, MAX_ROTATED))
        self._turn.rotate(-len(turn))
        names = chain(self._flipped, islice(reversed(self.observations), MAX_RECENT), turn)
        return (name for name in dict.fromkeys(names) if 0 < len(name) <= wire.MAX_NAME_CHARS)

    def _fact(self, name: str) -> wire.ServerObservation:
        seen = self.observations[name]
        at = seen.attempted_at if seen.outcome is not None else seen.load_at
        heard = seen.answered_at if seen.answered_at > -math.inf else None
        load_at = seen.load_at if seen.load is not None else None
        return wire.ServerObservation(name, seen.version, at, seen.outcome, heard, seen.load, load_at)

    def _reject(self, reason: ReportRejection) -> ReportRejection:
        self.counts.rejected[reason] += 1
        return reason
