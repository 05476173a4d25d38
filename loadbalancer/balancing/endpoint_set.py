"""The servers in use: what discovery lists, less what operators have taken out."""

from __future__ import annotations

from loadbalancer.balancing.actions import Action, SetTimer
from loadbalancer.balancing.events import (
    EndpointEjected,
    EndpointListUpdate,
    EndpointRestored,
    SiblingProcessLoad,
)
from loadbalancer.balancing.state import BalancerState, EndpointState, Restoration
from loadbalancer.endpoints import EndpointListKind, EndpointStatus

WATCH_BACKOFF_MS = 250.0  # half the first wait before discovery is asked again; doubled at each failure
MAX_WATCH_BACKOFF_MS = 4000.0  # the longest such wait


def update_list(state: BalancerState, event: EndpointListUpdate, acts: list[Action]) -> None:
    if event.kind is EndpointListKind.FAILED:  # subscribe anew, backing off so as not to crowd discovery
        state.watch_failures += 1
        # Guard: a long outage's thousandth failure overflowed the power.
        wait = min(MAX_WATCH_BACKOFF_MS, WATCH_BACKOFF_MS * 2.0 ** min(state.watch_failures, 16))
        acts.append(SetTimer(wait * state.rng.uniform(0.5, 1.0), "watch"))
        return
    if event.kind is not EndpointListKind.CACHED:
        state.watch_failures = 0
    if event.kind is not EndpointListKind.DELTA:  # a server absent from a whole list is gone
        named = {server.name for server in event.endpoints}
        state.endpoints = {address: peer for address, peer in state.endpoints.items() if address in named}
    for server in event.endpoints:
        if server.state is EndpointStatus.REMOVED:
            state.endpoints.pop(server.name, None)
            continue
        known = state.endpoints.get(server.name)
        if known is None or known.endpoint.launched_ms != server.launched_ms:  # new, or restarted
            state.endpoints[server.name] = EndpointState(server, rounding_offset=state.rng.random())
        else:
            known.endpoint = server
    _choose_ready(state)


def eject(state: BalancerState, event: EndpointEjected) -> None:
    state.ejected.add(event.server)
    state.restored.pop(event.server, None)
    _choose_ready(state)


def restore(state: BalancerState, event: EndpointRestored) -> None:
    state.ejected.discard(event.server)
    state.restored[event.server] = Restoration(event.ejected_ms, event.restored_ms)
    known = state.endpoints.get(event.server)
    if known is not None:  # another process by now: known by nothing
        known.latency_ratio, known.error_rate, known.reported_queue, known.utilisation = None, 0.0, 0.0, None
    _choose_ready(state)


def set_sibling_load(state: BalancerState, event: SiblingProcessLoad) -> None:
    for address, peer in state.endpoints.items():
        peer.sibling_in_flight = event.in_flight.get(address, 0.0)


def _choose_ready(state: BalancerState) -> None:
    """The servers in use: those that the list calls up, less those that are out by hand."""
    state.ready = [
        peer
        for address, peer in state.endpoints.items()
        if peer.endpoint.state is EndpointStatus.UP and address not in state.ejected
    ]
