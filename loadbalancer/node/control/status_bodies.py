"""The JSON bodies of GET /status/members and GET /status/routes, for operators.

`rename` maps attribute names to the JSON keys, which are fixed because operators' tools read them.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import orjson

from loadbalancer.membership import Connectivity, Reachability, Verdict
from loadbalancer.staleness import EdgeStatus
from loadbalancer.staleness.clock_offsets import Interval


class SiblingStatus(msgspec.Struct, frozen=True, rename={"reachability": "hearing"}):
    """The status of another member of the group; the field order is that of the JSON keys."""

    name: str
    incarnation: int
    address: str
    state: str  # state of its lease, as last received from the list service
    reachability: Reachability
    verdict: Verdict


class MembersStatus(
    msgspec.Struct, frozen=True, rename={"connectivity": "stand", "quota": "share", "member_count": "rows"}
):
    """The body of GET /status/members; the field order is that of the JSON keys; times in ms."""

    name: str
    service: str
    incarnation: int | None  # None if not enrolled
    connectivity: Connectivity
    standing: str  # the quota status that this node reports to siblings, in lower case
    quota: float  # this node's part of the group's limits, 0 to 1
    member_count: int
    elector: bool
    lease_ms: float  # until the lease expires
    now_ms: float
    service_ms: Interval | None  # service time; None until the first response of the list service
    routes: Mapping[str, object]
    health: int  # the failure detector's local health multiplier
    ignored: Mapping[str, int]  # number of ignored messages and updates, by reason
    siblings: list[SiblingStatus]


class RoutesStatus(msgspec.Struct, frozen=True, rename={"connectivity": "stand"}):
    """The body of GET /status/routes; the field order is that of the JSON keys."""

    connectivity: Connectivity
    edges: list[EdgeStatus]


def encode(status: MembersStatus | RoutesStatus) -> bytes:
    """Encode the status as JSON; the keys of its mappings may be numbers."""
    return orjson.dumps(msgspec.to_builtins(status), option=orjson.OPT_NON_STR_KEYS)
