"""The fleet as every instance of the list service replicates it: the second consumer of the Raft log.

The state and its rules are in fleet_state.py; catalog.py is the first consumer.

A command of a leader that has been replaced since has the result None. Other results are what the answer to a
node carries, taken at the command's place in the log; only the instance that leads prepares them.

pysyncobj numbers commands by their methods' names, in order, and journals hold these numbers. So the names of
replicated methods are part of the journal's format, and a command that is added has to sort after all others:
`write` does, and carries any command of commands.py.
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
    Expired,
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

PlainRenewal = tuple[int, int, int, int, float]  # a `Renewal` in the log
T = TypeVar("T")
R = TypeVar("R")


class FleetCatalog(SyncObjConsumer):  # type: ignore[misc]  # pysyncobj ships no types
    """The fleet's state under one lock: Raft's thread changes it, the event loop reads it.

    `monotonic_ms` reads the monotonic clock. `on_change` is called, in Raft's thread, when a revision has
    risen or this instance has begun or ceased to lead, with the groups whose member lists have changed, None
    for all. The service clock is changed under the same lock.
    """

    def __init__(
        self,
        clock: ServiceClock,
        monotonic_ms: Callable[[], float],
        on_change: Callable[[frozenset[str] | None], None],
    ) -> None:
        # pysyncobj stores the attributes that are set after its own constructor.
        self._lock = threading.Lock()
        self._clock = clock
        self._monotonic_ms = monotonic_ms
        self._on_change = on_change
        self._answering_term = -1  # in which this instance prepares answers and records renewals
        self._applied_renewals: list[AppliedRenewal] = []
        self._delta_requests: set[int] = set()  # incarnations whose next renewal takes changes of the list
        self.leader_term: int | None = None  # in which this instance leads Raft; set by Raft's thread alone
        super().__init__()
        self.state = FleetState()

    def state_changed(self, old: int, new: int) -> None:
        """pysyncobj's `onStateChanged`, in its thread, where the term is that of the role."""
        self.leader_term = self._syncObj.raftCurrentTerm if new == RAFT_LEADER else None
        self._on_change(None)

    # Commands: each runs on every instance, in the log's order.

    @replicated  # type: ignore[untyped-decorator]
    def lead(
        self, stamp: float, term: int, http: str, epoch: int | None, ttl_ms: float, bound_ms: float
    ) -> TermStart | None:
        """Begin a term. Its stamp has no meaning, since service time continues only from its result."""
        with self._lock:
            self._applied_renewals.clear()
            return self.state.start_term(term, http, epoch, ttl_ms, bound_ms)

    @replicated  # type: ignore[untyped-decorator]
    def enrol(
        self, stamp: float, term: int, name: str, address: str, zone: str, start: str
    ) -> list[MemberGrant | None] | None:
        """The process's grant; None in its place where there are too many members."""

        def act() -> list[AppliedRequest]:
            row = self.state.enrol(name, address, zone, start)
            if row is not None:
                self._record_renewal(row.incarnation, row.renewal_seq, -1)
            return [AppliedRequest(row)]

        return self._apply(stamp, term, act, self._grants)

    @replicated  # type: ignore[untyped-decorator]
    def renew_many(
        self, stamp: float, term: int, renewals: list[PlainRenewal]
    ) -> list[MemberGrant | None] | None:
        """Each process's grant, None where it has no record."""
        return self._apply(
            stamp, term, lambda: [self._renew(Renewal(*each)) for each in renewals], self._grants
        )

    @replicated  # type: ignore[untyped-decorator]
    def write(self, stamp: float, term: int, commands: list[bytes]) -> list[Outcome] | None:
        """Carry out commands of commands.py in turn; the outcome of each."""
        return self._apply(
            stamp, term, lambda: [self._execute(decode(each)) for each in commands], self._outcomes
        )

    @replicated  # type: ignore[untyped-decorator]
    def leaving(self, stamp: float, term: int, incarnation: int) -> bool | None:
        """A process drains; False where it has no record."""
        return self._apply(stamp, term, lambda: self.state.start_draining(incarnation), bool)

    @replicated  # type: ignore[untyped-decorator]
    def leave(self, stamp: float, term: int, incarnation: int) -> bool | None:
        """A process has ended; False where it has no record."""
        return self._apply(stamp, term, lambda: self.state.leave(incarnation), bool)

    @replicated  # type: ignore[untyped-decorator]
    def remove(self, stamp: float, term: int, name: str) -> list[int] | None:
        """An operator declares that the processes of this name have ended; their incarnations."""
        return self._apply(stamp, term, lambda: self.state.remove(name), _unchanged)

    @replicated  # type: ignore[untyped-decorator]
    def expire(
        self, stamp: float, term: int, lapsed: list[tuple[int, int]], support: list[int], repeats: int
    ) -> Expired | None:
        """Apply a DueExpiry (`FleetState.due_expiry`)."""
        return self._apply(stamp, term, lambda: self.state.expire(lapsed, support, repeats), _unchanged)

    @replicated  # type: ignore[untyped-decorator]
    def propose(self, stamp: float, term: int, text: str, deadline_ms: float) -> ActivationOutcome | None:
        """Begin to prepare a route table, already checked, until `deadline_ms` of service time."""
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
        """Abort the pending route version if it is not decided; None: whichever is pending."""
        return self._apply(stamp, term, lambda: self.state.halt(number), self.state.current_outcome)

    @replicated  # type: ignore[untyped-decorator]
    def vote(
        self, stamp: float, term: int, incarnation: int, number: int, yes: bool, why: str
    ) -> ActivationOutcome | None:
        """A process's vote on the pending route version."""
        act = self.state.routes.vote
        return self._apply(
            stamp, term, lambda: act(incarnation, number, yes, why), self.state.current_outcome
        )

    @replicated  # type: ignore[untyped-decorator]
    def decide(self, stamp: float, term: int) -> bool | None:
        """Advance the log's time: a deadline or a time of activation may be reached by it."""
        return self._apply(stamp, term, lambda: True, _unchanged)

    # The leader's.

    def start_answering(self, term: int) -> None:
        """This instance prepares the answers to commands of this term, and records renewals."""
        with self._lock:
            self._answering_term = term
            self._delta_requests.clear()

    def take_applied_renewals(self) -> list[AppliedRenewal]:
        """The renewals applied in this instance's term since the last call."""
        with self._lock:
            taken, self._applied_renewals = self._applied_renewals, []
            return taken

    def read(self, what: Callable[[FleetState], T]) -> T:
        """The result of `what` on the state as applied here, of which it may keep no part that changes."""
        with self._lock:
            return what(self.state)

    def has_quorum(self) -> bool:
        """Whether this instance is connected to a majority."""
        try:
            return bool(self._syncObj.hasQuorum)
        except RuntimeError:  # pysyncobj's set of connections changed in its thread while it was counted
            return False

    def knows_raft_leader(self) -> bool:
        """Whether Raft has a leader, as far as this instance knows."""
        return self._syncObj._getLeader() is not None

    def leader_address(self) -> str | None:
        """The leader's host:port for HTTP, as far as this instance knows."""
        raft = self._syncObj
        with self._lock:
            known = self.state.term == raft.raftCurrentTerm and raft._getLeader() is not None
            return self.state.leader_address if known else None

    def request_delta(self, incarnation: int) -> None:
        """The next renewal of this record is answered with changes in place of the complete member list."""
        with self._lock:
            self._delta_requests.add(incarnation)

    def members(self, service: str | None = None) -> dict[str, Any]:
        """What GET /fleet/members answers, of one group or of all; the keys are part of its wire form."""
        with self._lock:
            state = self.state
            rows = [
                _member_entry(row, state.service_of(row.incarnation))
                for row in state.records()
                if service in (None, state.service_of(row.incarnation))
            ]
            revision = state.group_revisions().get(service or "", 0)
            return {"rev": revision, "log_ms": state.log_ms, "members": rows}

    # Parts.

    def _apply(self, stamp_ms: float, term: int, act: Callable[[], T], answer: Callable[[T], R]) -> R | None:
        """Apply a command: its change, what becomes due by it, and then its answer."""
        with self._lock:
            before, routes_before = self.state.group_revisions(), self.state.routes.revision
            if not self.state.accept(stamp_ms, term):
                return None
            self._observe_stamp(stamp_ms)
            result = act()
            self.state.settle()
            if routes_before != self.state.routes.revision:
                self._on_change(None)
            elif changed := self._changed_groups(before):
                self._on_change(changed)
            return answer(result)

    def _changed_groups(self, before: dict[str, int]) -> frozenset[str]:
        now = self.state.group_revisions()
        return frozenset(group for group, _ in before.items() ^ now.items())

    def _observe_stamp(self, stamp_ms: float) -> None:
        # Not while a journal is replayed or caught up with: those stamps were made long before.
        raft = self._syncObj
        if raft is not None and raft.isReady() and raft.raftCurrentTerm == self.state.term:
            self._clock.observe(self._monotonic_ms(), stamp_ms, self.state.epoch)

    def _renew(self, renewal: Renewal) -> AppliedRequest:
        row = self.state.renew(
            renewal.incarnation, renewal.seq, renewal.acknowledged_revision, renewal.quota_in_use
        )
        if row is not None:
            self._record_renewal(renewal.incarnation, renewal.seq, renewal.answered_seq)
        takes_delta = renewal.incarnation in self._delta_requests
        self._delta_requests.discard(renewal.incarnation)
        return AppliedRequest(row, renewal.acknowledged_revision, takes_delta)

    def _execute(
        self, command: EnrolMember | RemoveMembers | EndService
    ) -> MemberRecord | Rejected | MembersRemoved:
        try:
            match command:
                case EnrolMember():
                    row = self.state.enrol_in(
                        command.service, command.name, command.address, command.zone, command.start
                    )
                    self._record_renewal(row.incarnation, row.renewal_seq, -1)
                    return row
                case RemoveMembers():
                    return MembersRemoved(self.state.remove(command.name, command.service))
                case EndService():
                    return MembersRemoved(self.state.end_service(command.service))
        except (MemberLimitError, ServiceInUseError) as refusal:
            return Rejected(str(refusal))

    def _record_renewal(self, incarnation: int, seq: int, answered: int) -> None:
        if self._answering_term == self.state.term:
            self._applied_renewals.append(AppliedRenewal(self._monotonic_ms(), incarnation, seq, answered))

    def _grants(self, applied: Iterable[AppliedRequest]) -> list[MemberGrant | None] | None:
        """The processes' grants; None for a process without a record."""
        if self._answering_term != self.state.term:
            return None
        routes = self.state.routes.announcement()
        return [None if each.row is None else self._grant(each.row, each, routes) for each in applied]

    def _outcomes(self, results: list[MemberRecord | Rejected | MembersRemoved]) -> list[Outcome] | None:
        if self._answering_term != self.state.term:
            return None
        routes = self.state.routes.announcement()
        return [
            self._grant(each, AppliedRequest(each), routes) if isinstance(each, MemberRecord) else each
            for each in results
        ]

    def _grant(self, row: MemberRecord, applied: AppliedRequest, routes: dict[str, Any]) -> MemberGrant:
        return MemberGrant(self.state.grant(row, applied.acknowledged_revision, applied.takes_delta), routes)

    def _deserialize(self, data: dict[str, Any]) -> None:
        with self._lock:
            super()._deserialize(data)
        self._on_change(None)


def _member_entry(row: MemberRecord, service: str) -> dict[str, Any]:
    """A member as GET /fleet/members shows it; the keys are part of its wire form."""
    return {
        "name": row.name,
        "address": row.address,
        "zone": row.zone,
        "start": row.start_id,
        "incarnation": row.incarnation,
        "rank": row.rank,
        "enrolled": row.enrolled_revision,
        "share": row.quota,
        "acked": row.acknowledged_revision,
        "elector": row.elector,
        "state": row.state,
        "seq": row.renewal_seq,
        "service": service,
    }


def _unchanged(result: T) -> T:
    return result
