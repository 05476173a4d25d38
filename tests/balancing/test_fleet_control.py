"""The balancer's handling of quota grants, confidence in endpoints and route versions."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from loadbalancer.balancing.actions import Reject, Send
from loadbalancer.balancing.events import (
    ConfidenceUpdate,
    EndpointListUpdate,
    QuotaGrant,
    Request,
    TimerFired,
)
from loadbalancer.endpoints import (
    AttemptResult,
    Confidence,
    Endpoint,
    EndpointListKind,
    RouteVersion,
    TrafficSplit,
)
from loadbalancer.service_settings import Tenant
from tests.support.builders import SAFE, BalancerEnvironment, action_types, sent

SPLIT_M1, SPLIT_M2 = TrafficSplit("m1", None, 1.0), TrafficSplit("m2", None, 3.0)


def endpoints_of_two_models(count: int = 6) -> EndpointListUpdate:
    endpoints = (Endpoint(f"s{index}", zone="a", model=f"m{1 + index % 2}") for index in range(count))
    return EndpointListUpdate(EndpointListKind.FULL, tuple(endpoints))


def requests_by_model(env: BalancerEnvironment, count: int) -> Counter[str]:
    """Complete `count` requests; return the number that each model handled."""
    return Counter(env.balancer.endpoints[env.complete_request()].listed.model for _ in range(count))


def test_quota_grant_of_a_quarter_equals_four_siblings_until_it_expires():
    granted, configured = BalancerEnvironment(siblings=1), BalancerEnvironment(siblings=4)
    granted.handle(QuotaGrant(0.25, 4, granted.now + 500.0))
    configured.handle(TimerFired("unknown timer"))
    assert granted.balancer.threshold(1.0, 4) == configured.balancer.threshold(1.0, 4)
    granted.handle(TimerFired("unknown timer"), after_ms=500.0)
    assert granted.balancer.threshold(1.0, 4) == pytest.approx(0.1)  # the minimum threshold


def test_tenant_quota_is_reduced_by_quota_grant():
    tenant = Tenant("acme", 40.0)
    env = BalancerEnvironment(siblings=1, tenants=(tenant,), over_quota_weight=0.0)
    env.handle(QuotaGrant(0.1, 10, math.inf))
    priorities = [
        env.balancer.admission.priority(env.now, Request("r", "read", 1e9, tenant="acme"), SAFE)
        for _ in range(8)
    ]
    assert [priority > 0.0 for priority in priorities] == [True] * 4 + [False] * 4


def test_route_version_splits_by_weight_and_requests_keep_their_version():
    env = BalancerEnvironment(count=0)
    env.handle(endpoints_of_two_models())
    env.handle(RouteVersion(1, {"read": (SPLIT_M1,)}))
    assert set(requests_by_model(env, 30)) == {"m1"}
    request_id, actions = env.send_request()
    env.handle(RouteVersion(2, {"read": (SPLIT_M1, SPLIT_M2)}))
    retry_actions = env.end_attempt(
        request_id, sent(actions)[0].server, AttemptResult.CONNECT_FAILED, request_ended=False
    )
    assert (
        env.balancer.endpoints[sent(retry_actions)[0].server].listed.model == "m1"
    )  # admitted under version 1
    counts = requests_by_model(env, 400)
    assert counts["m2"] / 400 == pytest.approx(0.75, abs=0.08)
    assert set(env.balancer.state.route_versions) == {1, 2}
    env.end_attempt(request_id, sent(retry_actions)[0].server, AttemptResult.OK, attempt=1)
    env.handle(RouteVersion(0, {}))
    assert env.balancer.state.route_versions == {}
    assert set(requests_by_model(env, 60)) == {"m1", "m2"}


def test_endpoint_belongs_to_first_matching_split():
    env = BalancerEnvironment(count=0)
    env.handle(endpoints_of_two_models())
    all_others = TrafficSplit(None, None, 1.0)
    env.handle(RouteVersion(1, {"read": (TrafficSplit("m1", None, 0.0), all_others)}))
    assert set(requests_by_model(env, 40)) == {"m2"}


def test_route_without_ready_endpoint_rejects_only_its_own_class():
    env = BalancerEnvironment(count=0)
    env.handle(endpoints_of_two_models())
    env.handle(RouteVersion(1, {"read": (TrafficSplit("m9", None, 1.0),)}))
    assert action_types(env.send_request()[1]) == [Reject]
    assert action_types(env.send_request("post")[1]) == [Send]


def test_confidence_none_limits_endpoint_to_one_request_without_rejections():
    env = BalancerEnvironment(count=3)
    env.handle(
        ConfidenceUpdate(
            {"s0": Confidence.NONE, "s1": Confidence.HIGH, "s2": Confidence.HIGH, "removed": Confidence.HIGH}
        )
    )
    assert set(env.balancer.state.confidence) == {"s0", "s1", "s2"}
    requests_by_server = Counter(sent(env.send_request()[1])[0].server for _ in range(9))
    assert requests_by_server["s0"] <= 1
    no_confidence = BalancerEnvironment(count=3)
    no_confidence.handle(ConfidenceUpdate({f"s{index}": Confidence.NONE for index in range(3)}))
    unrated = BalancerEnvironment(count=3)
    assert [no_confidence.send_request()[1] for _ in range(9)] == [
        unrated.send_request()[1] for _ in range(9)
    ]  # as without confidence ratings


def test_old_latency_of_endpoint_with_confidence_none_is_ignored():
    env = BalancerEnvironment(count=2)
    for _ in range(40):
        request_id, actions = env.send_request()
        server = sent(actions)[0].server
        env.end_attempt(request_id, server, AttemptResult.OK, 400.0 if server == "s0" else 100.0)
    fastest = env.complete_request()
    assert fastest == "s1"
    slow = env.balancer.endpoints["s0"]
    assert slow.latency_ratio is not None
    assert slow.latency_ratio > 1.2
    env.handle(ConfidenceUpdate({"s0": Confidence.NONE, "s1": Confidence.MEDIUM}))
    assert "s0" in {env.complete_request() for _ in range(20)}  # its old latency no longer counts
