"""Faulty implementations: each replaces one method of the product by one with a mistake that a search has to
find."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

import pytest
from msgspec import UNSET
from msgspec.structs import replace as replace_fields

from loadbalancer.membership.lease_calls import SiblingReport
from loadbalancer.membership.lease_clock import LeaseClock
from loadbalancer.membership.member_lease import FULL_LIST_REVISION, MemberLease
from loadbalancer.membership.member_record import MemberRecord
from loadbalancer.membership.messages import LeaseGrant
from loadbalancer.membership.payload import QuotaStatus
from loadbalancer.membership.quota_ledger import ExternalQuota, QuotaLedger
from loadbalancer.registry.fleet_state import NO_SERVICE, FleetState, superseded_by
from loadbalancer.routing.actions import Action, Store
from loadbalancer.routing.coordinator import ActivationCoordinator
from loadbalancer.routing.participant import RouteParticipant
from loadbalancer.routing.version_copy import CopyStage
from loadbalancer.routing.version_record import PREPARING

Mistake = Callable[[pytest.MonkeyPatch], None]


def vote_before_fsync(patch: pytest.MonkeyPatch) -> None:
    original = RouteParticipant._advance_copy

    def advance_copy(self: RouteParticipant, now: float, number: int, digest: str) -> list[Action]:
        actions = original(self, now, number, digest)
        if self._is_being_prepared(number) and any(isinstance(action, Store) for action in actions):
            actions = [*self._vote(number, self.copies[number]), *actions]
        return actions

    patch.setattr(RouteParticipant, "_advance_copy", advance_copy)


def activation_time_without_lease_term(patch: pytest.MonkeyPatch) -> None:
    original = ActivationCoordinator.apply_due

    def apply_due(self: ActivationCoordinator, log_ms: float, ttl_ms: float, bound_ms: float) -> None:
        original(self, log_ms, 0.0, bound_ms)

    patch.setattr(ActivationCoordinator, "apply_due", apply_due)


def announcement_omits_decision(patch: pytest.MonkeyPatch) -> None:
    original = ActivationCoordinator.announcement

    def announcement_without_decision(self: ActivationCoordinator) -> dict[str, Any]:
        announcement = original(self)
        if announcement["pending"] is not None:
            announcement["pending"] |= {"phase": PREPARING, "at": None}
        return announcement

    patch.setattr(ActivationCoordinator, "announcement", announcement_without_decision)


def sibling_reports_increase_quota(patch: pytest.MonkeyPatch) -> None:
    original = MemberLease.on_sibling_reports

    def on_sibling_reports(self: MemberLease, now: float, reports: Mapping[int, SiblingReport]) -> None:
        original(self, now, reports)
        self._quota = 1.0 / (1 + len(reports)) if self._quota else 0.0

    patch.setattr(MemberLease, "on_sibling_reports", on_sibling_reports)


def incarnation_is_reused(patch: pytest.MonkeyPatch) -> None:
    original = QuotaLedger.enrol

    def enrol(self: QuotaLedger, name: str, address: str, zone: str, start: str) -> MemberRecord:
        for record in self.records_by_incarnation.values():
            if record.address == address and record.start_id != start:
                self.last_incarnation = record.incarnation - 1
        return original(self, name, address, zone, start)

    patch.setattr(QuotaLedger, "enrol", enrol)


def hold_counts_reports_of_any_status(patch: pytest.MonkeyPatch) -> None:
    original = MemberLease._majority_holds_until

    def majority_holds_until(self: MemberLease, reports: Mapping[int, SiblingReport]) -> float:
        return original(
            self, {number: replace(report, status=QuotaStatus.HOLDING) for number, report in reports.items()}
        )

    patch.setattr(MemberLease, "_majority_holds_until", majority_holds_until)


def quota_released_without_majority(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(QuotaLedger, "is_majority_attached", lambda self, attached: True)


def delayed_enrolment_frees_quota(patch: pytest.MonkeyPatch) -> None:
    """An earlier fault of the ledger: the record of a restarted process began with unallocated quota."""
    original = QuotaLedger.enrol

    def enrol(self: QuotaLedger, name: str, address: str, zone: str, start: str) -> MemberRecord:
        known = any(record.start_id == start for record in self.records_by_incarnation.values())
        record = original(self, name, address, zone, start)
        if not known:
            record.quota = 0.0
            self._allocate(record)
        return record

    patch.setattr(QuotaLedger, "enrol", enrol)


def late_participant_ignores_clock_bound(patch: pytest.MonkeyPatch) -> None:
    """An earlier fault of the participant: one that joined after the decision switched even if its service
    time was not accurate enough."""

    def is_ready(self: RouteParticipant, number: int, digest: str) -> bool:
        copy = self.copies.get(number)
        return copy is not None and copy.stage is CopyStage.STORED and copy.digest == digest

    patch.setattr(RouteParticipant, "_is_ready", is_ready)


def external_quota_ignored(patch: pytest.MonkeyPatch) -> None:
    """The quota of members without a service is not counted in a service's sum."""
    original = FleetState._prepared

    def prepared(self: FleetState, service: str) -> QuotaLedger:
        ledger = original(self, service)
        ledger.external = ExternalQuota(0.0, ledger.external.members)
        return ledger

    patch.setattr(FleetState, "_prepared", prepared)


def grant_uses_quota_of_another_group(patch: pytest.MonkeyPatch) -> None:
    """The unallocated quota of a group is calculated from the records of another group."""
    original = FleetState._prepared

    def prepared(self: FleetState, service: str) -> QuotaLedger:
        ledger = original(self, service)
        other = next((group for name, group in self.services.items() if name != service), None)
        if service != NO_SERVICE and other is not None:
            ledger.external = ExternalQuota(
                other.granted_quota() - ledger.granted_quota(), ledger.external.members
            )
        return ledger

    patch.setattr(FleetState, "_prepared", prepared)


def enrolment_removes_record_of_another_group(patch: pytest.MonkeyPatch) -> None:
    """An enrolment with another service removes the earlier record at its address, instead of a renewal."""
    original = FleetState.enrol_in

    def enrol_in(
        self: FleetState, service: str, name: str, address: str, zone: str, start: str
    ) -> MemberRecord:
        record = original(self, service, name, address, zone, start)
        for ended in superseded_by(record, self.records()):
            self.leave(ended)
        return record

    patch.setattr(FleetState, "enrol_in", enrol_in)


def repeated_enrolment_does_not_renew_lease(patch: pytest.MonkeyPatch) -> None:
    """The leader starts a lease only at renewals and the first enrolment, while a node whose renewal was
    rejected enrols again and starts its lease from that."""
    original = LeaseClock.record_renewal

    def record_renewal(self: LeaseClock, now: float, incarnation: int, seq: int, used_seq: int) -> None:
        if used_seq >= 0 or incarnation not in self._leases:
            original(self, now, incarnation, seq, used_seq)

    patch.setattr(LeaseClock, "record_renewal", record_renewal)


def response_is_matched_to_latest_call(patch: pytest.MonkeyPatch) -> None:
    """An earlier fault of the lease client: any response that arrived was used as the response to the latest
    call."""
    original = MemberLease.on_grant

    def on_grant(self: MemberLease, now: float, number: int, grant: LeaseGrant, ttl_ms: float) -> bool:
        latest = number if self._in_flight is None else self._in_flight[0].number
        return original(self, now, latest, grant, ttl_ms)

    patch.setattr(MemberLease, "on_grant", on_grant)


def changes_sent_from_start_of_log(patch: pytest.MonkeyPatch) -> None:
    """The service sends all that its change log has to a process that needs older changes. Harmless to a
    correct node, which detects the gap by `since` and requests the complete list."""
    original = QuotaLedger.grant

    def grant(self: QuotaLedger, record: MemberRecord, acked: int, delta: bool = False) -> LeaseGrant:
        log_floor = self._changes._floor
        if not delta or acked == FULL_LIST_REVISION or acked >= log_floor:
            return original(self, record, acked, delta)
        grant_from_floor = original(self, record, log_floor, delta)
        return (
            grant_from_floor
            if grant_from_floor.since_revision is not UNSET
            else replace_fields(grant_from_floor, since_revision=log_floor, members=())
        )

    patch.setattr(QuotaLedger, "grant", grant)


def changes_merged_over_gap(patch: pytest.MonkeyPatch) -> None:
    """A node merges changes since another revision than its own, and acknowledges the new one."""
    changes_sent_from_start_of_log(patch)
    original = MemberLease._merge_members

    def merge_members(self: MemberLease, grant: LeaseGrant) -> None:
        if grant.since_revision is not UNSET:
            self.revision = grant.since_revision
        original(self, grant)

    patch.setattr(MemberLease, "_merge_members", merge_members)
