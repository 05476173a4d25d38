"""What the list service's log holds of the fleet: the members by group, the route versions, the log's time,
who leads.

Pure and without clocks: the same commands in the same order give the same state on every instance. A command
is `begin`, one change, `settle`, and then whatever its answer reads. Its rules:

- Each command carries the leader's service time when it was proposed (`stamp`) and the Raft term it leads in.
  `lead` is the first of a term; from there on commands of earlier terms are refused. So what a leader
  proposed that has been replaced since, and that reached the log late, grants and ends nothing.
- The lease term and the clock bound in force are the longest that any leader so far was configured with,
  since rows may still rest on them.
- A leader that can't tell how service time goes on begins a new epoch of it (service_clock.py).
- A group is the members in front of one service, with a ledger of its own: rows, electors, majority and
  shares of one group know nothing of another's. A member that names no service may balance to any: its
  share counts in the sum of every group, and its group's free share is what the fullest other leaves.
- Incarnations are given once over all groups. Where a process enrols under another service than the one
  before it at its address, the log can't tell at first which of the two has ended, as an enrolment may come
  late. The first renewal tells: its process had an answer made after the earlier row, so it was there after
  the process of that row, and one process at a time listens at an address. The earlier row has left then.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, fields
from typing import Any, NamedTuple

from msgspec.structs import replace

from loadbalancer.membership.messages import LeaseGrant
from loadbalancer.membership.quota_ledger import ExternalQuota, MemberRecord, MemberState, QuotaLedger
from loadbalancer.registry.errors import MemberLimitError, ServiceInUseError
from loadbalancer.routing.coordinator import ActivationCoordinator
from loadbalancer.routing.version_record import ActivationOutcome

# Guards: enrolments that never end must not grow the log's state without bound.
MAX_UNGROUPED_MEMBERS = 1_000  # of members that name no service
MAX_GROUP_MEMBERS = 500
MAX_MEMBERS = 4_000

NO_SERVICE = ""  # the group of members that name no service


@dataclass(slots=True, frozen=True)
class TermStart:
    """What the log held when a term of leading began."""

    log_ms: float
    epoch: int
    ttl_ms: float
    renewals: list[tuple[int, int]]  # incarnation and seq


@dataclass(slots=True, frozen=True)
class DueExpiry:
    """Leases that ran out, as (incarnation, seq of its last renewal), and the rows surely attached."""

    lapsed: list[tuple[int, int]]
    support: list[int]
    repeated_enrolments: int


class Expired(NamedTuple):
    """What an expiry changed, as incarnations."""

    lapsed: list[int]
    removed: list[int]


@dataclass(slots=True)
class FleetState:
    """`ledger` is the group of members that name no service, and gives all incarnations."""

    ledger: QuotaLedger = field(default_factory=QuotaLedger)
    routes: ActivationCoordinator = field(default_factory=ActivationCoordinator)
    log_ms: float = 0.0  # the highest stamp
    term: int = -1  # of the last `lead`
    leader_address: str = ""  # where the instance that leads in it answers
    epoch: int = 0  # of service time
    ttl_ms: float = 0.0
    clock_bound_ms: float = 0.0
    repeated_enrolments: int = 0  # enrolments of a process that had a row already
    services: dict[str, QuotaLedger] = field(default_factory=dict)
    _service_of: dict[int, str] = field(default_factory=dict, compare=False, repr=False)

    def __getstate__(self) -> tuple[None, dict[str, Any]]:
        """As earlier releases write it and read it, for as long as no member names a service."""
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
        self, term: int, http: str, epoch: int | None, ttl_ms: float, bound_ms: float
    ) -> TermStart | None:
        """Begin a term. `epoch`: of what its leader knows of service time, None where it knows none."""
        if term < self.term:
            return None
        if epoch != self.epoch and term > self.term:
            self.epoch += 1
        self.term, self.leader_address = term, http
        self.ttl_ms, self.clock_bound_ms = max(self.ttl_ms, ttl_ms), max(self.clock_bound_ms, bound_ms)
        rows = [(row.incarnation, row.renewal_seq) for row in self.rows()]
        return TermStart(self.log_ms, self.epoch, self.ttl_ms, rows)

    def accept(self, stamp: float, term: int) -> bool:
        """Whether a command counts; if so the log's time is its stamp, or what it was where that is later."""
        if term != self.term:
            return False
        self.log_ms = max(self.log_ms, stamp)
        return True

    def settle(self) -> None:
        """Decide, end or put in force what is due, once the command's own change is made."""
        self.routes.apply_due(self.log_ms, self.ttl_ms, self.clock_bound_ms)

    # Changes.

    def enrol(self, name: str, address: str, zone: str, start: str) -> MemberRecord | None:
        """The row of a process that names no service; None where there are too many."""
        ledger = self.ledger
        if len(ledger.records_by_incarnation) >= MAX_UNGROUPED_MEMBERS and not ledger.has_process(start):
            return None
        return self._enrol(NO_SERVICE, ledger, name, address, zone, start)

    def enrol_in(self, service: str, name: str, address: str, zone: str, start: str) -> MemberRecord:
        """The row of a process in the group of this service; MemberLimitError where there are too many."""
        ledger = self._ledger_of(service)
        if not ledger.reuses_record(address, start):
            self._check_limits(service, ledger)
        if service != NO_SERVICE:
            self.services[service] = ledger
        return self._enrol(service, ledger, name, address, zone, start)

    def renew(self, incarnation: int, seq: int, acked: int, using: float) -> MemberRecord | None:
        renewed = self._ledger_of(self.service_of(incarnation)).records_by_incarnation.get(incarnation)
        for ended in superseded_by(renewed, self.rows()):
            self.leave(ended)
        row = self._prepared(self.service_of(incarnation)).renew(incarnation, seq, acked, using)
        if row is not None:
            self.routes.on_attached(incarnation)
        return row

    def start_draining(self, incarnation: int) -> bool:
        return self._prepared(self.service_of(incarnation)).begin_draining(incarnation)

    def leave(self, incarnation: int) -> bool:
        left = self._prepared(self.service_of(incarnation)).leave(incarnation)
        if left:
            self.routes.on_left(incarnation)
        return left

    def remove(self, name: str, service: str | None = None) -> list[int]:
        """The incarnations that an operator's word ended; service None: in every group."""
        ended = []
        for group in [NO_SERVICE, *self.services] if service is None else [service]:
            ended += self._prepared(group).remove(name)
        for incarnation in ended:
            self.routes.on_left(incarnation)
        return ended

    def end_service(self, service: str) -> list[int]:
        """Remove the group of a service that has ended; ServiceInUseError while a lease of it is live."""
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

    def expire(self, lapsed: list[tuple[int, int]], support: list[int], repeats: int) -> Expired:
        """The rows that lapsed now and those removed; none where an enrolment was repeated meanwhile."""
        if repeats != self.repeated_enrolments:
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
        return self.routes.propose(self.log_ms, text, self._voters(), deadline_ms)

    def rollback(self, number: int, deadline_ms: float) -> ActivationOutcome:
        return self.routes.rollback(self.log_ms, number, self._voters(), deadline_ms)

    def halt(self, number: int | None) -> ActivationOutcome:
        return self.routes.halt(self.log_ms, number)

    # Reads.

    def grant(self, row: MemberRecord, acked: int, delta: bool) -> LeaseGrant:
        """What the process of this row is told (`Ledger.grant`)."""
        service = self.service_of(row.incarnation)
        return replace(self._prepared(service).grant(row, acked, delta), service=service)

    def service_of(self, incarnation: int) -> str:
        """The group of this row, or where a row that is not there would have been before groups."""
        return self._service_of.get(incarnation, NO_SERVICE)

    def rows(self) -> Iterator[MemberRecord]:
        """The rows of all groups."""
        for ledger in self._ledgers():
            yield from ledger.records()

    def due_expiry(self, lapsed: list[tuple[int, int]], support: list[int]) -> DueExpiry | None:
        """The part of these that `expire` would act on; None where that is nothing, so that an idle fleet
        adds nothing to the log."""
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

    def ruling(self, given: ActivationOutcome) -> ActivationOutcome:
        """Where the version of a ruling stands now."""
        return given if given.rejected else self.routes.outcome(given.number)

    def decision_due(self, service_ms: float) -> bool:
        """Whether a deadline or a moment of activation has come that `settle` has not seen."""
        pending = self.routes.pending
        if pending is None:
            return False
        return service_ms >= (
            pending.deadline_ms if pending.activates_at_ms is None else pending.activates_at_ms
        )

    def revisions(self, incarnation: int) -> tuple[int, int]:
        """Of the member list that this row's process knows, and of the routes."""
        return self._ledger_of(self.service_of(incarnation)).revision, self.routes.revision

    def group_revisions(self) -> dict[str, int]:
        """Of each group's member list."""
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
        """The ledger, knowing what members outside of its group may be taking of the same whole."""
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
        # Guard: by a renewal's seq, an `expire` on its way sees that the lease runs anew. An enrolment that
        # is repeated changes no seq, so their count has to say so.
        self.repeated_enrolments += ledger.last_incarnation == given
        for gone in before - ledger.records_by_incarnation.keys():
            self._forget(gone)
        if service != NO_SERVICE:
            self._service_of[row.incarnation] = service
        self.routes.on_attached(row.incarnation)
        return row

    def _check_limits(self, service: str, ledger: QuotaLedger) -> None:
        rows = len(ledger.records_by_incarnation)
        # Guard: members that name no service had so many before groups were switched on.
        if rows >= (MAX_UNGROUPED_MEMBERS if service == NO_SERVICE else MAX_GROUP_MEMBERS):
            raise MemberLimitError(f"service {service!r} has {rows} members, the most that a group may have")
        rows = sum(len(other.records_by_incarnation) for other in self._ledgers())
        if rows >= MAX_MEMBERS:
            raise MemberLimitError(f"there are {rows} members, the most that all groups may have together")

    def _by_service(self, lapsed: list[tuple[int, int]]) -> dict[str, list[tuple[int, int]]]:
        found: dict[str, list[tuple[int, int]]] = {}
        for incarnation, seq in lapsed:
            found.setdefault(self.service_of(incarnation), []).append((incarnation, seq))
        return found

    def _forget(self, incarnation: int) -> None:
        self._service_of.pop(incarnation, None)
        self.routes.on_left(incarnation)

    def _voters(self) -> list[int]:
        live = (MemberState.LIVE, MemberState.DRAINING)
        return [row.incarnation for row in self.rows() if row.state in live]


def superseded_by(renewed: MemberRecord | None, rows: Iterable[MemberRecord]) -> list[int]:
    """The earlier rows at the address of this one, whose processes have ended as it is first renewed."""
    if renewed is None or renewed.renewal_seq > 0:
        return []
    return [
        row.incarnation
        for row in rows
        if row.address == renewed.address and row.incarnation < renewed.incarnation
    ]
