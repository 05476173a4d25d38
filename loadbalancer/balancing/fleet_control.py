"""Inputs from the control plane: the quota, the confidence in endpoints and the route version.

Each arrives as an event; until then the balancer uses its settings alone. Confidence only affects which
endpoint is chosen: no request is rejected because of it.
"""

from __future__ import annotations

import math

from loadbalancer.balancing.events import ConfidenceUpdate, QuotaGrant
from loadbalancer.balancing.state import BalancerState, EndpointState, PendingRequest, Quota
from loadbalancer.endpoints import Confidence, RouteVersion

# Weight of an endpoint's own latency ratio; the rest of the weight is on 1, the mean of all endpoints.
CONFIDENCE_RATIOS = {Confidence.LOW: 0.5, Confidence.NONE: 0.0}
LOW_CONFIDENCE = (Confidence.LOW, Confidence.NONE)


def apply_quota_grant(state: BalancerState, event: QuotaGrant) -> None:
    """Use the granted quota instead of the equal quota that `Settings.siblings` implies."""
    divisor = 1.0 / event.quota if event.quota > 0.0 else math.inf
    state.quota = Quota(divisor, max(1, event.holders), event.expires_ms)


def apply_confidence_update(state: BalancerState, event: ConfidenceUpdate) -> None:
    """Merge new ratings into the present ones; ratings of endpoints that aren't listed are dropped."""
    merged = state.confidence | event.confidence
    state.confidence = {name: rating for name, rating in merged.items() if name in state.endpoints}


def apply_route_version(state: BalancerState, event: RouteVersion) -> None:
    """Admit requests under this version from now on; earlier versions are kept while requests use them."""
    in_use = {pending.route_version for pending in state.pending.values()} | {event.number}
    if event.number:
        state.route_versions[event.number] = event.classes
    state.route_versions = {
        number: classes for number, classes in state.route_versions.items() if number in in_use
    }
    state.route_version = event.number


def confidence_ratio(state: BalancerState, endpoint: EndpointState) -> float:
    """The weight of the endpoint's own latency ratio, from 0 to 1."""
    rating = state.confidence.get(endpoint.listed.name)
    return 1.0 if rating is None else CONFIDENCE_RATIOS.get(rating, 1.0)


def usable_endpoints(state: BalancerState, endpoints: list[EndpointState]) -> list[EndpointState]:
    """The endpoints, except those of confidence NONE that already have a request in flight from this node.

    The outcome of that request will show whether the endpoint responds. If no endpoint has a confidence above
    LOW, all of them are usable.
    """
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
    """The endpoints grouped by the traffic splits of the request's route version, in the order to try them.

    The order is a weighted draw without replacement (Efraimidis, Spirakis 2006). An endpoint belongs to the
    first split that matches it. Under the neutral version all endpoints form one group.
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
