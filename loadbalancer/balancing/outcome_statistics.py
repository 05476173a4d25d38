"""Statistics of endpoints, service classes and the current period, from outcomes and load reports."""

from __future__ import annotations

from loadbalancer.balancing.events import AttemptOutcome
from loadbalancer.balancing.state import Attempt, BalancerState, EndpointState, PendingRequest
from loadbalancer.endpoints import AttemptResult
from loadbalancer.service_settings import ServiceClass

ENDPOINT_GAIN = 0.2  # smoothing of an endpoint's latency ratio and error rate, per outcome
CLASS_GAIN = 0.03  # smoothing of a class's latency and of the mean latency objective, per outcome


def record_load_report(
    state: BalancerState, now_ms: float, server: str, load_report: dict[str, float] | None
) -> None:
    """Record a server's load report; ignored if the server isn't listed."""
    endpoint = state.endpoints.get(server)
    if endpoint is not None and load_report:
        endpoint.reported_queue = load_report.get("queue", 0.0)
        endpoint.reported_at_ms = now_ms
        endpoint.utilisation = load_report.get("util", endpoint.utilisation)


def record_outcome(
    state: BalancerState, now_ms: float, pending: PendingRequest, attempt: Attempt, event: AttemptOutcome
) -> None:
    """Record an attempt's result. A cancelled or abandoned attempt is ignored: it is no sign of the
    endpoint's state."""
    endpoint, result, window = attempt.target, event.result, state.window
    if result in (AttemptResult.CANCELLED, AttemptResult.ABANDONED):
        return
    window.attempts_ended += 1
    # At the front tier, a rejection by a lower tier shows as an error.
    if result is AttemptResult.REJECTED or (result is AttemptResult.ERROR and state.settings.tier == 0):
        window.attempts_rejected += 1
    if result is AttemptResult.REJECTED:
        endpoint.reported_queue = max(endpoint.reported_queue, endpoint.in_flight)
        endpoint.reported_at_ms = now_ms
        return
    endpoint.error_rate += ENDPOINT_GAIN * ((result is not AttemptResult.OK) - endpoint.error_rate)
    objective_ms = pending.service_class.latency_objective_ms
    if result in (AttemptResult.OK, AttemptResult.TIMEOUT):  # the latency of an error is no measure of speed
        if attempt.sent_ms >= state.last_shed_ms:
            window.latency_ratios.append(event.latency_ms / objective_ms)
        _record_latency(state, now_ms, pending.service_class, endpoint, event)
    if result is AttemptResult.OK:
        if endpoint in state.ready:  # the rate is per ready endpoint, so other completions don't count
            window.completed += pending.weight / len(state.ready)
        state.mean_latency_objective_ms += CLASS_GAIN * (objective_ms - state.mean_latency_objective_ms)


def _record_latency(
    state: BalancerState,
    now_ms: float,
    service_class: ServiceClass,
    endpoint: EndpointState,
    event: AttemptOutcome,
) -> None:
    """Smooth the class's latency on a response, and the endpoint's ratio on a response or a timeout."""
    mean_ms = state.class_latency_ms.get(service_class.name)
    if event.result is AttemptResult.OK:
        latency_ms = event.latency_ms
        mean_ms = latency_ms if mean_ms is None else mean_ms + CLASS_GAIN * (latency_ms - mean_ms)
        state.class_latency_ms[service_class.name] = mean_ms
    ratio = event.latency_ms / mean_ms if mean_ms else 1.0
    if endpoint.latency_ratio is None:
        endpoint.latency_ratio = ratio
    else:
        endpoint.latency_ratio += ENDPOINT_GAIN * (ratio - endpoint.latency_ratio)
    endpoint.last_outcome_ms = now_ms
