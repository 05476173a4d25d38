"""Wrong cores: each replaces one method of a core by one with a mistake, which a search has to find."""

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
    right = RouteParticipant._advance_copy

    def bring(self: RouteParticipant, now: float, number: int, its_digest: str) -> list[Action]:
        actions = right(self, now, number, its_digest)
        if self._is_being_prepared(number) and any(isinstance(action, Store) for action in actions):
            actions = [*self._vote(number, self.copies[number]), *actions]
        return actions

    patch.setattr(RouteParticipant, "_advance_copy", bring)


def moment_without_the_term(patch: pytest.MonkeyPatch) -> None:
    right = ActivationCoordinator.apply_due

    def settle(self: ActivationCoordinator, log_ms: float, ttl_ms: float, bound_ms: float) -> None:
        right(self, log_ms, 0.0, bound_ms)

    patch.setattr(ActivationCoordinator, "apply_due", settle)


def answer_omits_the_decision(patch: pytest.MonkeyPatch) -> None:
    right = ActivationCoordinator.announcement

    def answer(self: ActivationCoordinator) -> dict[str, Any]:
        told = right(self)
        if told["pending"] is not None:
            told["pending"] |= {"phase": PREPARING, "at": None}
        return told

    patch.setattr(ActivationCoordinator, "announcement", answer)


def share_grows_by_hearing(patch: pytest.MonkeyPatch) -> None:
    right = MemberLease.on_sibling_reports

    def heard(self: MemberLease, now: float, words: Mapping[int, SiblingReport]) -> None:
        right(self, now, words)
        self._quota = 1.0 / (1 + len(words)) if self._quota else 0.0

    patch.setattr(MemberLease, "on_sibling_reports", heard)


def incarnation_does_not_rise(patch: pytest.MonkeyPatch) -> None:
    right = QuotaLedger.enrol

    def enrol(self: QuotaLedger, name: str, address: str, zone: str, start: str) -> MemberRecord:
        for row in self.records_by_incarnation.values():
            if row.address == address and row.start_id != start:
                self.last_incarnation = row.incarnation - 1
        return right(self, name, address, zone, start)

    patch.setattr(QuotaLedger, "enrol", enrol)


def hold_rests_on_any_word(patch: pytest.MonkeyPatch) -> None:
    right = MemberLease._majority_holds_until

    def held_until(self: MemberLease, words: Mapping[int, SiblingReport]) -> float:
        return right(
            self, {number: replace(word, status=QuotaStatus.HOLDING) for number, word in words.items()}
        )

    patch.setattr(MemberLease, "_majority_holds_until", held_until)


def row_given_away_without_a_majority(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(QuotaLedger, "is_majority_attached", lambda self, support: True)


def late_enrolment_frees_a_share(patch: pytest.MonkeyPatch) -> None:
    """As the ledger was until a search found it: the row of a restarted process began with what was free."""
    right = QuotaLedger.enrol

    def enrol(self: QuotaLedger, name: str, address: str, zone: str, start: str) -> MemberRecord:
        known = any(row.start_id == start for row in self.records_by_incarnation.values())
        row = right(self, name, address, zone, start)
        if not known:
            row.quota = 0.0
            self._allocate(row)
        return row

    patch.setattr(QuotaLedger, "enrol", enrol)


def late_follower_knows_the_time_loosely(patch: pytest.MonkeyPatch) -> None:
    """As the follower was until a search found it: one that came after the decision switched whatever it knew
    of service time."""

    def ready(self: RouteParticipant, number: int, its_digest: str) -> bool:
        copy = self.copies.get(number)
        return copy is not None and copy.stage is CopyStage.STORED and copy.digest == its_digest

    patch.setattr(RouteParticipant, "_is_ready", ready)


def share_beside_the_group_ignored(patch: pytest.MonkeyPatch) -> None:
    """What members that name no service may be taking is left out of a service's sum."""
    right = FleetState._prepared

    def prepared(self: FleetState, service: str) -> QuotaLedger:
        ledger = right(self, service)
        ledger.external = ExternalQuota(0.0, ledger.external.members)
        return ledger

    patch.setattr(FleetState, "_prepared", prepared)


def grant_counted_in_another_group(patch: pytest.MonkeyPatch) -> None:
    """What is free in a service's group is worked out from the rows of another service's."""
    right = FleetState._prepared

    def prepared(self: FleetState, service: str) -> QuotaLedger:
        ledger = right(self, service)
        other = next((group for name, group in self.services.items() if name != service), None)
        if service != NO_SERVICE and other is not None:
            ledger.external = ExternalQuota(
                other.granted_quota() - ledger.granted_quota(), ledger.external.members
            )
        return ledger

    patch.setattr(FleetState, "_prepared", prepared)


def enrolment_ends_the_row_of_another_group(patch: pytest.MonkeyPatch) -> None:
    """An enrolment under another service ends the earlier row at its address, and not only a renewal."""
    right = FleetState.enrol_in

    def enrol_in(
        self: FleetState, service: str, name: str, address: str, zone: str, start: str
    ) -> MemberRecord:
        row = right(self, service, name, address, zone, start)
        for ended in superseded_by(row, self.records()):
            self.leave(ended)
        return row

    patch.setattr(FleetState, "enrol_in", enrol_in)


def enrolling_again_does_not_renew_the_lease(patch: pytest.MonkeyPatch) -> None:
    """The leader counts a lease from renewals and the first enrolment alone. A node whose renewal was
    rejected enrols again, and counts its lease from that."""
    right = LeaseClock.record_renewal

    def record_renewal(self: LeaseClock, now: float, incarnation: int, seq: int, answered: int) -> None:
        if answered >= 0 or incarnation not in self._leases:
            right(self, now, incarnation, seq, answered)

    patch.setattr(LeaseClock, "record_renewal", record_renewal)


def answer_is_taken_for_one_to_the_latest_call(patch: pytest.MonkeyPatch) -> None:
    """As the shell did: whatever answer came to a call was used as the answer to it."""
    right = MemberLease.on_grant

    def on_grant(self: MemberLease, now: float, number: int, grant: LeaseGrant, ttl_ms: float) -> bool:
        latest = number if self._in_flight is None else self._in_flight[0].number
        return right(self, now, latest, grant, ttl_ms)

    patch.setattr(MemberLease, "on_grant", on_grant)


def changes_told_from_where_the_log_begins(patch: pytest.MonkeyPatch) -> None:
    """The service tells a process that is further behind than its change log what the log has. Harmless to
    the right node, which sees by `since` that there is a gap, and asks for the whole list."""
    right = QuotaLedger.grant

    def grant(self: QuotaLedger, row: MemberRecord, acked: int, delta: bool = False) -> LeaseGrant:
        floor = self._changes._floor
        if not delta or acked == FULL_LIST_REVISION or acked >= floor:
            return right(self, row, acked, delta)
        told = right(self, row, floor, delta)
        return (
            told
            if told.since_revision is not UNSET
            else replace_fields(told, since_revision=floor, members=())
        )

    patch.setattr(QuotaLedger, "grant", grant)


def changes_taken_over_a_gap(patch: pytest.MonkeyPatch) -> None:
    """A node takes changes that begin at another revision than its own, and acknowledges the new one."""
    changes_told_from_where_the_log_begins(patch)
    right = MemberLease._merge_members

    def take_members(self: MemberLease, grant: LeaseGrant) -> None:
        if grant.since_revision is not UNSET:
            self.revision = grant.since_revision
        right(self, grant)

    patch.setattr(MemberLease, "_merge_members", take_members)
