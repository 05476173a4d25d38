"""Staleness: how old the information of this process is, for each server and sibling, and the confidence in
each route that follows from it.

Rules:

1. Pure: times and facts in, ages and confidence levels out. No socket, clock, thread or global. All times
   are in ms; `now` is the process's own clock, which never goes back.
2. Every fact has an origin, a version and the origin's time (`freshness`); a process reports its own facts
   only.
3. A clock offset is an interval that holds whatever the asymmetry of the link (`clock_offsets`), and so is
   the age of a fact that a sibling reported (`edges`). Where no sample bounds it, it is unbounded; it is
   never estimated.
4. Confidence levels are advice (`confidence`): HIGH is given only while the evidence is certainly younger
   than its maximum age, and no request is rejected because of a level.
5. Reports are decoded strictly (`wire`); rejected ones are counted by reason. Memory is bounded by the
   endpoint list and the members.
"""

from loadbalancer.staleness.clock_offsets import ClockOffsets, OffsetReading
from loadbalancer.staleness.confidence import ConfidenceTracker, ConnectivityState
from loadbalancer.staleness.edge_status import EdgeStatus
from loadbalancer.staleness.edges import Edge, server_edge, sibling_edge
from loadbalancer.staleness.errors import PeriodOutOfRangeError, StalenessError
from loadbalancer.staleness.freshness import FreshnessTable

__all__ = [
    "ClockOffsets",
    "ConfidenceTracker",
    "ConnectivityState",
    "Edge",
    "EdgeStatus",
    "FreshnessTable",
    "OffsetReading",
    "PeriodOutOfRangeError",
    "StalenessError",
    "server_edge",
    "sibling_edge",
]
