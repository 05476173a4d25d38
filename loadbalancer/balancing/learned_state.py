"""Export and import of a balancer's measurements, for another process of its node or after a restart."""

from __future__ import annotations

import math

from loadbalancer.balancing.cursor_table import STARTUP_MS, clamp_cursor
from loadbalancer.balancing.events import LearnedState, StateRestored
from loadbalancer.balancing.load_estimate import BASELINE_SAMPLE_COUNT, PEAK_DECAY_MS
from loadbalancer.balancing.state import BalancerState

RATES_TRUSTED_MS = PEAK_DECAY_MS  # restored rates that are older don't describe the present load


def export_state(state: BalancerState) -> LearnedState:
    """The measurements from which another process of this node may start."""
    has_baseline = len(state.baseline_samples) >= BASELINE_SAMPLE_COUNT
    return LearnedState(
        baseline_ratio=state.baseline_ratio if has_baseline else None,
        latency_ratio=state.latency_ratio,
        cursor=state.cursor,
        completion_rate=state.completion_rate,
        peak_completion_rate=state.peak_completion_rate,
        send_rate=state.send_rate,
        mean_latency_objective_ms=state.mean_latency_objective_ms,
        class_latency_ms=state.class_latency_ms,
        endpoint_latency_ratios={
            name: endpoint.latency_ratio
            for name, endpoint in state.endpoints.items()
            if endpoint.latency_ratio is not None
        },
    )


def import_state(state: BalancerState, now_ms: float, learned: LearnedState) -> bool:
    """Start from another process's measurements; if they are too few, change nothing and return False."""
    if learned.baseline_ratio is None or learned.baseline_ratio <= 0.0:
        return False
    if learned.peak_completion_rate <= 0.0 or learned.mean_latency_objective_ms <= 0.0:
        return False
    state.baseline_ratio = learned.baseline_ratio
    state.baseline_samples = [learned.baseline_ratio] * BASELINE_SAMPLE_COUNT
    state.latency_ratio = learned.latency_ratio
    state.cursor = clamp_cursor(learned.cursor)
    state.completion_rate = learned.completion_rate
    state.peak_completion_rate = learned.peak_completion_rate
    state.send_rate = learned.send_rate
    state.mean_latency_objective_ms = learned.mean_latency_objective_ms
    state.periods_elapsed = math.ceil(STARTUP_MS / state.period_ms)
    state.class_latency_ms = {
        name: latency_ms
        for name, latency_ms in learned.class_latency_ms.items()
        if name in state.service_classes and latency_ms > 0.0
    }
    for name, latency_ratio in learned.endpoint_latency_ratios.items():
        if name in state.endpoints:
            state.endpoints[name].latency_ratio = latency_ratio
            state.endpoints[name].last_outcome_ms = now_ms
    return True


def restore_state(state: BalancerState, now_ms: float, event: StateRestored) -> None:
    """Start from the state file of this node's previous process; ignored if its age is negative.

    Latencies are properties of the servers and are used at any age. Rates decay with age; past
    RATES_TRUSTED_MS only the peak rate is used, with the cursor at 0 and the startup floor. An endpoint's
    latency ratio counts as observed `age_ms` ago, so that it decays unless new outcomes confirm it.
    """
    if event.age_ms < 0.0 or not import_state(state, now_ms, event.state):
        return
    decay = math.exp(-event.age_ms / PEAK_DECAY_MS)
    state.completion_rate *= decay
    state.peak_completion_rate *= decay
    state.send_rate *= decay
    if event.age_ms > RATES_TRUSTED_MS:
        state.cursor = 0
        state.periods_elapsed = 0
        state.latency_ratio = state.baseline_ratio or 0.0
        state.completion_rate = 0.0
        state.send_rate = 0.0
    for name in event.state.endpoint_latency_ratios:
        if name in state.endpoints:
            state.endpoints[name].last_outcome_ms = now_ms - event.age_ms
