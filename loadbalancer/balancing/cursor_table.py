"""The table of queue thresholds: a row for each worth, a slot for each place of the cursor."""

from __future__ import annotations

import math

from loadbalancer.balancing.state import BalancerState

FLAT_SLOTS_COUNT = 2  # n: slots of T1 at the table's left
FALLING_SLOTS_COUNT = 14  # slots after them
SLOT_RATIO = 0.86  # each of which is this share of the one before
LOWEST_ROW_HALVINGS_COUNT = 4.0  # worth this many halvings under the highest gets the lowest row
ROW_GAP_RATIO = 0.25  # the lowest row's T1 is lower by this share
TOP_ROW_FACTOR = 0.5  # and the top row bends this much less in each slot: low worth is shed first
MIN_THRESHOLD_COUNT = 0.1  # no entry is less, so that some calls are let through to find out
HEADROOM_COUNT = (
    3.0  # T1 holds what completes in the quiet latency plus this for each ready server, over all siblings
)
UNDERUSED_RATIO = 0.75  # under this median reported utilisation
UNDERUSED_HEADROOM_COUNT = 6.0  # it is this instead
ROOT_FACTOR = 0.5  # and this many of its square roots, for chance (small pools vary more)
STARTUP_FLOOR_COUNT = (
    7.0  # but no less than this for each ready server, over all siblings, until rates are known
)
STARTUP_MS = 3000.0  # which takes this long
FLOOR_COUNT = 2.0  # and this much afterwards

SLOT_RATIOS = (*(1.0,) * FLAT_SLOTS_COUNT, *(SLOT_RATIO**step for step in range(1, FALLING_SLOTS_COUNT + 1)))


def clamp_cursor(cursor: int) -> int:
    """The slot of the table that is nearest to this."""
    return max(0, min(len(SLOT_RATIOS) - 1, cursor))


def first_entry(state: BalancerState, ready: int) -> float:
    """T1 for the highest worth, less what it has for chance."""
    base = 0.5 if state.baseline_ratio is None else state.baseline_ratio
    # Guard: every fifth call was refused while the servers reported half their cores idle.
    hold = (
        HEADROOM_COUNT
        if state.utilisation is None or state.utilisation >= UNDERUSED_RATIO
        else UNDERUSED_HEADROOM_COUNT
    )
    parts = state.quota.divisor_at(state.now_ms)
    # Guard: slack as a share of the aim grew with the rate until servers held more than their cores bear,
    # turned slow and stayed so; what a server may hold beyond its quiet count is a matter of its cores.
    # Guard: the quiet count of servers that had gone was let in to those that were left.
    first = ready * (state.peak_completion_rate * state.mean_latency_objective_ms * base + hold / parts)
    # Guard: all siblings share the floor; one for each balancer summed to a T1 that never bound at size.
    floor = STARTUP_FLOOR_COUNT if state.periods_elapsed * state.period_ms < STARTUP_MS else FLOOR_COUNT
    return max(first, ready * floor / parts)


def threshold(state: BalancerState, priority: float, ready: int) -> float:
    """The table's entry at the cursor, in the row of this worth (1: the most)."""
    halvings = -math.log2(max(priority, 1e-6))
    below = min(1.0, max(0.0, halvings / LOWEST_ROW_HALVINGS_COUNT))  # 0: the top row, 1: the lowest
    first = first_entry(state, ready)
    first += ROOT_FACTOR * math.sqrt(first)
    first *= 1.0 - ROW_GAP_RATIO * below
    return max(
        MIN_THRESHOLD_COUNT,
        first * math.pow(SLOT_RATIOS[state.cursor], TOP_ROW_FACTOR + (1.0 - TOP_ROW_FACTOR) * below),
    )
