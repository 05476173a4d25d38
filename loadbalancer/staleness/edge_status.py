"""Status of an edge for operators: the entries of `edges` in GET /status/routes."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Hashable, Sequence
from enum import StrEnum
from typing import Final, Literal

import msgspec

from loadbalancer.endpoints import Confidence
from loadbalancer.staleness.edges import Edge

LEVELS: Final = (Confidence.HIGH, Confidence.MEDIUM, Confidence.LOW, Confidence.NONE)  # best first
# Maximum age of a sibling's report for HIGH, MEDIUM and LOW, in rounds of probes. Since each round is
# shuffled, up to two rounds can pass between two probes of a sibling.
SIBLING_MAX_AGE_ROUNDS: Final = (2.0, 4.0, 8.0)


class EdgeReason(StrEnum):
    """Why an edge's level is no better, or what the level is based on; operators see the values."""

    NO_EVIDENCE = "unheard"
    CLOCK_UNKNOWN = "unsampled"  # a sibling has reported, but its clock offset is not known yet
    REPORTED = "told"  # the level is based on a sibling's report
    DIRECT = "heard"  # the level is based on this node's own observation
    AGED = "aged"
    SETTLING = "settling"  # the evidence supports a better level, but has not done so for long enough
    FAILURES = "missing"  # several attempts of this node in a row have failed
    SIBLING_FAILURE = "missing-for-sibling"
    LIST_OLD = "list-old"  # the endpoint list has not been confirmed recently
    LIST_BEHIND = "behind"  # a sibling holds a newer endpoint list
    DETACHED = "adrift"
    ISOLATED = "alone"


class EdgeStatus(
    msgspec.Struct,
    frozen=True,
    rename={"target": "to", "confidence": "mark", "revisions_behind": "behind", "reporter": "via"},
):
    """Status of one edge; fields are in the order of the JSON keys, ages in ms or None if unbounded."""

    kind: Literal["server", "sibling"]
    target: Hashable  # a server's name or a sibling's incarnation
    confidence: Confidence
    least_ms: float | None
    most_ms: float | None
    revisions_behind: int
    reporter: Hashable | None  # sibling whose report is fresher than this node's own observation
    reason: EdgeReason


def server_status(server: str, confidence: Confidence, edge: Edge, reason: EdgeReason) -> EdgeStatus:
    """Return the status of the edge to a server."""
    return _status("server", server, confidence, edge, reason)


def sibling_status(incarnation: Hashable, edge: Edge, round_ms: float) -> EdgeStatus:
    """Return the status of the edge to a sibling; its level follows from the age of its last report."""
    min_age, max_age = edge.age
    level_limits_ms: Sequence[float] = [rounds * round_ms for rounds in SIBLING_MAX_AGE_ROUNDS]
    confidence = LEVELS[bisect_left(level_limits_ms, max_age)]
    reason = EdgeReason.REPORTED
    if min_age == math.inf:
        reason = EdgeReason.NO_EVIDENCE
    elif max_age == math.inf:
        reason = EdgeReason.CLOCK_UNKNOWN
    return _status("sibling", incarnation, confidence, edge, reason)


def _status(
    kind: Literal["server", "sibling"],
    target: Hashable,
    confidence: Confidence,
    edge: Edge,
    reason: EdgeReason,
) -> EdgeStatus:
    min_age, max_age = (age if age < math.inf else None for age in edge.age)
    report_is_fresher = edge.reported_age[1] < edge.direct_age[1]
    return EdgeStatus(
        kind=kind,
        target=target,
        confidence=confidence,
        least_ms=min_age,
        most_ms=max_age,
        revisions_behind=edge.revisions_behind,
        reporter=edge.reporter if report_is_fresher else None,
        reason=reason,
    )
