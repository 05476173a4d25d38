"""The view: how stale what this process knows is, at every edge, and how sure that makes its routes.

Rules:

1. Pure: times and facts in, facts, ages and marks out. No socket, clock, thread or global. All times are in
   ms; `now` is the process's own clock, which never goes back.
2. Every fact has an origin, a version and the origin's time (`facts.py`); a process tells only facts of its
   own.
3. An offset between clocks is an interval that holds whatever the link's asymmetry (`clock.py`), and so is
   the age of a fact that a sibling told (`edges.py`). Where nothing bounds it, it has no bound; it is never
   guessed.
4. Marks are advice (`marks.py`): `sure` is given only while the evidence's age is surely within its bound,
   and no call is refused because of a mark.
5. What others tell is read strictly (`wire.py`); what is turned down is counted and named by a code. Memory
   is bounded by the server list and the members.
"""

from loadbalancer.staleness.clock_offsets import ClockOffsets, OffsetReading
from loadbalancer.staleness.confidence import ConfidenceTracker, ConnectivityState
from loadbalancer.staleness.edges import Edge, server_edge, sibling_edge
from loadbalancer.staleness.freshness import FreshnessTable

__all__ = [
    "ClockOffsets",
    "ConfidenceTracker",
    "ConnectivityState",
    "Edge",
    "FreshnessTable",
    "OffsetReading",
    "server_edge",
    "sibling_edge",
]
