"""The table of queue thresholds: a row for each worth, a slot for each place of the cursor."""

from __future__ import annotations

import math

from loadbalancer.balancing.state import State

FLAT = 2  # n: slots of T1 at the table's left
STEPS = 14  # slots after them
STEP = 0.86  # each of which is this share of the one before
OCTAVES = 4.0  # worth this many halvings under the highest gets the lowest row
ROW_GAP = 0.25  # the lowest row's T1 is lower by this share
TOP_BEND = 0.5  # and the top row bends this much less in each slot: low worth is shed first
LEAST = 0.1  # no entry is less, so that some calls are let through to find out
HOLD = 3.0  # T1 holds what completes in the quiet latency plus this for each ready server, over all siblings
ROOMY = 0.75  # under this median reported utilisation
HOLD_ROOMY = 6.0  # it is this instead
ROOTS = 0.5  # and this many of its square roots, for chance (small pools vary more)
START = 7.0  # but no less than this for each ready server, over all siblings, until rates are known
START_MS = 3000.0  # which takes this long
FLOOR = 2.0  # and this much afterwards

SHAPE = (*(1.0,) * FLAT, *(STEP**step for step in range(1, STEPS + 1)))


def clamped(cursor: int) -> int:
    """The slot of the table that is nearest to this."""
    return max(0, min(len(SHAPE) - 1, cursor))


def first_entry(state: State, ready: int) -> float:
    """T1 for the highest worth, less what it has for chance."""
    base = 0.5 if state.base is None else state.base
    # Guard: every fifth call was refused while the servers reported half their cores idle.
    hold = HOLD if state.util is None or state.util >= ROOMY else HOLD_ROOMY
    parts = state.shared.at(state.now)
    # Guard: slack as a share of the aim grew with the rate until servers held more than their cores bear,
    # turned slow and stayed so; what a server may hold beyond its quiet count is a matter of its cores.
    # Guard: the quiet count of servers that had gone was let in to those that were left.
    first = ready * (state.peak * state.mean_aim * base + hold / parts)
    # Guard: all siblings share the floor; one for each balancer summed to a T1 that never bound at size.
    floor = START if state.periods * state.period_ms < START_MS else FLOOR
    return max(first, ready * floor / parts)


def threshold(state: State, worth: float, ready: int) -> float:
    """The table's entry at the cursor, in the row of this worth (1: the most)."""
    halvings = -math.log2(max(worth, 1e-6))
    below = min(1.0, max(0.0, halvings / OCTAVES))  # 0: the top row, 1: the lowest
    first = first_entry(state, ready)
    first += ROOTS * math.sqrt(first)
    first *= 1.0 - ROW_GAP * below
    return max(LEAST, first * math.pow(SHAPE[state.cursor], TOP_BEND + (1.0 - TOP_BEND) * below))
