"""Arguments and results of the fleet's commands and reads (fleet_state.py, fleet_catalog.py)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from msgspec import Struct

from loadbalancer.membership.member_record import MemberRecord
from loadbalancer.membership.messages import LeaseGrant


@dataclass(slots=True, frozen=True)
class TermStart:
    """What the log held when a leader's term began."""

    log_ms: float  # the highest stamp
    epoch: int  # of service time
    ttl_ms: float  # of the leases in force
    renewals: list[tuple[int, int]]  # each record's incarnation and the seq of its last renewal


@dataclass(slots=True, frozen=True)
class DueExpiry:
    """The arguments of `FleetState.expire`."""

    lapsed: list[tuple[int, int]]  # incarnation and seq of the last renewal of leases that have expired
    support: list[int]  # incarnations that are attached for certain
    repeated_enrolments: int  # the state's when this was decided


class Expired(NamedTuple):
    """What an expiry changed, as incarnations."""

    lapsed: list[int]
    removed: list[int]


class Revisions(NamedTuple):
    """What a member's process watches."""

    members: int  # of the member list of its group
    routes: int


class Renewal(NamedTuple):
    """A request to renew a lease."""

    incarnation: int
    seq: int
    answered_seq: int  # the last renewal whose answer the process has used
    acknowledged_revision: int  # the revision of the member list that it acts on
    quota_in_use: float


class AppliedRequest(NamedTuple):
    """An enrolment or renewal that was applied: its record, if there is one, and what its process knows."""

    row: MemberRecord | None
    acknowledged_revision: int = -1
    takes_delta: bool = False


class MemberGrant(Struct, frozen=True):
    """The answer to a process: its lease, and the route versions (`ActivationCoordinator.announcement`)."""

    lease: LeaseGrant
    routes: dict[str, Any]


class Rejected(Struct, frozen=True):
    """Why a command was not carried out; nothing has changed."""

    reason: str


class MembersRemoved(Struct, frozen=True):
    """The incarnations that an operator has ended."""

    incarnations: list[int]


Outcome = MemberGrant | Rejected | MembersRemoved  # of a command of commands.py


@dataclass(slots=True, frozen=True)
class AppliedRenewal:
    """A renewal or enrolment that was applied: the leader counts the lease from it."""

    at_ms: float  # ms of the monotonic clock
    incarnation: int
    seq: int
    answered_seq: int
