"""Messages between `MemberLease` and its driver: calls, quotas, and reports of siblings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from loadbalancer.membership.payload import QuotaStatus


@dataclass(slots=True, frozen=True)
class RegistryCall:
    """A call to the list service; the driver reports its outcome to `MemberLease` with the same number."""

    number: int
    path: str  # under /fleet/
    body: dict[str, Any]  # JSON
    timeout_ms: float


@dataclass(slots=True, frozen=True)
class QuotaLease:
    """The fraction of the group's load that the node may use: `quota` before `until_ms`, 0 from then on."""

    quota: float  # fraction, 0 to 1
    members: int  # number of members of the group, including this node
    until_ms: float  # on the node's own clock


@dataclass(slots=True, frozen=True)
class SiblingReport:
    """The latest quota report of a sibling."""

    status: QuotaStatus
    made_at_ms: float  # lower bound of the time of the report, on this node's clock
