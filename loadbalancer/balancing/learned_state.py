"""What a process of this balancer has learned, handed to one beside it or read again after a restart."""

from __future__ import annotations

import math

from loadbalancer.balancing.cursor_table import START_MS, clamped
from loadbalancer.balancing.events import LearnedState, StateRestored
from loadbalancer.balancing.load_estimate import BASE_LEAST, PEAK_MS
from loadbalancer.balancing.state import State

TRUST_MS = PEAK_MS  # restored load figures older than this tell of another load than the present one


def learned(state: State) -> LearnedState:
    """What a process that starts beside this one may start from."""
    slow = {address: peer.slow for address, peer in state.peers.items() if peer.slow is not None}
    return LearnedState(
        baseline_ratio=state.base if len(state.first) >= BASE_LEAST else None,
        latency_ratio=state.level,
        cursor=state.cursor,
        completion_rate=state.rate,
        peak_completion_rate=state.peak,
        send_rate=state.sends,
        mean_latency_objective_ms=state.mean_aim,
        class_latency_ms=state.class_ms,
        endpoint_latency_ratios=slow,
    )


def learn(state: State, now: float, event: LearnedState) -> bool:
    """Start from what another process has learned; whether it was enough to start from."""
    if (
        event.baseline_ratio is None
        or event.baseline_ratio <= 0.0
        or event.peak_completion_rate <= 0.0
        or event.mean_latency_objective_ms <= 0.0
    ):
        return False  # it has only begun to learn
    # Guard: a new process knew of no rate and stood at cursor 0; the servers jammed under what it let in.
    state.base, state.level, state.first = (
        event.baseline_ratio,
        event.latency_ratio,
        [event.baseline_ratio] * BASE_LEAST,
    )
    state.cursor = clamped(event.cursor)
    state.rate, state.peak, state.sends, state.mean_aim = (
        event.completion_rate,
        event.peak_completion_rate,
        event.send_rate,
        event.mean_latency_objective_ms,
    )
    state.periods = math.ceil(START_MS / state.period_ms)
    state.class_ms = {
        name: ms for name, ms in event.class_latency_ms.items() if name in state.kinds and ms > 0.0
    }
    for address, slow in event.endpoint_latency_ratios.items():
        if address in state.peers:
            state.peers[address].slow, state.peers[address].heard_ms = slow, now
    return True


def restore(state: State, now: float, event: StateRestored) -> None:
    """Start from the state file of this node's last process. The latency figures hold whatever its
    age: they are the servers'. The load figures fade as the peak fades, and past TRUST_MS only the peak
    is kept, from cursor 0 and the start's floor. A server's verdict counts as heard `age_ms` ago: it
    fades as an unheard one's does, and traffic checks it again; none is trusted for good."""
    if event.age_ms < 0.0 or not learn(state, now, event.state):
        return
    fade = math.exp(-event.age_ms / PEAK_MS)
    state.rate, state.peak, state.sends = state.rate * fade, state.peak * fade, state.sends * fade
    if event.age_ms > TRUST_MS:
        state.cursor, state.periods, state.level, state.rate, state.sends = 0, 0, state.base or 0.0, 0.0, 0.0
    for address in event.state.endpoint_latency_ratios:
        if address in state.peers:
            state.peers[address].heard_ms = now - event.age_ms
