"""Model checking of leases, quotas and route activation: all interleavings up to a given depth.

`tests/support/orders` is the model checker. Each search prints its counts (`pytest -s`). Each seeded mistake
has to be found, and its shortest trace is printed.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from typing import Any

import pytest

from loadbalancer.routing import participant
from tests.support.orders import mistakes
from tests.support.orders.explore import SearchResult, explore, walk
from tests.support.orders.parts import Bounds
from tests.support.orders.rounds import RoundsModel
from tests.support.orders.routes import OperatorCommands, RouteModel
from tests.support.orders.routes_check import route_invariant, route_recovery
from tests.support.orders.shares import QuotaModel
from tests.support.orders.shares_check import quota_invariant, quota_recovery, unaffected_group_invariant

SKEWS = (0.0, 2000.0, -2000.0, 1000.0)
ALL_FAULTS = Bounds().kinds
WITH_SNAPSHOT = ALL_FAULTS | {"snapshot"}
WITH_REJECTION = ALL_FAULTS | {"reject"}
WITH_OLDER_RESPONSE = ALL_FAULTS | {"older"}
ROUTE_FAULTS = frozenset(("send", "crash", "lead", "ballot", "unstored"))
CRASH_AND_SEND = frozenset(("send", "crash"))
NO_FAULTS = frozenset[str]()
LASTING_FAULTS = frozenset(("crash", "lead", "snapshot"))
TWO_GROUPS = (("pay",), ("pay",), ("find",), ("find",))
MEMBER_WITHOUT_SERVICE = (("pay",), ("pay",), ("find",), ("",))
RESTART_IN_OTHER_GROUP = (("pay", "find", "pay"), ("pay",), ("pay",), ("find",))
GROUP_LOSES_MEMBER = (("pay", "find"), ("pay",), ("find",))
RESTARTS_NAME_SERVICE = (("", "pay"), ("", "pay"), ("", "pay"))
PAY_NODES = frozenset(("n0", "n1"))


@pytest.fixture(autouse=True)
def _texts_parsed_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        participant, "parse_table", lru_cache(participant.parse_table)
    )  # a pure function of its arguments


def unenrolled(nodes: int, faults: int, kinds: frozenset[str] = ALL_FAULTS, **more: Any) -> QuotaModel:
    """Return a model whose nodes have just started and are not enrolled."""
    return QuotaModel(Bounds(SKEWS[:nodes], kinds=kinds, **more), faults)


def settled(
    kind: type[QuotaModel], nodes: int, faults: int, kinds: frozenset[str] = ALL_FAULTS, **more: Any
) -> QuotaModel:
    """Return a model whose nodes are electors with their target quotas, attached for a term."""
    model = kind(Bounds(SKEWS[:nodes], kinds=kinds, **more), 0).run_without_faults(8)
    model.faults = faults
    return model


def settled_routes(
    nodes: int,
    faults: int,
    operator_commands: OperatorCommands,
    before: tuple[str, ...] = (),
    kinds: frozenset[str] = ROUTE_FAULTS,
) -> RouteModel:
    """As `settled`, with route participants, after the actions in `before`; "*" stands for each node."""
    start = RouteModel(
        Bounds(SKEWS[:nodes], siblings=False, kinds=kinds), 0, OperatorCommands()
    ).run_without_faults(8)
    for action in before:
        for at in range(nodes) if "*" in action else (0,):
            start = dict(start.transitions())[action.replace("*", f"n{at}")]
    start.faults, start.operator_commands = faults, operator_commands
    return start


INFORMED = ("propose", "tick", "renew *")
PREPARED = (*INFORMED, "stored * 1")
DECIDED = (*PREPARED, "vote * 1")

QUOTA_SEARCHES: dict[
    str, tuple[Callable[[], QuotaModel], int, int]
] = {  # start, depth, minimum number of states
    "attached, no fault": (lambda: settled(QuotaModel, 3, 0), 9, 20_000),
    "attached, any fault": (lambda: settled(QuotaModel, 3, 1), 7, 15_000),
    "attached, any two faults": (lambda: settled(QuotaModel, 3, 2), 6, 10_000),
    "attached, any two faults, renewals rejected": (
        lambda: settled(QuotaModel, 3, 2, WITH_REJECTION),
        6,
        15_000,
    ),
    "attached, any two faults, older responses": (
        lambda: settled(QuotaModel, 3, 2, WITH_OLDER_RESPONSE),
        6,
        10_000,
    ),
    "rounds, renewals rejected": (lambda: settled(RoundsModel, 3, 2, frozenset(("reject",))), 10, 5_000),
    "two enrolling, two faults": (
        lambda: unenrolled(2, 2, frozenset(("send", "repeat", "crash", "lead"))),
        8,
        25_000,
    ),
    "three enrolling, any fault": (lambda: unenrolled(3, 1), 7, 15_000),
    "rounds, any lasting fault": (lambda: settled(RoundsModel, 3, 1, NO_FAULTS), 40, 300),
    "rounds, two lasting faults": (
        lambda: settled(RoundsModel, 3, 2, frozenset(("crash", "lead"))),
        11,
        8_000,
    ),
}
GROUP_SEARCHES: dict[str, tuple[Callable[[], QuotaModel], int, int]] = {  # as QUOTA_SEARCHES
    "two groups, any fault": (
        lambda: settled(QuotaModel, 4, 1, WITH_SNAPSHOT, services=TWO_GROUPS),
        6,
        7_000,
    ),
    "two groups and a member without service, any fault": (
        lambda: settled(QuotaModel, 4, 1, WITH_SNAPSHOT, services=MEMBER_WITHOUT_SERVICE),
        6,
        6_000,
    ),
    "two groups, restart in the other group, any fault": (
        lambda: settled(QuotaModel, 4, 1, WITH_SNAPSHOT, services=RESTART_IN_OTHER_GROUP),
        6,
        8_000,
    ),
    "enrolling in a group and without service, two faults": (
        lambda: unenrolled(2, 2, WITH_SNAPSHOT, services=(("pay",), ("",))),
        7,
        12_000,
    ),
    "two groups in rounds, a lasting fault": (
        lambda: settled(RoundsModel, 4, 1, LASTING_FAULTS, services=TWO_GROUPS),
        25,
        500,
    ),
    "two groups and a member without service in rounds, a lasting fault": (
        lambda: settled(RoundsModel, 4, 1, LASTING_FAULTS, services=MEMBER_WITHOUT_SERVICE),
        25,
        500,
    ),
    "group of two, restart in the other group, two faults": (
        lambda: settled(QuotaModel, 3, 2, frozenset(("send", "crash", "lead")), services=GROUP_LOSES_MEMBER),
        6,
        3_000,
    ),
    "restarts that name a service, in rounds, three crashes": (
        lambda: settled(RoundsModel, 3, 3, frozenset(("crash",)), services=RESTARTS_NAME_SERVICE),
        4,
        1_500,
    ),
    "restarts in the other group in rounds, two lasting faults": (
        lambda: settled(RoundsModel, 4, 2, LASTING_FAULTS, services=RESTART_IN_OTHER_GROUP),
        5,
        3_000,
    ),
}
ROUTE_SEARCHES: dict[str, tuple[Callable[[], RouteModel], int, int]] = {
    "proposal, no fault": (lambda: settled_routes(3, 0, OperatorCommands()), 8, 5_000),
    "two nodes, proposal, any fault": (lambda: settled_routes(2, 1, OperatorCommands()), 8, 15_000),
    "prepared, any fault, halt": (
        lambda: settled_routes(2, 1, OperatorCommands(0, halts=1), PREPARED),
        7,
        10_000,
    ),
    "three prepared, any fault": (lambda: settled_routes(3, 1, OperatorCommands(0), PREPARED), 6, 5_000),
    "decided, two faults: crashes or delayed calls": (
        lambda: settled_routes(2, 2, OperatorCommands(0), DECIDED, kinds=CRASH_AND_SEND),
        9,
        15_000,
    ),
    "decided, any fault, rollback": (
        lambda: settled_routes(2, 1, OperatorCommands(0, rollbacks=1), DECIDED),
        9,
        10_000,
    ),
}


@pytest.mark.parametrize("name", QUOTA_SEARCHES)
def test_quotas_stay_within_bound_in_every_order(name: str) -> None:
    start, depth, min_states = QUOTA_SEARCHES[name]
    assert_searched(name, explore(start(), quota_invariant, depth, quota_recovery, 100), min_states)


@pytest.mark.parametrize("name", GROUP_SEARCHES)
def test_service_quotas_stay_within_bound_in_every_order(name: str) -> None:
    start, depth, min_states = GROUP_SEARCHES[name]
    assert_searched(name, explore(start(), quota_invariant, depth, quota_recovery, 100), min_states)


def test_faults_of_one_group_do_not_affect_another() -> None:
    start = settled(RoundsModel, 4, 2, ALL_FAULTS | LASTING_FAULTS, services=TWO_GROUPS, faulty=PAY_NODES)
    assert_searched(
        "faults in one group",
        explore(start, unaffected_group_invariant(start, "find"), 8, quota_recovery, 100),
        3_000,
    )
    start.faults = 8
    check = unaffected_group_invariant(start, "find")
    assert_searched("walks, faults in one group", walk(start, check, range(20), 120, quota_recovery), 300)


@pytest.mark.parametrize("name", ROUTE_SEARCHES)
def test_participants_run_decided_version_in_every_order(name: str) -> None:
    start, depth, min_states = ROUTE_SEARCHES[name]
    assert_searched(name, explore(start(), route_invariant, depth, route_recovery, 50), min_states)


def test_quotas_stay_within_bound_on_long_random_runs() -> None:
    assert_searched(
        "walks", walk(settled(QuotaModel, 3, 8), quota_invariant, range(60), 120, quota_recovery), 2_000
    )
    assert_searched(
        "walks in rounds",
        walk(settled(RoundsModel, 3, 8), quota_invariant, range(60), 120, quota_recovery),
        1_000,
    )
    for name, kinds in (("renewals rejected", WITH_REJECTION), ("older responses", WITH_OLDER_RESPONSE)):
        start = settled(QuotaModel, 3, 8, kinds)
        assert_searched(f"walks, {name}", walk(start, quota_invariant, range(60), 120, quota_recovery), 2_000)


@pytest.mark.parametrize(
    "services",
    [TWO_GROUPS, MEMBER_WITHOUT_SERVICE, RESTART_IN_OTHER_GROUP],
    ids=["two groups", "member without service", "restart in other group"],
)
def test_service_quotas_stay_within_bound_on_long_random_runs(services: tuple[tuple[str, ...], ...]) -> None:
    for kind in (QuotaModel, RoundsModel):
        start = settled(kind, 4, 8, WITH_SNAPSHOT, services=services)
        assert_searched(
            f"walks of {kind.__name__}", walk(start, quota_invariant, range(20), 120, quota_recovery), 300
        )


def test_participants_run_decided_version_on_long_random_runs() -> None:
    start = settled_routes(3, 8, OperatorCommands(3, 2, 2), kinds=ALL_FAULTS | ROUTE_FAULTS)
    assert_searched("walks", walk(start, route_invariant, range(60), 120, route_recovery), 2_000)


MISTAKES: list[tuple[mistakes.Mistake, Callable[[], Any], Callable[[Any], str | None], int]] = [
    (mistakes.vote_before_fsync, lambda: settled_routes(2, 0, OperatorCommands()), route_invariant, 8),
    (
        mistakes.activation_time_without_lease_term,
        lambda: settled_routes(2, 0, OperatorCommands()),
        route_invariant,
        9,
    ),
    (
        mistakes.announcement_omits_decision,
        lambda: settled_routes(2, 0, OperatorCommands(0), PREPARED),
        route_invariant,
        9,
    ),
    (
        mistakes.sibling_reports_increase_quota,
        lambda: settled(QuotaModel, 3, 0, all_reports=True),
        quota_invariant,
        4,
    ),
    (mistakes.incarnation_is_reused, lambda: settled(QuotaModel, 3, 1), quota_invariant, 4),
    (
        mistakes.hold_counts_reports_of_any_status,
        lambda: settled(RoundsModel, 3, 1, NO_FAULTS, all_reports=True),
        quota_invariant,
        9,
    ),
    (
        mistakes.quota_released_without_majority,
        lambda: settled(RoundsModel, 3, 2, NO_FAULTS),
        quota_invariant,
        9,
    ),
    (mistakes.delayed_enrolment_frees_quota, lambda: unenrolled(2, 2, CRASH_AND_SEND), quota_invariant, 8),
    (
        mistakes.repeated_enrolment_does_not_renew_lease,
        lambda: settled(RoundsModel, 3, 2, frozenset(("reject",))),
        quota_invariant,
        9,
    ),
    (
        mistakes.response_is_matched_to_latest_call,
        lambda: settled(QuotaModel, 3, 2, frozenset(("send", "older"))),
        quota_invariant,
        5,
    ),
    (
        mistakes.late_participant_ignores_clock_bound,
        lambda: settled_routes(2, 2, OperatorCommands(0), DECIDED, kinds=CRASH_AND_SEND),
        route_invariant,
        9,
    ),
    (
        mistakes.external_quota_ignored,
        lambda: unenrolled(3, 0, services=(("pay",), ("find",), ("",))),
        quota_invariant,
        6,
    ),
    (
        mistakes.enrolment_removes_record_of_another_group,
        lambda: unenrolled(2, 2, CRASH_AND_SEND, services=(("find", "pay"), ("pay",))),
        quota_invariant,
        7,
    ),
    (
        mistakes.grant_uses_quota_of_another_group,
        lambda: unenrolled(4, 0, services=TWO_GROUPS),
        quota_invariant,
        6,
    ),
    (
        mistakes.changes_merged_over_gap,
        lambda: settled(QuotaModel, 4, 2, services=TWO_GROUPS, kinds=LASTING_FAULTS),
        quota_invariant,
        7,
    ),
]


@pytest.mark.parametrize("mistake", MISTAKES, ids=lambda mistake: mistake[0].__name__)
def test_seeded_mistake_is_found(mistake: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    inject_mistake, start, check, depth = mistake
    model = start()
    inject_mistake(monkeypatch)
    result = explore(model, check, depth)
    print(f"\n{inject_mistake.__name__}: {result}")
    assert result.violation is not None
    monkeypatch.undo()
    assert explore(start(), check, len(result.trace)).violation is None, (
        "the correct implementation violates the check too"
    )


def test_gap_in_sent_changes_is_harmless_to_correct_node(monkeypatch: pytest.MonkeyPatch) -> None:
    mistakes.changes_sent_from_start_of_log(monkeypatch)
    start = settled(QuotaModel, 4, 2, LASTING_FAULTS, services=TWO_GROUPS)
    assert_searched("changes with a gap", explore(start, quota_invariant, 6, quota_recovery, 100), 2_000)


def assert_searched(name: str, result: SearchResult, min_states: int) -> None:
    print(f"\n{name}: {result}")
    assert result.violation is None, str(result)
    assert result.states >= min_states
