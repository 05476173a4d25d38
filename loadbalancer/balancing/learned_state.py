"""What a process of this balancer has learned, handed to one beside it or read again after a restart."""

from __future__ import annotations

import math

from loadbalancer import interface as api
from loadbalancer.balancing.cursor_table import START_MS, clamped
from loadbalancer.balancing.load_estimate import BASE_LEAST, PEAK_MS
from loadbalancer.balancing.state import State

TRUST_MS = PEAK_MS  # restored load figures older than this tell of another load than the present one


def learned(state: State) -> api.Learned:
    """What a process that starts beside this one may start from."""
    slow = {address: peer.slow for address, peer in state.peers.items() if peer.slow is not None}
    return api.Learned(
        base=state.base if len(state.first) >= BASE_LEAST else None,
        level=state.level,
        cursor=state.cursor,
        rate=state.rate,
        peak=state.peak,
        sends=state.sends,
        mean_aim=state.mean_aim,
        class_ms=state.class_ms,
        slow=slow,
    )


def learn(state: State, now: float, event: api.Learned) -> bool:
    """Start from what another process has learned; whether it was enough to start from."""
    if event.base is None or event.base <= 0.0 or event.peak <= 0.0 or event.mean_aim <= 0.0:
        return False  # it has only begun to learn
    # Guard: a new process knew of no rate and stood at cursor 0; the servers jammed under what it let in.
    state.base, state.level, state.first = event.base, event.level, [event.base] * BASE_LEAST
    state.cursor = clamped(event.cursor)
    state.rate, state.peak, state.sends, state.mean_aim = event.rate, event.peak, event.sends, event.mean_aim
    state.periods = math.ceil(START_MS / state.period_ms)
    state.class_ms = {name: ms for name, ms in event.class_ms.items() if name in state.kinds and ms > 0.0}
    for address, slow in event.slow.items():
        if address in state.peers:
            state.peers[address].slow, state.peers[address].heard_ms = slow, now
    return True


def restore(state: State, now: float, event: api.Restored) -> None:
    """Start from the state file of this node's last process. The latency figures hold whatever its
    age: they are the servers'. The load figures fade as the peak fades, and past TRUST_MS only the peak
    is kept, from cursor 0 and the start's floor. A server's verdict counts as heard `age_ms` ago: it
    fades as an unheard one's does, and traffic checks it again; none is trusted for good."""
    if event.age_ms < 0.0 or not learn(state, now, event.learned):
        return
    fade = math.exp(-event.age_ms / PEAK_MS)
    state.rate, state.peak, state.sends = state.rate * fade, state.peak * fade, state.sends * fade
    if event.age_ms > TRUST_MS:
        state.cursor, state.periods, state.level, state.rate, state.sends = 0, 0, state.base or 0.0, 0.0, 0.0
    for address in event.learned.slow:
        if address in state.peers:
            state.peers[address].heard_ms = now - event.age_ms
