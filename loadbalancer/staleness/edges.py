"""The age of what this process knows about a server or a sibling.

An edge leads from this process to one of them. An age is an interval [least, most] in ms of local time that
holds whatever the asymmetry of the link: exact where this process observed the fact itself, from the bounds
of the clock offset where a sibling reported it, with no upper bound (inf) while the sibling's clock is
unknown.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Final

from loadbalancer.staleness.clock_offsets import Interval
from loadbalancer.staleness.freshness import FreshnessTable

UNKNOWN_AGE: Final[Interval] = (math.inf, math.inf)  # nothing has been observed or reported


@dataclass(slots=True, frozen=True)
class Edge:
    """Ages of the information on one server or sibling; either may be UNKNOWN_AGE."""

    direct_age: Interval  # since this process observed it
    reported_age: Interval  # since the sibling `reporter` observed it
    reporter: Hashable | None
    # How far the endpoint list of this node (a server's edge) or of the sibling is behind the newest known.
    revisions_behind: int

    @property
    def age(self) -> Interval:
        """The age of the freshest information, from either."""
        return (
            min(self.direct_age[0], self.reported_age[0]),
            min(self.direct_age[1], self.reported_age[1]),
        )


def server_edge(table: FreshnessTable, now: float, server: str, newest_revision: int | None = None) -> Edge:
    """The edge to a server; pass `newest_revision` to look it up once for many edges."""
    observation = table.observations.get(server)
    direct_age = UNKNOWN_AGE
    if observation is not None:
        direct_age = (now - observation.answered_at, now - observation.answered_at)
    newest = table.newest_revision if newest_revision is None else newest_revision
    behind = newest - table.endpoint_list.revision
    gossip = table.gossip.get(server)
    report = None if gossip is None else gossip.freshest
    if report is None or report.answered_at is None:
        return Edge(direct_age, UNKNOWN_AGE, None, behind)
    reported_age = (now - report.answered_at[1], now - report.answered_at[0])
    return Edge(direct_age, reported_age, report.origin, behind)


def sibling_edge(
    table: FreshnessTable, now: float, incarnation: Hashable, newest_revision: int | None = None
) -> Edge:
    """The edge to a sibling: the age of its last report of itself."""
    newest = table.newest_revision if newest_revision is None else newest_revision
    sibling = table.siblings.get(incarnation)
    if sibling is None:
        return Edge(UNKNOWN_AGE, UNKNOWN_AGE, None, newest)
    reported_age = (now - sibling.sent_at[1], now - sibling.sent_at[0])
    return Edge(UNKNOWN_AGE, reported_age, incarnation, newest - sibling.list_revision)
