"""What operators see of the control plane: the bodies of GET /status/members and GET /status/routes.

Attributes have the standard terms; `rename` maps them to the keys that operators read.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import orjson

from loadbalancer.membership import Connectivity, Reachability, Verdict
from loadbalancer.staleness import EdgeStatus
from loadbalancer.staleness.clock_offsets import Interval


class SiblingStatus(msgspec.Struct, frozen=True, rename={"reachability": "hearing"}):
    """One other member of the group, in the order of its keys."""

    name: str
    incarnation: int
    address: str
    state: str  # of its lease, as the list service last stated
    reachability: Reachability
    verdict: Verdict


class MembersStatus(
    msgspec.Struct, frozen=True, rename={"connectivity": "stand", "quota": "share", "member_count": "rows"}
):
    """The body of GET /status/members, in the order of its keys; times in ms."""

    name: str
    service: str
    incarnation: int | None  # None: not enrolled
    connectivity: Connectivity
    standing: str  # what this node states of its quota to siblings
    quota: float  # of what the group may take, 0 to 1
    member_count: int
    elector: bool
    lease_ms: float  # until the lease expires
    now_ms: float
    service_ms: Interval | None  # service time; None until the list service has answered
    routes: Mapping[str, object]
    health: int  # the failure detector's local health multiplier
    ignored: Mapping[str, int]  # malformed or outdated gossip by reason
    siblings: list[SiblingStatus]


class RoutesStatus(msgspec.Struct, frozen=True, rename={"connectivity": "stand"}):
    """The body of GET /status/routes, in the order of its keys."""

    connectivity: Connectivity
    edges: list[EdgeStatus]


def encode(status: MembersStatus | RoutesStatus) -> bytes:
    """The status as JSON; the keys of its maps may be numbers."""
    return orjson.dumps(msgspec.to_builtins(status), option=orjson.OPT_NON_STR_KEYS)
