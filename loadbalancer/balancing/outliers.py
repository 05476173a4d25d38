"""What outcomes and load reports tell of servers, classes and the pool."""

from __future__ import annotations

from loadbalancer import interface as api
from loadbalancer.balancing.state import Job, Peer, State, Try

GAIN = 0.2  # smoothing of a server's latency and errors, per outcome
CLASS_GAIN = 0.03  # smoothing of a class's latency and of the mean aim, per outcome


def hear(state: State, now: float, server: str, report: dict[str, float] | None) -> None:
    peer = state.peers.get(server)
    if peer is not None and report:
        peer.queue, peer.told_ms = report.get("queue", 0.0), now
        peer.util = report.get("util", peer.util)


def judge(state: State, now: float, job: Job, item: Try, event: api.Outcome) -> None:
    peer, result, window = item.peer, event.result, state.window
    if result in (api.Result.CANCELLED, api.Result.MOOT):
        return
    window.ended += 1
    if result is api.Result.FULL or (result is api.Result.ERROR and state.cfg.tier == 0):
        window.full += 1  # Guard: a tier below that refuses shows at the front as errors only
    if result is api.Result.FULL:
        peer.queue, peer.told_ms = max(peer.queue, peer.load), now
        return
    peer.errs += GAIN * ((result is not api.Result.OK) - peer.errs)
    if result in (api.Result.OK, api.Result.TIMEOUT):  # a fast error must not look fast
        if item.sent_ms >= state.bit_ms:
            window.ratios.append(event.latency_ms / job.kind.aim_ms)
        _time(state, now, job.kind, peer, event)
    if result is api.Result.OK:
        if peer in state.ready:  # what those that leave complete says nothing of those that stay
            window.completed += job.units / len(state.ready)
        state.mean_aim += CLASS_GAIN * (job.kind.aim_ms - state.mean_aim)


def _time(state: State, now: float, kind: api.ServiceClass, peer: Peer, event: api.Outcome) -> None:
    """Smooth the class's latency by an answer, and the server's over it by an answer or a time-out."""
    mean = state.class_ms.get(kind.name)
    if event.result is api.Result.OK:
        mean = event.latency_ms if mean is None else mean + CLASS_GAIN * (event.latency_ms - mean)
        state.class_ms[kind.name] = mean
    ratio = event.latency_ms / mean if mean else 1.0
    peer.slow = ratio if peer.slow is None else peer.slow + GAIN * (ratio - peer.slow)
    peer.heard_ms = now
