"""Marks: how sure this node can be of each route, a server as it may use it.

The bounds, in periods P (a share of the shortest aim, the decision module's), on the oldest that the
evidence may be: `sure` 16, `fair` 64, `weak` 256, `blind` past that or where there is none. Evidence is an
answer or a load report that this node had itself; a sibling's answer, by the `most` end of its age, is
worth `fair` at best. Capped at `fair`: the node is adrift, its list two or more revisions behind or
unconfirmed for 6 s, two of its calls in a row failed, or a sibling's call failed surely later than the
server last answered here. Capped at `weak`: the node is alone, or nine or more behind, or four calls in a
row failed.

A mark is given only if it will still hold at the next update. It worsens at once when the evidence grows
too old or calls fail (the count is the hysteresis); by the node's own state only once that has lasted 8 P.
It leaves `blind` at once on any evidence, for a blind route is tried by one call at a time. Further it
rises one step at a time, when the better mark's bound was kept with a quarter to spare for as long as the
bound: a route whose evidence comes at intervals around a bound stays below it.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Hashable
from typing import Literal

from loadbalancer.endpoints import Confidence
from loadbalancer.staleness.edges import Edge, server_edge, sibling_edge
from loadbalancer.staleness.freshness import FreshnessTable

ConnectivityState = Literal["attached", "adrift", "alone"]

LEVELS = (Confidence.HIGH, Confidence.MEDIUM, Confidence.LOW, Confidence.NONE)
MAX_AGE_PERIODS = (16.0, 64.0, 256.0)  # periods
RISE_AGE_RATIO = 0.75  # of a bound, to rise to its mark
SUSTAINED_PERIODS = 8.0  # periods that a state of the node must last to lower marks
MAX_LIST_AGE_MS = 6000.0  # a list confirmed no later is old: discovery may be silent for as long
FAILURE_LIMITS = (2, 4)  # calls in a row that failed: at most fair, weak
REVISION_LIMITS = (2, 9)  # revisions behind: the same
SIBLING_MAX_AGE_ROUNDS = (
    2.0,
    4.0,
    8.0,
)  # bounds of a sibling's edge, in rounds; a shuffled round may leave one out for two
_SURE, _FAIR, _WEAK, _BLIND = range(4)
_Cap = tuple[int, str]


class _Route:
    """A route's mark as it stands, and since when it has earned a better one."""

    __slots__ = ("earning", "given", "level")

    def __init__(self) -> None:
        self.level = _BLIND
        self.given = -1  # the level that `update` told last
        self.earning: float | None = None


class ConfidenceTracker:
    """The marks of every listed server. `update` runs every `every_ms` at most, from the caller's timer.

    `round_ms` is how long a members' round takes, kept up by the caller as the fleet grows or shrinks.
    """

    def __init__(
        self, view: FreshnessTable, period_ms: float, every_ms: float, round_ms: float = 0.0
    ) -> None:
        if not (0.0 < period_ms < math.inf and 0.0 < every_ms < math.inf):
            raise ValueError(f"period_ms, every_ms: {period_ms!r}, {every_ms!r} are not both over 0")
        self.round_ms = round_ms
        self._view = view
        self._lasting = SUSTAINED_PERIODS * period_ms
        self._bounds = tuple(bound * period_ms for bound in MAX_AGE_PERIODS)
        self._keeps = tuple(bound - every_ms for bound in self._bounds)
        self._earns = tuple(bound * RISE_AGE_RATIO - every_ms for bound in self._bounds)
        self._listed: frozenset[str] = frozenset()
        self._routes: dict[str, _Route] = {}
        self._state: _Cap = (_SURE, "")  # the node's own state as it is,
        self._cap: _Cap = (_SURE, "")  # and as it caps marks, once it has lasted
        self._worse_since: float | None = None

    def update(self, now: float, stand: ConnectivityState) -> dict[str, Confidence]:
        """Judge every route anew; the marks that changed or are new, by server. Linear in the list."""
        self._weigh_node(now, stand)
        if self._view.endpoint_list.servers is not self._listed:
            self._listed = self._view.endpoint_list.servers
            self._routes = {server: self._routes.get(server) or _Route() for server in self._listed}
        changed = {}
        for server, route in self._routes.items():
            self._step(now, server, route)
            if route.level != route.given:
                route.given = route.level
                changed[server] = LEVELS[route.level]
        return changed

    @property
    def levels(self) -> dict[str, Confidence]:
        """All marks as they stand."""
        return {server: LEVELS[route.level] for server, route in self._routes.items()}

    def edge_rows(self, now: float) -> list[dict[str, object]]:
        """Every edge, for the door: mark, age in ms (`most_ms` None: no bound), revisions behind, reason."""
        newest = self._view.newest_revision
        rows = []
        for server, route in sorted(self._routes.items()):
            edge = server_edge(self._view, now, server, newest)
            rows.append(_row("server", server, route.level, edge, self._reason(now, server, route.level)))
        for incarnation in sorted(self._view.siblings, key=str):
            edge = sibling_edge(self._view, now, incarnation, newest)
            level = bisect_left([bound * self.round_ms for bound in SIBLING_MAX_AGE_ROUNDS], edge.age[1])
            why = "unheard" if edge.age[0] == math.inf else "unsampled" if edge.age[1] == math.inf else "told"
            rows.append(_row("sibling", incarnation, level, edge, why))
        return rows

    # ---------------------------------------------------------------- inside

    def _weigh_node(self, now: float, stand: ConnectivityState) -> None:
        listing = self._view.endpoint_list
        behind = self._view.newest_revision - listing.revision
        caps: list[_Cap] = [
            (_SURE, ""),
            {"attached": (_SURE, ""), "adrift": (_FAIR, stand)}.get(stand, (_WEAK, stand)),
        ]
        if behind >= REVISION_LIMITS[0]:
            caps.append((_FAIR if behind < REVISION_LIMITS[1] else _WEAK, "behind"))
        if now - listing.confirmed_at > MAX_LIST_AGE_MS:
            caps.append((_FAIR, "list-old"))
        self._state = max(caps, key=lambda cap: cap[0])
        if self._state[0] <= self._cap[0]:
            self._cap, self._worse_since = self._state, None
        elif self._worse_since is None:
            self._worse_since = now
        elif now - self._worse_since >= self._lasting:
            self._cap, self._worse_since = self._state, None

    def _step(self, now: float, server: str, route: _Route) -> None:
        """Move a route's mark as the module's docstring says."""
        own, told, cap, _ = self._evidence(now, server)
        best = own if own < told else told
        keep = bisect_left(self._keeps, best) or (_SURE if own <= self._keeps[_SURE] else _FAIR)
        keep = max(keep, cap, self._cap[0])
        if keep > route.level:
            route.level, route.earning = keep, None
            return
        if route.level == _SURE:
            return
        earn = bisect_left(self._earns, best) or (_SURE if own <= self._earns[_SURE] else _FAIR)
        if max(earn, cap, self._state[0]) >= route.level:
            route.earning = None
        elif route.level == _BLIND:
            route.level, route.earning = _WEAK, now
        elif route.earning is None:
            route.earning = now
        elif now - route.earning >= self._bounds[route.level - 1]:
            route.level, route.earning = route.level - 1, now

    def _evidence(self, now: float, server: str) -> tuple[float, float, int, str]:
        """The most that the own and the told evidence may be old; the cap of failed calls, why."""
        seen = self._view.observations.get(server)
        hearsay = self._view.gossip.get(server)
        heard = -math.inf if seen is None else seen.answered_at
        told = math.inf if hearsay is None else now - hearsay.answered_at
        if seen is not None and seen.consecutive_failures >= FAILURE_LIMITS[0]:
            return (
                now - heard,
                told,
                _FAIR if seen.consecutive_failures < FAILURE_LIMITS[1] else _WEAK,
                "missing",
            )
        if hearsay is not None and hearsay.failed_at > heard:
            return now - heard, told, _FAIR, "missing-for-sibling"
        return now - heard, told, _SURE, ""

    def _reason(self, now: float, server: str, level: int) -> str:
        """Why the mark is no better, or what it rests on."""
        own, told, cap, why = self._evidence(now, server)
        if own == told == math.inf:
            return "unheard"
        if self._cap[0] > cap:
            cap, why = self._cap
        by_own = bisect_left(self._keeps, own)
        by_age = min(by_own, max(bisect_left(self._keeps, told), _FAIR))
        if max(by_age, cap) < level:
            return "settling"
        if cap >= by_age and cap > _SURE:
            return why
        if by_age < by_own or (told < own and by_age > _SURE):
            return "told"
        return "aged" if by_age > _SURE else "heard"


def _row(kind: str, to: Hashable, level: int, edge: Edge, reason: str) -> dict[str, object]:
    least, most = (age if age < math.inf else None for age in edge.age)
    return {
        "kind": kind,
        "to": to,
        "mark": LEVELS[level].value,
        "least_ms": least,
        "most_ms": most,
        "behind": edge.revisions_behind,
        "via": edge.reporter if edge.reported_age[1] < edge.direct_age[1] else None,
        "reason": reason,
    }
