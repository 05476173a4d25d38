"""Staleness: the age of this process's information about each server and sibling, and the confidence level of
each route that follows from that age.

Rules:

1. The package is pure: it takes times and observations and returns ages and confidence levels, without
   sockets, clocks, threads or globals. All times are in ms; `now` is read from the process's local clock,
   which never goes back.
2. Every observation has an origin, a version and the time on the origin's clock (`freshness`). A process
   reports only its own observations.
3. A clock offset is an interval that contains the true offset however asymmetric the link is
   (`clock_offsets`). The same holds for the age of an observation that a sibling reported (`edges`). An
   interval without a sample is unbounded; offsets and ages are never estimated.
4. Confidence levels are advice (`confidence`): HIGH is given only while the evidence is certainly younger
   than its maximum age, and no request is rejected because of a level.
5. Reports are decoded strictly (`wire`), and rejected reports are counted by reason. Memory is bounded by the
   number of listed endpoints and members.
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
