"""What operators see of an edge: the rows of `edges` in GET /status/routes."""

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
# The maximum ages of a sibling's report for each level but the last, in rounds of probes. A shuffled round
# may leave a sibling out for up to two rounds.
SIBLING_MAX_AGE_ROUNDS: Final = (2.0, 4.0, 8.0)


class EdgeReason(StrEnum):
    """Why an edge's level is no better, or what it is based on; the values are what operators read."""

    NO_EVIDENCE = "unheard"
    CLOCK_UNKNOWN = "unsampled"  # reported, but the sibling's clock offset is not known yet
    REPORTED = "told"  # based on a sibling's report
    DIRECT = "heard"  # based on this node's own observation
    AGED = "aged"
    SETTLING = "settling"  # the evidence supports a better level, which is raised after a time
    FAILURES = "missing"  # attempts in a row have failed
    SIBLING_FAILURE = "missing-for-sibling"
    LIST_OLD = "list-old"  # the endpoint list has not been confirmed lately
    LIST_BEHIND = "behind"  # a sibling holds a newer endpoint list
    DETACHED = "adrift"
    ISOLATED = "alone"


class EdgeStatus(
    msgspec.Struct,
    frozen=True,
    rename={"target": "to", "confidence": "mark", "revisions_behind": "behind", "reporter": "via"},
):
    """One row, in the order of its keys; ages in ms, None where nothing bounds them."""

    kind: Literal["server", "sibling"]
    target: Hashable  # a server's name or a sibling's incarnation
    confidence: Confidence
    least_ms: float | None
    most_ms: float | None
    revisions_behind: int
    reporter: Hashable | None  # the sibling whose report is fresher than this node's own observation
    reason: EdgeReason


def server_status(server: str, confidence: Confidence, edge: Edge, reason: EdgeReason) -> EdgeStatus:
    """The row of a server."""
    return _status("server", server, confidence, edge, reason)


def sibling_status(incarnation: Hashable, edge: Edge, round_ms: float) -> EdgeStatus:
    """The row of a sibling, whose level follows from the age of its last report in rounds of probes."""
    least, most = edge.age
    max_ages_ms: Sequence[float] = [rounds * round_ms for rounds in SIBLING_MAX_AGE_ROUNDS]
    confidence = LEVELS[bisect_left(max_ages_ms, most)]
    reason = EdgeReason.REPORTED
    if least == math.inf:
        reason = EdgeReason.NO_EVIDENCE
    elif most == math.inf:
        reason = EdgeReason.CLOCK_UNKNOWN
    return _status("sibling", incarnation, confidence, edge, reason)


def _status(
    kind: Literal["server", "sibling"],
    target: Hashable,
    confidence: Confidence,
    edge: Edge,
    reason: EdgeReason,
) -> EdgeStatus:
    least, most = (age if age < math.inf else None for age in edge.age)
    reported = edge.reported_age[1] < edge.direct_age[1]
    return EdgeStatus(
        kind=kind,
        target=target,
        confidence=confidence,
        least_ms=least,
        most_ms=most,
        revisions_behind=edge.revisions_behind,
        reporter=edge.reporter if reported else None,
        reason=reason,
    )
