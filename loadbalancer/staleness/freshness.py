"""What this process knows and from whom: its own facts, and those that siblings told on their calls.

A fact has an origin (an incarnation, or this process), a version that rises at its origin and the origin's
time. A time of another's clock is turned into an interval of own time as it is told, and ages by the own
clock alone from then on. Own facts have exact times. All times are in ms.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Hashable, Iterator
from dataclasses import dataclass, field
from itertools import chain, islice

from loadbalancer.endpoints import AttemptResult
from loadbalancer.staleness import wire
from loadbalancer.staleness.clock_offsets import Interval, Offsets
from loadbalancer.staleness.gossip_reports import Hearsay, narrowed, own_time, relayed

FLIPPED = 16  # servers in a share that have lately begun or ceased to fail,
FRESH = 16  # those with the latest facts,
TURN = 16  # and some of all in turn, so that each is told at some time
REORDERED = 64  # a share up to so many behind the last came late; one further behind starts anew
_OK, _ERROR, _FULL = (
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.REJECTED,
)  # an enum's own look-up is slow
_MUTE = (AttemptResult.CANCELLED, AttemptResult.ABANDONED)  # these say nothing of the server


class Seen:
    """Own facts on one server."""

    __slots__ = ("at", "heard", "load", "load_at", "misses", "outcome", "version")

    def __init__(self) -> None:
        self.version = 0
        self.at = self.heard = self.load_at = -math.inf
        self.outcome: AttemptResult | None = None
        self.misses = 0  # failures since the last good answer
        self.load: float | None = None


@dataclass(slots=True, frozen=True)
class Sibling:
    """What a sibling last told of itself."""

    count: int
    sent: Interval  # in own time
    revision: int
    revision_at: Interval | None
    pools: tuple[wire.PoolFigures, ...]


@dataclass(slots=True)
class Counts:
    """What `told` took and turned down."""

    taken: int = 0
    garbage: int = 0
    stranger: int = 0
    late: int = 0
    future: int = 0


@dataclass(slots=True)
class _List:
    revision: int = 0
    at: float = -math.inf
    servers: frozenset[str] = field(default_factory=frozenset)


class View:
    """Own and told facts; memory is bounded by the server list and the members.

    `offsets` is the one that the process samples its calls into, with the siblings' incarnations as peers.
    """

    def __init__(self, offsets: Offsets) -> None:
        self.offsets = offsets
        self.counts = Counts()
        self.listing = _List()
        self.siblings: dict[Hashable, Sibling | None] = {}  # every member but this; None: has told nothing
        self.seen: dict[str, Seen] = {}  # the one with the latest fact last
        self.hearsay: dict[str, Hearsay] = {}
        self._pools: dict[str, wire.PoolFigures] = {}
        self._flipped: dict[str, None] = {}  # the latest last
        self._turn: deque[str] = deque()  # servers with own facts
        self._version = 0
        self._shares = 0

    # ------------------------------------------------------------- own facts

    def saw(self, now: float, server: str, outcome: AttemptResult) -> None:
        """An attempt at a server ended. On every call's path, so a few stores and no more."""
        if outcome in _MUTE:
            return
        seen = self._touch(server)
        if seen is None:
            return
        seen.at = now
        seen.outcome = outcome
        if outcome is _OK:
            seen.heard = now
            if seen.misses:
                seen.misses = 0
                self._flip(server)
            return
        if outcome is _FULL or outcome is _ERROR:
            seen.heard = now
        if outcome is not _FULL:
            seen.misses += 1
            if seen.misses == 1:
                self._flip(server)

    def loaded(self, now: float, server: str, load: float) -> None:
        """A server reported its load (a share of its capacity); what is no figure is dropped."""
        if not (isinstance(load, int | float) and 0.0 <= load <= 1e12):
            return
        seen = self._touch(server)
        if seen is not None:
            seen.load = float(load)
            seen.load_at = seen.heard = now

    def listed(self, now: float, revision: int, servers: Collection[str] | None = None) -> None:
        """The list was confirmed at this revision; `servers` are all its names, None: the same as before."""
        self.listing.at = now
        self.listing.revision = revision
        if servers is None:
            return
        self.listing.servers = frozenset(servers)
        for facts in (self.seen, self.hearsay, self._flipped):
            for server in [name for name in facts if name not in self.listing.servers]:
                del facts[server]
        self._turn = deque(name for name in self._turn if name in self.listing.servers)

    def figures(self, now: float, in_flight: float, cursor: int, threshold: float, pool: str = "") -> None:
        """This process's own figures of a pool; pools past MAX_POOLS and names past MAX_NAME are not told."""
        if pool in self._pools or (len(self._pools) < wire.MAX_POOLS and len(pool) <= wire.MAX_NAME):
            self._pools[pool] = wire.PoolFigures(pool, now, in_flight, cursor, threshold)

    def members(self, incarnations: Collection[Hashable]) -> None:
        """All members but this one; what a former one told of itself is dropped."""
        for gone in self.siblings.keys() - set(incarnations):
            del self.siblings[gone]
            self.offsets.forget(gone)
        for incarnation in incarnations:
            self.siblings.setdefault(incarnation, None)

    # --------------------------------------------------------------- sharing

    def share(self, now: float) -> bytes:
        """The `view` entry for a call or an answer that goes out now: at most 48 servers, in under 64 KiB."""
        self._shares += 1
        listing = self.listing
        confirmed = listing.at if listing.at > -math.inf else None
        servers = [self._fact(name) for name in self._chosen()]
        pools = list(self._pools.values())
        return wire.encode(wire.Share(1, self._shares, now, listing.revision, confirmed, pools, servers))

    def told(self, now: float, origin: Hashable, payload: object) -> str | None:
        """Take the entry of a sibling's call, once or again. None: taken; else why not, as it is counted."""
        if origin not in self.siblings:
            return self._refuse("stranger")
        share = wire.decode(payload)
        if share is None:
            return self._refuse("garbage")
        before = self.siblings[origin]
        if before is not None and 0 < before.count - share.count <= REORDERED:
            return self._refuse("late")
        reading = self.offsets.reading(origin, now)
        sent = own_time(reading, now, share.sent)
        if sent is None:  # its clock jumped since it was sampled: the next call tells where to
            self.offsets.forget(origin)
            return self._refuse("future")
        if before is not None and before.count == share.count:  # the same again, by another call
            sent = narrowed(before.sent, sent)
        confirmed = None if share.revision_at is None else own_time(reading, now, share.revision_at)
        self.siblings[origin] = Sibling(share.count, sent, share.revision, confirmed, tuple(share.pools))
        for fact in share.servers:
            if fact.name in self.listing.servers:
                hearsay = self.hearsay.get(fact.name)
                if hearsay is None:
                    hearsay = self.hearsay[fact.name] = Hearsay()
                hearsay.add(relayed(origin, reading, now, fact))
        self.counts.taken += 1
        return None

    @property
    def newest_revision(self) -> int:
        """Of all that this process and its siblings hold."""
        heard = (sibling.revision for sibling in self.siblings.values() if sibling is not None)
        return max(self.listing.revision, max(heard, default=0))

    # ---------------------------------------------------------------- inside

    def _touch(self, server: str) -> Seen | None:
        """The server's facts, moved to the end of the order; None: no such server is listed."""
        seen = self.seen.pop(server, None)
        if seen is None:
            if server not in self.listing.servers:
                return None
            seen = Seen()
            self._turn.append(server)
        self.seen[server] = seen
        self._version += 1
        seen.version = self._version
        return seen

    def _flip(self, server: str) -> None:
        self._flipped.pop(server, None)
        self._flipped[server] = None
        if len(self._flipped) > FLIPPED:
            del self._flipped[next(iter(self._flipped))]

    def _chosen(self) -> Iterator[str]:
        turn = list(islice(self._turn, TURN))
        self._turn.rotate(-len(turn))
        names = chain(self._flipped, islice(reversed(self.seen), FRESH), turn)
        return (name for name in dict.fromkeys(names) if 0 < len(name) <= wire.MAX_NAME)

    def _fact(self, name: str) -> wire.ServerFact:
        seen = self.seen[name]
        at = seen.at if seen.outcome is not None else seen.load_at
        heard = seen.heard if seen.heard > -math.inf else None
        load_at = seen.load_at if seen.load is not None else None
        return wire.ServerFact(name, seen.version, at, seen.outcome, heard, seen.load, load_at)

    def _refuse(self, why: str) -> str:
        setattr(self.counts, why, getattr(self.counts, why) + 1)
        return why
