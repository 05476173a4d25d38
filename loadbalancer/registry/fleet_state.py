"""The fleet's replicated state: the members by group, the route versions, the log's time, the leader.

Deterministic and without clocks: the same commands in the same order give the same state on every instance. A
command is applied as `accept`, one change, `settle`, and then the reads for its response. The rules:

- Each command carries the leader's service time at its proposal (`stamp_ms`) and the Raft term. `start_term`
  is the first command of a term and makes the state reject commands of earlier terms. So a command of a
  replaced leader that reaches the log late grants and ends no lease.
- The lease term and the clock bound in force are the longest that any leader so far was configured with,
  since members may still rely on them.
- A leader that does not know how service time continues begins a new epoch of it (service_clock.py).
- A group is the members in front of one service, with a separate ledger: its records, electors, majority and
  quotas are independent of other groups'. A member that names no service may balance to any service, so its
  quota counts in the sum of every group. Members without a service may only be granted the quota that is
  still free in the fullest of the other groups.
- Incarnations are unique over all groups and only rise. If a process enrols under another service than the
  earlier process at the same address, one of the two has left or ended, as only one at a time listens at an
  address. The state can't decide at once which one, since the new enrolment may have been delayed. The first
  renewal of the new record decides it: its process has used a response that was made after the earlier
  record, so it started after the earlier process. The earlier record is then marked as departed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, fields
from typing import Any

from msgspec.structs import replace

from loadbalancer.membership.member_record import MemberRecord, MemberState
from loadbalancer.membership.messages import LeaseGrant
from loadbalancer.membership.quota_ledger import ExternalQuota, QuotaLedger
from loadbalancer.registry.errors import MemberLimitError, ServiceInUseError
from loadbalancer.registry.fleet_results import (
    DueExpiry,
    ExpiryResult,
    Revisions,
    TermStart,
)
from loadbalancer.routing.coordinator import ActivationCoordinator
from loadbalancer.routing.version_record import ActivationOutcome

# Limits, so that enrolments can't grow the state without bound.
MAX_UNGROUPED_MEMBERS = 1_000  # members that name no service
MAX_GROUP_MEMBERS = 500  # members of one service
MAX_MEMBERS = 4_000  # members of all groups together

NO_SERVICE = ""  # the group of members that name no service


@dataclass(slots=True)
class FleetState:
    """The state and its changes.

    `ledger` is that of the group without a service and numbers the incarnations of all groups. Fields are
    stored in snapshots (stored_form.py).
    """

    ledger: QuotaLedger = field(default_factory=QuotaLedger)
    routes: ActivationCoordinator = field(default_factory=ActivationCoordinator)
    log_ms: float = 0.0  # the highest stamp in the log
    term: int = -1  # the current leader's Raft term
    leader_address: str = ""  # the current leader's host:port for HTTP
    epoch: int = 0  # the epoch of service time
    ttl_ms: float = 0.0  # the lease term: the longest of any leader
    clock_bound_ms: float = 0.0  # the clock bound: the longest of any leader
    repeated_enrolments: int = 0  # enrolments of a process that already had a record
    services: dict[str, QuotaLedger] = field(default_factory=dict)
    _service_of: dict[int, str] = field(default_factory=dict, compare=False, repr=False)

    def __getstate__(self) -> tuple[None, dict[str, Any]]:
        """Return the stored fields.

        `services` is omitted while it is empty, as instances of releases without groups require.
        """
        stored = {item.name: getattr(self, item.name) for item in fields(self) if item.name != "_service_of"}
        if not self.services:
            del stored["services"]
        return None, stored

    def __setstate__(self, state: tuple[None, dict[str, Any]]) -> None:
        for name, value in ({"services": {}} | state[1]).items():
            setattr(self, name, value)
        self._service_of = {
            incarnation: service
            for service, ledger in self.services.items()
            for incarnation in ledger.records_by_incarnation
        }

    def start_term(
        self, term: int, leader_address: str, epoch: int | None, ttl_ms: float, clock_bound_ms: float
    ) -> TermStart | None:
        """Begin a leader's term; return None if a later term has begun.

        `epoch` is that of the leader's bound on service time, None if it has no bound.
        """
        if term < self.term:
            return None
        if epoch != self.epoch and term > self.term:
            self.epoch += 1
        self.term, self.leader_address = term, leader_address
        self.ttl_ms, self.clock_bound_ms = max(self.ttl_ms, ttl_ms), max(self.clock_bound_ms, clock_bound_ms)
        renewals = [(record.incarnation, record.renewal_seq) for record in self.records()]
        return TermStart(self.log_ms, self.epoch, self.ttl_ms, renewals)

    def accept(self, stamp_ms: float, term: int) -> bool:
        """Return whether a command is of the current term; if so, advance the log's time to its stamp."""
        if term != self.term:
            return False
        self.log_ms = max(self.log_ms, stamp_ms)
        return True

    def settle(self) -> None:
        """Decide, abort or activate the route version that is due; runs after each command's change."""
        self.routes.apply_due(self.log_ms, self.ttl_ms, self.clock_bound_ms)

    # Changes.

    def enrol(self, name: str, address: str, zone: str, start: str) -> MemberRecord | None:
        """Enrol a process that names no service; return its record, or None if there are too many."""
        ledger = self.ledger
        if len(ledger.records_by_incarnation) >= MAX_UNGROUPED_MEMBERS and not ledger.has_process(start):
            return None
        return self._enrol(NO_SERVICE, ledger, name, address, zone, start)

    def enrol_in(self, service: str, name: str, address: str, zone: str, start: str) -> MemberRecord:
        """Enrol a process in the group of this service; raise MemberLimitError if there are too many."""
        ledger = self._ledger_of(service)
        if not ledger.reuses_record(address, start):
            self._check_limits(service, ledger)
        if service != NO_SERVICE:
            self.services[service] = ledger
        return self._enrol(service, ledger, name, address, zone, start)

    def renew(
        self, incarnation: int, seq: int, acknowledged_revision: int, quota_in_use: float
    ) -> MemberRecord | None:
        """Renew a lease; return None if the process has no record and has to enrol again.

        `acknowledged_revision` is the revision of the member list that the process acts on, `quota_in_use`
        the highest quota that it may be using.
        """
        renewed = self._ledger_of(self.service_of(incarnation)).records_by_incarnation.get(incarnation)
        for ended in superseded_by(renewed, self.records()):
            self.leave(ended)
        ledger = self._prepared(self.service_of(incarnation))
        record = ledger.renew(incarnation, seq, acknowledged_revision, quota_in_use)
        if record is not None:
            self.routes.on_attached(incarnation)
        return record

    def start_draining(self, incarnation: int) -> bool:
        """Mark the process as draining; return False if it has no record."""
        return self._prepared(self.service_of(incarnation)).begin_draining(incarnation)

    def leave(self, incarnation: int) -> bool:
        """Record that the process has ended; return False if it has no record."""
        departed = self._prepared(self.service_of(incarnation)).leave(incarnation)
        if departed:
            self.routes.on_removed(incarnation)
        return departed

    def remove(self, name: str, service: str | None = None) -> list[int]:
        """Remove the processes of this name, which an operator reports as ended; return their incarnations.

        If `service` is None, they are removed from every group, else only from the group of this service.
        """
        ended = []
        for group in [NO_SERVICE, *self.services] if service is None else [service]:
            ended += self._prepared(group).remove(name)
        for incarnation in ended:
            self.routes.on_removed(incarnation)
        return ended

    def end_service(self, service: str) -> list[int]:
        """Remove the group of a service that has ended, and return its incarnations.

        Raise ServiceInUseError while one of its members has a live lease.
        """
        ledger = self.services.get(service)
        if ledger is None:
            return []
        live = [
            record.name
            for record in ledger.records()
            if record.state in (MemberState.LIVE, MemberState.DRAINING)
        ]
        if live:
            raise ServiceInUseError(service, live)
        ended = list(ledger.records_by_incarnation)
        del self.services[service]
        for incarnation in ended:
            self._forget(incarnation)
        return ended

    def expire(
        self, expired: list[tuple[int, int]], attached: list[int], repeated_enrolments: int
    ) -> ExpiryResult:
        """Apply a `DueExpiry`; change nothing if an enrolment was repeated since it was decided."""
        if repeated_enrolments != self.repeated_enrolments:
            return ExpiryResult([], [])
        newly_expired: list[int] = []
        removed: list[int] = []
        for service, leases in self._by_service(expired).items():
            ledger = self._prepared(service)
            group_expired, group_removed = ledger.expire(leases, attached)
            newly_expired += group_expired
            removed += group_removed
            if service != NO_SERVICE and not ledger.records_by_incarnation:
                del self.services[service]
        for incarnation in newly_expired:
            self.routes.on_lease_expired(incarnation)
        for incarnation in removed:
            self._forget(incarnation)
        return ExpiryResult(newly_expired, removed)

    def propose(self, text: str, deadline_ms: float) -> ActivationOutcome:
        """Begin to prepare a valid route table; `deadline_ms` is in service time."""
        return self.routes.propose(self.log_ms, text, self._voters(), deadline_ms)

    def rollback(self, number: int, deadline_ms: float) -> ActivationOutcome:
        """Begin to prepare the text of an earlier version under a new number."""
        return self.routes.rollback(self.log_ms, number, self._voters(), deadline_ms)

    def halt(self, number: int | None) -> ActivationOutcome:
        """Abort the pending version unless it is decided; `number` None matches any version."""
        return self.routes.halt(self.log_ms, number)

    # Reads.

    def grant(self, record: MemberRecord, acknowledged_revision: int, delta: bool) -> LeaseGrant:
        """Return the lease of this record's process (`QuotaLedger.grant`)."""
        service = self.service_of(record.incarnation)
        return replace(self._prepared(service).grant(record, acknowledged_revision, delta), service=service)

    def service_of(self, incarnation: int) -> str:
        """Return the service of this record; NO_SERVICE if there is no such record."""
        return self._service_of.get(incarnation, NO_SERVICE)

    def records(self) -> Iterator[MemberRecord]:
        """Yield the records of all groups."""
        for ledger in self._ledgers():
            yield from ledger.records()

    def due_expiry(self, expired: list[tuple[int, int]], attached: list[int]) -> DueExpiry | None:
        """Return the arguments of `expire` for those of these leases whose groups it would change.

        Return None if it would change nothing, so that a fleet without expired leases adds nothing to the
        log.
        """
        due: list[tuple[int, int]] = []
        needed: set[int] = set()
        for service, leases in self._by_service(expired).items():
            ledger = self._ledger_of(service)
            if ledger.would_expire(leases, attached):
                due += leases
                needed.update(ledger.records_by_incarnation)
        if not due:
            return None
        return DueExpiry(due, [member for member in attached if member in needed], self.repeated_enrolments)

    def current_outcome(self, outcome: ActivationOutcome) -> ActivationOutcome:
        """Return this outcome with the phase that its version is in now."""
        return outcome if outcome.rejected else self.routes.outcome(outcome.number)

    def decision_due(self, service_ms: float) -> bool:
        """Whether a deadline or an activation time has passed since the last `settle`."""
        pending = self.routes.pending
        if pending is None:
            return False
        return service_ms >= (
            pending.deadline_ms if pending.activates_at_ms is None else pending.activates_at_ms
        )

    def revisions(self, incarnation: int) -> Revisions:
        """Return the revisions that this record's process watches."""
        return Revisions(self._ledger_of(self.service_of(incarnation)).revision, self.routes.revision)

    def group_revisions(self) -> dict[str, int]:
        """Return the revision of each group's member list."""
        revisions = {service: ledger.revision for service, ledger in self.services.items()}
        revisions[NO_SERVICE] = self.ledger.revision
        return revisions

    # Helpers.

    def _ledgers(self) -> Iterator[QuotaLedger]:
        yield self.ledger
        yield from self.services.values()

    def _ledger_of(self, service: str) -> QuotaLedger:
        if service == NO_SERVICE:
            return self.ledger
        return self.services.get(service) or QuotaLedger()

    def _prepared(self, service: str) -> QuotaLedger:
        """Return the ledger, after setting the quota that members outside its group may be using."""
        ledger = self._ledger_of(service)
        if service != NO_SERVICE:
            ledger.external = ExternalQuota(self.ledger.granted_quota(), self.ledger.sharing_count())
        else:
            quota = max((other.granted_quota() for other in self.services.values()), default=0.0)
            count = max((other.sharing_count() for other in self.services.values()), default=0)
            ledger.external = ExternalQuota(quota, count)
        return ledger

    def _enrol(
        self, service: str, ledger: QuotaLedger, name: str, address: str, zone: str, start: str
    ) -> MemberRecord:
        before, last_incarnation = set(ledger.records_by_incarnation), self.ledger.last_incarnation
        self._prepared(service).last_incarnation = last_incarnation
        record = ledger.enrol(name, address, zone, start)
        self.ledger.last_incarnation = ledger.last_incarnation
        # An `expire` that was proposed before a renewal detects it by the changed seq. A repeated enrolment
        # changes no seq, so it is counted.
        self.repeated_enrolments += ledger.last_incarnation == last_incarnation
        for replaced in before - ledger.records_by_incarnation.keys():
            self._forget(replaced)
        if service != NO_SERVICE:
            self._service_of[record.incarnation] = service
        self.routes.on_attached(record.incarnation)
        return record

    def _check_limits(self, service: str, ledger: QuotaLedger) -> None:
        count = len(ledger.records_by_incarnation)
        # The group without a service gets the limit of a fleet without groups, as its members stay in it when
        # groups are enabled.
        if count >= (MAX_UNGROUPED_MEMBERS if service == NO_SERVICE else MAX_GROUP_MEMBERS):
            message = f"service {service!r} has {count} members, the most that a group may have"
            raise MemberLimitError(message)
        count = sum(len(other.records_by_incarnation) for other in self._ledgers())
        if count >= MAX_MEMBERS:
            message = f"there are {count} members, the most that all groups may have together"
            raise MemberLimitError(message)

    def _by_service(self, leases: list[tuple[int, int]]) -> dict[str, list[tuple[int, int]]]:
        groups: dict[str, list[tuple[int, int]]] = {}
        for incarnation, seq in leases:
            groups.setdefault(self.service_of(incarnation), []).append((incarnation, seq))
        return groups

    def _forget(self, incarnation: int) -> None:
        self._service_of.pop(incarnation, None)
        self.routes.on_removed(incarnation)

    def _voters(self) -> list[int]:
        live = (MemberState.LIVE, MemberState.DRAINING)
        return [record.incarnation for record in self.records() if record.state in live]


def superseded_by(renewed: MemberRecord | None, records: Iterable[MemberRecord]) -> list[int]:
    """Return the incarnations that the first renewal of this record ends: the earlier ones at its address."""
    if renewed is None or renewed.renewal_seq > 0:
        return []
    return [
        record.incarnation
        for record in records
        if record.address == renewed.address and record.incarnation < renewed.incarnation
    ]
