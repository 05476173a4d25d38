"""The table of queue thresholds: a row for each priority, a slot for each position of the cursor.

A threshold is a weight of requests in flight from this balancer. T1 is the first slot of a row.
Source: DESIGN, "Cursor-table admission".
"""

from __future__ import annotations

import math

from loadbalancer.balancing.state import BalancerState

FLAT_SLOTS_COUNT = 2  # n: slots at the left of the table that equal T1
FALLING_SLOTS_COUNT = 14  # slots to their right, each lower than the one before
SLOT_RATIO = 0.86  # a falling slot over the slot to its left
LOWEST_ROW_HALVINGS_COUNT = 4.0  # a priority of 1, halved this many times, gets the lowest row
ROW_GAP_RATIO = 0.25  # T1 of the lowest row is lower by this ratio than T1 of the highest row
TOP_ROW_FACTOR = 0.5  # exponent of the highest row, whose slots fall more slowly: low priority is shed first
MIN_THRESHOLD_COUNT = 0.1  # admits some requests at any cursor, so that a recovery is noticed
MIN_PRIORITY = 1e-6  # keeps the logarithm finite
UNKNOWN_BASELINE_RATIO = 0.5  # assumed unloaded latency over the objective until a baseline is known
HEADROOM_COUNT = 3.0  # requests per ready endpoint beyond those at unloaded latency, over all siblings
UNDERUSED_RATIO = 0.75  # below this median reported utilisation, the headroom is larger
UNDERUSED_HEADROOM_COUNT = 6.0
ROOT_FACTOR = 0.5  # this multiple of sqrt(T1) is added for random variation, which is larger in small pools
STARTUP_FLOOR_COUNT = 7.0  # smallest T1 per ready endpoint, over all siblings, until rates are known
STARTUP_MS = 3000.0
FLOOR_COUNT = 2.0  # smallest T1 per ready endpoint, over all siblings, once rates are known

SLOT_RATIOS = (*(1.0,) * FLAT_SLOTS_COUNT, *(SLOT_RATIO**step for step in range(1, FALLING_SLOTS_COUNT + 1)))


def clamp_cursor(cursor: int) -> int:
    """The nearest position within the table."""
    return max(0, min(len(SLOT_RATIOS) - 1, cursor))


def first_entry(state: BalancerState, ready: int) -> float:
    """T1 of the highest row for `ready` endpoints, without the allowance for random variation."""
    baseline_ratio = UNKNOWN_BASELINE_RATIO if state.baseline_ratio is None else state.baseline_ratio
    divisor = state.quota.divisor_at(state.now_ms)
    # The headroom doesn't grow with the rate: how many requests an endpoint can queue beyond its unloaded
    # count depends on its cores. The total is a multiple of `ready`, so it falls at once when an endpoint
    # leaves.
    unloaded = state.peak_completion_rate * state.mean_latency_objective_ms * baseline_ratio
    first = ready * (unloaded + _headroom(state) / divisor)
    starting = state.periods_elapsed * state.period_ms < STARTUP_MS
    # All siblings share the floor: a floor for each would sum to a threshold that never applies.
    floor = STARTUP_FLOOR_COUNT if starting else FLOOR_COUNT
    return max(first, ready * floor / divisor)


def _headroom(state: BalancerState) -> float:
    underused = state.utilisation is not None and state.utilisation < UNDERUSED_RATIO
    return UNDERUSED_HEADROOM_COUNT if underused else HEADROOM_COUNT


def threshold(state: BalancerState, priority: float, ready: int) -> float:
    """The threshold at the cursor, in the row of this priority (0 to 1), for `ready` endpoints."""
    halvings = -math.log2(max(priority, MIN_PRIORITY))
    row = min(1.0, max(0.0, halvings / LOWEST_ROW_HALVINGS_COUNT))  # 0: the highest, 1: the lowest
    first = first_entry(state, ready)
    first += ROOT_FACTOR * math.sqrt(first)
    first *= 1.0 - ROW_GAP_RATIO * row
    exponent = TOP_ROW_FACTOR + (1.0 - TOP_ROW_FACTOR) * row
    return max(MIN_THRESHOLD_COUNT, first * math.pow(SLOT_RATIOS[state.cursor], exponent))
