"""The pool's load, which moves the cursor one step each period, and the rates that go with it."""

from __future__ import annotations

from loadbalancer.balancing.cursor_table import FLAT_SLOTS_COUNT, clamp_cursor
from loadbalancer.balancing.state import BalancerState, PeriodWindow

LATENCY_SLACK_RATIO = 0.11  # target: quiet latency plus this share of the way from there to the aim
REPORTED_LATENCY_SLACK_RATIO = (
    0.35  # the same where utilisation is reported: latency then stands for the tiers below only
)
HALF_WEIGHT_COUNT = 10.0  # outcomes that give a period half the say in the smoothed latency
OVERLOADED_LATENCY_RATIO = (
    0.6  # a smoothed latency over this share of the aim also counts in a period without answers
)
BASELINE_SAMPLE_COUNT = 20  # outcomes from which the quiet baseline is first taken
BASELINE_FALL_GAIN = 0.1  # how fast the quiet baseline follows a lower period,
BASELINE_RISE_GAIN = 0.01  # and a higher one
UTILISATION_TARGET_RATIO = 0.97  # target of the median reported utilisation
UTILISATION_MARGIN_RATIO = (
    0.03  # less this much where many balancers, each seeing little, load servers unevenly,
)
FEW_BALANCERS_COUNT = 8.0  # that is, where there are more than this many
REJECTED_TARGET_RATIO = 0.05  # target share of attempts turned away
REPORT_FRESH_MS = 1500.0  # a reported utilisation counts for this long
RATE_SMOOTHING_MS = 1000.0  # smoothing of the completion rate
PEAK_DECAY_MS = 15000.0  # how slowly the rate's peak is forgotten


def end_period(state: BalancerState, now: float) -> None:
    """Move the cursor one step by the period's load, scaled so that 1 is the target."""
    state.periods_elapsed += 1
    fresh = [
        peer for peer in state.ready if peer.reported_at_ms >= now - REPORT_FRESH_MS
    ]  # Guard: old reports mislead
    util = _median([peer.utilisation for peer in fresh if peer.utilisation is not None])
    if state.window.latency_ratios:
        _smooth_latency(state)
    load, why = _highest_load(state, util)
    step = 1 if load > 1.0 else -1
    if step > 0 and state.cursor == FLAT_SLOTS_COUNT - 1:
        # Guard: calls sent before the table bites end seconds after it; their latencies held the cursor
        # at the right end while the servers fell idle, and the pool refused what it could have served.
        state.last_shed_ms = now
        state.latency_ratio = min(state.latency_ratio, state.baseline_ratio or 0.0)
    state.utilisation = util
    state.counters[f"right by {why}" if step > 0 else "left"] += 1
    state.cursor = clamp_cursor(state.cursor + step)
    _update_rates(state)
    state.window = PeriodWindow()


def _smooth_latency(state: BalancerState) -> None:
    """Follow the period's latencies over their aims, and the quiet baseline under them."""
    ratios = state.window.latency_ratios
    middle = _median(ratios) or 0.0  # the median resists one sick server
    # Guard: classes differ in quiet latency over aim, and short calls end first; a baseline from one
    # early outcome lay a third too low, and an idle pool was held to be over its target for good.
    if state.baseline_ratio is None or len(state.baseline_samples) < BASELINE_SAMPLE_COUNT:
        state.baseline_samples += ratios
        state.latency_ratio = state.baseline_ratio = _median(state.baseline_samples) or 0.0
    else:  # a period with few outcomes says little
        state.latency_ratio += (
            len(ratios) / (len(ratios) + HALF_WEIGHT_COUNT) * (middle - state.latency_ratio)
        )
    if state.latency_ratio < state.baseline_ratio:
        state.baseline_ratio += BASELINE_FALL_GAIN * (state.latency_ratio - state.baseline_ratio)
    elif state.cursor == 0:  # never learned under load
        state.baseline_ratio += BASELINE_RISE_GAIN * (state.latency_ratio - state.baseline_ratio)


def _highest_load(state: BalancerState, util: float | None) -> tuple[float, str]:
    """The highest of the loads that latency, utilisation and refusals tell of, and its name."""
    window = state.window
    load, why = 0.0, "latency"
    # Guard: with less than an answer a period, each silent one moved the cursor left and a jam stayed.
    jammed = state.latency_ratio > OVERLOADED_LATENCY_RATIO and any(
        peer.in_flight > 0.0 for peer in state.ready
    )
    if state.baseline_ratio is not None and (window.latency_ratios or jammed):
        slack = LATENCY_SLACK_RATIO if util is None else REPORTED_LATENCY_SLACK_RATIO
        load = state.latency_ratio / (state.baseline_ratio + slack * (1.0 - state.baseline_ratio))
    if util is not None:
        # Guard: at size the servers over the median were jammed one by one while it was under 0.97.
        room = UTILISATION_MARGIN_RATIO * (1.0 - min(1.0, FEW_BALANCERS_COUNT / state.quota.holders))
        load, why = max((load, why), (util / (UTILISATION_TARGET_RATIO - room), "utilisation"))
    if window.attempts_ended:
        load, why = max(
            (load, why),
            (window.attempts_rejected / window.attempts_ended / REJECTED_TARGET_RATIO, "answers as full"),
        )
    return load, why


def _update_rates(state: BalancerState) -> None:
    window = state.window
    gain = min(1.0, state.period_ms / RATE_SMOOTHING_MS)
    state.completion_rate += gain * (window.completed / state.period_ms - state.completion_rate)
    state.send_rate += gain * (window.weight_sent / state.period_ms - state.send_rate)
    state.peak_completion_rate = max(
        state.completion_rate, state.peak_completion_rate * (1.0 - min(1.0, state.period_ms / PEAK_DECAY_MS))
    )


def _median(values: list[float]) -> float | None:
    return sorted(values)[len(values) // 2] if values else None
