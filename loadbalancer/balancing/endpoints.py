"""The servers in use: what discovery lists, less what operators have taken out."""

from __future__ import annotations

from loadbalancer import interface as api
from loadbalancer.balancing.state import Peer, Return, State

WATCH_MS = 250.0  # half the first wait before discovery is asked again; doubled at each failure
WATCH_MAX_MS = 4000.0  # the longest such wait


def listed(state: State, event: api.Membership, acts: list[api.Action]) -> None:
    if event.form is api.ListForm.FAILED:  # subscribe anew, backing off so as not to crowd discovery
        state.watch_failures += 1
        # Guard: a long outage's thousandth failure overflowed the power.
        wait = min(WATCH_MAX_MS, WATCH_MS * 2.0 ** min(state.watch_failures, 16))
        acts.append(api.Wake(wait * state.rng.uniform(0.5, 1.0), "watch"))
        return
    if event.form is not api.ListForm.CACHED:
        state.watch_failures = 0
    if event.form is not api.ListForm.DELTA:  # a server absent from a whole list is gone
        named = {server.address for server in event.servers}
        state.peers = {address: peer for address, peer in state.peers.items() if address in named}
    for server in event.servers:
        if server.state is api.ServerState.REMOVED:
            state.peers.pop(server.address, None)
            continue
        known = state.peers.get(server.address)
        if known is None or known.info.launched_ms != server.launched_ms:  # new, or restarted
            state.peers[server.address] = Peer(server, part=state.rng.random())
        else:
            known.info = server
    _choose_ready(state)


def taken_out(state: State, event: api.TakenOut) -> None:
    state.out_by_hand.add(event.server)
    state.returns.pop(event.server, None)
    _choose_ready(state)


def brought_back(state: State, event: api.BroughtBack) -> None:
    state.out_by_hand.discard(event.server)
    state.returns[event.server] = Return(event.out_ms, event.back_ms)
    known = state.peers.get(event.server)
    if known is not None:  # another process by now: known by nothing
        known.slow, known.errs, known.queue, known.util = None, 0.0, 0.0, None
    _choose_ready(state)


def held_beside(state: State, event: api.Beside) -> None:
    for address, peer in state.peers.items():
        peer.beside = event.held.get(address, 0.0)


def _choose_ready(state: State) -> None:
    """The servers in use: those that the list calls up, less those that are out by hand."""
    state.ready = [
        peer
        for address, peer in state.peers.items()
        if peer.info.state is api.ServerState.UP and address not in state.out_by_hand
    ]
