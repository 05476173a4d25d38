"""Shares, marks and route versions in the decision module."""

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
from tests.support.builders import SAFE, Bed, kinds, sent

M1, M2 = TrafficSplit("m1", None, 1.0), TrafficSplit("m2", None, 3.0)


def models(count: int = 6) -> EndpointListUpdate:
    rows = (Endpoint(f"s{at}", zone="a", model=f"m{1 + at % 2}") for at in range(count))
    return EndpointListUpdate(EndpointListKind.FULL, tuple(rows))


def spread(bed: Bed, calls: int) -> Counter[str]:
    """Which models serve so many calls."""
    return Counter(bed.brain.endpoints[bed.serve()].listed.model for _ in range(calls))


def test_a_share_of_a_quarter_is_the_settings_four_siblings_until_its_term_ends():
    told, fixed = Bed(siblings=1), Bed(siblings=4)
    told.give(QuotaGrant(0.25, 4, told.now + 500.0))
    fixed.give(TimerFired("nothing"))
    assert told.brain.threshold(1.0, 4) == fixed.brain.threshold(1.0, 4)
    told.give(TimerFired("nothing"), after=500.0)
    assert told.brain.threshold(1.0, 4) == pytest.approx(0.1)  # its least entry: to find out


def test_a_tenants_quota_follows_the_share():
    tenant = Tenant("acme", 40.0)
    bed = Bed(siblings=1, tenants=(tenant,), over_quota_weight=0.0)
    bed.give(QuotaGrant(0.1, 10, math.inf))
    worths = [
        bed.brain.admission.priority(bed.now, Request("r", "read", 1e9, tenant="acme"), SAFE)
        for _ in range(8)
    ]
    assert [worth > 0.0 for worth in worths] == [True] * 4 + [False] * 4


def test_a_version_gives_its_groups_their_weights_and_a_request_keeps_its_own():
    bed = Bed(count=0)
    bed.give(models())
    bed.give(RouteVersion(1, {"read": (M1,)}))
    assert set(spread(bed, 30)) == {"m1"}
    name, acts = bed.ask()
    bed.give(RouteVersion(2, {"read": (M1, M2)}))
    again = bed.end(name, sent(acts)[0].server, AttemptResult.CONNECT_FAILED, done=False)
    assert bed.brain.endpoints[sent(again)[0].server].listed.model == "m1"  # admitted under version 1
    shares = spread(bed, 400)
    assert shares["m2"] / 400 == pytest.approx(0.75, abs=0.08)
    assert set(bed.brain.state.route_versions) == {1, 2}
    bed.end(name, sent(again)[0].server, AttemptResult.OK, attempt=1)
    bed.give(RouteVersion(0, {}))
    assert bed.brain.state.route_versions == {}
    assert set(spread(bed, 60)) == {"m1", "m2"}


def test_a_server_belongs_to_the_first_group_that_takes_it():
    bed = Bed(count=0)
    bed.give(models())
    rest = TrafficSplit(None, None, 1.0)
    bed.give(RouteVersion(1, {"read": (TrafficSplit("m1", None, 0.0), rest)}))
    assert set(spread(bed, 40)) == {"m2"}


def test_a_version_without_a_ready_server_refuses_and_another_class_is_as_under_version_0():
    bed = Bed(count=0)
    bed.give(models())
    bed.give(RouteVersion(1, {"read": (TrafficSplit("m9", None, 1.0),)}))
    assert kinds(bed.ask()[1]) == [Reject]
    assert kinds(bed.ask("post")[1]) == [Send]


def test_a_blind_route_is_tried_by_one_call_at_a_time_and_none_is_refused_for_a_mark():
    bed = Bed(count=3)
    bed.give(
        ConfidenceUpdate(
            {"s0": Confidence.NONE, "s1": Confidence.HIGH, "s2": Confidence.HIGH, "gone": Confidence.HIGH}
        )
    )
    assert set(bed.brain.state.confidence) == {"s0", "s1", "s2"}
    to = Counter(sent(bed.ask()[1])[0].server for _ in range(9))
    assert to["s0"] <= 1
    all_blind = Bed(count=3)
    all_blind.give(ConfidenceUpdate({f"s{at}": Confidence.NONE for at in range(3)}))
    plain = Bed(count=3)
    assert [all_blind.ask()[1] for _ in range(9)] == [plain.ask()[1] for _ in range(9)]  # as without marks


def test_a_weak_routes_latency_counts_as_less_known():
    bed = Bed(count=2)
    for _ in range(40):
        name, acts = bed.ask()
        server = sent(acts)[0].server
        bed.end(name, server, AttemptResult.OK, 400.0 if server == "s0" else 100.0)
    before = bed.serve()
    assert before == "s1"
    slow = bed.brain.endpoints["s0"]
    assert slow.latency_ratio is not None
    assert slow.latency_ratio > 1.2
    bed.give(ConfidenceUpdate({"s0": Confidence.NONE, "s1": Confidence.MEDIUM}))
    assert "s0" in {bed.serve() for _ in range(20)}  # its old latency says nothing now
