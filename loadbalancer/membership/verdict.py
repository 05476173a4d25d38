"""Verdict on a member from its lease and reachability, and the local node's own connectivity.

The enum values are shown to operators (docs/oncall.md).
"""

from __future__ import annotations

from enum import Enum


class LeaseStatus(Enum):
    """Last known state of a member's lease; `UNKNOWN` if this node's information is stale."""

    LIVE = "live"
    EXPIRED = "lapsed"
    UNKNOWN = "unknown"


class Reachability(Enum):
    """Result of probing a member."""

    ALIVE = "heard"
    SUSPECT = "suspect"  # may still refute the suspicion
    UNREACHABLE = "unheard"  # it did not refute the suspicion in time
    INDIRECT = "bridged"  # indirect probes are acked, direct ones fail


class Verdict(Enum):
    """Conclusion of a node about another member, from its lease and reachability."""

    PRESENT = "present"
    SUSPECT = "suspect"
    FAILED = "failed"
    LINK_FAULT = "parted"  # alive, but the link to it has failed
    LEAVING = "leaving"


class Connectivity(Enum):
    """Which other processes a node reaches."""

    ATTACHED = "attached"  # reaches the list service
    DETACHED = "adrift"  # reaches other members, but not the list service
    ISOLATED = "alone"  # reaches neither


VERDICTS: dict[tuple[LeaseStatus, Reachability], Verdict] = {
    (LeaseStatus.LIVE, Reachability.ALIVE): Verdict.PRESENT,
    (LeaseStatus.LIVE, Reachability.SUSPECT): Verdict.SUSPECT,
    (LeaseStatus.LIVE, Reachability.UNREACHABLE): Verdict.FAILED,
    (LeaseStatus.LIVE, Reachability.INDIRECT): Verdict.LINK_FAULT,
    (LeaseStatus.EXPIRED, Reachability.ALIVE): Verdict.PRESENT,  # detached but still serving
    (LeaseStatus.EXPIRED, Reachability.SUSPECT): Verdict.FAILED,
    (LeaseStatus.EXPIRED, Reachability.UNREACHABLE): Verdict.FAILED,
    (LeaseStatus.EXPIRED, Reachability.INDIRECT): Verdict.SUSPECT,
    (LeaseStatus.UNKNOWN, Reachability.ALIVE): Verdict.PRESENT,
    (LeaseStatus.UNKNOWN, Reachability.SUSPECT): Verdict.SUSPECT,
    (LeaseStatus.UNKNOWN, Reachability.UNREACHABLE): Verdict.FAILED,
    (LeaseStatus.UNKNOWN, Reachability.INDIRECT): Verdict.SUSPECT,
}


def verdict(lease: LeaseStatus, reachability: Reachability, leaving: bool = False) -> Verdict:
    """Return the verdict on a member; a leaving one stays `LEAVING` until it is unreachable."""
    if leaving and reachability is not Reachability.UNREACHABLE:
        return Verdict.LEAVING
    return VERDICTS[lease, reachability]


def connectivity(
    now: float, ttl_ms: float, renewed_ms: float | None, acked_ms: float | None, ack_valid_ms: float
) -> Connectivity:
    """Return the local node's connectivity.

    `renewed_ms` is when the last successful renewal was sent, `acked_ms` when any member last acked a call of
    this node; both by the clock of `now`, or None if never. Half a lease term after the last renewal, the
    node's information on leases is stale.
    """
    if renewed_ms is not None and now - renewed_ms < ttl_ms / 2:
        return Connectivity.ATTACHED
    if acked_ms is not None and now - acked_ms < ack_valid_ms:
        return Connectivity.DETACHED
    return Connectivity.ISOLATED
