"""The balancer's usual path: thresholds, cursor, priorities, rejection, ranking and measured load."""

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
from tests.support.builders import SAFE, BalancerEnvironment, action_types, make_endpoints, sent


def run_period(env: BalancerEnvironment, latency_ms: float, count: int = 30) -> None:
    for _ in range(count):
        request_id, actions = env.send_request()
        if sent(actions):
            env.end_attempt(request_id, sent(actions)[0].server, AttemptResult.OK, latency_ms)
    env.end_period()


def test_cursor_moves_one_step_per_period_in_both_directions():
    env = BalancerEnvironment()
    run_period(env, 200.0)
    assert env.balancer.cursor == 0
    cursors = []
    for _ in range(4):
        run_period(env, 950.0)
        cursors.append(env.balancer.cursor)
    assert cursors == [1, 2, 3, 4]
    for _ in range(8):
        run_period(env, 100.0)
    assert env.balancer.cursor == 0


def test_threshold_table_is_flat_then_falls_but_stays_above_zero():
    balancer = BalancerEnvironment().balancer
    thresholds = []
    for cursor in range(len(SLOT_RATIOS)):
        balancer.state.cursor = cursor
        thresholds.append(balancer.threshold(1.0, 20))
    assert thresholds[0] == thresholds[1]
    assert all(left > right for left, right in pairwise(thresholds[1:]))
    balancer.state.cursor = len(SLOT_RATIOS) - 1
    assert balancer.threshold(1e-9, 1) > 0.0


def test_low_priority_has_lower_threshold_that_falls_faster():
    balancer = BalancerEnvironment().balancer
    high, low = balancer.threshold(1.0, 20), balancer.threshold(1 / 12, 20)
    assert low < high
    balancer.state.cursor = len(SLOT_RATIOS) - 1
    assert balancer.threshold(1 / 12, 20) / low < balancer.threshold(1.0, 20) / high


def test_requests_at_threshold_are_rejected_low_priority_first():
    env = BalancerEnvironment(count=4)
    in_flight_at_rejection = {}
    for service in ("post", "read"):
        for _ in range(40):
            _, actions = env.send_request(service)
            if not sent(actions):
                break
        in_flight_at_rejection[service] = sum(
            endpoint.in_flight for endpoint in env.balancer.endpoints.values()
        )
        assert action_types(actions) == [Reject]
    assert in_flight_at_rejection["post"] < in_flight_at_rejection["read"]


def test_retries_and_over_quota_tenants_get_lower_priority():
    env = BalancerEnvironment(tenants=(Tenant("t", 4.0),), over_quota_weight=0.2)
    new_request = Request("a", "read", 9e9)
    priority = env.balancer.admission.priority(env.now, new_request, SAFE)
    assert env.balancer.admission.priority(env.now, Request("b", "read", 9e9, is_retry=True), SAFE) < priority
    priorities = [
        env.balancer.admission.priority(env.now, Request("c", "read", 9e9, tenant="t"), SAFE)
        for _ in range(4)
    ]
    assert priorities[:2] == [priority, priority]  # 4 requests per second over 2 siblings
    assert priorities[2] == priorities[3] == pytest.approx(0.2 * priority)
    assert (
        env.balancer.admission.priority(env.now + 1000, Request("d", "read", 9e9, tenant="t"), SAFE)
        == priority
    )


@pytest.mark.parametrize("quota", [0.1, 0.5, 0.99, 1.0, 1.5])
def test_low_tenant_quota_admits_requests_at_its_rate(quota):
    env = BalancerEnvironment(
        siblings=1, tenants=(Tenant("t", quota), Tenant("zero", 0.0)), over_quota_weight=0.2
    )

    def priority(tenant: str, delay_ms: float) -> float:
        env.now += delay_ms
        return env.balancer.admission.priority(env.now, Request("c", "read", 9e9, tenant=tenant), SAFE)

    full_priority, token_interval_ms = priority("unknown", 0.0), 1000.0 / quota + 0.01
    assert [priority("t", token_interval_ms) for _ in range(5)] == [full_priority] * 5  # at the quota's rate
    assert priority("t", 0.0) < full_priority  # no token left
    assert priority("t", 0.4 * token_interval_ms) < full_priority
    assert priority("t", 20.0 * token_interval_ms) == full_priority
    # The bucket holds the tokens of one second, at least one.
    assert [priority("t", 0.0) for _ in range(2)] == [pytest.approx(0.2 * full_priority)] * 2
    assert priority("zero", 1e6) == pytest.approx(0.2 * full_priority)


def test_tenant_quota_applies_at_front_tier_only():
    env = BalancerEnvironment(tenants=(Tenant("t", 0.0),), over_quota_weight=0.2, tier=1)
    assert env.balancer.admission.priority(env.now, Request("c", "read", 9e9, tenant="t"), SAFE) == 1.0


def test_threshold_grows_with_completion_rate():
    env = BalancerEnvironment()
    before = env.balancer.threshold(1.0, 4)
    for _ in range(20):
        run_period(env, 100.0)
    assert env.balancer.threshold(1.0, 4) > before


def test_threshold_headroom_depends_on_endpoints_not_on_completion_rate():
    env, ready = BalancerEnvironment(), 4
    balancer = env.balancer
    balancer.state.periods_elapsed = 10**6  # past the startup phase
    balancer.state.baseline_ratio, balancer.state.mean_latency_objective_ms = 0.1, 1000.0
    for rate in (0.005, 0.05):
        balancer.state.completion_rate = balancer.state.peak_completion_rate = rate
        unloaded = ready * rate * balancer.state.mean_latency_objective_ms * balancer.state.baseline_ratio
        headroom = (balancer.threshold(1.0, ready) - unloaded) * balancer.settings.siblings / ready
        assert 2.0 < headroom < 5.0  # requests per server beyond those at unloaded latency, over all siblings


def test_threshold_is_higher_only_if_servers_report_low_utilisation():
    thresholds = []
    for util in (0.5, 0.9, None):
        env = BalancerEnvironment(count=4)
        env.balancer.state.periods_elapsed = 10**6  # past the startup phase
        for _ in range(12):
            env.complete_request(load_report=None if util is None else {"util": util})
        env.end_period()
        thresholds.append(env.balancer.threshold(1.0, 4))
    assert thresholds[0] > thresholds[1] + 3.0
    assert abs(thresholds[1] - thresholds[2]) < 0.01


def test_requests_spread_by_queue_and_prefer_faster_server():
    env = BalancerEnvironment(count=2)
    both = {sent(env.send_request()[1])[0].server for _ in range(2)}
    assert both == {"s0", "s1"}
    env = BalancerEnvironment(count=2)
    for _ in range(30):
        for server, latency_ms in (("s0", 300.0), ("s1", 100.0)):
            record_outcome(env.balancer.state, env.now, *outcome_of(env, server, latency_ms))
    chosen = [env.complete_request() for _ in range(10)]
    assert chosen.count("s1") == 10


def test_removed_servers_do_not_raise_threshold_of_remaining_ones():
    env = BalancerEnvironment(count=8)
    env.balancer.state.periods_elapsed = 10**6  # past the startup phase
    for _ in range(30):
        run_period(env, 400.0)
    threshold_per_endpoint = env.balancer.threshold(1.0, 8) / 8
    env.handle(EndpointListUpdate(EndpointListKind.FULL, make_endpoints(4)))
    assert env.balancer.threshold(1.0, len(env.balancer.ready)) / 4 < 1.1 * threshold_per_endpoint


def test_completions_of_draining_servers_do_not_raise_completion_rate():
    env = BalancerEnvironment(count=2)
    request_id, actions = env.send_request()
    draining = Endpoint(sent(actions)[0].server, zone="a", state=EndpointStatus.DRAINING)
    env.handle(EndpointListUpdate(EndpointListKind.DELTA, (draining,)))
    env.end_attempt(request_id, draining.name, AttemptResult.OK)
    env.end_period()
    assert env.balancer.state.completion_rate == 0.0


def test_best_ranked_server_stays_within_quota_over_all_balancers():
    siblings, ready = 24, 10
    envs = [BalancerEnvironment(count=ready, seed=seed, siblings=siblings) for seed in range(siblings)]
    for env in envs:
        env.balancer.state.periods_elapsed = 10**6  # past the startup phase
        best = env.balancer.endpoints["s0"]
        best.latency_ratio, best.last_outcome_ms = 0.1, env.now  # ranked far ahead of the others
        for _ in range(20):
            env.send_request()
    in_flight = [sum(env.balancer.endpoints[f"s{index}"].in_flight for env in envs) for index in range(ready)]
    mean_threshold = sum(env.balancer.threshold(1.0, ready) for env in envs) / ready
    assert in_flight[0] == max(in_flight)
    assert in_flight[0] < 2.0 * mean_threshold


def test_balancer_with_quota_near_zero_still_sends_requests():
    env = BalancerEnvironment(count=2, siblings=400)
    env.balancer.state.periods_elapsed = 10**6  # past the startup phase
    for endpoint in env.balancer.endpoints.values():
        endpoint.rounding_offset = 0.0
    assert any(sent(env.send_request()[1]) for _ in range(100))


def outcome_of(env: BalancerEnvironment, server: str, latency_ms: float):
    request = Request("x", "read", 9e9)
    attempt = Attempt(env.balancer.endpoints[server], env.now - latency_ms)
    pending = PendingRequest(request, SAFE, env.now, 1.0, [attempt])
    return pending, attempt, AttemptOutcome("x", 0, server, AttemptResult.OK, latency_ms, True)


def test_cross_zone_price_keeps_requests_in_local_zone():
    unpriced, priced = BalancerEnvironment(count=2), BalancerEnvironment(count=2, cross_zone_price=0.1)
    assert {unpriced.complete_request() for _ in range(12)} == {"s0", "s1"}
    assert {priced.complete_request() for _ in range(12)} == {"s0"}


def test_requests_spill_to_other_zone_when_local_zone_is_busy():
    env = BalancerEnvironment(count=2, cross_zone_price=0.03)
    chosen = []
    for _ in range(6):
        _, actions = env.send_request()
        chosen += [action.server for action in sent(actions)]
    assert chosen[0] == "s0"
    assert "s1" in chosen


def test_reported_queue_lowers_rank_and_decays():
    env = BalancerEnvironment(count=2)
    request_id, actions = env.send_request()
    server = sent(actions)[0].server
    env.end_attempt(request_id, server, AttemptResult.OK, 100.0, load_report={"queue": 8.0})
    other = ({"s0", "s1"} - {server}).pop()
    assert [env.complete_request() for _ in range(5)] == [other] * 5
    env.now += 5000
    assert server in {env.complete_request() for _ in range(10)}


def test_reported_utilisation_over_target_raises_cursor():
    env = BalancerEnvironment(count=2)
    for _ in range(12):
        env.complete_request(latency_ms=50.0, load_report={"util": 1.0})
    env.end_period()
    assert env.balancer.cursor == 1


def test_rejections_by_servers_raise_cursor():
    env = BalancerEnvironment()
    request_id, actions = env.send_request()
    env.end_attempt(request_id, sent(actions)[0].server, AttemptResult.REJECTED, 1.0)
    env.end_period()
    assert env.balancer.cursor == 1


def test_one_slow_outcome_in_a_period_does_not_move_cursor():
    """Guard: in an idle pool a single slow response raised the cursor, and requests were rejected."""
    env = BalancerEnvironment()
    for _ in range(3):
        run_period(env, 200.0)
    run_period(env, 900.0, count=1)
    assert env.balancer.cursor == 0


def test_usual_load_is_admitted_at_startup():
    """Guard: thresholds without measurements rejected a fifth of the requests of the first seconds."""
    env = BalancerEnvironment(count=10)
    assert all(sent(env.send_request("post")[1]) for _ in range(8))


def test_requests_weigh_by_cost_hint_with_weight_by_work():
    env = BalancerEnvironment(weight_by_work=True)
    env.send_request(cost_hint_ms=10.0)
    env.send_request(cost_hint_ms=100.0)
    in_flight = sorted(endpoint.in_flight for endpoint in env.balancer.endpoints.values())
    assert in_flight[-1] > in_flight[-2] > 0


def test_request_is_rejected_without_endpoints():
    env = BalancerEnvironment(count=0)
    assert action_types(env.send_request("post")[1]) == [Reject]


def test_rejections_have_retry_after_at_front_tier_only():
    for tier, expected in ((0, True), (1, False)):
        env = BalancerEnvironment(count=0, tier=tier, retry_after=True, max_retry_after_ms=1000.0)
        env.balancer.state.cursor = 3
        rejection = env.send_request()[1][-1]
        assert isinstance(rejection, Reject)
        assert (rejection.retry_after_ms > 0) is expected


def test_invalid_setting_is_named_in_error():
    with pytest.raises(ValueError, match="siblings"):
        Settings(classes=(SAFE,), siblings=0)
    with pytest.raises(ValueError, match="classes"):
        Settings(classes=())
    with pytest.raises(ValueError, match=r"classes\[0\].latency_objective_ms"):
        Settings(classes=(ServiceClass("x", latency_objective_ms=-1, client_timeout_ms=1),))
    with pytest.raises(ValueError, match="slow_start_ms"):
        Settings(classes=(SAFE,), slow_start_ms=float("nan"))


@pytest.mark.parametrize(("key", "value"), [("may_cancel", "yes"), ("zone", 3), ("max_attempts", "2")])
def test_setting_of_wrong_type_is_named_with_value_in_error(key, value):
    with pytest.raises(ValueError, match=f"{key}: {value!r}"):
        Settings(classes=(SAFE,), **{key: value})


def test_same_seed_and_events_give_same_actions():
    def run_events() -> list[list[Action]]:
        env = BalancerEnvironment(count=6)
        actions = []
        for index in range(60):
            request_id, request_actions = env.send_request(("read", "post", "points")[index % 3])
            actions.append(request_actions)
            if sent(request_actions):
                actions.append(
                    env.end_attempt(
                        request_id,
                        sent(request_actions)[0].server,
                        list(AttemptResult)[index % 8],
                        50.0 + index,
                    )
                )
            actions.append(env.end_period(20.0))
        return actions

    assert run_events() == run_events()


def test_summary_counts_cursor_steps_and_rejections_by_reason():
    env = BalancerEnvironment(count=2)
    env.send_request(time_left_ms=0.5)  # too little for an attempt
    assert "rejected unsent 1" in env.balancer.summary()
    for _ in range(40):
        env.send_request()
    env.end_period()
    summary = env.balancer.summary()
    assert "rejected at threshold" in summary
    assert "left 1" in summary
    assert f"cursor {env.balancer.cursor}," in summary
    assert env.balancer.summary().startswith("idle; ")
    for _ in range(30):
        env.balancer.state.window.attempts_ended, env.balancer.state.window.attempts_rejected = 10.0, 9.0
        env.end_period()
    assert "right by rejected attempts 30" in env.balancer.summary()


def test_attempt_times_out_at_latency_objective_only_if_not_stretched():
    classes = [
        ServiceClass("fixed", 100.0, 900.0),
        ServiceClass("stretched", 100.0, 900.0, latency_objective_stretch=3.0),
    ]
    env = BalancerEnvironment(classes=tuple(classes))
    timeouts_ms = [
        sent(env.send_request(service_class.name, time_left_ms=900.0)[1])[0].timeout_ms
        for service_class in classes
    ]
    assert timeouts_ms == [98.0, 900.0]
