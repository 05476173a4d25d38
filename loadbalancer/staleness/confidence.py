"""Confidence levels of this node's routes; a route is this node's way to one server.

Evidence is a response or a load report that this node itself received from the server, or a sibling's report
of a response. A sibling's report counts with the upper bound of its age and supports MEDIUM at best.

The maximum age of the evidence, in control periods, is 16 for HIGH, 64 for MEDIUM and 256 for LOW. The level
is NONE if the evidence is older or there is none.

Caps limit the level regardless of the evidence's age:

- MEDIUM if the node is detached from the list service, its endpoint list is two or more revisions behind or
  unconfirmed for 6 s, two of its attempts in a row failed, or a sibling's attempt certainly failed later than
  the server last responded to this node.
- LOW if the node is isolated, its endpoint list is nine or more revisions behind, or four of its attempts in
  a row failed.

Hysteresis keeps levels from flapping:

- A level is given only if it will still hold at the next update.
- It falls at once when the evidence grows too old or attempts fail. It falls because of the node's own state
  only after that state has lasted for 8 periods.
- It leaves NONE at once on any evidence, since such a route is tried by one request at a time.
- From LOW on it rises one level at a time. The evidence must stay younger than three quarters of the better
  level's maximum age for as long as that maximum age. A route whose evidence arrives at intervals around a
  limit therefore stays below that limit.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from typing import Final, Literal, NamedTuple

from loadbalancer.endpoints import Confidence
from loadbalancer.staleness.edge_status import LEVELS, EdgeReason, EdgeStatus, server_status, sibling_status
from loadbalancer.staleness.edges import server_edge, sibling_edge
from loadbalancer.staleness.errors import PeriodOutOfRangeError
from loadbalancer.staleness.freshness import FreshnessTable

# The node reaches the list service ("attached"), only siblings ("adrift") or neither ("alone").
ConnectivityState = Literal["attached", "adrift", "alone"]

MAX_AGE_PERIODS: Final = (16.0, 64.0, 256.0)  # maximum evidence age for HIGH, MEDIUM, LOW
RISE_AGE_RATIO: Final = 0.75  # evidence under this ratio of a level's maximum age lets a route rise to it
SUSTAINED_PERIODS: Final = 8.0  # how long a node's state must last before it lowers levels
MAX_LIST_AGE_MS: Final = 6000.0  # maximum time since discovery last confirmed the endpoint list
FAILURE_LIMITS: Final = (2, 4)  # consecutive failures from which a level is capped at MEDIUM, LOW
REVISION_LIMITS: Final = (2, 9)  # revisions behind from which a level is capped at MEDIUM, LOW
_HIGH, _MEDIUM, _LOW, _NONE = range(4)  # indices of LEVELS; a higher index is worse

# (age of the direct evidence, age of the reported evidence, cap by failed attempts, reason of that cap). A
# plain tuple for speed, as one is made for each server at each update.
_Evidence = tuple[float, float, int, EdgeReason | None]


class _NodeCap(NamedTuple):
    """The best level that the node's own state allows, and the reason (None at HIGH)."""

    level: int
    reason: EdgeReason | None


_NO_CAP: Final = _NodeCap(_HIGH, None)
_CONNECTIVITY_CAPS: Final[dict[ConnectivityState, _NodeCap]] = {
    "attached": _NO_CAP,
    "adrift": _NodeCap(_MEDIUM, EdgeReason.DETACHED),
    "alone": _NodeCap(_LOW, EdgeReason.ISOLATED),
}


class _Route:
    """A route's current level and the time since when its evidence has supported a better one."""

    __slots__ = ("level", "reported_level", "rising_since")

    def __init__(self) -> None:
        self.level = _NONE
        self.reported_level = -1  # the level last returned by `update`
        self.rising_since: float | None = None


class ConfidenceTracker:
    """Tracks the confidence level of every listed server."""

    def __init__(
        self, table: FreshnessTable, period_ms: float, update_every_ms: float, round_ms: float = 0.0
    ) -> None:
        """Raise PeriodOutOfRangeError if `period_ms` or `update_every_ms` is not a finite number over 0.

        `period_ms`: the control period, a ratio of the shortest latency objective. `update_every_ms`: the
        maximum time between two calls of `update`. `round_ms`: how long a round of probes to all members
        takes; the caller sets it as the fleet grows or shrinks.
        """
        for name, value_ms in (("period_ms", period_ms), ("update_every_ms", update_every_ms)):
            if not 0.0 < value_ms < math.inf:
                raise PeriodOutOfRangeError(name, value_ms)
        self.round_ms = round_ms
        self._table = table
        self._sustained_ms = SUSTAINED_PERIODS * period_ms
        self._max_ages_ms = tuple(periods * period_ms for periods in MAX_AGE_PERIODS)
        # A level has to hold until the next update.
        self._hold_ages_ms = tuple(age - update_every_ms for age in self._max_ages_ms)
        self._rise_ages_ms = tuple(age * RISE_AGE_RATIO - update_every_ms for age in self._max_ages_ms)
        self._listed: frozenset[str] = frozenset()
        self._routes: dict[str, _Route] = {}
        self._current_cap = _NO_CAP  # the cap by the node's state now
        self._sustained_cap = _NO_CAP  # the cap in effect; a worse state must last before it counts
        self._worse_since: float | None = None

    def update(self, now: float, connectivity: ConnectivityState) -> dict[str, Confidence]:
        """Update every route's level; return the new or changed levels by server. O(servers)."""
        self._update_node_cap(now, connectivity)
        if self._table.endpoint_list.servers is not self._listed:
            self._listed = self._table.endpoint_list.servers
            self._routes = {server: self._routes.get(server) or _Route() for server in self._listed}
        changed = {}
        for server, route in self._routes.items():
            self._update_route(now, server, route)
            if route.level != route.reported_level:
                route.reported_level = route.level
                changed[server] = LEVELS[route.level]
        return changed

    @property
    def levels(self) -> dict[str, Confidence]:
        """Current level of every route, by server."""
        return {server: LEVELS[route.level] for server, route in self._routes.items()}

    def edge_statuses(self, now: float) -> list[EdgeStatus]:
        """Return the status of every edge for operators: servers sorted by name, then siblings."""
        newest = self._table.newest_revision
        servers = [
            server_status(
                server,
                LEVELS[route.level],
                server_edge(self._table, now, server, newest),
                self._reason(now, server, route.level),
            )
            for server, route in sorted(self._routes.items())
        ]
        siblings = [
            sibling_status(incarnation, sibling_edge(self._table, now, incarnation, newest), self.round_ms)
            for incarnation in sorted(self._table.siblings, key=str)
        ]
        return servers + siblings

    # ------------------------------------------------------------- internals

    def _update_node_cap(self, now: float, connectivity: ConnectivityState) -> None:
        """Relax the node's cap at once; tighten it only after the worse state has lasted."""
        self._current_cap = self._node_cap(now, connectivity)
        if self._current_cap.level <= self._sustained_cap.level:
            self._sustained_cap, self._worse_since = self._current_cap, None
        elif self._worse_since is None:
            self._worse_since = now
        elif now - self._worse_since >= self._sustained_ms:
            self._sustained_cap, self._worse_since = self._current_cap, None

    def _node_cap(self, now: float, connectivity: ConnectivityState) -> _NodeCap:
        """Return the strictest cap by the node's state; the first of equally strict ones."""
        endpoint_list = self._table.endpoint_list
        behind = self._table.newest_revision - endpoint_list.revision
        caps = [_CONNECTIVITY_CAPS[connectivity]]
        medium_limit, low_limit = REVISION_LIMITS
        if behind >= medium_limit:
            caps.append(_NodeCap(_MEDIUM if behind < low_limit else _LOW, EdgeReason.LIST_BEHIND))
        if now - endpoint_list.confirmed_at > MAX_LIST_AGE_MS:
            caps.append(_NodeCap(_MEDIUM, EdgeReason.LIST_OLD))
        return max(caps, key=lambda cap: cap.level)

    def _update_route(self, now: float, server: str, route: _Route) -> None:
        """Lower or raise a route's level by the rules in the module's docstring."""
        direct_age, reported_age, failure_cap, _ = self._evidence(now, server)
        age = direct_age if direct_age < reported_age else reported_age
        level = bisect_left(self._hold_ages_ms, age)
        if level == _HIGH and direct_age > self._hold_ages_ms[_HIGH]:
            level = _MEDIUM
        level = max(level, failure_cap, self._sustained_cap.level)
        if level > route.level:
            route.level, route.rising_since = level, None
            return
        if route.level == _HIGH:
            return
        level = bisect_left(self._rise_ages_ms, age)
        if level == _HIGH and direct_age > self._rise_ages_ms[_HIGH]:
            level = _MEDIUM
        if max(level, failure_cap, self._current_cap.level) >= route.level:
            route.rising_since = None
        elif route.level == _NONE:
            route.level, route.rising_since = _LOW, now
        elif route.rising_since is None:
            route.rising_since = now
        elif now - route.rising_since >= self._max_ages_ms[route.level - 1]:
            route.level, route.rising_since = route.level - 1, now

    def _evidence(self, now: float, server: str) -> _Evidence:
        """Return the upper bounds of the evidence's ages and the cap by failed attempts."""
        observation = self._table.observations.get(server)
        gossip = self._table.gossip.get(server)
        responded_at = -math.inf if observation is None else observation.responded_at
        reported_age = math.inf if gossip is None else now - gossip.responded_at
        if observation is not None and observation.consecutive_failures >= FAILURE_LIMITS[0]:
            cap = _MEDIUM if observation.consecutive_failures < FAILURE_LIMITS[1] else _LOW
            return now - responded_at, reported_age, cap, EdgeReason.FAILURES
        if gossip is not None and gossip.failed_at > responded_at:
            return now - responded_at, reported_age, _MEDIUM, EdgeReason.SIBLING_FAILURE
        return now - responded_at, reported_age, _HIGH, None

    def _reason(self, now: float, server: str, level: int) -> EdgeReason:
        """Return why the level is no better, or what the level is based on."""
        direct_age, reported_age, cap, reason = self._evidence(now, server)
        if direct_age == reported_age == math.inf:
            return EdgeReason.NO_EVIDENCE
        if self._sustained_cap.level > cap:
            cap, reason = self._sustained_cap
        by_direct_age = bisect_left(self._hold_ages_ms, direct_age)
        by_age = min(by_direct_age, max(bisect_left(self._hold_ages_ms, reported_age), _MEDIUM))
        if max(by_age, cap) < level:
            return EdgeReason.SETTLING
        if cap >= by_age and reason is not None:
            return reason
        if by_age < by_direct_age or (reported_age < direct_age and by_age > _HIGH):
            return EdgeReason.REPORTED
        return EdgeReason.AGED if by_age > _HIGH else EdgeReason.DIRECT
