"""The servers in use: what discovery lists, less what operators have taken out."""

from __future__ import annotations

from loadbalancer.balancing.actions import Action, SetTimer
from loadbalancer.balancing.events import (
    EndpointEjected,
    EndpointListUpdate,
    EndpointRestored,
    SiblingProcessLoad,
)
from loadbalancer.balancing.state import Peer, Return, State
from loadbalancer.endpoints import EndpointListKind, EndpointStatus

WATCH_MS = 250.0  # half the first wait before discovery is asked again; doubled at each failure
WATCH_MAX_MS = 4000.0  # the longest such wait


def listed(state: State, event: EndpointListUpdate, acts: list[Action]) -> None:
    if event.kind is EndpointListKind.FAILED:  # subscribe anew, backing off so as not to crowd discovery
        state.watch_failures += 1
        # Guard: a long outage's thousandth failure overflowed the power.
        wait = min(WATCH_MAX_MS, WATCH_MS * 2.0 ** min(state.watch_failures, 16))
        acts.append(SetTimer(wait * state.rng.uniform(0.5, 1.0), "watch"))
        return
    if event.kind is not EndpointListKind.CACHED:
        state.watch_failures = 0
    if event.kind is not EndpointListKind.DELTA:  # a server absent from a whole list is gone
        named = {server.address for server in event.endpoints}
        state.peers = {address: peer for address, peer in state.peers.items() if address in named}
    for server in event.endpoints:
        if server.state is EndpointStatus.REMOVED:
            state.peers.pop(server.address, None)
            continue
        known = state.peers.get(server.address)
        if known is None or known.info.launched_ms != server.launched_ms:  # new, or restarted
            state.peers[server.address] = Peer(server, part=state.rng.random())
        else:
            known.info = server
    _choose_ready(state)


def taken_out(state: State, event: EndpointEjected) -> None:
    state.out_by_hand.add(event.server)
    state.returns.pop(event.server, None)
    _choose_ready(state)


def brought_back(state: State, event: EndpointRestored) -> None:
    state.out_by_hand.discard(event.server)
    state.returns[event.server] = Return(event.ejected_ms, event.restored_ms)
    known = state.peers.get(event.server)
    if known is not None:  # another process by now: known by nothing
        known.slow, known.errs, known.queue, known.util = None, 0.0, 0.0, None
    _choose_ready(state)


def held_beside(state: State, event: SiblingProcessLoad) -> None:
    for address, peer in state.peers.items():
        peer.beside = event.in_flight.get(address, 0.0)


def _choose_ready(state: State) -> None:
    """The servers in use: those that the list calls up, less those that are out by hand."""
    state.ready = [
        peer
        for address, peer in state.peers.items()
        if peer.info.state is EndpointStatus.UP and address not in state.out_by_hand
    ]
