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
    delayed_expiry: DueExpiry | None
    violation: str | None

    def key(self) -> tuple[Any, ...]:
        state = self.service.state
        last_numbers: dict[int | None, int] = {}  # of the latest call, by incarnation
        # By incarnation, the call of the last used response; no further renewal states an earlier one.
        last_used_numbers: dict[int | None, int] = {}
        for node in self.nodes:
            if node.lease is not None:
                last_numbers[node.lease.incarnation] = node.lease._last_number
                if not node.calls:
                    last_used_numbers[node.lease.incarnation] = node.lease._last_used_number
        expiry = None
        if self.delayed_expiry is not None:
            expired, attached, repeated_enrolments = (
                self.delayed_expiry.expired,
                self.delayed_expiry.attached,
                self.delayed_expiry.repeated_enrolments,
            )
            seqs = tuple((number, last_numbers.get(number, 0) - seq) for number, seq in expired)
            expiry = (seqs, tuple(attached), repeated_enrolments == state.repeated_enrolments)
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
                            last_numbers.get(record.incarnation, 0),
                            last_used_numbers.get(record.incarnation, -1),
                        )
                        for record in ledger.records()
                    ),
                )
                for service, ledger in groups
            ),
            expiry,
            self.violation,
        )

    def _changes_key(self, service: str, ledger: QuotaLedger) -> tuple[Any, ...]:
        """Return the key of the change log: the oldest revision that a renewal may still acknowledge, and the
        last change of each member since then."""
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
        since = max(
            ledger._changes._floor, min(revision for revision in revisions if revision != FULL_LIST_REVISION)
        )
        changed = {number: revision for revision, number in ledger._changes._changes if revision > since}
        return (
            ledger.revision - since,
            tuple(sorted((ledger.revision - revision, number) for number, revision in changed.items())),
        )

    def _node_key(self, node: Node, revisions: dict[str, int]) -> tuple[Any, ...]:
        if node.cached_key[:2] != (self.now, revisions):
            node.cached_key = (self.now, revisions, self._build_node_key(node, revisions))
        node_key: tuple[Any, ...] = node.cached_key[2]
        return node_key

    def _build_node_key(self, node: Node, revisions: dict[str, int]) -> tuple[Any, ...]:
        lease, node_now = node.lease, self.now + node.skew
        revision = revisions.get(node.service, 0)
        last_number = 0 if lease is None else lease._last_number
        calls = tuple(
            (
                sent.call.path,
                last_number - sent.call.number,
                self.now - sent.at_ms,
                *self._call_key(sent.call, last_number, revisions.get(sent.service, 0)),
            )
            for sent in node.calls
        )
        delayed_reports = tuple(
            (report.incarnation, self.now - report.at_ms) for report in node.delayed_reports
        )
        if lease is None:
            return (node.starts, calls, delayed_reports)
        responses = tuple(
            (last_number - number, None if grant is None else self._grant_key(grant, revision))
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
            last_number - lease._last_used_number,
            None
            if in_flight is None
            else (in_flight[0].path, last_number - in_flight[0].number, node_now - in_flight[1]),
            max(0.0, lease._next_call_ms - node_now),
            lease._needs_full_list,
            lease._enrols_again,
            None if node.largest_grant is None else round(node.largest_grant[1].quota, 6),
            min(lease._rejections, MAX_REJECTIONS),
            members_key(lease.members),
        )

    def _call_key(self, call: RegistryCall, last_number: int, revision: int) -> tuple[Any, ...]:
        body = call.body
        if call.path != "renew":
            return (call.path, body.get("start"), body.get("incarnation"))
        return (
            body["incarnation"],
            last_number - body["answered"],
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

    def _record_key(
        self, record: MemberRecord, revision: int, last_number: int, last_used_number: int
    ) -> tuple[Any, ...]:
        lease = self.service.clock._leases.get(record.incarnation)
        lease_key = None
        if lease is not None:
            attached = lease.attached_since_ms is not None and self.now < lease.attached_until_ms
            applied = tuple(
                (last_number - seq, self.now - applied_ms)
                for seq, applied_ms in lease.applied_at_ms.items()
                if seq >= last_used_number and self.now < applied_ms + ATTACHED_TERM_FRACTION * TTL
            )
            lease_key = (
                min(self.now - lease.last_renewal_ms, TTL + self.bounds.step),
                last_number - lease.seq,
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
            last_number - record.renewal_seq,
            lease_key,
        )
