"""The pool's load, which moves the cursor one step each period, and the rates that go with it."""

from __future__ import annotations

from loadbalancer.balancing.cursor_table import FLAT, clamped
from loadbalancer.balancing.state import State, Window

SLACK = 0.11  # target: quiet latency plus this share of the way from there to the aim
SLACK_SEEN = 0.35  # the same where utilisation is reported: latency then stands for the tiers below only
WEIGHTY = 10.0  # outcomes that give a period half the say in the smoothed latency
JAM = 0.6  # a smoothed latency over this share of the aim also counts in a period without answers
BASE_LEAST = 20  # outcomes from which the quiet baseline is first taken
BASE_FALL = 0.1  # how fast the quiet baseline follows a lower period,
BASE_RISE = 0.01  # and a higher one
UTIL_TARGET = 0.97  # target of the median reported utilisation
UTIL_ROOM = 0.03  # less this much where many balancers, each seeing little, load servers unevenly,
FEW = 8.0  # that is, where there are more than this many
FULL_TARGET = 0.05  # target share of attempts turned away
FRESH_MS = 1500.0  # a reported utilisation counts for this long
RATE_MS = 1000.0  # smoothing of the completion rate
PEAK_MS = 15000.0  # how slowly the rate's peak is forgotten


def end_period(state: State, now: float) -> None:
    """Move the cursor one step by the period's load, scaled so that 1 is the target."""
    state.periods += 1
    fresh = [peer for peer in state.ready if peer.told_ms >= now - FRESH_MS]  # Guard: old reports mislead
    util = _middle([peer.util for peer in fresh if peer.util is not None])
    if state.window.ratios:
        _smooth(state)
    load, why = _load(state, util)
    step = 1 if load > 1.0 else -1
    if step > 0 and state.cursor == FLAT - 1:
        # Guard: calls sent before the table bites end seconds after it; their latencies held the cursor
        # at the right end while the servers fell idle, and the pool refused what it could have served.
        state.bit_ms = now
        state.level = min(state.level, state.base or 0.0)
    state.util = util
    state.tally[f"right by {why}" if step > 0 else "left"] += 1
    state.cursor = clamped(state.cursor + step)
    _rates(state)
    state.window = Window()


def _smooth(state: State) -> None:
    """Follow the period's latencies over their aims, and the quiet baseline under them."""
    ratios = state.window.ratios
    middle = _middle(ratios) or 0.0  # the median resists one sick server
    # Guard: classes differ in quiet latency over aim, and short calls end first; a baseline from one
    # early outcome lay a third too low, and an idle pool was held to be over its target for good.
    if state.base is None or len(state.first) < BASE_LEAST:
        state.first += ratios
        state.level = state.base = _middle(state.first) or 0.0
    else:  # a period with few outcomes says little
        state.level += len(ratios) / (len(ratios) + WEIGHTY) * (middle - state.level)
    if state.level < state.base:
        state.base += BASE_FALL * (state.level - state.base)
    elif state.cursor == 0:  # never learned under load
        state.base += BASE_RISE * (state.level - state.base)


def _load(state: State, util: float | None) -> tuple[float, str]:
    """The highest of the loads that latency, utilisation and refusals tell of, and its name."""
    window = state.window
    load, why = 0.0, "latency"
    # Guard: with less than an answer a period, each silent one moved the cursor left and a jam stayed.
    jammed = state.level > JAM and any(peer.load > 0.0 for peer in state.ready)
    if state.base is not None and (window.ratios or jammed):
        slack = SLACK if util is None else SLACK_SEEN
        load = state.level / (state.base + slack * (1.0 - state.base))
    if util is not None:
        # Guard: at size the servers over the median were jammed one by one while it was under 0.97.
        room = UTIL_ROOM * (1.0 - min(1.0, FEW / state.shared.rows))
        load, why = max((load, why), (util / (UTIL_TARGET - room), "utilisation"))
    if window.ended:
        load, why = max((load, why), (window.full / window.ended / FULL_TARGET, "answers as full"))
    return load, why


def _rates(state: State) -> None:
    window = state.window
    gain = min(1.0, state.period_ms / RATE_MS)
    state.rate += gain * (window.completed / state.period_ms - state.rate)
    state.sends += gain * (window.sent / state.period_ms - state.sends)
    state.peak = max(state.rate, state.peak * (1.0 - min(1.0, state.period_ms / PEAK_MS)))


def _middle(values: list[float]) -> float | None:
    return sorted(values)[len(values) // 2] if values else None
