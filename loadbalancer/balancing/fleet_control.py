"""What siblings and the list service settle for this balancer: its share, how sure its routes are, the
route version.

Each is an event, and without it the balancer acts by its settings alone. A mark is advice: no call is
refused for it.
"""

from __future__ import annotations

import math

from loadbalancer.balancing.events import ConfidenceUpdate, QuotaGrant
from loadbalancer.balancing.state import BalancerState, EndpointState, PendingRequest, Quota
from loadbalancer.endpoints import Confidence, RouteVersion, TrafficSplit

# How much of a server's measured latency counts by its route's mark; the rest is the others' mean, as for
# one unheard.
CONFIDENCE_RATIOS = {Confidence.LOW: 0.5, Confidence.NONE: 0.0}
LOW_CONFIDENCE = (Confidence.LOW, Confidence.NONE)


def apply_quota_grant(state: BalancerState, event: QuotaGrant) -> None:
    parts = 1.0 / event.quota if event.quota > 0.0 else math.inf
    state.quota = Quota(parts, max(1, event.holders), event.expires_ms)


def apply_confidence_update(state: BalancerState, event: ConfidenceUpdate) -> None:
    """Take marks that have changed; those of servers that are not listed are dropped."""
    state.confidence = {
        name: mark for name, mark in (state.confidence | event.confidence).items() if name in state.endpoints
    }


def apply_route_version(state: BalancerState, event: RouteVersion) -> None:
    """Admit under this version from now on. One that requests were admitted under stays until their end."""
    kept = {job.route_version for job in state.pending.values()} | {event.number}
    if event.number:
        state.route_versions[event.number] = event.classes
    state.route_versions = {
        number: classes for number, classes in state.route_versions.items() if number in kept
    }
    state.route_version = event.number


def confidence_ratio(state: BalancerState, peer: EndpointState) -> float:
    """The share of a server's measured latency that counts."""
    return (
        CONFIDENCE_RATIOS.get(state.confidence[peer.endpoint.name], 1.0)
        if peer.endpoint.name in state.confidence
        else 1.0
    )


def usable_endpoints(state: BalancerState, peers: list[EndpointState]) -> list[EndpointState]:
    """Without the blind routes that a call from here is already finding out about; all of them where none is
    better than weak, as the marks then tell nothing of one against another."""
    marks = [state.confidence.get(peer.endpoint.name) for peer in peers]
    if all(mark in LOW_CONFIDENCE for mark in marks):
        return peers
    return [
        peer
        for peer, mark in zip(peers, marks, strict=True)
        if mark is not Confidence.NONE or peer.total_in_flight < 1.0
    ]


def split_by_route(
    state: BalancerState, job: PendingRequest, peers: list[EndpointState]
) -> list[list[EndpointState]]:
    """These servers by the groups of the request's version, in the order in which they are tried: a
    weighted draw without return (Efraimidis, Spirakis 2006). A server belongs to the first group of the
    table that takes it; under version 0 there is one group of all."""
    table = state.route_versions.get(job.route_version, {}).get(job.service_class.name)
    if table is None:
        return [peers]
    drawn: list[tuple[float, list[EndpointState]]] = []
    left = peers
    for group in table:
        inside = [peer for peer in left if _matches(group, peer)]
        left = [peer for peer in left if not _matches(group, peer)]
        if inside and group.weight > 0.0:
            drawn.append((state.rng.random() ** (1.0 / group.weight), inside))
    return [inside for _, inside in sorted(drawn, key=lambda item: -item[0])]


def _matches(group: TrafficSplit, peer: EndpointState) -> bool:
    info = peer.endpoint
    return group.model in (None, info.model) and group.zone in (None, info.zone)
