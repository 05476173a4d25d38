"""The pool's load, which moves the cursor one step each period, and the rates measured with it.

Each load is scaled so that its target is 1. Rates are weights of requests per millisecond.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.balancing.cursor_table import FLAT_SLOTS_COUNT, clamp_cursor
from loadbalancer.balancing.state import BalancerState, PeriodWindow

LATENCY_SLACK_RATIO = 0.11  # target: the baseline plus this ratio of its gap to the objective
# The same if servers report utilisation: latency then indicates the load of lower tiers.
REPORTED_LATENCY_SLACK_RATIO = 0.35
HALF_WEIGHT_COUNT = 10.0  # with this many outcomes, a period has half the weight in the smoothed latency
OVERLOADED_LATENCY_RATIO = 0.6  # above this, latency counts even in a period without responses
BASELINE_SAMPLE_COUNT = 20  # outcomes from which the first baseline is taken
BASELINE_FALL_GAIN = 0.1  # smoothing of the baseline towards a lower latency, per period
BASELINE_RISE_GAIN = 0.01  # smoothing of the baseline towards a higher latency, per period
UTILISATION_TARGET_RATIO = 0.97  # target of the median reported utilisation
UTILISATION_MARGIN_RATIO = 0.03  # lowers the target if many balancers with few requests load servers unevenly
FEW_BALANCERS_COUNT = 8.0  # up to this many balancers, the margin is 0
REJECTED_TARGET_RATIO = 0.05  # target ratio of attempts that servers reject
REPORT_FRESH_MS = 1500.0  # age up to which a reported utilisation counts
RATE_SMOOTHING_MS = 1000.0  # time constant of the rates
PEAK_DECAY_MS = 15000.0  # time constant with which the peak rate decays


class LoadSignal(NamedTuple):
    """A measure of the pool's load."""

    load: float  # 1 is the target
    source: str  # its name in the log


def end_period(state: BalancerState, now_ms: float) -> None:
    """Move the cursor one step according to the period's load and begin the next period."""
    state.periods_elapsed += 1
    fresh = [endpoint for endpoint in state.ready if endpoint.reported_at_ms >= now_ms - REPORT_FRESH_MS]
    utilisation = _median([endpoint.utilisation for endpoint in fresh if endpoint.utilisation is not None])
    if state.window.latency_ratios:
        _smooth_latency(state)
    signal = _highest_load(state, utilisation)
    step = 1 if signal.load > 1.0 else -1
    if step > 0 and state.cursor == FLAT_SLOTS_COUNT - 1:
        # The table begins to shed load. Requests sent before now end seconds later, and their latencies don't
        # describe the pool under the lower threshold, so they are left out from here on.
        state.last_shed_ms = now_ms
        state.latency_ratio = min(state.latency_ratio, state.baseline_ratio or 0.0)
    state.utilisation = utilisation
    state.counters[f"right by {signal.source}" if step > 0 else "left"] += 1
    state.cursor = clamp_cursor(state.cursor + step)
    _update_rates(state)
    state.window = PeriodWindow()


def _smooth_latency(state: BalancerState) -> None:
    """Update the smoothed latency ratio and its baseline from the period's outcomes."""
    ratios = state.window.latency_ratios
    median = _median(ratios) or 0.0  # robust against one slow server
    # Classes differ in unloaded latency over their objectives, and short requests end first, so the first
    # baseline is the median of BASELINE_SAMPLE_COUNT outcomes.
    if state.baseline_ratio is None or len(state.baseline_samples) < BASELINE_SAMPLE_COUNT:
        state.baseline_samples += ratios
        state.latency_ratio = state.baseline_ratio = _median(state.baseline_samples) or 0.0
    else:
        gain = len(ratios) / (len(ratios) + HALF_WEIGHT_COUNT)
        state.latency_ratio += gain * (median - state.latency_ratio)
    if state.latency_ratio < state.baseline_ratio:
        state.baseline_ratio += BASELINE_FALL_GAIN * (state.latency_ratio - state.baseline_ratio)
    elif state.cursor == 0:  # the baseline isn't raised under load
        state.baseline_ratio += BASELINE_RISE_GAIN * (state.latency_ratio - state.baseline_ratio)


def _highest_load(state: BalancerState, utilisation: float | None) -> LoadSignal:
    """The highest of the loads by latency, utilisation and rejections; on a tie in this order: utilisation,
    latency, rejections."""
    highest = LoadSignal(_latency_load(state, utilisation), "latency")
    if utilisation is not None:
        load = _utilisation_load(state, utilisation)
        if load >= highest.load:
            highest = LoadSignal(load, "utilisation")
    window = state.window
    if window.attempts_ended:
        load = window.attempts_rejected / window.attempts_ended / REJECTED_TARGET_RATIO
        if load > highest.load:
            highest = LoadSignal(load, "rejected attempts")
    return highest


def _latency_load(state: BalancerState, utilisation: float | None) -> float:
    # A period without responses counts too while latency is high and requests are in flight: with less than
    # one response per period, each period without one would otherwise move the cursor left.
    overloaded = state.latency_ratio > OVERLOADED_LATENCY_RATIO and any(
        endpoint.in_flight > 0.0 for endpoint in state.ready
    )
    if state.baseline_ratio is None or not (state.window.latency_ratios or overloaded):
        return 0.0
    slack_ratio = LATENCY_SLACK_RATIO if utilisation is None else REPORTED_LATENCY_SLACK_RATIO
    return state.latency_ratio / (state.baseline_ratio + slack_ratio * (1.0 - state.baseline_ratio))


def _utilisation_load(state: BalancerState, utilisation: float) -> float:
    margin = UTILISATION_MARGIN_RATIO * (1.0 - min(1.0, FEW_BALANCERS_COUNT / state.quota.holders))
    return utilisation / (UTILISATION_TARGET_RATIO - margin)


def _update_rates(state: BalancerState) -> None:
    window = state.window
    gain = min(1.0, state.period_ms / RATE_SMOOTHING_MS)
    state.completion_rate += gain * (window.completed / state.period_ms - state.completion_rate)
    state.send_rate += gain * (window.weight_sent / state.period_ms - state.send_rate)
    decay = 1.0 - min(1.0, state.period_ms / PEAK_DECAY_MS)
    state.peak_completion_rate = max(state.completion_rate, state.peak_completion_rate * decay)


def _median(values: list[float]) -> float | None:
    return sorted(values)[len(values) // 2] if values else None
