"""Model of leases and quotas: nodes with a `MemberLease`, a replicated log with the ledgers, the leader's
`LeaseClock`, and quota reports between siblings.

All times are read from one reference clock; a node's own clock differs from it by a constant skew. Time
advances in steps of `Bounds.step`, and what happens between two steps happens at one moment, in any order.
A step is a quarter of the lease term by default. Of the time limits in the rules, 0.25 and 1 term are at a
step, 0.55 and 0.9 term between two steps.

In a state's key, times are relative to now, call numbers and revisions relative to the latest, and values too
old to matter are left out: the product only compares them, so states that differ by such a shift behave
alike.

Actions without a fault: `renew` (a node's due call is sent, applied and answered at this moment), `hear` (a
node receives a sibling's current report), `expire` (the leader expires the due leases), `tick`. A broken link
is a node that does not renew or does not `hear`, as no action is ever forced. Each of the following actions
uses up one of the model's faults:

    send     a call that does not arrive at this moment. Then `arrive`, `answer` (its response arrives) and
             `timeout` happen in any order, at any time, or never; this covers delayed, lost and reordered
             messages
    repeat   a call arrives, and a duplicate of it stays in flight
    plan     an `expire` that the leader decides now; `apply` applies it later, unless there is a new leader
    crash    the process ends; `start` (no fault) begins another one at the same address; calls that it has
             sent may still arrive
    reject   a due renewal is rejected for its stated time, as the node's estimate of service time is wrong
    older    instead of the response to the call in flight, an earlier response arrives, which belongs to
             another call: of all that were used, the one that granted the largest quota
    lead     a new leader, at which every lease starts again from now
    snapshot the change logs of the member lists begin at the current revision, as at an instance that has
             just loaded a snapshot
    late     a current report that siblings may receive later

Nodes may belong to services (`Bounds.services`). They then enrol by the command that supports groups, and
receive the reports of their own group only.

Omitted, since they can change nothing: a report other than `HOLDING`, unless it replaces a `HOLDING` one;
responses to calls that have timed out; and renewals that are too late for the service to accept. Nodes are
not treated as interchangeable, because the node with the lowest rank decides a tied majority.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from loadbalancer.membership.change_log import ChangeLog
from loadbalancer.membership.lease_calls import RegistryCall, SiblingReport
from loadbalancer.membership.lease_clock import MAX_DELAY_TERM_FRACTION, LeaseClock, _Lease
from loadbalancer.membership.member_lease import HOLD_TERM_FRACTION, MemberLease
from loadbalancer.membership.member_record import MemberRecord
from loadbalancer.membership.messages import LeaseGrant
from loadbalancer.membership.payload import QuotaStatus
from loadbalancer.registry.fleet_results import DueExpiry
from loadbalancer.registry.fleet_state import NO_SERVICE, FleetState
from tests.support.orders.keys import QuotaStateKey
from tests.support.orders.parts import (
    NEVER,
    RNG,
    TTL,
    Bounds,
    DelayedReport,
    Node,
    SentCall,
    Service,
    awaits_response,
    copy_state,
)


class QuotaModel(QuotaStateKey):
    """A state of the model; immutable from outside, as each action works on a `_copy`."""

    __slots__ = (
        "assigned_incarnations",
        "bounds",
        "delayed_expiry",
        "faults",
        "nodes",
        "now",
        "service",
        "violation",
    )

    def __init__(self, bounds: Bounds, faults: int) -> None:
        self.bounds, self.faults = bounds, faults
        self.now = 100_000.0
        state = FleetState()
        state.start_term(1, "", 0, TTL, 0.0)
        self.service = Service(state, LeaseClock(TTL))
        self.delayed_expiry: DueExpiry | None = None
        # The first incarnation assigned to each start of a process.
        self.assigned_incarnations: tuple[tuple[str, int], ...] = ()
        self.violation: str | None = None
        self.nodes = tuple(
            self._start(index, Node(f"n{index}", skew)) for index, skew in enumerate(bounds.skews)
        )

    # ---------------------------------------------------------------------- transitions

    def transitions(self) -> Iterator[tuple[str, QuotaModel]]:
        for index, node in enumerate(self.nodes):
            if node.lease is not None:
                yield from self._node_transitions(index, node, node.lease)
            elif node.starts < 3:
                yield self._transition(f"start {node.name}", 0, lambda m, index=index: m._restart(index))
            yield from self._arrival_transitions(index, node)
        yield from self._leader_transitions()
        yield self._transition("tick", 0, lambda m: m._tick())

    def _node_transitions(
        self, index: int, node: Node, lease: MemberLease
    ) -> Iterator[tuple[str, QuotaModel]]:
        node_now = self.now + node.skew
        if lease.next_call_at() <= node_now:
            yield self._transition(f"renew {node.name}", 0, lambda m: m._renew(index))
            if self._may_inject("send", node) and len(node.calls) < self.bounds.max_calls_in_flight:
                yield self._transition(f"send {node.name}", 1, lambda m: m._send(index))
            if self._may_inject("reject", node) and lease.incarnation is not None and not lease._enrols_again:
                yield self._transition(f"reject {node.name}", 1, lambda m: m._reject(index))
        elif (
            lease._in_flight is not None and node_now >= lease._in_flight[1] + lease._in_flight[0].timeout_ms
        ):
            yield self._transition(f"timeout {node.name}", 0, lambda m: m._timeout(index))
        if (
            lease._in_flight is not None
            and node.largest_grant is not None
            and self._may_inject("older", node)
        ):
            yield self._transition(f"older {node.name}", 1, lambda m: m._deliver_older_grant(index))
        if self._may_inject("crash", node):
            yield self._transition(f"crash {node.name}", 1, lambda m: m._crash(index))
        if not self.bounds.siblings:
            return
        for other in self.nodes:
            if other is node:
                continue
            for incarnation, report in self._current_report(node, other):
                name = f"hear {node.name} {other.name}"
                yield self._transition(
                    name, 0, lambda m, i=incarnation, x=report: m._receive_report(index, i, x)
                )
            for incarnation, report in self._delayed_reports(node, other):
                name = f"hear {node.name} {other.name} of {node_now - report.made_at_ms:g} ms ago"
                yield self._transition(
                    name, 0, lambda m, i=incarnation, x=report: m._receive_report(index, i, x)
                )
        if (
            self._may_inject("late", node)
            and lease.incarnation
            and lease.quota_status(node_now) is QuotaStatus.HOLDING
        ):
            report = DelayedReport(lease.incarnation, self.now, node.service)
            if report not in node.delayed_reports:
                yield self._transition(f"late {node.name}", 1, lambda m: m._delay_report(index, report))

    def _arrival_transitions(self, index: int, node: Node) -> Iterator[tuple[str, QuotaModel]]:
        for sent in node.calls:
            name = f"{node.name} {sent.call.path} {sent.call.number}"
            yield self._transition(f"arrive {name}", 0, lambda m, s=sent: m._arrive(index, s, False))
            if self._may_inject("repeat", node):
                yield self._transition(f"repeat {name}", 1, lambda m, s=sent: m._arrive(index, s, True))
        for response in node.responses:
            yield self._transition(
                f"answer {node.name} {response[0]}", 0, lambda m, a=response: m._deliver_response(index, a)
            )

    def _leader_transitions(self) -> Iterator[tuple[str, QuotaModel]]:
        expired, attached = self.service.clock.expired_and_attached(self.now)
        due = self.service.state.due_expiry(expired, attached)
        if due is not None:
            yield self._transition("expire", 0, lambda m: m._expire(due))
            if self.delayed_expiry is None and self._may_inject("plan"):
                yield self._transition("plan", 1, lambda m: setattr(m, "delayed_expiry", due))
        if self.delayed_expiry is not None:
            yield self._transition("apply", 0, lambda m: m._apply_delayed_expiry())
        if self._may_inject("lead"):
            yield self._transition("lead", 1, lambda m: m._elect_leader())
        if self._may_inject("snapshot"):
            yield self._transition("snapshot", 1, lambda m: m._snapshot())

    def _may_inject(self, kind: str, node: Node | None = None) -> bool:
        if node is not None and self.bounds.faulty is not None and node.name not in self.bounds.faulty:
            return False
        return self.faults > 0 and kind in self.bounds.kinds

    def _transition(self, name: str, cost: int, act: Any) -> tuple[str, Any]:
        successor = self._copy()
        successor.faults -= cost
        act(successor)
        return name, successor

    def _copy(self) -> QuotaModel:
        new: QuotaModel = object.__new__(type(self))
        new.bounds, new.faults, new.now, new.service = self.bounds, self.faults, self.now, self.service
        new.delayed_expiry, new.assigned_incarnations, new.violation, new.nodes = (
            self.delayed_expiry,
            self.assigned_incarnations,
            self.violation,
            self.nodes,
        )
        return new

    def _copy_node(self, index: int) -> Node:
        """Copy a node and its lease into this state, since actions change them in place."""
        node = self.nodes[index].copy()
        self.nodes = (*self.nodes[:index], node, *self.nodes[index + 1 :])
        return node

    def _service_ms(self) -> float:
        """Return the service time."""
        return self.now

    def _begin_command(self) -> FleetState:
        """Copy the replicated state and the lease clock into this state, to apply one command."""
        state, clock = self.service
        leases = LeaseClock(TTL)
        leases._leases = {
            number: _Lease(
                lease.last_renewal_ms,
                lease.seq,
                dict(lease.applied_at_ms),
                lease.attached_since_ms,
                lease.attached_until_ms,
            )
            for number, lease in clock._leases.items()
        }
        self.service = Service(copy_state(state), leases)
        self.service.state.accept(self._service_ms(), 1)
        return self.service.state

    # ------------------------------------------------------------------ calls

    def _start(self, index: int, node: Node) -> Node:
        starts = node.starts + 1
        service = self.bounds.service(index, starts)
        lease = MemberLease(node.name, f"a-{node.name}", "", f"{node.name}.{starts}", RNG, service)
        return Node(
            node.name, node.skew, lease, starts, calls=node.calls, delayed_reports=node.delayed_reports,
            service=service,
        )  # fmt: skip

    def _restart(self, index: int) -> None:
        self.nodes = (*self.nodes[:index], self._start(index, self.nodes[index]), *self.nodes[index + 1 :])

    def _crash(self, index: int) -> None:
        node = self._copy_node(index)
        node.lease, node.responses, node.reports = None, (), {}

    def _begin_call(self, node: Node) -> SentCall:
        assert node.lease is not None
        service_ms = None if node.lease._last_response_ms == NEVER else self._service_ms()
        call = node.lease.tick(self.now + node.skew, service_ms)
        assert call is not None
        return SentCall(call, self.now, node.service)

    def _send(self, index: int) -> None:
        node = self._copy_node(index)
        node.calls = (*node.calls, self._begin_call(node))

    def _renew(self, index: int) -> None:
        node = self._copy_node(index)
        sent = self._begin_call(node)
        self._use_response(node, sent.call.number, self._serve(node, sent.call))

    def _reject(self, index: int) -> None:
        node = self._copy_node(index)
        sent = self._begin_call(node)
        assert node.lease is not None
        node.lease.on_renewal_rejected(self.now + node.skew, sent.call.number)

    def _deliver_older_grant(self, index: int) -> None:
        """Treat the response as the lease client does: it states the number of another call, so the call in
        flight fails."""
        node = self._copy_node(index)
        assert node.lease is not None
        assert node.lease._in_flight is not None
        assert node.largest_grant is not None
        node_now, number = self.now + node.skew, node.lease._in_flight[0].number
        if not node.lease.on_grant(node_now, *node.largest_grant, TTL):
            node.lease.on_failure(node_now, number)
        node.responses = ()

    def _arrive(self, index: int, sent: SentCall, repeated: bool) -> None:
        node = self._copy_node(index)
        if not repeated:
            node.calls = tuple(other for other in node.calls if other is not sent)
        response = (sent.call.number, self._serve(node, sent.call))
        if awaits_response(node, sent.call.number):
            node.responses = (*node.responses, response)

    def _serve(self, node: Node, call: RegistryCall) -> LeaseGrant | None:
        """Apply the call at the list service, and start the lease from now."""
        state, body = self._begin_command(), call.body
        if call.path == "enrol":
            record = self._enrol(state, body)
            self._record_assignment(record)
            self.service.clock.record_renewal(self.now, record.incarnation, record.renewal_seq, -1)
        else:
            record = state.renew(body["incarnation"], body["seq"], body["acked"], body["using"])
            if record is not None:
                self.service.clock.record_renewal(self.now, record.incarnation, body["seq"], body["answered"])
        state.settle()
        self.service.clock.retain({record.incarnation for record in state.records()})
        return None if record is None else self._grant(state, record, call)

    def _enrol(self, state: FleetState, body: dict[str, Any]) -> MemberRecord:
        if self.bounds.services:
            return state.enrol_in(**({"service": NO_SERVICE} | body))
        record = state.enrol(**body)
        assert record is not None
        return record

    def _grant(self, state: FleetState, record: MemberRecord, call: RegistryCall) -> LeaseGrant:
        return state.grant(record, call.body.get("acked", -1), call.body.get("delta", False))

    def _record_assignment(self, record: MemberRecord) -> None:
        if all(start != record.start_id for start, _ in self.assigned_incarnations):
            if any(number >= record.incarnation for _, number in self.assigned_incarnations):
                self.violation = (
                    f"incarnation {record.incarnation} given to {record.start_id} "
                    f"after {self.assigned_incarnations}"
                )
            self.assigned_incarnations = (*self.assigned_incarnations, (record.start_id, record.incarnation))

    def _deliver_response(self, index: int, response: tuple[int, LeaseGrant | None]) -> None:
        node = self._copy_node(index)
        node.responses = tuple(other for other in node.responses if other is not response)
        self._use_response(node, *response)

    def _use_response(self, node: Node, number: int, grant: LeaseGrant | None) -> None:
        assert node.lease is not None
        assert node.lease._in_flight is not None
        node_now, sent = self.now + node.skew, node.lease._in_flight[1]
        if grant is None:
            node.lease.on_failure(node_now, number, unknown=True)
            self._on_unregistered(node, node_now)
        elif node.lease.on_grant(node_now, number, grant, TTL):
            self._on_grant_used(node, sent, grant)
            if "older" in self.bounds.kinds and (
                node.largest_grant is None or grant.quota > node.largest_grant[1].quota
            ):
                node.largest_grant = (number, grant)
        node.responses = tuple(response for response in node.responses if awaits_response(node, response[0]))

    def _on_grant_used(self, node: Node, sent: float, grant: LeaseGrant) -> None:
        """Hook: a response was used; `sent` is when its call was sent, by the node's clock."""

    def _on_unregistered(self, node: Node, node_now: float) -> None:
        """Hook: the list service has no record of the node."""

    def _timeout(self, index: int) -> None:
        node = self._copy_node(index)
        assert node.lease is not None
        assert node.lease._in_flight is not None
        node.lease.on_failure(self.now + node.skew, node.lease._in_flight[0].number)
        node.responses = ()

    # ----------------------------------------------------------------- siblings

    def _current_report(self, node: Node, other: Node) -> list[tuple[int, SiblingReport]]:
        """The other node's current report, by this node's clock, if it can affect this node's quota."""
        lease = other.lease
        if lease is None or lease.incarnation is None or other.service != node.service:
            return []
        report = SiblingReport(lease.quota_status(self.now + other.skew), self.now + node.skew)
        known = node.reports.get(lease.incarnation)
        if known is not None:
            is_relevant = known.made_at_ms < report.made_at_ms or known.status is not report.status
        else:
            is_relevant = self.bounds.all_reports or report.status is QuotaStatus.HOLDING
        return [(lease.incarnation, report)] if is_relevant else []

    def _delayed_reports(self, node: Node, other: Node) -> list[tuple[int, SiblingReport]]:
        delayed = []
        for number, made_at_ms, service in other.delayed_reports:
            known = node.reports.get(number)
            if service != node.service:
                continue
            if made_at_ms < self.now and (known is None or known.made_at_ms < made_at_ms + node.skew):
                delayed.append((number, SiblingReport(QuotaStatus.HOLDING, made_at_ms + node.skew)))
        return delayed

    def _receive_report(self, index: int, incarnation: int, report: SiblingReport) -> None:
        node = self._copy_node(index)
        assert node.lease is not None
        node.reports = {**node.reports, incarnation: report}
        node.lease.on_sibling_reports(self.now + node.skew, node.reports)
        if report.status is not QuotaStatus.HOLDING and not self.bounds.all_reports:
            del node.reports[
                incarnation
            ]  # it has no later effect, so the state is as if it had not been received

    def _delay_report(self, index: int, report: DelayedReport) -> None:
        node = self._copy_node(index)
        node.delayed_reports = (*node.delayed_reports, report)

    # -------------------------------------------------------------- leader and time

    def _expire(self, due: DueExpiry) -> None:
        state = self._begin_command()
        state.expire(due.expired, due.attached, due.repeated_enrolments)
        state.settle()
        self.service.clock.retain({record.incarnation for record in state.records()})

    def _apply_delayed_expiry(self) -> None:
        assert self.delayed_expiry is not None
        self._expire(self.delayed_expiry)
        self.delayed_expiry = None

    def _elect_leader(self) -> None:
        state = self._begin_command()
        self.service.clock.begin_term(
            self.now, [(record.incarnation, record.renewal_seq) for record in state.records()]
        )
        self.delayed_expiry = None  # the log rejects commands of the previous leader

    def _snapshot(self) -> None:
        state = self._begin_command()
        for ledger in (state.ledger, *state.services.values()):
            ledger._changes = ChangeLog(ledger.revision)

    def _tick(self) -> None:
        self.now += self.bounds.step
        for index in range(len(self.nodes)):
            node = self._copy_node(index)
            node_now = self.now + node.skew
            oldest_ms = self.now - MAX_DELAY_TERM_FRACTION * TTL
            node.calls = tuple(
                sent for sent in node.calls if sent.call.body.get("sent") is None or sent.at_ms >= oldest_ms
            )
            node.reports = {
                number: report
                for number, report in node.reports.items()
                if node_now < report.made_at_ms + HOLD_TERM_FRACTION * TTL
            }
            node.delayed_reports = tuple(
                report
                for report in node.delayed_reports
                if self.now < report.at_ms + HOLD_TERM_FRACTION * TTL
            )
            if node.lease is not None:
                node.lease.quota_in_force(node_now)

    # -------------------------------------------------------------------- observations

    def quotas(self) -> list[float]:
        return [
            0.0 if node.lease is None else node.lease.quota_in_force(self.now + node.skew)
            for node in self.nodes
        ]

    # -------------------------------------------------------------- runs without faults

    def run_without_faults(self, steps: int) -> QuotaModel:
        """Continue without faults: at every step all nodes start and renew, and due leases expire."""
        model = self._copy()
        model.faults, model.delayed_expiry = 0, None
        for _ in range(steps):
            model._tick()
            model._step_without_faults()
        return model

    def _step_without_faults(self) -> None:
        for index, node in enumerate(self.nodes):
            if node.lease is None:
                self._restart(index)
            elif node.lease._in_flight is not None:
                self._timeout(index)
        for _ in range(3):
            for index, node in enumerate(self.nodes):
                if node.lease is not None and node.lease.next_call_at() <= self.now + node.skew:
                    self._renew(index)
        expired, attached = self.service.clock.expired_and_attached(self.now)
        if expired:
            self._expire(DueExpiry(expired, attached, self.service.state.repeated_enrolments))
