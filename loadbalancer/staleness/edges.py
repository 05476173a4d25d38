"""How old what this process knows at each of its edges is: itself to a server, itself to a sibling.

An age is an interval [least, most] in ms of own time that holds whatever the link's asymmetry: exact where
this process saw the fact itself, from the offset's bounds where a sibling told it, with no `most` (inf)
where the sibling's clock is not known yet.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass

from loadbalancer.staleness.clock_offsets import Interval
from loadbalancer.staleness.freshness import FreshnessTable

UNKNOWN: Interval = (math.inf, math.inf)  # nothing was ever heard


@dataclass(slots=True, frozen=True)
class Edge:
    """`own`: since this process heard of it; `told`: since the sibling `via` did. Either may be UNKNOWN."""

    direct_age: Interval
    reported_age: Interval
    reporter: Hashable | None
    revisions_behind: (
        int  # revisions: this node's list (a server's edge) or the sibling's, behind the newest heard of
    )

    @property
    def age(self) -> Interval:
        """Of the freshest that is known, from either."""
        return (min(self.direct_age[0], self.reported_age[0]), min(self.direct_age[1], self.reported_age[1]))


def server_edge(view: FreshnessTable, now: float, server: str, newest: int | None = None) -> Edge:
    """The edge to a server; `newest` spares looking for the newest revision where many edges are asked."""
    seen = view.observations.get(server)
    own = UNKNOWN if seen is None else (now - seen.answered_at, now - seen.answered_at)
    behind = (view.newest_revision if newest is None else newest) - view.endpoint_list.revision
    hearsay = view.gossip.get(server)
    fact = None if hearsay is None else hearsay.freshest
    if fact is None or fact.answered_at is None:
        return Edge(own, UNKNOWN, None, behind)
    return Edge(own, (now - fact.answered_at[1], now - fact.answered_at[0]), fact.origin, behind)


def sibling_edge(view: FreshnessTable, now: float, incarnation: Hashable, newest: int | None = None) -> Edge:
    """The edge to a sibling: the age of what it last told of itself, its figures and revision."""
    newest = view.newest_revision if newest is None else newest
    sibling = view.siblings.get(incarnation)
    if sibling is None:
        return Edge(UNKNOWN, UNKNOWN, None, newest)
    told = (now - sibling.sent_at[1], now - sibling.sent_at[0])
    return Edge(UNKNOWN, told, incarnation, newest - sibling.list_revision)
