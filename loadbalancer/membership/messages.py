"""Responses of the list service to a member's process, with types and ranges that are checked on decoding.

A grant is the result of an enrolment or a renewal. It contains the member list of the process's group (the
nodes in front of one service), either complete or as the changes since a revision that the process has
acknowledged. `field(name=)` gives the key in the JSON body where it differs from the field's name.
"""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import UNSET, Meta, Struct, UnsetType, field

Incarnation = Annotated[int, Meta(ge=1)]
Revision = Annotated[int, Meta(ge=0)]
ServiceTimeMs = Annotated[float, Meta(ge=0.0, le=1e15)]  # service time
QuotaFraction = Annotated[float, Meta(ge=0.0, le=1.0)]


class Member(Struct, frozen=True):
    """An entry of the member list."""

    name: str
    address: str  # host:port for calls of the other members
    zone: str
    incarnation: int
    rank: int  # its first incarnation; the lowest rank wins a tie
    state: str


class LeaseGrant(Struct, frozen=True, kw_only=True):
    """Result of an enrolment or a renewal. `members` is absent if the process already has the revision.

    With `since_revision`, `members` are those added or changed after that revision and `removed` are the
    removed incarnations; without it, the list is complete.
    """

    incarnation: Incarnation
    revision: Revision = field(name="rev")
    quota: QuotaFraction = field(name="share")
    elector: bool
    state: str = ""
    service: str = ""  # the member's group; "" for members without a service
    target_quota: Annotated[float, Meta(gt=0.0, le=1.0)] | UnsetType = field(default=UNSET, name="aim")
    members: tuple[Member, ...] | UnsetType = UNSET
    since_revision: Revision | UnsetType = field(default=UNSET, name="since")
    removed: tuple[int, ...] = ()


class LeaseResponse(LeaseGrant, frozen=True, kw_only=True):
    """Body of the response to an enrolment or a renewal."""

    ttl_ms: Annotated[float, Meta(ge=100.0, le=600_000.0)]
    routes: dict[str, Any]  # decoded by routing/participant.py
    received_ms: ServiceTimeMs = field(name="t2")  # when the service received the call
    responded_ms: ServiceTimeMs = field(name="t3")  # when the service sent this response
    term: int = 0  # Raft term of the leader whose clock gave t2 and t3
    call: int | UnsetType = UNSET  # the number in the call; absent in earlier releases
