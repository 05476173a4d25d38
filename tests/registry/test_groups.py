"""Members grouped by service in the replicated state: shares, limits, member lists told as changes."""

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
MOST = 1.0 + 1e-9


def state_with_leader() -> FleetState:
    state = FleetState()
    state.start_term(1, "127.0.0.1:1", 0, TTL, 50.0)
    state.accept(10.0, 1)
    return state


def enrol(state: FleetState, service: str, *names: str) -> list[MemberRecord]:
    return [state.enrol_in(service, name, f"a-{name}", "z", f"start-{name}") for name in names]


def renew_all(state: FleetState, turns: int = 3) -> None:
    """Every process renews and takes what it is told, turn by turn."""
    for _ in range(turns):
        for row in list(state.records()):
            grant = state.grant(row, -1, delta=False)
            state.renew(row.incarnation, row.renewal_seq + 1, grant.revision, min(row.quota, grant.quota))


def totals(state: FleetState) -> dict[str, float]:
    return {NO_SERVICE: state.ledger.granted_quota()} | {
        service: ledger.granted_quota() for service, ledger in state.services.items()
    }


def test_each_service_shares_a_whole_of_its_own_and_knows_only_its_members() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1", "n2")
    enrol(state, "find", "n3")
    renew_all(state)
    assert totals(state) == {NO_SERVICE: 0.0, "pay": pytest.approx(1.0), "find": pytest.approx(1.0)}
    grant = state.grant(next(state.services["pay"].records().__iter__()), -1, delta=False)
    assert [member.name for member in grant.members] == ["n1", "n2"]
    assert (grant.service, grant.quota) == ("pay", pytest.approx(0.5))


def test_a_change_in_one_group_is_no_change_in_another() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1")
    enrol(state, "find", "n2")
    before = state.group_revisions()
    enrol(state, "pay", "n3")
    assert state.group_revisions() == before | {"pay": before["pay"] + 1}


def test_incarnations_rise_over_all_groups_and_past_the_end_of_one() -> None:
    state = state_with_leader()
    rows = [*enrol(state, "pay", "n1"), *enrol(state, "find", "n2"), *enrol(state, NO_SERVICE, "n3")]
    assert [row.incarnation for row in rows] == [1, 2, 3]
    state.expire([(1, 0)], [1], state.repeated_enrolments)
    state.expire([(1, 0)], [], state.repeated_enrolments)
    state.end_service("pay")
    assert "pay" not in state.services
    assert enrol(state, "pay", "n4")[0].incarnation == 4


def test_members_that_name_no_service_count_in_every_group() -> None:
    """As while nodes are upgraded one by one: the ones of before may balance to any service."""
    state = state_with_leader()
    enrol(state, NO_SERVICE, "old1", "old2")
    renew_all(state)
    assert totals(state)[NO_SERVICE] == pytest.approx(1.0)
    enrol(state, "pay", "n1", "n2", "n3")
    enrol(state, "find", "n4")
    assert totals(state) == {NO_SERVICE: pytest.approx(1.0), "pay": 0.0, "find": 0.0}
    for _ in range(6):
        renew_all(state, turns=1)
        found = totals(state)
        assert max(found["pay"], found["find"]) + found[NO_SERVICE] <= MOST
    assert totals(state) == {
        NO_SERVICE: pytest.approx(2 / 5), "pay": pytest.approx(3 / 5), "find": pytest.approx(1 / 3)
    }  # fmt: skip


def test_a_row_lapses_by_the_majority_of_its_own_group() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1", "n2", "n3")
    enrol(state, "find", "n4", "n5")
    renew_all(state)
    seqs = {row.incarnation: row.renewal_seq for row in state.records()}
    due = state.due_expiry([(1, seqs[1]), (4, seqs[4])], [2, 3])
    assert due is not None
    newly, removed = state.expire(due.lapsed, due.support, due.repeated_enrolments)
    assert (newly, removed) == ([1, 4], [1])  # of `find` nobody is attached: its row only lapses
    assert state.services["find"].records_by_incarnation[4].state is MemberState.EXPIRED
    assert state.due_expiry([(4, seqs[4])], [2, 3]) is None  # others' majority says nothing here


def test_a_process_under_another_service_ends_the_earlier_row_by_its_first_renewal() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1", "n2", "n3")
    renew_all(state)
    again = state.enrol_in("find", "n1", "a-n1", "z", "start-again")
    assert totals(state) == {NO_SERVICE: 0.0, "pay": pytest.approx(1.0), "find": pytest.approx(1.0)}
    state.renew(again.incarnation, 1, 1, 1.0)
    assert state.services["pay"].records_by_incarnation[1].state is MemberState.LEFT
    assert totals(state) == {NO_SERVICE: 0.0, "pay": pytest.approx(2 / 3), "find": pytest.approx(1.0)}
    renew_all(state)
    assert [row.quota for row in state.services["pay"].records()] == [0.0, *[pytest.approx(0.5)] * 2]
    state.expire(
        [(1, state.services["pay"].records_by_incarnation[1].renewal_seq)], [], state.repeated_enrolments
    )
    assert list(state.services["pay"].records_by_incarnation) == [2, 3]


def test_an_enrolment_under_another_service_may_be_late_and_ends_no_row() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1", "n2", "n3")
    renew_all(state)
    state.enrol_in("find", "n1", "a-n1", "z", "start-before")  # of a process that has ended; renews never
    renewed = state.renew(1, 9, state.services["pay"].revision, 1 / 3)
    assert renewed is not None
    assert (renewed.state, renewed.quota) == (MemberState.LIVE, pytest.approx(1 / 3))
    state.expire([(1, 9)], [2, 3], state.repeated_enrolments)
    renew_all(state)
    assert [row.quota for row in state.services["pay"].records()] == [pytest.approx(0.5)] * 2


def test_the_last_members_that_name_no_service_leave_their_shares_once_restarted_to_name_one() -> None:
    state = state_with_leader()
    enrol(state, NO_SERVICE, "n1", "n2", "n3")
    renew_all(state)
    for name in ("n1", "n2", "n3"):
        state.enrol_in("pay", name, f"a-{name}", "z", f"again-{name}")
    for _ in range(3):
        for row in list(state.services["pay"].records()):
            state.renew(row.incarnation, row.renewal_seq + 1, state.services["pay"].revision, row.quota)
    assert totals(state) == {NO_SERVICE: 0.0, "pay": pytest.approx(1.0)}


def test_a_service_ends_by_its_last_member_or_by_an_operator_once_no_lease_is_live() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1")
    enrol(state, "find", "n2")
    state.leave(1)
    state.expire([(1, 0)], [], state.repeated_enrolments)
    assert list(state.services) == ["find"]
    with pytest.raises(ServiceInUseError, match="'n2'"):
        state.end_service("find")
    state.expire([(2, 0)], [], state.repeated_enrolments)  # lapsed; no majority will ever be attached
    assert state.end_service("find") == [2]
    assert state.end_service("find") == []
    assert not state.services
    assert state.renew(2, 9, 9, 1.0) is None


def test_an_operator_removes_a_name_in_one_group_or_in_all() -> None:
    state = state_with_leader()
    enrol(state, "pay", "n1")
    state.enrol_in("find", "n1", "a-n1", "z", "other")
    assert state.remove("n1", "pay") == [1]
    assert state.remove("n1") == [2]


def test_at_a_limit_an_enrolment_is_refused_and_nobody_loses_a_row(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_state, "MAX_GROUP_MEMBERS", 2)
    monkeypatch.setattr(fleet_state, "MAX_MEMBERS", 3)
    state = state_with_leader()
    rows = enrol(state, "pay", "n1", "n2")
    with pytest.raises(MemberLimitError, match="'pay' has 2 members"):
        enrol(state, "pay", "n3")
    assert enrol(state, "pay", "n1") == rows[:1]  # the same process again
    again = state.enrol_in("pay", "n2", "a-n2", "z", "restarted")  # takes its predecessor's place
    assert again.rank == rows[1].rank
    enrol(state, "find", "n4")
    with pytest.raises(MemberLimitError, match="all groups"):
        enrol(state, "other", "n5")
    assert "other" not in state.services
    assert [row.name for row in state.records()] == ["n1", "n2", "n4"]


def test_members_that_name_no_service_keep_their_limit_when_groups_are_switched_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard: theirs fell to a group's, and a large fleet's new processes were refused half-way through."""
    monkeypatch.setattr(fleet_state, "MAX_UNGROUPED_MEMBERS", 3)
    monkeypatch.setattr(fleet_state, "MAX_GROUP_MEMBERS", 2)
    state = state_with_leader()
    enrol(state, NO_SERVICE, "n1", "n2", "n3")
    with pytest.raises(MemberLimitError, match="has 3 members"):
        enrol(state, NO_SERVICE, "n4")


def test_a_state_without_services_is_written_as_earlier_releases_do() -> None:
    state = state_with_leader()
    enrol(state, NO_SERVICE, "n1")
    file = io.BytesIO()
    STORED_FORM.dump(state, file)
    _, written = pickle.loads(file.getvalue()).state
    assert set(written) == {
        "ledger", "routes", "log_ms", "term", "http", "epoch", "ttl_ms", "bound_ms", "repeats"
    }  # fmt: skip
    assert set(written["ledger"].state) == {"revision", "incarnations", "by_incarnation"}


def test_a_snapshot_brings_all_groups_and_begins_new_change_logs() -> None:
    state = state_with_leader()
    enrol(state, NO_SERVICE, "n1")
    enrol(state, "pay", "n2", "n3")
    copy: FleetState = pickle.loads(pickle.dumps(state))
    assert [row for row in copy.records()] == [row for row in state.records()]
    assert copy.service_of(3) == "pay"
    row = copy.services["pay"].records_by_incarnation[3]
    assert copy.grant(row, 1, delta=True).since_revision is UNSET  # what changed before it is not known
    enrol(copy, "pay", "n4")
    assert copy.grant(row, 2, delta=True).since_revision == 2


# ------------------------------------------------------------------ member lists as changes


def test_only_what_changed_is_told_to_a_process_that_takes_changes() -> None:
    ledger = QuotaLedger()
    rows = [ledger.enrol(f"n{at}", f"a{at}", "z", f"s{at}") for at in range(4)]
    known = ledger.revision
    ledger.begin_draining(rows[1].incarnation)
    ledger.leave(rows[2].incarnation)
    ledger.expire([(3, 0)], [])
    grant = ledger.grant(rows[0], known, delta=True)
    assert (grant.since_revision, grant.removed) == (known, (3,))
    assert [(member.incarnation, member.state) for member in grant.members] == [(2, "leaving")]
    assert len(ledger.grant(rows[0], known, delta=False).members) == 3
    assert ledger.grant(rows[0], ledger.revision, delta=True).members is UNSET


def test_a_change_log_that_has_dropped_changes_knows_only_those_after() -> None:
    log = ChangeLog(5, max_changes=2)
    for revision in (6, 7, 8):
        log.record(revision, (revision,))
    assert log.since(5) is None
    assert log.since(6) == {7, 8}
    assert log.since(8) == frozenset()
    assert log.since(9) is None


def node_with(*names: str) -> tuple[MemberLease, QuotaLedger, MemberRecord]:
    """A process that was told the whole list of a group, itself the first."""
    ledger = QuotaLedger()
    rows = [ledger.enrol(name, f"a-{name}", "z", f"s-{name}") for name in names]
    core = MemberLease(names[0], f"a-{names[0]}", "z", f"s-{names[0]}", Random(1))
    call = core.tick(0.0, None)
    assert call is not None
    assert core.on_grant(1.0, call.number, ledger.grant(rows[0], -1), TTL)
    return core, ledger, rows[0]


def renewed(core: MemberLease, now: float, grant: LeaseGrant) -> int:
    """Renew with this answer; the revision that the call acknowledged."""
    call = core.tick(now, None)
    assert call is not None
    assert core.on_grant(now + 1.0, call.number, grant, TTL)
    return int(call.body["acked"])


def test_changes_are_taken_onto_the_revision_that_they_begin_at() -> None:
    core, ledger, row = node_with("n1", "n2", "n3")
    known = core.revision
    ledger.enrol("n4", "a-n4", "z", "s-n4")
    ledger.leave(2)
    ledger.expire([(2, 0)], [])
    renewed(core, 1_000.0, ledger.grant(row, known, delta=True))
    assert [member.name for member in core.members] == ["n1", "n3", "n4"]
    assert core.revision == ledger.revision
    assert set(core.members) == set(ledger.members())


@pytest.mark.parametrize("begins", [-1, 1])
def test_changes_over_a_gap_are_not_taken_and_the_whole_list_is_asked_for(begins: int) -> None:
    core, ledger, row = node_with("n1", "n2")
    known, members = core.revision, core.members
    ledger.enrol("n3", "a-n3", "z", "s-n3")
    gap = replace(ledger.grant(row, known, delta=True), since_revision=known + begins)
    renewed(core, 1_000.0, gap)
    assert (core.revision, core.members) == (known, members)
    assert renewed(core, 2_000.0, ledger.grant(row, -1, delta=True)) == -1
    assert core.revision == ledger.revision
    assert [member.name for member in core.members] == ["n1", "n2", "n3"]


def test_an_answer_that_leaves_out_a_list_which_has_changed_is_no_acknowledgement() -> None:
    core, ledger, row = node_with("n1", "n2")
    known = core.revision
    ledger.enrol("n3", "a-n3", "z", "s-n3")
    renewed(core, 1_000.0, replace(ledger.grant(row, ledger.revision)))
    assert core.revision == known


def test_an_enrolment_may_be_refused_for_days() -> None:
    """Guard: after 1,024 refusals the pause overflowed, and the node never enrolled again."""
    core, now = MemberLease("n1", "a", "z", "s", Random(3)), 0.0
    for _ in range(1_100):
        call = core.tick(now, None)
        assert call is not None
        core.on_enrolment_rejected(now, call.number)
        now = core.next_call_at()
    assert now < math.inf


def test_a_refused_enrolment_is_said_again_with_a_jittered_pause_that_grows_to_a_bound() -> None:
    core, now, pauses = MemberLease("n1", "a", "z", "s", Random(3)), 0.0, []
    for _ in range(12):
        call = core.tick(now, None)
        assert call is not None
        core.on_enrolment_rejected(now, call.number)
        pauses.append(core.next_call_at() - now)
        now = core.next_call_at()
    assert all(pause <= 2.0 * core.ttl_ms for pause in pauses)
    assert pauses[0] <= 0.1 * core.ttl_ms
    assert min(pauses[-3:]) >= core.ttl_ms
    assert len(set(pauses)) == len(pauses)
    call = core.tick(now, None)
    assert call is not None
    ledger = QuotaLedger()
    core.on_grant(now + 1.0, call.number, ledger.grant(ledger.enrol("n1", "a", "z", "s"), -1), TTL)
    assert core.quota_in_force(now + 2.0) == 1.0
