"""What the control plane decides for this balancer: its quota, its confidence in endpoints, the route
version.

Each arrives as an event; without it the balancer acts by its settings alone. Confidence only changes the
order in which endpoints are chosen: no request is rejected for it.
"""

from __future__ import annotations

import math

from loadbalancer.balancing.events import ConfidenceUpdate, QuotaGrant
from loadbalancer.balancing.state import BalancerState, EndpointState, PendingRequest, Quota
from loadbalancer.endpoints import Confidence, RouteVersion

# How much of an endpoint's latency ratio counts; the rest is the mean of the others.
CONFIDENCE_RATIOS = {Confidence.LOW: 0.5, Confidence.NONE: 0.0}
LOW_CONFIDENCE = (Confidence.LOW, Confidence.NONE)


def apply_quota_grant(state: BalancerState, event: QuotaGrant) -> None:
    """Replace the quota that the settings' `siblings` gives."""
    divisor = 1.0 / event.quota if event.quota > 0.0 else math.inf
    state.quota = Quota(divisor, max(1, event.holders), event.expires_ms)


def apply_confidence_update(state: BalancerState, event: ConfidenceUpdate) -> None:
    """Take over changed ratings; those of endpoints that aren't listed are dropped."""
    merged = state.confidence | event.confidence
    state.confidence = {name: rating for name, rating in merged.items() if name in state.endpoints}


def apply_route_version(state: BalancerState, event: RouteVersion) -> None:
    """Admit requests under this version from now on; earlier versions stay while requests use them."""
    in_use = {pending.route_version for pending in state.pending.values()} | {event.number}
    if event.number:
        state.route_versions[event.number] = event.classes
    state.route_versions = {
        number: classes for number, classes in state.route_versions.items() if number in in_use
    }
    state.route_version = event.number


def confidence_ratio(state: BalancerState, endpoint: EndpointState) -> float:
    """How much of the endpoint's latency ratio counts, from 0 to 1."""
    rating = state.confidence.get(endpoint.listed.name)
    return 1.0 if rating is None else CONFIDENCE_RATIOS.get(rating, 1.0)


def usable_endpoints(state: BalancerState, endpoints: list[EndpointState]) -> list[EndpointState]:
    """Leave out those without confidence that already have a call in flight from here, as it will show
    whether they answer. All of them where none has more than low confidence."""
    ratings = [state.confidence.get(endpoint.listed.name) for endpoint in endpoints]
    if all(rating in LOW_CONFIDENCE for rating in ratings):
        return endpoints
    return [
        endpoint
        for endpoint, rating in zip(endpoints, ratings, strict=True)
        if rating is not Confidence.NONE or endpoint.total_in_flight < 1.0
    ]


def split_by_route(
    state: BalancerState, pending: PendingRequest, endpoints: list[EndpointState]
) -> list[list[EndpointState]]:
    """These endpoints by the traffic splits of the request's route version, in the order in which to try
    them.

    The order is a weighted draw without replacement (Efraimidis, Spirakis 2006). An endpoint belongs to the
    first split that matches it. Under the neutral version there is one split of all.
    """
    splits = state.route_versions.get(pending.route_version, {}).get(pending.service_class.name)
    if splits is None:
        return [endpoints]
    drawn: list[tuple[float, list[EndpointState]]] = []
    remaining = endpoints
    for split in splits:
        matching = [endpoint for endpoint in remaining if split.matches(endpoint.listed)]
        remaining = [endpoint for endpoint in remaining if not split.matches(endpoint.listed)]
        if matching and split.weight > 0.0:
            drawn.append((state.rng.random() ** (1.0 / split.weight), matching))
    return [matching for _, matching in sorted(drawn, key=lambda draw: -draw[0])]
