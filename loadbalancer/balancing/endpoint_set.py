"""The endpoints in use: those that discovery lists as up and that no operator has ejected."""

from __future__ import annotations

from loadbalancer.balancing.actions import Action, SetTimer
from loadbalancer.balancing.events import (
    EndpointEjected,
    EndpointListUpdate,
    EndpointRestored,
    SiblingProcessLoad,
)
from loadbalancer.balancing.state import BalancerState, EndpointState, Restoration
from loadbalancer.endpoints import Endpoint, EndpointListKind, EndpointStatus

WATCH_TIMER = "watch"  # subscribes to the endpoint list again
WATCH_BACKOFF_MS = 250.0  # half the backoff after the first failure; each further failure doubles it
MAX_WATCH_BACKOFF_MS = 4000.0
MAX_DOUBLINGS_COUNT = 16  # keeps the power of 2 from overflowing in a long outage


def update_list(state: BalancerState, event: EndpointListUpdate, actions: list[Action]) -> None:
    """Apply a complete list or a delta; after a failure subscribe again, with jittered backoff."""
    if event.kind is EndpointListKind.FAILED:
        state.watch_failures += 1
        doublings = min(state.watch_failures, MAX_DOUBLINGS_COUNT)
        backoff_ms = min(MAX_WATCH_BACKOFF_MS, WATCH_BACKOFF_MS * 2.0**doublings)
        actions.append(SetTimer(backoff_ms * state.rng.uniform(0.5, 1.0), WATCH_TIMER))
        return
    if event.kind is not EndpointListKind.CACHED:
        state.watch_failures = 0
    if event.kind is not EndpointListKind.DELTA:
        listed = {endpoint.name for endpoint in event.endpoints}
        state.endpoints = {name: known for name, known in state.endpoints.items() if name in listed}
    for endpoint in event.endpoints:
        _update_endpoint(state, endpoint)
    _choose_ready(state)


def _update_endpoint(state: BalancerState, endpoint: Endpoint) -> None:
    if endpoint.state is EndpointStatus.REMOVED:
        state.endpoints.pop(endpoint.name, None)
        return
    known = state.endpoints.get(endpoint.name)
    if known is None or known.listed.launched_ms != endpoint.launched_ms:  # new, or restarted
        state.endpoints[endpoint.name] = EndpointState(endpoint, rounding_offset=state.rng.random())
    else:
        known.listed = endpoint


def eject(state: BalancerState, event: EndpointEjected) -> None:
    """Send no new attempts to an endpoint until it is restored, even if it is listed as up."""
    state.ejected.add(event.server)
    state.restored.pop(event.server, None)
    _choose_ready(state)


def restore(state: BalancerState, event: EndpointRestored) -> None:
    """Use an endpoint again, without the statistics of the process that was ejected."""
    state.ejected.discard(event.server)
    state.restored[event.server] = Restoration(event.ejected_ms, event.restored_ms)
    known = state.endpoints.get(event.server)
    if known is not None:
        known.latency_ratio = None
        known.error_rate = 0.0
        known.reported_queue = 0.0
        known.utilisation = None
    _choose_ready(state)


def set_sibling_load(state: BalancerState, event: SiblingProcessLoad) -> None:
    """Record the requests that the sibling process of this node has in flight."""
    for name, endpoint in state.endpoints.items():
        endpoint.sibling_in_flight = event.in_flight.get(name, 0.0)


def _choose_ready(state: BalancerState) -> None:
    state.ready = [
        endpoint
        for name, endpoint in state.endpoints.items()
        if endpoint.listed.state is EndpointStatus.UP and name not in state.ejected
    ]
