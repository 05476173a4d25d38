"""What outcomes and load reports tell of servers, classes and the pool."""

from __future__ import annotations

from loadbalancer.balancing.events import AttemptOutcome
from loadbalancer.balancing.state import Job, Peer, State, Try
from loadbalancer.endpoints import AttemptResult
from loadbalancer.service_settings import ServiceClass

GAIN = 0.2  # smoothing of a server's latency and errors, per outcome
CLASS_GAIN = 0.03  # smoothing of a class's latency and of the mean aim, per outcome


def hear(state: State, now: float, server: str, report: dict[str, float] | None) -> None:
    peer = state.peers.get(server)
    if peer is not None and report:
        peer.queue, peer.told_ms = report.get("queue", 0.0), now
        peer.util = report.get("util", peer.util)


def judge(state: State, now: float, job: Job, item: Try, event: AttemptOutcome) -> None:
    peer, result, window = item.peer, event.result, state.window
    if result in (AttemptResult.CANCELLED, AttemptResult.ABANDONED):
        return
    window.ended += 1
    if result is AttemptResult.REJECTED or (result is AttemptResult.ERROR and state.cfg.tier == 0):
        window.full += 1  # Guard: a tier below that refuses shows at the front as errors only
    if result is AttemptResult.REJECTED:
        peer.queue, peer.told_ms = max(peer.queue, peer.load), now
        return
    peer.errs += GAIN * ((result is not AttemptResult.OK) - peer.errs)
    if result in (AttemptResult.OK, AttemptResult.TIMEOUT):  # a fast error must not look fast
        if item.sent_ms >= state.bit_ms:
            window.ratios.append(event.latency_ms / job.kind.latency_objective_ms)
        _time(state, now, job.kind, peer, event)
    if result is AttemptResult.OK:
        if peer in state.ready:  # what those that leave complete says nothing of those that stay
            window.completed += job.units / len(state.ready)
        state.mean_aim += CLASS_GAIN * (job.kind.latency_objective_ms - state.mean_aim)


def _time(state: State, now: float, kind: ServiceClass, peer: Peer, event: AttemptOutcome) -> None:
    """Smooth the class's latency by an answer, and the server's over it by an answer or a time-out."""
    mean = state.class_ms.get(kind.name)
    if event.result is AttemptResult.OK:
        mean = event.latency_ms if mean is None else mean + CLASS_GAIN * (event.latency_ms - mean)
        state.class_ms[kind.name] = mean
    ratio = event.latency_ms / mean if mean else 1.0
    peer.slow = ratio if peer.slow is None else peer.slow + GAIN * (ratio - peer.slow)
    peer.heard_ms = now
