"""The list service's answers to a member's process: typed, and checked where they are read from the wire.

A grant is the answer to an enrolment or a renewal. Its members are the member list of the process's group
(the nodes in front of one service): complete, or as the changes since a revision that the process has
acknowledged. Where a field differs from its key in the JSON body, `field(name=)` gives the key.
"""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import UNSET, Meta, Struct, UnsetType, field

Incarnation = Annotated[int, Meta(ge=1)]
Revision = Annotated[int, Meta(ge=0)]
ServiceTimeMs = Annotated[float, Meta(ge=0.0, le=1e15)]  # ms of service time
QuotaFraction = Annotated[float, Meta(ge=0.0, le=1.0)]


class Member(Struct, frozen=True):
    """An entry of the member list."""

    name: str
    address: str  # host:port where the other members call it
    zone: str
    incarnation: int
    rank: int  # its first incarnation: the lowest one wins a tie
    state: str


class LeaseGrant(Struct, frozen=True, kw_only=True):
    """What a lease grants. `members` is absent where the process knows the revision already.

    With `since_revision` the members are only those that were added or changed after it, and `removed` has
    the incarnations that were removed; without it the list is complete.
    """

    incarnation: Incarnation
    revision: Revision = field(name="rev")
    quota: QuotaFraction = field(name="share")
    elector: bool
    state: str = ""
    service: str = ""  # the group of the member; "" for members that name no service
    target_quota: Annotated[float, Meta(gt=0.0, le=1.0)] | UnsetType = field(default=UNSET, name="aim")
    members: tuple[Member, ...] | UnsetType = UNSET
    since_revision: Revision | UnsetType = field(default=UNSET, name="since")
    removed: tuple[int, ...] = ()


class LeaseAnswer(LeaseGrant, frozen=True, kw_only=True):
    """The body of the answer to an enrolment or a renewal."""

    ttl_ms: Annotated[float, Meta(ge=100.0, le=600_000.0)]
    routes: dict[str, Any]  # read by routing/participant.py
    received_ms: ServiceTimeMs = field(name="t2")  # when the service received the call
    answered_ms: ServiceTimeMs = field(name="t3")  # when it sent this answer
    term: int = 0  # of the leader whose clock t2 and t3 are by
    call: int | UnsetType = UNSET  # the number that the call stated; earlier releases leave it out
