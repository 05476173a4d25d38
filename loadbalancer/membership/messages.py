"""What the list service tells the process of a member: typed, checked where it is read from the wire.

A grant is the answer to an enrolment or a renewal. Its members are the member list of the process's group
(the nodes in front of one service): whole, or as the changes since a revision that the process has
acknowledged. The field names are those of the JSON body.
"""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import UNSET, Meta, Struct, UnsetType, field

Incarnation = Annotated[int, Meta(ge=1)]
Revision = Annotated[int, Meta(ge=0)]
ServiceTimeMs = Annotated[float, Meta(ge=0.0, le=1e15)]  # ms of service time
QuotaFraction = Annotated[float, Meta(ge=0.0, le=1.0)]


class Member(Struct, frozen=True):
    """A row of the member list."""

    name: str
    address: str  # host:port where the other members call it
    zone: str
    incarnation: int
    rank: int  # its first incarnation: the lowest one wins a tie
    state: str


class LeaseGrant(Struct, frozen=True, kw_only=True):
    """What a lease grants. `members` is absent where the process knows the revision already.

    With `since` the members are only those that were added or changed after that revision, and `removed`
    names the incarnations that went; without it the list is whole.
    """

    incarnation: Incarnation
    revision: Revision = field(name="rev")
    quota: QuotaFraction = field(name="share")
    elector: bool
    state: str = ""
    service: str = ""  # the group in which the row stands; "": members that name no service
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
