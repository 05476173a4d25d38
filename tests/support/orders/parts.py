"""Parts of the models: bounds, nodes, the list service, and functions that copy them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from loadbalancer.membership.lease_calls import RegistryCall, SiblingReport
from loadbalancer.membership.lease_clock import LeaseClock
from loadbalancer.membership.member_lease import MemberLease
from loadbalancer.membership.member_record import MemberRecord, MemberState
from loadbalancer.membership.messages import LeaseGrant
from loadbalancer.membership.quota_ledger import QuotaLedger
from loadbalancer.registry.fleet_state import NO_SERVICE, FleetState

TTL = 1000.0
MAX_QUOTA_SUM = 1.0 + 1e-6
NEVER = -math.inf


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of a model: the number of nodes and what may happen.

    `skews` are the offsets of the nodes' own clocks in ms, `max_calls_in_flight` applies to each node,
    `kinds` are the possible faults, and `faulty` the nodes that they can affect, or None for all.

    `services` lists for each node the services that its processes balance to, one per start; the last one
    applies to all further starts, and "" stands for no service. If empty, no node has a service, and the
    commands are those of the first release, which had no groups.
    """

    skews: tuple[float, ...] = (0.0, 0.0, 0.0)
    step: float = TTL / 4
    max_calls_in_flight: int = 2
    kinds: frozenset[str] = frozenset(("send", "repeat", "plan", "crash", "lead", "late"))
    siblings: bool = True  # whether siblings exchange reports
    all_reports: bool = False  # also reports that a correct `MemberLease` ignores
    services: tuple[tuple[str, ...], ...] = ()
    faulty: frozenset[str] | None = None

    def service(self, node_index: int, start: int) -> str:
        """Return the service of a node's process; `start` is the number of the process's start, from 1."""
        if not self.services:
            return NO_SERVICE
        services = self.services[node_index]
        return services[min(start, len(services)) - 1]


class SentCall(NamedTuple):
    call: RegistryCall
    at_ms: float  # on the reference clock
    service: str  # of the calling process


class DelayedReport(NamedTuple):
    """A `HOLDING` report that siblings may receive later."""

    incarnation: int
    at_ms: float  # on the reference clock
    service: str


class MinimumRandom(Random):
    """Returns the lower bound, to make jitter deterministic."""

    def uniform(self, a: float, b: float) -> float:
        return a


RNG = MinimumRandom(0)


@dataclass(slots=True)
class Node:
    """A node: its current process, if any, and the messages in flight of this and earlier processes."""

    name: str
    skew: float
    lease: MemberLease | None = None
    starts: int = 0
    reports: dict[int, SiblingReport] = field(default_factory=dict)  # latest of siblings, by incarnation
    calls: tuple[SentCall, ...] = ()
    # (call number, grant), with None for the grant if the service has no such member.
    responses: tuple[tuple[int, LeaseGrant | None], ...] = ()
    delayed_reports: tuple[DelayedReport, ...] = ()
    service: str = NO_SERVICE  # of the current process
    largest_grant: tuple[int, LeaseGrant] | None = None  # (call number, used grant with the largest quota)
    cached_key: tuple[float, Any, Any] = (NEVER, None, None)  # (time, revisions, this node's part of the key)

    def copy(self) -> Node:
        lease = None if self.lease is None else copy_lease(self.lease)
        return Node(
            self.name, self.skew, lease, self.starts, self.reports, self.calls, self.responses,
            self.delayed_reports, self.service, self.largest_grant,
        )  # fmt: skip


class Service(NamedTuple):
    """The state that a command changes; copied before each command."""

    state: FleetState
    clock: LeaseClock


def copy_lease(lease: MemberLease) -> MemberLease:
    """Return a shallow copy, which is enough because all field values are immutable."""
    new: MemberLease = object.__new__(type(lease))
    new.__dict__.update(lease.__dict__)
    return new


def copy_state(state: FleetState) -> FleetState:
    return FleetState(
        copy_ledger(state.ledger), state.routes.copy(), state.log_ms, state.term, state.leader_address,
        state.epoch, state.ttl_ms, state.clock_bound_ms, state.repeated_enrolments,
        {service: copy_ledger(ledger) for service, ledger in state.services.items()},
        dict(state._service_of),
    )  # fmt: skip


def copy_ledger(ledger: QuotaLedger) -> QuotaLedger:
    new: QuotaLedger = object.__new__(type(ledger))
    new.__dict__.update(ledger.__dict__)
    new._changes = ledger._changes.copy()
    new.records_by_incarnation = {
        number: MemberRecord(
            record.name, record.address, record.zone, record.start_id, record.incarnation, record.rank,
            record.enrolled_revision, record.quota, record.acknowledged_revision, record.elector,
            record.state, record.renewal_seq,
        )
        for number, record in ledger.records_by_incarnation.items()
    }  # fmt: skip
    return new


def awaits_response(node: Node, number: int) -> bool:
    """Return whether the node's call in flight has this number."""
    return (
        node.lease is not None
        and node.lease._in_flight is not None
        and node.lease._in_flight[0].number == number
    )


def if_positive(remaining: float) -> float | None:
    """Return the remaining time, or None if it is over."""
    return remaining if remaining > 0.0 else None


def members_key(members: Any) -> tuple[tuple[int, int, bool], ...]:
    return tuple([(member.incarnation, member.rank, member.state == MemberState.LEFT) for member in members])
