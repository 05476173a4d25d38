"""State keys of the model of leases and quotas; `shares` describes what they leave out."""

from __future__ import annotations

from operator import itemgetter
from typing import Any

from msgspec import UNSET

from loadbalancer.membership.lease_calls import RegistryCall
from loadbalancer.membership.lease_clock import ATTACHED_TERM_FRACTION
from loadbalancer.membership.member_lease import FULL_LIST_REVISION
from loadbalancer.membership.member_record import MemberRecord
from loadbalancer.membership.messages import LeaseGrant
from loadbalancer.membership.quota_ledger import QuotaLedger
from loadbalancer.registry.fleet_results import DueExpiry
from loadbalancer.registry.fleet_state import NO_SERVICE
from tests.support.orders.parts import TTL, Bounds, Node, Service, if_positive, members_key

MAX_REJECTIONS = 3  # further rejections do not change the backoff


class QuotaStateKey:
    """Base class of the models: computes the state key."""

    __slots__ = ()
    now: float
    faults: int
    bounds: Bounds
    nodes: tuple[Node, ...]
    service: Service
    plan: DueExpiry | None
    violation: str | None

    def key(self) -> tuple[Any, ...]:
        state = self.service.state
        numbers: dict[int | None, int] = {}
        usable: dict[int | None, int] = {}  # no further renewal states an earlier response
        for node in self.nodes:
            if node.lease is not None:
                numbers[node.lease.incarnation] = node.lease._last_number
                if not node.calls:
                    usable[node.lease.incarnation] = node.lease._last_used_number
        plan = None
        if self.plan is not None:
            lapsed, support, repeats = self.plan.expired, self.plan.attached, self.plan.repeated_enrolments
            seqs = tuple((number, numbers.get(number, 0) - seq) for number, seq in lapsed)
            plan = (seqs, tuple(support), repeats == state.repeated_enrolments)
        groups = [(NO_SERVICE, state.ledger), *sorted(state.services.items(), key=itemgetter(0))]
        revisions = {service: ledger.revision for service, ledger in groups}
        return (
            self.faults,
            tuple(self._node_key(node, revisions) for node in self.nodes),
            tuple(
                (
                    service,
                    self._changes_key(service, ledger),
                    tuple(
                        self._record_key(
                            record,
                            ledger.revision,
                            numbers.get(record.incarnation, 0),
                            usable.get(record.incarnation, -1),
                        )
                        for record in ledger.records()
                    ),
                )
                for service, ledger in groups
            ),
            plan,
            self.violation,
        )

    def _changes_key(self, service: str, ledger: QuotaLedger) -> tuple[Any, ...]:
        """Key of the change log, as far back as a renewal may still refer to: its begin, and each member's
        last change."""
        revisions = [ledger.revision]
        for node in self.nodes:
            lease = node.lease
            if (
                lease is not None
                and node.service == service
                and lease.incarnation in ledger.records_by_incarnation
            ):
                revisions.append(lease.revision)
            revisions += [
                sent.call.body["acked"]
                for sent in node.calls
                if sent.service == service
                and sent.call.body.get("incarnation") in ledger.records_by_incarnation
            ]
        since = max(ledger._changes._floor, min(at for at in revisions if at != FULL_LIST_REVISION))
        changed = {number: at for at, number in ledger._changes._changes if at > since}
        return (
            ledger.revision - since,
            tuple(sorted((ledger.revision - at, n) for n, at in changed.items())),
        )

    def _node_key(self, node: Node, revisions: dict[str, int]) -> tuple[Any, ...]:
        if node.cached[:2] != (self.now, revisions):
            node.cached = (self.now, revisions, self._build_node_key(node, revisions))
        node_key: tuple[Any, ...] = node.cached[2]
        return node_key

    def _build_node_key(self, node: Node, revisions: dict[str, int]) -> tuple[Any, ...]:
        lease, node_now = node.lease, self.now + node.skew
        revision = revisions.get(node.service, 0)
        base = 0 if lease is None else lease._last_number
        calls = tuple(
            (
                sent.call.path,
                base - sent.call.number,
                self.now - sent.at_ms,
                *self._call_key(sent.call, base, revisions.get(sent.service, 0)),
            )
            for sent in node.calls
        )
        delayed_reports = tuple(
            (report.incarnation, self.now - report.at_ms) for report in node.delayed_reports
        )
        if lease is None:
            return (node.starts, calls, delayed_reports)
        responses = tuple(
            (base - number, None if grant is None else self._grant_key(grant, revision))
            for number, grant in node.responses
        )
        in_flight = lease._in_flight
        return (
            node.starts,
            calls,
            delayed_reports,
            responses,
            tuple(
                sorted(
                    (number, node_now - report.made_at_ms, report.status)
                    for number, report in node.reports.items()
                )
            ),
            lease.incarnation,
            revision - lease.revision,
            lease.elector,
            round(lease._quota, 6),
            if_positive(lease.lease_end_ms - node_now),
            if_positive(lease._quota_end_ms - node_now),
            if_positive(lease._last_response_ms + ATTACHED_TERM_FRACTION * TTL - node_now),
            base - lease._last_used_number,
            None
            if in_flight is None
            else (in_flight[0].path, base - in_flight[0].number, node_now - in_flight[1]),
            max(0.0, lease._next_call_ms - node_now),
            lease._needs_full_list,
            lease._enrols_again,
            None if node.largest_grant is None else round(node.largest_grant[1].quota, 6),
            min(lease._rejections, MAX_REJECTIONS),
            members_key(lease.members),
        )

    def _call_key(self, call: RegistryCall, base: int, revision: int) -> tuple[Any, ...]:
        body = call.body
        if call.path != "renew":
            return (call.path, body.get("start"), body.get("incarnation"))
        return (
            body["incarnation"],
            base - body["answered"],
            None if body["acked"] == FULL_LIST_REVISION else revision - body["acked"],
            body["delta"],
            round(body["using"], 6),
            body["sent"] is None,
        )

    def _grant_key(self, grant: LeaseGrant, revision: int) -> tuple[Any, ...]:
        listed = () if grant.members is UNSET else grant.members
        members = tuple(sorted((record.incarnation, record.rank, record.state) for record in listed))
        since = None if grant.since_revision is UNSET else revision - grant.since_revision
        return (
            grant.incarnation,
            revision - grant.revision,
            round(grant.quota, 6),
            grant.elector,
            members,
            since,
            grant.removed,
        )

    def _record_key(self, record: MemberRecord, revision: int, base: int, usable: int) -> tuple[Any, ...]:
        lease = self.service.clock._leases.get(record.incarnation)
        lease_key = None
        if lease is not None:
            attached = lease.attached_since_ms is not None and self.now < lease.attached_until_ms
            applied = tuple(
                (base - seq, self.now - at)
                for seq, at in lease.applied_at_ms.items()
                if seq >= usable and self.now < at + ATTACHED_TERM_FRACTION * TTL
            )
            lease_key = (
                min(self.now - lease.last_renewal_ms, TTL + self.bounds.step),
                base - lease.seq,
                (min(self.now - lease.attached_since_ms, TTL), lease.attached_until_ms - self.now)
                if attached
                else None,
                applied,
            )
        return (
            record.incarnation,
            record.rank,
            record.start_id,
            revision - record.enrolled_revision,
            round(record.quota, 6),
            revision - record.acknowledged_revision,
            record.elector,
            record.state,
            base - record.renewal_seq,
            lease_key,
        )
