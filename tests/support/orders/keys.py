"""What makes two worlds of leases and shares the same state (the rules are in `shares`)."""

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
from tests.support.orders.parts import TTL, Bounds, Node, Service, members_key, past

MOST_REJECTIONS = 3  # of more the pause is the same


class Keyed:
    """A world's part that tells its state."""

    __slots__ = ()
    now: float
    faults: int
    bounds: Bounds
    nodes: tuple[Node, ...]
    service: Service
    plan: DueExpiry | None
    broken: str | None

    def key(self) -> tuple[Any, ...]:
        state = self.service.state
        numbers: dict[int | None, int] = {}
        usable: dict[int | None, int] = {}  # no renewal names an answer before this one
        for node in self.nodes:
            if node.core is not None:
                numbers[node.core.incarnation] = node.core._last_number
                if not node.calls:
                    usable[node.core.incarnation] = node.core._last_used_number
        plan = None
        if self.plan is not None:
            lapsed, support, repeats = self.plan.lapsed, self.plan.support, self.plan.repeated_enrolments
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
                        self._row_key(
                            row,
                            ledger.revision,
                            numbers.get(row.incarnation, 0),
                            usable.get(row.incarnation, -1),
                        )
                        for row in ledger.records()
                    ),
                )
                for service, ledger in groups
            ),
            plan,
            self.broken,
        )

    def _changes_key(self, service: str, ledger: QuotaLedger) -> tuple[Any, ...]:
        """The change log as far back as a renewal may yet name: where it begins, and the last change of each
        member."""
        named = [ledger.revision]
        for node in self.nodes:
            core = node.core
            if (
                core is not None
                and node.service == service
                and core.incarnation in ledger.records_by_incarnation
            ):
                named.append(core.revision)
            named += [
                sent.call.body["acked"]
                for sent in node.calls
                if sent.service == service
                and sent.call.body.get("incarnation") in ledger.records_by_incarnation
            ]
        since = max(ledger._changes._floor, min(at for at in named if at != FULL_LIST_REVISION))
        changed = {number: at for at, number in ledger._changes._changes if at > since}
        return (
            ledger.revision - since,
            tuple(sorted((ledger.revision - at, n) for n, at in changed.items())),
        )

    def _node_key(self, node: Node, revisions: dict[str, int]) -> tuple[Any, ...]:
        if node.cached[:2] != (self.now, revisions):
            node.cached = (self.now, revisions, self._made_key(node, revisions))
        made: tuple[Any, ...] = node.cached[2]
        return made

    def _made_key(self, node: Node, revisions: dict[str, int]) -> tuple[Any, ...]:
        core, own = node.core, self.now + node.skew
        revision = revisions.get(node.service, 0)
        base = 0 if core is None else core._last_number
        calls = tuple(
            (
                sent.call.path,
                base - sent.call.number,
                self.now - sent.at,
                *self._body_key(sent.call, base, revisions.get(sent.service, 0)),
            )
            for sent in node.calls
        )
        words = tuple((word.incarnation, self.now - word.at) for word in node.words)
        if core is None:
            return (node.starts, calls, words)
        answers = tuple(
            (base - number, None if told is None else self._told_key(told, revision))
            for number, told in node.answers
        )
        out = core._in_flight
        return (
            node.starts,
            calls,
            words,
            answers,
            tuple(sorted((number, own - word.made_at_ms, word.status) for number, word in node.said.items())),
            core.incarnation,
            revision - core.revision,
            core.elector,
            round(core._quota, 6),
            past(core.lease_end_ms - own),
            past(core._quota_end_ms - own),
            past(core._last_response_ms + ATTACHED_TERM_FRACTION * TTL - own),
            base - core._last_used_number,
            None if out is None else (out[0].path, base - out[0].number, own - out[1]),
            max(0.0, core._next_call_ms - own),
            core._needs_full_list,
            core._enrols_again,
            None if node.largest is None else round(node.largest[1].quota, 6),
            min(core._rejections, MOST_REJECTIONS),
            members_key(core.members),
        )

    def _body_key(self, call: RegistryCall, base: int, revision: int) -> tuple[Any, ...]:
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

    def _told_key(self, told: LeaseGrant, revision: int) -> tuple[Any, ...]:
        rows = () if told.members is UNSET else told.members
        members = tuple(sorted((row.incarnation, row.rank, row.state) for row in rows))
        since = None if told.since_revision is UNSET else revision - told.since_revision
        return (
            told.incarnation,
            revision - told.revision,
            round(told.quota, 6),
            told.elector,
            members,
            since,
            told.removed,
        )

    def _row_key(self, row: MemberRecord, revision: int, base: int, usable: int) -> tuple[Any, ...]:
        lease = self.service.clock._leases.get(row.incarnation)
        told = None
        if lease is not None:
            attached = lease.attached_since_ms is not None and self.now < lease.attached_until_ms
            applied = tuple(
                (base - seq, self.now - at)
                for seq, at in lease.applied_at_ms.items()
                if seq >= usable and self.now < at + ATTACHED_TERM_FRACTION * TTL
            )
            told = (
                min(self.now - lease.last_renewal_ms, TTL + self.bounds.step),
                base - lease.seq,
                (min(self.now - lease.attached_since_ms, TTL), lease.attached_until_ms - self.now)
                if attached
                else None,
                applied,
            )
        return (
            row.incarnation,
            row.rank,
            row.start_id,
            revision - row.enrolled_revision,
            round(row.quota, 6),
            revision - row.acknowledged_revision,
            row.elector,
            row.state,
            base - row.renewal_seq,
            told,
        )
