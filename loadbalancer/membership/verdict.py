"""The verdict on a member, from its lease and its reachability, and a node's own connectivity.

The values of the enums are what operators read (docs/oncall.md).
"""

from __future__ import annotations

from enum import Enum


class LeaseStatus(Enum):
    """What the list service last stated of a member's lease; `UNKNOWN` where that is stale."""

    LIVE = "live"
    EXPIRED = "lapsed"
    UNKNOWN = "unknown"


class Reachability(Enum):
    """What probing a member has shown."""

    ALIVE = "heard"
    SUSPECT = "suspect"  # may still refute
    UNREACHABLE = "unheard"  # the suspicion was not refuted in time
    INDIRECT = "bridged"  # indirect probes are acked, direct ones fail


class Verdict(Enum):
    """What a node makes of another member."""

    PRESENT = "present"
    SUSPECT = "suspect"
    FAILED = "failed"
    LINK_FAULT = "parted"  # alive, but the link to it is at fault
    LEAVING = "leaving"


class Connectivity(Enum):
    """What a node reaches."""

    ATTACHED = "attached"  # the list service answers
    DETACHED = "adrift"  # it does not, other members do
    ISOLATED = "alone"


VERDICTS: dict[tuple[LeaseStatus, Reachability], Verdict] = {
    (LeaseStatus.LIVE, Reachability.ALIVE): Verdict.PRESENT,
    (LeaseStatus.LIVE, Reachability.SUSPECT): Verdict.SUSPECT,
    (LeaseStatus.LIVE, Reachability.UNREACHABLE): Verdict.FAILED,
    (LeaseStatus.LIVE, Reachability.INDIRECT): Verdict.LINK_FAULT,
    (LeaseStatus.EXPIRED, Reachability.ALIVE): Verdict.PRESENT,  # detached, still serving
    (LeaseStatus.EXPIRED, Reachability.SUSPECT): Verdict.FAILED,
    (LeaseStatus.EXPIRED, Reachability.UNREACHABLE): Verdict.FAILED,
    (LeaseStatus.EXPIRED, Reachability.INDIRECT): Verdict.SUSPECT,
    (LeaseStatus.UNKNOWN, Reachability.ALIVE): Verdict.PRESENT,
    (LeaseStatus.UNKNOWN, Reachability.SUSPECT): Verdict.SUSPECT,
    (LeaseStatus.UNKNOWN, Reachability.UNREACHABLE): Verdict.FAILED,
    (LeaseStatus.UNKNOWN, Reachability.INDIRECT): Verdict.SUSPECT,
}


def verdict(lease: LeaseStatus, reachability: Reachability, leaving: bool = False) -> Verdict:
    """The verdict on a member; one that is leaving stays `LEAVING` until it is unreachable."""
    if leaving and reachability is not Reachability.UNREACHABLE:
        return Verdict.LEAVING
    return VERDICTS[lease, reachability]


def connectivity(
    now: float, ttl_ms: float, renewed: float | None, last_ack: float | None, ack_valid_ms: float
) -> Connectivity:
    """This node's own connectivity.

    `renewed` is when the last renewal that was answered was sent, `last_ack` when any member last acked a
    probe (ms on the clock of `now`; None: never). After half a term without a renewal, what the node knows of
    leases is stale.
    """
    if renewed is not None and now - renewed < ttl_ms / 2:
        return Connectivity.ATTACHED
    if last_ack is not None and now - last_ack < ack_valid_ms:
        return Connectivity.DETACHED
    return Connectivity.ISOLATED
