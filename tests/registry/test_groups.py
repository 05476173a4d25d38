"""Members grouped by service in the replicated state: quotas, limits, deltas of member lists."""

from __future__ import annotations

import io
import math
import pickle
from random import Random

import pytest
from msgspec import UNSET
from msgspec.structs import replace

from loadbalancer.membership.change_log import ChangeLog
from loadbalancer.membership.member_lease import MemberLease
from loadbalancer.membership.member_record import MemberRecord, MemberState
from loadbalancer.membership.messages import LeaseGrant
from loadbalancer.membership.quota_ledger import QuotaLedger
from loadbalancer.registry import fleet_state
from loadbalancer.registry.errors import MemberLimitError, ServiceInUseError
from loadbalancer.registry.fleet_state import NO_SERVICE, FleetState
from loadbalancer.registry.stored_form import STORED_FORM

TTL = 1_000.0
MAX_QUOTA_SUM = 1.0 + 1e-9


def state_with_leader() -> FleetState:
    state = FleetState()
    state.start_term(1, "127.0.0.1:1", 0, TTL, 50.0)
    state.accept(10.0, 1)
    return state


def enrol(state: FleetState, service: str, *names: str) -> list[MemberRecord]:
    return [state.enrol_in(service, name, f"a-{name}", "z", f"start-{name}") for name in names]


def renew_all(state: FleetState, turns: int = 3) -> None:
    """Renew every process `turns` times, each with the quota that it was granted."""
    for _ in range(turns):
        for record in list(state.records()):
            grant = state.grant(record, -1, delta=False)
            state.renew(
                record.incarnation, record.renewal_seq + 1, grant.revision, min(record.quota, grant.quota)
            )


def quota_sums(state: FleetState) -> dict[str, float]:
    return {NO_SERVICE: state.ledger.granted_quota()} | {
        service: ledger.granted_quota() for service, ledger in state.services.items()
    }


def test_each_group_has_separate_quotas_and_member_list() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1", "n2")
    enrol(state, "find", "n3")
    renew_all(state)
    assert quota_sums(state) == {NO_SERVICE: 0.0, "pay": pytest.approx(1.0), "find": pytest.approx(1.0)}
    grant = state.grant(next(state.services["pay"].records().__iter__()), -1, delta=False)
    assert [member.name for member in grant.members] == ["n1", "n2"]
    assert (grant.service, grant.quota) == ("pay", pytest.approx(0.5))


def test_change_in_one_group_leaves_other_revisions() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1")
    enrol(state, "find", "n2")
    before = state.group_revisions()
    enrol(state, "pay", "n3")
    assert state.group_revisions() == before | {"pay": before["pay"] + 1}


def test_incarnations_rise_over_all_groups_and_after_end_of_a_service() -> None:
    state = state_with_leader()
    records = [*enrol(state, "pay", "n1"), *enrol(state, "find", "n2"), *enrol(state, NO_SERVICE, "n3")]
    assert [record.incarnation for record in records] == [1, 2, 3]
    state.expire([(1, 0)], [1], state.repeated_enrolments)
    state.expire([(1, 0)], [], state.repeated_enrolments)
    state.end_service("pay")
    assert "pay" not in state.services
    assert enrol(state, "pay", "n4")[0].incarnation == 4


def test_members_without_service_count_in_every_group() -> None:
    """While nodes are upgraded one by one, those of the earlier release may balance to any service."""
    state = state_with_leader()
    enrol(state, NO_SERVICE, "old1", "old2")
    renew_all(state)
    assert quota_sums(state)[NO_SERVICE] == pytest.approx(1.0)
    enrol(state, "pay", "n1", "n2", "n3")
    enrol(state, "find", "n4")
    assert quota_sums(state) == {NO_SERVICE: pytest.approx(1.0), "pay": 0.0, "find": 0.0}
    for _ in range(6):
        renew_all(state, turns=1)
        sums = quota_sums(state)
        assert max(sums["pay"], sums["find"]) + sums[NO_SERVICE] <= MAX_QUOTA_SUM
    assert quota_sums(state) == {
        NO_SERVICE: pytest.approx(2 / 5), "pay": pytest.approx(3 / 5), "find": pytest.approx(1 / 3)
    }  # fmt: skip


def test_expired_member_is_removed_only_by_majority_of_its_group() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1", "n2", "n3")
    enrol(state, "find", "n4", "n5")
    renew_all(state)
    seqs = {record.incarnation: record.renewal_seq for record in state.records()}
    due = state.due_expiry([(1, seqs[1]), (4, seqs[4])], [2, 3])
    assert due is not None
    expired, removed = state.expire(due.expired, due.attached, due.repeated_enrolments)
    # No member of `find` is attached, so the lease of 4 expires but its record stays.
    assert (expired, removed) == ([1, 4], [1])
    assert state.services["find"].records_by_incarnation[4].state is MemberState.EXPIRED
    assert state.due_expiry([(4, seqs[4])], [2, 3]) is None  # a majority of another group doesn't count


def test_first_renewal_under_another_service_ends_earlier_record() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1", "n2", "n3")
    renew_all(state)
    again = state.enrol_in("find", "n1", "a-n1", "z", "start-again")
    assert quota_sums(state) == {NO_SERVICE: 0.0, "pay": pytest.approx(1.0), "find": pytest.approx(1.0)}
    state.renew(again.incarnation, 1, 1, 1.0)
    assert state.services["pay"].records_by_incarnation[1].state is MemberState.LEFT
    assert quota_sums(state) == {NO_SERVICE: 0.0, "pay": pytest.approx(2 / 3), "find": pytest.approx(1.0)}
    renew_all(state)
    assert [record.quota for record in state.services["pay"].records()] == [0.0, *[pytest.approx(0.5)] * 2]
    state.expire(
        [(1, state.services["pay"].records_by_incarnation[1].renewal_seq)], [], state.repeated_enrolments
    )
    assert list(state.services["pay"].records_by_incarnation) == [2, 3]


def test_late_enrolment_under_another_service_ends_no_record() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1", "n2", "n3")
    renew_all(state)
    # The enrolment of a process that has ended and never renews.
    state.enrol_in("find", "n1", "a-n1", "z", "start-before")
    renewed = state.renew(1, 9, state.services["pay"].revision, 1 / 3)
    assert renewed is not None
    assert (renewed.state, renewed.quota) == (MemberState.LIVE, pytest.approx(1 / 3))
    state.expire([(1, 9)], [2, 3], state.repeated_enrolments)
    renew_all(state)
    assert [record.quota for record in state.services["pay"].records()] == [pytest.approx(0.5)] * 2


def test_members_restarted_with_service_release_quota_without_service() -> None:
    state = state_with_leader()
    enrol(state, NO_SERVICE, "n1", "n2", "n3")
    renew_all(state)
    for name in ("n1", "n2", "n3"):
        state.enrol_in("pay", name, f"a-{name}", "z", f"again-{name}")
    for _ in range(3):
        for record in list(state.services["pay"].records()):
            state.renew(
                record.incarnation, record.renewal_seq + 1, state.services["pay"].revision, record.quota
            )
    assert quota_sums(state) == {NO_SERVICE: 0.0, "pay": pytest.approx(1.0)}


def test_service_ends_with_last_member_or_by_operator_without_live_lease() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1")
    enrol(state, "find", "n2")
    state.leave(1)
    state.expire([(1, 0)], [], state.repeated_enrolments)
    assert list(state.services) == ["find"]
    with pytest.raises(ServiceInUseError, match="'n2'"):
        state.end_service("find")
    state.expire([(2, 0)], [], state.repeated_enrolments)  # its lease expires; no majority can be attached
    assert state.end_service("find") == [2]
    assert state.end_service("find") == []
    assert not state.services
    assert state.renew(2, 9, 9, 1.0) is None


def test_operator_removes_name_from_one_group_or_all() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1")
    state.enrol_in("find", "n1", "a-n1", "z", "other")
    assert state.remove("n1", "pay") == [1]
    assert state.remove("n1") == [2]


def test_enrolment_over_limit_is_rejected_and_removes_no_record(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_state, "MAX_GROUP_MEMBERS", 2)
    monkeypatch.setattr(fleet_state, "MAX_MEMBERS", 3)
    state = state_with_leader()
    records = enrol(state, "pay", "n1", "n2")
    with pytest.raises(MemberLimitError, match="'pay' has 2 members"):
        enrol(state, "pay", "n3")
    assert enrol(state, "pay", "n1") == records[:1]  # a repeated enrolment
    again = state.enrol_in("pay", "n2", "a-n2", "z", "restarted")  # replaces the process at its address
    assert again.rank == records[1].rank
    enrol(state, "find", "n4")
    with pytest.raises(MemberLimitError, match="all groups"):
        enrol(state, "other", "n5")
    assert "other" not in state.services
    assert [record.name for record in state.records()] == ["n1", "n2", "n4"]


def test_members_without_service_keep_their_limit_with_groups_enabled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With the lower limit of a group, a large fleet's new processes were rejected during an upgrade."""
    monkeypatch.setattr(fleet_state, "MAX_UNGROUPED_MEMBERS", 3)
    monkeypatch.setattr(fleet_state, "MAX_GROUP_MEMBERS", 2)
    state = state_with_leader()
    enrol(state, NO_SERVICE, "n1", "n2", "n3")
    with pytest.raises(MemberLimitError, match="has 3 members"):
        enrol(state, NO_SERVICE, "n4")


def test_state_without_services_is_stored_as_by_earlier_releases() -> None:
    state = state_with_leader()
    enrol(state, NO_SERVICE, "n1")
    file = io.BytesIO()
    STORED_FORM.dump(state, file)
    _, written = pickle.loads(file.getvalue()).state
    assert set(written) == {
        "ledger", "routes", "log_ms", "term", "http", "epoch", "ttl_ms", "bound_ms", "repeats"
    }  # fmt: skip
    assert set(written["ledger"].state) == {"revision", "incarnations", "by_incarnation"}


def test_snapshot_restores_groups_with_empty_change_logs() -> None:
    state = state_with_leader()
    enrol(state, NO_SERVICE, "n1")
    enrol(state, "pay", "n2", "n3")
    copy: FleetState = pickle.loads(pickle.dumps(state))
    assert [record for record in copy.records()] == [record for record in state.records()]
    assert copy.service_of(3) == "pay"
    record = copy.services["pay"].records_by_incarnation[3]
    assert copy.grant(record, 1, delta=True).since_revision is UNSET  # earlier changes are unknown
    enrol(copy, "pay", "n4")
    assert copy.grant(record, 2, delta=True).since_revision == 2


# ------------------------------------------------------------------ deltas of member lists


def test_delta_grant_contains_only_changes() -> None:
    ledger = QuotaLedger()
    records = [ledger.enrol(f"n{number}", f"a{number}", "z", f"s{number}") for number in range(4)]
    known = ledger.revision
    ledger.begin_draining(records[1].incarnation)
    ledger.leave(records[2].incarnation)
    ledger.expire([(3, 0)], [])
    grant = ledger.grant(records[0], known, delta=True)
    assert (grant.since_revision, grant.removed) == (known, (3,))
    assert [(member.incarnation, member.state) for member in grant.members] == [(2, "leaving")]
    assert len(ledger.grant(records[0], known, delta=False).members) == 3
    assert ledger.grant(records[0], ledger.revision, delta=True).members is UNSET


def test_change_log_returns_none_for_revisions_before_dropped_changes() -> None:
    log = ChangeLog(5, max_changes=2)
    for revision in (6, 7, 8):
        log.record(revision, (revision,))
    assert log.since(5) is None
    assert log.since(6) == {7, 8}
    assert log.since(8) == frozenset()
    assert log.since(9) is None


def node_with(*names: str) -> tuple[MemberLease, QuotaLedger, MemberRecord]:
    """Return a member that has its group's complete list, the group's ledger, and the member's record.

    `names` are the members of the group; the returned one is the first.
    """
    ledger = QuotaLedger()
    records = [ledger.enrol(name, f"a-{name}", "z", f"s-{name}") for name in names]
    core = MemberLease(names[0], f"a-{names[0]}", "z", f"s-{names[0]}", Random(1))
    call = core.tick(0.0, None)
    assert call is not None
    assert core.on_grant(1.0, call.number, ledger.grant(records[0], -1), TTL)
    return core, ledger, records[0]


def renew_with(core: MemberLease, now: float, grant: LeaseGrant) -> int:
    """Renew with this grant as the response; return the revision that the call acknowledged."""
    call = core.tick(now, None)
    assert call is not None
    assert core.on_grant(now + 1.0, call.number, grant, TTL)
    return int(call.body["acked"])


def test_member_applies_delta_to_matching_revision() -> None:
    core, ledger, record = node_with("n1", "n2", "n3")
    known = core.revision
    ledger.enrol("n4", "a-n4", "z", "s-n4")
    ledger.leave(2)
    ledger.expire([(2, 0)], [])
    renew_with(core, 1_000.0, ledger.grant(record, known, delta=True))
    assert [member.name for member in core.members] == ["n1", "n3", "n4"]
    assert core.revision == ledger.revision
    assert set(core.members) == set(ledger.members())


@pytest.mark.parametrize("begins", [-1, 1])
def test_member_ignores_delta_with_gap_and_requests_complete_list(begins: int) -> None:
    core, ledger, record = node_with("n1", "n2")
    known, members = core.revision, core.members
    ledger.enrol("n3", "a-n3", "z", "s-n3")
    gap = replace(ledger.grant(record, known, delta=True), since_revision=known + begins)
    renew_with(core, 1_000.0, gap)
    assert (core.revision, core.members) == (known, members)
    assert renew_with(core, 2_000.0, ledger.grant(record, -1, delta=True)) == -1
    assert core.revision == ledger.revision
    assert [member.name for member in core.members] == ["n1", "n2", "n3"]


def test_grant_without_changed_list_is_not_acknowledged() -> None:
    core, ledger, record = node_with("n1", "n2")
    known = core.revision
    ledger.enrol("n3", "a-n3", "z", "s-n3")
    renew_with(core, 1_000.0, replace(ledger.grant(record, ledger.revision)))
    assert core.revision == known


def test_member_retries_enrolment_after_1100_rejections() -> None:
    """After 1,024 rejections the backoff used to overflow, and the node never enrolled again."""
    core, now = MemberLease("n1", "a", "z", "s", Random(3)), 0.0
    for _ in range(1_100):
        call = core.tick(now, None)
        assert call is not None
        core.on_enrolment_rejected(now, call.number)
        now = core.next_call_at()
    assert now < math.inf


def test_rejected_enrolment_is_retried_with_jittered_bounded_backoff() -> None:
    core, now, delays = MemberLease("n1", "a", "z", "s", Random(3)), 0.0, []
    for _ in range(12):
        call = core.tick(now, None)
        assert call is not None
        core.on_enrolment_rejected(now, call.number)
        delays.append(core.next_call_at() - now)
        now = core.next_call_at()
    assert all(delay <= 2.0 * core.ttl_ms for delay in delays)
    assert delays[0] <= 0.1 * core.ttl_ms
    assert min(delays[-3:]) >= core.ttl_ms
    assert len(set(delays)) == len(delays)
    call = core.tick(now, None)
    assert call is not None
    ledger = QuotaLedger()
    core.on_grant(now + 1.0, call.number, ledger.grant(ledger.enrol("n1", "a", "z", "s"), -1), TTL)
    assert core.quota_in_force(now + 2.0) == 1.0
