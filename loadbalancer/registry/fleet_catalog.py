"""The fleet's state, replicated to every instance of the list service: the second consumer of the Raft log.

The state and its rules are in fleet_state.py; catalog.py is the first consumer.

A command of a replaced leader returns None. Otherwise it returns the content of the response, which is read
from the state right after the command was applied. Only the leader prepares grants and outcomes; on the other
instances they are None.

pysyncobj numbers commands by their methods' names in alphabetical order, and journals contain these numbers.
So the names of replicated methods are part of the journal's format, and a new command's name has to sort
after all others. `write` does. It carries any command of commands.py, so no further method is needed.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from pysyncobj import SyncObjConsumer, replicated

from loadbalancer.membership.member_record import MemberRecord
from loadbalancer.registry.commands import EndService, EnrolMember, RemoveMembers, decode
from loadbalancer.registry.errors import MemberLimitError, ServiceInUseError
from loadbalancer.registry.fleet_results import (
    AppliedRenewal,
    AppliedRequest,
    ExpiryResult,
    MemberGrant,
    MembersRemoved,
    Outcome,
    Rejected,
    Renewal,
    TermStart,
)
from loadbalancer.registry.fleet_state import FleetState
from loadbalancer.registry.raft import RAFT_LEADER
from loadbalancer.registry.service_clock import ServiceClock
from loadbalancer.routing.version_record import ActivationOutcome

PlainRenewal = tuple[int, int, int, int, float]  # the form of a `Renewal` in the log
T = TypeVar("T")
R = TypeVar("R")


class FleetCatalog(SyncObjConsumer):  # type: ignore[misc]  # pysyncobj ships no types
    """The fleet's state under one lock: Raft's thread changes it, the event loop reads it.

    `monotonic_ms` reads the monotonic clock. `on_change` is called in Raft's thread when a revision has risen
    and when this instance has begun or ceased to lead. Its argument is the set of groups whose member lists
    have changed, or None for all groups. The service clock is changed under the same lock.
    """

    def __init__(
        self,
        clock: ServiceClock,
        monotonic_ms: Callable[[], float],
        on_change: Callable[[frozenset[str] | None], None],
    ) -> None:
        # pysyncobj includes in snapshots only the attributes set after its own constructor.
        self._lock = threading.Lock()
        self._clock = clock
        self._monotonic_ms = monotonic_ms
        self._on_change = on_change
        self._answering_term = -1  # term in which this instance prepares responses and records renewals
        self._applied_renewals: list[AppliedRenewal] = []
        self._delta_requests: set[int] = set()  # incarnations whose next renewal gets a delta of the list
        self.leader_term: int | None = None  # term in which this instance leads Raft; set by Raft's thread
        super().__init__()
        self.state = FleetState()

    def state_changed(self, old: int, new: int) -> None:
        """Handle pysyncobj's `onStateChanged`, called in its thread when the role has changed."""
        self.leader_term = self._syncObj.raftCurrentTerm if new == RAFT_LEADER else None
        self._on_change(None)

    # Commands: each runs on every instance, in the order of the log.

    @replicated  # type: ignore[untyped-decorator]
    def lead(
        self, stamp: float, term: int, http: str, epoch: int | None, ttl_ms: float, bound_ms: float
    ) -> TermStart | None:
        """Begin a term. The stamp is ignored, since service time continues from this command's result."""
        with self._lock:
            self._applied_renewals.clear()
            return self.state.start_term(term, http, epoch, ttl_ms, bound_ms)

    @replicated  # type: ignore[untyped-decorator]
    def enrol(
        self, stamp: float, term: int, name: str, address: str, zone: str, start: str
    ) -> list[MemberGrant | None] | None:
        """Enrol a process; return a list of its grant, or [None] if there are too many members."""

        def enrol() -> list[AppliedRequest]:
            record = self.state.enrol(name, address, zone, start)
            if record is not None:
                self._record_renewal(record.incarnation, record.renewal_seq, -1)
            return [AppliedRequest(record)]

        return self._apply(stamp, term, enrol, self._grants)

    @replicated  # type: ignore[untyped-decorator]
    def renew_many(
        self, stamp: float, term: int, renewals: list[PlainRenewal]
    ) -> list[MemberGrant | None] | None:
        """Renew leases; return the grants in order, with None for each process that has no record."""
        return self._apply(
            stamp, term, lambda: [self._renew(Renewal(*renewal)) for renewal in renewals], self._grants
        )

    @replicated  # type: ignore[untyped-decorator]
    def write(self, stamp: float, term: int, commands: list[bytes]) -> list[Outcome] | None:
        """Carry out commands of commands.py in turn and return the outcome of each."""
        return self._apply(
            stamp, term, lambda: [self._execute(decode(command)) for command in commands], self._outcomes
        )

    @replicated  # type: ignore[untyped-decorator]
    def leaving(self, stamp: float, term: int, incarnation: int) -> bool | None:
        """Mark a process as draining; return False if it has no record."""
        return self._apply(stamp, term, lambda: self.state.start_draining(incarnation), bool)

    @replicated  # type: ignore[untyped-decorator]
    def leave(self, stamp: float, term: int, incarnation: int) -> bool | None:
        """Record that a process has ended; return False if it has no record."""
        return self._apply(stamp, term, lambda: self.state.leave(incarnation), bool)

    @replicated  # type: ignore[untyped-decorator]
    def remove(self, stamp: float, term: int, name: str) -> list[int] | None:
        """Remove the processes of this name, as an operator requests; return their incarnations."""
        return self._apply(stamp, term, lambda: self.state.remove(name), _unchanged)

    @replicated  # type: ignore[untyped-decorator]
    def expire(
        self, stamp: float, term: int, lapsed: list[tuple[int, int]], support: list[int], repeats: int
    ) -> ExpiryResult | None:
        """Apply a `DueExpiry` (`FleetState.due_expiry`)."""
        return self._apply(stamp, term, lambda: self.state.expire(lapsed, support, repeats), _unchanged)

    @replicated  # type: ignore[untyped-decorator]
    def propose(self, stamp: float, term: int, text: str, deadline_ms: float) -> ActivationOutcome | None:
        """Begin to prepare a valid route table; `deadline_ms` is in service time."""
        return self._apply(
            stamp, term, lambda: self.state.propose(text, deadline_ms), self.state.current_outcome
        )

    @replicated  # type: ignore[untyped-decorator]
    def rollback(self, stamp: float, term: int, number: int, deadline_ms: float) -> ActivationOutcome | None:
        """Begin to prepare the text of an earlier version under a new number."""
        return self._apply(
            stamp, term, lambda: self.state.rollback(number, deadline_ms), self.state.current_outcome
        )

    @replicated  # type: ignore[untyped-decorator]
    def halt(self, stamp: float, term: int, number: int | None) -> ActivationOutcome | None:
        """Abort the pending route version unless it is decided; `number` None matches any version."""
        return self._apply(stamp, term, lambda: self.state.halt(number), self.state.current_outcome)

    @replicated  # type: ignore[untyped-decorator]
    def vote(
        self, stamp: float, term: int, incarnation: int, number: int, yes: bool, why: str
    ) -> ActivationOutcome | None:
        """Record a process's vote on the pending route version."""
        vote = self.state.routes.vote
        return self._apply(
            stamp, term, lambda: vote(incarnation, number, yes, why), self.state.current_outcome
        )

    @replicated  # type: ignore[untyped-decorator]
    def decide(self, stamp: float, term: int) -> bool | None:
        """Advance the log's time, so that a deadline or activation time which has passed takes effect."""
        return self._apply(stamp, term, lambda: True, _unchanged)

    # Used by the leader.

    def start_answering(self, term: int) -> None:
        """Prepare the responses to commands of this term from now on, and record its renewals."""
        with self._lock:
            self._answering_term = term
            self._delta_requests.clear()

    def take_applied_renewals(self) -> list[AppliedRenewal]:
        """Return the renewals applied in this instance's term since the last call."""
        with self._lock:
            taken, self._applied_renewals = self._applied_renewals, []
            return taken

    def read(self, reader: Callable[[FleetState], T]) -> T:
        """Return `reader(state)`, read under the lock; the result must not contain mutable state."""
        with self._lock:
            return reader(self.state)

    def has_quorum(self) -> bool:
        """Whether this instance is connected to a majority."""
        try:
            return bool(self._syncObj.hasQuorum)
        except RuntimeError:  # Raft's thread changed pysyncobj's set of connections during the count
            return False

    def knows_raft_leader(self) -> bool:
        """Whether Raft has a leader, as far as this instance knows."""
        return self._syncObj._getLeader() is not None

    def leader_address(self) -> str | None:
        """Return the leader's host:port for HTTP, or None if this instance knows no leader."""
        raft = self._syncObj
        with self._lock:
            known = self.state.term == raft.raftCurrentTerm and raft._getLeader() is not None
            return self.state.leader_address if known else None

    def request_delta(self, incarnation: int) -> None:
        """Let the next renewal of this record return a delta instead of the complete member list."""
        with self._lock:
            self._delta_requests.add(incarnation)

    def members(self, service: str | None = None) -> dict[str, Any]:
        """Return the body of GET /fleet/members for one group or all; its keys are part of the API."""
        with self._lock:
            state = self.state
            members = [
                _member_entry(record, state.service_of(record.incarnation))
                for record in state.records()
                if service in (None, state.service_of(record.incarnation))
            ]
            revision = state.group_revisions().get(service or "", 0)
            return {"rev": revision, "log_ms": state.log_ms, "members": members}

    # Helpers.

    def _apply(
        self, stamp_ms: float, term: int, change: Callable[[], T], read_result: Callable[[T], R]
    ) -> R | None:
        """Apply a command: make its change, settle the route version that is due, then read its result."""
        with self._lock:
            before, routes_before = self.state.group_revisions(), self.state.routes.revision
            if not self.state.accept(stamp_ms, term):
                return None
            self._observe_stamp(stamp_ms)
            result = change()
            self.state.settle()
            if routes_before != self.state.routes.revision:
                self._on_change(None)
            elif changed := self._changed_groups(before):
                self._on_change(changed)
            return read_result(result)

    def _changed_groups(self, before: dict[str, int]) -> frozenset[str]:
        now = self.state.group_revisions()
        return frozenset(group for group, _ in before.items() ^ now.items())

    def _observe_stamp(self, stamp_ms: float) -> None:
        # A stamp applied while this instance replays its journal or catches up is old, so it gives no bound.
        raft = self._syncObj
        if raft is not None and raft.isReady() and raft.raftCurrentTerm == self.state.term:
            self._clock.observe(self._monotonic_ms(), stamp_ms, self.state.epoch)

    def _renew(self, renewal: Renewal) -> AppliedRequest:
        record = self.state.renew(
            renewal.incarnation, renewal.seq, renewal.acknowledged_revision, renewal.quota_in_use
        )
        if record is not None:
            self._record_renewal(renewal.incarnation, renewal.seq, renewal.answered_seq)
        takes_delta = renewal.incarnation in self._delta_requests
        self._delta_requests.discard(renewal.incarnation)
        return AppliedRequest(record, renewal.acknowledged_revision, takes_delta)

    def _execute(
        self, command: EnrolMember | RemoveMembers | EndService
    ) -> MemberRecord | Rejected | MembersRemoved:
        try:
            match command:
                case EnrolMember():
                    record = self.state.enrol_in(
                        command.service, command.name, command.address, command.zone, command.start
                    )
                    self._record_renewal(record.incarnation, record.renewal_seq, -1)
                    return record
                case RemoveMembers():
                    return MembersRemoved(self.state.remove(command.name, command.service))
                case EndService():
                    return MembersRemoved(self.state.end_service(command.service))
        except (MemberLimitError, ServiceInUseError) as failure:
            return Rejected(str(failure))

    def _record_renewal(self, incarnation: int, seq: int, answered: int) -> None:
        if self._answering_term == self.state.term:
            self._applied_renewals.append(AppliedRenewal(self._monotonic_ms(), incarnation, seq, answered))

    def _grants(self, applied: Iterable[AppliedRequest]) -> list[MemberGrant | None] | None:
        """Return the grants in order, with None for each process that has no record."""
        if self._answering_term != self.state.term:
            return None
        routes = self.state.routes.announcement()
        return [
            None if request.record is None else self._grant(request.record, request, routes)
            for request in applied
        ]

    def _outcomes(self, results: list[MemberRecord | Rejected | MembersRemoved]) -> list[Outcome] | None:
        if self._answering_term != self.state.term:
            return None
        routes = self.state.routes.announcement()
        return [
            self._grant(result, AppliedRequest(result), routes)
            if isinstance(result, MemberRecord)
            else result
            for result in results
        ]

    def _grant(self, record: MemberRecord, applied: AppliedRequest, routes: dict[str, Any]) -> MemberGrant:
        return MemberGrant(
            self.state.grant(record, applied.acknowledged_revision, applied.takes_delta), routes
        )

    def _deserialize(self, data: dict[str, Any]) -> None:
        with self._lock:
            super()._deserialize(data)
        self._on_change(None)


def _member_entry(record: MemberRecord, service: str) -> dict[str, Any]:
    """Return a member's entry of GET /fleet/members; the keys are part of the API."""
    return {
        "name": record.name,
        "address": record.address,
        "zone": record.zone,
        "start": record.start_id,
        "incarnation": record.incarnation,
        "rank": record.rank,
        "enrolled": record.enrolled_revision,
        "share": record.quota,
        "acked": record.acknowledged_revision,
        "elector": record.elector,
        "state": record.state,
        "seq": record.renewal_seq,
        "service": service,
    }


def _unchanged(result: T) -> T:
    return result
