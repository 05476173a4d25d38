"""What outcomes and load reports tell of servers, classes and the pool."""

from __future__ import annotations

from loadbalancer.balancing.events import AttemptOutcome
from loadbalancer.balancing.state import Attempt, BalancerState, EndpointState, PendingRequest
from loadbalancer.endpoints import AttemptResult
from loadbalancer.service_settings import ServiceClass

ENDPOINT_GAIN = 0.2  # smoothing of a server's latency and errors, per outcome
CLASS_GAIN = 0.03  # smoothing of a class's latency and of the mean aim, per outcome


def record_load_report(
    state: BalancerState, now: float, server: str, report: dict[str, float] | None
) -> None:
    peer = state.endpoints.get(server)
    if peer is not None and report:
        peer.reported_queue, peer.reported_at_ms = report.get("queue", 0.0), now
        peer.utilisation = report.get("util", peer.utilisation)


def record_outcome(
    state: BalancerState, now: float, job: PendingRequest, item: Attempt, event: AttemptOutcome
) -> None:
    peer, result, window = item.endpoint, event.result, state.window
    if result in (AttemptResult.CANCELLED, AttemptResult.ABANDONED):
        return
    window.attempts_ended += 1
    if result is AttemptResult.REJECTED or (result is AttemptResult.ERROR and state.settings.tier == 0):
        window.attempts_rejected += 1  # Guard: a tier below that refuses shows at the front as errors only
    if result is AttemptResult.REJECTED:
        peer.reported_queue, peer.reported_at_ms = max(peer.reported_queue, peer.in_flight), now
        return
    peer.error_rate += ENDPOINT_GAIN * ((result is not AttemptResult.OK) - peer.error_rate)
    if result in (AttemptResult.OK, AttemptResult.TIMEOUT):  # a fast error must not look fast
        if item.sent_ms >= state.last_shed_ms:
            window.latency_ratios.append(event.latency_ms / job.service_class.latency_objective_ms)
        _record_latency(state, now, job.service_class, peer, event)
    if result is AttemptResult.OK:
        if peer in state.ready:  # what those that leave complete says nothing of those that stay
            window.completed += job.weight / len(state.ready)
        state.mean_latency_objective_ms += CLASS_GAIN * (
            job.service_class.latency_objective_ms - state.mean_latency_objective_ms
        )


def _record_latency(
    state: BalancerState, now: float, kind: ServiceClass, peer: EndpointState, event: AttemptOutcome
) -> None:
    """Smooth the class's latency by an answer, and the server's over it by an answer or a time-out."""
    mean = state.class_latency_ms.get(kind.name)
    if event.result is AttemptResult.OK:
        mean = event.latency_ms if mean is None else mean + CLASS_GAIN * (event.latency_ms - mean)
        state.class_latency_ms[kind.name] = mean
    ratio = event.latency_ms / mean if mean else 1.0
    peer.latency_ratio = (
        ratio
        if peer.latency_ratio is None
        else peer.latency_ratio + ENDPOINT_GAIN * (ratio - peer.latency_ratio)
    )
    peer.last_outcome_ms = now
