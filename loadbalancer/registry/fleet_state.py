"""The fleet's replicated state: the members by group, the route versions, the log's time, the leader.

Pure and without clocks: the same commands in the same order give the same state on every instance. A command
is `accept`, one change, `settle`, and then whatever its answer reads. Its rules:

- Each command carries the leader's service time at its proposal (`stamp_ms`) and its Raft term. `start_term`
  is the first of a term; from there on commands of earlier terms are rejected. So what a leader proposed that
  has been replaced since, and that reached the log late, grants and ends nothing.
- The lease term and the clock bound in force are the longest that any leader so far was configured with,
  since members may still rely on them.
- A leader that can't tell how service time continues begins a new epoch of it (service_clock.py).
- A group is the members in front of one service, with a ledger of its own: its records, electors, majority
  and quotas are independent of other groups'. A member that names no service may balance to any: its quota
  counts in the sum of every group, and its group's free quota is what the fullest other group leaves.
- Incarnations are unique over all groups and only rise. Where a process enrols under another service than the
  process before it at its address, the log can't tell at first which of the two has ended, as an enrolment
  may be delayed. The first renewal tells: its process had an answer made after the earlier record, so it was
  there after the process of that record, and one process at a time listens at an address. The earlier record
  has left then.
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
    Expired,
    Revisions,
    TermStart,
)
from loadbalancer.routing.coordinator import ActivationCoordinator
from loadbalancer.routing.version_record import ActivationOutcome

# Enrolments must not grow the log's state without bound.
MAX_UNGROUPED_MEMBERS = 1_000  # that name no service
MAX_GROUP_MEMBERS = 500  # of one service
MAX_MEMBERS = 4_000  # of all groups

NO_SERVICE = ""  # the group of members that name no service


@dataclass(slots=True)
class FleetState:
    """The state and its changes; `ledger` is the group without a service, and issues all incarnations.

    Fields are stored in snapshots (stored_form.py).
    """

    ledger: QuotaLedger = field(default_factory=QuotaLedger)
    routes: ActivationCoordinator = field(default_factory=ActivationCoordinator)
    log_ms: float = 0.0  # the highest stamp
    term: int = -1  # Raft's, of the present leader
    leader_address: str = ""  # the present leader's host:port for HTTP
    epoch: int = 0  # of service time
    ttl_ms: float = 0.0  # of leases: the longest of any leader
    clock_bound_ms: float = 0.0  # the longest of any leader
    repeated_enrolments: int = 0  # enrolments of a process that had a row already
    services: dict[str, QuotaLedger] = field(default_factory=dict)
    _service_of: dict[int, str] = field(default_factory=dict, compare=False, repr=False)

    def __getstate__(self) -> tuple[None, dict[str, Any]]:
        """The stored fields; without `services` while there is none, as instances without groups need it."""
        kept = {one.name: getattr(self, one.name) for one in fields(self) if one.name != "_service_of"}
        if not self.services:
            del kept["services"]
        return None, kept

    def __setstate__(self, state: tuple[None, dict[str, Any]]) -> None:
        for name, value in ({"services": {}} | state[1]).items():
            setattr(self, name, value)
        self._service_of = {
            number: service
            for service, ledger in self.services.items()
            for number in ledger.records_by_incarnation
        }

    def start_term(
        self, term: int, leader_address: str, epoch: int | None, ttl_ms: float, clock_bound_ms: float
    ) -> TermStart | None:
        """Begin a leader's term; None where a later term has begun.

        `epoch` is that of the service time which the leader knows, None where it knows none.
        """
        if term < self.term:
            return None
        if epoch != self.epoch and term > self.term:
            self.epoch += 1
        self.term, self.leader_address = term, leader_address
        self.ttl_ms, self.clock_bound_ms = max(self.ttl_ms, ttl_ms), max(self.clock_bound_ms, clock_bound_ms)
        rows = [(row.incarnation, row.renewal_seq) for row in self.records()]
        return TermStart(self.log_ms, self.epoch, self.ttl_ms, rows)

    def accept(self, stamp_ms: float, term: int) -> bool:
        """Whether a command is of the present term; if so the log's time rises to its stamp."""
        if term != self.term:
            return False
        self.log_ms = max(self.log_ms, stamp_ms)
        return True

    def settle(self) -> None:
        """Decide, abort or activate the route version that is due, after the command's own change."""
        self.routes.apply_due(self.log_ms, self.ttl_ms, self.clock_bound_ms)

    # Changes.

    def enrol(self, name: str, address: str, zone: str, start: str) -> MemberRecord | None:
        """The record of a process that names no service; None where there are too many."""
        ledger = self.ledger
        if len(ledger.records_by_incarnation) >= MAX_UNGROUPED_MEMBERS and not ledger.has_process(start):
            return None
        return self._enrol(NO_SERVICE, ledger, name, address, zone, start)

    def enrol_in(self, service: str, name: str, address: str, zone: str, start: str) -> MemberRecord:
        """The record of a process in the group of this service; MemberLimitError where there are too many."""
        ledger = self._ledger_of(service)
        if not ledger.reuses_record(address, start):
            self._check_limits(service, ledger)
        if service != NO_SERVICE:
            self.services[service] = ledger
        return self._enrol(service, ledger, name, address, zone, start)

    def renew(
        self, incarnation: int, seq: int, acknowledged_revision: int, quota_in_use: float
    ) -> MemberRecord | None:
        """Renew a lease; None where the process has no record and has to enrol again.

        `acknowledged_revision` is the revision of the member list that the process acts on, `quota_in_use`
        the most that it may be taking.
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
        """The process drains; False where it has no record."""
        return self._prepared(self.service_of(incarnation)).begin_draining(incarnation)

    def leave(self, incarnation: int) -> bool:
        """The process has ended; False where it has no record."""
        left = self._prepared(self.service_of(incarnation)).leave(incarnation)
        if left:
            self.routes.on_removed(incarnation)
        return left

    def remove(self, name: str, service: str | None = None) -> list[int]:
        """End the processes of this name, as an operator declares; service None: in every group.

        Returns their incarnations.
        """
        ended = []
        for group in [NO_SERVICE, *self.services] if service is None else [service]:
            ended += self._prepared(group).remove(name)
        for incarnation in ended:
            self.routes.on_removed(incarnation)
        return ended

    def end_service(self, service: str) -> list[int]:
        """Remove the group of a service that has ended, and return its incarnations.

        ServiceInUseError while a member of it has a live lease.
        """
        ledger = self.services.get(service)
        if ledger is None:
            return []
        live = [row.name for row in ledger.records() if row.state in (MemberState.LIVE, MemberState.DRAINING)]
        if live:
            raise ServiceInUseError(service, live)
        ended = list(ledger.records_by_incarnation)
        del self.services[service]
        for incarnation in ended:
            self._forget(incarnation)
        return ended

    def expire(self, lapsed: list[tuple[int, int]], support: list[int], repeated_enrolments: int) -> Expired:
        """Apply a DueExpiry; nothing changes where an enrolment was repeated since it was decided."""
        if repeated_enrolments != self.repeated_enrolments:
            return Expired([], [])
        newly: list[int] = []
        removed: list[int] = []
        for service, rows in self._by_service(lapsed).items():
            ledger = self._prepared(service)
            its_newly, its_removed = ledger.expire(rows, support)
            newly += its_newly
            removed += its_removed
            if service != NO_SERVICE and not ledger.records_by_incarnation:
                del self.services[service]
        for incarnation in newly:
            self.routes.on_lease_expired(incarnation)
        for incarnation in removed:
            self._forget(incarnation)
        return Expired(newly, removed)

    def propose(self, text: str, deadline_ms: float) -> ActivationOutcome:
        """Begin to prepare a route table, already checked, until `deadline_ms` of service time."""
        return self.routes.propose(self.log_ms, text, self._voters(), deadline_ms)

    def rollback(self, number: int, deadline_ms: float) -> ActivationOutcome:
        """Begin to prepare the text of an earlier version under a new number."""
        return self.routes.rollback(self.log_ms, number, self._voters(), deadline_ms)

    def halt(self, number: int | None) -> ActivationOutcome:
        """Abort the pending version if it is not decided; None: whichever is pending."""
        return self.routes.halt(self.log_ms, number)

    # Reads.

    def grant(self, row: MemberRecord, acknowledged_revision: int, delta: bool) -> LeaseGrant:
        """The lease of the process of this record (`QuotaLedger.grant`)."""
        service = self.service_of(row.incarnation)
        return replace(self._prepared(service).grant(row, acknowledged_revision, delta), service=service)

    def service_of(self, incarnation: int) -> str:
        """The service of this record; NO_SERVICE for one that does not exist."""
        return self._service_of.get(incarnation, NO_SERVICE)

    def records(self) -> Iterator[MemberRecord]:
        """The records of all groups."""
        for ledger in self._ledgers():
            yield from ledger.records()

    def due_expiry(self, lapsed: list[tuple[int, int]], support: list[int]) -> DueExpiry | None:
        """The part of these that `expire` would act on.

        None where there is nothing to do, so that an idle fleet adds nothing to the log.
        """
        due: list[tuple[int, int]] = []
        needed: set[int] = set()
        for service, rows in self._by_service(lapsed).items():
            ledger = self._ledger_of(service)
            if ledger.would_expire(rows, support):
                due += rows
                needed.update(ledger.records_by_incarnation)
        if not due:
            return None
        return DueExpiry(due, [number for number in support if number in needed], self.repeated_enrolments)

    def current_outcome(self, outcome: ActivationOutcome) -> ActivationOutcome:
        """The phase that the version of this outcome is in now."""
        return outcome if outcome.rejected else self.routes.outcome(outcome.number)

    def decision_due(self, service_ms: float) -> bool:
        """Whether a deadline or a time of activation has passed since the last `settle`."""
        pending = self.routes.pending
        if pending is None:
            return False
        return service_ms >= (
            pending.deadline_ms if pending.activates_at_ms is None else pending.activates_at_ms
        )

    def revisions(self, incarnation: int) -> Revisions:
        """The revisions that the process of this record watches."""
        return Revisions(self._ledger_of(self.service_of(incarnation)).revision, self.routes.revision)

    def group_revisions(self) -> dict[str, int]:
        """The revision of each group's member list."""
        revisions = {service: ledger.revision for service, ledger in self.services.items()}
        revisions[NO_SERVICE] = self.ledger.revision
        return revisions

    # Parts.

    def _ledgers(self) -> Iterator[QuotaLedger]:
        yield self.ledger
        yield from self.services.values()

    def _ledger_of(self, service: str) -> QuotaLedger:
        if service == NO_SERVICE:
            return self.ledger
        return self.services.get(service) or QuotaLedger()

    def _prepared(self, service: str) -> QuotaLedger:
        """The ledger, with the quota that members outside of its group may be taking."""
        ledger = self._ledger_of(service)
        if service != NO_SERVICE:
            ledger.external = ExternalQuota(self.ledger.granted_quota(), self.ledger.sharing_count())
        else:
            shares = max((other.granted_quota() for other in self.services.values()), default=0.0)
            rows = max((other.sharing_count() for other in self.services.values()), default=0)
            ledger.external = ExternalQuota(shares, rows)
        return ledger

    def _enrol(
        self, service: str, ledger: QuotaLedger, name: str, address: str, zone: str, start: str
    ) -> MemberRecord:
        before, given = set(ledger.records_by_incarnation), self.ledger.last_incarnation
        self._prepared(service).last_incarnation = given
        row = ledger.enrol(name, address, zone, start)
        self.ledger.last_incarnation = ledger.last_incarnation
        # An `expire` that is already proposed sees by a renewal's seq that the lease was renewed. A repeated
        # enrolment changes no seq, so it is counted.
        self.repeated_enrolments += ledger.last_incarnation == given
        for gone in before - ledger.records_by_incarnation.keys():
            self._forget(gone)
        if service != NO_SERVICE:
            self._service_of[row.incarnation] = service
        self.routes.on_attached(row.incarnation)
        return row

    def _check_limits(self, service: str, ledger: QuotaLedger) -> None:
        rows = len(ledger.records_by_incarnation)
        # A fleet without groups may have this many members, and keeps them when groups are switched on.
        if rows >= (MAX_UNGROUPED_MEMBERS if service == NO_SERVICE else MAX_GROUP_MEMBERS):
            message = f"service {service!r} has {rows} members, the most that a group may have"
            raise MemberLimitError(message)
        rows = sum(len(other.records_by_incarnation) for other in self._ledgers())
        if rows >= MAX_MEMBERS:
            message = f"there are {rows} members, the most that all groups may have together"
            raise MemberLimitError(message)

    def _by_service(self, lapsed: list[tuple[int, int]]) -> dict[str, list[tuple[int, int]]]:
        found: dict[str, list[tuple[int, int]]] = {}
        for incarnation, seq in lapsed:
            found.setdefault(self.service_of(incarnation), []).append((incarnation, seq))
        return found

    def _forget(self, incarnation: int) -> None:
        self._service_of.pop(incarnation, None)
        self.routes.on_removed(incarnation)

    def _voters(self) -> list[int]:
        live = (MemberState.LIVE, MemberState.DRAINING)
        return [row.incarnation for row in self.records() if row.state in live]


def superseded_by(renewed: MemberRecord | None, rows: Iterable[MemberRecord]) -> list[int]:
    """The incarnations of earlier records at the address of this one, ended by its first renewal."""
    if renewed is None or renewed.renewal_seq > 0:
        return []
    return [
        row.incarnation
        for row in rows
        if row.address == renewed.address and row.incarnation < renewed.incarnation
    ]
