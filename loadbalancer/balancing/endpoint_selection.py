"""Selection of the endpoint for an attempt: the best-ranked one within its quota.

An endpoint in slow start is eligible with a probability that grows with its capacity.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from loadbalancer.balancing import cursor_table, fleet_control
from loadbalancer.balancing.load_estimate import HALF_WEIGHT_COUNT, RATE_SMOOTHING_MS
from loadbalancer.balancing.state import BalancerState, EndpointState, PendingRequest
from loadbalancer.service_settings import DeduplicationScope, Effect, ServiceClass

LATENCY_DECAY_MS = 8000.0  # time constant with which a latency ratio returns to 1 without outcomes
QUEUE_DECAY_MS = 500.0  # time constant with which a reported queue decays
RANK_JITTER_RATIO = 0.1  # width of the random factor that separates equal ranks
CROSS_ZONE_FACTOR = 64.0  # a cross-zone price of 1 ranks like this many queued requests
ENDPOINT_QUOTA_FACTOR = 1.25  # maximum in flight to an endpoint, over T1 per ready endpoint (cursor_table)
# A retry must be written this long before the deduplication window ends, so that its bytes arrive in time.
RETRY_MARGIN_MS = 10.0
SLOW_START_RATIO = 0.4  # traffic to an endpoint in slow start, over the load at which it fails
MAX_ERROR_RATE = 0.9  # keeps the rank of a failing endpoint finite


class DeduplicationGroup(NamedTuple):
    """Servers that share idempotency keys: each drops a retry of a request that another has executed."""

    zone: str
    cell: int


def select_endpoint(state: BalancerState, now_ms: float, pending: PendingRequest) -> EndpointState | None:
    """The endpoint for the request's next attempt; None if there is none."""
    candidates = _candidates(state, now_ms, pending)
    if state.confidence:
        candidates = fleet_control.usable_endpoints(state, candidates)
    for split in fleet_control.split_by_route(state, pending, candidates):
        best = _best_ranked(state, now_ms, split)
        if best is not None:
            return best
    return None


def _best_ranked(
    state: BalancerState, now_ms: float, candidates: list[EndpointState]
) -> EndpointState | None:
    """The best-ranked of the candidates that may take another attempt; None if there is none."""
    # The quota keeps many balancers from overloading the best-ranked endpoint together.
    ready = len(state.ready)
    quota = ENDPOINT_QUOTA_FACTOR * cursor_table.first_entry(state, ready) / max(1, ready)
    within = [
        endpoint
        for endpoint in candidates
        if endpoint.total_in_flight + 1.0 <= quota + endpoint.rounding_offset
    ]
    if not within and not any([endpoint.total_in_flight for endpoint in state.ready]):
        # A balancer with nothing in flight may always make one attempt. The order by the random offset
        # differs between balancers, so they choose different endpoints.
        by_offset = sorted(candidates, key=lambda endpoint: -endpoint.rounding_offset)
        return next((each for each in by_offset if slow_start_admits(state, now_ms, each)), None)
    best, best_rank = None, math.inf
    for endpoint in within:
        restoration = state.restored.get(endpoint.listed.name)
        # A restored endpoint ranks first until its first attempt, so that balancers with few requests learn
        # its state too.
        unattempted = restoration is not None and not restoration.attempted
        rank = 0.0 if unattempted else _rank(state, now_ms, endpoint)
        if rank < best_rank and slow_start_admits(state, now_ms, endpoint):
            best, best_rank = endpoint, rank
    return best


def _candidates(state: BalancerState, now_ms: float, pending: PendingRequest) -> list[EndpointState]:
    """The ready endpoints at which another attempt can't take effect a second time."""
    executed, service_class = pending.possibly_executed(), pending.service_class
    if now_ms >= retry_deadline_ms(pending) or (executed and service_class.effect is Effect.NON_IDEMPOTENT):
        return []
    group = None
    if executed and service_class.effect is Effect.IDEMPOTENCY_KEY:
        group = _deduplication_group(service_class, executed[0].target)
    attempted = [attempt.target for attempt in pending.attempts]
    return [
        endpoint
        for endpoint in state.ready
        if endpoint not in attempted
        and (group is None or group == _deduplication_group(service_class, endpoint))
    ]


def retry_deadline_ms(pending: PendingRequest) -> float:
    """The time by which the next attempt must have been written.

    Infinity, unless an attempt with an idempotency key may have been executed: the servers forget its key
    after the deduplication window, and would then execute a retry.
    """
    executed = pending.possibly_executed()
    if not executed or pending.service_class.effect is not Effect.IDEMPOTENCY_KEY:
        return math.inf
    return executed[0].sent_ms + pending.service_class.deduplication_window_ms - RETRY_MARGIN_MS


def _deduplication_group(service_class: ServiceClass, endpoint: EndpointState) -> DeduplicationGroup:
    scope = service_class.deduplication_scope
    zone = "" if scope is DeduplicationScope.ALL else endpoint.listed.zone
    return DeduplicationGroup(zone, endpoint.listed.cell if scope is DeduplicationScope.CELL else 0)


def _rank(state: BalancerState, now_ms: float, endpoint: EndpointState) -> float:
    """Latency ratio times queue length over success rate; the lowest rank is the best."""
    success_rate = 1.0 - min(MAX_ERROR_RATE, endpoint.error_rate)
    queue = 0.0
    if endpoint.reported_queue:
        report_age_ms = endpoint.reported_at_ms - now_ms  # negative
        queue = endpoint.reported_queue * math.exp(report_age_ms / QUEUE_DECAY_MS)
    other_zone = endpoint.listed.zone != state.settings.zone
    zone_cost = CROSS_ZONE_FACTOR * state.settings.cross_zone_price if other_zone else 0.0
    length = endpoint.total_in_flight + queue + 1.0 + zone_cost
    jitter = 1.0 + RANK_JITTER_RATIO * (state.rng.random() - 0.5)
    return _current_latency_ratio(state, now_ms, endpoint) * length / success_rate * jitter


def _current_latency_ratio(state: BalancerState, now_ms: float, endpoint: EndpointState) -> float:
    """The smoothed latency ratio, decayed towards 1, the mean over all endpoints.

    If the oldest attempt in flight has already taken longer than that, the ratio of its time so far: this
    detects a hanging server before any timeout.
    """
    ratio = 1.0
    if endpoint.latency_ratio is not None:
        decay = math.exp((endpoint.last_outcome_ms - now_ms) / LATENCY_DECAY_MS)
        confidence_ratio = fleet_control.confidence_ratio(state, endpoint)
        ratio += (endpoint.latency_ratio - 1.0) * decay * confidence_ratio
    if endpoint.attempts_sent_ms:
        (request_id, _), sent_ms = next(iter(endpoint.attempts_sent_ms.items()))
        if endpoint.last_outcome_ms <= sent_ms:
            mean_ms = state.class_latency_ms.get(state.pending[request_id].service_class.name)
            if mean_ms:
                ratio = max(ratio, (now_ms - sent_ms) / mean_ms)
    return ratio


def slow_start_admits(state: BalancerState, now_ms: float, endpoint: EndpointState) -> bool:
    """Whether an attempt may go to the endpoint under its slow start; always true after the slow start.

    All balancers together must not overload an endpoint in slow start. Each attempt is therefore admitted at
    random, with the endpoint's current capacity over the present traffic as the probability. This keeps the
    sum over any number of balancers within that capacity, which a count limit at each balancer would not.
    """
    settings = state.settings
    age_ms = _process_age_ms(state, now_ms, endpoint)
    if age_ms >= settings.slow_start_ms:
        return True
    capacity = settings.slow_start_from + (1.0 - settings.slow_start_from) * age_ms / settings.slow_start_ms
    limit = SLOW_START_RATIO * settings.overload_factor * capacity
    return state.rng.random() * _traffic_in_endpoints(state) < limit


def _process_age_ms(state: BalancerState, now_ms: float, endpoint: EndpointState) -> float:
    """The age of the endpoint's process; infinity if its start time isn't known."""
    launched_ms = endpoint.listed.launched_ms
    restoration = state.restored.get(endpoint.listed.name)
    if restoration is not None and (launched_ms is None or launched_ms < restoration.ejected_ms):
        # It was restarted while it was ejected; the list shows the new start time only seconds later.
        launched_ms = restoration.restored_ms
    return math.inf if launched_ms is None else max(0.0, now_ms - launched_ms)


def _traffic_in_endpoints(state: BalancerState) -> float:
    """The present traffic, as the number of endpoints that it would keep at their peak rate; at least 1."""
    ready = len(state.ready)
    if state.peak_completion_rate <= 0.0:
        return ready
    # A low send rate counts as low traffic only if the threshold rejects requests. Otherwise a burst after an
    # idle time would be admitted in full. With few requests, an idle time can't be told from chance, so the
    # admitted ratio then counts less.
    usual = state.peak_completion_rate * ready * RATE_SMOOTHING_MS
    admitted = ready * state.admitted_ratio * usual / (usual + HALF_WEIGHT_COUNT)
    return max(1.0, state.send_rate / state.peak_completion_rate, admitted)
