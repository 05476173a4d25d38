"""What goes into a node's lease and comes out of it: calls, the quota, and reports of siblings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from loadbalancer.membership.payload import QuotaStatus


@dataclass(slots=True, frozen=True)
class RegistryCall:
    """A call to the list service; `on_grant`, `on_failure` or the like follows with the same number."""

    number: int
    path: str  # under /fleet/
    body: dict[str, Any]  # JSON
    timeout_ms: float


@dataclass(slots=True, frozen=True)
class QuotaLease:
    """What the node may use of the load that siblings share: `quota` before `until_ms`, 0 from then on."""

    quota: float  # a fraction, 0 to 1
    members: int  # of the group, this node included
    until_ms: float  # on the node's own clock


@dataclass(slots=True, frozen=True)
class SiblingReport:
    """A sibling's last report of its own quota."""

    status: QuotaStatus
    made_at_ms: float  # the earliest time that it may have been made, on this node's clock
