"""The verdict on a sibling, from its lease and its hearing, and a node's own stand. The table is data."""

from __future__ import annotations

from enum import Enum


class Lease(Enum):
    """What the list service last told of a sibling's lease; `UNKNOWN` where this node's own view is stale."""

    LIVE = "live"
    LAPSED = "lapsed"
    UNKNOWN = "unknown"


class Heard(Enum):
    """What asking a sibling has shown."""

    HEARD = "heard"
    SUSPECT = "suspect"  # accused, may still refute
    UNHEARD = "unheard"  # the accusation stood for its whole time
    BRIDGED = "bridged"  # others reach it, this node does not


class Verdict(Enum):
    PRESENT = "present"
    SUSPECT = "suspect"
    FAILED = "failed"
    PARTED = "parted"  # alive, but the link to it is at fault
    LEAVING = "leaving"


class Stand(Enum):
    ATTACHED = "attached"  # the list service answers
    ADRIFT = "adrift"  # it does not, siblings do
    ALONE = "alone"


VERDICTS: dict[tuple[Lease, Heard], Verdict] = {
    (Lease.LIVE, Heard.HEARD): Verdict.PRESENT,
    (Lease.LIVE, Heard.SUSPECT): Verdict.SUSPECT,
    (Lease.LIVE, Heard.UNHEARD): Verdict.FAILED,
    (Lease.LIVE, Heard.BRIDGED): Verdict.PARTED,
    (Lease.LAPSED, Heard.HEARD): Verdict.PRESENT,  # adrift, still serving
    (Lease.LAPSED, Heard.SUSPECT): Verdict.FAILED,
    (Lease.LAPSED, Heard.UNHEARD): Verdict.FAILED,
    (Lease.LAPSED, Heard.BRIDGED): Verdict.SUSPECT,
    (Lease.UNKNOWN, Heard.HEARD): Verdict.PRESENT,
    (Lease.UNKNOWN, Heard.SUSPECT): Verdict.SUSPECT,
    (Lease.UNKNOWN, Heard.UNHEARD): Verdict.FAILED,
    (Lease.UNKNOWN, Heard.BRIDGED): Verdict.SUSPECT,
}


def verdict(lease: Lease, heard: Heard, leaving: bool = False) -> Verdict:
    """The verdict on a sibling; a row that is `leaving` stays so for as long as it is not unheard."""
    if leaving and heard is not Heard.UNHEARD:
        return Verdict.LEAVING
    return VERDICTS[lease, heard]


def stand(now: float, ttl_ms: float, renewed: float | None, heard: float | None, heard_ms: float) -> Stand:
    """This node's own stand.

    `renewed` is when the last renewal that was answered was sent, `heard` when any sibling last answered (ms
    on the clock of `now`; None: never). Past half a term without a renewal the view of leases is stale.
    """
    if renewed is not None and now - renewed < ttl_ms / 2:
        return Stand.ATTACHED
    if heard is not None and now - heard < heard_ms:
        return Stand.ADRIFT
    return Stand.ALONE
