"""Special cases of the balancer: each test states the failure that it guards against."""

from __future__ import annotations

import copy
import math

import pytest

from loadbalancer.balancing import endpoint_selection
from loadbalancer.balancing.actions import Cancel, Fail, Reject, SetTimer, Watch
from loadbalancer.balancing.cursor_table import SLOT_RATIOS
from loadbalancer.balancing.endpoint_selection import slow_start_admits
from loadbalancer.balancing.events import EndpointListUpdate, RequestCancelled, StreamStarted, TimerFired
from loadbalancer.endpoints import AttemptResult, Endpoint, EndpointListKind, EndpointStatus
from loadbalancer.service_settings import DeduplicationScope, Effect, ServiceClass
from tests.support.builders import BalancerEnvironment, action_types, make_endpoints, sent

NEVER_EXECUTED = [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.ABANDONED]
POSSIBLY_EXECUTED = [AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED]


# ------------------------------------------------------- no request takes effect twice


@pytest.mark.parametrize("result", NEVER_EXECUTED)
@pytest.mark.parametrize("service", ["read", "post", "points"])
def test_unexecuted_attempt_is_retried_elsewhere_then_request_rejected(result, service):
    env = BalancerEnvironment()
    request_id, actions = env.send_request(service)
    attempted = []
    for attempt in range(3):
        assert len(sent(actions)) == 1
        attempted.append(sent(actions)[0].server)
        actions = env.end_attempt(request_id, attempted[-1], result, 5.0, attempt)
    assert len(set(attempted)) == 3
    assert action_types(actions) == [Reject]


@pytest.mark.parametrize("result", POSSIBLY_EXECUTED)
def test_possibly_executed_unsafe_request_fails(result):
    env = BalancerEnvironment()
    request_id, actions = env.send_request("post")
    assert action_types(env.end_attempt(request_id, sent(actions)[0].server, result)) == [Fail]


@pytest.mark.parametrize("result", POSSIBLY_EXECUTED)
def test_idempotent_request_is_retried_up_to_max_attempts(result):
    env = BalancerEnvironment(count=8, max_attempts=3)
    request_id, actions = env.send_request("read")
    attempted = []
    for attempt in range(3):
        attempted.append(sent(actions)[0].server)
        actions = env.end_attempt(request_id, attempted[-1], result, 5.0, attempt)
    assert len(set(attempted)) == 3
    assert action_types(actions) == [Reject]


@pytest.mark.parametrize("scope", list(DeduplicationScope))
@pytest.mark.parametrize("result", POSSIBLY_EXECUTED)
def test_retry_with_idempotency_key_stays_in_deduplication_scope(result, scope):
    service_class = ServiceClass(
        "keyed",
        latency_objective_ms=2000,
        client_timeout_ms=5000,
        effect=Effect.IDEMPOTENCY_KEY,
        deduplication_scope=scope,
        deduplication_window_ms=900,
    )
    endpoints = tuple(Endpoint(f"s{index}", zone="ab"[index % 2], cell=index % 4) for index in range(8))
    endpoint_by_name = {endpoint.name: endpoint for endpoint in endpoints}
    for _ in range(8):
        env = BalancerEnvironment(count=0, classes=(service_class,))
        env.handle(EndpointListUpdate(EndpointListKind.FULL, endpoints))
        request_id, actions = env.send_request("keyed")
        first = endpoint_by_name[sent(actions)[0].server]
        second = endpoint_by_name[sent(env.end_attempt(request_id, first.name, result))[0].server]
        if scope is not DeduplicationScope.ALL:
            assert second.zone == first.zone
        if scope is DeduplicationScope.CELL:
            assert second.cell == first.cell


def test_request_is_not_retried_after_its_idempotency_key_may_have_expired():
    env = BalancerEnvironment()
    request_id, actions = env.send_request("points")
    env.now += 900
    assert action_types(env.end_attempt(request_id, sent(actions)[0].server, AttemptResult.ERROR)) == [Fail]


def test_retry_with_idempotency_key_has_write_deadline_within_window():
    env = BalancerEnvironment(count=6)
    request_id, actions = env.send_request("points")
    assert sent(actions)[0].written_by_ms == math.inf
    first_sent_ms, server = env.now, sent(actions)[0].server
    env.now += 500
    (retry,) = sent(env.end_attempt(request_id, server, AttemptResult.RESET))
    assert retry.written_by_ms == first_sent_ms + 900 - endpoint_selection.RETRY_MARGIN_MS
    env.now = retry.written_by_ms
    assert action_types(
        env.end_attempt(request_id, retry.server, AttemptResult.CONNECT_FAILED, attempt=1)
    ) == [Fail]


def test_rejected_attempts_count_towards_max_attempts():
    env = BalancerEnvironment(count=8, max_attempts=2)
    request_id, actions = env.send_request("post")
    actions = env.end_attempt(request_id, sent(actions)[0].server, AttemptResult.REJECTED)
    assert action_types(
        env.end_attempt(request_id, sent(actions)[0].server, AttemptResult.REJECTED, attempt=1)
    ) == [Reject]


# ---------------------------------------------------------- one final response


def test_no_actions_after_request_is_cancelled():
    env = BalancerEnvironment()
    request_id, actions = env.send_request("read")
    server = sent(actions)[0].server
    actions = env.handle(RequestCancelled(request_id))
    assert action_types(actions) == [Cancel]
    assert env.end_attempt(request_id, server, AttemptResult.CANCELLED, request_ended=True) == []
    assert env.handle(RequestCancelled(request_id)) == []
    assert env.balancer.pending == {}


def test_timeout_at_deadline_ends_request_at_once():
    env = BalancerEnvironment()
    request_id, actions = env.send_request("post", time_left_ms=300.0)
    env.now += 300.0
    assert action_types(
        env.end_attempt(request_id, sent(actions)[0].server, AttemptResult.TIMEOUT, 300.0)
    ) == [Fail]
    request_id, actions = env.send_request("read", time_left_ms=300.0)
    env.now += 300.0
    assert action_types(
        env.end_attempt(request_id, sent(actions)[0].server, AttemptResult.TIMEOUT, 300.0)
    ) == [Reject]


def test_attempt_times_out_at_latency_objective_if_late_response_has_no_value():
    """Guard: attempts past the latency objective had no value and took capacity from other requests."""
    env = BalancerEnvironment()
    assert 900.0 < sent(env.send_request("post", time_left_ms=2000.0)[1])[0].timeout_ms < 1000.0
    assert sent(env.send_request("post", time_left_ms=500.0)[1])[0].timeout_ms <= 500.0


def test_attempt_runs_to_deadline_if_late_response_has_value():
    service_class = ServiceClass(
        "slow", latency_objective_ms=500, client_timeout_ms=5000, late_weight=0.3, effect=Effect.IDEMPOTENT
    )
    env = BalancerEnvironment(classes=(service_class,))
    assert sent(env.send_request("slow", time_left_ms=2000.0)[1])[0].timeout_ms == 2000.0


def test_streaming_attempt_is_neither_cancelled_nor_retried():
    service_class = ServiceClass(
        "stream", latency_objective_ms=500, client_timeout_ms=5000, stream=True, effect=Effect.IDEMPOTENT
    )
    env = BalancerEnvironment(classes=(service_class,))
    request_id, actions = env.send_request("stream")
    assert env.handle(StreamStarted(request_id, 0)) == []
    assert sent(env.end_period(2000.0)) == []
    assert env.end_attempt(request_id, sent(actions)[0].server, AttemptResult.RESET, request_ended=True) == []


# ------------------------------------------------------------- endpoint health


def test_no_hedged_request_while_an_attempt_is_in_flight():
    """Guard: hedged requests added load just when there was too much."""
    env = BalancerEnvironment()
    env.send_request("read")
    assert sent(env.end_period(600.0)) == []


def test_hanging_server_is_avoided_before_its_attempts_time_out():
    """Guard: a server that accepted requests and never responded kept its rank until the first timeout."""
    env = BalancerEnvironment(count=4)
    for _ in range(20):
        env.complete_request()
    hanging = sent(env.send_request("read")[1])[0].server
    env.now += 400.0
    assert hanging not in {env.complete_request() for _ in range(8)}


def test_server_that_responds_again_is_used_again():
    env = BalancerEnvironment(count=2)
    for _ in range(20):
        env.complete_request()
    request_id, actions = env.send_request("read")
    hanging = sent(actions)[0].server
    env.now += 900.0
    env.end_attempt(request_id, hanging, AttemptResult.OK, 900.0)
    env.now += 60000.0
    assert hanging in {action.server for _ in range(8) for action in sent(env.send_request("read")[1])}


def test_fast_errors_do_not_improve_rank():
    env = BalancerEnvironment(count=4)
    chosen = 0
    for _ in range(80):
        request_id, actions = env.send_request("post")
        server = sent(actions)[0].server
        broken = server == "s0"
        chosen += broken
        env.now += 5.0 if broken else 100.0
        env.end_attempt(
            request_id, server, AttemptResult.ERROR if broken else AttemptResult.OK, 5.0 if broken else 100.0
        )
        env.end_period(0.0)
    assert chosen <= 4


def test_rank_of_slow_server_recovers_over_time_without_outcomes():
    env = BalancerEnvironment(count=2)
    for _ in range(40):
        request_id, actions = env.send_request()
        server = sent(actions)[0].server
        latency_ms = 900.0 if server == "s1" else 100.0
        env.now += latency_ms
        env.end_attempt(request_id, server, AttemptResult.OK, latency_ms)

    def requests_before_slow_endpoint(env: BalancerEnvironment) -> int:
        """Return how many requests the other server gets before the slow one gets its first."""
        requests = [action.server for _ in range(12) for action in sent(env.send_request()[1])]
        return requests.index("s1") if "s1" in requests else len(requests)

    much_later = copy.deepcopy(env)
    much_later.now += 40000.0
    assert requests_before_slow_endpoint(much_later) < requests_before_slow_endpoint(env)


def test_all_servers_stay_in_use_if_all_become_slow():
    env = BalancerEnvironment(count=6)
    for _ in range(6):
        env.complete_request()
    for _ in range(12):
        env.complete_request(latency_ms=900.0)
    chosen = [action.server for _ in range(10) for action in sent(env.send_request("read")[1])]
    assert set(chosen) == {f"s{index}" for index in range(6)}


def test_errors_move_cursor_at_front_tier_only():
    """Guard: rejections by a lower tier are errors at the front tier, which did not reduce its load."""
    cursors = []
    for tier in (0, 1):
        env = BalancerEnvironment(tier=tier)
        for _ in range(4):
            request_id, actions = env.send_request("post")
            env.end_attempt(request_id, sent(actions)[0].server, AttemptResult.ERROR, 5.0)
        env.end_period()
        cursors.append(env.balancer.cursor)
    assert cursors == [1, 0]


def test_outdated_utilisation_report_does_not_count():
    """Guard: a node that rejects requests gets no new load reports; the last ones kept it rejecting."""
    env = BalancerEnvironment(count=2)
    for _ in range(6):
        env.complete_request(latency_ms=50.0, load_report={"util": 1.0})
    env.end_period()
    assert env.balancer.cursor == 1
    env.now += 5000.0
    env.end_period()
    assert env.balancer.cursor == 0


def test_threshold_floor_is_shared_by_all_balancers():
    """Guard: a floor for each of hundreds of balancers summed to a threshold that never applied."""
    for siblings in (4, 100):
        env = BalancerEnvironment(count=20, siblings=siblings)
        admitted = sum(len(sent(env.send_request()[1])) for _ in range(400))
        assert admitted * siblings <= 20 * 7.0 + siblings * (1 + 2.0 * (20 * 7.0 / siblings) ** 0.5)


def test_utilisation_target_is_lower_with_many_balancers():
    """Guard: in a large fleet, servers above the median were overloaded while the median was below target."""
    cursors = []
    for siblings in (4, 100):
        env = BalancerEnvironment(count=50, siblings=siblings)
        for _ in range(12):
            env.complete_request(latency_ms=50.0, load_report={"util": 0.955})
        env.end_period()
        cursors.append(env.balancer.cursor)
    assert cursors == [0, 1]


def test_period_without_responses_does_not_lower_cursor_under_overload():
    """Guard: with a response every second period, periods without one lowered the cursor under overload."""
    env = BalancerEnvironment(count=2)
    for _ in range(20):
        env.complete_request(latency_ms=50.0)
    env.end_period()
    for _ in range(6):
        for _ in range(12):
            request_id, actions = env.send_request()
            if sent(actions):
                env.end_attempt(request_id, sent(actions)[0].server, AttemptResult.OK, 950.0)
        env.end_period()
    cursor_under_load = env.balancer.cursor
    env.send_request()
    env.end_period()
    assert env.balancer.cursor == cursor_under_load + 1
    env = BalancerEnvironment(count=2)
    env.balancer.state.cursor = 3
    env.end_period()
    assert env.balancer.cursor == 2  # without requests in flight there is no load


def test_requests_sent_before_load_shedding_do_not_raise_cursor():
    """Guard: latencies of earlier requests arrived seconds later, and made an idle pool reject requests."""
    env = BalancerEnvironment()
    for _ in range(20):
        env.complete_request(latency_ms=50.0)
    env.end_period()
    sent_before = [
        (request_id, sent(actions)[0].server)
        for request_id, actions in (env.send_request() for _ in range(8))
        if sent(actions)
    ]
    assert len(sent_before) == 8
    while env.balancer.cursor < 5:
        env.balancer.state.window.attempts_ended, env.balancer.state.window.attempts_rejected = 10.0, 9.0
        env.end_period()
    for request_id, server in sent_before:
        env.end_attempt(request_id, server, AttemptResult.OK, 950.0)
        env.end_period()
    assert env.balancer.cursor == 0
    # Requests sent later count as usual.
    while env.balancer.cursor < 5:
        env.balancer.state.window.attempts_ended, env.balancer.state.window.attempts_rejected = 10.0, 9.0
        env.end_period()
    for _ in range(8):
        env.complete_request(latency_ms=950.0)
    env.end_period()
    assert env.balancer.cursor == 6


def test_threshold_below_one_request_admits_some_requests():
    """Guard: one request from each of hundreds of balancers kept overloaded servers overloaded."""
    admitted = 0
    for seed in range(200):
        env = BalancerEnvironment(count=2, seed=seed, siblings=200)
        env.balancer.state.cursor = len(SLOT_RATIOS) - 1
        admitted += len(sent(env.send_request("post")[1]))
    assert 5 <= admitted <= 60


# -------------------------------------------------------------- endpoint list


@pytest.mark.parametrize("state", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_draining_or_removed_server_gets_no_new_requests(state):
    env = BalancerEnvironment(count=3)
    env.handle(EndpointListUpdate(EndpointListKind.DELTA, (Endpoint("s1", "b", state=state),)))
    assert "s1" not in {env.complete_request() for _ in range(12)}


def test_server_missing_from_complete_list_gets_no_new_requests():
    env = BalancerEnvironment(count=3)
    env.handle(EndpointListUpdate(EndpointListKind.FULL, make_endpoints(2)))
    assert "s2" not in {env.complete_request() for _ in range(12)}


def test_watch_starts_at_once_and_again_after_failures_with_backoff():
    env = BalancerEnvironment(count=0, poll_discovery=True)
    first = type(env.balancer)(env.balancer.settings, 1, 0.0).handle(
        0.0, EndpointListUpdate(EndpointListKind.CACHED)
    )
    assert Watch in action_types(first)
    delays_ms = []
    for _ in range(6):
        actions = env.handle(EndpointListUpdate(EndpointListKind.FAILED))
        assert action_types(actions) == [SetTimer]
        delays_ms.append(actions[0].delay_ms)
        assert action_types(env.handle(TimerFired("watch"))) == [Watch]
    assert delays_ms[0] < delays_ms[-1] <= 4000.0


def test_watch_is_retried_after_thousands_of_failures():
    """Guard: the 1,024th consecutive failure overflowed the power of 2, and the balancer lost the event."""
    env = BalancerEnvironment(count=2, poll_discovery=True)
    for _ in range(2000):
        (timer,) = env.handle(EndpointListUpdate(EndpointListKind.FAILED))
        assert isinstance(timer, SetTimer)
        assert timer.delay_ms <= 4000.0


def test_previous_list_stays_in_use_after_failed_update():
    env = BalancerEnvironment(count=2, poll_discovery=True)
    env.handle(EndpointListUpdate(EndpointListKind.FAILED))
    assert sent(env.send_request()[1])


def test_restarted_server_loses_its_statistics_and_begins_slow_start():
    env = BalancerEnvironment(count=2)
    for _ in range(6):
        env.complete_request()
    env.handle(EndpointListUpdate(EndpointListKind.DELTA, (Endpoint("s0", "a", launched_ms=env.now),)))
    assert env.balancer.endpoints["s0"].latency_ratio is None
    assert [env.complete_request(latency_ms=1.0) for _ in range(20)].count("s0") < 10


# ----------------------------------------------------------------- slow start


def test_server_in_slow_start_gets_at_most_half_of_a_warm_servers_requests():
    env = BalancerEnvironment(count=4)
    env.handle(EndpointListUpdate(EndpointListKind.DELTA, (Endpoint("starting", "a", launched_ms=env.now),)))
    counts: dict[str, int] = {}
    for index in range(150):
        server = env.complete_request(latency_ms=10.0)
        counts[server] = counts.get(server, 0) + 1
        if index % 5 == 0:
            env.end_period(0.0)
    warm = sum(count for name, count in counts.items() if name != "starting") / 4
    assert 0 < counts["starting"] <= 0.5 * warm


def test_many_balancers_together_limit_requests_to_server_in_slow_start():
    """Guard: one request per window from each balancer of a large fleet together overloaded the server."""
    nodes, warm = 120, 20
    starting = Endpoint("starting", "a", launched_ms=1000.0)
    envs = []
    for seed in range(nodes):
        env = BalancerEnvironment(count=0, seed=seed, siblings=nodes)
        env.handle(EndpointListUpdate(EndpointListKind.FULL, (*make_endpoints(warm), starting)))
        envs.append(env)
    chosen = [env.complete_request(latency_ms=1.0) for _ in range(40) for env in envs]
    mean = len(chosen) / (warm + 1)
    assert 0 < chosen.count("starting") <= 2.5 * 0.2 * mean


@pytest.mark.parametrize("requests", [2, 4, 40])
def test_slow_start_rate_follows_usual_rate_not_the_current_one(requests):
    """Guard: a server in slow start idled next to overloaded ones, since it got only its part of the few
    requests that were admitted."""
    envs = [BalancerEnvironment(count=4, seed=seed, overload_factor=5.0) for seed in range(40)]
    chosen = 0
    for env in envs:
        env.handle(
            EndpointListUpdate(EndpointListKind.DELTA, (Endpoint("starting", "a", launched_ms=env.now),))
        )
        # A server's usual rate is one request per period.
        env.balancer.state.peak_completion_rate = 1.0 / env.balancer.period_ms
        env.balancer.state.send_rate = requests * env.balancer.state.peak_completion_rate
        # The other requests were rejected.
        env.balancer.state.admitted_ratio = min(1.0, requests / len(env.balancer.ready))
        starting = env.balancer.endpoints["starting"]
        chosen += sum(slow_start_admits(env.balancer.state, env.now, starting) for _ in range(requests))
    expected = 0.4 * 5.0 * 0.2  # of the usual rate, for a server that has just started
    assert 0.6 * expected < chosen / len(envs) < 1.5 * expected


def test_pool_in_slow_start_admits_some_requests():
    env = BalancerEnvironment(count=0)
    env.handle(EndpointListUpdate(EndpointListKind.FULL, make_endpoints(20, launched_ms=env.now)))
    count = sum(len(sent(env.send_request()[1])) for _ in range(100))
    assert 10 <= count <= 40


def test_one_fast_first_outcome_does_not_set_the_baseline():
    env = BalancerEnvironment()
    env.complete_request(
        latency_ms=200.0
    )  # a fifth of the objective; the usual latency of this idle pool is 350 ms
    env.end_period()
    for _ in range(40):
        for _ in range(3):
            env.complete_request(latency_ms=350.0)
        env.end_period()
    assert env.balancer.cursor == 0
