"""What a process of this balancer has learned, handed to one beside it or read again after a restart."""

from __future__ import annotations

import math

from loadbalancer.balancing.cursor_table import STARTUP_MS, clamp_cursor
from loadbalancer.balancing.events import LearnedState, StateRestored
from loadbalancer.balancing.load_estimate import BASELINE_SAMPLE_COUNT, PEAK_DECAY_MS
from loadbalancer.balancing.state import BalancerState

RATES_TRUSTED_MS = (
    PEAK_DECAY_MS  # restored load figures older than this tell of another load than the present one
)


def export_state(state: BalancerState) -> LearnedState:
    """What a process that starts beside this one may start from."""
    slow = {
        address: peer.latency_ratio
        for address, peer in state.endpoints.items()
        if peer.latency_ratio is not None
    }
    return LearnedState(
        baseline_ratio=state.baseline_ratio if len(state.baseline_samples) >= BASELINE_SAMPLE_COUNT else None,
        latency_ratio=state.latency_ratio,
        cursor=state.cursor,
        completion_rate=state.completion_rate,
        peak_completion_rate=state.peak_completion_rate,
        send_rate=state.send_rate,
        mean_latency_objective_ms=state.mean_latency_objective_ms,
        class_latency_ms=state.class_latency_ms,
        endpoint_latency_ratios=slow,
    )


def import_state(state: BalancerState, now: float, event: LearnedState) -> bool:
    """Start from what another process has learned; whether it was enough to start from."""
    if (
        event.baseline_ratio is None
        or event.baseline_ratio <= 0.0
        or event.peak_completion_rate <= 0.0
        or event.mean_latency_objective_ms <= 0.0
    ):
        return False  # it has only begun to learn
    # Guard: a new process knew of no rate and stood at cursor 0; the servers jammed under what it let in.
    state.baseline_ratio, state.latency_ratio, state.baseline_samples = (
        event.baseline_ratio,
        event.latency_ratio,
        [event.baseline_ratio] * BASELINE_SAMPLE_COUNT,
    )
    state.cursor = clamp_cursor(event.cursor)
    state.completion_rate, state.peak_completion_rate, state.send_rate, state.mean_latency_objective_ms = (
        event.completion_rate,
        event.peak_completion_rate,
        event.send_rate,
        event.mean_latency_objective_ms,
    )
    state.periods_elapsed = math.ceil(STARTUP_MS / state.period_ms)
    state.class_latency_ms = {
        name: ms for name, ms in event.class_latency_ms.items() if name in state.service_classes and ms > 0.0
    }
    for address, slow in event.endpoint_latency_ratios.items():
        if address in state.endpoints:
            state.endpoints[address].latency_ratio, state.endpoints[address].last_outcome_ms = slow, now
    return True


def restore_state(state: BalancerState, now: float, event: StateRestored) -> None:
    """Start from the state file of this node's last process. The latency figures hold whatever its
    age: they are the servers'. The load figures fade as the peak fades, and past TRUST_MS only the peak
    is kept, from cursor 0 and the start's floor. A server's verdict counts as heard `age_ms` ago: it
    fades as an unheard one's does, and traffic checks it again; none is trusted for good."""
    if event.age_ms < 0.0 or not import_state(state, now, event.state):
        return
    fade = math.exp(-event.age_ms / PEAK_DECAY_MS)
    state.completion_rate, state.peak_completion_rate, state.send_rate = (
        state.completion_rate * fade,
        state.peak_completion_rate * fade,
        state.send_rate * fade,
    )
    if event.age_ms > RATES_TRUSTED_MS:
        state.cursor, state.periods_elapsed, state.latency_ratio, state.completion_rate, state.send_rate = (
            0,
            0,
            state.baseline_ratio or 0.0,
            0.0,
            0.0,
        )
    for address in event.state.endpoint_latency_ratios:
        if address in state.endpoints:
            state.endpoints[address].last_outcome_ms = now - event.age_ms
