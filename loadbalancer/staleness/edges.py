"""The age of this process's information about a server or a sibling.

An edge leads from this process to a server or a sibling. An age is an interval (min, max) in ms of local time
that contains the true age however asymmetric the link is. It is exact for an observation of this process
itself. For a sibling's observation it follows from the bounds of the sibling's clock offset, with no upper
bound (inf) while that offset is unknown.
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
    """Ages of the information about one server or sibling; either age may be UNKNOWN_AGE."""

    direct_age: Interval  # since this process observed it
    reported_age: Interval  # since the sibling `reporter` observed it
    reporter: Hashable | None
    # How many revisions the endpoint list of this node (on an edge to a server) or of the sibling (on an edge
    # to a sibling) is behind the newest known one.
    revisions_behind: int

    @property
    def age(self) -> Interval:
        """Age of the freshest information, direct or reported."""
        return (
            min(self.direct_age[0], self.reported_age[0]),
            min(self.direct_age[1], self.reported_age[1]),
        )


def server_edge(table: FreshnessTable, now: float, server: str, newest_revision: int | None = None) -> Edge:
    """Return the edge to a server; pass `newest_revision` to look it up only once for many edges."""
    observation = table.observations.get(server)
    direct_age = UNKNOWN_AGE
    if observation is not None:
        direct_age = (now - observation.responded_at, now - observation.responded_at)
    newest = table.newest_revision if newest_revision is None else newest_revision
    behind = newest - table.endpoint_list.revision
    gossip = table.gossip.get(server)
    report = None if gossip is None else gossip.freshest
    if report is None or report.responded_at is None:
        return Edge(direct_age, UNKNOWN_AGE, None, behind)
    reported_age = (now - report.responded_at[1], now - report.responded_at[0])
    return Edge(direct_age, reported_age, report.origin, behind)


def sibling_edge(
    table: FreshnessTable, now: float, incarnation: Hashable, newest_revision: int | None = None
) -> Edge:
    """Return the edge to a sibling, whose age is that of the sibling's last report."""
    newest = table.newest_revision if newest_revision is None else newest_revision
    sibling = table.siblings.get(incarnation)
    if sibling is None:
        return Edge(UNKNOWN_AGE, UNKNOWN_AGE, None, newest)
    reported_age = (now - sibling.sent_at[1], now - sibling.sent_at[0])
    return Edge(UNKNOWN_AGE, reported_age, incarnation, newest - sibling.list_revision)
