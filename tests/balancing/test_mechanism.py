"""The ordinary path: table, cursor, rows, refusal, ranking, and how the pool's load is read."""

from __future__ import annotations

from itertools import pairwise

import pytest

from loadbalancer.balancing.actions import Action, Reject
from loadbalancer.balancing.cursor_table import SLOT_RATIOS
from loadbalancer.balancing.events import AttemptOutcome, EndpointListUpdate, Request
from loadbalancer.balancing.outcome_statistics import record_outcome
from loadbalancer.balancing.state import Attempt, PendingRequest
from loadbalancer.endpoints import AttemptResult, Endpoint, EndpointListKind, EndpointStatus
from loadbalancer.service_settings import ServiceClass, Settings, Tenant
from tests.support.builders import SAFE, Bed, kinds, sent, servers


def load_period(bed: Bed, latency: float, count: int = 30) -> None:
    for _ in range(count):
        name, acts = bed.ask()
        if sent(acts):
            bed.end(name, sent(acts)[0].server, AttemptResult.OK, latency)
    bed.period()


def test_cursor_moves_one_step_a_period_and_back():
    bed = Bed()
    load_period(bed, 200.0)
    assert bed.brain.cursor == 0
    seen = []
    for _ in range(4):
        load_period(bed, 950.0)
        seen.append(bed.brain.cursor)
    assert seen == [1, 2, 3, 4]
    for _ in range(8):
        load_period(bed, 100.0)
    assert bed.brain.cursor == 0


def test_table_is_flat_then_falls_and_never_to_nothing():
    brain = Bed().brain
    entries = []
    for cursor in range(len(SLOT_RATIOS)):
        brain.state.cursor = cursor
        entries.append(brain.threshold(1.0, 20))
    assert entries[0] == entries[1]
    assert all(left > right for left, right in pairwise(entries[1:]))
    brain.state.cursor = len(SLOT_RATIOS) - 1
    assert brain.threshold(1e-9, 1) > 0.0


def test_low_worth_is_shed_first_and_bends_further():
    brain = Bed().brain
    high, low = brain.threshold(1.0, 20), brain.threshold(1 / 12, 20)
    assert low < high
    brain.state.cursor = len(SLOT_RATIOS) - 1
    assert brain.threshold(1 / 12, 20) / low < brain.threshold(1.0, 20) / high


def test_a_call_at_the_threshold_is_refused_at_once_low_rows_first():
    bed = Bed(count=4)
    outcome = {}
    for service in ("post", "read"):
        for _ in range(40):
            _, acts = bed.ask(service)
            if not sent(acts):
                break
        outcome[service] = sum(peer.in_flight for peer in bed.brain.endpoints.values())
        assert kinds(acts) == [Reject]
    assert outcome["post"] < outcome["read"]


def test_marked_retries_and_over_quota_tenants_fall_to_lower_rows():
    bed = Bed(tenants=(Tenant("t", 4.0),), over_quota_weight=0.2)
    fresh = Request("a", "read", 9e9)
    worth = bed.brain.admission.priority(bed.now, fresh, SAFE)
    assert bed.brain.admission.priority(bed.now, Request("b", "read", 9e9, is_retry=True), SAFE) < worth
    tenant = [
        bed.brain.admission.priority(bed.now, Request("c", "read", 9e9, tenant="t"), SAFE) for _ in range(4)
    ]
    assert tenant[:2] == [worth, worth]  # 4 a second over 2 siblings
    assert tenant[2] == tenant[3] == pytest.approx(0.2 * worth)
    assert bed.brain.admission.priority(bed.now + 1000, Request("d", "read", 9e9, tenant="t"), SAFE) == worth


@pytest.mark.parametrize("quota", [0.1, 0.5, 0.99, 1.0, 1.5])
def test_a_tenant_whose_quota_is_under_one_call_a_second_here_has_calls_inside_its_share(quota):
    bed = Bed(siblings=1, tenants=(Tenant("t", quota), Tenant("none", 0.0)), over_quota_weight=0.2)

    def worth(tenant: str, after: float) -> float:
        bed.now += after
        return bed.brain.admission.priority(bed.now, Request("c", "read", 9e9, tenant=tenant), SAFE)

    whole, apart = worth("unknown", 0.0), 1000.0 / quota + 0.01
    assert [worth("t", apart) for _ in range(5)] == [whole] * 5  # as many as it may
    assert worth("t", 0.0) < whole  # and no more,
    assert worth("t", 0.4 * apart) < whole
    assert worth("t", 20.0 * apart) == whole  # nor saved up beyond a second's, or one
    assert [worth("t", 0.0) for _ in range(2)] == [pytest.approx(0.2 * whole)] * 2
    assert worth("none", 1e6) == pytest.approx(0.2 * whole)


def test_over_quota_counts_at_the_front_only():
    bed = Bed(tenants=(Tenant("t", 0.0),), over_quota_weight=0.2, tier=1)
    assert bed.brain.admission.priority(bed.now, Request("c", "read", 9e9, tenant="t"), SAFE) == 1.0


def test_threshold_grows_with_the_completion_rate():
    bed = Bed()
    before = bed.brain.threshold(1.0, 4)
    for _ in range(20):
        load_period(bed, 100.0)
    assert bed.brain.threshold(1.0, 4) > before


def test_what_the_threshold_adds_to_the_quiet_count_is_bounded_by_the_servers_not_by_the_aim():
    bed, ready = Bed(), 4
    brain = bed.brain
    brain.state.periods_elapsed = 10**6  # past the start
    brain.state.baseline_ratio, brain.state.mean_latency_objective_ms = 0.1, 1000.0
    for rate in (0.005, 0.05):
        brain.state.completion_rate = brain.state.peak_completion_rate = rate
        quiet = ready * rate * brain.state.mean_latency_objective_ms * brain.state.baseline_ratio
        over = (brain.threshold(1.0, ready) - quiet) * brain.settings.siblings / ready
        assert 2.0 < over < 5.0  # calls that a server holds beyond its quiet count, over all siblings


def test_servers_that_report_room_are_given_more_and_unheard_ones_are_not():
    thresholds = []
    for util in (0.5, 0.9, None):
        bed = Bed(count=4)
        bed.brain.state.periods_elapsed = 10**6  # past the start
        for _ in range(12):
            bed.serve(load_report=None if util is None else {"util": util})
        bed.period()
        thresholds.append(bed.brain.threshold(1.0, 4))
    assert thresholds[0] > thresholds[1] + 3.0
    assert abs(thresholds[1] - thresholds[2]) < 0.01


def test_calls_spread_by_queue_and_prefer_the_faster_server():
    bed = Bed(count=2)
    first = {sent(bed.ask()[1])[0].server for _ in range(2)}
    assert first == {"s0", "s1"}
    bed = Bed(count=2)
    for _ in range(30):
        for server, latency in (("s0", 300.0), ("s1", 100.0)):
            record_outcome(bed.brain.state, bed.now, *judged(bed, server, latency))
    took = [bed.serve() for _ in range(10)]
    assert took.count("s1") == 10


def test_the_quiet_count_of_servers_that_have_gone_is_not_let_in_to_those_left():
    bed = Bed(count=8)
    bed.brain.state.periods_elapsed = 10**6  # past the start
    for _ in range(30):
        load_period(bed, 400.0)
    each = bed.brain.threshold(1.0, 8) / 8
    bed.give(EndpointListUpdate(EndpointListKind.FULL, servers(4)))
    assert bed.brain.threshold(1.0, len(bed.brain.ready)) / 4 < 1.1 * each


def test_what_servers_that_leave_complete_does_not_raise_the_count_of_those_that_stay():
    bed = Bed(count=2)
    name, acts = bed.ask()
    leaving = Endpoint(sent(acts)[0].server, zone="a", state=EndpointStatus.DRAINING)
    bed.give(EndpointListUpdate(EndpointListKind.DELTA, (leaving,)))
    bed.end(name, leaving.name, AttemptResult.OK)
    bed.period()
    assert bed.brain.state.completion_rate == 0.0


def test_no_server_holds_more_than_its_share_of_all_balancers_thresholds():
    siblings, ready = 24, 10
    beds = [Bed(count=ready, seed=seed, siblings=siblings) for seed in range(siblings)]
    for bed in beds:
        bed.brain.state.periods_elapsed = 10**6  # past the start
        best = bed.brain.endpoints["s0"]
        best.latency_ratio, best.last_outcome_ms = 0.1, bed.now  # ranked far before the others
        for _ in range(20):
            bed.ask()
    held = [sum(bed.brain.endpoints[f"s{at}"].in_flight for bed in beds) for at in range(ready)]
    share = sum(bed.brain.threshold(1.0, ready) for bed in beds) / ready
    assert held[0] == max(held)
    assert held[0] < 2.0 * share


def test_a_balancer_whose_share_of_every_server_is_nothing_still_finds_out():
    bed = Bed(count=2, siblings=400)
    bed.brain.state.periods_elapsed = 10**6  # past the start
    for peer in bed.brain.endpoints.values():
        peer.rounding_offset = 0.0
    assert any(sent(bed.ask()[1]) for _ in range(100))


def judged(bed: Bed, server: str, latency: float):
    request = Request("x", "read", 9e9)
    attempt = Attempt(bed.brain.endpoints[server], bed.now - latency)
    job = PendingRequest(request, SAFE, bed.now, 1.0, [attempt])
    return job, attempt, AttemptOutcome("x", 0, server, AttemptResult.OK, latency, True)


def test_a_crossing_costs_rank_where_it_has_a_price():
    free, priced = Bed(count=2), Bed(count=2, cross_zone_price=0.1)
    assert {free.serve() for _ in range(12)} == {"s0", "s1"}
    assert {priced.serve() for _ in range(12)} == {"s0"}


def test_a_crowded_zone_spills_over():
    bed = Bed(count=2, cross_zone_price=0.03)
    took = []
    for _ in range(6):
        _, acts = bed.ask()
        took += [act.server for act in sent(acts)]
    assert took[0] == "s0"
    assert "s1" in took


def test_a_reported_queue_counts_and_fades():
    bed = Bed(count=2)
    name, acts = bed.ask()
    server = sent(acts)[0].server
    bed.end(name, server, AttemptResult.OK, 100.0, load_report={"queue": 8.0})
    other = ({"s0", "s1"} - {server}).pop()
    assert [bed.serve() for _ in range(5)] == [other] * 5
    bed.now += 5000
    assert server in {bed.serve() for _ in range(10)}


def test_reported_utilisation_over_target_moves_the_cursor():
    bed = Bed(count=2)
    for _ in range(12):
        bed.serve(latency=50.0, load_report={"util": 1.0})
    bed.period()
    assert bed.brain.cursor == 1


def test_answers_refused_as_full_move_the_cursor():
    bed = Bed()
    name, acts = bed.ask()
    bed.end(name, sent(acts)[0].server, AttemptResult.REJECTED, 1.0)
    bed.period()
    assert bed.brain.cursor == 1


def test_few_outcomes_of_a_period_do_not_move_the_cursor():
    """Guard: on quiet pools a single heavy answer pushed the cursor right and refused calls."""
    bed = Bed()
    for _ in range(3):
        load_period(bed, 200.0)
    load_period(bed, 900.0, count=1)
    assert bed.brain.cursor == 0


def test_start_does_not_refuse_an_ordinary_load():
    """Guard: a table sized before anything was learned refused a fifth of the first seconds."""
    bed = Bed(count=10)
    assert all(sent(bed.ask("post")[1]) for _ in range(8))


def test_work_counts_where_worth_goes_by_work():
    bed = Bed(weight_by_work=True)
    bed.ask(cost_hint_ms=10.0)
    bed.ask(cost_hint_ms=100.0)
    loads = sorted(peer.in_flight for peer in bed.brain.endpoints.values())
    assert loads[-1] > loads[-2] > 0


def test_no_server_no_send():
    bed = Bed(count=0)
    assert kinds(bed.ask("post")[1]) == [Reject]


def test_refusals_carry_a_wait_at_the_front_only():
    for tier, expected in ((0, True), (1, False)):
        bed = Bed(count=0, tier=tier, retry_after=True, max_retry_after_ms=1000.0)
        bed.brain.state.cursor = 3
        refusal = bed.ask()[1][-1]
        assert isinstance(refusal, Reject)
        assert (refusal.retry_after_ms > 0) is expected


def test_settings_name_the_bad_key():
    with pytest.raises(ValueError, match="siblings"):
        Settings(classes=(SAFE,), siblings=0)
    with pytest.raises(ValueError, match="classes"):
        Settings(classes=())
    with pytest.raises(ValueError, match=r"classes\[0\].latency_objective_ms"):
        Settings(classes=(ServiceClass("x", latency_objective_ms=-1, client_timeout_ms=1),))
    with pytest.raises(ValueError, match="slow_start_ms"):
        Settings(classes=(SAFE,), slow_start_ms=float("nan"))


@pytest.mark.parametrize(("key", "value"), [("may_cancel", "yes"), ("zone", 3), ("max_attempts", "2")])
def test_settings_of_the_wrong_type_are_named_with_their_value(key, value):
    with pytest.raises(ValueError, match=f"{key}: {value!r}"):
        Settings(classes=(SAFE,), **{key: value})


def test_same_events_same_actions():
    def run() -> list[list[Action]]:
        bed = Bed(count=6)
        acts = []
        for at in range(60):
            name, one = bed.ask(("read", "post", "points")[at % 3])
            acts.append(one)
            if sent(one):
                acts.append(bed.end(name, sent(one)[0].server, list(AttemptResult)[at % 8], 50.0 + at))
            acts.append(bed.period(20.0))
        return acts

    assert run() == run()


def test_the_figures_name_what_moved_the_cursor_and_what_was_turned_away():
    bed = Bed(count=2)
    bed.ask(left=0.5)  # too late for an attempt
    assert "rejected unsent 1" in bed.brain.summary()
    for _ in range(40):
        bed.ask()
    bed.period()
    said = bed.brain.summary()
    assert "rejected at threshold" in said
    assert "left 1" in said
    assert f"cursor {bed.brain.cursor}," in said
    assert bed.brain.summary().startswith("idle; ")
    for _ in range(30):
        bed.brain.state.window.attempts_ended, bed.brain.state.window.attempts_rejected = 10.0, 9.0
        bed.period()
    assert "right by rejected attempts 30" in bed.brain.summary()


def test_only_an_aim_that_does_not_move_with_the_work_ends_an_attempt_that_is_worth_nothing_after_it():
    kinds = [
        ServiceClass("fixed", 100.0, 900.0),
        ServiceClass("stretched", 100.0, 900.0, latency_objective_stretch=3.0),
    ]
    bed = Bed(classes=tuple(kinds))
    limits = [sent(bed.ask(kind.name, left=900.0)[1])[0].timeout_ms for kind in kinds]
    assert limits == [98.0, 900.0]
