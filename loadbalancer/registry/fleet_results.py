"""Arguments and results of the fleet's commands and reads (fleet_state.py, fleet_catalog.py)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from msgspec import Struct

from loadbalancer.membership.member_record import MemberRecord
from loadbalancer.membership.messages import LeaseGrant


@dataclass(slots=True, frozen=True)
class TermStart:
    """The state of the log when a leader's term began."""

    log_ms: float  # the highest stamp in the log, in service time
    epoch: int  # the epoch of service time
    ttl_ms: float  # the lease term in force
    renewals: list[tuple[int, int]]  # each record's incarnation and the seq of its last renewal


@dataclass(slots=True, frozen=True)
class DueExpiry:
    """The arguments of `FleetState.expire`."""

    expired: list[tuple[int, int]]  # per expired lease: its incarnation and the seq of its last renewal
    attached: list[int]  # incarnations that are known to be attached
    repeated_enrolments: int  # `FleetState.repeated_enrolments` when the expiry was decided


class ExpiryResult(NamedTuple):
    """The incarnations changed by `FleetState.expire`."""

    expired: list[int]
    removed: list[int]


class Revisions(NamedTuple):
    """The revisions that a member's process watches."""

    members: int  # the revision of its group's member list
    routes: int  # the revision of the routes


class Renewal(NamedTuple):
    """A request to renew a lease."""

    incarnation: int
    seq: int
    answered_seq: int  # seq of the last renewal whose response the process has used
    acknowledged_revision: int  # the revision of the member list that it acts on
    quota_in_use: float


class AppliedRequest(NamedTuple):
    """An applied enrolment or renewal, with its member record, or None if there is no record.

    `acknowledged_revision` is the revision of the member list that the process has, -1 if it has none.
    """

    record: MemberRecord | None
    acknowledged_revision: int = -1
    takes_delta: bool = False


class MemberGrant(Struct, frozen=True):
    """The grant to a process: its lease and the route versions (`ActivationCoordinator.announcement`)."""

    lease: LeaseGrant
    routes: dict[str, Any]


class Rejected(Struct, frozen=True):
    """A command was not carried out and changed nothing."""

    reason: str


class MembersRemoved(Struct, frozen=True):
    """The incarnations that an operator has removed."""

    incarnations: list[int]


Outcome = MemberGrant | Rejected | MembersRemoved  # outcome of a command of commands.py


@dataclass(slots=True, frozen=True)
class AppliedRenewal:
    """An applied renewal or enrolment; the leader counts the lease from `at_ms`."""

    at_ms: float  # ms of the monotonic clock
    incarnation: int
    seq: int
    answered_seq: int
